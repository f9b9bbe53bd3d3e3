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
struct line {
  /** UTC, ISO 8601: lines sort by it as text. */
  std::string time;
  std::string process;
  std::string event;
  /** The event's own fields, in the order in which they were written. */
  std::vector<std::pair<std::string, std::string>> fields;

  /** @brief Returns a field's value; empty if there is none. */
  [[nodiscard]] std::string_view Field(std::string_view name) const;
};

/**
 * @brief Reads one line; text before its first brace, such as a container's
 * prefix, is skipped.
 * @return Nothing if it is no log line.
 */
[[nodiscard]] std::optional<line> ParseLine(std::string_view text);

/** @brief What the logs say of one request. */
struct life {
  /** Lines of the request itself, in order. */
  std::vector<line> own;
  /** What its entry learned shortly before and while the request ran, and when
   * the first other entry learned the same of the upstreams that it went to, in
   * order. */
  std::vector<line> context;
};

/** @brief Collects what concerns one request. */
[[nodiscard]] life Explain(std::vector<line> lines, std::string_view request);

/** @brief Counts over all lines. */
struct summary {
  std::string first_time;
  std::string last_time;
  std::uint64_t lines{};
  std::uint64_t lines_dropped{};
  /** Ended requests, by route and outcome. */
  std::map<std::pair<std::string, std::string>, std::uint64_t> outcomes;
  /** Failed attempts, by end and reason. */
  std::map<std::pair<std::string, std::string>, std::uint64_t> failed_attempts;
  /** All other events. */
  std::map<std::string, std::uint64_t> events;
};

/** @brief Adds a line to the counts. */
void Count(summary& counts, const line& of);

}  // namespace mimosadeck::logbook

#endif  // LOGBOOK_LOGBOOK_H_
