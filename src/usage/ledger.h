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

/** @brief What one client account used. */
struct amounts {
  std::uint64_t requests{};
  std::uint64_t prompt_tokens{};
  std::uint64_t completion_tokens{};

  friend bool operator==(const amounts&, const amounts&) = default;
};

/** @brief Amounts by client account. */
using totals = std::map<std::string, amounts>;

/**
 * @brief Everything one entry incarnation has served since it started.
 *
 * The totals only grow, and every change raises `sequence`. Of two copies the
 * one with the greater sequence holds all that the other holds, so that
 * writing one twice, or an old one late, does no harm.
 */
struct ledger {
  std::string incarnation;
  std::uint64_t sequence{};
  totals used;

  friend bool operator==(const ledger&, const ledger&) = default;
};

/** @brief Adds the usage of one finished request. */
void Record(ledger& state, const std::string& account, const amounts& used);

/** @brief Ledgers of other incarnations that this entry holds copies of. */
struct copy_store {
  std::map<std::string, ledger> copies;
};

/** @brief Takes a copy; an older one than the known one is dropped. */
void OnCopy(copy_store& state, const ledger& copy);

/**
 * @brief What one change of a ledger changed.
 *
 * `base` is the sequence before the change; `changed_totals` holds whole totals
 * of the accounts concerned.
 */
struct ledger_delta {
  std::string incarnation;
  std::uint64_t base{};
  std::uint64_t sequence{};
  totals changed_totals;
};

/** @brief Returns the last change of a ledger, given the account it was of. */
[[nodiscard]] ledger_delta LastDelta(const ledger& source,
                                     const std::string& account);

/**
 * @brief Brings a copy up to date by one change.
 * @return False if the copy is not at the change's base, so that it needs the
 * whole ledger; it is unchanged then.
 */
[[nodiscard]] bool OnDelta(copy_store& state, const ledger_delta& delta);

/** @brief Prefix of the rows that hold one ledger each. */
inline constexpr std::string_view kLedgerPrefix = "usage/";

/** @brief Returns the key of an incarnation's row. */
[[nodiscard]] std::string LedgerRow(std::string_view incarnation);

/** @brief Writes a ledger as JSON. */
[[nodiscard]] std::string EncodeLedger(const ledger& value);

/** @brief Reads a ledger; nothing if the text is not one. */
[[nodiscard]] std::optional<ledger> DecodeLedger(std::string_view text);

/** @brief One attempt to bring a ledger into the store. */
struct flush {
  ledger snapshot;
  std::uint64_t row_version{};
  bool knows_row{};
};

/** @brief The store holds the snapshot's sequence or a greater one. */
struct flush_done {
  std::uint64_t sequence{};
};
/** @brief The store gave no clear word; flush again later. */
struct flush_failed {};

/** @brief The next request of a flush, or its end. */
using flush_step = std::variant<infra::request, flush_done, flush_failed>;

/**
 * @brief Starts to write a ledger.
 * @param state Flush; `row_version` of an earlier flush of the same
 * incarnation saves a read.
 */
[[nodiscard]] flush_step BeginFlush(flush& state, const ledger& source);

/** @brief Takes the reply to a flush's last request. */
[[nodiscard]] flush_step OnFlushReply(flush& state, const infra::reply& reply);

}  // namespace mimosadeck::usage

#endif  // USAGE_LEDGER_H_
