#include "rate_limit/warm_up.h"

#include <algorithm>

namespace mimosadeck::rate_limit {
namespace internal {
namespace {

constexpr std::chrono::milliseconds kWarmUpPermitLifetime{400};
/** Difference between the clocks of entries, and between the times that their
 * requests take to arrive, that the bound leaves room for. */
constexpr std::chrono::milliseconds kArrivalSpread{150};

}  // namespace
}  // namespace internal

options WarmUpOptions(std::chrono::milliseconds settle_time) {
  options out;
  out.permit_lifetime = internal::kWarmUpPermitLifetime;
  out.settle_time = settle_time;
  out.minority_fraction = 0;
  return out;
}

double WarmUpRate(const options& settings,
                  const warm_up_bound& bound,
                  double bearable_rate) {
  constexpr std::chrono::seconds kCounted{1};
  const std::chrono::duration<double> issued_within =
      kCounted + settings.permit_lifetime + internal::kArrivalSpread;
  // One permit more than the time suggests may fall into it.
  const double allowed = bearable_rate * bound.factor + bound.extra - 1;
  return std::clamp(allowed / issued_within.count(), settings.min_rate,
                    std::max(bearable_rate, settings.min_rate));
}

void SetWarmUpLimits(limit_table& state,
                     const std::map<std::string, double, std::less<>>& rates,
                     mono_time now) {
  std::erase_if(state.by_incarnation, [&rates](const auto& item) {
    return !rates.contains(item.first);
  });
  for (const auto& [incarnation, rate] : rates) {
    state.by_incarnation[incarnation] = {rate, now};
  }
}

}  // namespace mimosadeck::rate_limit
