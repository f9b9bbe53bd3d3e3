#ifndef FORWARDING_FORWARDING_H_
#define FORWARDING_FORWARDING_H_

#include <chrono>
#include <optional>

#include "forwarding/fwd.h"
#include "forwarding/response_memory.h"
#include "forwarding/service_time.h"
#include "routing/routing.h"

namespace mimosadeck::forwarding {

/** @brief How an attempt at an upstream ended without a complete answer. */
enum class attempt_end {
  /** No connection; no byte of the request was sent. */
  not_connected,
  /** The upstream reported that it did not run the request. */
  refused,
  /** The request was sent, and its answer was incomplete or missing. */
  broke_off,
  /** The upstream ran the request and reported a failure of its own. */
  failed,
};

/** @brief What the entry does after an attempt. */
enum class next_step {
  /** Send the request to another upstream. */
  send_again,
  /** Answer that the request has not run and will not run. */
  refuse_not_run,
  /** Answer that it is unknown whether the request ran. */
  fail_unknown,
  /** Answer with the failure that the upstream reported. */
  forward_failure,
  /** Abort the answer, part of which was already sent. */
  cut_off,
};

/** @brief Results of all attempts of one request so far. */
struct progress {
  /** Attempts that may have run. */
  int possible_runs{};
  /** Attempts without a connection. */
  int connect_failures{};
  /** Attempts refused by an upstream. */
  int refusals{};
  /** Part of the answer was sent to the caller. */
  bool answer_started{};
};

/** @brief Limits on the attempts of one request. */
struct options {
  /** Connection failures after which no other attempt is started. */
  int max_connect_failures{8};
  /** Refusals after which no other attempt is started. */
  int max_refusals{3};
};

/** @brief Returns true if a request of a route may run more than once. */
[[nodiscard]] bool IsRetryable(const routing::route& route);

/**
 * @brief Returns the time between complete events after which a stream is
 * resumed at another upstream.
 *
 * Callers abandon a stream after this time. Bytes that do not complete an event
 * do not restart it.
 *
 * @param state Attempts that have ended, without the one in progress.
 * @return Nothing if the stream cannot be resumed or this is its last attempt;
 * then only the timeout of the route ends a silent stream.
 */
[[nodiscard]] std::optional<std::chrono::milliseconds> StallTimeout(
    const progress& state,
    const routing::route& route);

/**
 * @brief Returns true if another attempt is allowed after one that ended.
 *
 * An attempt after `not_connected` costs nothing; any other is a retry at an
 * upstream and must be covered by the retry budget.
 */
[[nodiscard]] bool MayRetry(const progress& state,
                            const options& settings,
                            const routing::route& route,
                            attempt_end ended);

/**
 * @brief Records the end of an attempt and returns the next step.
 * @param can_retry False if the retry budget does not cover another attempt, or
 * no upstream or no time is left for one.
 */
[[nodiscard]] next_step OnAttemptEnd(progress& state,
                                     const options& settings,
                                     const routing::route& route,
                                     attempt_end ended,
                                     bool can_retry);

/** @brief Returns the last step when no other attempt can be started. */
[[nodiscard]] next_step OnNoAttemptLeft(const progress& state);

}  // namespace mimosadeck::forwarding

#endif  // FORWARDING_FORWARDING_H_
