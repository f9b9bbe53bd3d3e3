#ifndef LOGBOOK_LOGBOOK_H_
#define LOGBOOK_LOGBOOK_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "logbook/fwd.h"

namespace mimosadeck::logbook {

/** @brief One line of a daemon's log. */
struct log_line {
  /** UTC in ISO 8601 format, which sorts chronologically as text. */
  std::string time;
  std::string process;
  std::string event;
  /** The other fields, in the order in which they were logged. */
  std::vector<std::pair<std::string, std::string>> fields;

  /** @brief Returns a field's value; empty if there is none. */
  [[nodiscard]] std::string_view Field(std::string_view name) const;
};

/**
 * @brief Parses a log line; text before the first brace, such as a container's
 * prefix, is skipped.
 * @return Nothing if the text is not a log line.
 */
[[nodiscard]] std::optional<log_line> ParseLine(std::string_view text);

/** @brief The log lines that concern one request. */
struct request_history {
  /** Lines that name the request, sorted by time. */
  std::vector<log_line> request_lines;
  /** State changes that may have affected the request, shortly before it and
   * until its last line, sorted by time: those logged by its entry, and for
   * each change of an upstream that it used, the first line by another entry.
   */
  std::vector<log_line> context;
};

/** @brief Collects the lines that concern a request, from lines in any order.
 */
[[nodiscard]] request_history CollectRequestHistory(std::vector<log_line> lines,
                                                    std::string_view request);

/** @brief Numbers of log lines, by kind. */
struct summary {
  std::string first_time;
  std::string last_time;
  std::uint64_t lines{};
  std::uint64_t lines_dropped{};
  /** Ended requests, by route and outcome. */
  std::map<std::pair<std::string, std::string>, std::uint64_t> outcomes;
  /** Failed attempts, by the fields `end` and `reason`. */
  std::map<std::pair<std::string, std::string>, std::uint64_t> failed_attempts;
  /** All other events. */
  std::map<std::string, std::uint64_t> events;
};

/** @brief Adds a line to the summary. */
void AddToSummary(summary& counts, const log_line& line);

}  // namespace mimosadeck::logbook

#endif  // LOGBOOK_LOGBOOK_H_
