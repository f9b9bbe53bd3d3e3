#include "forwarding/forwarding.h"

#include <algorithm>

namespace mimosadeck::forwarding {
namespace internal {
namespace {

/** Callers abandon a stream after the longest of these (the platform's page of
 * the protocol): this time, so many goals, so many pauses. */
constexpr std::chrono::milliseconds kShortestPatience{2000};
constexpr int kGoalsWaited = 4;
constexpr int kPausesWaited = 8;

void Note(progress& state, attempt_end ended) {
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

progress After(progress state, attempt_end ended) {
  Note(state, ended);
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
    const routing::route& route) {
  if (route.kind != routing::request_kind::stream || !route.resumable) {
    return std::nullopt;
  }
  const auto pause = route.pause_goal.value_or(std::chrono::milliseconds(0));
  return std::max({internal::kShortestPatience,
                   internal::kGoalsWaited * route.goal,
                   internal::kPausesWaited * pause});
}

bool MayRetry(const progress& state,
              const options& settings,
              const routing::route& route,
              attempt_end ended) {
  const auto after = internal::After(state, ended);
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
                       bool covered) {
  const bool again = covered && MayRetry(state, settings, route, ended);
  internal::Note(state, ended);
  if (again) {
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
