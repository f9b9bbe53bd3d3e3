#ifndef SOAK_STOP_CALLERS_H_
#define SOAK_STOP_CALLERS_H_

#include <boost/asio/awaitable.hpp>

#include "soak/deployment.h"
#include "soak/stop_judge.h"

namespace mimosadeck::soak {

/** @brief Timeout of the routes with long streams. */
inline constexpr std::chrono::milliseconds kLongStreamTimeout{15000};

/** @brief State shared by the callers of a run with planned stops. */
struct stop_context {
  deployment& system;
  judge& checks;
  random_source& random;
  stop_record record;
  /** Resumable streams may pause for longer than entries wait for them. */
  bool long_pauses{};
  std::uint64_t last_request{};
  std::size_t running{};
  bool stopping{};
};

/**
 * @brief Sends one request after the other until `stopping` is set.
 *
 * Keeps the directory's answer for one second, every third caller for three.
 * Every second caller goes on using its connection until the entry closes it,
 * the others only while the directory lists the entry. A request that was
 * refused, or whose connection closed before it ran, is repeated once.
 */
[[nodiscard]] boost::asio::awaitable<void> RunStopCaller(stop_context& context,
                                                         std::size_t number);

/** @brief Makes the upstreams stream for as long as each request asks, and
 * records their work. */
void PrepareUpstreams(stop_context& context);

}  // namespace mimosadeck::soak

#endif  // SOAK_STOP_CALLERS_H_
