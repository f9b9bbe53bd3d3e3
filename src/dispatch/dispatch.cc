#include "dispatch/dispatch.h"

#include <algorithm>
#include <cmath>

namespace mimosadeck::dispatch {
namespace internal {
namespace {

constexpr int kLowestTier = admission::kTierCount - 1;
constexpr int kPreemptingTier = 1;
constexpr int kPreemptibleTier = 3;
constexpr std::chrono::hours kNoUpstreamWait{1};
constexpr std::chrono::milliseconds kShortestRetry{100};
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
      std::floor(settings.reserved_part * UsableSlots(state, now)));
}

/** @brief Busy part: exact own count, or a younger report if that is more. */
double LoadOf(const upstream& item, const options& settings, mono_time now) {
  const double own =
      item.slots ? static_cast<double>(item.in_flight) / item.slots : 1.0;
  if (item.reported_at == mono_time{}) {
    return own;
  }
  const std::chrono::duration<double> age = now - item.reported_at;
  const std::chrono::duration<double> half = settings.report_half_life;
  const double trust = std::exp2(-age / half);
  return own + trust * std::max(0.0, item.reported_load - own);
}

bool IsCondemnedNeighbour(const pool& state,
                          const request& wanted,
                          const upstream& item) {
  if (!wanted.isolate) {
    return std::any_of(state.grants.begin(), state.grants.end(),
                       [&](const auto& entry) {
                         return entry.second.work.isolate &&
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
         !IsCondemnedNeighbour(state, wanted, item);
}

/** @brief Tells whether any upstream could serve the request in time. */
bool HasCandidate(const pool& state, const request& wanted, mono_time now) {
  return std::any_of(
      state.upstreams.begin(), state.upstreams.end(), [&](const auto& item) {
        return IsUsable(item.second, now) && !wanted.avoid.contains(item.first);
      });
}

refused Refuse(const request& wanted,
               result_code code,
               std::chrono::milliseconds retry_after) {
  return {wanted, code, std::max(retry_after, kShortestRetry)};
}

action Give(pool& state,
            const request& wanted,
            upstream& chosen,
            mono_time now) {
  ++chosen.in_flight;
  grant given;
  given.id = state.next_grant++;
  given.work = wanted;
  given.upstream_id = chosen.id;
  given.granted_at = now;
  state.grants[given.id] = given;
  return granted{given, chosen.address, chosen.cheaper};
}

bool MayUseReserve(int tier) {
  return tier == 0;
}

/** @brief Gives slots to waiting requests until none fits. */
void Fill(pool& state,
          const options& settings,
          mono_time now,
          std::vector<action>& out) {
  std::vector<admission::queued_request> unfit;
  while (state.queue.size > 0) {
    const auto free = FreeSlots(state, now);
    if (free == 0) {
      break;
    }
    const int lowest =
        free > ReservedSlots(state, settings, now) ? kLowestTier : 0;
    const auto next = admission::Take(state.queue, settings.queue, now, lowest);
    if (!next) {
      break;
    }
    const request wanted = state.waiting.at(next->id);
    upstream* chosen = ChooseUpstream(state, settings, wanted, now);
    if (!chosen) {
      unfit.push_back(*next);
      continue;
    }
    state.waiting.erase(next->id);
    out.push_back(Give(state, wanted, *chosen, now));
  }
  for (const auto& item : unfit) {
    admission::CorrectService(state.queue, item.tier, item.account,
                              -item.expected_tokens, now);
    const auto again = admission::Offer(state.queue, settings.queue, item);
    if (!again.accepted) {
      out.push_back(Refuse(state.waiting.at(item.id), result_code::queue_full,
                           kShortestRetry));
      state.waiting.erase(item.id);
    }
  }
}

void MaybePreempt(pool& state,
                  const options& settings,
                  const request& wanted,
                  std::vector<action>& out) {
  if (!settings.preempt || wanted.tier > kPreemptingTier) {
    return;
  }
  const auto pending = static_cast<std::size_t>(
      std::count_if(state.grants.begin(), state.grants.end(),
                    [](const auto& item) { return item.second.preempted; }));
  std::size_t urgent = 0;
  for (int tier = 0; tier <= kPreemptingTier; ++tier) {
    urgent += state.queue.tiers.at(static_cast<std::size_t>(tier)).size;
  }
  if (pending >= urgent) {
    return;
  }
  grant* victim = nullptr;
  for (auto& [unused, item] : state.grants) {
    if (item.preempted || !item.work.resumable ||
        item.work.tier < kPreemptibleTier) {
      continue;
    }
    if (!victim || item.work.tier > victim->work.tier ||
        (item.work.tier == victim->work.tier &&
         item.granted_at > victim->granted_at)) {
      victim = &item;
    }
  }
  if (victim) {
    victim->preempted = true;
    out.push_back(preempt{*victim});
  }
}

void Measure(pool& state,
             const options& settings,
             const grant& given,
             std::uint32_t tokens,
             mono_time now) {
  const std::chrono::duration<double> took = now - given.granted_at;
  if (tokens == 0 || took.count() <= 0) {
    return;
  }
  const double rate = tokens / took.count();
  const double former = SlotRate(state, settings);
  state.tokens_per_slot_second = former + kRateSmoothing * (rate - former);
}

void OnUpstreamFault(pool& state,
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

bool IsUpstreamFault(ending how) {
  return how == ending::upstream_failed || how == ending::upstream_silent;
}

admission::queued_request QueueEntry(std::uint64_t ticket,
                                     const request& wanted,
                                     mono_time now) {
  admission::queued_request out;
  out.id = ticket;
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

void SetUpstream(pool& state, const upstream& known) {
  auto& entry = state.upstreams[known.id];
  entry.id = known.id;
  entry.address = known.address;
  entry.slots = known.slots;
  entry.cheaper = known.cheaper;
  entry.leaving = known.leaving;
}

void KeepUpstreams(pool& state, const std::set<std::string>& ids) {
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
    return internal::kNoUpstreamWait;
  }
  const auto free = internal::FreeSlots(state, now);
  const auto reserved = internal::ReservedSlots(state, settings, now);
  const bool has_slot =
      internal::MayUseReserve(wanted.tier) ? free > 0 : free > reserved;
  const double ahead = admission::TokensAhead(state.queue, wanted.tier,
                                              wanted.account, wanted.weight);
  if (has_slot && ahead <= 0) {
    return std::chrono::milliseconds::zero();
  }
  const double rate = slots * internal::SlotRate(state, settings);
  const double wait = ahead / rate * internal::kMillisPerSecond;
  const std::chrono::milliseconds longest = internal::kNoUpstreamWait;
  return std::min(longest, std::chrono::milliseconds(
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
      load_sum += internal::LoadOf(item, settings, now);
      ++usable;
    }
  }
  const double bound = usable ? settings.prefix_load_factor * load_sum /
                                        static_cast<double>(usable) +
                                    internal::kRateSmoothing
                              : 0;
  upstream* best = nullptr;
  double best_rank = 0;
  upstream* bound_by_prefix = nullptr;
  std::uint64_t best_hash = 0;
  for (auto& [id, item] : state.upstreams) {
    if (!internal::Fits(state, wanted, item, now)) {
      continue;
    }
    const double load = internal::LoadOf(item, settings, now);
    const bool prefers_cheaper = settings.prefer_cheaper_for_resumable &&
                                 wanted.resumable &&
                                 wanted.tier > internal::kPreemptingTier;
    const double rank = load + (prefers_cheaper != item.cheaper ? 1.0 : 0.0);
    if (!best || rank < best_rank) {
      best = &item;
      best_rank = rank;
    }
    const std::uint64_t hash = Hash64(id, wanted.prefix);
    if (wanted.prefix != 0 && load <= bound &&
        prefers_cheaper == item.cheaper &&
        (!bound_by_prefix || hash > best_hash)) {
      bound_by_prefix = &item;
      best_hash = hash;
    }
  }
  return bound_by_prefix ? bound_by_prefix : best;
}

std::vector<action> OnRequest(pool& state,
                              const options& settings,
                              const request& wanted,
                              mono_time now) {
  if (!internal::HasCandidate(state, wanted, now)) {
    return {internal::Refuse(wanted, result_code::no_upstream,
                             settings.failure_pause)};
  }
  const auto wait = PredictWait(state, settings, wanted, now);
  if (settings.predict_wait && wanted.tier != 0 && !wanted.resumed &&
      wait > wanted.max_wait) {
    return {internal::Refuse(wanted, result_code::wait_too_long,
                             wait - wanted.max_wait)};
  }
  const auto ticket = state.next_ticket++;
  const auto outcome = admission::Offer(
      state.queue, settings.queue, internal::QueueEntry(ticket, wanted, now));
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
  state.waiting[ticket] = wanted;
  internal::Fill(state, settings, now, out);
  if (state.waiting.contains(ticket)) {
    internal::MaybePreempt(state, settings, wanted, out);
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
  const grant given = found->second;
  state.grants.erase(found);
  const auto holder = state.upstreams.find(given.upstream_id);
  if (holder != state.upstreams.end() && holder->second.in_flight > 0) {
    --holder->second.in_flight;
  }
  if (internal::IsUpstreamFault(how)) {
    internal::OnUpstreamFault(state, settings, given.upstream_id, now);
  }
  internal::Measure(state, settings, given, tokens, now);
  admission::CorrectService(
      state.queue, given.work.tier, given.work.account,
      static_cast<double>(tokens) - given.work.expected_tokens, now);
  internal::Fill(state, settings, now, out);
  return out;
}

std::vector<action> OnEntryGone(pool& state,
                                const options& settings,
                                const std::string& entry,
                                mono_time now) {
  std::vector<std::uint64_t> gone;
  for (const auto& [id, given] : state.grants) {
    if (given.work.entry == entry) {
      gone.push_back(id);
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
  for (const auto id : gone) {
    auto more = OnRelease(state, settings, id, ending::caller_left, 0, now);
    out.insert(out.end(), more.begin(), more.end());
  }
  return out;
}

void AdoptGrant(pool& state, const grant& given) {
  const auto holder = state.upstreams.find(given.upstream_id);
  if (holder == state.upstreams.end() || state.grants.contains(given.id)) {
    return;
  }
  ++holder->second.in_flight;
  state.grants[given.id] = given;
}

std::vector<action> Tick(pool& state, const options& settings, mono_time now) {
  std::vector<action> out;
  for (const auto& item : admission::RemoveExpired(state.queue, now)) {
    const request wanted = state.waiting.at(item.id);
    out.push_back(internal::Refuse(wanted, result_code::deadline_passed,
                                   PredictWait(state, settings, wanted, now)));
    state.waiting.erase(item.id);
  }
  internal::Fill(state, settings, now, out);
  return out;
}

void OrderPools(std::vector<pool_choice>& choices,
                std::chrono::milliseconds leaving_cost) {
  const auto cost = [leaving_cost](const pool_choice& choice) {
    const auto wait = choice.wait.value_or(std::chrono::milliseconds::zero());
    return choice.local ? wait : wait + leaving_cost;
  };
  std::stable_sort(choices.begin(), choices.end(),
                   [&cost](const pool_choice& a, const pool_choice& b) {
                     const auto cost_a = cost(a);
                     const auto cost_b = cost(b);
                     return cost_a != cost_b ? cost_a < cost_b
                                             : a.free_part > b.free_part;
                   });
}

}  // namespace mimosadeck::dispatch
