#ifndef APPS_MIMOSADECKD_EDGE_ROWS_H_
#define APPS_MIMOSADECKD_EDGE_ROWS_H_

#include <functional>
#include <string>

#include "mimosadeckd/edge/state.h"

namespace mimosadeck::edge {

/** @brief Writes this entry's peer address to the store, retrying until the
 * write is confirmed or the daemon stops. */
[[nodiscard]] asio::awaitable<void> WriteMemberRow(edge_state& state,
                                                   std::string address);

/** @brief Removes this entry's row from the store, so that no new entry tries
 * to contact it. */
[[nodiscard]] asio::awaitable<void> RemoveMemberRow(edge_state& state);

/**
 * @brief Waits until gossip shows that the fleet is large, for up to 1.5 s.
 * @return False if the fleet is small or no entry was heard.
 */
[[nodiscard]] asio::awaitable<bool> DetectLargeFleet(const edge_state& state);

/** @brief Reads the peer addresses of all entries from the store. */
[[nodiscard]] asio::awaitable<void> ReadMemberRows(
    edge_state& state,
    std::function<void(const std::string&)> on_address);

/**
 * @brief Writes to the store that a request is condemned, retrying until the
 * write is confirmed or the daemon stops.
 *
 * The row preserves the decision when all entries end at once.
 */
[[nodiscard]] asio::awaitable<void> WriteCondemnedRow(edge_state& state,
                                                      std::string fingerprint);

/** @brief Removes the row of a condemned prompt part that was acquitted. */
[[nodiscard]] asio::awaitable<void> RemoveCondemnedRow(edge_state& state,
                                                       std::string name);

/** @brief Reads the condemned requests from the store and removes rows that
 * have expired or are unreadable. */
[[nodiscard]] asio::awaitable<void> ReadCondemnedRows(edge_state& state);

}  // namespace mimosadeck::edge

#endif  // APPS_MIMOSADECKD_EDGE_ROWS_H_
