#include "mimosadeckd/edge/observe.h"

#include <array>
#include <string>
#include <utility>

namespace mimosadeck::edge {
namespace internal {
namespace {

constexpr double kMsPerSecond = 1000;

double Seconds(mono_duration time) {
  return std::chrono::duration<double>(time).count();
}

void ObservePool(telemetry::metrics& metrics,
                 const rate_limit::limit_table& limits,
                 const rate_limit::limit_table& warm_up_limits,
                 const std::string& service,
                 const placement::pool& pool,
                 mono_time now) {
  placement::load all;
  int ejected = 0;
  int limited = 0;
  int cold = 0;
  for (const auto& [name, candidate] : pool.candidates) {
    const auto load = placement::TotalLoad(candidate);
    all.running += load.running;
    all.unread_tokens += load.unread_tokens;
    ejected += outlier::IsEjected(candidate.health, now) ? 1 : 0;
    limited += rate_limit::LimitOf(limits, name) ? 1 : 0;
    cold += rate_limit::LimitOf(warm_up_limits, name) ? 1 : 0;
  }
  metrics.Set("mimosadeck_upstreams", "service", service,
              static_cast<double>(pool.candidates.size()));
  metrics.Set("mimosadeck_upstreams_ejected", "service", service, ejected);
  metrics.Set("mimosadeck_upstreams_limited", "service", service, limited);
  metrics.Set("mimosadeck_upstreams_cold", "service", service, cold);
  metrics.Set("mimosadeck_upstream_requests_running", "service", service,
              all.running);
  metrics.Set("mimosadeck_upstream_unread_tokens", "service", service,
              all.unread_tokens);
  metrics.Set("mimosadeck_reading_seconds_per_token", "service", service,
              placement::MsPerToken(pool.read_times) / kMsPerSecond);
}

/** Sets the age of the newest read of each feed that this entry knows of. */
void SetReadAges(edge_state& state, mono_time now) {
  const std::array<std::pair<std::string, fleet::store_feed>, 2> feeds{
      {{"operator_rows", fleet::store_feed::operator_rows},
       {"upstreams", fleet::store_feed::upstreams}}};
  for (const auto& [name, feed] : feeds) {
    const auto newest = fleet::NewestRead(state.members, state.fleet_options,
                                          SelfInfo(state), feed, now);
    if (newest) {
      state.metrics.Set("mimosadeck_store_read_age_seconds", "feed", name,
                        Seconds(now - *newest));
    }
  }
}

}  // namespace
}  // namespace internal

void RefreshGauges(edge_state& state) {
  const auto now = SuspendAwareNow();
  auto& metrics = state.metrics;
  const auto& entry = state.machine.name;
  metrics.Set("mimosadeck_ready", "entry", entry, IsReady(state) ? 1 : 0);
  metrics.Set("mimosadeck_manifest_version", "entry", entry,
              state.table ? static_cast<double>(state.table->Version()) : 0);
  metrics.Set("mimosadeck_registry_version", "entry", entry,
              static_cast<double>(registry::NumberOf(state.upstreams.version)));
  metrics.Set("mimosadeck_store_era", "entry", entry,
              static_cast<double>(registry::EraOf(state.upstreams.version)));
  metrics.Set("mimosadeck_registry_current", "entry", entry,
              IsRegistryCurrent(state) ? 1 : 0);
  if (state.registry_synced_at) {
    metrics.Set("mimosadeck_registry_age_seconds", "entry", entry,
                internal::Seconds(now - *state.registry_synced_at));
  }
  metrics.Set("mimosadeck_store_followed", "entry", entry,
              state.store_reads.upstreams.answered_since ? 1 : 0);
  internal::SetReadAges(state, now);
  metrics.Set(
      "mimosadeck_entries_heard", "entry", entry,
      static_cast<double>(
          fleet::LiveMembers(state.members, state.fleet_options, now).size()));
  metrics.Set("mimosadeck_clock_correction_seconds", "entry", entry,
              internal::Seconds(fleet::ClockCorrection(
                  state.members, state.fleet_options, now)));
  metrics.Set("mimosadeck_lease_held", "entry", entry,
              lease::IsHeld(state.lease, now) ? 1 : 0);
  metrics.Set("mimosadeck_suspect_requests", "entry", entry,
              static_cast<double>(state.quarantine.suspects.size()));
  metrics.Set(
      "mimosadeck_condemned_requests", "entry", entry,
      static_cast<double>(quarantine::CondemnedCount(state.quarantine)));
  metrics.Set(
      "mimosadeck_condemned_prompt_parts", "entry", entry,
      static_cast<double>(quarantine::CondemnedPartCount(state.quarantine)));
  metrics.Set("mimosadeck_receive_bytes", "entry", entry,
              static_cast<double>(state.receive_budget->UsedBytes()));
  metrics.Set("mimosadeck_upstream_connections_idle", "entry", entry,
              static_cast<double>(state.upstream_connections.IdleCount()));
  metrics.Set(
      "mimosadeck_data_centres_evacuated", "entry", entry,
      static_cast<double>(evacuation::Evacuated(state.evacuations).size()));
  for (const auto& [service, pool] : state.pools) {
    internal::ObservePool(metrics, state.limits, state.warm_up_limits, service,
                          pool, now);
  }
  for (const auto& [service, budget] : state.retry_budgets) {
    metrics.Set("mimosadeck_retry_budget", "service", service,
                budget.tokens.value_or(0));
  }
}

}  // namespace mimosadeck::edge
