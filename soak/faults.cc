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

constexpr std::size_t kFaultKinds =
    static_cast<std::size_t>(fault_kind::manifest_storm) + 1;
constexpr std::size_t kMaxPerSeries = 5;
constexpr milliseconds kSeriesLength{2500};
constexpr milliseconds kMaxPause{6000};
constexpr milliseconds kMinDuration{200};
constexpr milliseconds kMaxDuration{4000};
constexpr milliseconds kRestartTime{300};
constexpr milliseconds kPoll{20};
constexpr milliseconds kStormInterval{60};
constexpr int kStormManifests = 6;
/** Offsets of the calendar clock, in ms. */
constexpr std::array<long, 4> kClockSteps{-30000, -900, 900, 30000};
/** Time that a draining upstream goes on serving before it ends. */
constexpr milliseconds kDrainTime{4000};

/** @brief Reports a fault to the judge for the lifetime of this object. */
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

link_fault LinkFaultFor(std::size_t variant) {
  constexpr std::array<link_fault, 5> kFaults{
      link_fault::delayed, link_fault::reset, link_fault::requests_cut,
      link_fault::answers_cut, link_fault::silent};
  return kFaults[variant % kFaults.size()];
}

asio::awaitable<void> ImpairLink(judge& checks,
                                 link_proxy& link,
                                 std::string scope,
                                 fault spec) {
  const fault_guard guard(checks, std::move(scope), false);
  link.SetFault(LinkFaultFor(spec.variant));
  co_await Wait(spec.duration);
  link.SetFault(link_fault::none);
}

asio::awaitable<void> Kill(deployment& system,
                           judge& checks,
                           entry& node,
                           milliseconds down) {
  if (node.busy) {
    co_return;
  }
  node.busy = true;
  const fault_guard guard(checks, node.name, false);
  node.Signal(SIGKILL);
  co_await Wait(down);
  while (node.Runs()) {
    co_await Wait(kPoll);
  }
  system.StartProcess(node);
  node.busy = false;
}

asio::awaitable<void> KillAll(deployment& system,
                              judge& checks,
                              milliseconds down) {
  const auto executor = co_await asio::this_coro::executor;
  for (const auto& node : system.entries) {
    asio::co_spawn(executor, Kill(system, checks, *node, down), asio::detached);
  }
}

asio::awaitable<void> Stop(deployment& system, judge& checks, entry& node) {
  if (node.busy) {
    co_return;
  }
  node.busy = true;
  const fault_guard guard(checks, node.name, true);
  node.Signal(SIGTERM);
  while (node.Runs()) {
    co_await Wait(kPoll);
  }
  co_await Wait(kRestartTime);
  system.StartProcess(node);
  node.busy = false;
}

asio::awaitable<void> Pause(judge& checks, entry& node, milliseconds time) {
  const fault_guard guard(checks, node.name, false);
  node.Signal(SIGSTOP);
  co_await Wait(time);
  node.Signal(SIGCONT);
}

asio::awaitable<void> StepClock(judge& checks, entry& node, fault spec) {
  const fault_guard guard(checks, node.name, true);
  std::ofstream(node.clock_file)
      << kClockSteps[spec.variant % kClockSteps.size()];
  co_await Wait(spec.duration);
  std::ofstream(node.clock_file) << 0;
}

asio::awaitable<void> ImpairStore(deployment& system,
                                  judge& checks,
                                  store_fault kind,
                                  milliseconds time) {
  const fault_guard guard(checks, "everything", true);
  system.store.fault = kind;
  co_await Wait(time);
  system.store.fault = store_fault::none;
}

asio::awaitable<void> Crash(deployment& system,
                            judge& checks,
                            upstream& node,
                            fault spec,
                            bool new_id) {
  if (node.busy) {
    co_return;
  }
  node.busy = true;
  const auto id = node.id;
  const fault_guard guard(checks, id, false);
  node.link->SetFault(link_fault::reset);
  co_await Wait(spec.duration);
  if (new_id) {
    system.store.Drop("servers", id);
  }
  system.Reregister(node, new_id);
  node.link->SetFault(link_fault::none);
  node.busy = false;
}

asio::awaitable<void> Drain(deployment& system, judge& checks, upstream& node) {
  if (node.busy) {
    co_return;
  }
  node.busy = true;
  const auto id = node.id;
  system.store.Put("servers", id, node.server->Entry("draining"));
  checks.OnLeaving(id, SuspendAwareNow());
  co_await Wait(kDrainTime);
  const fault_guard guard(checks, id, false);
  system.store.Drop("servers", id);
  node.link->SetFault(link_fault::reset);
  co_await Wait(kRestartTime);
  system.Reregister(node, true);
  node.link->SetFault(link_fault::none);
  node.busy = false;
}

}  // namespace
}  // namespace internal

std::string_view NameOf(fault_kind kind) {
  constexpr std::array<std::string_view, 19> kNames{
      "entry_killed",      "entry_stopped",       "entry_paused",
      "settings_changed",  "clock_stepped",       "all_entries_killed",
      "store_link_fault",  "caller_link_fault",   "upstream_link_fault",
      "store_refuses",     "store_loses_answers", "store_silent",
      "store_forgets",     "upstream_fails",      "upstream_crashes",
      "upstream_replaced", "upstream_leaves",     "manifest_changed",
      "manifest_storm"};
  return kNames.at(static_cast<std::size_t>(kind));
}

std::vector<fault> MakeSchedule(random_source& random, milliseconds length) {
  std::vector<fault> out;
  milliseconds begin{0};
  while (begin < length) {
    const auto count = 1 + random.Below(internal::kMaxPerSeries);
    for (std::size_t i = 0; i < count; ++i) {
      fault next;
      next.kind = static_cast<fault_kind>(random.Below(internal::kFaultKinds));
      next.start =
          begin + random.Between(milliseconds(0), internal::kSeriesLength);
      next.duration =
          random.Between(internal::kMinDuration, internal::kMaxDuration);
      next.target = random.Below(1U << 16U);
      next.variant = random.Below(1U << 16U);
      out.push_back(next);
    }
    begin += internal::kSeriesLength +
             random.Between(milliseconds(0), internal::kMaxPause);
  }
  std::sort(out.begin(), out.end(),
            [](const auto& a, const auto& b) { return a.start < b.start; });
  return out;
}

asio::awaitable<void> Inject(deployment& system, judge& checks, fault spec) {
  auto& node = *system.entries[spec.target % system.entries.size()];
  auto& up = *system.upstreams[spec.target % system.upstreams.size()];
  switch (spec.kind) {
    case fault_kind::entry_killed:
      co_await internal::Kill(system, checks, node, spec.duration);
      break;
    case fault_kind::entry_stopped:
      co_await internal::Stop(system, checks, node);
      break;
    case fault_kind::entry_paused:
      co_await internal::Pause(checks, node, spec.duration);
      break;
    case fault_kind::settings_changed:
      node.Signal(SIGHUP);
      break;
    case fault_kind::clock_stepped:
      co_await internal::StepClock(checks, node, spec);
      break;
    case fault_kind::all_entries_killed:
      co_await internal::KillAll(system, checks, spec.duration);
      break;
    case fault_kind::store_link_fault:
      co_await internal::ImpairLink(checks, *node.store_link, node.name, spec);
      break;
    case fault_kind::caller_link_fault:
      co_await internal::ImpairLink(checks, *node.caller_link, node.name, spec);
      break;
    case fault_kind::upstream_link_fault:
      if (!up.busy) {
        up.busy = true;
        auto scope = up.id;
        co_await internal::ImpairLink(checks, *up.link, std::move(scope), spec);
        up.busy = false;
      }
      break;
    case fault_kind::store_refuses:
      co_await internal::ImpairStore(
          system, checks,
          spec.variant % 2 == 0 ? store_fault::busy : store_fault::too_many,
          spec.duration);
      break;
    case fault_kind::store_loses_answers:
      co_await internal::ImpairStore(
          system, checks,
          spec.variant % 2 == 0 ? store_fault::answer_lost : store_fault::reset,
          spec.duration);
      break;
    case fault_kind::store_silent:
      co_await internal::ImpairStore(
          system, checks,
          spec.variant % 2 == 0 ? store_fault::silent : store_fault::garbage,
          spec.duration);
      break;
    case fault_kind::store_forgets:
      system.store.Compact();
      break;
    case fault_kind::upstream_fails:
      up.failing = true;
      co_await Wait(spec.duration);
      up.failing = false;
      break;
    case fault_kind::upstream_crashes:
      co_await internal::Crash(system, checks, up, spec, false);
      break;
    case fault_kind::upstream_replaced:
      co_await internal::Crash(system, checks, up, spec, true);
      break;
    case fault_kind::upstream_leaves:
      co_await internal::Drain(system, checks, up);
      break;
    case fault_kind::manifest_changed:
      system.WriteManifest();
      break;
    case fault_kind::manifest_storm:
      for (int i = 0; i < internal::kStormManifests; ++i) {
        system.WriteManifest();
        co_await Wait(internal::kStormInterval);
      }
      break;
  }
}

asio::awaitable<void> RestoreAll(deployment& system) {
  const auto is_busy = [&system] {
    return std::any_of(system.entries.begin(), system.entries.end(),
                       [](const auto& item) { return item->busy; }) ||
           std::any_of(system.upstreams.begin(), system.upstreams.end(),
                       [](const auto& item) { return item->busy; });
  };
  while (is_busy()) {
    co_await Wait(internal::kPoll);
  }
}

}  // namespace mimosadeck::soak
