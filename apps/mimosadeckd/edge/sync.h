#ifndef APPS_MIMOSADECKD_EDGE_SYNC_H_
#define APPS_MIMOSADECKD_EDGE_SYNC_H_

#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>

#include "mimosadeckd/edge/state.h"

namespace mimosadeck::edge {

/** @brief Path at which an entry hands its manifest to others; the parameter
 * `since` asks only for what changed after a version. */
inline constexpr std::string_view kManifestPath = "/manifest";
/** @brief Path at which an entry hands its registry to others, likewise. */
inline constexpr std::string_view kUpstreamsPath = "/upstreams";

/**
 * @brief Puts a manifest in force unless the present one is as new.
 * @param origin Who gave it, for the log.
 */
void AdoptManifest(edge_state& state,
                   const std::string& text,
                   std::string_view origin);

/** @brief Follows the operators' manifest in the store. */
[[nodiscard]] asio::awaitable<void> FollowManifest(edge_state& state);

/** @brief Follows the upstreams' entries in the store. */
[[nodiscard]] asio::awaitable<void> FollowUpstreams(edge_state& state);

/** @brief Copies manifests from other entries that know newer ones. */
[[nodiscard]] asio::awaitable<void> CatchUpOnManifest(edge_state& state);

/** @brief Copies upstreams from other entries that know newer ones. */
[[nodiscard]] asio::awaitable<void> CatchUpOnUpstreams(edge_state& state);

/**
 * @brief Writes what the target of another entry's call asks of the manifest.
 * @return The answer's body, or change_unreadable if it cannot be written.
 */
[[nodiscard]] result<std::string> EncodeManifest(edge_state& state,
                                                 std::string_view target);

/** @brief Writes what the target of another entry's call asks of the registry.
 */
[[nodiscard]] std::string EncodeRegistry(const edge_state& state,
                                         std::string_view target);

}  // namespace mimosadeck::edge

#endif  // APPS_MIMOSADECKD_EDGE_SYNC_H_
