#ifndef USAGE_BILLER_H_
#define USAGE_BILLER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/time.h"
#include "infra/infra.h"
#include "usage/ledger.h"

namespace mimosadeck::usage {

/** @brief Row that holds the billing_head. */
inline constexpr std::string_view kHeadRow = "billing/head";
/** @brief Row that holds the billing_watermarks of every ledger. */
inline constexpr std::string_view kWatermarksRow = "billing/marks";

/** @brief Key prefix of the rows that hold one window's report each. */
inline constexpr std::string_view kWindowPrefix = "billing/window/";

/** @brief Returns the key of a window's row; keys sort by window number. */
[[nodiscard]] std::string WindowRow(std::uint64_t window);

/** @brief Returns the name that identifies a window in its report. */
[[nodiscard]] std::string WindowName(std::uint64_t window);

/** @brief Progress of billing, in window numbers that start at 1. */
struct billing_head {
  /** Newest window whose totals are fixed. */
  std::uint64_t frozen{};
  /** Newest window whose report was accepted. */
  std::uint64_t reported{};

  friend bool operator==(const billing_head&, const billing_head&) = default;
};

/** @brief Totals billed so far of each ledger, by entry incarnation. */
using billing_watermarks = std::map<std::string, totals>;

/**
 * @brief Computes the totals of the next window.
 * @param ledgers Ledgers currently in the store.
 * @param watermarks Totals billed so far; raised to those of `ledgers`.
 * @return Usage by account that is not part of an earlier window.
 */
[[nodiscard]] totals ComputeNextWindow(const std::vector<ledger>& ledgers,
                                       billing_watermarks& watermarks);

/** @brief Encodes a window's report; the bytes are sent unchanged. */
[[nodiscard]] std::string EncodeReport(std::uint64_t window,
                                       const totals& window_totals);

/** @brief Encodes watermarks as JSON. */
[[nodiscard]] std::string EncodeWatermarks(const billing_watermarks& value);

/** @brief Decodes watermarks; returns nullopt if the text is invalid. */
[[nodiscard]] std::optional<billing_watermarks> DecodeWatermarks(
    std::string_view text);

/** @brief Request of a billing round whose reply is awaited. */
enum class billing_step {
  read_head,
  scan_ledgers,
  read_watermarks,
  freeze,
  read_window,
  report,
  mark_reported,
};

/**
 * @brief One billing round: reports a frozen window or freezes the next one.
 *
 * The totals of a window are frozen in one conditional transaction before they
 * are first reported, so that a repeated report has the same bytes, even when
 * another entry sends it.
 */
struct biller {
  billing_step step{billing_step::read_head};
  billing_head head;
  std::uint64_t head_version{};
  std::vector<ledger> ledgers;
  std::string scan_after;
  /** Window being reported. */
  std::uint64_t window{};
  std::string report;
  std::uint32_t ledgers_per_scan{200};
};

/** @brief The round ended; `run_again` if another can follow at once. */
struct billing_done {
  bool run_again{};
};
/**
 * @brief The report to send next.
 *
 * The caller must check, right before it sends, that it still holds the lease.
 */
struct billing_report {
  infra::report_usage report;
};
/** @brief The report was refused; an operator must intervene. */
struct billing_refused {
  std::string window;
  std::string reason;
};

/** @brief Next request of a round, or its result. */
using billing_action =
    std::variant<infra::request, billing_report, billing_done, billing_refused>;

/**
 * @brief Starts a billing round.
 * @return The first request.
 */
[[nodiscard]] infra::request BeginBilling(biller& state);

/**
 * @brief Handles the reply to the last request of a round.
 * @param reply Reply of the platform.
 * @param lease Condition on the lease row, added to every commit.
 * @param fencing Fencing number of the lease.
 * @param window_due True if the next window may be frozen.
 */
[[nodiscard]] billing_action OnBillingReply(biller& state,
                                            const infra::reply& reply,
                                            const infra::condition& lease,
                                            std::uint64_t fencing,
                                            bool window_due);

}  // namespace mimosadeck::usage

#endif  // USAGE_BILLER_H_
