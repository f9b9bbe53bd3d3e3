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

/** @brief Row that holds the newest accepted version. */
inline constexpr std::string_view kHeadRow = "config/head";
/** @brief Prefix of the rows that hold one change set each. */
inline constexpr std::string_view kChangePrefix = "config/change/";
/** @brief Object that holds a whole document, for fresh VMs. */
inline constexpr std::string_view kSnapshotObject = "config/snapshot";

/**
 * @brief Returns the row key of one version; keys sort by version.
 */
[[nodiscard]] std::string ChangeRow(std::uint64_t version);

/**
 * @brief One entry's copy of the configuration.
 *
 * `up_to_date_at` is a time at which this copy was known to hold every accepted
 * change. It is unset until the first full read.
 */
struct replica {
  document current;
  std::uint64_t newest_version{};
  std::optional<mono_time> up_to_date_at;
  std::deque<change_set> recent;
};

/**
 * @brief One read of the store, from the head row to the missing changes.
 */
struct poll {
  mono_time sent_at;
  std::uint64_t head{};
  bool reads_changes{};
  bool reads_snapshot{};
};

/**
 * @brief How a poll ended.
 */
struct poll_done {
  bool store_answered{};
  bool changed{};
};

/** @brief The next request of a poll, or its end. */
using poll_step = std::variant<infra::request, poll_done>;

/**
 * @brief Starts a poll of the store.
 * @param state Poll to start.
 * @param now Time just before the request is sent.
 * @return The first request.
 */
[[nodiscard]] infra::request BeginPoll(poll& state, mono_time now);

/**
 * @brief Takes the reply to a poll's last request.
 *
 * The copy never steps down: a head below the copy's version changes nothing.
 *
 * @param target Copy to bring up to date.
 * @param state Poll in progress.
 * @param reply Reply of the platform.
 * @return The next request, or the end of the poll.
 */
[[nodiscard]] poll_step OnPollReply(replica& target,
                                    poll& state,
                                    const infra::reply& reply);

/**
 * @brief Applies changes that a peer sent.
 * @param target Copy to bring up to date.
 * @param changes Change sets in rising order; those already applied are
 * skipped, those after a gap are left out.
 * @return True if the copy advanced.
 */
bool ApplyPeerChanges(replica& target, const std::vector<change_set>& changes);

/**
 * @brief Replaces the copy by a peer's whole document if that is newer.
 * @return True if the copy advanced.
 */
bool ApplyPeerDocument(replica& target, const document& newer);

/**
 * @brief Takes a peer's answer to a probe as a proof of freshness.
 *
 * @param target Copy whose freshness may rise.
 * @param version Version the peer holds.
 * @param age How long before its answer the peer's own copy was known fresh.
 * @param probe_sent_at When this entry sent the probe. Counting from the
 * sending keeps the proof valid however late the answer is.
 */
void OnPeerFreshness(replica& target,
                     std::uint64_t version,
                     std::chrono::milliseconds age,
                     mono_time probe_sent_at);

/**
 * @brief Returns the changes a peer at `version` lacks.
 * @return Change sets in rising order, or nothing if they are no longer held
 * and the whole document must be sent.
 */
[[nodiscard]] std::optional<std::vector<change_set>> ChangesSince(
    const replica& source,
    std::uint64_t version);

/**
 * @brief One operator's change on its way to the store.
 */
struct edit {
  change_set proposed;
  std::uint64_t head_row_version{};
  bool head_read{};
  bool reads_back{};
};

/** @brief The change is durable as `version`. */
struct edit_accepted {
  std::uint64_t version{};
};
/** @brief Another change took this version first; nothing was written. */
struct edit_conflict {
  std::uint64_t newest_version{};
};
/** @brief The store answered nothing; the caller repeats the request. */
struct edit_retry {
  infra::request request;
};

/** @brief The next request of an edit, a request to repeat, or its end. */
using edit_step =
    std::variant<infra::request, edit_retry, edit_accepted, edit_conflict>;

/**
 * @brief Starts an edit.
 * @param state Edit whose `proposed` is filled in; its version is the expected
 * version plus one.
 * @return The first request.
 */
[[nodiscard]] infra::request BeginEdit(edit& state);

/**
 * @brief Takes the reply to an edit's last request.
 *
 * Every write is conditional on the head row, so repeating it after a lost
 * reply writes nothing twice.
 *
 * @return The next request, a request to repeat after a pause, or the end.
 */
[[nodiscard]] edit_step OnEditReply(edit& state, const infra::reply& reply);

}  // namespace mimosadeck::config

#endif  // CONFIG_REPLICA_H_
