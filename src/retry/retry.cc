#include "retry/retry.h"

#include <algorithm>

namespace mimosadeck::retry {
namespace internal {
namespace {

constexpr double kAtOncePart = 0.5;

/** Repeats that requests may save up; more would let an old lull pay for a
 * present storm. */
constexpr double kMostSaved = 2;

double Share(const limit& allowed, std::uint32_t entries) {
  return kAtOncePart * kSafePart * allowed.extra / std::max(1U, entries);
}

void Refill(budget& state,
            const limit& allowed,
            std::uint32_t entries,
            mono_time now) {
  const double share = Share(allowed, entries);
  if (!state.tokens) {
    state.tokens = share;
    state.filled_at = now;
    return;
  }
  const std::chrono::duration<double> passed = now - state.filled_at;
  const std::chrono::duration<double> window = allowed.window;
  state.filled_at = now;
  state.tokens =
      std::min(share + kMostSaved, *state.tokens + share * (passed / window));
}

}  // namespace
}  // namespace internal

void OnFirstAttempt(budget& state,
                    const limit& allowed,
                    std::uint32_t entries,
                    mono_time now) {
  internal::Refill(state, allowed, entries, now);
  const double most = internal::Share(allowed, entries) + internal::kMostSaved;
  state.tokens = std::min(most, *state.tokens + kSafePart * allowed.ratio);
}

bool TryRetry(budget& state,
              const limit& allowed,
              std::uint32_t entries,
              mono_time now) {
  internal::Refill(state, allowed, entries, now);
  if (*state.tokens < 1) {
    return false;
  }
  *state.tokens -= 1;
  return true;
}

}  // namespace mimosadeck::retry
