#include "sizing/sizing.h"

#include <algorithm>
#include <cmath>

namespace mimosadeck::sizing {
namespace internal {
namespace {

using counts = std::map<group, std::uint32_t>;

constexpr double kMsPerSecond = 1000;

std::uint32_t Total(const observation& seen, bool evictable) {
  std::uint32_t sum = 0;
  for (const auto& [data_centre, ready] : seen.ready) {
    sum += evictable ? ready.evictable : ready.lasting;
  }
  return sum;
}

double PresentNeed(const observation& seen, const options& settings) {
  const double reading = seen.tokens_per_second * seen.ms_per_token /
                         kMsPerSecond / settings.target_use;
  const double slots =
      seen.slots > 0 ? seen.running / (seen.slots * settings.target_room) : 0;
  const double memory =
      seen.cache_tokens > 0
          ? static_cast<double>(seen.held_tokens) /
                (static_cast<double>(seen.cache_tokens) * settings.target_room)
          : 0;
  return std::max({reading, slots, memory});
}

void UpdateNeed(planner& state,
                const options& settings,
                const observation& seen,
                mono_time now) {
  const bool has_load = seen.tokens_per_second > 0 || seen.running > 0;
  state.has_seen_load = state.has_seen_load || has_load;
  if (!state.has_seen_load) {
    const double provided = Total(seen, false) + Total(seen, true);
    const bool own_orders = Total(seen, true) > 0;
    if (!state.need || !own_orders) {
      state.need = std::max(state.need.value_or(0), provided);
    }
    state.need_at = now;
    return;
  }
  if (!state.need) {
    state.need = Total(seen, false) + Total(seen, true);
  }
  const std::chrono::duration<double> passed = now - state.need_at;
  const std::chrono::duration<double> half_life = settings.need_half_life;
  state.need_at = now;
  state.need = std::max(PresentNeed(seen, settings),
                        *state.need * std::exp2(-passed / half_life));
}

std::vector<std::string> ByPrice(const routing::scaling_bounds& bounds,
                                 const observation& seen) {
  std::vector<std::pair<double, std::string>> ranked;
  for (const auto& [data_centre, ready] : seen.ready) {
    const auto price = bounds.price_by_data_centre.find(data_centre);
    ranked.emplace_back(
        price == bounds.price_by_data_centre.end() ? 1 : price->second,
        data_centre);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<std::string> out;
  out.reserve(ranked.size());
  for (const auto& [price, data_centre] : ranked) {
    out.push_back(data_centre);
  }
  return out;
}

/** Deals upstreams to the data centres in turn, as far as bounds allow. */
void Deal(counts& plan,
          const std::vector<std::string>& data_centres,
          bool evictable,
          std::uint32_t wanted,
          std::uint32_t most) {
  bool dealt = true;
  while (wanted > 0 && dealt) {
    dealt = false;
    for (const auto& data_centre : data_centres) {
      const auto present =
          plan[{data_centre, true}] + plan[{data_centre, false}];
      if (wanted > 0 && present < most) {
        ++plan[{data_centre, evictable}];
        --wanted;
        dealt = true;
      }
    }
  }
}

std::uint32_t ReadyIn(const observation& seen, const group& of) {
  const auto found = seen.ready.find(of.first);
  if (found == seen.ready.end()) {
    return 0;
  }
  return of.second ? found->second.evictable : found->second.lasting;
}

/** Evictable upstreams that are ready or on their way. */
std::uint32_t StandingIn(const planner& state,
                         const options& settings,
                         const routing::scaling_bounds& bounds,
                         const observation& seen,
                         mono_time now) {
  std::uint32_t sum = 0;
  for (const auto& [data_centre, ready] : seen.ready) {
    const auto found = state.groups.find({data_centre, true});
    const bool on_its_way =
        found != state.groups.end() && found->second.settled &&
        now - found->second.sent_at < bounds.boot_time + settings.repeat_after;
    sum += on_its_way ? std::max(ready.evictable, found->second.ordered)
                      : ready.evictable;
  }
  return sum;
}

std::uint32_t Ceil(double value) {
  return static_cast<std::uint32_t>(std::ceil(std::max(0.0, value)));
}

counts Plan(const planner& state,
            const options& settings,
            const routing::scaling_bounds& bounds,
            const observation& seen,
            mono_time now) {
  const auto data_centres = ByPrice(bounds, seen);
  const auto lasting = Ceil(*state.need * settings.lasting_part);
  const auto total = Ceil(*state.need * settings.surplus);
  const auto standing_in = state.has_seen_load
                               ? StandingIn(state, settings, bounds, seen, now)
                               : Total(seen, true);
  const auto uncovered = Ceil(*state.need - standing_in);
  counts plan;
  Deal(plan, data_centres, false,
       std::max({lasting, uncovered,
                 static_cast<std::uint32_t>(data_centres.size())}),
       bounds.max_upstreams);
  Deal(plan, data_centres, true, total - std::min(total, lasting),
       bounds.max_upstreams);
  for (const auto& data_centre : data_centres) {
    auto& kept = plan[{data_centre, false}];
    const auto sum = kept + plan[{data_centre, true}];
    kept += bounds.min_upstreams - std::min(bounds.min_upstreams, sum);
  }
  return plan;
}

/** Tells whether a group's plan should be ordered now. */
bool IsDue(order_state& state,
           const options& settings,
           std::chrono::milliseconds boot_time,
           std::uint32_t ready,
           std::uint32_t wanted,
           mono_time now) {
  if (wanted >= state.ordered) {
    state.lower_since.reset();
  }
  if (now < state.not_before) {
    return false;
  }
  const auto since_order = now - state.sent_at;
  if (!state.settled && since_order >= settings.repeat_after) {
    return true;
  }
  // Upstreams that were taken away are ordered anew.
  const bool is_short = ready < std::min(state.ordered, wanted);
  if (is_short && since_order >= boot_time + settings.repeat_after) {
    return true;
  }
  if (wanted == state.ordered) {
    return false;
  }
  if (wanted > state.ordered) {
    return true;
  }
  if (!state.lower_since) {
    state.lower_since = now;
  }
  return now - *state.lower_since >= settings.shrink_delay;
}

}  // namespace
}  // namespace internal

std::optional<order> NextOrder(planner& state,
                               const options& settings,
                               const routing::scaling_bounds& bounds,
                               const observation& seen,
                               mono_time now) {
  if (seen.ready.empty()) {
    return std::nullopt;
  }
  internal::UpdateNeed(state, settings, seen, now);
  const auto plan = internal::Plan(state, settings, bounds, seen, now);
  std::optional<order> due;
  for (const auto& [group, wanted] : plan) {
    const auto [found, added] = state.groups.try_emplace(group);
    auto& present = found->second;
    if (added) {
      present.ordered = internal::ReadyIn(seen, group);
      present.settled = true;
    }
    if (!due && internal::IsDue(present, settings, bounds.boot_time,
                                internal::ReadyIn(seen, group), wanted, now)) {
      due = order{group.first, group.second, wanted};
      present.ordered = wanted;
      present.settled = false;
      present.sent_at = now;
      present.lower_since.reset();
    }
  }
  return due;
}

void OnAnswer(planner& state,
              const options& settings,
              const order& sent,
              order_answer answer,
              mono_time now) {
  auto& present = state.groups[{sent.data_centre, sent.evictable}];
  switch (answer) {
    case order_answer::accepted:
      present.settled = true;
      return;
    case order_answer::refused:
      present.not_before = now + settings.refused_pause;
      return;
    case order_answer::unanswered:
      present.not_before = now + settings.repeat_after;
      return;
  }
}

}  // namespace mimosadeck::sizing
