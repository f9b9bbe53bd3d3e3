#ifndef SOAK_CALLERS_H_
#define SOAK_CALLERS_H_

#include <boost/asio/awaitable.hpp>

#include "soak/deployment.h"

namespace mimosadeck::soak {

/** @brief What all callers share. */
struct caller_world {
  deployment& system;
  judge& checks;
  random_source& random;
  std::uint64_t last_request{};
  std::size_t running{};
  bool stopping{};
};

/**
 * @brief Sends one request after the other until the world stops.
 *
 * Asks the directory for an address, keeps its connection as long as it works
 * and asks again when it does not.
 */
[[nodiscard]] boost::asio::awaitable<void> RunCaller(caller_world& world);

/** @brief Tells whether an entry answers a proper request with success. */
[[nodiscard]] boost::asio::awaitable<bool> Serves(caller_world& world,
                                                  entry& at);

}  // namespace mimosadeck::soak

#endif  // SOAK_CALLERS_H_
