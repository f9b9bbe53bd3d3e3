#include "mimosadeckctl/logs.h"

#include <iostream>

#include "logbook/logbook.h"
#include "mimosadeckctl/output.h"

namespace mimosadeck::ctl {

namespace json = boost::json;

namespace internal {
namespace {

template <typename Take>
void ForEachLine(std::istream& logs, const Take& take) {
  for (std::string text; std::getline(logs, text);) {
    if (auto read = logbook::ParseLine(text)) {
      take(*std::move(read));
    }
  }
}

json::object ToJson(const logbook::log_line& of) {
  json::object out{
      {"time", of.time}, {"process", of.process}, {"event", of.event}};
  for (const auto& [name, value] : of.fields) {
    out[name] = value;
  }
  return out;
}

json::array ToJson(const std::vector<logbook::log_line>& lines) {
  json::array out;
  for (const auto& each : lines) {
    out.push_back(ToJson(each));
  }
  return out;
}

void PrintLines(const std::vector<logbook::log_line>& lines) {
  for (const auto& each : lines) {
    std::cout << each.time << "  " << each.process << "  " << each.event
              << '\n';
    for (const auto& [name, value] : each.fields) {
      const bool is_shown =
          !value.empty() && name != "request" && name != "level";
      if (is_shown) {
        std::cout << "    " << name << ": " << value << '\n';
      }
    }
  }
}

json::array ToJson(
    const std::map<std::pair<std::string, std::string>, std::uint64_t>& counts,
    std::string_view first,
    std::string_view second) {
  json::array out;
  for (const auto& [names, count] : counts) {
    out.push_back(json::object{
        {first, names.first}, {second, names.second}, {"count", count}});
  }
  return out;
}

void PrintPairs(
    const std::map<std::pair<std::string, std::string>, std::uint64_t>& counts,
    const std::string& first,
    const std::string& second) {
  if (counts.empty()) {
    return;
  }
  std::vector<std::vector<std::string>> rows{{first, second, "COUNT"}};
  for (const auto& [names, count] : counts) {
    rows.push_back({names.first, names.second, std::to_string(count)});
  }
  std::cout << '\n';
  PrintTable(rows);
}

}  // namespace
}  // namespace internal

exit_code ExplainRequest(std::istream& logs,
                         const std::string& request,
                         bool as_json) {
  std::vector<logbook::log_line> lines;
  internal::ForEachLine(logs, [&lines](logbook::log_line&& read) {
    lines.push_back(std::move(read));
  });
  const auto found = logbook::CollectRequestHistory(std::move(lines), request);
  if (found.request_lines.empty()) {
    PrintProblem({result_code::not_found,
                  "no line of these logs names request " + request});
    return exit_code::failed;
  }
  if (as_json) {
    std::cout << json::serialize(json::object{
                     {"request", request},
                     {"lines", internal::ToJson(found.request_lines)},
                     {"context", internal::ToJson(found.context)}})
              << '\n';
    return exit_code::ok;
  }
  std::cout << "Request " << request << "\n\n";
  internal::PrintLines(found.request_lines);
  std::cout << "\nWhat its entry and its upstreams went through\n\n";
  internal::PrintLines(found.context);
  return exit_code::ok;
}

exit_code SummarizeLogs(std::istream& logs, bool as_json) {
  logbook::summary counts;
  internal::ForEachLine(logs, [&counts](const logbook::log_line& read) {
    logbook::AddToSummary(counts, read);
  });
  if (as_json) {
    json::object events;
    for (const auto& [name, count] : counts.events) {
      events[name] = count;
    }
    std::cout << json::serialize(json::object{
                     {"first_time", counts.first_time},
                     {"last_time", counts.last_time},
                     {"lines", counts.lines},
                     {"lines_dropped", counts.lines_dropped},
                     {"outcomes",
                      internal::ToJson(counts.outcomes, "route", "outcome")},
                     {"failed_attempts",
                      internal::ToJson(counts.failed_attempts, "end",
                                       "reason")},
                     {"events", std::move(events)}})
              << '\n';
    return exit_code::ok;
  }
  std::cout << counts.lines << " lines from " << counts.first_time << " to "
            << counts.last_time << ", " << counts.lines_dropped
            << " more were dropped\n";
  internal::PrintPairs(counts.outcomes, "ROUTE", "OUTCOME");
  internal::PrintPairs(counts.failed_attempts, "ATTEMPT ENDED", "REASON");
  std::vector<std::vector<std::string>> rows{{"EVENT", "COUNT"}};
  for (const auto& [name, count] : counts.events) {
    rows.push_back({name, std::to_string(count)});
  }
  std::cout << '\n';
  PrintTable(rows);
  return exit_code::ok;
}

}  // namespace mimosadeck::ctl
