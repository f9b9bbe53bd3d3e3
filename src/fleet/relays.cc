#include <algorithm>
#include <limits>
#include <map>
#include <optional>
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

/** Age of the newest read of a feed, as fractions of the apply time: at the
 * first, another entry watches the feed; between the others, entries that do
 * not follow the feed read it. */
constexpr double kWatchLimitFraction = 0.5;
constexpr double kFirstReadLimitFraction = 0.55;
constexpr double kLastReadLimitFraction = 0.7;

/** Time for a call, and for delays of digests on their way. */
constexpr std::chrono::milliseconds kSpreadMargin{300};
constexpr std::chrono::milliseconds kMinWatcherWait{200};

std::chrono::milliseconds FractionOf(std::chrono::milliseconds time,
                                     double fraction) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time * fraction);
}

/** Returns up to which time another live entry has read a feed. */
std::optional<mono_time> NewestReadOfOthers(const members& state,
                                            const options& settings,
                                            store_feed feed,
                                            mono_time now) {
  // A time that is unset compares less than any other.
  auto newest = RecordOf(state.reported_reads, feed).read_up_to;
  for (const auto* other : LiveMembers(state, settings, now)) {
    newest = std::max(newest, RecordOf(other->store, feed).read_up_to);
  }
  return newest;
}

/** Tells whether an entry has read a feed too long ago to be its watcher. */
bool IsReadOld(const feed_record& record,
               const options& settings,
               mono_time now) {
  return !record.read_up_to ||
         now - *record.read_up_to >
             FractionOf(settings.apply_time, kWatchLimitFraction);
}

/** Returns a number from 0 to 1 that differs between names. */
double SpreadOf(std::string_view name) {
  constexpr std::uint64_t kSteps = 1000;
  return static_cast<double>(MixHash(Hash64(name)) % kSteps) / kSteps;
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

std::optional<mono_time> NewestRead(const members& state,
                                    const options& settings,
                                    const self_status& self,
                                    store_feed feed,
                                    mono_time now) {
  return std::max(RecordOf(self.store, feed).read_up_to,
                  internal::NewestReadOfOthers(state, settings, feed, now));
}

std::chrono::milliseconds ReadAgeLimit(const options& settings,
                                       std::string_view name) {
  const auto fraction =
      internal::kFirstReadLimitFraction +
      (internal::kLastReadLimitFraction - internal::kFirstReadLimitFraction) *
          internal::SpreadOf(name);
  return internal::FractionOf(settings.apply_time, fraction);
}

bool FollowsStore(const members& state,
                  const options& settings,
                  const self_status& self,
                  store_feed feed,
                  mono_time now) {
  if (IsFullMesh(state, settings) ||
      internal::IsRelay(state, settings, self, now)) {
    return true;
  }
  const auto newest = NewestRead(state, settings, self, feed, now);
  const auto overdue_at =
      newest.value_or(now - self.age) + ReadAgeLimit(settings, self.name);
  const auto live = LiveMembers(state, settings, now);
  const bool is_trial_due =
      internal::IsStoreTrialDue(self.name, live.size() + 1, settings, now);
  if (now >= overdue_at) {
    return now - overdue_at < settings.store_trial_interval || is_trial_due;
  }
  const auto relays = Relays(state, settings, now);
  if (!self.store.upstreams.answered_since ||
      std::any_of(relays.begin(), relays.end(), internal::IsStoreFollowed)) {
    return false;
  }
  if (!IsFollowed(self.store.upstreams)) {
    return is_trial_due;
  }
  return internal::CountRankedBefore(state, settings, self, now,
                                     internal::IsStoreFollowed) <
         settings.store_watchers;
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
                  store_feed feed,
                  mono_time now) {
  const auto reads_in_time = [&](const member* other) {
    return internal::IsStoreFollowed(other) &&
           !internal::IsReadOld(RecordOf(other->store, feed), settings, now);
  };
  return internal::CountRankedBefore(state, settings, self, now,
                                     reads_in_time) < settings.store_watchers;
}

std::chrono::milliseconds WatcherWait(const members& state,
                                      const options& settings) {
  const auto longest =
      internal::FractionOf(settings.apply_time, internal::kWatchLimitFraction);
  const auto spread_time = 2 * DigestInterval(state, settings);
  return std::max(longest - spread_time - internal::kSpreadMargin,
                  internal::kMinWatcherWait);
}

bool WasStoreReachableThroughout(const members& state,
                                 const options& settings,
                                 std::chrono::milliseconds time,
                                 mono_time now) {
  const auto newest =
      internal::NewestReadOfOthers(state, settings, store_feed::upstreams, now);
  const auto age_limit = internal::FractionOf(settings.apply_time,
                                              internal::kLastReadLimitFraction);
  if (!newest || now - *newest > age_limit) {
    return false;
  }
  const auto live = LiveMembers(state, settings, now);
  return std::any_of(live.begin(), live.end(), [&](const auto* other) {
    const auto& answered_since = other->store.upstreams.answered_since;
    return answered_since && now - *answered_since > time;
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
