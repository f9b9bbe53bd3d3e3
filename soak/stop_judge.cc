#include "soak/stop_judge.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <sstream>

namespace mimosadeck::soak {

using std::chrono::milliseconds;

namespace internal {
namespace {

constexpr int kRefusedStatus = 503;
constexpr int kSuccessStatus = 200;
constexpr milliseconds kBucket{500};
/** A process ends within this time after it cuts its requests. */
constexpr milliseconds kExitTime{500};
/** An upstream may notice a cut this much earlier than the caller. */
constexpr milliseconds kNoticeOfCut{100};
/** Failure of a connection that the entry closed after it read the request. */
constexpr std::string_view kClosed = "end of";

mono_time LastSixth(const planned_stop& stop) {
  return stop.at + stop.grace - stop.grace / 6;
}

bool WorkedInLastSixth(const judged_request& request,
                       const planned_stop& stop) {
  return std::any_of(request.runs.begin(), request.runs.end(),
                     [&stop](const auto& run) {
                       return !run.ended || *run.ended >= LastSixth(stop);
                     });
}

/** Whether the upstream broke off, also when a run that went on after it had
 * nothing left to send. */
bool BrokeOff(const judged_request& request) {
  const auto& last = request.runs.back();
  return last.aborts ||
         (last.is_finished &&
          std::any_of(request.runs.begin(), request.runs.end(),
                      [](const auto& run) { return run.aborts; }));
}

stop_outcome JudgeAnswered(const judged_request& request) {
  if (request.answer->status == kRefusedStatus) {
    return request.sent.is_repeat ? stop_outcome::refused_for_good
                                  : stop_outcome::refused;
  }
  return request.answer->status == kSuccessStatus ? stop_outcome::served
                                                  : stop_outcome::other;
}

bool IsInterrupted(stop_outcome outcome) {
  return outcome == stop_outcome::upstream_broke_off ||
         outcome == stop_outcome::limit_reached ||
         outcome == stop_outcome::outlasted_stop || IsCounted(outcome);
}

std::string Seconds(mono_time::duration time) {
  std::ostringstream out;
  out << std::showpos << std::fixed << std::setprecision(2)
      << std::chrono::duration<double>(time).count();
  return out.str();
}

/** Describes what the process had served on the route before the request. */
std::string ServedBefore(const judged_requests& requests,
                         const judged_request& request) {
  int count = 0;
  mono_time::duration longest{};
  for (const auto& [id, other] : requests) {
    if (other.answer && other.sent.process == request.sent.process &&
        other.sent.route == request.sent.route && other.answer->is_complete &&
        other.answer->status == kSuccessStatus &&
        other.answer->at <= request.sent.at) {
      ++count;
      longest = std::max(longest, other.answer->at - other.sent.at);
    }
  }
  return ", served before " + std::to_string(count) + ", longest " +
         Seconds(longest);
}

void PrintCase(std::ostream& out,
               const judged_request& request,
               const planned_stop& stop,
               stop_outcome outcome) {
  const auto& sent = request.sent;
  const auto& answer = *request.answer;
  out << (IsCounted(outcome) ? "COUNTED " : "excused ") << NameOf(outcome)
      << ' ' << sent.id << ' ' << sent.route << " at " << sent.process << " ("
      << stop.label << "; grace " << stop.grace.count() << " ms): sent "
      << Seconds(sent.at - stop.at);
  for (const auto& run : request.runs) {
    out << ", run " << Seconds(run.at - stop.at) << " at " << run.upstream;
    if (run.ended) {
      out << " until " << Seconds(*run.ended - stop.at);
    }
  }
  const bool at_cut =
      std::any_of(request.runs.begin(), request.runs.end(), [&](auto& run) {
        return !run.ended || *run.ended >= answer.at - kNoticeOfCut;
      });
  out << ", cut " << Seconds(answer.at - stop.at) << " (" << answer.failure
      << ", status " << answer.status << "), at work at the cut "
      << (at_cut ? "yes" : "no") << ", in the last sixth "
      << (WorkedInLastSixth(request, stop) ? "yes" : "no") << ", process ended "
      << (stop.exited ? Seconds(*stop.exited - stop.at) : "never")
      << (stop.is_killed ? " by SIGKILL" : "");
}

}  // namespace
}  // namespace internal

std::string_view NameOf(stop_outcome outcome) {
  constexpr std::array<std::string_view, 11> kNames{"beside_no_stop",
                                                    "served",
                                                    "refused",
                                                    "refused_for_good",
                                                    "other",
                                                    "unread",
                                                    "upstream_broke_off",
                                                    "limit_reached",
                                                    "outlasted_stop",
                                                    "cut_early",
                                                    "cut"};
  return kNames.at(static_cast<std::size_t>(outcome));
}

bool IsCounted(stop_outcome outcome) {
  return outcome == stop_outcome::cut || outcome == stop_outcome::cut_early;
}

stop_outcome Judge(const stop_rule& rule,
                   const judged_request& request,
                   const planned_stop& stop) {
  const auto end_of_stop = stop.at + stop.grace + rule.aftermath;
  if (!request.answer || request.answer->at < stop.at ||
      request.sent.at > end_of_stop) {
    return stop_outcome::beside_no_stop;
  }
  const auto& answer = *request.answer;
  if (answer.is_complete) {
    return internal::JudgeAnswered(request);
  }
  if (answer.at > end_of_stop) {
    return stop_outcome::beside_no_stop;
  }
  if (answer.at - request.sent.at >= request.sent.limit) {
    return stop_outcome::limit_reached;
  }
  const auto last_sixth = internal::LastSixth(stop);
  if (!rule.timed && answer.at >= last_sixth) {
    return stop_outcome::outlasted_stop;
  }
  if (request.runs.empty()) {
    const bool is_read = answer.failure.starts_with(internal::kClosed);
    return is_read && answer.at - request.sent.at > rule.loss_slack
               ? stop_outcome::cut
               : stop_outcome::unread;
  }
  if (internal::BrokeOff(request)) {
    return stop_outcome::upstream_broke_off;
  }
  if (request.sent.at <= stop.at + rule.notice &&
      internal::WorkedInLastSixth(request, stop)) {
    return stop_outcome::outlasted_stop;
  }
  const bool runs_on =
      !stop.exited || *stop.exited > answer.at + internal::kExitTime;
  return runs_on && answer.at < last_sixth ? stop_outcome::cut_early
                                           : stop_outcome::cut;
}

std::map<stop_outcome, int> JudgeStops(std::ostream& out,
                                       const stop_rule& rule,
                                       const planned_stops& stops,
                                       const judged_requests& requests) {
  std::map<stop_outcome, int> totals;
  std::map<std::string, std::map<std::string_view, int>> counts;
  for (const auto& [id, request] : requests) {
    const auto found = stops.find(request.sent.process);
    const auto outcome = found == stops.end()
                             ? stop_outcome::beside_no_stop
                             : Judge(rule, request, found->second);
    ++totals[outcome];
    ++counts["in all:"][NameOf(outcome)];
    if (outcome == stop_outcome::beside_no_stop) {
      continue;
    }
    const auto& stop = found->second;
    ++counts["beside " + stop.label + ':'][NameOf(outcome)];
    if (request.sent.at >= stop.at) {
      const auto bucket = (request.sent.at - stop.at) / internal::kBucket;
      auto& line =
          counts["at " + internal::Seconds(bucket * internal::kBucket) + " s:"];
      ++line[request.runs.empty() ? "not_taken" : "taken"];
      ++line[NameOf(outcome)];
    }
    if (internal::IsInterrupted(outcome)) {
      internal::PrintCase(out, request, stop, outcome);
      out << internal::ServedBefore(requests, request) << '\n';
    }
  }
  for (const auto& [name, stop] : stops) {
    ++counts["beside " + stop.label + ':']["stops"];
    ++counts["in all:"]["stops"];
    counts["in all:"]["killed"] += stop.is_killed ? 1 : 0;
  }
  for (const auto& [name, values] : counts) {
    out << name;
    for (const auto& [outcome, count] : values) {
      out << ' ' << outcome << '=' << count;
    }
    out << '\n';
  }
  return totals;
}

}  // namespace mimosadeck::soak
