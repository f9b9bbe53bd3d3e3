#ifndef CONFIG_REPLICA_H_
#define CONFIG_REPLICA_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"
#include "config/document.h"
#include "infra/infra.h"

namespace mimosadeck::config {

/** @brief Row that holds the number of the newest accepted version. */
inline constexpr std::string_view kHeadRow = "config/head";
/** @brief Key prefix of the rows that hold one change set each. */
inline constexpr std::string_view kChangePrefix = "config/change/";
/** @brief Object that holds a whole document, read by new VMs. */
inline constexpr std::string_view kSnapshotObject = "config/snapshot";

/** @brief Returns the key of a version's change row; keys sort by version. */
[[nodiscard]] std::string ChangeRow(std::uint64_t version);

/**
 * @brief One entry's copy of the configuration.
 *
 * `newest_version` is the newest version that this entry has learned of from
 * the store or a peer; the copy may be behind it. `up_to_date_at` is a time at
 * which the copy is known to have held every accepted change. It is unset until
 * the first complete read. `recent_changes` keeps the last change sets for
 * peers that are behind.
 */
struct replica {
  document current;
  std::uint64_t newest_version{};
  std::optional<mono_time> up_to_date_at;
  std::deque<change_set> recent_changes;
};

/** @brief One poll of the store: the head row, then the missing changes. */
struct poll {
  mono_time sent_at;
  /** Newest accepted version, as read from the head row. */
  std::uint64_t head{};
  bool reading_changes{};
  bool reading_snapshot{};
};

/** @brief Result of a poll; `changed` if the copy has advanced. */
struct poll_done {
  bool store_answered{};
  bool changed{};
};

/** @brief Next request of a poll, or its result. */
using poll_step = std::variant<infra::request, poll_done>;

/**
 * @brief Starts a poll of the store.
 * @param state Poll to start.
 * @param now Time just before the request is sent.
 * @return The first request.
 */
[[nodiscard]] infra::request BeginPoll(poll& state, mono_time now);

/**
 * @brief Handles the reply to the last request of a poll.
 *
 * The copy never returns to an older version: a head below the version of the
 * copy changes nothing.
 *
 * @param target Copy to update.
 * @param state Poll in progress.
 * @param reply Reply of the platform.
 * @return The next request, or the result of the poll.
 */
[[nodiscard]] poll_step OnPollReply(replica& target,
                                    poll& state,
                                    const infra::reply& reply);

/**
 * @brief Applies changes received from a peer.
 * @param target Copy to update.
 * @param changes Change sets in ascending order of version; those already
 * applied and those after a gap are ignored.
 * @return True if the copy advanced.
 */
bool ApplyPeerChanges(replica& target, const std::vector<change_set>& changes);

/**
 * @brief Replaces the copy with a peer's whole document if that is newer.
 * @return True if the copy advanced.
 */
bool ApplyPeerDocument(replica& target, const document& newer);

/**
 * @brief Updates `up_to_date_at` from a peer's answer to a probe.
 *
 * The answer counts only if the copy is at least as new as that of the peer.
 *
 * @param target Copy that the answer may confirm as up to date.
 * @param version Version of the peer's copy.
 * @param age Time between the peer's own `up_to_date_at` and its answer.
 * @param probe_sent_at Time at which this entry sent the probe. The age is
 * counted back from this time, so that a late answer never makes the copy look
 * newer than it is.
 */
void OnPeerFreshness(replica& target,
                     std::uint64_t version,
                     std::chrono::milliseconds age,
                     mono_time probe_sent_at);

/**
 * @brief Returns the changes that a peer at `version` is missing.
 * @return Change sets in ascending order, or nullopt if they are no longer
 * retained and the whole document must be sent.
 */
[[nodiscard]] std::optional<std::vector<change_set>> ChangesSince(
    const replica& source,
    std::uint64_t version);

/** @brief State of one operator's edit while it is written to the store. */
struct edit {
  change_set proposed;
  /** Store version of the head row, on which the commit is conditional. */
  std::uint64_t head_row_version{};
  /** The head row was read, so that a commit may have been sent. */
  bool head_read{};
  /** The change row is read back, to see which edit wrote this version. */
  bool reading_back{};
};

/** @brief The edit is in the store as `version`. */
struct edit_accepted {
  std::uint64_t version{};
};
/** @brief Another edit took the version; nothing was written. */
struct edit_conflict {
  std::uint64_t newest_version{};
};
/** @brief The store gave no answer; the request must be repeated. */
struct edit_retry {
  infra::request request;
};

/** @brief Next request of an edit, a request to repeat, or its result. */
using edit_step =
    std::variant<infra::request, edit_retry, edit_accepted, edit_conflict>;

/**
 * @brief Starts an edit.
 * @param state Edit with `proposed` set; the version of `proposed` is the
 * current one, as the operator expects it, plus one.
 * @return The first request.
 */
[[nodiscard]] infra::request BeginEdit(edit& state);

/**
 * @brief Handles the reply to the last request of an edit.
 *
 * Every commit is conditional on the head row, so that repeating it after a
 * lost reply cannot write the change twice.
 *
 * @return The next request, a request to repeat after a pause, or the result.
 */
[[nodiscard]] edit_step OnEditReply(edit& state, const infra::reply& reply);

}  // namespace mimosadeck::config

#endif  // CONFIG_REPLICA_H_
