#include "config/freshness.h"

namespace mimosadeck::config {

freshness EvaluateFreshness(const replica& copy,
                            const fleet_contact& contact,
                            std::chrono::milliseconds max_age,
                            mono_time now) {
  if (!copy.up_to_date_at || copy.current.version < copy.newest_version) {
    return freshness::stale;
  }
  if (now - *copy.up_to_date_at <= max_age) {
    return freshness::fresh;
  }
  const bool store_lost = !contact.last_store_contact ||
                          now - *contact.last_store_contact > max_age;
  return contact.majority_reachable && store_lost ? freshness::store_lost_by_all
                                                  : freshness::stale;
}

void OnStoreContact(fleet_contact& contact, mono_time when) {
  if (!contact.last_store_contact || *contact.last_store_contact < when) {
    contact.last_store_contact = when;
  }
}

}  // namespace mimosadeck::config
