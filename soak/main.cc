#include <filesystem>
#include <iostream>
#include <map>
#include <random>

#include <tclap/CmdLine.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "soak/callers.h"
#include "soak/faults.h"

namespace mimosadeck::soak {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr milliseconds kStartTime{3000};
constexpr milliseconds kPoll{50};
/** A run of this process so late means that the machine is too slow to judge
 * bounds by the clock. */
constexpr milliseconds kLateness{250};
/** Without time bounds an entry may take so long to serve again. */
constexpr milliseconds kRecoveryLimit{90000};
constexpr milliseconds kRecoveryTarget{12000};

/** @brief What the command line says. */
struct run_options {
  std::uint64_t seed{};
  std::chrono::seconds length{};
  std::size_t callers{};
  judge_options checks;
  deployment_options system;
};

/** @brief One run: callers, faults, and the promises. */
class soak_run {
 public:
  explicit soak_run(const run_options& options)
      : options_(options),
        schedule_random_(options.seed),
        traffic_random_(options.seed + 1),
        judge_(options.checks),
        system_(io_, options.system, judge_, traffic_random_),
        world_{system_, judge_, traffic_random_} {}

  /** @return Exit status: 0, 1 if a promise was broken, 2 if none was judged.
   */
  int Run() {
    asio::co_spawn(io_, Watch(), asio::detached);
    bool done = false;
    std::exception_ptr failure;
    asio::co_spawn(io_, Play(), [&](std::exception_ptr thrown) {
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
  asio::awaitable<void> Play() {
    const auto schedule = MakeSchedule(schedule_random_, options_.length);
    for (std::size_t i = 0; i < options_.callers; ++i) {
      asio::co_spawn(io_, RunCaller(world_), asio::detached);
    }
    co_await Wait(kStartTime);
    const auto start = SuspendAwareNow();
    for (const auto& each : schedule) {
      const auto left = std::chrono::duration_cast<milliseconds>(
          start + each.at - SuspendAwareNow());
      if (left.count() > 0) {
        co_await Wait(left);
      }
      ++injected_[std::string(NameOf(each.kind))];
      ++faults_running_;
      asio::co_spawn(io_, Inject(system_, judge_, each),
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
    world_.stopping = true;
    while (world_.running > 0) {
      co_await Wait(kPoll);
    }
    system_.TakeReports();
  }

  asio::awaitable<void> CheckRecovery() {
    const auto limit = options_.checks.timed ? kRecoveryTarget : kRecoveryLimit;
    const auto end = SuspendAwareNow() + limit;
    for (const auto& each : system_.entries) {
      bool serves = false;
      while (!serves && SuspendAwareNow() < end) {
        serves = co_await Serves(world_, *each);
        if (!serves) {
          co_await Wait(kPoll);
        }
      }
      judge_.OnRecovery(each->name, serves);
    }
  }

  /** Takes reports, and tells when this process itself was held up. */
  asio::awaitable<void> Watch() {
    while (!world_.stopping) {
      const auto before = SuspendAwareNow();
      co_await Wait(kPoll);
      const auto now = SuspendAwareNow();
      if (now - before > kPoll + kLateness) {
        ++held_up_;
        judge_.OnFaultBegan("everything", false, before);
        judge_.OnFaultEnded("everything", false, now);
      }
      system_.TakeReports();
      PrintNewViolations();
    }
  }

  void PrintNewViolations() {
    const auto& all = judge_.Violations();
    for (; printed_ < all.size(); ++printed_) {
      const auto& each = all[printed_];
      std::cout << "BROKEN " << NameOf(each.broken) << ' ' << each.request
                << ": " << each.detail << std::endl;
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
              << "\nheld up: " << held_up_
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
  caller_world world_;
  std::map<std::string, int> injected_;
  int faults_running_{};
  int held_up_{};
  std::size_t printed_{};
};

run_options ReadCommandLine(int count, char** words) {
  TCLAP::CmdLine line(
      "Runs daemons as processes, faults them from outside and checks what "
      "callers, upstreams and the platform see",
      ' ', "0.1.0");
  const TCLAP::ValueArg<std::uint64_t> seed(
      "", "seed", "Seed of the run; by default a fresh one", false,
      std::random_device{}(), "NUMBER", line);
  const TCLAP::ValueArg<double> minutes("", "minutes", "Time with faults",
                                        false, 1, "MINUTES", line);
  const TCLAP::ValueArg<std::size_t> processes("", "processes", "Daemons",
                                               false, 5, "COUNT", line);
  const TCLAP::ValueArg<std::size_t> callers(
      "", "callers", "Callers, one request at a time each", false, 24, "COUNT",
      line);
  const TCLAP::ValueArg<std::string> daemon(
      "", "daemon", "Program of the daemon, mimosadeckd_shifted_clock", true,
      "", "FILE", line);
  const TCLAP::ValueArg<std::string> directory(
      "", "directory", "Where settings and logs go", false,
      (std::filesystem::temp_directory_path() / "mimosadeck_soak").string(),
      "DIRECTORY", line);
  const TCLAP::SwitchArg untimed(
      "", "untimed", "Judge nothing by the clock, for slow machines", line);
  line.parse(count, words);
  run_options out;
  out.seed = seed.getValue();
  out.length = std::chrono::duration_cast<std::chrono::seconds>(
      std::chrono::duration<double, std::ratio<60>>(minutes.getValue()));
  out.callers = callers.getValue();
  out.checks.timed = !untimed.getValue();
  out.system.entries = processes.getValue();
  out.system.daemon = daemon.getValue();
  out.system.directory = directory.getValue() + '/' + std::to_string(out.seed);
  return out;
}

}  // namespace
}  // namespace mimosadeck::soak

int main(int count, char** words) {
  try {
    const auto options = mimosadeck::soak::ReadCommandLine(count, words);
    std::cout << "seed: " << options.seed << std::endl;
    mimosadeck::soak::soak_run run(options);
    return run.Run();
  } catch (const std::exception& failure) {
    std::cerr << "soak: " << failure.what() << '\n';
    return 3;
  }
}
