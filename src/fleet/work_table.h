#ifndef FLEET_WORK_TABLE_H_
#define FLEET_WORK_TABLE_H_

#include <cstdint>
#include <map>

#include "wire/digest.pb.h"

namespace mimosadeck::fleet {

/** @brief Work on one upstream. */
struct upstream_work {
  std::uint32_t running{};
  std::uint32_t unread_tokens{};
  std::uint32_t held_tokens{};
};

/** @brief Work sent to a service lately, by pattern; see placement. */
struct service_work {
  double short_work{};
  double long_work{};
};

/** @brief Work of one or more entries. Tokens are kept in units of 64. */
struct work_table {
  /** By UpstreamKey. */
  std::map<std::uint32_t, upstream_work> upstreams;
  /** By the hash of the service's name. */
  std::map<std::uint64_t, service_work> services;
};

/** @brief Returns the key of an upstream in a table.
 * @param incarnation Hash of the upstream's incarnation. */
[[nodiscard]] std::uint32_t UpstreamKey(std::uint64_t incarnation);

/** @brief Adds what a message tells; lists of unequal length are cut. */
void Add(work_table& sum, const wire::work& told);

/** @brief Takes what a message tells out again, as far as it is there. */
void Subtract(work_table& sum, const wire::work& told);

/** @brief Writes a table. */
[[nodiscard]] wire::work Encode(const work_table& from);

}  // namespace mimosadeck::fleet

#endif  // FLEET_WORK_TABLE_H_
