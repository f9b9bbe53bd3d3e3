#ifndef SOAK_CALLERS_H_
#define SOAK_CALLERS_H_

#include <boost/asio/awaitable.hpp>

#include "net/http_call.h"
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

/** @brief Where a request goes, and when its caller gives up. */
struct exchange_options {
  std::string address;
  std::chrono::milliseconds timeout{};
  std::optional<mono_time> disconnect_at;
};

/** @brief Sends a request and reads its answer. */
[[nodiscard]] boost::asio::awaitable<response> Exchange(
    net::connection_cache& cache,
    net::http_request message,
    exchange_options options);

/** @brief Asks a random entry's directory; empty if that fails. */
[[nodiscard]] boost::asio::awaitable<std::vector<entry*>> AskDirectory(
    deployment& system,
    random_source& random);

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
