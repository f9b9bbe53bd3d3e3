#ifndef APPS_MIMOSADECKD_EDGE_SYNC_H_
#define APPS_MIMOSADECKD_EDGE_SYNC_H_

#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>

#include "mimosadeckd/edge/state.h"

namespace mimosadeck::edge {

/** @brief Path at which an entry serves its manifest to other entries; the
 * parameter `since` limits the response to changes after a version. */
inline constexpr std::string_view kManifestPath = "/manifest";
/** @brief Path at which an entry serves its registry to other entries; takes
 * the parameter `since` as well. */
inline constexpr std::string_view kUpstreamsPath = "/upstreams";

/**
 * @brief Applies a manifest if it is valid and newer than the current one.
 * @param origin Where the manifest came from, for the log.
 */
void AdoptManifest(edge_state& state,
                   const std::string& text,
                   std::string_view origin);

/** @brief Applies new manifests, and evacuations of data centres, from the
 * store until the daemon stops. */
[[nodiscard]] asio::awaitable<void> FollowManifest(edge_state& state);

/** @brief Applies changes of the upstreams' registrations from the store until
 * the daemon stops. */
[[nodiscard]] asio::awaitable<void> FollowUpstreams(edge_state& state);

/** @brief Copies the manifest from entries that have a newer version, until the
 * daemon stops. */
[[nodiscard]] asio::awaitable<void> CatchUpOnManifest(edge_state& state);

/** @brief Copies the registry from entries that have a newer version, until the
 * daemon stops. */
[[nodiscard]] asio::awaitable<void> CatchUpOnUpstreams(edge_state& state);

/**
 * @brief Encodes the manifest changes that another entry requests.
 * @param target Request target, with the version in `since`.
 * @return The response body, or change_unreadable if encoding fails.
 */
[[nodiscard]] result<std::string> EncodeManifest(edge_state& state,
                                                 std::string_view target);

/**
 * @brief Encodes the registry changes that another entry requests.
 * @param target Request target, with the version in `since`.
 * @return The response body.
 */
[[nodiscard]] std::string EncodeRegistry(const edge_state& state,
                                         std::string_view target);

}  // namespace mimosadeck::edge

#endif  // APPS_MIMOSADECKD_EDGE_SYNC_H_
