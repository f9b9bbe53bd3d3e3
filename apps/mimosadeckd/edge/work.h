#ifndef APPS_MIMOSADECKD_EDGE_WORK_H_
#define APPS_MIMOSADECKD_EDGE_WORK_H_

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "answer/answer.h"
#include "forwarding/forwarding.h"
#include "mimosadeckd/edge/state.h"
#include "mimosadeckd/refusal.h"

namespace mimosadeck::edge {

/** @brief State of a caller's request while this entry handles it. */
struct request_context {
  net::http_request request;
  /** Id, key, time limit and length hints decoded from the request. */
  platform::caller_request caller_request;
  /** Routing table that was current when the request arrived; later manifests
   * do not affect the request. */
  std::shared_ptr<const routing::table> table;
  /** Null until the request was matched to a route. */
  const routing::route* route{};
  /** Null if the route or the manifest needs no key. */
  const routing::client_account* account{};
  std::string service;
  placement::job job;
  std::chrono::steady_clock::time_point arrived_at;
  std::chrono::steady_clock::time_point deadline;
  /** Time from the start of a planned stop to the arrival; unset if the request
   * arrived before it. */
  std::optional<std::chrono::milliseconds> arrived_in_stop;

  forwarding::progress progress;
  /** Splits a streamed response into whole events. */
  answer::event_framer framer;
  /** Incarnations of the upstreams of all attempts. */
  std::set<std::string> tried_upstreams;
  /** Upstreams left out of the last choice, since their limits left this entry
   * no permit. */
  std::size_t limited_upstreams{};
  /** Computed on first use by FingerprintOf(). */
  std::string fingerprint;
  /** Names of the prompt parts but the last one, which is the request's own. */
  std::vector<std::string> part_names;
  /** Condemned fingerprint or prompt part for which the request is refused;
   * empty if it is not. */
  std::string condemned_by;
  /** Upstream and end of each attempt, for the log. */
  std::string attempt_log;
  /** Expected time to first answer of the latest attempt. */
  std::optional<std::chrono::milliseconds> expected_first_answer;
  /** Time from arrival to the first event or the complete response. */
  std::optional<std::chrono::milliseconds> time_to_first_answer;
  /** Longest time between two reads that completed events. */
  std::chrono::milliseconds longest_event_gap{};
  std::chrono::steady_clock::time_point last_event_at;
  /** The pool classifies the prompt as long. */
  bool has_long_prompt{};
  /** The upstream is one of those that process long prompts. */
  bool beside_long_prompts{};
  /** Current upstream call, closed when the caller disconnects; may be null. */
  net::http_call* active_call{};
  bool caller_left{};
  /** The retry after the current attempt was already granted by MayRetry(). */
  bool retry_granted{};
  /** The end of a planned stop has cancelled the request. */
  bool is_cancelled{};

  /** @brief Returns the request's urgency; 0 is the most urgent. */
  [[nodiscard]] int Urgency() const {
    return route ? table->UrgencyOf(*route, account) : 0;
  }

  /** @brief Returns the client account's name; empty if no key is
   * needed. */
  [[nodiscard]] std::string AccountName() const {
    return account ? account->name : std::string{};
  }
};

/** @brief Returns the time elapsed since a start. */
[[nodiscard]] inline std::chrono::microseconds ElapsedSince(
    std::chrono::steady_clock::time_point start) {
  return std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now() - start);
}

/** @brief Truncates a time to whole milliseconds. */
[[nodiscard]] inline std::chrono::milliseconds ToMilliseconds(
    std::chrono::microseconds time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time);
}

/**
 * @brief Forwards a request to upstreams, with repeated attempts where the
 * route and the retry budget permit them, and sends the response to the caller.
 */
[[nodiscard]] asio::awaitable<void> Forward(
    edge_state& state,
    std::shared_ptr<request_context> context,
    net::exchange& exchange);

/** @brief Responds with a refusal and logs the end of the request. */
[[nodiscard]] asio::awaitable<void> Refuse(edge_state& state,
                                           const request_context& context,
                                           daemon::refusal reason,
                                           net::exchange& exchange);

/**
 * @brief Logs the end of a request and counts it in the metrics.
 * @param status Status code sent to the caller; 0 if the connection was cut
 * off.
 * @param outcome Name of the outcome in logs and metrics.
 */
void LogRequestEnd(edge_state& state,
                   const request_context& context,
                   int status,
                   std::string_view outcome);

/** @brief Returns whether the request or a part of its prompt is condemned, and
 * notes which. */
[[nodiscard]] bool IsCondemned(const edge_state& state,
                               request_context& context);

/** @brief Returns whether the request may be sent again after an attempt that
 * ended like this; consumes one repeat of the retry budget unless the attempt
 * did not connect. */
[[nodiscard]] bool MayRetry(edge_state& state,
                            request_context& context,
                            forwarding::attempt_end ended);

/** @brief Ends the attempts of requests of whose answer nothing was sent, so
 * that their callers get an error response. */
void CancelUnanswered(const edge_state& state);

/** @brief Logs the requests that the end of a planned stop cuts off. */
void LogRequestsCutOff(const edge_state& state);

/**
 * @brief Returns the fingerprint of a request.
 *
 * It is equal for requests with the same account, method, path and body; the
 * query is included only if the body is empty.
 */
[[nodiscard]] const std::string& FingerprintOf(request_context& context);

}  // namespace mimosadeck::edge

#endif  // APPS_MIMOSADECKD_EDGE_WORK_H_
