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

/** @brief Row that counts windows: frozen and reported. */
inline constexpr std::string_view kHeadRow = "billing/head";
/** @brief Row that holds what every ledger had when last billed. */
inline constexpr std::string_view kWatermarksRow = "billing/marks";

/** @brief Prefix of the windows' rows. */
inline constexpr std::string_view kWindowPrefix = "billing/window/";

/** @brief Returns the key of a window's row; keys sort by window. */
[[nodiscard]] std::string WindowRow(std::uint64_t window);

/** @brief Returns the name under which a window is reported. */
[[nodiscard]] std::string WindowName(std::uint64_t window);

/** @brief Counts of windows. */
struct billing_head {
  std::uint64_t frozen{};
  std::uint64_t reported{};

  friend bool operator==(const billing_head&, const billing_head&) = default;
};

/** @brief What each ledger had been billed for, by incarnation. */
using billing_watermarks = std::map<std::string, totals>;

/**
 * @brief Computes the figures of the next window.
 * @param ledgers Ledgers as stored now.
 * @param marks What was billed before; brought up to date.
 * @return Amounts by account that no earlier window holds.
 */
[[nodiscard]] totals ComputeNextWindow(const std::vector<ledger>& ledgers,
                                       billing_watermarks& marks);

/** @brief Writes a window's report, byte for byte as it is sent. */
[[nodiscard]] std::string EncodeReport(std::uint64_t window,
                                       const totals& figures);

/** @brief Writes marks as JSON. */
[[nodiscard]] std::string EncodeWatermarks(const billing_watermarks& value);

/** @brief Reads marks; nothing if the text is not such. */
[[nodiscard]] std::optional<billing_watermarks> DecodeWatermarks(
    std::string_view text);

/** @brief Steps of one round of billing. */
enum class billing_step {
  read_head,
  scan_ledgers,
  read_marks,
  freeze,
  read_window,
  report,
  mark_reported,
};

/**
 * @brief One round: report what is frozen, or freeze the next window.
 *
 * Figures are frozen by one conditional transaction before their first report,
 * so that a repeated report has the same bytes whoever sends it.
 */
struct biller {
  billing_step step{billing_step::read_head};
  billing_head head;
  std::uint64_t head_version{};
  std::vector<ledger> ledgers;
  std::string scan_after;
  std::uint64_t window{};
  std::string report;
  std::uint32_t ledgers_per_scan{200};
};

/** @brief A round ended; `run_again` tells that more can be done at once. */
struct billing_done {
  bool run_again{};
};
/** @brief A report may be sent only while the lease is held: check now. */
struct billing_report {
  infra::report_usage report;
};
/** @brief The interface refused a report; an operator must look. */
struct billing_refused {
  std::string window;
  std::string reason;
};

/** @brief The next request of a round, or its end. */
using billing_action =
    std::variant<infra::request, billing_report, billing_done, billing_refused>;

/**
 * @brief Starts a round.
 * @param freezes True if a window is due to be frozen.
 */
[[nodiscard]] infra::request BeginBilling(biller& state);

/**
 * @brief Takes the reply to a round's last request.
 * @param reply Reply of the platform.
 * @param lease Condition on the lease row, which guards every write.
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
