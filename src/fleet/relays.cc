#include <algorithm>
#include <limits>
#include <map>
#include <tuple>
#include <utility>

#include "base/base.h"
#include "fleet/fleet.h"

namespace mimosadeck::fleet {
namespace internal {
namespace {

/** Spreads the bits of a hash anew (multiplication by the golden ratio). */
std::uint64_t Scatter(std::uint64_t value) {
  constexpr std::uint64_t kGoldenRatio = 0x9e3779b97f4a7c15ULL;
  constexpr unsigned kHalf = 32;
  value *= kGoldenRatio;
  return (value ^ (value >> kHalf)) * kGoldenRatio;
}

/** Orders members as relays: the fastest link first, equal ones by name. */
std::pair<std::uint32_t, std::uint64_t> RelayRank(std::string_view name,
                                                  std::uint32_t link_mbps) {
  return {std::numeric_limits<std::uint32_t>::max() - link_mbps, Hash64(name)};
}

/** Counts the live members that a rule picks and that rank before this entry
 * among the relays. */
template <typename Rule>
std::size_t CountBefore(const members& state,
                        const options& settings,
                        const self_status& self,
                        mono_time now,
                        Rule picks) {
  const auto own = RelayRank(self.name, self.link_mbps);
  const auto live = LiveMembers(state, settings, now);
  return static_cast<std::size_t>(
      std::count_if(live.begin(), live.end(), [&](const auto* each) {
        return picks(each) &&
               RelayRank(each->last.name(), each->last.link_mbps()) < own;
      }));
}

/** Tells whether an entry is among the first of its data centre. */
bool IsRelay(const members& state,
             const options& settings,
             const self_status& self,
             mono_time now) {
  const auto is_near = [&self](const member* each) {
    return each->last.data_centre() == self.data_centre;
  };
  return CountBefore(state, settings, self, now, is_near) < settings.relays;
}

bool IsStoreFollowed(const member* of) {
  return of->last.store_followed();
}

/** Entries draw their turns independently, since their clocks differ. */
bool IsTurnToTry(std::string_view name,
                 std::size_t fleet_size,
                 const options& settings,
                 mono_time now) {
  const auto turn =
      static_cast<std::uint64_t>(now.time_since_epoch() / settings.trial_turn);
  return Scatter(Hash64(name) + turn) % fleet_size < settings.triers;
}

}  // namespace
}  // namespace internal

std::vector<const member*> Relays(const members& state,
                                  const options& settings,
                                  mono_time now) {
  auto live = LiveMembers(state, settings, now);
  if (IsFullMesh(state, settings)) {
    return live;
  }
  std::sort(live.begin(), live.end(), [](const auto* a, const auto* b) {
    return internal::RelayRank(a->last.name(), a->last.link_mbps()) <
           internal::RelayRank(b->last.name(), b->last.link_mbps());
  });
  std::map<std::string, std::size_t> taken;
  std::vector<const member*> out;
  for (const auto* each : live) {
    if (taken[each->last.data_centre()]++ < settings.relays) {
      out.push_back(each);
    }
  }
  return out;
}

bool SendsSummary(const members& state,
                  const options& settings,
                  const self_status& self,
                  const wire::digest& received,
                  mono_time now) {
  const bool takes_fleet_for_small =
      !IsFullMesh(state, settings) &&
      received.members_known() + 1 <= settings.dense_fleet;
  return received.wants_summary() ||
         (takes_fleet_for_small && received.data_centre() == self.data_centre &&
          internal::IsRelay(state, settings, self, now));
}

void AddFollower(members& state, const std::string& name, mono_time now) {
  const auto found = state.by_name.find(name);
  if (found != state.by_name.end()) {
    found->second.asked_at = now;
  }
}

bool FollowsStore(const members& state,
                  const options& settings,
                  const self_status& self,
                  mono_time now) {
  if (IsFullMesh(state, settings)) {
    return true;
  }
  if (internal::IsRelay(state, settings, self, now)) {
    return true;
  }
  const auto relays = Relays(state, settings, now);
  if (std::any_of(relays.begin(), relays.end(), internal::IsStoreFollowed)) {
    return false;
  }
  const auto live = LiveMembers(state, settings, now);
  return self.store_followed ||
         (std::none_of(live.begin(), live.end(), internal::IsStoreFollowed) &&
          internal::IsTurnToTry(self.name, live.size() + 1, settings, now));
}

bool TriesStoreFirst(const members& state,
                     const options& settings,
                     const self_status& self,
                     mono_time now) {
  const auto any = [](const member*) { return true; };
  return internal::CountBefore(state, settings, self, now, any) <
         settings.watchers;
}

std::chrono::milliseconds StoreRetryDelay(const members& state,
                                          const options& settings,
                                          const self_status& self,
                                          std::chrono::milliseconds most,
                                          mono_time now) {
  if (TriesStoreFirst(state, settings, self, now)) {
    return settings.shortest_store_pause;
  }
  return std::max(settings.shortest_store_pause,
                  std::min(settings.longest_store_pause, most));
}

bool WatchesStore(const members& state,
                  const options& settings,
                  const self_status& self,
                  mono_time now) {
  return internal::CountBefore(state, settings, self, now,
                               internal::IsStoreFollowed) < settings.watchers;
}

bool WasStoreReachableThroughout(const members& state,
                                 const options& settings,
                                 std::chrono::milliseconds time,
                                 mono_time now) {
  const auto live = LiveMembers(state, settings, now);
  return std::any_of(live.begin(), live.end(), [time](const auto* each) {
    const std::chrono::milliseconds heard(each->last.store_followed_ms());
    return each->last.store_followed() && heard > time;
  });
}

const member* FindNewer(const members& state,
                        const options& settings,
                        const self_status& self,
                        advertised_version version,
                        std::uint64_t own,
                        mono_time now) {
  const auto identity = internal::Scatter(Hash64(self.name) + self.failures);
  const member* best = nullptr;
  std::tuple<bool, std::uint64_t> highest;
  for (const auto* each : LiveMembers(state, settings, now)) {
    if ((each->last.*version)() <= own) {
      continue;
    }
    const std::tuple<bool, std::uint64_t> score{
        each->last.data_centre() == self.data_centre,
        internal::Scatter(identity ^ Hash64(each->last.name()))};
    if (!best || score > highest) {
      best = each;
      highest = score;
    }
  }
  return best;
}

}  // namespace mimosadeck::fleet
