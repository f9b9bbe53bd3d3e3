#include "mimosadeckd/edge/warm_up.h"

namespace mimosadeck::edge {
namespace internal {
namespace {

using rate_table = std::map<std::string, double, std::less<>>;

/** @brief Returns the rates at which permits are issued for the upstreams that
 * are cold now, by incarnation. */
rate_table ColdRates(const edge_state& state) {
  rate_table out;
  const auto& bounds = state.machine.bounds;
  const rate_limit::warm_up_bound bound{bounds.cold_rate_factor,
                                        bounds.cold_extra_requests};
  const auto now = SuspendAwareNow();
  for (const auto& service : state.table->Services()) {
    if (!service.cold_requests_per_second) {
      continue;
    }
    const auto rate = rate_limit::WarmUpRate(state.warm_up_options, bound,
                                             *service.cold_requests_per_second);
    for (const auto& cold :
         registry::ColdUpstreams(state.upstreams, service.name, now)) {
      out.emplace(registry::IncarnationOf(*cold), rate);
    }
  }
  return out;
}

void LogWarmUp(const rate_limit::limit_table& before, const rate_table& rates) {
  for (const auto& [incarnation, rate] : rates) {
    if (!before.by_incarnation.contains(incarnation)) {
      telemetry::Log(telemetry::level::info, "upstream_cold",
                     {{"upstream", incarnation},
                      {"requests_per_second", std::to_string(rate)}});
    }
  }
  for (const auto& [incarnation, limit] : before.by_incarnation) {
    if (!rates.contains(incarnation)) {
      telemetry::Log(telemetry::level::info, "upstream_warm",
                     {{"upstream", incarnation}});
    }
  }
}

}  // namespace
}  // namespace internal

void RefreshWarmUp(edge_state& state) {
  if (!state.table) {
    return;
  }
  const auto rates = internal::ColdRates(state);
  if (rates.empty() && state.warm_up_limits.by_incarnation.empty()) {
    return;
  }
  internal::LogWarmUp(state.warm_up_limits, rates);
  for (const auto& [incarnation, limit] : state.warm_up_limits.by_incarnation) {
    if (rates.contains(incarnation)) {
      continue;
    }
    for (auto& [service, pool] : state.pools) {
      placement::SetAlwaysSampled(pool, incarnation, false);
    }
  }
  rate_limit::SetWarmUpLimits(state.warm_up_limits, rates, SuspendAwareNow());
}

void RefreshWarmUpPermits(edge_state& state) {
  RefreshWarmUp(state);
  if (state.warm_up_limits.by_incarnation.empty() &&
      state.warm_up_permits.by_incarnation.empty()) {
    return;
  }
  rate_limit::IssuePermits(state.warm_up_permits, state.warm_up_options,
                           state.warm_up_limits, state.participants,
                           FleetTime(state), SuspendAwareNow());
  for (const auto& [incarnation, limit] : state.warm_up_limits.by_incarnation) {
    const bool is_permitted =
        rate_limit::HasPermit(state.warm_up_permits, incarnation);
    for (auto& [service, pool] : state.pools) {
      placement::SetAlwaysSampled(pool, incarnation, is_permitted);
    }
  }
}

}  // namespace mimosadeck::edge
