// Case: two usage reports for one window with different counts are accepted
// after a drill of the store.

#include <map>
#include <set>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/json.hpp>

#include "../test/platform/wait.h"
#include "scenario.h"

namespace mimosadeck::review {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using platform_test::Wait;
using std::chrono::milliseconds;
using wall_clock = std::chrono::system_clock;

constexpr std::size_t kEntries = 2;
constexpr milliseconds kPoll{5};
constexpr milliseconds kWindow{5000};
constexpr milliseconds kFirstReportTimeout{25000};
/** Time from the start of a window to the first restart; the restarted entry is
 * back in the same window. */
constexpr milliseconds kRestartAt{300};
/** Age of the copy at which the drill begins. */
constexpr milliseconds kCopyAge{4000};
constexpr milliseconds kReportTimeout{8000};
constexpr milliseconds kAway{1000};
/** Time for a takeover of the lease and two windows. */
constexpr milliseconds kAfterRoll{14000};

json::object BodyOf(const platform_test::usage_report& report) {
  return json::parse(report.body).as_object();
}

std::int64_t WindowOf(const platform_test::usage_report& report) {
  return BodyOf(report).at("window_id").to_number<std::int64_t>();
}

/** @brief Checks that no window has two accepted reports that differ. */
int Judge(fleet& system) {
  std::map<std::int64_t, std::set<std::string>> counts;
  for (const auto& report : system.duties.reports) {
    if (report.accepted) {
      counts[WindowOf(report)].insert(
          json::serialize(BodyOf(report).at("counts")));
    }
  }
  int out = kHeld;
  for (const auto& [window, reported] : counts) {
    std::string line = "window " + std::to_string(window) + " accepted with";
    for (const auto& each : reported) {
      line += ' ' + each;
    }
    system.Record(line);
    out = reported.size() > 1 ? kBroken : out;
  }
  return out;
}

bool IsReported(const fleet& system, std::int64_t window) {
  return std::any_of(
      system.duties.reports.begin(), system.duties.reports.end(),
      [window](const auto& report) { return WindowOf(report) == window; });
}

/**
 * Both entries are restarted, one after the other. In between the store returns
 * from a copy that was taken before the window of the first restart was
 * reported.
 */
asio::awaitable<int> Play(fleet& system, bool has_trouble) {
  const bool is_ready = co_await system.WaitUntilReady();
  const bool has_reports =
      is_ready && co_await WaitForReports(system, 1, kFirstReportTimeout);
  if (!has_reports) {
    co_return kNotRun;
  }
  const auto window =
      wall_clock::now().time_since_epoch() / kWindow + std::int64_t{1};
  const wall_clock::time_point begin(window * kWindow);
  const auto first = system.NumberOf(system.duties.reports.back().holder);
  co_await WaitUntil(begin + kRestartAt);
  asio::co_spawn(co_await asio::this_coro::executor, system.Restart(first),
                 asio::detached);
  const auto drill_at = begin + kWindow + milliseconds(2000);
  co_await WaitUntil(drill_at - kCopyAge);
  system.store.TakeCopy();
  system.Record("the store's copy is taken");
  const auto end = wall_clock::now() + kReportTimeout;
  while (!IsReported(system, window) || wall_clock::now() < drill_at) {
    if (wall_clock::now() > end) {
      co_return kNotRun;
    }
    co_await Wait(kPoll);
  }
  if (has_trouble) {
    co_await system.ReturnStoreFromCopy(kAway);
  }
  const bool is_ready_again = co_await system.WaitUntilReady();
  if (!is_ready_again) {
    co_return kNotRun;
  }
  co_await system.Restart(kEntries - 1 - first);
  co_await Wait(kAfterRoll);
  co_return Judge(system);
}

}  // namespace
}  // namespace mimosadeck::review

int main(int argc, char** argv) {
  mimosadeck::review::scenario_options settings;
  settings.entries = mimosadeck::review::kEntries;
  return mimosadeck::review::RunScenario(argc, argv, settings,
                                         mimosadeck::review::Play);
}
