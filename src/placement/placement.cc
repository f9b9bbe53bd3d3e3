#include "placement/placement.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <tuple>

#include "base/base.h"

namespace mimosadeck::placement {
namespace internal {
namespace {

/** Reading time of one answer token beside others, in prompt tokens. */
constexpr double kAnswerTokenWork = 6;
/** Short prompts get this much more room than their part of the work, since
 * their streams tolerate less waiting. */
constexpr double kShortPromptRoom = 1.5;
/** Time in which remembered demand halves. */
constexpr std::chrono::duration<double> kDemandHalfLife{3.0};
/** The border moves only if it is off by more than this. */
constexpr double kBorderSlack = 0.7;
/** Part of the goal charged for an upstream of the other pattern. */
constexpr double kOtherPatternPart = 0.4;
/** Goals missed for sure: the charge when an upstream has no room. */
constexpr double kNoRoomGoals = 2;
/** Weight of the newest sample in a plain service's mean time. */
constexpr double kNewestServiceTime = 0.1;
/** Callers come back in so many places of a quarter of their wait. */
constexpr std::uint64_t kReturnPlaces = 64;
constexpr std::int64_t kReturnSpread = 4 * kReturnPlaces;
/** Memory for this many parts is kept for each upstream. */
constexpr std::size_t kMostParts = 4096;

using in_order = std::vector<const candidate*>;

bool IsEngine(const pool& state) {
  return state.cache_tokens > 0;
}

/** Every entry orders the upstreams alike, so their borders agree. */
in_order Ordered(const pool& state) {
  std::vector<std::pair<std::uint64_t, const candidate*>> ranked;
  ranked.reserve(state.candidates.size());
  for (const auto& [name, found] : state.candidates) {
    ranked.emplace_back(found.rank, &found);
  }
  std::sort(ranked.begin(), ranked.end());
  in_order out;
  out.reserve(ranked.size());
  for (const auto& [rank, found] : ranked) {
    out.push_back(found);
  }
  return out;
}

/** Scatters the bits of a number (the finalizer of SplitMix64). */
std::uint64_t Mix(std::uint64_t value) {
  constexpr std::uint64_t kFirst = 0xbf58476d1ce4e5b9ULL;
  constexpr std::uint64_t kSecond = 0x94d049bb133111ebULL;
  value = (value ^ (value >> 30U)) * kFirst;
  value = (value ^ (value >> 27U)) * kSecond;
  return value ^ (value >> 31U);
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
                        wanted.pause_goal <= state.tightest_pause;
  if (state.tightest_pause.count() == 0 || is_tight) {
    return false;
  }
  const double reading =
      (wanted.prompt_tokens - SharedTokens(wanted)) * MsPerToken(state.reading);
  return reading > settings.long_prompt_part *
                       static_cast<double>(state.tightest_pause.count());
}

/** The upstream of a group on which a prompt's shared parts should lie. */
const candidate* HomeOf(const in_order& group, const job& wanted) {
  if (wanted.parts.size() < 2) {
    return nullptr;
  }
  const auto subject = wanted.parts[wanted.parts.size() - 2].id;
  const candidate* best = nullptr;
  std::uint64_t highest = 0;
  for (const auto* each : group) {
    const auto score = Mix(each->rank ^ subject);
    if (!best || score > highest) {
      best = each;
      highest = score;
    }
  }
  return best;
}

/** Tokens at the head of a prompt that an upstream is expected to keep. */
std::uint32_t CachedTokens(const candidate& at,
                           const options& settings,
                           const job& wanted,
                           bool is_home,
                           mono_time now) {
  std::uint32_t sum = 0;
  for (std::size_t i = 0; i < wanted.parts.size(); ++i) {
    const auto& part = wanted.parts[i];
    const auto seen = at.parts.find(part.id);
    const bool sent_here =
        seen != at.parts.end() && now - seen->second < settings.cache_time;
    const bool shared = i + 1 < wanted.parts.size();
    if (!sent_here && !(is_home && shared)) {
      break;
    }
    sum += part.tokens;
  }
  return std::min(sum, wanted.prompt_tokens);
}

double FailureCost(const candidate& at,
                   const options& settings,
                   const job& wanted,
                   mono_time now) {
  const auto rate = outlier::FailureRate(at.health, settings.health, now);
  return rate * static_cast<double>(wanted.goal.count());
}

double WayCost(const candidate& at,
               const options& settings,
               const std::string& data_centre) {
  return at.entry->data_centre == data_centre
             ? 0
             : static_cast<double>(settings.other_data_centre.count());
}

double RoomCost(const pool& state,
                const candidate& at,
                const options& settings,
                const job& wanted) {
  const auto all = TotalLoad(at);
  const double goal = static_cast<double>(wanted.goal.count());
  double cost = 0;
  if (at.entry->slots > 0 && all.running >= at.entry->slots) {
    cost += kNoRoomGoals * goal * (1.0 + all.running - at.entry->slots) /
            at.entry->slots;
  }
  const double memory =
      settings.memory_part * static_cast<double>(state.cache_tokens);
  const double held = all.held_tokens + wanted.prompt_tokens;
  if (IsEngine(state) && held > memory) {
    cost += kNoRoomGoals * goal * (held / memory - 1);
  }
  return cost;
}

/** Tells whether an upstream is in a request's sample. */
bool IsSampled(const candidate& at,
               const options& settings,
               const job& wanted,
               std::size_t count) {
  return settings.sample_size == 0 || settings.sample_size >= count ||
         Mix(at.rank ^ wanted.sampling_key) % count < settings.sample_size;
}

struct estimate {
  double cost{};
  double wait{};
  std::uint32_t unread{};
};

estimate PlainEstimate(const candidate& at) {
  const auto all = TotalLoad(at);
  const double slots = std::max(1U, at.entry->slots);
  const double wait = at.service_ms * (1 + all.running / slots);
  return {wait, wait, 0};
}

estimate EngineEstimate(const pool& state,
                        const candidate& at,
                        const options& settings,
                        const job& wanted,
                        bool is_home,
                        mono_time now) {
  const auto all = TotalLoad(at);
  const double per_token = MsPerToken(state.reading);
  const auto cached = CachedTokens(at, settings, wanted, is_home, now);
  const auto shared = SharedTokens(wanted);
  const auto again = cached < shared ? shared - cached : 0;
  estimate out;
  out.unread = wanted.prompt_tokens - cached;
  out.wait =
      BaseMs(state.reading) + per_token * (all.unread_tokens + out.unread);
  const std::chrono::duration<double, std::milli> crowding = settings.crowding;
  out.cost = out.wait + settings.reread_weight * per_token * again +
             crowding.count() * all.running;
  return out;
}

std::uint32_t Less(std::uint32_t from, std::uint32_t amount) {
  return from > amount ? from - amount : 0;
}

candidate* Find(pool& state, const ticket& sent) {
  const auto found = state.candidates.find(sent.incarnation);
  return found == state.candidates.end() ? nullptr : &found->second;
}

void ForgetOldParts(candidate& at, const options& settings, mono_time now) {
  if (at.parts.size() < kMostParts) {
    return;
  }
  std::erase_if(at.parts, [&](const auto& part) {
    return now - part.second > settings.cache_time;
  });
}

}  // namespace
}  // namespace internal

void SetUpstreams(
    pool& state,
    const std::vector<std::shared_ptr<const registry::upstream>>& usable) {
  std::map<std::string, candidate, std::less<>> next;
  for (const auto& entry : usable) {
    auto name = registry::IncarnationOf(*entry);
    const auto known = state.candidates.find(name);
    auto& slot = next[name];
    if (known != state.candidates.end()) {
      slot = std::move(known->second);
    }
    slot.entry = entry;
    slot.rank = Hash64(name);
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

std::optional<std::chrono::milliseconds> TimeToReopen(const pool& state,
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

std::optional<std::chrono::milliseconds> ComeBackAfter(const pool& state,
                                                       const job& wanted,
                                                       mono_time now) {
  const auto wait = TimeToReopen(state, now);
  if (!wait) {
    return std::nullopt;
  }
  const auto place =
      static_cast<std::int64_t>(wanted.sampling_key % internal::kReturnPlaces);
  return *wait + *wait * place / internal::kReturnSpread;
}

void SetOthers(pool& state,
               const std::map<std::string, load>& by_incarnation,
               const demand& wanted) {
  for (auto& [name, found] : state.candidates) {
    const auto told = by_incarnation.find(name);
    found.others = told == by_incarnation.end() ? load{} : told->second;
  }
  state.others_demand = wanted;
}

std::optional<ticket> Choose(const pool& state,
                             const options& settings,
                             const job& wanted,
                             const std::string& data_centre,
                             const std::set<std::string>& excluded,
                             mono_time now) {
  const auto all = internal::Ordered(state);
  const bool engine = internal::IsEngine(state);
  const bool is_long = engine && internal::IsLong(state, settings, wanted);
  const auto border = std::min(state.short_upstreams, all.size());
  const bool split = border > 0 && border < all.size();
  const auto middle = all.begin() + static_cast<std::ptrdiff_t>(border);
  const internal::in_order group =
      !split ? all
             : (is_long ? internal::in_order(middle, all.end())
                        : internal::in_order(all.begin(), middle));
  const auto* home = internal::HomeOf(group, wanted);
  const candidate* best = nullptr;
  internal::estimate lowest;
  bool best_sampled = false;
  bool best_ejected = false;
  bool beside_long = false;
  for (std::size_t i = 0; i < all.size(); ++i) {
    const auto& at = *all[i];
    if (now < at.closed_until) {
      continue;
    }
    if (!excluded.empty() &&
        excluded.contains(registry::IncarnationOf(*at.entry))) {
      continue;
    }
    auto found = engine ? internal::EngineEstimate(state, at, settings, wanted,
                                                   &at == home, now)
                        : internal::PlainEstimate(at);
    found.cost += internal::FailureCost(at, settings, wanted, now) +
                  internal::WayCost(at, settings, data_centre) +
                  internal::RoomCost(state, at, settings, wanted);
    if (split && is_long != (i >= border)) {
      found.cost += internal::kOtherPatternPart *
                    static_cast<double>(wanted.goal.count());
    }
    const bool ejected =
        outlier::IsEjected(at.health, now) || now < at.avoided_until;
    const bool sampled =
        &at == home || internal::IsSampled(at, settings, wanted, group.size());
    const auto rank = std::tuple(ejected, !sampled, found.cost);
    if (!best || rank < std::tuple(best_ejected, !best_sampled, lowest.cost)) {
      best = &at;
      best_sampled = sampled;
      beside_long = i >= border;
      lowest = found;
      best_ejected = ejected;
    }
  }
  if (!best) {
    return std::nullopt;
  }
  ticket out;
  out.entry = best->entry;
  out.incarnation = registry::IncarnationOf(*best->entry);
  out.unread_tokens = lowest.unread;
  out.held_tokens = wanted.prompt_tokens + wanted.answer_tokens;
  out.expected = std::chrono::milliseconds(std::llround(lowest.wait));
  out.is_long = is_long;
  out.beside_long = beside_long;
  return out;
}

void OnSent(pool& state,
            const options& settings,
            const ticket& sent,
            const job& wanted,
            mono_time now) {
  auto* at = internal::Find(state, sent);
  if (!at) {
    return;
  }
  ++at->own.running;
  at->own.unread_tokens += sent.unread_tokens;
  at->own.held_tokens += sent.held_tokens;
  for (const auto& part : wanted.parts) {
    at->parts[part.id] = now;
  }
  internal::ForgetOldParts(*at, settings, now);
  const double work =
      sent.unread_tokens + internal::kAnswerTokenWork * wanted.answer_tokens;
  (sent.is_long ? state.own_demand.long_work : state.own_demand.short_work) +=
      work;
}

void OnBegun(pool& state, const ticket& sent, std::chrono::microseconds taken) {
  auto* at = internal::Find(state, sent);
  if (!at) {
    return;
  }
  at->own.unread_tokens =
      internal::Less(at->own.unread_tokens, sent.unread_tokens);
  if (internal::IsEngine(state)) {
    Learn(state.reading, sent.unread_tokens, taken);
  }
}

void OnEnded(pool& state, const ticket& sent, bool begun) {
  auto* at = internal::Find(state, sent);
  if (!at) {
    return;
  }
  at->own.running = internal::Less(at->own.running, 1);
  at->own.held_tokens = internal::Less(at->own.held_tokens, sent.held_tokens);
  if (!begun) {
    at->own.unread_tokens =
        internal::Less(at->own.unread_tokens, sent.unread_tokens);
  }
}

void OnOutcome(pool& state,
               const options& settings,
               const ticket& sent,
               outlier::outcome seen,
               std::chrono::microseconds taken,
               mono_time now) {
  auto* at = internal::Find(state, sent);
  if (!at) {
    return;
  }
  outlier::OnOutcome(at->health, settings.health, seen, now);
  if (seen == outlier::outcome::served && !internal::IsEngine(state)) {
    const std::chrono::duration<double, std::milli> ms = taken;
    at->service_ms +=
        internal::kNewestServiceTime * (ms.count() - at->service_ms);
  }
}

std::map<std::string, load> OwnLoads(const pool& state) {
  std::map<std::string, load> out;
  for (const auto& [name, found] : state.candidates) {
    if (found.own != load{}) {
      out[name] = found.own;
    }
  }
  return out;
}

load TotalLoad(const candidate& of) {
  return {of.own.running + of.others.running,
          of.own.unread_tokens + of.others.unread_tokens,
          of.own.held_tokens + of.others.held_tokens};
}

double WorkPerSecond(const pool& state) {
  const auto& own = state.own_demand;
  const auto& others = state.others_demand;
  const double faded =
      own.short_work + own.long_work + others.short_work + others.long_work;
  // A steady flow stands at its rate times the mean life of what fades.
  return faded * std::numbers::ln2 / internal::kDemandHalfLife.count();
}

void Tick(pool& state, mono_time now) {
  const std::chrono::duration<double> passed = now - state.demand_at;
  state.demand_at = now;
  const double kept = std::exp2(-passed / internal::kDemandHalfLife);
  state.own_demand.short_work *= kept;
  state.own_demand.long_work *= kept;
  const double short_room =
      internal::kShortPromptRoom *
      (state.own_demand.short_work + state.others_demand.short_work);
  const double long_room =
      state.own_demand.long_work + state.others_demand.long_work;
  const auto count = static_cast<double>(state.candidates.size());
  if (short_room <= 0 || long_room <= 0 || count < 2) {
    state.short_upstreams = 0;
    return;
  }
  const double wanted =
      std::clamp(count * short_room / (short_room + long_room), 1.0, count - 1);
  const auto present = static_cast<double>(state.short_upstreams);
  if (std::abs(wanted - present) > internal::kBorderSlack) {
    state.short_upstreams = static_cast<std::size_t>(std::lround(wanted));
  }
}

}  // namespace mimosadeck::placement
