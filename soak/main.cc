#include <filesystem>
#include <iostream>
#include <map>
#include <random>

#include <tclap/CmdLine.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "soak/callers.h"
#include "soak/faults.h"
#include "soak/planned_stops.h"

namespace mimosadeck::soak {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr milliseconds kStartupTime{3000};
constexpr milliseconds kPoll{50};
/** If a timer of this process fires later than this, the machine is too slow to
 * check time bounds. */
constexpr milliseconds kMaxTimerDelay{250};
/** Recovery limit of runs that check no time bounds. */
constexpr milliseconds kUntimedRecoveryLimit{90000};
constexpr milliseconds kRecoveryBound{12000};

/** @brief Options of the command line. */
struct run_options {
  std::uint64_t seed{};
  std::chrono::seconds length{};
  std::size_t callers{};
  bool planned_stops{};
  bool long_pauses{};
  std::string only;
  judge_options checks;
  deployment_options system;
};

/** @brief A run: sends requests, injects faults and checks the promises. */
class soak_run {
 public:
  explicit soak_run(const run_options& options)
      : options_(options),
        schedule_random_(options.seed),
        traffic_random_(options.seed + 1),
        judge_(options.checks),
        system_(io_, options.system, judge_, traffic_random_),
        context_{system_, judge_, traffic_random_} {}

  /** @return Exit status: 0, 1 if a promise was broken, 2 if none was checked.
   */
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
  asio::awaitable<void> RunSchedule() {
    const auto schedule = MakeSchedule(schedule_random_, options_.length);
    for (std::size_t i = 0; i < options_.callers; ++i) {
      asio::co_spawn(io_, RunCaller(context_), asio::detached);
    }
    co_await Wait(kStartupTime);
    const auto start = SuspendAwareNow();
    for (const auto& scheduled : schedule) {
      const auto left = std::chrono::duration_cast<milliseconds>(
          start + scheduled.start - SuspendAwareNow());
      if (left.count() > 0) {
        co_await Wait(left);
      }
      ++injected_[std::string(NameOf(scheduled.kind))];
      ++faults_running_;
      asio::co_spawn(io_, Inject(system_, judge_, scheduled),
                     [this](std::exception_ptr thrown) {
                       --faults_running_;
                       if (thrown) {
                         std::rethrow_exception(thrown);
                       }
                     });
    }
    while (faults_running_ > 0) {
      co_await Wait(kPoll);
    }
    co_await RestoreAll(system_);
    co_await CheckRecovery();
    context_.stopping = true;
    while (context_.running > 0) {
      co_await Wait(kPoll);
    }
    system_.ForwardReports();
  }

  asio::awaitable<void> CheckRecovery() {
    const auto limit =
        options_.checks.timed ? kRecoveryBound : kUntimedRecoveryLimit;
    const auto end = SuspendAwareNow() + limit;
    for (const auto& entry : system_.entries) {
      bool serves = false;
      while (!serves && SuspendAwareNow() < end) {
        serves = co_await CheckServes(context_, *entry);
        if (!serves) {
          co_await Wait(kPoll);
        }
      }
      judge_.OnRecovery(entry->name, serves);
    }
  }

  /** Forwards usage reports, and records delays of this process as faults. */
  asio::awaitable<void> Monitor() {
    while (!context_.stopping) {
      const auto before = SuspendAwareNow();
      co_await Wait(kPoll);
      const auto now = SuspendAwareNow();
      if (now - before > kPoll + kMaxTimerDelay) {
        ++stalls_;
        judge_.OnFaultBegan("everything", false, before);
        judge_.OnFaultEnded("everything", false, now);
      }
      system_.ForwardReports();
      PrintNewViolations();
    }
  }

  void PrintNewViolations() {
    const auto& all = judge_.Violations();
    for (; printed_ < all.size(); ++printed_) {
      const auto& violation = all[printed_];
      std::cout << "BROKEN " << NameOf(violation.broken) << ' '
                << violation.request << ": " << violation.detail << std::endl;
    }
  }

  int Summarize() {
    PrintNewViolations();
    const auto counts = judge_.Counts();
    std::cout << "faults:";
    for (const auto& [name, count] : injected_) {
      std::cout << ' ' << name << '=' << count;
    }
    std::cout << "\nrequests judged: " << counts.requests << " (";
    for (const auto& [name, count] : counts.answers) {
      std::cout << ' ' << name << '=' << count;
    }
    std::cout << " )\nruns judged: " << counts.runs
              << "\nreports judged: " << counts.reports
              << "\nheld up: " << stalls_
              << "\nbroken promises: " << judge_.Violations().size()
              << "\nseed: " << options_.seed << std::endl;
    if (!judge_.Violations().empty()) {
      return 1;
    }
    const bool judged = counts.runs > 0 && counts.reports > 0 &&
                        counts.answers.contains("served");
    return judged ? 0 : 2;
  }

  run_options options_;
  asio::io_context io_{1};
  random_source schedule_random_;
  random_source traffic_random_;
  judge judge_;
  deployment system_;
  caller_context context_;
  std::map<std::string, int> injected_;
  int faults_running_{};
  int stalls_{};
  std::size_t printed_{};
};

run_options ReadCommandLine(int count, char** arguments) {
  TCLAP::CmdLine line(
      "Runs daemons as processes, injects faults and checks the promises that "
      "callers, upstreams and the platform rely on",
      ' ', "0.1.0");
  const TCLAP::ValueArg<std::uint64_t> seed(
      "", "seed", "Seed of the run; random by default", false,
      std::random_device{}(), "NUMBER", line);
  const TCLAP::ValueArg<double> minutes(
      "", "minutes", "Duration of fault injection", false, 1, "MINUTES", line);
  const TCLAP::ValueArg<std::size_t> processes(
      "", "processes", "Number of daemons", false, 5, "COUNT", line);
  const TCLAP::ValueArg<std::size_t> callers(
      "", "callers", "Number of callers, each with one request at a time",
      false, 24, "COUNT", line);
  const TCLAP::ValueArg<std::string> daemon("", "daemon",
                                            "Path of mimosadeckd_shifted_clock",
                                            true, "", "FILE", line);
  const TCLAP::ValueArg<std::string> directory(
      "", "directory", "Directory for settings and logs", false,
      (std::filesystem::temp_directory_path() / "mimosadeck_soak").string(),
      "DIRECTORY", line);
  const TCLAP::SwitchArg untimed(
      "", "untimed", "Check no time bounds, for slow machines", line);
  const TCLAP::SwitchArg planned_stops(
      "", "planned-stops", "Only stop daemons as planned, under long streams",
      line);
  const TCLAP::SwitchArg long_pauses(
      "", "long-pauses",
      "With --planned-stops: resumable streams may be silent for seconds",
      line);
  const TCLAP::ValueArg<std::string> only(
      "", "only", "With --planned-stops: the only thing done beside a stop",
      false, "", "KIND", line);
  const TCLAP::ValueArg<int> grace(
      "", "grace", "Grace period in seconds; 8 for planned stops", false, 5,
      "SECONDS", line);
  line.parse(count, arguments);
  run_options out;
  out.planned_stops = planned_stops.getValue();
  out.long_pauses = long_pauses.getValue();
  out.only = only.getValue();
  out.seed = seed.getValue();
  out.length = std::chrono::duration_cast<std::chrono::seconds>(
      std::chrono::duration<double, std::ratio<60>>(minutes.getValue()));
  out.callers = callers.getValue();
  out.checks.timed = !untimed.getValue();
  out.system.entries = processes.getValue();
  out.system.daemon = daemon.getValue();
  out.system.directory = directory.getValue() + '/' + std::to_string(out.seed);
  out.system.stop_grace = std::chrono::seconds(
      grace.isSet() || !out.planned_stops ? grace.getValue() : 8);
  return out;
}

}  // namespace
}  // namespace mimosadeck::soak

int main(int count, char** arguments) {
  try {
    const auto options = mimosadeck::soak::ReadCommandLine(count, arguments);
    std::cout << "seed: " << options.seed << std::endl;
    if (options.planned_stops) {
      return mimosadeck::soak::RunPlannedStops(
          {options.seed, options.length, options.callers, options.checks.timed,
           options.long_pauses, options.only, options.system});
    }
    mimosadeck::soak::soak_run run(options);
    return run.Run();
  } catch (const std::exception& failure) {
    std::cerr << "soak: " << failure.what() << '\n';
    return 3;
  }
}
