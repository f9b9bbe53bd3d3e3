#ifndef CONFIG_FRESHNESS_H_
#define CONFIG_FRESHNESS_H_

#include <chrono>
#include <optional>

#include "base/time.h"
#include "config/replica.h"

namespace mimosadeck::config {

/**
 * @brief State of an entry's configuration, which decides whether requests
 * with API keys may be served.
 */
enum class freshness {
  /** This entry has every change accepted until the maximum age ago. */
  fresh,
  /**
   * The copy is older than the maximum age, but a majority of all entries is
   * reachable and none of them has reached the store within that time, so that
   * none of them can have accepted a change.
   */
  store_lost_by_all,
  /**
   * A key may have been withdrawn without this entry having received the
   * change: requests with keys are refused.
   */
  stale,
};

/** @brief Contact of the entries with each other and with the store. */
struct fleet_contact {
  /** Latest time at which any entry is known to have reached the store. */
  std::optional<mono_time> last_store_contact;
  /** This entry is in contact with a majority of all entries. */
  bool majority_reachable{};
};

/**
 * @brief Determines whether requests with keys may be served.
 * @param copy This entry's copy of the configuration.
 * @param contact Contact with the store and with other entries.
 * @param max_age Maximum age of a copy that may serve requests with keys.
 * @param now Current time.
 */
[[nodiscard]] freshness EvaluateFreshness(const replica& copy,
                                          const fleet_contact& contact,
                                          std::chrono::milliseconds max_age,
                                          mono_time now);

/** @brief Records that an entry, this one or a peer, reached the store. */
void OnStoreContact(fleet_contact& contact, mono_time when);

}  // namespace mimosadeck::config

#endif  // CONFIG_FRESHNESS_H_
