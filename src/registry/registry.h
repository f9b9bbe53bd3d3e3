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

namespace mimosadeck::registry {

/** @brief What one upstream says of itself. */
struct upstream {
  std::string id;
  std::string service;
  /** `IP:PORT`. */
  std::string address;
  std::string data_centre;
  std::uint32_t slots{};
  /** Takes no new work. */
  bool draining{};
  /** May be taken away at seconds' notice. */
  bool evictable{};
  /** Start of this incarnation, in ms since 1970; 0 if it does not say. */
  std::uint64_t started_at_ms{};

  friend bool operator==(const upstream&, const upstream&) = default;
};

/** @brief Settings of the registry. */
struct options {
  /**
   * After an outage of the store, an upstream without an entry stays in use for
   * so long: it registers again within two seconds of the store's return.
   */
  std::chrono::milliseconds reregistration_grace{2200};
};

/** @brief A change of one entry, as the store has ordered it. */
struct change {
  std::string id;
  /** Version of the store that brought it; rises with each change. */
  std::uint64_t version{};
  /** Unset if the entry is gone or cannot be read. */
  std::optional<upstream> entry;
};

/** @brief An upstream as the registry holds it. */
struct registered {
  std::shared_ptr<const upstream> entry;
  /** Version of its newest change of content; entries that are only written
   * anew keep it. */
  std::uint64_t version{};
  /** The entry is gone; the upstream is dropped at this time. */
  std::optional<mono_time> drop_at;
};

/**
 * @brief The upstreams that one process knows.
 *
 * Fed by listings and single changes of the store, or by another process' set;
 * all may come late, twice, or be missed while the store is away.
 */
struct upstream_set {
  std::map<std::string, registered, std::less<>> by_id;
  /** Every change up to this version of the store is reflected. */
  std::uint64_t version{};
  /**
   * Version that last brought something new. Upstreams write their entries anew
   * with each heartbeat; other processes need not copy that.
   */
  std::uint64_t changed_version{};
  /** Ids that are gone, by the version of their removal; the oldest are
   * forgotten. */
  std::multimap<std::uint64_t, std::string> removals;
  /** Removals up to this version may be missing above. */
  std::uint64_t removals_pruned_to{};
  /** When the store answered again after an outage. */
  std::optional<mono_time> store_recovered_at;
  /** Rises with each change of what UsableUpstreams returns. */
  std::uint64_t generation{};
};

/** @brief Takes note that the store answers again after an outage. */
void OnStoreRecovered(upstream_set& state, mono_time now);

/**
 * @brief Takes the changes of one answer of the store; those that are reflected
 * already are dropped.
 *
 * Shortly after an outage an upstream without an entry stays in use, since its
 * entry may have lapsed meanwhile.
 */
void OnChanges(upstream_set& state,
               const options& settings,
               std::vector<change> received,
               mono_time now);

/**
 * @brief Takes a whole listing, unless a newer state is known; what it lacks
 * counts as gone.
 * @param version Version of the store that the listing shows.
 */
void OnListing(upstream_set& state,
               const options& settings,
               std::vector<change> entries,
               std::uint64_t version,
               mono_time now);

/** @brief An upstream as one process tells another. */
struct copied {
  upstream entry;
  std::uint64_t version{};
  /** Time until it is dropped; unset if it stays. */
  std::optional<std::chrono::milliseconds> dropped_after;
};

/** @brief What changed between two versions. */
struct update {
  /** Version to which it applies; zero for a whole set. */
  std::uint64_t since{};
  std::uint64_t version{};
  /** Version that last brought something new. */
  std::uint64_t changed_version{};
  std::vector<copied> updated;
  std::vector<std::string> gone;
};

/** @brief Returns what changed since a version, or the whole set if that is no
 * longer known. */
[[nodiscard]] update ChangesSince(const upstream_set& state,
                                  std::uint64_t since,
                                  mono_time now);

/**
 * @brief Takes another process' update.
 * @return False if it is not newer, or does not join on to what is known.
 */
bool Adopt(upstream_set& state, update received, mono_time now);

/** @brief Drops upstreams whose grace ran out. */
void Tick(upstream_set& state, mono_time now);

/** @brief Returns the upstreams of a service that take new work. */
[[nodiscard]] std::vector<std::shared_ptr<const upstream>> UsableUpstreams(
    const upstream_set& state,
    std::string_view service);

/** @brief Returns a name that differs between incarnations of an upstream. */
[[nodiscard]] std::string IncarnationOf(const upstream& entry);

}  // namespace mimosadeck::registry

#endif  // REGISTRY_REGISTRY_H_
