#ifndef FLEET_FLEET_H_
#define FLEET_FLEET_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "fleet/clock.h"
#include "fleet/fwd.h"
#include "fleet/store_following.h"
#include "fleet/work_table.h"
#include "wire/digest.pb.h"

namespace mimosadeck::fleet {

/** @brief Settings of gossip between the entries of the fleet. */
struct options {
  /** Interval at which members of a small fleet send digests. */
  std::chrono::milliseconds base_digest_interval{150};
  /** Largest fleet in which every member sends its digests to all others;
   * larger fleets use relays. */
  std::size_t full_mesh_limit{16};
  /** Relays in each data centre of a large fleet, so that one may fail. */
  std::size_t relays_per_data_centre{2};
  /** Entries that poll the store frequently, so that one may fail. */
  std::size_t store_watchers{2};
  /** Average number of entries besides the relays that try a store which does
   * not answer any relay, and that go on following it if it answers them. */
  std::size_t store_trial_entries{4};
  /** Interval after which these entries are selected anew. */
  std::chrono::milliseconds store_trial_interval{1000};
  /** Agreed time in which an entry applies a change that the store has
   * acknowledged. */
  std::chrono::milliseconds apply_time{2000};
  /** Delay before the first entries retry a store that did not answer. */
  std::chrono::milliseconds min_store_retry_delay{300};
  /** The same for all other entries, which learn from the first ones that the
   * store is back. */
  std::chrono::milliseconds max_store_retry_delay{1000};
  /** Fleet size above which the digest interval grows in proportion, so that a
   * relay receives the same number of digests per second. */
  std::size_t interval_scaling_size{64};
  /** Interval at which relays send the records of members. */
  std::chrono::milliseconds record_interval{750};
  /** Digests that may be missed before a member counts as silent. */
  int missed_digests{3};
  /** Added to the time of the missed digests, since a digest may be queued
   * behind other traffic. */
  std::chrono::milliseconds liveness_margin{350};
  /** While most members are silent, this entry itself may be cut off. For this
   * long the directory keeps listing the members that were live when contact
   * was lost. It is the agreed time for which callers cache an answer. */
  std::chrono::milliseconds listing_retention{5000};
  /** Members last seen within this time count when an entry checks whether it
   * is cut off from most of the fleet. */
  std::chrono::milliseconds majority_window{15000};
  /** Age from which an entry holds the billing counts of every window that is
   * still to be reported: the agreed window and the time to report it. */
  std::chrono::milliseconds billing_complete_after{15000};
  /** Younger contenders for the lease rank by the number of windows of this
   * length that they ran through. */
  std::chrono::milliseconds billing_window{5000};
  /** Contenders that hold copies of the billing counts in a large fleet,
   * besides the holder of the lease. If a third of all entries is lost, the
   * chance that all five copies are lost is one in 240. */
  std::size_t billing_replicas{4};
  /** A member that is silent for longer is removed and gets no more digests. */
  std::chrono::milliseconds member_retention{120000};
};

/** @brief Longest time that a datagram is in transit; between regions it takes
 * less than 0.2 s. */
inline constexpr std::chrono::milliseconds kMaxDatagramLifetime{2000};

/** @brief Another entry, as described by its last digest. */
struct member {
  wire::digest last;
  /** `IP:PORT` from which its digests come. */
  std::string peer_address;
  /** When this entry or a relay last received a digest from it. */
  mono_time last_seen_at;
  /** When it last requested summaries from this entry. */
  std::optional<mono_time> summary_requested_at;
  /** Its calendar clock minus ours, when its digest was received. */
  std::chrono::milliseconds clock_offset{};
  /** What it has read from the store, by this entry's clock. */
  feed_records store{};
};

/** @brief The work of all entries, as aggregated by a relay. */
struct fleet_work {
  wire::summary aggregate;
  mono_time received_at;
};

/** @brief All other entries, by name. */
struct members {
  std::map<std::string, member> by_name;
  /** From the newest summary with work; unset before the first one. */
  std::optional<fleet_work> work;
  /** Newest reads of the store that relays reported in summaries. They are not
   * passed on: each hop would make them look newer by its transit time. */
  feed_records reported_reads;
};

/**
 * @brief Applies a received digest.
 *
 * An older digest is dropped, and so is one of an older incarnation unless the
 * newer one has been silent for kMaxDatagramLifetime.
 *
 * @param peer_address `IP:PORT` of the sender.
 * @return False if the digest was dropped.
 */
bool OnDigest(members& state,
              wire::digest received,
              const std::string& peer_address,
              wall_time wall,
              mono_time now);

/**
 * @brief Applies a relay's summary: the work of all entries, or those records
 * of members that are newer than the stored ones.
 * @param self Name of this entry, whose own record is ignored.
 */
void OnSummary(members& state,
               wire::summary received,
               std::string_view self,
               wall_time wall,
               mono_time now);

/**
 * @brief Adds to a digest what its sender has read from the store.
 *
 * The sender counts as one that follows the store until its last answer is
 * older than options::apply_time, not until a call that waits has failed.
 */
void EncodeReads(const feed_records& reads,
                 const options& settings,
                 mono_time now,
                 wire::digest& out);

/** @brief Returns a hash that identifies an incarnation of an entry. */
[[nodiscard]] std::uint64_t IdentityOf(const wire::digest& entry);

/**
 * @brief Tells whether a relay forwards a member's record in this round.
 *
 * A record that changed since `before` is forwarded at once, all others in
 * round-robin order. For the rest a relay only reports that they are live.
 *
 * @param before The record forwarded last; null if there was none.
 * @param round Number of the relay's round.
 */
[[nodiscard]] bool IsRecordDue(const wire::digest* before,
                               const wire::digest& current,
                               std::uint64_t round);

/** @brief Tells whether the fleet is small enough for every member to send its
 * digests to all others. */
[[nodiscard]] bool IsFullMesh(const members& state, const options& settings);

/**
 * @brief Returns the members to which this entry sends its digests.
 *
 * In a small fleet these are all live members. In a large one they are the
 * relays of each data centre: the members with the fastest links, ranked in the
 * same order by every entry.
 */
[[nodiscard]] std::vector<const member*> Relays(const members& state,
                                                const options& settings,
                                                mono_time now);

/** @brief State of this entry that affects its role in the fleet. */
struct self_status {
  std::string_view name;
  std::string_view data_centre;
  /** Failed calls to other members; each one changes the member to call. */
  std::uint64_t failures{};
  /** Rate of this entry's network link, in Mbit/s. */
  std::uint32_t link_mbps{};
  /** Time since this process started. */
  std::chrono::milliseconds age{};
  /** What this entry has read from the store itself. */
  feed_records store{};
};

/**
 * @brief Tells whether this entry sends summaries to the sender of a digest.
 *
 * It does if the sender requests them. It also does, as a relay of the sender's
 * data centre, if the sender wrongly assumes a small fleet in which all members
 * exchange digests: without a summary such a sender would not learn of the
 * other members.
 */
[[nodiscard]] bool SendsSummary(const members& state,
                                const options& settings,
                                const self_status& self,
                                const wire::digest& received,
                                mono_time now);

/** @brief Makes a member a follower, which gets this entry's summaries until
 * LivenessTimeout has passed. */
void AddFollower(members& state, const std::string& name, mono_time now);

/** @brief Returns up to which time any live member, or this entry, is known to
 * have read a feed; unset if that is not known. */
[[nodiscard]] std::optional<mono_time> NewestRead(const members& state,
                                                  const options& settings,
                                                  const self_status& self,
                                                  store_feed feed,
                                                  mono_time now);

/**
 * @brief Returns the age of the newest read of a feed at which an entry reads
 * the feed itself.
 *
 * The rest of options::apply_time is for the call and for applying its answer.
 * The limits of the entries differ, so that those that come first spare the
 * others the call.
 */
[[nodiscard]] std::chrono::milliseconds ReadAgeLimit(const options& settings,
                                                     std::string_view name);

/**
 * @brief Tells whether this entry follows a feed of the platform's store itself
 * instead of copying from another entry.
 *
 * In a large fleet only the relays do, so that the load of the store does not
 * grow with the fleet. The store may reject some entries, among them all
 * relays, and serve the others. Each entry therefore reads the feed itself when
 * the newest read that it knows of reaches ReadAgeLimit. If that fails as well,
 * a few changing entries keep trying. Of the entries that get an answer, a few
 * follow the store until a relay, or enough entries that rank before them, do.
 */
[[nodiscard]] bool FollowsStore(const members& state,
                                const options& settings,
                                const self_status& self,
                                store_feed feed,
                                mono_time now);

/**
 * @brief Tells whether this entry is among the first to retry a store that does
 * not answer.
 */
[[nodiscard]] bool IsFirstToRetryStore(const members& state,
                                       const options& settings,
                                       const self_status& self,
                                       mono_time now);

/**
 * @brief Returns the delay before a store that did not answer is retried.
 * @param max_delay Longest delay after which an entry that was cut off still
 * learns in time which upstreams are gone. The result is never below
 * options::min_store_retry_delay.
 */
[[nodiscard]] std::chrono::milliseconds StoreRetryDelay(
    const members& state,
    const options& settings,
    const self_status& self,
    std::chrono::milliseconds max_delay,
    mono_time now);

/**
 * @brief Tells whether an entry that follows the store polls it frequently.
 *
 * Other entries that follow the store poll it rarely, to detect for themselves
 * when it is unavailable, and in between copy what the watchers have read. They
 * take the place of a watcher whose newest read of the feed is old, also while
 * its call is still in progress.
 */
[[nodiscard]] bool WatchesStore(const members& state,
                                const options& settings,
                                const self_status& self,
                                store_feed feed,
                                mono_time now);

/**
 * @brief Returns the longest wait of a watcher's call.
 *
 * What the call has shown reaches the other entries, over a relay, before the
 * read that it renews is old.
 */
[[nodiscard]] std::chrono::milliseconds WatcherWait(const members& state,
                                                    const options& settings);

/**
 * @brief Tells whether the store answered another entry without a break for a
 * time in which it did not answer this one.
 *
 * The store was then available, and upstreams whose entries are missing from it
 * are gone.
 */
[[nodiscard]] bool WasStoreReachableThroughout(const members& state,
                                               const options& settings,
                                               std::chrono::milliseconds time,
                                               mono_time now);

/** @brief Accessor of a version that digests carry, such as the manifest's. */
using advertised_version = std::uint64_t (wire::digest::*)() const;

/**
 * @brief Returns a live member that has a newer version, to copy from.
 *
 * Members in this entry's data centre are preferred. Among them each entry has
 * its own order, so that not all entries copy from the same member.
 *
 * @param own The version that this entry has.
 * @return Null if no member has a newer version.
 */
[[nodiscard]] const member* FindNewer(const members& state,
                                      const options& settings,
                                      const self_status& self,
                                      advertised_version version,
                                      std::uint64_t own,
                                      mono_time now);

/** @brief Returns the members of a data centre that recently requested this
 * entry's summaries. */
[[nodiscard]] std::vector<const member*> Followers(const members& state,
                                                   const options& settings,
                                                   std::string_view data_centre,
                                                   mono_time now);

/**
 * @brief Aggregates the work of this entry and of all live members, and the
 * newest of their reads of the store.
 * @param own This entry's digest, made at `now`.
 */
[[nodiscard]] wire::summary AggregateWork(const members& state,
                                          const options& settings,
                                          const wire::digest& own,
                                          mono_time now);

/**
 * @brief Subtracts a member's work from an aggregate before it is sent to that
 * member, which has newer figures of its own.
 * @param receiver The digest that was added.
 */
void Subtract(wire::summary& sum, const wire::digest& receiver);

/** @brief Removes members that were silent for options::member_retention. */
void Tick(members& state, const options& settings, mono_time now);

/** @brief Returns the interval at which members of this fleet send digests. */
[[nodiscard]] std::chrono::milliseconds DigestInterval(const members& state,
                                                       const options& settings);

/** @brief Returns the silence after which a member is no longer live. */
[[nodiscard]] std::chrono::milliseconds LivenessTimeout(
    const members& state,
    const options& settings);

/** @brief Tells whether a member was last seen within LivenessTimeout. */
[[nodiscard]] bool IsLive(const members& state,
                          const member& other,
                          const options& settings,
                          mono_time now);

/** @brief Returns the live members that are not leaving. */
[[nodiscard]] std::vector<const member*> LiveMembers(const members& state,
                                                     const options& settings,
                                                     mono_time now);

/**
 * @brief Returns the correction of this entry's clock to the median clock of
 * the live entries.
 *
 * The median is right as long as most clocks are.
 */
[[nodiscard]] std::chrono::milliseconds ClockCorrection(const members& state,
                                                        const options& settings,
                                                        mono_time now);

/** @brief This entry, as the directory lists it. */
struct self_entry {
  std::string caller_address;
  std::string data_centre;
  bool ready{};
};

/**
 * @brief Returns the addresses of entries that a caller should use.
 *
 * These are the entries in the caller's data centre. If there are fewer than
 * two, entries of other data centres are added, so that callers have an
 * alternative when one fails.
 */
[[nodiscard]] std::vector<std::string> AddressesFor(
    const members& state,
    const options& settings,
    const self_entry& self,
    std::string_view data_centre,
    std::size_t max_addresses,
    mono_time now);

/**
 * @brief Tells whether at least half of the other members seen within
 * options::majority_window are live.
 *
 * An entry that is cut off from most members has neither their billing counts
 * nor their load, and must not act for the fleet.
 */
[[nodiscard]] bool HasMajorityContact(const members& state,
                                      const options& settings,
                                      mono_time now);

/** @brief Tells whether a live member reports that it holds the lease. */
[[nodiscard]] bool IsLeaseHeldElsewhere(const members& state,
                                        const options& settings,
                                        mono_time now);

/**
 * @brief Returns the live members that hold copies of the billing counts.
 *
 * In a small fleet these are all ready members, otherwise the holder of the
 * lease and the next contenders for it.
 */
[[nodiscard]] std::vector<const member*>
BillingReplicas(const members& state, const options& settings, mono_time now);

/**
 * @brief Returns this entry's rank, from 0, among the live entries in the order
 * in which they contend for the lease.
 *
 * Entries that ran through fewer billing windows rank later, since they lack
 * the counts of windows that are still to be reported.
 */
[[nodiscard]] std::size_t ContentionRank(const members& state,
                                         const options& settings,
                                         const self_status& self,
                                         mono_time now);

}  // namespace mimosadeck::fleet

#endif  // FLEET_FLEET_H_
