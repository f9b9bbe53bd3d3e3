#ifndef SOAK_CALLERS_H_
#define SOAK_CALLERS_H_

#include <boost/asio/awaitable.hpp>

#include "soak/deployment.h"

namespace mimosadeck::soak {

/** @brief State shared by all callers. */
struct caller_context {
  deployment& system;
  judge& checks;
  random_source& random;
  std::uint64_t last_request{};
  std::size_t running{};
  bool stopping{};
};

/**
 * @brief Sends one request after the other until `stopping` is set.
 *
 * Resolves an entry through the directory, reuses the connection while it
 * works, and resolves again after a failure or a 503.
 */
[[nodiscard]] boost::asio::awaitable<void> RunCaller(caller_context& context);

/** @brief Returns whether an entry answers a valid request with status 200. */
[[nodiscard]] boost::asio::awaitable<bool> CheckServes(caller_context& context,
                                                       entry& target);

}  // namespace mimosadeck::soak

#endif  // SOAK_CALLERS_H_
