#ifndef APPS_MIMOSADECKD_EDGE_ATTEMPT_H_
#define APPS_MIMOSADECKD_EDGE_ATTEMPT_H_

#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "mimosadeckd/edge/work.h"

namespace mimosadeck::edge {

/** @brief Tells whether a status promises that the request has not run. */
[[nodiscard]] bool IsPromise(int status);

/** @brief A whole answer that an upstream gave. */
struct whole_answer {
  net::http_response response;
  bool is_good{};
};

/** @brief A stream that was passed on to its end. */
struct stream_done {};

/** @brief An attempt that brought no answer for the caller. */
struct attempt_failure {
  forwarding::attempt_end end{forwarding::attempt_end::broke_off};
  /** The upstream sent nothing within its time. */
  bool silent{};
  std::string reason;
  /** What the upstream reported, where it did. */
  std::optional<net::http_response> reported;
};

using attempt_result = std::variant<whole_answer, stream_done, attempt_failure>;

/**
 * @brief Sends a request to one upstream and passes a stream on.
 *
 * A whole answer is returned for the caller of this function to send, since
 * another attempt may follow a failure.
 */
[[nodiscard]] asio::awaitable<attempt_result> RunAttempt(
    edge_state& state,
    std::shared_ptr<work> work,
    placement::selection selection,
    net::exchange& exchange);

}  // namespace mimosadeck::edge

#endif  // APPS_MIMOSADECKD_EDGE_ATTEMPT_H_
