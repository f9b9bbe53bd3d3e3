#ifndef APPS_MIMOSADECKD_EDGE_PEER_INPUT_H_
#define APPS_MIMOSADECKD_EDGE_PEER_INPUT_H_

#include <string_view>

#include "registry/registry.h"
#include "wire/digest.pb.h"

namespace mimosadeck::edge {

/**
 * @brief Logs that an address of an entry is left out, because nothing can
 * listen at it.
 * @param origin Who named the address.
 * @param field What the address is for.
 */
void LogOddAddress(std::string_view origin, std::string_view field);

/** @brief Clears addresses of a record at which nothing can listen. */
void ClearOddAddresses(wire::digest& record);

/** @brief Removes the members of a summary at whose address nothing can listen,
 * and clears other such addresses. */
void DropOddMembers(wire::summary& received);

/** @brief Decodes a registry that came from another entry. A registration that
 * names no upstream to use counts as removed. */
[[nodiscard]] registry::update DecodeRegistry(
    const wire::upstream_registry& received,
    std::string_view origin);

}  // namespace mimosadeck::edge

#endif  // APPS_MIMOSADECKD_EDGE_PEER_INPUT_H_
