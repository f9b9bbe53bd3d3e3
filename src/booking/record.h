#ifndef BOOKING_RECORD_H_
#define BOOKING_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mimosadeck::booking {

/** @brief Number of shards that idempotency keys fall into. */
inline constexpr std::uint32_t kShardCount = 32;

/** @brief How far one non-idempotent call has come. */
enum class record_state {
  /** The executor may send it, has sent it, or is gone. */
  claimed = 0,
  /** It ran; the answer is recorded. */
  done = 1,
  /** It was sent and nobody knows whether it ran. */
  outcome_unknown = 2,
};

/**
 * @brief One non-idempotent call.
 *
 * `key` joins client account and idempotency key. `digest` is of the request,
 * so that a key used for another request is noticed. `nonce` names the one
 * claim that may send. `executor` is the entry incarnation that holds it.
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
 * @brief The durable row of one shard.
 *
 * Owner and holders are entry incarnations. While `recovering`, `former` lists
 * the holders of `former_epoch`, whose copies are not collected yet; no claim
 * is granted meanwhile.
 */
struct shard_row {
  std::string owner;
  std::uint64_t epoch{};
  std::vector<std::string> holders;
  std::vector<std::string> former;
  std::uint64_t former_epoch{};
  bool recovering{};
  bool uncertain{};
  bool released{};

  friend bool operator==(const shard_row&, const shard_row&) = default;
};

/** @brief Joins client account and idempotency key. */
[[nodiscard]] std::string RecordKey(std::string_view account,
                                    std::string_view idempotency_key);

/** @brief Returns the shard of a record key, below kShardCount. */
[[nodiscard]] std::uint32_t ShardOf(std::string_view record_key);

/** @brief Returns the row key of a shard. */
[[nodiscard]] std::string ShardRowKey(std::uint32_t shard);

/** @brief Returns the prefix of the rows of a shard's records. */
[[nodiscard]] std::string RecordPrefix(std::uint32_t shard);

/** @brief Writes a record as JSON. */
[[nodiscard]] std::string EncodeRecord(const record& value);

/** @brief Reads a record; nothing if the text is not one. */
[[nodiscard]] std::optional<record> DecodeRecord(std::string_view text);

/** @brief Writes a shard row as JSON. */
[[nodiscard]] std::string EncodeShardRow(const shard_row& value);

/** @brief Reads a shard row; nothing if the text is not one. */
[[nodiscard]] std::optional<shard_row> DecodeShardRow(std::string_view text);

}  // namespace mimosadeck::booking

#endif  // BOOKING_RECORD_H_
