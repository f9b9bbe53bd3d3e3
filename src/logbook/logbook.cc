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
/** Changes that an entry learned so many lines before the request's first one
 * are shown, since they may have decided its way. */
constexpr std::size_t kLinesBefore = 5;

/** Events that say what an entry believes about the rest of the system. */
constexpr std::array<std::string_view, 12> kBeliefs{
    "started",          "stop_began",       "settings_reloaded",
    "manifest_adopted", "upstreams_listed", "upstream_changed",
    "upstream_gone",    "dependency_lost",  "dependency_regained",
    "lease_taken",      "lease_lost",       "request_condemned"};

bool IsBelief(const line& of) {
  return std::find(kBeliefs.begin(), kBeliefs.end(), of.event) !=
         kBeliefs.end();
}

std::string TextOf(const json::value& value) {
  return value.is_string() ? json::value_to<std::string>(value)
                           : json::serialize(value);
}

/** Adds the ids in `u1:broke_off u2`; a start after a slash is left out. */
void AddUpstreams(std::string_view attempts, std::set<std::string>& out) {
  while (!attempts.empty()) {
    const auto space = std::min(attempts.find(' '), attempts.size());
    const auto word = attempts.substr(0, space);
    const auto id = word.substr(0, word.find_first_of(":/"));
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

std::string_view line::Field(std::string_view name) const {
  const auto found =
      std::find_if(fields.begin(), fields.end(),
                   [name](const auto& each) { return each.first == name; });
  return found == fields.end() ? std::string_view{} : found->second;
}

std::optional<line> ParseLine(std::string_view text) {
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
  line out;
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

life Explain(std::vector<line> lines, std::string_view request) {
  std::stable_sort(
      lines.begin(), lines.end(),
      [](const auto& a, const auto& b) { return a.time < b.time; });
  life out;
  std::set<std::string> upstreams;
  std::set<std::string> processes;
  std::size_t first = lines.size();
  for (std::size_t i = 0; i < lines.size(); ++i) {
    const auto& each = lines[i];
    if (each.Field(internal::kRequest) != request) {
      continue;
    }
    first = std::min(first, i);
    out.own.push_back(each);
    processes.insert(each.process);
    internal::AddUpstreams(each.Field("attempts"), upstreams);
    internal::AddUpstreams(each.Field("upstream"), upstreams);
  }
  if (out.own.empty()) {
    return out;
  }
  std::vector<line> before;
  std::set<std::string> told_by_others;
  for (std::size_t i = 0; i < lines.size(); ++i) {
    const auto& each = lines[i];
    if (each.time > out.own.back().time || !internal::IsBelief(each)) {
      continue;
    }
    const std::string upstream(each.Field("upstream"));
    const bool is_own = processes.contains(each.process);
    const bool concerns =
        upstream.empty()
            ? is_own
            : upstreams.contains(upstream.substr(0, upstream.find('/')));
    // Others log the same change; the first of them shows when it was known.
    const bool is_new =
        is_own || told_by_others
                      .insert(each.event + ' ' + upstream + ' ' +
                              std::string(each.Field("state")))
                      .second;
    if (concerns && is_new) {
      (i < first ? before : out.context).push_back(each);
    }
  }
  const auto shown = std::min(before.size(), internal::kLinesBefore);
  out.context.insert(out.context.begin(),
                     before.end() - static_cast<std::ptrdiff_t>(shown),
                     before.end());
  return out;
}

void Count(summary& counts, const line& of) {
  ++counts.lines;
  counts.lines_dropped += internal::NumberOf(of.Field("lines_dropped"));
  if (counts.first_time.empty() || of.time < counts.first_time) {
    counts.first_time = of.time;
  }
  counts.last_time = std::max(counts.last_time, of.time);
  if (of.event == internal::kEnded) {
    ++counts.outcomes[{std::string(of.Field("route")),
                       std::string(of.Field("outcome"))}];
  } else if (of.event == internal::kAttemptFailed) {
    ++counts.failed_attempts[{std::string(of.Field("end")),
                              std::string(of.Field("reason"))}];
  } else {
    ++counts.events[of.event];
  }
}

}  // namespace mimosadeck::logbook
