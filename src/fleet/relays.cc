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

/** Mixes the bits of a hash by multiplication with the golden ratio. */
std::uint64_t MixHash(std::uint64_t value) {
  constexpr std::uint64_t kGoldenRatio = 0x9e3779b97f4a7c15ULL;
  constexpr unsigned kHalfBits = 32;
  value *= kGoldenRatio;
  return (value ^ (value >> kHalfBits)) * kGoldenRatio;
}

/** Orders candidates for relays: first those with the fastest links, and by
 * the hash of the name if equal. */
std::pair<std::uint32_t, std::uint64_t> RelayRank(std::string_view name,
                                                  std::uint32_t link_mbps) {
  return {std::numeric_limits<std::uint32_t>::max() - link_mbps, Hash64(name)};
}

/** Counts the live members that satisfy a predicate and whose relay rank comes
 * before this entry's. */
template <typename Predicate>
std::size_t CountRankedBefore(const members& state,
                              const options& settings,
                              const self_status& self,
                              mono_time now,
                              Predicate is_counted) {
  const auto own = RelayRank(self.name, self.link_mbps);
  const auto live = LiveMembers(state, settings, now);
  return static_cast<std::size_t>(
      std::count_if(live.begin(), live.end(), [&](const auto* other) {
        return is_counted(other) &&
               RelayRank(other->last.name(), other->last.link_mbps()) < own;
      }));
}

/** Tells whether this entry is a relay of its data centre. */
bool IsRelay(const members& state,
             const options& settings,
             const self_status& self,
             mono_time now) {
  const auto is_in_same_centre = [&self](const member* other) {
    return other->last.data_centre() == self.data_centre;
  };
  return CountRankedBefore(state, settings, self, now, is_in_same_centre) <
         settings.relays_per_data_centre;
}

bool IsStoreFollowed(const member* other) {
  return other->last.store_followed();
}

/** Tells whether an entry is selected to try the store. Entries are selected
 * independently of each other, since their clocks differ. */
bool IsStoreTrialDue(std::string_view name,
                     std::size_t fleet_size,
                     const options& settings,
                     mono_time now) {
  const auto round = static_cast<std::uint64_t>(now.time_since_epoch() /
                                                settings.store_trial_interval);
  return MixHash(Hash64(name) + round) % fleet_size <
         settings.store_trial_entries;
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
  std::map<std::string, std::size_t> relay_counts;
  std::vector<const member*> out;
  for (const auto* other : live) {
    if (relay_counts[other->last.data_centre()]++ <
        settings.relays_per_data_centre) {
      out.push_back(other);
    }
  }
  return out;
}

bool SendsSummary(const members& state,
                  const options& settings,
                  const self_status& self,
                  const wire::digest& received,
                  mono_time now) {
  const bool assumes_small_fleet =
      !IsFullMesh(state, settings) &&
      received.members_known() + 1 <= settings.full_mesh_limit;
  return received.wants_summary() ||
         (assumes_small_fleet && received.data_centre() == self.data_centre &&
          internal::IsRelay(state, settings, self, now));
}

void AddFollower(members& state, const std::string& name, mono_time now) {
  const auto found = state.by_name.find(name);
  if (found != state.by_name.end()) {
    found->second.summary_requested_at = now;
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
          internal::IsStoreTrialDue(self.name, live.size() + 1, settings, now));
}

bool IsFirstToRetryStore(const members& state,
                         const options& settings,
                         const self_status& self,
                         mono_time now) {
  const auto any = [](const member*) { return true; };
  return internal::CountRankedBefore(state, settings, self, now, any) <
         settings.store_watchers;
}

std::chrono::milliseconds StoreRetryDelay(const members& state,
                                          const options& settings,
                                          const self_status& self,
                                          std::chrono::milliseconds max_delay,
                                          mono_time now) {
  if (IsFirstToRetryStore(state, settings, self, now)) {
    return settings.min_store_retry_delay;
  }
  return std::max(settings.min_store_retry_delay,
                  std::min(settings.max_store_retry_delay, max_delay));
}

bool WatchesStore(const members& state,
                  const options& settings,
                  const self_status& self,
                  mono_time now) {
  return internal::CountRankedBefore(state, settings, self, now,
                                     internal::IsStoreFollowed) <
         settings.store_watchers;
}

bool WasStoreReachableThroughout(const members& state,
                                 const options& settings,
                                 std::chrono::milliseconds time,
                                 mono_time now) {
  const auto live = LiveMembers(state, settings, now);
  return std::any_of(live.begin(), live.end(), [time](const auto* other) {
    const std::chrono::milliseconds followed_for(
        other->last.store_followed_ms());
    return other->last.store_followed() && followed_for > time;
  });
}

const member* FindNewer(const members& state,
                        const options& settings,
                        const self_status& self,
                        advertised_version version,
                        std::uint64_t own,
                        mono_time now) {
  const auto seed = internal::MixHash(Hash64(self.name) + self.failures);
  const member* best = nullptr;
  std::tuple<bool, std::uint64_t> highest;
  for (const auto* other : LiveMembers(state, settings, now)) {
    if ((other->last.*version)() <= own) {
      continue;
    }
    const std::tuple<bool, std::uint64_t> score{
        other->last.data_centre() == self.data_centre,
        internal::MixHash(seed ^ Hash64(other->last.name()))};
    if (!best || score > highest) {
      best = other;
      highest = score;
    }
  }
  return best;
}

}  // namespace mimosadeck::fleet
