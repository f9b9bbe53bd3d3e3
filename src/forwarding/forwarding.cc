#include "forwarding/forwarding.h"

#include <algorithm>

namespace mimosadeck::forwarding {
namespace internal {
namespace {

/** The platform's protocol lets callers abandon a stream after the longest of a
 * minimum time, a multiple of the route's goal and one of its pause goal. */
constexpr std::chrono::milliseconds kMinStallTimeout{2000};
constexpr int kStallGoalFactor = 4;
constexpr int kStallPauseFactor = 8;

void RecordEnd(progress& state, attempt_end ended) {
  switch (ended) {
    case attempt_end::not_connected:
      ++state.connect_failures;
      return;
    case attempt_end::refused:
      ++state.refusals;
      return;
    case attempt_end::broke_off:
    case attempt_end::failed:
      ++state.possible_runs;
      return;
  }
}

progress ProgressAfter(progress state, attempt_end ended) {
  RecordEnd(state, ended);
  return state;
}

}  // namespace
}  // namespace internal

bool IsRetryable(const routing::route& route) {
  switch (route.kind) {
    case routing::request_kind::idempotent:
      return true;
    case routing::request_kind::non_idempotent:
      return false;
    case routing::request_kind::stream:
      return route.resumable;
  }
  return false;
}

std::optional<std::chrono::milliseconds> StallTimeout(
    const progress& state,
    const routing::route& route) {
  const bool is_last_attempt = state.possible_runs + 1 >= route.max_attempts;
  if (route.kind != routing::request_kind::stream || !route.resumable ||
      is_last_attempt) {
    return std::nullopt;
  }
  const auto pause = route.pause_goal.value_or(std::chrono::milliseconds(0));
  return std::max({internal::kMinStallTimeout,
                   internal::kStallGoalFactor * route.goal,
                   internal::kStallPauseFactor * pause});
}

bool MayRetry(const progress& state,
              const options& settings,
              const routing::route& route,
              attempt_end ended) {
  const auto after = internal::ProgressAfter(state, ended);
  switch (ended) {
    case attempt_end::not_connected:
      return after.connect_failures < settings.max_connect_failures;
    case attempt_end::refused:
      return after.refusals < settings.max_refusals;
    case attempt_end::broke_off:
    case attempt_end::failed:
      return IsRetryable(route) && after.possible_runs < route.max_attempts;
  }
  return false;
}

next_step OnAttemptEnd(progress& state,
                       const options& settings,
                       const routing::route& route,
                       attempt_end ended,
                       bool can_retry) {
  const bool sends_again = can_retry && MayRetry(state, settings, route, ended);
  internal::RecordEnd(state, ended);
  if (sends_again) {
    return next_step::send_again;
  }
  if (ended == attempt_end::failed && !state.answer_started) {
    return next_step::forward_failure;
  }
  return OnNoAttemptLeft(state);
}

next_step OnNoAttemptLeft(const progress& state) {
  if (state.answer_started) {
    return next_step::cut_off;
  }
  return state.possible_runs == 0 ? next_step::refuse_not_run
                                  : next_step::fail_unknown;
}

}  // namespace mimosadeck::forwarding
