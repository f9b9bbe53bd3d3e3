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
  std::chrono::milliseconds return_grace{2200};
};

/** @brief An upstream as the registry holds it. */
struct registered {
  std::shared_ptr<const upstream> entry;
  /** The entry is gone; the upstream is dropped at this time. */
  std::optional<mono_time> drop_at;
};

/**
 * @brief The upstreams that one process knows.
 *
 * Fed by listings and single changes; both may come late or be missed while the
 * store is away.
 */
struct upstream_set {
  std::map<std::string, registered, std::less<>> by_id;
  /** When the store answered again after an outage. */
  std::optional<mono_time> store_back_at;
  /** Rises with each change of what Usable returns. */
  std::uint64_t generation{};
};

/** @brief Takes note that the store answers again after an outage. */
void OnStoreBack(upstream_set& state, mono_time now);

/** @brief Takes an entry that was written. */
void OnEntry(upstream_set& state, upstream entry);

/**
 * @brief Takes note that an entry is gone, or cannot be read.
 *
 * Shortly after an outage the upstream stays in use, since its entry may have
 * lapsed meanwhile.
 */
void OnEntryGone(upstream_set& state,
                 const options& settings,
                 std::string_view id,
                 mono_time now);

/** @brief Takes a whole listing; what it lacks counts as gone. */
void OnListing(upstream_set& state,
               const options& settings,
               std::vector<upstream> entries,
               mono_time now);

/** @brief Drops upstreams whose grace ran out. */
void Tick(upstream_set& state, mono_time now);

/** @brief Returns the upstreams of a service that take new work. */
[[nodiscard]] std::vector<std::shared_ptr<const upstream>> Usable(
    const upstream_set& state,
    std::string_view service);

/** @brief Returns a name that differs between incarnations of an upstream. */
[[nodiscard]] std::string IncarnationOf(const upstream& entry);

}  // namespace mimosadeck::registry

#endif  // REGISTRY_REGISTRY_H_
