#include "outlier/outlier.h"

#include <algorithm>
#include <cmath>

namespace mimosadeck::outlier {

void OnOutcome(record& state,
               const options& settings,
               outcome observed,
               mono_time now) {
  const double failed = observed == outcome::served ? 0 : 1;
  const double before = FailureRate(state, settings, now);
  state.failure_rate = before + settings.newest_weight * (failed - before);
  state.rate_updated_at = now;
  if (observed != outcome::unreachable) {
    state.consecutive_ejections = 0;
    return;
  }
  // Requests in flight at the same time fail together and count once.
  if (now < state.ejected_until) {
    return;
  }
  auto ejection = settings.initial_ejection;
  for (std::uint32_t i = 0;
       i < state.consecutive_ejections && ejection < settings.max_ejection;
       ++i) {
    ejection *= 2;
  }
  ++state.consecutive_ejections;
  state.ejected_until = now + std::min(ejection, settings.max_ejection);
}

bool IsEjected(const record& state, mono_time now) {
  return now < state.ejected_until;
}

double FailureRate(const record& state,
                   const options& settings,
                   mono_time now) {
  const std::chrono::duration<double> age = now - state.rate_updated_at;
  const std::chrono::duration<double> half_life = settings.half_life;
  return state.failure_rate * std::exp2(-age / half_life);
}

}  // namespace mimosadeck::outlier
