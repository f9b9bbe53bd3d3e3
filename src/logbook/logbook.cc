#include "logbook/logbook.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <set>

#include <boost/json.hpp>

namespace mimosadeck::logbook {
namespace internal {
namespace {

namespace json = boost::json;

constexpr std::string_view kEnded = "request_ended";
constexpr std::string_view kAttemptFailed = "attempt_failed";
constexpr std::string_view kRequest = "request";
/** Number of state changes before the request's first line that are included,
 * since they may have decided where it was sent. */
constexpr std::size_t kMaxLinesBefore = 5;

/** Events that change an entry's state or its view of the rest of the system.
 */
constexpr std::array<std::string_view, 12> kStateEvents{
    "started",          "stop_began",       "settings_reloaded",
    "manifest_adopted", "upstreams_listed", "upstream_changed",
    "upstream_gone",    "dependency_lost",  "dependency_regained",
    "lease_taken",      "lease_lost",       "request_condemned"};

bool IsStateEvent(const log_line& line) {
  return std::find(kStateEvents.begin(), kStateEvents.end(), line.event) !=
         kStateEvents.end();
}

std::string TextOf(const json::value& value) {
  return value.is_string() ? json::value_to<std::string>(value)
                           : json::serialize(value);
}

/** Adds the ids in a list such as `u1:broke_off u2`; an incarnation after a
 * slash is left out. */
void AddUpstreamIds(std::string_view attempts, std::set<std::string>& out) {
  while (!attempts.empty()) {
    const auto space = std::min(attempts.find(' '), attempts.size());
    const auto attempt = attempts.substr(0, space);
    const auto id = attempt.substr(0, attempt.find_first_of(":/"));
    if (!id.empty()) {
      out.emplace(id);
    }
    attempts.remove_prefix(std::min(space + 1, attempts.size()));
  }
}

std::uint64_t NumberOf(std::string_view text) {
  std::uint64_t out = 0;
  std::from_chars(text.data(), text.data() + text.size(), out);
  return out;
}

}  // namespace
}  // namespace internal

std::string_view log_line::Field(std::string_view name) const {
  const auto found =
      std::find_if(fields.begin(), fields.end(),
                   [name](const auto& field) { return field.first == name; });
  return found == fields.end() ? std::string_view{} : found->second;
}

std::optional<log_line> ParseLine(std::string_view text) {
  const auto brace = text.find('{');
  if (brace == std::string_view::npos) {
    return std::nullopt;
  }
  boost::system::error_code failure;
  const auto parsed =
      boost::json::parse(boost::json::string_view(text.substr(brace)), failure);
  const auto* object = failure ? nullptr : parsed.if_object();
  if (!object || !object->contains("event")) {
    return std::nullopt;
  }
  log_line out;
  for (const auto& [name, value] : *object) {
    auto content = internal::TextOf(value);
    if (name == "time") {
      out.time = std::move(content);
    } else if (name == "process") {
      out.process = std::move(content);
    } else if (name == "event") {
      out.event = std::move(content);
    } else {
      out.fields.emplace_back(name, std::move(content));
    }
  }
  return out;
}

request_history CollectRequestHistory(std::vector<log_line> lines,
                                      std::string_view request) {
  std::stable_sort(
      lines.begin(), lines.end(),
      [](const auto& a, const auto& b) { return a.time < b.time; });
  request_history out;
  std::set<std::string> upstreams;
  std::set<std::string> processes;
  std::size_t first = lines.size();
  for (std::size_t i = 0; i < lines.size(); ++i) {
    const auto& line = lines[i];
    if (line.Field(internal::kRequest) != request) {
      continue;
    }
    first = std::min(first, i);
    out.request_lines.push_back(line);
    processes.insert(line.process);
    internal::AddUpstreamIds(line.Field("attempts"), upstreams);
    internal::AddUpstreamIds(line.Field("upstream"), upstreams);
  }
  if (out.request_lines.empty()) {
    return out;
  }
  std::vector<log_line> before;
  std::set<std::string> reported_by_other_entries;
  for (std::size_t i = 0; i < lines.size(); ++i) {
    const auto& line = lines[i];
    if (line.time > out.request_lines.back().time ||
        !internal::IsStateEvent(line)) {
      continue;
    }
    const std::string upstream(line.Field("upstream"));
    const bool is_request_entry = processes.contains(line.process);
    const bool is_related =
        upstream.empty()
            ? is_request_entry
            : upstreams.contains(upstream.substr(0, upstream.find('/')));
    // Other entries log the same change; only the first of these lines is kept.
    const bool is_new =
        is_request_entry || reported_by_other_entries
                                .insert(line.event + ' ' + upstream + ' ' +
                                        std::string(line.Field("state")))
                                .second;
    if (is_related && is_new) {
      (i < first ? before : out.context).push_back(line);
    }
  }
  const auto included = std::min(before.size(), internal::kMaxLinesBefore);
  out.context.insert(out.context.begin(),
                     before.end() - static_cast<std::ptrdiff_t>(included),
                     before.end());
  return out;
}

void AddToSummary(summary& counts, const log_line& line) {
  ++counts.lines;
  counts.lines_dropped += internal::NumberOf(line.Field("lines_dropped"));
  if (counts.first_time.empty() || line.time < counts.first_time) {
    counts.first_time = line.time;
  }
  counts.last_time = std::max(counts.last_time, line.time);
  if (line.event == internal::kEnded) {
    ++counts.outcomes[{std::string(line.Field("route")),
                       std::string(line.Field("outcome"))}];
  } else if (line.event == internal::kAttemptFailed) {
    ++counts.failed_attempts[{std::string(line.Field("end")),
                              std::string(line.Field("reason"))}];
  } else {
    ++counts.events[line.event];
  }
}

}  // namespace mimosadeck::logbook
