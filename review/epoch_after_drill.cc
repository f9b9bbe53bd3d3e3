// Case: two holders send the same epoch number after a drill of the store.

#include <map>
#include <set>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include "../test/platform/wait.h"
#include "scenario.h"

namespace mimosadeck::review {
namespace {

namespace asio = boost::asio;
using platform_test::Wait;
using std::chrono::milliseconds;

constexpr std::size_t kEntries = 3;
constexpr milliseconds kPoll{5};
constexpr milliseconds kFirstReportTimeout{25000};
constexpr milliseconds kHandoverTimeout{12000};
/** Age of the copy at which the drill begins. */
constexpr milliseconds kDrillAfter{3000};
constexpr milliseconds kAway{1000};
/** Time for a takeover of the lease and two windows. */
constexpr milliseconds kAfterRoll{14000};

/** @brief Waits until another entry than this one has reported. @return False
 * on timeout. */
asio::awaitable<bool> WaitForSuccessor(fleet& system, std::size_t first) {
  const auto end = std::chrono::steady_clock::now() + kHandoverTimeout;
  while (system.NumberOf(system.duties.reports.back().holder) == first) {
    if (std::chrono::steady_clock::now() > end) {
      co_return false;
    }
    co_await Wait(kPoll);
  }
  co_return true;
}

/** @brief Checks that no epoch number was sent by two holders. */
int Judge(fleet& system) {
  std::map<std::uint64_t, std::set<std::string>> holders;
  for (const auto& report : system.duties.reports) {
    holders[report.fencing].insert(report.holder);
  }
  int out = kHeld;
  for (const auto& [epoch, names] : holders) {
    std::string line = "epoch " + std::to_string(epoch) + " sent by";
    for (const auto& name : names) {
      line += ' ' + name;
    }
    system.Record(line);
    out = names.size() > 1 ? kBroken : out;
  }
  return out;
}

/**
 * The entry with the duties is restarted, the store returns from a copy that
 * was taken just before, and the entry that took the duties over is restarted.
 */
asio::awaitable<int> Play(fleet& system, bool has_trouble) {
  const bool is_ready = co_await system.WaitUntilReady();
  const bool has_reports =
      is_ready && co_await WaitForReports(system, 1, kFirstReportTimeout);
  if (!has_reports) {
    co_return kNotRun;
  }
  const auto first = system.NumberOf(system.duties.reports.back().holder);
  const auto copied_at = std::chrono::steady_clock::now();
  system.store.TakeCopy();
  system.Record("the store's copy is taken");
  asio::co_spawn(co_await asio::this_coro::executor, system.Restart(first),
                 asio::detached);
  const bool has_successor = co_await WaitForSuccessor(system, first);
  if (!has_successor) {
    co_return kNotRun;
  }
  const auto second = system.NumberOf(system.duties.reports.back().holder);
  while (std::chrono::steady_clock::now() < copied_at + kDrillAfter) {
    co_await Wait(kPoll);
  }
  if (has_trouble) {
    co_await system.ReturnStoreFromCopy(kAway);
  }
  const bool is_ready_again = co_await system.WaitUntilReady();
  if (!is_ready_again) {
    co_return kNotRun;
  }
  co_await system.Restart(second);
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
