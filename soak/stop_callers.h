#ifndef SOAK_STOP_CALLERS_H_
#define SOAK_STOP_CALLERS_H_

#include "soak/callers.h"

namespace mimosadeck::soak {

/** @brief Timeout of the routes with long streams. */
inline constexpr std::chrono::milliseconds kLongStreamTimeout{15000};

/**
 * @brief Sends one request after the other until `stopping` is set.
 *
 * Keeps the directory's answer for one second, every third caller for three.
 * Every second caller goes on using its connection until the entry closes it,
 * the others only while the directory lists the entry. A request that was
 * refused, or whose connection closed before it ran, is repeated once.
 * @param long_pauses Resumable streams may pause for longer than entries wait.
 */
[[nodiscard]] boost::asio::awaitable<void>
RunStopCaller(caller_context& context, std::size_t number, bool long_pauses);

/** @brief Makes upstreams work for as long as each request asks. */
void ServeStopCallers(deployment& system);

}  // namespace mimosadeck::soak

#endif  // SOAK_STOP_CALLERS_H_
