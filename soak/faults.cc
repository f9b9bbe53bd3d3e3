#include "soak/faults.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <fstream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

namespace mimosadeck::soak {

namespace asio = boost::asio;
using platform_test::store_fault;
using std::chrono::milliseconds;

namespace internal {
namespace {

constexpr std::size_t kKinds =
    static_cast<std::size_t>(fault_kind::manifest_storm) + 1;
constexpr std::size_t kMostInSeries = 5;
constexpr milliseconds kSeriesLength{2500};
constexpr milliseconds kLongestPause{6000};
constexpr milliseconds kShortestFault{200};
constexpr milliseconds kLongestFault{4000};
constexpr milliseconds kRestartTime{300};
constexpr milliseconds kPoll{20};
constexpr milliseconds kStormPause{60};
constexpr int kStormManifests = 6;
/** Steps of the calendar clock in ms, either way. */
constexpr std::array<long, 4> kClockSteps{-30000, -900, 900, 30000};
/** An upstream that leaves serves on for so long, and then ends. */
constexpr milliseconds kLeavingTime{4000};

/** @brief Tells the judge of a fault for as long as this object lives. */
class fault_guard {
 public:
  fault_guard(judge& checks, std::string scope, bool planned)
      : checks_(checks), scope_(std::move(scope)), planned_(planned) {
    checks_.OnFaultBegan(scope_, planned_, SuspendAwareNow());
  }
  ~fault_guard() { checks_.OnFaultEnded(scope_, planned_, SuspendAwareNow()); }
  fault_guard(const fault_guard&) = delete;
  fault_guard& operator=(const fault_guard&) = delete;

 private:
  judge& checks_;
  std::string scope_;
  bool planned_;
};

link_fault LinkFaultOf(std::size_t variant) {
  constexpr std::array<link_fault, 5> kFaults{
      link_fault::delayed, link_fault::reset, link_fault::requests_cut,
      link_fault::answers_cut, link_fault::silent};
  return kFaults[variant % kFaults.size()];
}

asio::awaitable<void> ImpairLink(judge& checks,
                                 link_proxy& link,
                                 std::string scope,
                                 fault what) {
  const fault_guard guard(checks, std::move(scope), false);
  link.SetFault(LinkFaultOf(what.variant));
  co_await Wait(what.lasts);
  link.SetFault(link_fault::none);
}

asio::awaitable<void> Kill(deployment& system,
                           judge& checks,
                           entry& of,
                           milliseconds away) {
  if (of.busy) {
    co_return;
  }
  of.busy = true;
  const fault_guard guard(checks, of.name, false);
  of.Signal(SIGKILL);
  co_await Wait(away);
  while (of.Runs()) {
    co_await Wait(kPoll);
  }
  system.StartProcess(of);
  of.busy = false;
}

asio::awaitable<void> KillAll(deployment& system,
                              judge& checks,
                              milliseconds away) {
  const auto executor = co_await asio::this_coro::executor;
  for (const auto& each : system.entries) {
    asio::co_spawn(executor, Kill(system, checks, *each, away), asio::detached);
  }
}

asio::awaitable<void> Stop(deployment& system, judge& checks, entry& of) {
  if (of.busy) {
    co_return;
  }
  of.busy = true;
  const fault_guard guard(checks, of.name, true);
  of.Signal(SIGTERM);
  while (of.Runs()) {
    co_await Wait(kPoll);
  }
  co_await Wait(kRestartTime);
  system.StartProcess(of);
  of.busy = false;
}

asio::awaitable<void> Pause(judge& checks, entry& of, milliseconds lasts) {
  const fault_guard guard(checks, of.name, false);
  of.Signal(SIGSTOP);
  co_await Wait(lasts);
  of.Signal(SIGCONT);
}

asio::awaitable<void> StepClock(judge& checks, entry& of, fault what) {
  const fault_guard guard(checks, of.name, true);
  std::ofstream(of.clock_file)
      << kClockSteps[what.variant % kClockSteps.size()];
  co_await Wait(what.lasts);
  std::ofstream(of.clock_file) << 0;
}

asio::awaitable<void> ImpairStore(deployment& system,
                                  judge& checks,
                                  store_fault kind,
                                  milliseconds lasts) {
  const fault_guard guard(checks, "everything", true);
  system.store.fault = kind;
  co_await Wait(lasts);
  system.store.fault = store_fault::none;
}

asio::awaitable<void> Crash(deployment& system,
                            judge& checks,
                            upstream& of,
                            fault what,
                            bool replaced) {
  if (of.busy) {
    co_return;
  }
  of.busy = true;
  const auto id = of.id;
  const fault_guard guard(checks, id, false);
  of.link->SetFault(link_fault::reset);
  co_await Wait(what.lasts);
  if (replaced) {
    system.store.Drop("servers", id);
  }
  system.RegisterAnew(of, replaced);
  of.link->SetFault(link_fault::none);
  of.busy = false;
}

asio::awaitable<void> Leave(deployment& system, judge& checks, upstream& of) {
  if (of.busy) {
    co_return;
  }
  of.busy = true;
  const auto id = of.id;
  system.store.Put("servers", id, of.server->Entry("draining"));
  checks.OnLeaving(id, SuspendAwareNow());
  co_await Wait(kLeavingTime);
  const fault_guard guard(checks, id, false);
  system.store.Drop("servers", id);
  of.link->SetFault(link_fault::reset);
  co_await Wait(kRestartTime);
  system.RegisterAnew(of, true);
  of.link->SetFault(link_fault::none);
  of.busy = false;
}

}  // namespace
}  // namespace internal

std::string_view NameOf(fault_kind kind) {
  switch (kind) {
    case fault_kind::entry_killed:
      return "entry_killed";
    case fault_kind::entry_stopped:
      return "entry_stopped";
    case fault_kind::entry_paused:
      return "entry_paused";
    case fault_kind::settings_changed:
      return "settings_changed";
    case fault_kind::clock_stepped:
      return "clock_stepped";
    case fault_kind::all_entries_killed:
      return "all_entries_killed";
    case fault_kind::store_link_fault:
      return "store_link_fault";
    case fault_kind::caller_link_fault:
      return "caller_link_fault";
    case fault_kind::upstream_link_fault:
      return "upstream_link_fault";
    case fault_kind::store_refuses:
      return "store_refuses";
    case fault_kind::store_loses_answers:
      return "store_loses_answers";
    case fault_kind::store_silent:
      return "store_silent";
    case fault_kind::store_forgets:
      return "store_forgets";
    case fault_kind::upstream_fails:
      return "upstream_fails";
    case fault_kind::upstream_crashes:
      return "upstream_crashes";
    case fault_kind::upstream_replaced:
      return "upstream_replaced";
    case fault_kind::upstream_leaves:
      return "upstream_leaves";
    case fault_kind::manifest_changed:
      return "manifest_changed";
    case fault_kind::manifest_storm:
      return "manifest_storm";
  }
  return "unlisted";
}

std::vector<fault> MakeSchedule(random_source& random, milliseconds length) {
  std::vector<fault> out;
  milliseconds series{0};
  while (series < length) {
    const auto count = 1 + random.Below(internal::kMostInSeries);
    for (std::size_t i = 0; i < count; ++i) {
      fault made;
      made.kind = static_cast<fault_kind>(random.Below(internal::kKinds));
      made.at =
          series + random.Between(milliseconds(0), internal::kSeriesLength);
      made.lasts =
          random.Between(internal::kShortestFault, internal::kLongestFault);
      made.target = random.Below(1U << 16U);
      made.variant = random.Below(1U << 16U);
      out.push_back(made);
    }
    series += internal::kSeriesLength +
              random.Between(milliseconds(0), internal::kLongestPause);
  }
  std::sort(out.begin(), out.end(),
            [](const auto& a, const auto& b) { return a.at < b.at; });
  return out;
}

asio::awaitable<void> Inject(deployment& system, judge& checks, fault what) {
  auto& at = *system.entries[what.target % system.entries.size()];
  auto& up = *system.upstreams[what.target % system.upstreams.size()];
  switch (what.kind) {
    case fault_kind::entry_killed:
      co_await internal::Kill(system, checks, at, what.lasts);
      break;
    case fault_kind::entry_stopped:
      co_await internal::Stop(system, checks, at);
      break;
    case fault_kind::entry_paused:
      co_await internal::Pause(checks, at, what.lasts);
      break;
    case fault_kind::settings_changed:
      at.Signal(SIGHUP);
      break;
    case fault_kind::clock_stepped:
      co_await internal::StepClock(checks, at, what);
      break;
    case fault_kind::all_entries_killed:
      co_await internal::KillAll(system, checks, what.lasts);
      break;
    case fault_kind::store_link_fault:
      co_await internal::ImpairLink(checks, *at.store_link, at.name, what);
      break;
    case fault_kind::caller_link_fault:
      co_await internal::ImpairLink(checks, *at.caller_link, at.name, what);
      break;
    case fault_kind::upstream_link_fault:
      if (!up.busy) {
        up.busy = true;
        auto scope = up.id;
        co_await internal::ImpairLink(checks, *up.link, std::move(scope), what);
        up.busy = false;
      }
      break;
    case fault_kind::store_refuses:
      co_await internal::ImpairStore(
          system, checks,
          what.variant % 2 == 0 ? store_fault::busy : store_fault::too_many,
          what.lasts);
      break;
    case fault_kind::store_loses_answers:
      co_await internal::ImpairStore(
          system, checks,
          what.variant % 2 == 0 ? store_fault::answer_lost : store_fault::reset,
          what.lasts);
      break;
    case fault_kind::store_silent:
      co_await internal::ImpairStore(
          system, checks,
          what.variant % 2 == 0 ? store_fault::silent : store_fault::garbage,
          what.lasts);
      break;
    case fault_kind::store_forgets:
      system.store.Compact();
      break;
    case fault_kind::upstream_fails:
      up.failing = true;
      co_await Wait(what.lasts);
      up.failing = false;
      break;
    case fault_kind::upstream_crashes:
      co_await internal::Crash(system, checks, up, what, false);
      break;
    case fault_kind::upstream_replaced:
      co_await internal::Crash(system, checks, up, what, true);
      break;
    case fault_kind::upstream_leaves:
      co_await internal::Leave(system, checks, up);
      break;
    case fault_kind::manifest_changed:
      system.WriteManifest();
      break;
    case fault_kind::manifest_storm:
      for (int i = 0; i < internal::kStormManifests; ++i) {
        system.WriteManifest();
        co_await Wait(internal::kStormPause);
      }
      break;
  }
}

asio::awaitable<void> RestoreAll(deployment& system) {
  const auto is_busy = [&system] {
    return std::any_of(system.entries.begin(), system.entries.end(),
                       [](const auto& each) { return each->busy; }) ||
           std::any_of(system.upstreams.begin(), system.upstreams.end(),
                       [](const auto& each) { return each->busy; });
  };
  while (is_busy()) {
    co_await Wait(internal::kPoll);
  }
}

}  // namespace mimosadeck::soak
