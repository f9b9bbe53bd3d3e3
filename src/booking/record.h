#ifndef BOOKING_RECORD_H_
#define BOOKING_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mimosadeck::booking {

/** @brief Number of shards that idempotency keys are hashed into. */
inline constexpr std::uint32_t kShardCount = 32;

/** @brief State of a booking; when copies are merged, the greatest wins. */
enum class record_state {
  /** Claimed by an executor, which may or may not have sent it yet. */
  claimed = 0,
  /** The call ran; its answer is recorded. */
  done = 1,
  /** The call was sent, and whether it ran cannot be determined. */
  outcome_unknown = 2,
};

/**
 * @brief A booking: one non-idempotent call of a plain service.
 *
 * `key` combines client account and idempotency key. `digest` is the hash of
 * the request; it detects a key reused for another request. `nonce` identifies
 * the one claim that may send the call. `executor` is the incarnation of the
 * entry that made the claim.
 */
struct record {
  std::string key;
  std::string digest;
  std::string nonce;
  std::string executor;
  record_state state{record_state::claimed};
  std::string answer;

  friend bool operator==(const record&, const record&) = default;
};

/**
 * @brief The row of one shard in the store.
 *
 * The owner and the holders, which keep copies of unsaved records, are entry
 * incarnations. While `recovering`, `former_holders` lists the holders of
 * `former_epoch`, whose copies are still to be collected, and no claim is
 * granted. `uncertain` means that records of an earlier epoch may be lost, so
 * that claims of keys without a record have an unknown outcome. `released`
 * means that the owner gave the shard up after saving all records.
 */
struct shard_row {
  std::string owner;
  std::uint64_t epoch{};
  std::vector<std::string> holders;
  std::vector<std::string> former_holders;
  std::uint64_t former_epoch{};
  bool recovering{};
  bool uncertain{};
  bool released{};

  friend bool operator==(const shard_row&, const shard_row&) = default;
};

/** @brief Returns the record key of an account and an idempotency key. */
[[nodiscard]] std::string RecordKey(std::string_view account,
                                    std::string_view idempotency_key);

/** @brief Returns the shard number of a record key, below kShardCount. */
[[nodiscard]] std::uint32_t ShardOf(std::string_view record_key);

/** @brief Returns the key of a shard's row in the store. */
[[nodiscard]] std::string ShardRowKey(std::uint32_t shard);

/** @brief Returns the key prefix of the rows of a shard's records. */
[[nodiscard]] std::string RecordPrefix(std::uint32_t shard);

/** @brief Encodes a record as JSON. */
[[nodiscard]] std::string EncodeRecord(const record& value);

/** @brief Decodes a record; returns nullopt if the text is invalid. */
[[nodiscard]] std::optional<record> DecodeRecord(std::string_view text);

/** @brief Encodes a shard row as JSON. */
[[nodiscard]] std::string EncodeShardRow(const shard_row& value);

/** @brief Decodes a shard row; returns nullopt if the text is invalid. */
[[nodiscard]] std::optional<shard_row> DecodeShardRow(std::string_view text);

}  // namespace mimosadeck::booking

#endif  // BOOKING_RECORD_H_
