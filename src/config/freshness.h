#ifndef CONFIG_FRESHNESS_H_
#define CONFIG_FRESHNESS_H_

#include <chrono>
#include <optional>

#include "base/time.h"
#include "config/replica.h"

namespace mimosadeck::config {

/** @brief Whether requests with keys may be served. */
enum class freshness {
  /** Every change accepted before the bound is known here. */
  fresh,
  /**
   * The bound has passed, but a majority of all entries is heard and none of
   * them has heard from the store within the bound, so that none of them can
   * have accepted a change.
   */
  store_lost_by_all,
  /** A key may have been withdrawn unheard: keyed work is refused. */
  stale,
};

/** @brief What an entry knows besides its own copy. */
struct fleet_contact {
  /** Latest time at which any entry is known to have heard from the store. */
  std::optional<mono_time> last_store_contact;
  bool majority_reachable{};
};

/**
 * @brief Judges whether requests with keys may be served.
 * @param copy This entry's copy of the configuration.
 * @param contact What is known of the store and of other entries.
 * @param bound Greatest age of a copy that serves keys.
 * @param now Present time.
 */
[[nodiscard]] freshness EvaluateFreshness(const replica& copy,
                                          const fleet_contact& contact,
                                          std::chrono::milliseconds bound,
                                          mono_time now);

/** @brief Takes note that some entry heard from the store. */
void OnStoreContact(fleet_contact& contact, mono_time when);

}  // namespace mimosadeck::config

#endif  // CONFIG_FRESHNESS_H_
