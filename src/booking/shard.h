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
  std::chrono::milliseconds claim_timeout{1000};
  std::chrono::milliseconds save_interval{200};
  std::chrono::milliseconds retry_interval{300};
  std::chrono::milliseconds fetch_timeout{3000};
  std::size_t records_per_commit{100};
  std::uint32_t records_per_scan{500};
};

/** @brief How a claim ended. The numbers cross the wire. */
enum class claim_outcome : std::uint32_t {
  /** The caller of the claim, and nobody else, may send the call once. */
  granted = 0,
  /** The call ran before; its answer is given. */
  answered = 1,
  /** The call is running at an entry that lives. */
  in_progress = 2,
  /** The call was claimed and nobody knows whether it ran. */
  unknown = 3,
  /** The key belongs to another request. */
  key_reused = 4,
  /** The call certainly was not run; it may be tried again. */
  refused = 5,
};

/** @brief Answers one claim. */
struct claim_answer {
  std::uint64_t ticket{};
  claim_outcome outcome{claim_outcome::refused};
  std::string answer;
};

/** @brief Sends copies to a holder, which must answer with `sequence`. */
struct send_copies {
  std::string holder;
  std::uint64_t epoch{};
  std::uint64_t sequence{};
  std::vector<record> records;
  std::vector<std::string> saved;
};

/** @brief Asks a former holder or owner for its copies. */
struct fetch_copies {
  std::string holder;
  std::uint64_t former_epoch{};
  std::uint64_t epoch{};
};

/** @brief Sends a request to the platform; one at a time for each shard. */
struct store_request {
  infra::request request;
};

/** @brief What a shard's state machine asks its embedder to do. */
using action =
    std::variant<claim_answer, send_copies, fetch_copies, store_request>;

/** @brief Tells whether an entry incarnation is known to be gone. */
using departed_predicate = std::function<bool(const std::string&)>;

/** @brief Where a shard stands on this entry. */
enum class shard_phase {
  idle,
  reading,
  taking,
  collecting,
  activating,
  active
};

/** @brief A claim that waits until its record is durable. */
struct pending_claim {
  std::uint64_t ticket{};
  std::string key;
  std::string nonce;
  mono_time deadline;
  std::uint64_t sequence{};
  std::set<std::string> acknowledged;
};

/**
 * @brief One shard of idempotency keys, as one entry sees it.
 *
 * The owner is the only writer of the shard's records. A claim is durable once
 * every listed holder has a copy, or once the store has it under the owner's
 * version of the shard row. A takeover goes through the store only: it raises
 * the epoch, collects the copies from at least one listed holder, which then
 * refuses the former owner, and saves them before it serves.
 */
struct shard {
  std::uint32_t number{};
  std::string self;
  shard_phase phase{shard_phase::idle};
  shard_row row;
  std::uint64_t row_version{};
  std::optional<shard_row> proposed;
  bool awaits_store{};
  bool verifies_row{};
  bool wants_holders{};
  bool wants_release{};
  bool readable{};
  std::string scan_after;
  mono_time next_store;
  mono_time collecting_since;
  std::vector<std::string> holders_wanted;
  std::uint64_t handover_sequence{};
  std::set<std::string> new_holders_ready;
  std::set<std::string> collected_from;
  std::uint64_t next_sequence{1};
  std::uint64_t next_ticket{1};
  std::map<std::string, record> records;
  std::set<std::string> unsaved;
  std::map<std::string, record> saving;
  std::vector<pending_claim> pending;
  /** Nonces whose executor gave up, perhaps before the claim arrived. */
  std::deque<std::string> given_up;
};

/**
 * @brief Starts to become the shard's owner.
 *
 * A shard whose owner is not known to be gone is left alone.
 *
 * @param holders Entry incarnations that shall hold copies.
 */
[[nodiscard]] std::vector<action>
TakeOver(shard& state, const std::vector<std::string>& holders, mono_time now);

/**
 * @brief Takes the reply to the last store_request.
 * @param departed Tells the incarnations known to be gone.
 */
[[nodiscard]] std::vector<action> OnStoreReply(shard& state,
                                               const options& settings,
                                               const infra::reply& reply,
                                               const departed_predicate& departed,
                                               mono_time now);

/** @brief Takes a holder's answer to send_copies. */
[[nodiscard]] std::vector<action> OnCopyReply(shard& state,
                                              const std::string& holder,
                                              std::uint64_t epoch,
                                              std::uint64_t sequence,
                                              bool accepted);

/** @brief Takes a former holder's answer to fetch_copies. */
[[nodiscard]] std::vector<action> OnFetchReply(
    shard& state,
    const options& settings,
    const std::string& holder,
    const std::vector<record>& records,
    mono_time now);

/**
 * @brief Takes a claim.
 * @param wanted Record with key, digest, nonce and executor.
 * @param departed Tells the incarnations known to be gone.
 * @param ticket Set to the ticket that the answer will carry.
 */
[[nodiscard]] std::vector<action> OnClaim(shard& state,
                                          const options& settings,
                                          const record& wanted,
                                          const departed_predicate& departed,
                                          mono_time now,
                                          std::uint64_t& ticket);

/**
 * @brief Takes an executor's word on how its call ended.
 * @param never_sent True if no byte left for an upstream; the key is free
 * again.
 * @return Copies to send; nothing if the claim is not the executor's.
 */
[[nodiscard]] std::vector<action> OnSettle(shard& state,
                                           const record& outcome,
                                           bool never_sent);

/** @brief Saves records, ends late claims, replaces lost holders. */
[[nodiscard]] std::vector<action> Tick(shard& state,
                                       const options& settings,
                                       mono_time now);

/** @brief Asks for other holders, when one of the present ones is gone. */
[[nodiscard]] std::vector<action> ReplaceHolders(
    shard& state,
    const std::vector<std::string>& holders);

/** @brief Asks to hand the shard over once every record is saved. */
void Release(shard& state);

/** @brief Tells whether this entry serves claims of the shard. */
[[nodiscard]] bool IsServing(const shard& state);

}  // namespace mimosadeck::booking

#endif  // BOOKING_SHARD_H_
