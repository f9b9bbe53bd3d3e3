#ifndef METERING_METERING_H_
#define METERING_METERING_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/result.h"
#include "base/time.h"
#include "metering/fwd.h"

namespace mimosadeck::metering {

/** @brief Requests that began to run, by client account. */
using counts = std::map<std::string, std::uint64_t>;

/** @brief Number of a billing window since 1970. */
using window_number = std::uint64_t;

/** @brief Counts of every entry incarnation that this entry knows of. */
struct tally {
  std::map<std::string, std::map<window_number, counts>> by_source;
};

/** @brief Returns the window that holds a time. */
[[nodiscard]] window_number WindowAt(wall_time when,
                                     std::chrono::milliseconds length);

/** @brief Returns the time at which a window ends. */
[[nodiscard]] wall_time WindowEnd(window_number window,
                                  std::chrono::milliseconds length);

/** @brief Counts one request of a source. */
void Count(tally& state,
           const std::string& source,
           window_number window,
           const std::string& account);

/**
 * @brief Takes what a source tells of a window.
 *
 * A source's counts only grow, so a late or repeated message changes nothing.
 */
void Merge(tally& state,
           const std::string& source,
           window_number window,
           const counts& told);

/** @brief Adds the counts of all sources. */
[[nodiscard]] counts Sum(const tally& state, window_number window);

/** @brief Drops windows before the oldest one that may still be reported. */
void DropBefore(tally& state, window_number oldest);

/** @brief Writes a window's figures as they are frozen, as a JSON object. */
[[nodiscard]] std::string EncodeCounts(const counts& value);

/** @brief Reads frozen figures; bad_argument if the text is none. */
[[nodiscard]] result<counts> DecodeCounts(std::string_view text);

}  // namespace mimosadeck::metering

#endif  // METERING_METERING_H_
