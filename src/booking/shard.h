#ifndef BOOKING_SHARD_H_
#define BOOKING_SHARD_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"
#include "booking/record.h"
#include "infra/infra.h"

namespace mimosadeck::booking {

/** @brief Settings of a shard's owner. */
struct options {
  /** Time after which a claim that is not durable is refused. */
  std::chrono::milliseconds claim_timeout{1000};
  /** Interval between commits of unsaved records. */
  std::chrono::milliseconds save_interval{200};
  /** Pause before the store is asked again after a failed request. */
  std::chrono::milliseconds retry_interval{300};
  /** Longest wait for the copies of former holders during a takeover. */
  std::chrono::milliseconds fetch_timeout{3000};
  /** Maximum number of records in one commit. */
  std::size_t records_per_commit{100};
  /** Maximum number of records in one page of a scan. */
  std::uint32_t records_per_scan{500};
};

/** @brief Outcome of a claim. The numbers are part of the wire format. */
enum class claim_outcome : std::uint32_t {
  /** The claiming executor, and no other, may send the call once. */
  granted = 0,
  /** The call already ran; its recorded answer is returned. */
  answered = 1,
  /** The call is claimed by an entry that is still alive. */
  in_progress = 2,
  /** Whether the call ran cannot be determined. */
  unknown = 3,
  /** The idempotency key was used for another request. */
  key_reused = 4,
  /** Not granted: the call was not sent, and the claim may be retried. */
  refused = 5,
};

/** @brief Answers a claim; `ticket` is the number that OnClaim set for it. */
struct claim_answer {
  std::uint64_t ticket{};
  claim_outcome outcome{claim_outcome::refused};
  std::string answer;
};

/**
 * @brief Sends copies of records to a holder.
 *
 * The reply is passed to OnCopyReply with the same `sequence`. `saved` lists
 * the keys whose copies the holder may remove.
 */
struct send_copies {
  std::string holder;
  std::uint64_t epoch{};
  std::uint64_t sequence{};
  std::vector<record> records;
  std::vector<std::string> saved;
};

/** @brief Requests the copies that a former holder has. */
struct fetch_copies {
  std::string holder;
  std::uint64_t former_epoch{};
  std::uint64_t epoch{};
};

/** @brief Sends a request to the store; at most one per shard at a time. */
struct store_request {
  infra::request request;
};

/** @brief An action that the embedder of a shard must perform. */
using action =
    std::variant<claim_answer, send_copies, fetch_copies, store_request>;

/** @brief Returns true if an entry incarnation is known to have ended. */
using departed_predicate = std::function<bool(const std::string&)>;

/** @brief Phase of a shard on this entry, from idle to active. */
enum class shard_phase {
  /** Not owned by this entry. */
  idle,
  /** Reading the shard row, to see whether it may be taken over. */
  reading,
  /** Committing the row with this entry as owner of a new epoch. */
  taking_over,
  /** Loading saved records and fetching the copies of former holders. */
  collecting,
  /** Saving the collected records and ending recovery. */
  activating,
  /** Owned; claims are served. */
  active
};

/** @brief A claim whose record is not durable yet. */
struct pending_claim {
  std::uint64_t ticket{};
  std::string key;
  std::string nonce;
  mono_time deadline;
  /** Sequence of the copies sent to the holders. */
  std::uint64_t sequence{};
  /** Holders that have accepted the copy. */
  std::set<std::string> acknowledged;
};

/**
 * @brief State of one shard of idempotency keys on one entry.
 *
 * Only the owner writes the shard's records. A claim is durable once every
 * holder in the shard row has a copy, or once the store has committed it under
 * the owner's version of the shard row. A takeover always goes through the
 * store: it raises the epoch, collects the copies from at least one holder in
 * the row, which then refuses the former owner, and saves them before it serves
 * claims.
 */
struct shard {
  std::uint32_t number{};
  /** Incarnation of this entry. */
  std::string self;
  shard_phase phase{shard_phase::idle};
  shard_row row;
  /** Version of the row in the store; 0 if there is none. */
  std::uint64_t row_version{};
  /** Row of the commit in progress. */
  std::optional<shard_row> proposed;
  bool store_request_pending{};
  /** A commit has an unknown outcome; the row must be read back. */
  bool verifying_row{};
  /** The row is to change to `target_holders`; see ReplaceHolders. */
  bool replacing_holders{};
  bool release_requested{};
  /** All saved records have been read during the takeover. */
  bool records_loaded{};
  std::string scan_after;
  /** Tick and TakeOver send no store request before this time. */
  mono_time next_store_request;
  mono_time collecting_started;
  /** Holders to be written into the next row. */
  std::vector<std::string> target_holders;
  /** Sequence of the copies sent to the target holders. */
  std::uint64_t holder_change_sequence{};
  /** Target holders that have all unsaved records. */
  std::set<std::string> confirmed_holders;
  /** Former holders that have sent their copies. */
  std::set<std::string> collected_from;
  std::uint64_t next_sequence{1};
  std::uint64_t next_ticket{1};
  std::map<std::string, record> records;
  /** Keys whose record, or its removal, is not in the store yet. */
  std::set<std::string> unsaved;
  /** Records in the commit in progress; one without nonce is removed. */
  std::map<std::string, record> saving;
  std::vector<pending_claim> pending;
  /** Nonces that their executor abandoned, maybe before the claim arrived. */
  std::deque<std::string> abandoned_nonces;
};

/**
 * @brief Starts a takeover of an idle shard.
 *
 * The takeover ends without effect if another entry owns the shard, has not
 * released it and is not known to have ended.
 *
 * @param holders Entry incarnations that will hold copies.
 */
[[nodiscard]] std::vector<action>
TakeOver(shard& state, const std::vector<std::string>& holders, mono_time now);

/**
 * @brief Handles the reply to the last store_request.
 * @param departed Returns true for incarnations known to have ended.
 */
[[nodiscard]] std::vector<action> OnStoreReply(
    shard& state,
    const options& settings,
    const infra::reply& reply,
    const departed_predicate& departed,
    mono_time now);

/**
 * @brief Handles a holder's reply to send_copies.
 * @param accepted False if the holder has seen a later epoch; the shard then
 * becomes idle.
 */
[[nodiscard]] std::vector<action> OnCopyReply(shard& state,
                                              const std::string& holder,
                                              std::uint64_t epoch,
                                              std::uint64_t sequence,
                                              bool accepted);

/** @brief Handles a former holder's reply to fetch_copies. */
[[nodiscard]] std::vector<action> OnFetchReply(
    shard& state,
    const options& settings,
    const std::string& holder,
    const std::vector<record>& records,
    mono_time now);

/**
 * @brief Handles a claim.
 * @param claim Record with key, digest, nonce and executor.
 * @param departed Returns true for incarnations known to have ended.
 * @param ticket Set to the number that the claim_answer will carry.
 */
[[nodiscard]] std::vector<action> OnClaim(shard& state,
                                          const options& settings,
                                          const record& claim,
                                          const departed_predicate& departed,
                                          mono_time now,
                                          std::uint64_t& ticket);

/**
 * @brief Records the outcome of a call as reported by its executor.
 * @param never_sent True if no byte was sent to an upstream; the key becomes
 * free again.
 * @return Copies to send; empty if the nonce is not that of the current claim.
 */
[[nodiscard]] std::vector<action> OnSettle(shard& state,
                                           const record& outcome,
                                           bool never_sent);

/**
 * @brief Performs the periodic work of a shard.
 *
 * Refuses expired claims, commits unsaved records and changes of the row, and
 * retries failed store requests.
 */
[[nodiscard]] std::vector<action> Tick(shard& state,
                                       const options& settings,
                                       mono_time now);

/**
 * @brief Starts to replace the holders, after one of them was lost.
 *
 * The new holders receive the unsaved records first; the row changes once all
 * of them have confirmed.
 */
[[nodiscard]] std::vector<action> ReplaceHolders(
    shard& state,
    const std::vector<std::string>& holders);

/** @brief Requests the release of the shard once every record is saved. */
void Release(shard& state);

/** @brief Returns true if this entry serves claims of the shard. */
[[nodiscard]] bool IsServing(const shard& state);

}  // namespace mimosadeck::booking

#endif  // BOOKING_SHARD_H_
