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
#include "fleet/work_table.h"
#include "wire/digest.pb.h"

namespace mimosadeck::fleet {

/** @brief Settings of the fleet's view. */
struct options {
  /** Interval of digests. */
  std::chrono::milliseconds shortest_interval{150};
  /** Up to so many members tell each other everything; larger fleets use
   * relays. */
  std::size_t dense_fleet{16};
  /** Relays in each data centre of a large fleet, so that one may fail. */
  std::size_t relays{2};
  /** Entries that ask the store often; one may fail. */
  std::size_t watchers{2};
  /** Entries beside the relays that try a store which answers no relay. */
  std::size_t triers{4};
  /** Time after which others try. */
  std::chrono::milliseconds trial_turn{1000};
  /** Pause of the first entries before a store that did not answer is tried
   * again. */
  std::chrono::milliseconds shortest_store_pause{300};
  /** The same of the others, which hear from the first when it is back. */
  std::chrono::milliseconds longest_store_pause{1000};
  /** Beyond this size the interval grows with the fleet, so that a relay takes
   * the same number of digests a second. */
  std::size_t relayed_fleet{64};
  /** Interval at which relays tell who the members are. */
  std::chrono::milliseconds record_interval{750};
  /** Digests that may be missed before a member counts as silent. */
  int missed_digests{3};
  /** Added to that: a digest may wait behind other traffic. */
  std::chrono::milliseconds live_slack{350};
  /** While most members are silent, this entry itself may be cut off: those
   * that were heard up to then stay answers of the directory for so long, which
   * is the agreed time for which callers keep an answer. */
  std::chrono::milliseconds listed_for{5000};
  /** Members heard within this time count when an entry judges whether it is
   * cut off from most. */
  std::chrono::milliseconds remembered_for{15000};
  /** From this age on an entry holds the billing counts of every window that is
   * still to be reported: the agreed window and the time to report it. */
  std::chrono::milliseconds billing_complete_after{15000};
  /** Younger contenders rank by how many windows of this length they ran
   * through. */
  std::chrono::milliseconds billing_window{5000};
  /** Contenders that keep billing counts in a large fleet beside the lease's
   * holder: the loss of a third of all entries takes all five copies in one of
   * 240 cases. */
  std::size_t count_takers{4};
  /** A silent member's address is no longer sent digests. */
  std::chrono::milliseconds forgotten_after{120000};
};

/** @brief No datagram is under way for longer; between regions it takes below
 * 0.2 s. */
inline constexpr std::chrono::milliseconds kDatagramLife{2000};

/** @brief Another entry, as its last digest describes it. */
struct member {
  wire::digest last;
  /** `IP:PORT` from which its digests come. */
  std::string peer_address;
  mono_time last_seen_at;
  /** When it last asked this entry for its view of the fleet. */
  std::optional<mono_time> asked_at;
  /** Its calendar clock less ours, when its digest came. */
  std::chrono::milliseconds clock_ahead{};
};

/** @brief The work of all entries, as a relay adds it up. */
struct fleet_work {
  wire::summary aggregate;
  mono_time received_at;
};

/** @brief All other entries, by name. */
struct members {
  std::map<std::string, member> by_name;
  /** The newest summary; unset before one came. */
  std::optional<fleet_work> work;
};

/**
 * @brief Takes a digest; an older one, or one of an older incarnation, is
 * dropped.
 * @return False if it was dropped.
 */
bool OnDigest(members& state,
              wire::digest received,
              const std::string& peer_address,
              wall_time wall,
              mono_time now);

/**
 * @brief Takes a relay's summary: the work of all, and records of members that
 * are fresher than what is known.
 */
void OnSummary(members& state,
               wire::summary received,
               std::string_view self,
               wall_time wall,
               mono_time now);

/** @brief Returns a number that tells an entry's incarnations apart. */
[[nodiscard]] std::uint64_t IdentityOf(const wire::digest& of);

/**
 * @brief Tells whether a relay passes a member's record on in this round.
 *
 * Records that changed since `before` are passed on at once, others in turn; of
 * the rest only that they are heard is told.
 *
 * @param before The record that was passed on last; null if none was.
 * @param round Counts the relay's rounds.
 */
[[nodiscard]] bool IsRecordDue(const wire::digest* before,
                               const wire::digest& present,
                               std::uint64_t round);

/** @brief Tells whether members tell each other everything. */
[[nodiscard]] bool IsFullMesh(const members& state, const options& settings);

/**
 * @brief Returns the members to which this entry sends its digests.
 *
 * In a large fleet these are the relays of each data centre: those with the
 * fastest links, which every entry ranks alike.
 */
[[nodiscard]] std::vector<const member*> Relays(const members& state,
                                                const options& settings,
                                                mono_time now);

/** @brief This entry's place in the fleet. */
struct self_status {
  std::string_view name;
  std::string_view data_centre;
  /** Calls to other members that failed; each leads to another choice. */
  std::uint64_t failures{};
  std::uint32_t link_mbps{};
  /** Time since its process started. */
  std::chrono::milliseconds age{};
  /** It follows the store itself, and the store answers. */
  bool store_followed{};
};

/**
 * @brief Tells whether this entry owes the sender of a digest its summaries.
 *
 * The sender asks for them, or takes the fleet for a small one whose members
 * tell each other everything. Since nobody in a large fleet does, it would not
 * hear of the others; the relays of its data centre tell it.
 */
[[nodiscard]] bool SendsSummary(const members& state,
                                const options& settings,
                                const self_status& self,
                                const wire::digest& received,
                                mono_time now);

/** @brief Takes note that a member gets this entry's summaries for a while. */
void AddFollower(members& state, const std::string& name, mono_time now);

/**
 * @brief Tells whether this entry follows the platform's store itself.
 *
 * In a large fleet the relays do; the others copy from them, so that the
 * store's load does not grow with the fleet. While the store answers none of
 * those that are heard, a few of the others try it by turns, in case it turns
 * only the relays away; one that is answered goes on until a relay is.
 */
[[nodiscard]] bool FollowsStore(const members& state,
                                const options& settings,
                                const self_status& self,
                                mono_time now);

/**
 * @brief Tells whether this entry is among the first that try a store which
 * does not answer.
 */
[[nodiscard]] bool TriesStoreFirst(const members& state,
                                   const options& settings,
                                   const self_status& self,
                                   mono_time now);

/**
 * @brief Returns the pause before a store that did not answer is tried again.
 * @param most Longest pause after which an entry that was cut off still knows
 * in time which upstreams are gone; the shortest pause goes before it.
 */
[[nodiscard]] std::chrono::milliseconds StoreRetryDelay(
    const members& state,
    const options& settings,
    const self_status& self,
    std::chrono::milliseconds most,
    mono_time now);

/**
 * @brief Tells whether an entry that follows the store asks it often.
 *
 * The others ask now and then, so that each sees for itself when the store is
 * away, and copy in between what the watchers have seen.
 */
[[nodiscard]] bool WatchesStore(const members& state,
                                const options& settings,
                                const self_status& self,
                                mono_time now);

/**
 * @brief Tells whether the store has answered another entry all through a time
 * in which it did not answer this one.
 *
 * It was then not away, and entries of upstreams that are missing are gone.
 */
[[nodiscard]] bool WasStoreReachableThroughout(const members& state,
                                               const options& settings,
                                               std::chrono::milliseconds time,
                                               mono_time now);

/** @brief A version that digests tell, such as that of the manifest. */
using advertised_version = std::uint64_t (wire::digest::*)() const;

/**
 * @brief Returns a live member that knows a newer version, to copy from.
 *
 * Members in this entry's data centre come first; among them each entry prefers
 * another one, so that not all ask the same.
 *
 * @param own The version known here.
 * @return Null if none is ahead.
 */
[[nodiscard]] const member* FindNewer(const members& state,
                                      const options& settings,
                                      const self_status& self,
                                      advertised_version version,
                                      std::uint64_t own,
                                      mono_time now);

/** @brief Returns the members that take their view from this entry. */
[[nodiscard]] std::vector<const member*> Followers(const members& state,
                                                   const options& settings,
                                                   std::string_view data_centre,
                                                   mono_time now);

/**
 * @brief Adds up the work of all members heard lately.
 * @param own This entry's digest.
 */
[[nodiscard]] wire::summary AggregateWork(const members& state,
                                          const options& settings,
                                          const wire::digest& own,
                                          mono_time now);

/**
 * @brief Takes a member's own work out of a sum, since it knows that better.
 * @param of The digest that was added.
 */
void Subtract(wire::summary& sum, const wire::digest& of);

/** @brief Drops members that were silent for long. */
void Tick(members& state, const options& settings, mono_time now);

/** @brief Returns the interval at which members of this fleet send digests. */
[[nodiscard]] std::chrono::milliseconds DigestInterval(const members& state,
                                                       const options& settings);

/** @brief Returns the silence after which a member gets no new callers. */
[[nodiscard]] std::chrono::milliseconds LivenessTimeout(
    const members& state,
    const options& settings);

/** @brief Tells whether a member was heard lately. */
[[nodiscard]] bool IsLive(const members& state,
                          const member& of,
                          const options& settings,
                          mono_time now);

/** @brief Returns the members heard lately that are not leaving. */
[[nodiscard]] std::vector<const member*> LiveMembers(const members& state,
                                                     const options& settings,
                                                     mono_time now);

/**
 * @brief Returns how far this clock is behind the fleet's median clock.
 *
 * The median holds as long as most clocks are right.
 */
[[nodiscard]] std::chrono::milliseconds ClockCorrection(const members& state,
                                                        const options& settings,
                                                        mono_time now);

/** @brief This entry, as the directory may list it. */
struct self_entry {
  std::string caller_address;
  std::string data_centre;
  bool ready{};
};

/**
 * @brief Returns the addresses that a caller should use.
 *
 * Entries in the caller's data centre come alone if there are any; a single one
 * is joined by others, so that its loss leaves a choice.
 */
[[nodiscard]] std::vector<std::string> AddressesFor(
    const members& state,
    const options& settings,
    const self_entry& self,
    std::string_view data_centre,
    std::size_t most,
    mono_time now);

/**
 * @brief Tells whether at least half of the members heard within the last while
 * are still heard. An entry that is cut off from most knows neither their
 * counts nor their load and must not act for the fleet.
 */
[[nodiscard]] bool HasMajorityContact(const members& state,
                                      const options& settings,
                                      mono_time now);

/** @brief Tells whether a live member says that it holds the lease. */
[[nodiscard]] bool IsLeaseHeldElsewhere(const members& state,
                                        const options& settings,
                                        mono_time now);

/**
 * @brief Returns the members that keep billing counts: in a small fleet all,
 * else who holds the lease and those who contend for it next.
 */
[[nodiscard]] std::vector<const member*>
BillingReplicas(const members& state, const options& settings, mono_time now);

/**
 * @brief Returns this entry's place among the live ones in the order in which
 * they contend for the lease.
 *
 * Entries that ran through fewer windows come later: they lack the billing
 * counts of windows that are still to be reported.
 */
[[nodiscard]] std::size_t ContentionRank(const members& state,
                                         const options& settings,
                                         const self_status& self,
                                         mono_time now);

}  // namespace mimosadeck::fleet

#endif  // FLEET_FLEET_H_
