#include "soak/planned_stops.h"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <stdexcept>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "soak/faults.h"
#include "soak/stop_callers.h"
#include "soak/stop_judge.h"

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
constexpr std::size_t kMaxSeries = 4;
constexpr long kMaxGraceChange = 4;
/** Each running request makes an upstream this much slower. */
constexpr double kSlowdownPerRequest = 0.02;
constexpr double kSlowFactor = 2;

/** @brief What is done beside the signal to stop. */
enum class stop_variant {
  plain,
  second_signal,
  right_after_start,
  reload_before,
  reload_beside,
  grace_changed_before,
  grace_changed_during,
};
constexpr std::array<std::string_view, 7> kVariantNames{
    "no_change",           "second_signal", "right_after_start",
    "reload_before",       "reload_beside", "grace_changed_before",
    "grace_changed_during"};

/** @brief A planned stop, drawn in advance. */
struct stop_step {
  std::size_t entry{};
  stop_variant variant{};
  milliseconds start{};
  /** From the signal to what is done beside it. */
  milliseconds beside{};
  milliseconds restart{};
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
        context_{system_, judge_, traffic_random_} {
    rule_.timed = options.timed;
    ServeStopCallers(system_);
    for (auto& item : system_.upstreams) {
      item->server->slots = kUpstreamSlots;
      system_.store.Put("servers", item->id, item->server->Entry("ready"));
    }
  }

  int Run() {
    asio::co_spawn(io_, Monitor(), asio::detached);
    Spawn(RunSchedule());
    while (running_ > 0) {
      io_.run_one();
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
      asio::co_spawn(io_, RunStopCaller(context_, i, options_.long_pauses),
                     asio::detached);
    }
    co_await Wait(kWarmUp);
    const auto end = SuspendAwareNow() + options_.length;
    while (SuspendAwareNow() < end) {
      SpawnSeries();
      co_await Wait(schedule_random_.Between(
          milliseconds(2000), options_.system.stop_grace + seconds(4)));
    }
    while (running_ > 1) {
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
      step.variant = DrawVariant();
      step.start = random.Between(milliseconds(0), milliseconds(3000));
      step.beside = random.Between(milliseconds(0), milliseconds(4000));
      step.restart = random.Between(milliseconds(200), milliseconds(2000));
      const auto change = static_cast<long>(random.Below(2 * kMaxGraceChange));
      step.new_grace =
          std::max(seconds(1), options_.system.stop_grace +
                                   seconds(change - kMaxGraceChange));
      Spawn(StopEntry(step));
    }
    constexpr std::array<fault_kind, 3> kBeside{fault_kind::manifest_changed,
                                                fault_kind::upstream_leaves,
                                                fault_kind::upstream_replaced};
    fault spec;
    spec.target = random.Below(system_.upstreams.size());
    const auto delay = random.Between(milliseconds(0), milliseconds(6000));
    const auto kind = random.Below(kBeside.size() + 2);
    if (kind < kBeside.size()) {
      spec.kind = kBeside.at(kind);
      spec.duration = random.Between(milliseconds(200), milliseconds(1000));
      Spawn(InjectAfter(delay, spec));
    } else if (kind == kBeside.size()) {
      Spawn(SlowUpstream(*system_.upstreams[spec.target], delay));
    }
  }

  stop_variant DrawVariant() {
    const auto drawn = schedule_random_.Below(kVariantNames.size());
    if (options_.only.empty()) {
      return static_cast<stop_variant>(drawn);
    }
    const auto only =
        std::find(kVariantNames.begin(), kVariantNames.end(), options_.only);
    if (only == kVariantNames.end()) {
      throw std::invalid_argument("no kind of stop is called " + options_.only);
    }
    return static_cast<stop_variant>(only - kVariantNames.begin());
  }

  asio::awaitable<void> InjectAfter(milliseconds delay, fault spec) {
    co_await Wait(delay);
    co_await Inject(system_, judge_, spec);
  }

  asio::awaitable<void> SlowUpstream(upstream& node, milliseconds delay) {
    co_await Wait(delay);
    node.failing = true;
    co_await Wait(2 * delay);
    node.failing = false;
  }

  /** At least half of the entries go on at any time. */
  [[nodiscard]] bool CanStop(const entry& node) const {
    const auto busy =
        std::count_if(system_.entries.begin(), system_.entries.end(),
                      [](const auto& item) { return item->busy; });
    return !node.busy &&
           static_cast<std::size_t>(busy) < system_.entries.size() / 2;
  }

  asio::awaitable<void> StopEntry(stop_step step) {
    co_await Wait(step.start);
    auto& node = *system_.entries[step.entry];
    if (!CanStop(node)) {
      co_return;
    }
    node.busy = true;
    if (step.variant == stop_variant::reload_before) {
      ChangeGrace(node, node.stop_grace);
      co_await Wait(step.beside / 4);
    } else if (step.variant == stop_variant::grace_changed_before) {
      ChangeGrace(node, step.new_grace);
      co_await Wait(step.beside / 4);
    }
    co_await StopProcess(node, step);
    if (step.variant == stop_variant::right_after_start) {
      co_await Wait(step.restart);
      system_.StartProcess(node);
      co_await Wait(step.beside / 2);
      co_await StopProcess(node, step);
    }
    co_await Wait(step.restart);
    node.stop_grace = options_.system.stop_grace;
    system_.StartProcess(node);
    node.busy = false;
  }

  /** Signals a process, and kills it after its grace period as the platform
   * does. */
  asio::awaitable<void> StopProcess(entry& node, stop_step step) {
    auto& stop = stops_[node.ProcessName()];
    stop.label = kVariantNames.at(static_cast<std::size_t>(step.variant));
    stop.grace = node.stop_grace;
    stop.at = SuspendAwareNow();
    node.Signal(SIGTERM);
    if (step.variant == stop_variant::reload_beside) {
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
        if (step.variant == stop_variant::second_signal) {
          node.Signal(SIGTERM);
        } else if (step.variant == stop_variant::grace_changed_during) {
          ChangeGrace(node, step.new_grace);
        }
      }
      co_await Wait(kPoll);
    }
    stop.exited = SuspendAwareNow();
  }

  void ChangeGrace(entry& node, seconds grace) {
    node.stop_grace = grace;
    system_.WriteSettings(node);
    node.Signal(SIGHUP);
  }

  /** Makes upstreams slower under load, and notes delays of this process. */
  asio::awaitable<void> Monitor() {
    while (!context_.stopping) {
      const auto before = SuspendAwareNow();
      co_await Wait(kPoll);
      stalls_ += SuspendAwareNow() - before > kPoll + kMaxTimerDelay ? 1 : 0;
      for (auto& item : system_.upstreams) {
        item->server->slowdown = (1 + kSlowdownPerRequest * item->running) *
                                 (item->failing ? kSlowFactor : 1);
      }
    }
  }

  int Summarize() {
    const auto totals = JudgeStops(std::cout, rule_, stops_, judge_.Requests());
    for (const auto& broken : judge_.Violations()) {
      std::cout << "BROKEN " << NameOf(broken.broken) << ' ' << broken.request
                << ": " << broken.detail << '\n';
    }
    int cut = 0;
    for (const auto& [outcome, count] : totals) {
      cut += IsCounted(outcome) ? count : 0;
    }
    std::cout << "held up: " << stalls_
              << "\nbroken promises: " << judge_.Violations().size()
              << "\ncounted cuts: " << cut << "\nseed: " << options_.seed
              << std::endl;
    if (cut > 0 || !judge_.Violations().empty()) {
      return 1;
    }
    return totals.contains(stop_outcome::served) ? 0 : 2;
  }

  planned_stop_options options_;
  asio::io_context io_{1};
  random_source schedule_random_;
  random_source traffic_random_;
  judge judge_;
  deployment system_;
  caller_context context_;
  planned_stops stops_;
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
