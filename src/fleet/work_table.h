#ifndef FLEET_WORK_TABLE_H_
#define FLEET_WORK_TABLE_H_

#include <cstdint>
#include <map>

#include "wire/digest.pb.h"

namespace mimosadeck::fleet {

/** @brief Unfinished requests on one upstream. */
struct upstream_work {
  /** Requests sent that have not ended. */
  std::uint32_t running{};
  /** Prompt tokens of the requests that have not begun to answer. */
  std::uint32_t unread_tokens{};
  /** Tokens that the requests occupy in the upstream's memory. */
  std::uint32_t held_tokens{};
};

/** @brief Recent work sent to a service, by request pattern; see placement. */
struct service_work {
  double short_work{};
  double long_work{};
};

/**
 * @brief Work of one or more entries, by upstream and by service.
 *
 * Encode rounds token counts up to units of 64 tokens.
 */
struct work_table {
  /** By UpstreamKey. */
  std::map<std::uint32_t, upstream_work> upstreams;
  /** By the hash of the service's name. */
  std::map<std::uint64_t, service_work> services;
};

/**
 * @brief Returns the key of an upstream in a work table.
 * @param incarnation Hash of the upstream's incarnation.
 */
[[nodiscard]] std::uint32_t UpstreamKey(std::uint64_t incarnation);

/**
 * @brief Adds the work of a message to a table.
 *
 * Lists of unequal length are cut to the shortest one.
 */
void Add(work_table& sum, const wire::work& message);

/** @brief Subtracts the work of a message from a table, down to zero. */
void Subtract(work_table& sum, const wire::work& message);

/** @brief Encodes a table as a message. */
[[nodiscard]] wire::work Encode(const work_table& table);

}  // namespace mimosadeck::fleet

#endif  // FLEET_WORK_TABLE_H_
