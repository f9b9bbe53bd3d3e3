#include "dispatch/dispatch.h"

#include <algorithm>
#include <cmath>

namespace mimosadeck::dispatch {
namespace internal {
namespace {

constexpr int kLowestTier = admission::kTierCount - 1;
constexpr int kLowestPreemptingTier = 1;
constexpr int kHighestPreemptibleTier = 3;
constexpr std::chrono::hours kMaxPredictedWait{1};
constexpr std::chrono::milliseconds kMinRetryAfter{100};
constexpr double kRateSmoothing = 0.1;
constexpr double kMillisPerSecond = 1000;

bool IsUsable(const upstream& item, mono_time now) {
  return !item.leaving && now >= item.paused_until;
}

double SlotRate(const pool& state, const options& settings) {
  return state.tokens_per_slot_second > 0 ? state.tokens_per_slot_second
                                          : settings.tokens_per_slot_second;
}

std::uint32_t FreeSlots(const pool& state, mono_time now) {
  std::uint32_t total = 0;
  for (const auto& [unused, item] : state.upstreams) {
    if (IsUsable(item, now) && item.slots > item.in_flight) {
      total += item.slots - item.in_flight;
    }
  }
  return total;
}

std::uint32_t ReservedSlots(const pool& state,
                            const options& settings,
                            mono_time now) {
  return static_cast<std::uint32_t>(
      std::floor(settings.reserved_fraction * UsableSlots(state, now)));
}

/** @brief Returns the busy fraction of an upstream: that of granted slots, plus
 * what a load report exceeds it by, weighted down by the report's age. */
double EstimateLoad(const upstream& item,
                    const options& settings,
                    mono_time now) {
  const double granted_load =
      item.slots ? static_cast<double>(item.in_flight) / item.slots : 1.0;
  if (item.reported_at == mono_time{}) {
    return granted_load;
  }
  const std::chrono::duration<double> age = now - item.reported_at;
  const std::chrono::duration<double> half_life =
      settings.load_report_half_life;
  const double report_weight = std::exp2(-age / half_life);
  return granted_load +
         report_weight * std::max(0.0, item.reported_load - granted_load);
}

/** @brief Returns whether an upstream is excluded because either this request
 * or one that runs there must run alone. */
bool IsBlockedByIsolation(const pool& state,
                          const request& wanted,
                          const upstream& item) {
  if (!wanted.run_alone) {
    return std::any_of(state.grants.begin(), state.grants.end(),
                       [&](const auto& entry) {
                         return entry.second.request.run_alone &&
                                entry.second.upstream_id == item.id;
                       });
  }
  return item.in_flight > 0;
}

bool Fits(const pool& state,
          const request& wanted,
          const upstream& item,
          mono_time now) {
  return IsUsable(item, now) && item.in_flight < item.slots &&
         !wanted.avoid.contains(item.id) &&
         !IsBlockedByIsolation(state, wanted, item);
}

/** @brief Returns whether any usable upstream is not on the request's avoid
 * list. */
bool HasUsableUpstream(const pool& state,
                       const request& wanted,
                       mono_time now) {
  return std::any_of(
      state.upstreams.begin(), state.upstreams.end(), [&](const auto& item) {
        return IsUsable(item.second, now) && !wanted.avoid.contains(item.first);
      });
}

refused Refuse(const request& wanted,
               result_code code,
               std::chrono::milliseconds retry_after) {
  return {wanted, code, std::max(retry_after, kMinRetryAfter)};
}

/** @brief Grants a slot of an upstream to a request. */
action Grant(pool& state,
             const request& wanted,
             upstream& chosen,
             mono_time now) {
  ++chosen.in_flight;
  grant out;
  out.id = state.next_grant_id++;
  out.request = wanted;
  out.upstream_id = chosen.id;
  out.granted_at = now;
  state.grants[out.id] = out;
  return granted{out, chosen.address, chosen.cheaper};
}

bool MayUseReservedSlots(int tier) {
  return tier == 0;
}

/** @brief Grants free slots to queued requests. Requests without a suitable
 * upstream are put back into the queue. */
void GrantWaiting(pool& state,
                  const options& settings,
                  mono_time now,
                  std::vector<action>& out) {
  std::vector<admission::queued_request> skipped;
  while (state.queue.size > 0) {
    const auto free_slots = FreeSlots(state, now);
    if (free_slots == 0) {
      break;
    }
    const int lowest_tier =
        free_slots > ReservedSlots(state, settings, now) ? kLowestTier : 0;
    const auto next =
        admission::Take(state.queue, settings.queue, now, lowest_tier);
    if (!next) {
      break;
    }
    const request wanted = state.waiting.at(next->id);
    upstream* chosen = ChooseUpstream(state, settings, wanted, now);
    if (!chosen) {
      skipped.push_back(*next);
      continue;
    }
    state.waiting.erase(next->id);
    out.push_back(Grant(state, wanted, *chosen, now));
  }
  for (const auto& item : skipped) {
    admission::CorrectService(state.queue, item.tier, item.account,
                              -item.expected_tokens, now);
    const auto requeued = admission::Offer(state.queue, settings.queue, item);
    if (!requeued.accepted) {
      out.push_back(Refuse(state.waiting.at(item.id), result_code::queue_full,
                           kMinRetryAfter));
      state.waiting.erase(item.id);
    }
  }
}

/** @brief Preempts the newest resumable grant of the lowest tier unless enough
 * preemptions are pending for the queued requests of tiers 0 and 1. */
void PreemptIfUrgent(pool& state,
                     const options& settings,
                     const request& wanted,
                     std::vector<action>& out) {
  if (!settings.preempt || wanted.tier > kLowestPreemptingTier) {
    return;
  }
  const auto pending_preemptions = static_cast<std::size_t>(
      std::count_if(state.grants.begin(), state.grants.end(),
                    [](const auto& item) { return item.second.preempted; }));
  std::size_t urgent = 0;
  for (int tier = 0; tier <= kLowestPreemptingTier; ++tier) {
    urgent += state.queue.tiers.at(static_cast<std::size_t>(tier)).size;
  }
  if (pending_preemptions >= urgent) {
    return;
  }
  grant* victim = nullptr;
  for (auto& [unused, item] : state.grants) {
    if (item.preempted || !item.request.resumable ||
        item.request.tier < kHighestPreemptibleTier) {
      continue;
    }
    if (!victim || item.request.tier > victim->request.tier ||
        (item.request.tier == victim->request.tier &&
         item.granted_at > victim->granted_at)) {
      victim = &item;
    }
  }
  if (victim) {
    victim->preempted = true;
    out.push_back(preempt{*victim});
  }
}

/** @brief Updates the measured tokens per second of a slot. */
void UpdateSlotRate(pool& state,
                    const options& settings,
                    const grant& released,
                    std::uint32_t tokens,
                    mono_time now) {
  const std::chrono::duration<double> elapsed = now - released.granted_at;
  if (tokens == 0 || elapsed.count() <= 0) {
    return;
  }
  const double rate = tokens / elapsed.count();
  const double previous_rate = SlotRate(state, settings);
  state.tokens_per_slot_second =
      previous_rate + kRateSmoothing * (rate - previous_rate);
}

void PauseUpstream(pool& state,
                   const options& settings,
                   const std::string& upstream_id,
                   mono_time now) {
  const auto found = state.upstreams.find(upstream_id);
  if (found == state.upstreams.end()) {
    return;
  }
  ++found->second.failures;
  found->second.paused_until = now + settings.failure_pause;
}

bool IsUpstreamFailure(ending how) {
  return how == ending::upstream_failed || how == ending::upstream_silent;
}

admission::queued_request MakeQueuedRequest(std::uint64_t queue_id,
                                            const request& wanted,
                                            mono_time now) {
  admission::queued_request out;
  out.id = queue_id;
  out.account = wanted.account;
  out.weight = wanted.weight;
  out.tier = std::clamp(wanted.tier, 0, kLowestTier);
  out.expected_tokens = wanted.expected_tokens;
  out.arrived = now;
  out.deadline = now + wanted.max_wait;
  return out;
}

}  // namespace
}  // namespace internal

void SetUpstream(pool& state, const upstream& updated) {
  auto& existing = state.upstreams[updated.id];
  existing.id = updated.id;
  existing.address = updated.address;
  existing.slots = updated.slots;
  existing.cheaper = updated.cheaper;
  existing.leaving = updated.leaving;
}

void RetainUpstreams(pool& state, const std::set<std::string>& ids) {
  for (auto it = state.upstreams.begin(); it != state.upstreams.end();) {
    if (ids.contains(it->first)) {
      ++it;
      continue;
    }
    it->second.leaving = true;
    it = it->second.in_flight == 0 ? state.upstreams.erase(it) : std::next(it);
  }
}

void OnLoadReport(pool& state,
                  const std::string& upstream_id,
                  double load,
                  mono_time now) {
  const auto found = state.upstreams.find(upstream_id);
  if (found == state.upstreams.end()) {
    return;
  }
  found->second.reported_load = load;
  found->second.reported_at = now;
}

std::uint32_t UsableSlots(const pool& state, mono_time now) {
  std::uint32_t total = 0;
  for (const auto& [unused, item] : state.upstreams) {
    if (internal::IsUsable(item, now)) {
      total += item.slots;
    }
  }
  return total;
}

std::chrono::milliseconds PredictWait(const pool& state,
                                      const options& settings,
                                      const request& wanted,
                                      mono_time now) {
  const auto slots = UsableSlots(state, now);
  if (slots == 0) {
    return internal::kMaxPredictedWait;
  }
  const auto free_slots = internal::FreeSlots(state, now);
  const auto reserved_slots = internal::ReservedSlots(state, settings, now);
  const bool has_slot = internal::MayUseReservedSlots(wanted.tier)
                            ? free_slots > 0
                            : free_slots > reserved_slots;
  const double tokens_ahead = admission::TokensAhead(
      state.queue, wanted.tier, wanted.account, wanted.weight);
  if (has_slot && tokens_ahead <= 0) {
    return std::chrono::milliseconds::zero();
  }
  const double tokens_per_second = slots * internal::SlotRate(state, settings);
  const double wait =
      tokens_ahead / tokens_per_second * internal::kMillisPerSecond;
  const std::chrono::milliseconds max_wait = internal::kMaxPredictedWait;
  return std::min(max_wait, std::chrono::milliseconds(
                                static_cast<std::int64_t>(std::ceil(wait))));
}

upstream* ChooseUpstream(pool& state,
                         const options& settings,
                         const request& wanted,
                         mono_time now) {
  double load_sum = 0;
  std::size_t usable = 0;
  for (const auto& [unused, item] : state.upstreams) {
    if (internal::IsUsable(item, now)) {
      load_sum += internal::EstimateLoad(item, settings, now);
      ++usable;
    }
  }
  const double load_bound = usable ? settings.bounded_load_factor * load_sum /
                                             static_cast<double>(usable) +
                                         internal::kRateSmoothing
                                   : 0;
  upstream* best = nullptr;
  double best_cost = 0;
  upstream* prefix_match = nullptr;
  std::uint64_t prefix_match_hash = 0;
  for (auto& [id, item] : state.upstreams) {
    if (!internal::Fits(state, wanted, item, now)) {
      continue;
    }
    const double load = internal::EstimateLoad(item, settings, now);
    const bool prefers_cheaper = settings.prefer_cheaper_for_resumable &&
                                 wanted.resumable &&
                                 wanted.tier > internal::kLowestPreemptingTier;
    const double cost = load + (prefers_cheaper != item.cheaper ? 1.0 : 0.0);
    if (!best || cost < best_cost) {
      best = &item;
      best_cost = cost;
    }
    const std::uint64_t hash = Hash64(id, wanted.prefix);
    if (wanted.prefix != 0 && load <= load_bound &&
        prefers_cheaper == item.cheaper &&
        (!prefix_match || hash > prefix_match_hash)) {
      prefix_match = &item;
      prefix_match_hash = hash;
    }
  }
  return prefix_match ? prefix_match : best;
}

std::vector<action> OnRequest(pool& state,
                              const options& settings,
                              const request& wanted,
                              mono_time now) {
  if (!internal::HasUsableUpstream(state, wanted, now)) {
    return {internal::Refuse(wanted, result_code::no_upstream,
                             settings.failure_pause)};
  }
  const auto wait = PredictWait(state, settings, wanted, now);
  if (settings.predict_wait && wanted.tier != 0 && !wanted.resumed &&
      wait > wanted.max_wait) {
    return {internal::Refuse(wanted, result_code::wait_too_long,
                             wait - wanted.max_wait)};
  }
  const auto queue_id = state.next_queue_id++;
  const auto outcome =
      admission::Offer(state.queue, settings.queue,
                       internal::MakeQueuedRequest(queue_id, wanted, now));
  std::vector<action> out;
  if (outcome.displaced) {
    out.push_back(internal::Refuse(state.waiting.at(outcome.displaced->id),
                                   result_code::displaced, wait));
    state.waiting.erase(outcome.displaced->id);
  }
  if (!outcome.accepted) {
    out.push_back(internal::Refuse(wanted, result_code::queue_full, wait));
    return out;
  }
  state.waiting[queue_id] = wanted;
  internal::GrantWaiting(state, settings, now, out);
  if (state.waiting.contains(queue_id)) {
    internal::PreemptIfUrgent(state, settings, wanted, out);
  }
  return out;
}

void OnCancel(pool& state, const std::string& entry, std::uint64_t request_id) {
  for (auto it = state.waiting.begin(); it != state.waiting.end();) {
    if (it->second.entry == entry && it->second.id == request_id) {
      admission::Remove(state.queue, it->first);
      it = state.waiting.erase(it);
    } else {
      ++it;
    }
  }
}

std::vector<action> OnRelease(pool& state,
                              const options& settings,
                              std::uint64_t grant_id,
                              ending how,
                              std::uint32_t tokens,
                              mono_time now) {
  std::vector<action> out;
  const auto found = state.grants.find(grant_id);
  if (found == state.grants.end()) {
    return out;
  }
  const grant released = found->second;
  state.grants.erase(found);
  const auto upstream = state.upstreams.find(released.upstream_id);
  if (upstream != state.upstreams.end() && upstream->second.in_flight > 0) {
    --upstream->second.in_flight;
  }
  if (internal::IsUpstreamFailure(how)) {
    internal::PauseUpstream(state, settings, released.upstream_id, now);
  }
  internal::UpdateSlotRate(state, settings, released, tokens, now);
  admission::CorrectService(
      state.queue, released.request.tier, released.request.account,
      static_cast<double>(tokens) - released.request.expected_tokens, now);
  internal::GrantWaiting(state, settings, now, out);
  return out;
}

std::vector<action> OnEntryGone(pool& state,
                                const options& settings,
                                const std::string& entry,
                                mono_time now) {
  std::vector<std::uint64_t> grant_ids;
  for (const auto& [id, grant] : state.grants) {
    if (grant.request.entry == entry) {
      grant_ids.push_back(id);
    }
  }
  for (auto it = state.waiting.begin(); it != state.waiting.end();) {
    if (it->second.entry == entry) {
      admission::Remove(state.queue, it->first);
      it = state.waiting.erase(it);
    } else {
      ++it;
    }
  }
  std::vector<action> out;
  for (const auto id : grant_ids) {
    auto actions = OnRelease(state, settings, id, ending::caller_left, 0, now);
    out.insert(out.end(), actions.begin(), actions.end());
  }
  return out;
}

void AdoptGrant(pool& state, const grant& adopted) {
  const auto upstream = state.upstreams.find(adopted.upstream_id);
  if (upstream == state.upstreams.end() || state.grants.contains(adopted.id)) {
    return;
  }
  ++upstream->second.in_flight;
  state.grants[adopted.id] = adopted;
}

std::vector<action> Tick(pool& state, const options& settings, mono_time now) {
  std::vector<action> out;
  for (const auto& item : admission::RemoveExpired(state.queue, now)) {
    const request wanted = state.waiting.at(item.id);
    out.push_back(internal::Refuse(wanted, result_code::deadline_passed,
                                   PredictWait(state, settings, wanted, now)));
    state.waiting.erase(item.id);
  }
  internal::GrantWaiting(state, settings, now, out);
  return out;
}

void OrderPools(std::vector<pool_choice>& choices,
                std::chrono::milliseconds cross_data_centre_cost) {
  const auto cost = [cross_data_centre_cost](const pool_choice& choice) {
    const auto wait = choice.wait.value_or(std::chrono::milliseconds::zero());
    return choice.local ? wait : wait + cross_data_centre_cost;
  };
  std::stable_sort(choices.begin(), choices.end(),
                   [&cost](const pool_choice& a, const pool_choice& b) {
                     const auto cost_a = cost(a);
                     const auto cost_b = cost(b);
                     return cost_a != cost_b
                                ? cost_a < cost_b
                                : a.free_fraction > b.free_fraction;
                   });
}

}  // namespace mimosadeck::dispatch
