#ifndef REGISTRY_REGISTRY_H_
#define REGISTRY_REGISTRY_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "registry/fwd.h"
#include "registry/store_version.h"

namespace mimosadeck::registry {

/** @brief Registration of one upstream, as written by the upstream. */
struct upstream {
  std::string id;
  std::string service;
  /** `IP:PORT`. */
  std::string address;
  std::string data_centre;
  std::uint32_t slots{};
  /** Accepts no new work. */
  bool draining{};
  /** May be withdrawn at a few seconds' notice. */
  bool evictable{};
  /** Start of this incarnation, in ms since 1970; 0 if not given. */
  std::uint64_t started_at_ms{};
  /** Time for which the upstream stays cold from this registration on. The
   * registry keeps it as registered::cold_until and holds zero here, so that
   * its decrease is no change of content. */
  std::chrono::milliseconds cold_for{};

  friend bool operator==(const upstream&, const upstream&) = default;
};

/** @brief Settings of the registry. */
struct options {
  /**
   * Time after an outage of the store for which an upstream without a
   * registration stays in use. Upstreams register again within 2 s of the
   * store's recovery.
   */
  std::chrono::milliseconds reregistration_grace{2200};
  /** Age of the oldest copy from which the store may return. A removal is
   * remembered for this long, as such a copy may still hold the registration.
   */
  std::chrono::milliseconds max_copy_age{60000};
  /** Time after which a registration that nobody renews is gone: three
   * heartbeats of an upstream. */
  std::chrono::milliseconds registration_lifetime{4000};
  /** Difference between the ends of a cold period, as two registrations state
   * them, that counts as none: each arrives with another delay. */
  std::chrono::milliseconds cold_tolerance{500};
};

/** @brief A change of one registration, in the order of the store. */
struct change {
  std::string id;
  /** Version of the store after the change. */
  store_version version{};
  /** Unset if the registration was removed or cannot be decoded. */
  std::optional<upstream> entry;
};

/** @brief A registration held by the registry. */
struct registered {
  std::shared_ptr<const upstream> entry;
  /** Version of its last change of content; rewriting equal content keeps it.
   */
  store_version version{};
  /** Set if the registration was removed: the upstream is dropped at this time.
   */
  std::optional<mono_time> drop_at;
  /** Set if the registration was removed before the store returned from an
   * older copy, which still holds it: the upstream is not used before its next
   * registration, or an answer of the store after this time. */
  std::optional<mono_time> held_back_until;
  /** The registration was written in the current era. */
  bool is_confirmed{};
  /** The upstream is cold up to this time: it accepts a limited rate of
   * requests only. */
  mono_time cold_until;
};

/** @brief An upstream whose registration was removed. */
struct removed_upstream {
  /** Start of the incarnation; see upstream::started_at_ms. */
  std::uint64_t started_at_ms{};
  mono_time removed_at;
};

/**
 * @brief The upstreams registered at one process.
 *
 * Updated by listings and changes of the store, or by updates from another
 * process. Each of them may arrive late or twice, or be missed while the store
 * is unavailable.
 */
struct upstream_set {
  std::map<std::string, registered, std::less<>> by_id;
  /** Every change up to this version of the store is applied. */
  store_version version{};
  /**
   * Version of the last change of content. Upstreams rewrite their registration
   * with each heartbeat, which other processes need not copy.
   */
  store_version changed_version{};
  /** Removed ids by the version of their removal; the oldest are pruned. */
  std::multimap<store_version, std::string> removals;
  /** Removals up to this version may be missing from `removals`. */
  store_version removals_pruned_to{};
  /** Time at which the store last recovered from an outage, or returned from an
   * older copy. */
  std::optional<mono_time> store_recovered_at;
  /** Upstreams whose registrations were removed, by id, until they register
   * again or the removal is older than any copy of the store. */
  std::map<std::string, removed_upstream, std::less<>> removed;
  /** First listing of the current era. Registrations up to it may be those of
   * the copy from which the store returned. */
  store_version era_began_at{};
  /** Rises with each change of the result of UsableUpstreams. */
  std::uint64_t generation{};
};

/** @brief Records that the store recovered from an outage. */
void OnStoreRecovered(upstream_set& state,
                      const options& settings,
                      mono_time now);

/**
 * @brief Applies the changes of one answer of the store; changes up to the held
 * version are ignored.
 *
 * Within the grace after an outage, an upstream whose registration is removed
 * stays in use, since the registration may have expired during the outage.
 */
void OnChanges(upstream_set& state,
               const options& settings,
               std::vector<change> received,
               mono_time now);

/**
 * @brief Applies a complete listing, unless a newer version is held. Upstreams
 * missing from it are handled as removed.
 *
 * The first listing of a new era is one of a store that returned from an older
 * copy. What was registered since the copy is missing until it is written
 * again, so the grace begins. What was removed since is listed once more and is
 * held back.
 *
 * @param version Version of the store at which the listing was read.
 */
void OnListing(upstream_set& state,
               const options& settings,
               std::vector<change> listing,
               store_version version,
               mono_time now);

/** @brief A registration as copied from one process to another. */
struct copied {
  upstream entry;
  store_version version{};
  /** Time until the upstream is dropped; unset if it stays in use. */
  std::optional<std::chrono::milliseconds> dropped_after;
  /** Time for which the upstream is held back; unset if it is not. */
  std::optional<std::chrono::milliseconds> held_back_for;
};

/** @brief Changes between two versions. */
struct update {
  /** Version to which the changes apply; 0 if they are the complete set. */
  store_version since{};
  store_version version{};
  /** Version of the last change of content. */
  store_version changed_version{};
  std::vector<copied> updated;
  /** Ids of removed upstreams. */
  std::vector<std::string> gone;
};

/** @brief Returns the changes since a version, or the complete set if removals
 * since then were pruned. */
[[nodiscard]] update ChangesSince(const upstream_set& state,
                                  store_version since,
                                  mono_time now);

/**
 * @brief Ends the grace after an outage, whether begun here or by the process
 * that was copied: the store has been available for longer than it lasts.
 *
 * The next Tick() drops the upstreams that were kept for the grace.
 */
void EndGrace(upstream_set& state, mono_time now);

/**
 * @brief Applies an update of another process.
 * @return False if it is not newer, or if it starts after the held version.
 */
bool Adopt(upstream_set& state,
           const options& settings,
           update received,
           mono_time now);

/**
 * @brief Returns the incarnations that are held back, to report to other
 * entries, which may not know of their removal.
 *
 * Leaves out those that are held back only because another entry reported them,
 * so that entries do not prolong each other's reports.
 */
[[nodiscard]] std::vector<std::string> HeldBack(const upstream_set& state);

/**
 * @brief Holds an upstream back because another entry does.
 *
 * Has no effect if the incarnation is not registered here or was written in the
 * current era.
 *
 * @return True if this changed the usable upstreams.
 */
bool HoldBack(upstream_set& state,
              const options& settings,
              std::string_view incarnation,
              mono_time now);

/** @brief Drops upstreams whose grace expired, and old removals. */
void Tick(upstream_set& state, const options& settings, mono_time now);

/** @brief Returns the upstreams of a service that accept new work. */
[[nodiscard]] std::vector<std::shared_ptr<const upstream>> UsableUpstreams(
    const upstream_set& state,
    std::string_view service);

/** @brief Returns the usable upstreams of a service that are cold. */
[[nodiscard]] std::vector<std::shared_ptr<const upstream>> ColdUpstreams(
    const upstream_set& state,
    std::string_view service,
    mono_time now);

/** @brief Returns the name of an incarnation: the upstream's id and start. */
[[nodiscard]] std::string IncarnationOf(const upstream& registration);

}  // namespace mimosadeck::registry

#endif  // REGISTRY_REGISTRY_H_
