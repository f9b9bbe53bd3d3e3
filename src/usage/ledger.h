#ifndef USAGE_LEDGER_H_
#define USAGE_LEDGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "infra/infra.h"

namespace mimosadeck::usage {

/** @brief Usage of one client account. */
struct amounts {
  std::uint64_t requests{};
  std::uint64_t prompt_tokens{};
  std::uint64_t completion_tokens{};

  friend bool operator==(const amounts&, const amounts&) = default;
};

/** @brief Usage by client account. */
using totals = std::map<std::string, amounts>;

/**
 * @brief Usage served by one entry incarnation since it started.
 *
 * The totals only grow, and every change increments `sequence`. The copy with
 * the greater sequence includes everything in the other, so that duplicate and
 * late writes of a copy are harmless.
 */
struct ledger {
  std::string incarnation;
  std::uint64_t sequence{};
  totals used;

  friend bool operator==(const ledger&, const ledger&) = default;
};

/** @brief Adds the usage of one finished request. */
void Record(ledger& state, const std::string& account, const amounts& used);

/** @brief Copies of the ledgers of other entries, by incarnation. */
struct copy_store {
  std::map<std::string, ledger> copies;
};

/** @brief Stores a received copy unless the held one is newer. */
void OnCopy(copy_store& state, const ledger& copy);

/**
 * @brief One change of a ledger.
 *
 * `base` is the sequence before the change. `changed_totals` holds the full new
 * totals of the accounts that changed, not the increments.
 */
struct ledger_delta {
  std::string incarnation;
  std::uint64_t base{};
  std::uint64_t sequence{};
  totals changed_totals;
};

/** @brief Returns the last change of a ledger, made for `account`. */
[[nodiscard]] ledger_delta LastDelta(const ledger& source,
                                     const std::string& account);

/**
 * @brief Applies one change to the copy of a ledger.
 *
 * A change that the copy already includes is ignored.
 *
 * @return False if the copy is older than the base of the change; it is left
 * unchanged and needs the whole ledger.
 */
[[nodiscard]] bool OnDelta(copy_store& state, const ledger_delta& delta);

/** @brief Key prefix of the rows that hold one ledger each. */
inline constexpr std::string_view kLedgerPrefix = "usage/";

/** @brief Returns the key of the row of an incarnation's ledger. */
[[nodiscard]] std::string LedgerRow(std::string_view incarnation);

/** @brief Encodes a ledger as JSON. */
[[nodiscard]] std::string EncodeLedger(const ledger& value);

/** @brief Decodes a ledger; returns nullopt if the text is invalid. */
[[nodiscard]] std::optional<ledger> DecodeLedger(std::string_view text);

/** @brief One attempt to write a ledger to the store. */
struct flush {
  /** Ledger to write, as it was when the flush began. */
  ledger snapshot;
  /** Version of the ledger's row, valid if `has_row_version`; 0 if absent. */
  std::uint64_t row_version{};
  bool has_row_version{};
};

/** @brief The store holds `sequence`, at least that of the snapshot. */
struct flush_done {
  std::uint64_t sequence{};
};
/** @brief The outcome is unknown; the flush must be repeated later. */
struct flush_failed {};

/** @brief Next request of a flush, or its result. */
using flush_step = std::variant<infra::request, flush_done, flush_failed>;

/**
 * @brief Starts to write a ledger.
 * @param state Flush, new or that of an earlier write of the same ledger, whose
 * `row_version` avoids reading the row first.
 */
[[nodiscard]] flush_step BeginFlush(flush& state, const ledger& source);

/** @brief Handles the reply to the last request of a flush. */
[[nodiscard]] flush_step OnFlushReply(flush& state, const infra::reply& reply);

}  // namespace mimosadeck::usage

#endif  // USAGE_LEDGER_H_
