#include "sizing/sizing.h"

#include <algorithm>
#include <cmath>

namespace mimosadeck::sizing {
namespace internal {
namespace {

using group_counts = std::map<group, std::uint32_t>;

constexpr double kMsPerSecond = 1000;

/** Counts the ready upstreams of one kind in the data centres that serve. */
std::uint32_t CountReady(const observation& observed, bool evictable) {
  std::uint32_t sum = 0;
  for (const auto& [data_centre, ready] : observed.ready) {
    if (!observed.evacuated.contains(data_centre)) {
      sum += evictable ? ready.evictable : ready.lasting;
    }
  }
  return sum;
}

/** Returns the number of upstreams that the current load needs. */
double CurrentNeed(const observation& observed, const options& settings) {
  const double reading = observed.tokens_per_second * observed.ms_per_token /
                         kMsPerSecond / settings.target_utilisation;
  const double slots =
      observed.slots > 0
          ? observed.running / (observed.slots * settings.target_occupancy)
          : 0;
  const double memory = observed.cache_tokens > 0
                            ? static_cast<double>(observed.held_tokens) /
                                  (static_cast<double>(observed.cache_tokens) *
                                   settings.target_occupancy)
                            : 0;
  return std::max({reading, slots, memory});
}

void UpdateNeed(planner& state,
                const options& settings,
                const observation& observed,
                mono_time now) {
  const bool has_load = observed.tokens_per_second > 0 || observed.running > 0;
  state.has_seen_load = state.has_seen_load || has_load;
  if (!state.has_seen_load) {
    const double ready_total =
        CountReady(observed, false) + CountReady(observed, true);
    const bool has_evictable = CountReady(observed, true) > 0;
    if (!state.need || !has_evictable) {
      state.need = std::max(state.need.value_or(0), ready_total);
    }
    state.need_updated_at = now;
    return;
  }
  if (!state.need) {
    state.need = CountReady(observed, false) + CountReady(observed, true);
  }
  const std::chrono::duration<double> elapsed = now - state.need_updated_at;
  const std::chrono::duration<double> half_life = settings.need_half_life;
  state.need_updated_at = now;
  state.need = std::max(CurrentNeed(observed, settings),
                        *state.need * std::exp2(-elapsed / half_life));
}

/** Returns the data centres that serve, the cheapest first. */
std::vector<std::string> DataCentresByPrice(
    const routing::scaling_bounds& bounds,
    const observation& observed) {
  std::vector<std::pair<double, std::string>> by_price;
  for (const auto& [data_centre, ready] : observed.ready) {
    if (observed.evacuated.contains(data_centre)) {
      continue;
    }
    const auto price = bounds.price_by_data_centre.find(data_centre);
    by_price.emplace_back(
        price == bounds.price_by_data_centre.end() ? 1 : price->second,
        data_centre);
  }
  std::sort(by_price.begin(), by_price.end());
  std::vector<std::string> out;
  out.reserve(by_price.size());
  for (const auto& [price, data_centre] : by_price) {
    out.push_back(data_centre);
  }
  return out;
}

/** Adds upstreams of one kind to a plan, round-robin over the data centres,
 * until all are placed or every data centre is at its maximum. */
void DistributeRoundRobin(group_counts& plan,
                          const std::vector<std::string>& data_centres,
                          bool evictable,
                          std::uint32_t wanted,
                          std::uint32_t max_per_data_centre) {
  bool placed_any = true;
  while (wanted > 0 && placed_any) {
    placed_any = false;
    for (const auto& data_centre : data_centres) {
      const auto present =
          plan[{data_centre, true}] + plan[{data_centre, false}];
      if (wanted > 0 && present < max_per_data_centre) {
        ++plan[{data_centre, evictable}];
        --wanted;
        placed_any = true;
      }
    }
  }
}

std::uint32_t CountReadyInGroup(const observation& observed, const group& key) {
  const auto found = observed.ready.find(key.first);
  if (found == observed.ready.end()) {
    return 0;
  }
  return key.second ? found->second.evictable : found->second.lasting;
}

/** Counts the evictable upstreams, in data centres that serve, that are ready
 * or were ordered recently enough to be booting still. */
std::uint32_t CountReadyOrBooting(const planner& state,
                                  const options& settings,
                                  const routing::scaling_bounds& bounds,
                                  const observation& observed,
                                  mono_time now) {
  std::uint32_t sum = 0;
  for (const auto& [data_centre, ready] : observed.ready) {
    if (observed.evacuated.contains(data_centre)) {
      continue;
    }
    const auto found = state.groups.find({data_centre, true});
    const bool is_booting =
        found != state.groups.end() && found->second.confirmed &&
        now - found->second.sent_at < bounds.boot_time + settings.retry_delay;
    sum += is_booting ? std::max(ready.evictable, found->second.ordered_count)
                      : ready.evictable;
  }
  return sum;
}

std::uint32_t CeilToCount(double value) {
  return static_cast<std::uint32_t>(std::ceil(std::max(0.0, value)));
}

group_counts MakePlan(const planner& state,
                      const options& settings,
                      const routing::scaling_bounds& bounds,
                      const observation& observed,
                      mono_time now) {
  const auto data_centres = DataCentresByPrice(bounds, observed);
  const auto lasting = CeilToCount(*state.need * settings.lasting_fraction);
  const auto total = CeilToCount(*state.need * settings.overprovision_factor);
  const auto evictable_supply =
      state.has_seen_load
          ? CountReadyOrBooting(state, settings, bounds, observed, now)
          : CountReady(observed, true);
  const auto uncovered = CeilToCount(*state.need - evictable_supply);
  group_counts plan;
  DistributeRoundRobin(
      plan, data_centres, false,
      std::max({lasting, uncovered,
                static_cast<std::uint32_t>(data_centres.size())}),
      bounds.max_upstreams);
  DistributeRoundRobin(plan, data_centres, true,
                       total - std::min(total, lasting), bounds.max_upstreams);
  for (const auto& [data_centre, ready] : observed.ready) {
    auto& kept = plan[{data_centre, false}];
    const auto sum = kept + plan[{data_centre, true}];
    kept += bounds.min_upstreams - std::min(bounds.min_upstreams, sum);
  }
  return plan;
}

/** Returns whether an order for a group's planned count should be sent now. */
bool IsDue(order_state& state,
           const options& settings,
           std::chrono::milliseconds boot_time,
           std::uint32_t ready,
           std::uint32_t wanted,
           mono_time now) {
  if (wanted >= state.ordered_count) {
    state.plan_lower_since.reset();
  }
  if (now < state.retry_at) {
    return false;
  }
  const auto since_order = now - state.sent_at;
  if (!state.confirmed && since_order >= settings.retry_delay) {
    return true;
  }
  // Orders again when upstreams were evicted.
  const bool is_missing_upstreams =
      ready < std::min(state.ordered_count, wanted);
  if (is_missing_upstreams && since_order >= boot_time + settings.retry_delay) {
    return true;
  }
  if (wanted == state.ordered_count) {
    return false;
  }
  if (wanted > state.ordered_count) {
    return true;
  }
  if (!state.plan_lower_since) {
    state.plan_lower_since = now;
  }
  return now - *state.plan_lower_since >= settings.scale_down_delay;
}

}  // namespace
}  // namespace internal

std::uint32_t TypicalSlots(std::vector<std::uint32_t> slots) {
  if (slots.empty()) {
    return 0;
  }
  const auto middle =
      slots.begin() + static_cast<std::ptrdiff_t>(slots.size() / 2);
  std::nth_element(slots.begin(), middle, slots.end());
  return *middle;
}

std::optional<order> NextOrder(planner& state,
                               const options& settings,
                               const routing::scaling_bounds& bounds,
                               const observation& observed,
                               mono_time now) {
  if (observed.ready.empty()) {
    return std::nullopt;
  }
  internal::UpdateNeed(state, settings, observed, now);
  const auto plan = internal::MakePlan(state, settings, bounds, observed, now);
  std::optional<order> due;
  for (const auto& [group, wanted] : plan) {
    const auto [found, added] = state.groups.try_emplace(group);
    auto& current = found->second;
    if (added) {
      current.ordered_count = internal::CountReadyInGroup(observed, group);
      current.confirmed = true;
    }
    if (!due && internal::IsDue(current, settings, bounds.boot_time,
                                internal::CountReadyInGroup(observed, group),
                                wanted, now)) {
      due = order{group.first, group.second, wanted};
      current.ordered_count = wanted;
      current.confirmed = false;
      current.sent_at = now;
      current.plan_lower_since.reset();
    }
  }
  return due;
}

void OnOrderAnswer(planner& state,
                   const options& settings,
                   const order& sent,
                   order_answer answer,
                   mono_time now) {
  auto& current = state.groups[{sent.data_centre, sent.evictable}];
  switch (answer) {
    case order_answer::accepted:
      current.confirmed = true;
      return;
    case order_answer::refused:
      current.retry_at = now + settings.refused_retry_delay;
      return;
    case order_answer::unanswered:
      current.retry_at = now + settings.retry_delay;
      return;
  }
}

}  // namespace mimosadeck::sizing
