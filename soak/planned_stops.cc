#include "soak/planned_stops.h"

#include <algorithm>
#include <csignal>
#include <iostream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "soak/stop_callers.h"

namespace mimosadeck::soak {
namespace internal {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kWarmUp{12000};
constexpr milliseconds kPoll{20};
constexpr milliseconds kMaxTimerDelay{250};
constexpr std::size_t kUpstreams = 8;
constexpr int kUpstreamSlots = 32;
constexpr int kMaxConnections = 400;
/** Entries that may stop at once: at least half of them go on. */
constexpr std::size_t kMaxSeries = 4;
constexpr seconds kMaxGraceChange{4};
/** Each running request makes an upstream this much slower. */
constexpr double kSlowdownPerRequest = 0.02;
constexpr double kSlowFactor = 2;

/** @brief What is done beside the signal to stop. */
enum class stop_variant {
  plain,
  second_signal,
  right_after_start,
  settings_before,
  settings_beside,
  settings_changed_before,
  settings_changed_during,
};
constexpr std::size_t kVariants =
    static_cast<std::size_t>(stop_variant::settings_changed_during) + 1;

std::string_view NameOf(stop_variant variant) {
  constexpr std::array<std::string_view, kVariants> kNames{
      "plain",
      "second signal",
      "right after start",
      "reload before",
      "reload beside",
      "grace changed before",
      "grace changed during"};
  return kNames.at(static_cast<std::size_t>(variant));
}

/** @brief A planned stop, drawn in advance. */
struct stop_step {
  std::size_t entry{};
  stop_variant variant{};
  milliseconds start{};
  /** From the signal to what is done beside it. */
  milliseconds beside{};
  milliseconds restart{};
  /** New grace period, if the variant changes it. */
  seconds new_grace{};
};

class planned_stop_run {
 public:
  explicit planned_stop_run(const planned_stop_options& options)
      : options_(options),
        schedule_random_(options.seed),
        traffic_random_(options.seed + 1),
        judge_(UntimedChecks()),
        system_(io_, options.system, judge_, traffic_random_),
        context_{system_, judge_, traffic_random_, {}} {
    rule_.timed = options.timed;
    context_.long_pauses = options.long_pauses;
    for (auto& item : system_.upstreams) {
      item->server->slots = kUpstreamSlots;
      system_.store.Put("servers", item->id, item->server->Entry("ready"));
    }
    PrepareUpstreams(context_);
  }

  int Run() {
    asio::co_spawn(io_, Monitor(), asio::detached);
    bool done = false;
    std::exception_ptr failure;
    asio::co_spawn(io_, RunSchedule(), [&](std::exception_ptr thrown) {
      failure = thrown;
      done = true;
    });
    while (!done) {
      io_.run_one();
    }
    if (failure) {
      std::rethrow_exception(failure);
    }
    return Summarize();
  }

 private:
  /** Time bounds of other promises are checked by the other runs. */
  static judge_options UntimedChecks() {
    judge_options out;
    out.timed = false;
    return out;
  }

  void Spawn(asio::awaitable<void> work) {
    ++running_;
    asio::co_spawn(io_, std::move(work), [this](std::exception_ptr thrown) {
      --running_;
      if (thrown) {
        std::rethrow_exception(thrown);
      }
    });
  }

  asio::awaitable<void> RunSchedule() {
    for (std::size_t i = 0; i < options_.callers; ++i) {
      asio::co_spawn(io_, RunStopCaller(context_, i), asio::detached);
    }
    co_await Wait(kWarmUp);
    const auto end = SuspendAwareNow() + options_.length;
    while (SuspendAwareNow() < end) {
      SpawnSeries();
      co_await Wait(schedule_random_.Between(
          milliseconds(2000), options_.system.stop_grace + seconds(4)));
    }
    while (running_ > 0) {
      co_await Wait(kPoll);
    }
    context_.stopping = true;
    while (context_.running > 0) {
      co_await Wait(kPoll);
    }
  }

  /** Draws a series of stops and what happens beside it. */
  void SpawnSeries() {
    auto& random = schedule_random_;
    const auto stops = 1 + random.Below(kMaxSeries);
    for (std::size_t i = 0; i < stops; ++i) {
      stop_step step;
      step.entry = random.Below(system_.entries.size());
      step.variant = static_cast<stop_variant>(random.Below(kVariants));
      step.start = random.Between(milliseconds(0), milliseconds(3000));
      step.beside = random.Between(milliseconds(0), milliseconds(4000));
      step.restart = random.Between(milliseconds(200), milliseconds(2000));
      const auto change =
          static_cast<long>(random.Below(2 * kMaxGraceChange.count() + 1));
      step.new_grace =
          std::max(seconds(1), options_.system.stop_grace + seconds(change) -
                                   kMaxGraceChange);
      Spawn(StopEntry(step));
    }
    auto& up = *system_.upstreams[random.Below(system_.upstreams.size())];
    const auto delay = random.Between(milliseconds(0), milliseconds(6000));
    const auto time = random.Between(milliseconds(2000), milliseconds(12000));
    switch (random.Below(6)) {
      case 0:
      case 1:
        Spawn(ChangeManifest(delay));
        break;
      case 2:
        Spawn(LeaveUpstream(up, delay, time));
        break;
      case 3:
        Spawn(ReplaceUpstream(up, delay));
        break;
      case 4:
        Spawn(SlowUpstream(up, delay, time));
        break;
      default:
        break;
    }
  }

  [[nodiscard]] bool CanStop(const entry& node) const {
    const auto busy =
        std::count_if(system_.entries.begin(), system_.entries.end(),
                      [](const auto& item) { return item->busy; });
    return !node.busy && node.Runs() &&
           static_cast<std::size_t>(busy) < system_.entries.size() / 2;
  }

  asio::awaitable<void> StopEntry(stop_step step) {
    co_await Wait(step.start);
    auto& node = *system_.entries[step.entry];
    if (!CanStop(node)) {
      co_return;
    }
    node.busy = true;
    if (step.variant == stop_variant::settings_before) {
      node.Signal(SIGHUP);
      co_await Wait(step.beside / 4);
    }
    if (step.variant == stop_variant::settings_changed_before) {
      ChangeGrace(node, step.new_grace);
      co_await Wait(step.beside / 4);
    }
    co_await StopOnce(node, step);
    if (step.variant == stop_variant::right_after_start) {
      co_await Wait(step.restart);
      system_.StartProcess(node);
      co_await Wait(step.beside / 2);
      co_await StopOnce(node, step);
    }
    co_await Wait(step.restart);
    node.stop_grace = options_.system.stop_grace;
    system_.StartProcess(node);
    node.busy = false;
  }

  /** Signals a process, and kills it after its grace period as the platform
   * does. */
  asio::awaitable<void> StopOnce(entry& node, stop_step step) {
    auto& stop = context_.record.stops[node.ProcessName()];
    stop.label = NameOf(step.variant);
    stop.grace = node.stop_grace;
    stop.at = SuspendAwareNow();
    node.Signal(SIGTERM);
    if (step.variant == stop_variant::settings_beside) {
      node.Signal(SIGHUP);
    }
    bool is_beside_done = false;
    while (node.Runs()) {
      const auto now = SuspendAwareNow();
      if (now >= stop.at + stop.grace && !stop.is_killed) {
        stop.is_killed = true;
        node.Signal(SIGKILL);
      }
      if (now >= stop.at + step.beside && !is_beside_done) {
        is_beside_done = true;
        DoBeside(node, step);
      }
      co_await Wait(kPoll);
    }
    stop.exited = SuspendAwareNow();
  }

  void DoBeside(entry& node, const stop_step& step) {
    if (step.variant == stop_variant::second_signal) {
      node.Signal(SIGTERM);
    } else if (step.variant == stop_variant::settings_changed_during) {
      ChangeGrace(node, step.new_grace);
    }
  }

  void ChangeGrace(entry& node, seconds grace) {
    node.stop_grace = grace;
    system_.WriteSettings(node);
    node.Signal(SIGHUP);
  }

  asio::awaitable<void> ChangeManifest(milliseconds delay) {
    co_await Wait(delay);
    system_.WriteManifest();
  }

  /** Breaks off what runs at an upstream. */
  void BreakOff(upstream& node) {
    const auto now = SuspendAwareNow();
    for (auto& [id, request] : context_.record.requests) {
      for (auto& run : request.runs) {
        if (run.upstream == node.id && !run.ended) {
          run.ended = now;
          run.broke_off = true;
        }
      }
    }
    node.breaks_off = true;
    node.link->SetFault(link_fault::reset);
  }

  asio::awaitable<void> LeaveUpstream(upstream& node,
                                      milliseconds delay,
                                      milliseconds time) {
    co_await Wait(delay);
    if (node.busy) {
      co_return;
    }
    node.busy = true;
    system_.store.Put("servers", node.id, node.server->Entry("draining"));
    co_await Wait(time);
    co_await Replace(node);
  }

  asio::awaitable<void> ReplaceUpstream(upstream& node, milliseconds delay) {
    co_await Wait(delay);
    if (node.busy) {
      co_return;
    }
    node.busy = true;
    co_await Replace(node);
  }

  asio::awaitable<void> Replace(upstream& node) {
    BreakOff(node);
    system_.store.Drop("servers", node.id);
    co_await Wait(milliseconds(300));
    system_.Reregister(node, true);
    node.link->SetFault(link_fault::none);
    node.breaks_off = false;
    node.busy = false;
  }

  asio::awaitable<void> SlowUpstream(upstream& node,
                                     milliseconds delay,
                                     milliseconds time) {
    co_await Wait(delay);
    node.failing = true;
    co_await Wait(time);
    node.failing = false;
  }

  /** Makes upstreams slower under load, and notes delays of this process. */
  asio::awaitable<void> Monitor() {
    constexpr milliseconds kInterval{50};
    while (!context_.stopping) {
      const auto before = SuspendAwareNow();
      co_await Wait(kInterval);
      if (SuspendAwareNow() - before > kInterval + kMaxTimerDelay) {
        ++stalls_;
      }
      std::map<std::string_view, int> load;
      for (const auto& [id, request] : context_.record.requests) {
        for (const auto& run : request.runs) {
          load[run.upstream] += run.ended ? 0 : 1;
        }
      }
      for (auto& item : system_.upstreams) {
        item->server->slowdown = (1 + kSlowdownPerRequest * load[item->id]) *
                                 (item->failing ? kSlowFactor : 1);
      }
    }
  }

  int Summarize() {
    PrintCases(std::cout, rule_, context_.record);
    PrintTotals(std::cout, rule_, context_.record);
    for (const auto& broken : judge_.Violations()) {
      std::cout << "BROKEN " << soak::NameOf(broken.broken) << ' '
                << broken.request << ": " << broken.detail << '\n';
    }
    const auto outcomes = CountOutcomes(rule_, context_.record);
    std::size_t cut = 0;
    for (const auto& [outcome, count] : outcomes) {
      cut += IsCounted(outcome) ? count : 0;
    }
    std::cout << "held up: " << stalls_
              << "\nbroken promises: " << judge_.Violations().size()
              << "\ncounted cuts: " << cut << "\nseed: " << options_.seed
              << std::endl;
    if (cut > 0 || !judge_.Violations().empty()) {
      return 1;
    }
    return outcomes.contains(stop_outcome::served) ? 0 : 2;
  }

  planned_stop_options options_;
  asio::io_context io_{1};
  random_source schedule_random_;
  random_source traffic_random_;
  judge judge_;
  deployment system_;
  stop_context context_;
  stop_rule rule_;
  int running_{};
  int stalls_{};
};

}  // namespace
}  // namespace internal

int RunPlannedStops(planned_stop_options options) {
  options.system.upstreams = internal::kUpstreams;
  // Runs with different seeds may go on side by side.
  options.system.network =
      "127.0." + std::to_string(10 + options.seed % 200) + '.';
  options.system.max_connections = internal::kMaxConnections;
  options.system.stream_timeout = kLongStreamTimeout;
  options.system.rotating_streams = true;
  internal::planned_stop_run run(options);
  return run.Run();
}

}  // namespace mimosadeck::soak
