#ifndef APPS_MIMOSADECKD_EDGE_ATTEMPT_H_
#define APPS_MIMOSADECKD_EDGE_ATTEMPT_H_

#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "mimosadeckd/edge/work.h"

namespace mimosadeck::edge {

/**
 * @brief Returns whether a status code tells the caller that the request was
 * not executed, so that it may be sent again.
 */
[[nodiscard]] bool MeansNotExecuted(int status);

/** @brief A complete response of an upstream that may go to the caller. */
struct complete_response {
  net::http_response response;
  /** The status is below 300. */
  bool is_success{};
  /** Counts the body until the response was sent. */
  forwarding::held_bytes held;
};

/** @brief An event stream that was forwarded to its end. */
struct stream_finished {};

/** @brief An attempt that produced no complete response for the caller. */
struct attempt_failure {
  forwarding::attempt_end end{forwarding::attempt_end::broke_off};
  /** The connection stayed open, but nothing arrived before the timeout. */
  bool timed_out{};
  /** Description of the failure, for the log. */
  std::string reason;
  /** The upstream's error response, if it sent one. */
  std::optional<net::http_response> upstream_response;
  /** Counts the body of this response until it was sent; unset without one. */
  std::optional<forwarding::held_bytes> held = std::nullopt;
};

using attempt_result =
    std::variant<complete_response, stream_finished, attempt_failure>;

/**
 * @brief Sends a request to one upstream and forwards an event stream.
 *
 * Events go to the caller as they arrive. Any other response is returned
 * instead of sent, because another attempt may follow a failure.
 *
 * @param ticket The upstream chosen for this attempt.
 * @param exchange Connection to the caller.
 */
[[nodiscard]] asio::awaitable<attempt_result> RunAttempt(
    edge_state& state,
    std::shared_ptr<request_context> context,
    placement::selection selection,
    net::exchange& exchange);

}  // namespace mimosadeck::edge

#endif  // APPS_MIMOSADECKD_EDGE_ATTEMPT_H_
