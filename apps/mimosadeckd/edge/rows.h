#ifndef APPS_MIMOSADECKD_EDGE_ROWS_H_
#define APPS_MIMOSADECKD_EDGE_ROWS_H_

#include <functional>
#include <string>

#include "mimosadeckd/edge/state.h"

namespace mimosadeck::edge {

/** @brief Writes this entry's peer address to the store; tries until it is
 * confirmed or the daemon stops. */
[[nodiscard]] asio::awaitable<void> WriteMemberRow(edge_state& state,
                                                   std::string address);

/** @brief Removes this entry's row, so that no entry learns of it any more. */
[[nodiscard]] asio::awaitable<void> RemoveMemberRow(edge_state& state);

/**
 * @brief Waits until a large fleet is heard.
 * @return False if a small one is, or none.
 */
[[nodiscard]] asio::awaitable<bool> HearsLargeFleet(const edge_state& state);

/** @brief Reads the peer addresses of all entries from the store. */
[[nodiscard]] asio::awaitable<void> ReadMemberRows(
    edge_state& state,
    std::function<void(const std::string&)> on_address);

/**
 * @brief Writes to the store that a request is condemned, for a fleet of which
 * no process is left; tries until it is confirmed or the daemon stops.
 */
[[nodiscard]] asio::awaitable<void> WriteCondemnedRow(edge_state& state,
                                                      std::string fingerprint);

/** @brief Reads the condemned requests from the store and removes those that
 * are no longer refused. */
[[nodiscard]] asio::awaitable<void> ReadCondemnedRows(edge_state& state);

}  // namespace mimosadeck::edge

#endif  // APPS_MIMOSADECKD_EDGE_ROWS_H_
