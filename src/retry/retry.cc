#include "retry/retry.h"

#include <algorithm>

namespace mimosadeck::retry {
namespace internal {
namespace {

/** Fraction of the extra retries that may be spent as a burst. */
constexpr double kBurstFraction = 0.5;

/** Retries that first attempts can accumulate; with more, a quiet period would
 * pay for a later retry storm. */
constexpr double kMaxAccumulated = 2;

double Share(const limit& allowed, std::uint32_t entries) {
  return kBurstFraction * kSafetyFactor * allowed.extra / std::max(1U, entries);
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
  state.tokens = std::min(share + kMaxAccumulated,
                          *state.tokens + share * (passed / window));
}

}  // namespace
}  // namespace internal

void OnFirstAttempt(budget& state,
                    const limit& allowed,
                    std::uint32_t entries,
                    mono_time now) {
  internal::Refill(state, allowed, entries, now);
  const double capacity =
      internal::Share(allowed, entries) + internal::kMaxAccumulated;
  state.tokens =
      std::min(capacity, *state.tokens + kSafetyFactor * allowed.ratio);
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
