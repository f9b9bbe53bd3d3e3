#ifndef METERING_METERING_H_
#define METERING_METERING_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "base/result.h"
#include "base/time.h"
#include "metering/fwd.h"

namespace mimosadeck::metering {

/** @brief Number of started requests by client account. */
using counts = std::map<std::string, std::uint64_t>;

/** @brief Index of a billing window, counted from 1970. */
using window_number = std::uint64_t;

/** @brief Request counts of all entry incarnations, held by this entry. */
struct tally {
  /** By entry incarnation, then by window. */
  std::map<std::string, std::map<window_number, counts>> by_source;
};

/** @brief Returns the window that contains a time. */
[[nodiscard]] window_number WindowAt(wall_time when,
                                     std::chrono::milliseconds length);

/** @brief Returns the time at which a window ends. */
[[nodiscard]] wall_time WindowEnd(window_number window,
                                  std::chrono::milliseconds length);

/**
 * @brief Counts one request.
 * @param source Entry incarnation that counted it.
 */
void Count(tally& state,
           const std::string& source,
           window_number window,
           const std::string& account);

/**
 * @brief Merges the counts that a source advertises for a window.
 *
 * The counts of a source only grow, so the maximum is kept and a late or
 * repeated message has no effect.
 */
void Merge(tally& state,
           const std::string& source,
           window_number window,
           const counts& received);

/** @brief Returns the sum of the counts of all sources in a window. */
[[nodiscard]] counts Sum(const tally& state, window_number window);

/** @brief Removes windows before the oldest one that may still be reported. */
void DropBefore(tally& state, window_number oldest);

/**
 * @brief What one entry knows of the usage reports.
 *
 * The counts of a window are frozen before its report: the first holder that
 * reports it writes them to the store, and all holders report what the store
 * has. A store that returns from an older copy may have lost frozen counts, so
 * that their absence no longer proves that the window was not reported.
 */
struct report_log {
  /** Encoded counts that the store confirmed as frozen, by window. */
  std::map<window_number, std::string> frozen;
  /** Windows whose frozen counts the store may have lost. */
  std::set<window_number> to_restore;
  /** Windows that need no report by this entry. */
  std::set<window_number> closed;
  /** Windows that were due before this time may have been frozen by another
   * entry although the store has no counts of them. */
  wall_time complete_from;
};

/** @brief Records that the store has these counts of a window. */
void OnFrozen(report_log& state, window_number window, std::string counts);

/**
 * @brief Records that the store may have lost frozen counts.
 * @param complete_from Windows due later were not frozen before the loss, or
 * only by this entry.
 */
void OnCountsLost(report_log& state, wall_time complete_from);

/**
 * @brief Returns whether a window may be frozen if the store has no counts of
 * it.
 * @param due When the window's report was due.
 */
[[nodiscard]] bool MayFreeze(const report_log& state, wall_time due);

/** @brief Removes windows before the oldest one that may still be reported. */
void DropBefore(report_log& state, window_number oldest);

/** @brief Encodes the frozen counts of a window as a JSON object. */
[[nodiscard]] std::string EncodeCounts(const counts& value);

/** @brief Decodes frozen counts; bad_argument if the text is malformed. */
[[nodiscard]] result<counts> DecodeCounts(std::string_view text);

}  // namespace mimosadeck::metering

#endif  // METERING_METERING_H_
