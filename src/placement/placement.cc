#include "placement/placement.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <tuple>

#include "base/base.h"

namespace mimosadeck::placement {
namespace internal {
namespace {

/** Time to generate one answer token in a batch, as the number of prompt tokens
 * read in that time. */
constexpr double kPromptTokensPerAnswerToken = 6;
/** Factor by which the short prompts' share of the upstreams exceeds their
 * share of the work, since their streams tolerate less waiting. */
constexpr double kShortPromptHeadroom = 1.5;
/** Time in which recorded demand decays to half. */
constexpr std::chrono::duration<double> kDemandHalfLife{3.0};
/** The number of upstreams for short prompts changes only if it differs from
 * the wanted number by more than this. */
constexpr double kSplitHysteresis = 0.7;
/** Cost of an upstream in the group for the other prompt length, as a fraction
 * of the goal. */
constexpr double kWrongGroupPenalty = 0.4;
/** Cost of an upstream whose slots or memory are exhausted, as a multiple of
 * the goal: a request sent there is sure to miss it. */
constexpr double kFullUpstreamPenalty = 2;
/** Weight of the newest sample in a plain service's mean service time. */
constexpr double kServiceTimeSmoothing = 0.1;
/** Retries are spread over a quarter of the wait in this many steps. */
constexpr std::uint64_t kRetrySteps = 64;
constexpr std::int64_t kRetrySpreadDivisor = 4 * kRetrySteps;
/** Number of recorded parts per upstream from which expired ones are erased. */
constexpr std::size_t kPartCleanupThreshold = 4096;

using candidate_list = std::vector<const candidate*>;

bool IsEngine(const pool& state) {
  return state.cache_tokens > 0;
}

/** Returns the upstreams in an order that is the same on every entry, so that
 * all split them into the same groups. */
candidate_list SortedByHash(const pool& state) {
  std::vector<std::pair<std::uint64_t, const candidate*>> by_hash;
  by_hash.reserve(state.candidates.size());
  for (const auto& [name, found] : state.candidates) {
    by_hash.emplace_back(found.incarnation_hash, &found);
  }
  std::sort(by_hash.begin(), by_hash.end());
  candidate_list out;
  out.reserve(by_hash.size());
  for (const auto& [hash, found] : by_hash) {
    out.push_back(found);
  }
  return out;
}

std::uint32_t SharedTokens(const job& wanted) {
  std::uint32_t sum = 0;
  for (std::size_t i = 0; i + 1 < wanted.parts.size(); ++i) {
    sum += wanted.parts[i].tokens;
  }
  return std::min(sum, wanted.prompt_tokens);
}

bool IsLong(const pool& state, const options& settings, const job& wanted) {
  const bool is_tight = wanted.pause_goal.count() > 0 &&
                        wanted.pause_goal <= state.tightest_pause_goal;
  if (state.tightest_pause_goal.count() == 0 || is_tight) {
    return false;
  }
  const double reading = (wanted.prompt_tokens - SharedTokens(wanted)) *
                         MsPerToken(state.read_times);
  return reading > settings.long_prompt_fraction *
                       static_cast<double>(state.tightest_pause_goal.count());
}

/** Returns the upstream of a group that should cache a prompt's shared parts,
 * chosen by rendezvous hashing. */
const candidate* PreferredForPrefix(const candidate_list& group,
                                    const job& wanted) {
  if (wanted.parts.size() < 2) {
    return nullptr;
  }
  const auto prefix_id = wanted.parts[wanted.parts.size() - 2].id;
  const candidate* best = nullptr;
  std::uint64_t highest = 0;
  for (const auto* target : group) {
    const auto score = MixBits(target->incarnation_hash ^ prefix_id);
    if (!best || score > highest) {
      best = target;
      highest = score;
    }
  }
  return best;
}

/** Returns how many leading tokens of a prompt an upstream should have
 * cached. */
std::uint32_t CachedTokens(const candidate& target,
                           const options& settings,
                           const job& wanted,
                           bool is_preferred,
                           mono_time now) {
  std::uint32_t sum = 0;
  for (std::size_t i = 0; i < wanted.parts.size(); ++i) {
    const auto& part = wanted.parts[i];
    const auto last_sent = target.parts.find(part.id);
    const bool sent_here = last_sent != target.parts.end() &&
                           now - last_sent->second < settings.cache_retention;
    const bool shared = i + 1 < wanted.parts.size();
    if (!sent_here && !(is_preferred && shared)) {
      break;
    }
    sum += part.tokens;
  }
  return std::min(sum, wanted.prompt_tokens);
}

double FailureCost(const candidate& target,
                   const options& settings,
                   const job& wanted,
                   mono_time now) {
  const auto rate = outlier::FailureRate(target.health, settings.health, now);
  return rate * static_cast<double>(wanted.goal.count());
}

double DistanceCost(const candidate& target,
                    const options& settings,
                    const std::string& data_centre) {
  return target.upstream->data_centre == data_centre
             ? 0
             : static_cast<double>(settings.cross_data_centre_cost.count());
}

double CapacityCost(const pool& state,
                    const candidate& target,
                    const options& settings,
                    const job& wanted) {
  const auto all = TotalLoad(target);
  const double goal = static_cast<double>(wanted.goal.count());
  double cost = 0;
  if (target.upstream->slots > 0 && all.running >= target.upstream->slots) {
    cost += kFullUpstreamPenalty * goal *
            (1.0 + all.running - target.upstream->slots) /
            target.upstream->slots;
  }
  const double memory =
      settings.memory_fraction * static_cast<double>(state.cache_tokens);
  const double held = all.held_tokens + wanted.prompt_tokens;
  if (IsEngine(state) && held > memory) {
    cost += kFullUpstreamPenalty * goal * (held / memory - 1);
  }
  return cost;
}

/** Returns whether an upstream is in a request's random sample. */
bool IsSampled(const candidate& target,
               const options& settings,
               const job& wanted,
               std::size_t count) {
  return settings.sample_size == 0 || settings.sample_size >= count ||
         MixBits(target.incarnation_hash ^ wanted.sampling_key) % count <
             settings.sample_size;
}

/** Cost and expected wait in milliseconds, and uncached prompt tokens. */
struct estimate {
  double cost{};
  double wait{};
  std::uint32_t unread_tokens{};
};

estimate EstimatePlainService(const candidate& target) {
  const auto all = TotalLoad(target);
  const double slots = std::max(1U, target.upstream->slots);
  const double wait = target.mean_service_ms * (1 + all.running / slots);
  return {wait, wait, 0};
}

estimate EstimateEngine(const pool& state,
                        const candidate& target,
                        const options& settings,
                        const job& wanted,
                        bool is_preferred,
                        mono_time now) {
  const auto all = TotalLoad(target);
  const double per_token = MsPerToken(state.read_times);
  const auto cached = CachedTokens(target, settings, wanted, is_preferred, now);
  const auto shared = SharedTokens(wanted);
  const auto reread = cached < shared ? shared - cached : 0;
  estimate out;
  out.unread_tokens = wanted.prompt_tokens - cached;
  out.wait = BaseMs(state.read_times) +
             per_token * (all.unread_tokens + out.unread_tokens);
  const std::chrono::duration<double, std::milli> cost_per_running_request =
      settings.cost_per_running_request;
  out.cost = out.wait + settings.cache_miss_weight * per_token * reread +
             cost_per_running_request.count() * all.running;
  return out;
}

std::uint32_t SubtractSaturating(std::uint32_t from, std::uint32_t amount) {
  return from > amount ? from - amount : 0;
}

candidate* FindCandidate(pool& state, const selection& sent) {
  const auto found = state.candidates.find(sent.incarnation);
  return found == state.candidates.end() ? nullptr : &found->second;
}

void EraseExpiredParts(candidate& target,
                       const options& settings,
                       mono_time now) {
  if (target.parts.size() < kPartCleanupThreshold) {
    return;
  }
  std::erase_if(target.parts, [&](const auto& part) {
    return now - part.second > settings.cache_retention;
  });
}

}  // namespace
}  // namespace internal

void SetUpstreams(
    pool& state,
    const std::vector<std::shared_ptr<const registry::upstream>>& usable) {
  std::map<std::string, candidate, std::less<>> next;
  for (const auto& upstream : usable) {
    auto name = registry::IncarnationOf(*upstream);
    const auto existing = state.candidates.find(name);
    auto& updated = next[name];
    if (existing != state.candidates.end()) {
      updated = std::move(existing->second);
    }
    updated.upstream = upstream;
    updated.incarnation_hash = Hash64(name);
  }
  state.candidates = std::move(next);
}

void SetAvailability(pool& state,
                     std::string_view incarnation,
                     mono_time closed_until,
                     mono_time avoided_until) {
  const auto found = state.candidates.find(incarnation);
  if (found != state.candidates.end()) {
    found->second.closed_until = closed_until;
    found->second.avoided_until = avoided_until;
  }
}

void SetAlwaysSampled(pool& state,
                      std::string_view incarnation,
                      bool is_always_sampled) {
  const auto found = state.candidates.find(incarnation);
  if (found != state.candidates.end()) {
    found->second.always_sampled = is_always_sampled;
  }
}

std::optional<std::chrono::milliseconds> TimeUntilAvailable(const pool& state,
                                                            mono_time now) {
  std::optional<mono_time> earliest;
  for (const auto& [name, found] : state.candidates) {
    earliest =
        std::min(earliest.value_or(found.closed_until), found.closed_until);
  }
  if (!earliest || *earliest <= now) {
    return std::nullopt;
  }
  return std::chrono::ceil<std::chrono::milliseconds>(*earliest - now);
}

std::optional<std::chrono::milliseconds> RetryAfter(const pool& state,
                                                    const job& wanted,
                                                    mono_time now) {
  const auto wait = TimeUntilAvailable(state, now);
  if (!wait) {
    return std::nullopt;
  }
  const auto step =
      static_cast<std::int64_t>(wanted.sampling_key % internal::kRetrySteps);
  return *wait + *wait * step / internal::kRetrySpreadDivisor;
}

void SetRemoteLoads(pool& state,
                    const std::map<std::string, load>& by_incarnation,
                    const demand& wanted) {
  for (auto& [name, found] : state.candidates) {
    const auto reported = by_incarnation.find(name);
    found.remote_load =
        reported == by_incarnation.end() ? load{} : reported->second;
  }
  state.remote_demand = wanted;
}

std::optional<selection> Choose(const pool& state,
                                const options& settings,
                                const job& wanted,
                                const std::string& data_centre,
                                const std::set<std::string>& excluded,
                                mono_time now) {
  const auto upstreams = internal::SortedByHash(state);
  const bool is_engine = internal::IsEngine(state);
  const bool is_long = is_engine && internal::IsLong(state, settings, wanted);
  const auto split_index =
      std::min(state.short_prompt_upstreams, upstreams.size());
  const bool is_split = split_index > 0 && split_index < upstreams.size();
  const auto first_long =
      upstreams.begin() + static_cast<std::ptrdiff_t>(split_index);
  const internal::candidate_list group =
      !is_split
          ? upstreams
          : (is_long ? internal::candidate_list(first_long, upstreams.end())
                     : internal::candidate_list(upstreams.begin(), first_long));
  const auto* preferred = internal::PreferredForPrefix(group, wanted);
  const candidate* best = nullptr;
  internal::estimate lowest;
  bool best_sampled = false;
  bool best_ejected = false;
  bool beside_long = false;
  for (std::size_t i = 0; i < upstreams.size(); ++i) {
    const auto& target = *upstreams[i];
    if (now < target.closed_until) {
      continue;
    }
    if (!excluded.empty() &&
        excluded.contains(registry::IncarnationOf(*target.upstream))) {
      continue;
    }
    auto current =
        is_engine ? internal::EstimateEngine(state, target, settings, wanted,
                                             &target == preferred, now)
                  : internal::EstimatePlainService(target);
    current.cost += internal::FailureCost(target, settings, wanted, now) +
                    internal::DistanceCost(target, settings, data_centre) +
                    internal::CapacityCost(state, target, settings, wanted);
    if (is_split && is_long != (i >= split_index)) {
      current.cost += internal::kWrongGroupPenalty *
                      static_cast<double>(wanted.goal.count());
    }
    const bool is_ejected =
        outlier::IsEjected(target.health, now) || now < target.avoided_until;
    const bool is_sampled =
        &target == preferred || target.always_sampled ||
        internal::IsSampled(target, settings, wanted, group.size());
    const auto sort_key = std::tuple(is_ejected, !is_sampled, current.cost);
    if (!best ||
        sort_key < std::tuple(best_ejected, !best_sampled, lowest.cost)) {
      best = &target;
      best_sampled = is_sampled;
      beside_long = i >= split_index;
      lowest = current;
      best_ejected = is_ejected;
    }
  }
  if (!best) {
    return std::nullopt;
  }
  selection out;
  out.upstream = best->upstream;
  out.incarnation = registry::IncarnationOf(*best->upstream);
  out.unread_tokens = lowest.unread_tokens;
  out.held_tokens = wanted.prompt_tokens + wanted.answer_tokens;
  out.expected = std::chrono::milliseconds(std::llround(lowest.wait));
  out.is_long = is_long;
  out.beside_long = beside_long;
  return out;
}

void OnSent(pool& state,
            const options& settings,
            const selection& sent,
            const job& wanted,
            mono_time now) {
  auto* target = internal::FindCandidate(state, sent);
  if (!target) {
    return;
  }
  ++target->own_load.running;
  target->own_load.unread_tokens += sent.unread_tokens;
  target->own_load.held_tokens += sent.held_tokens;
  for (const auto& part : wanted.parts) {
    target->parts[part.id] = now;
  }
  internal::EraseExpiredParts(*target, settings, now);
  const double work =
      sent.unread_tokens +
      internal::kPromptTokensPerAnswerToken * wanted.answer_tokens;
  (sent.is_long ? state.own_demand.long_work : state.own_demand.short_work) +=
      work;
}

void OnAnswerStarted(pool& state,
                     const selection& sent,
                     std::chrono::microseconds elapsed) {
  auto* target = internal::FindCandidate(state, sent);
  if (!target) {
    return;
  }
  target->own_load.unread_tokens = internal::SubtractSaturating(
      target->own_load.unread_tokens, sent.unread_tokens);
  if (internal::IsEngine(state)) {
    AddSample(state.read_times, sent.unread_tokens, elapsed);
  }
}

void OnEnded(pool& state, const selection& sent, bool answer_started) {
  auto* target = internal::FindCandidate(state, sent);
  if (!target) {
    return;
  }
  target->own_load.running =
      internal::SubtractSaturating(target->own_load.running, 1);
  target->own_load.held_tokens = internal::SubtractSaturating(
      target->own_load.held_tokens, sent.held_tokens);
  if (!answer_started) {
    target->own_load.unread_tokens = internal::SubtractSaturating(
        target->own_load.unread_tokens, sent.unread_tokens);
  }
}

void OnOutcome(pool& state,
               const options& settings,
               const selection& sent,
               outlier::outcome outcome,
               std::chrono::microseconds elapsed,
               mono_time now) {
  auto* target = internal::FindCandidate(state, sent);
  if (!target) {
    return;
  }
  outlier::OnOutcome(target->health, settings.health, outcome, now);
  if (outcome == outlier::outcome::served && !internal::IsEngine(state)) {
    const std::chrono::duration<double, std::milli> ms = elapsed;
    target->mean_service_ms += internal::kServiceTimeSmoothing *
                               (ms.count() - target->mean_service_ms);
  }
}

std::map<std::string, load> OwnLoads(const pool& state) {
  std::map<std::string, load> out;
  for (const auto& [name, found] : state.candidates) {
    if (found.own_load != load{}) {
      out[name] = found.own_load;
    }
  }
  return out;
}

load TotalLoad(const candidate& target) {
  return {target.own_load.running + target.remote_load.running,
          target.own_load.unread_tokens + target.remote_load.unread_tokens,
          target.own_load.held_tokens + target.remote_load.held_tokens};
}

double WorkPerSecond(const pool& state) {
  const auto& own = state.own_demand;
  const auto& remote = state.remote_demand;
  const double decayed_work =
      own.short_work + own.long_work + remote.short_work + remote.long_work;
  // At a steady rate the decaying sum settles at the rate times the mean
  // lifetime, which is the half-life divided by ln 2.
  return decayed_work * std::numbers::ln2 / internal::kDemandHalfLife.count();
}

void Tick(pool& state, mono_time now) {
  const std::chrono::duration<double> elapsed = now - state.demand_updated_at;
  state.demand_updated_at = now;
  const double decay = std::exp2(-elapsed / internal::kDemandHalfLife);
  state.own_demand.short_work *= decay;
  state.own_demand.long_work *= decay;
  const double short_weight =
      internal::kShortPromptHeadroom *
      (state.own_demand.short_work + state.remote_demand.short_work);
  const double long_weight =
      state.own_demand.long_work + state.remote_demand.long_work;
  const auto count = static_cast<double>(state.candidates.size());
  if (short_weight <= 0 || long_weight <= 0 || count < 2) {
    state.short_prompt_upstreams = 0;
    return;
  }
  const double wanted = std::clamp(
      count * short_weight / (short_weight + long_weight), 1.0, count - 1);
  const auto current = static_cast<double>(state.short_prompt_upstreams);
  if (std::abs(wanted - current) > internal::kSplitHysteresis) {
    state.short_prompt_upstreams =
        static_cast<std::size_t>(std::lround(wanted));
  }
}

}  // namespace mimosadeck::placement
