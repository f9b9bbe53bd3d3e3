#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include <tclap/CmdLine.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>

#include "mimosadeckd/accounts.h"
#include "mimosadeckd/bookings.h"
#include "mimosadeckd/caller.h"
#include "mimosadeckd/edge/daemon.h"
#include "mimosadeckd/fleet.h"
#include "mimosadeckd/leases.h"
#include "mimosadeckd/operators.h"
#include "mimosadeckd/pools.h"

namespace mimosadeck::daemon {
namespace internal {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitBadSettings = 2;
constexpr unsigned kIncarnationRandomBits = 16;
/** Longest wait for requests in progress; in effect without limit, since an
 * operator ends the wait with a second signal. */
constexpr std::chrono::hours kMaxDrainTime{24};

std::uint64_t MakeIncarnationNumber(std::mt19937_64& random) {
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  constexpr std::uint64_t kRandomMask = (1U << kIncarnationRandomBits) - 1U;
  return (static_cast<std::uint64_t>(millis.count())
          << kIncarnationRandomBits) |
         (random() & kRandomMask);
}

/** Retry-After of a request that was cut for the memory of others. */
constexpr std::chrono::milliseconds kMemoryRetryAfter{1000};
/** Share of the process's descriptors for each of its two listeners; the rest
 * is for upstreams, the store and other entries. */
constexpr std::size_t kDescriptorDivisor = 3;

net::http_response MakeServerRefusal(int status, const std::string& message) {
  constexpr int kTooLarge = 413;
  constexpr int kTimeout = 408;
  constexpr int kUnavailable = 503;
  refusal reason;
  if (status == kUnavailable) {
    reason.code = result_code::receive_memory_full;
    reason.retry_after = kMemoryRetryAfter;
    return RefusalResponse(reason);
  }
  reason.code = status == kTooLarge  ? result_code::body_too_large
                : status == kTimeout ? result_code::caller_too_slow
                                     : result_code::malformed_http;
  reason.message = message;
  return RefusalResponse(reason);
}

/**
 * Size from which the C library returns freed memory to the system at once.
 * Without a fixed size it rises with the blocks that are freed, up to 32 MB;
 * the memory of many bodies then stays with the process in pieces.
 */
constexpr int kMmapThresholdBytes = 128 * 1024;

/** @brief Returns the number of connections that a listener may have open; 0 if
 * the system states no limit of descriptors. */
std::size_t MaxConnections() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
      limit.rlim_cur == RLIM_INFINITY) {
    return 0;
  }
  return std::max<std::size_t>(1, limit.rlim_cur / kDescriptorDivisor);
}

/** @brief Owns and runs the components of an entry, a daemon on an entry VM. */
class entry_daemon {
 public:
  explicit entry_daemon(const settings::daemon_settings& settings)
      : settings_(settings),
        state_(control_io_, settings_, metrics_),
        tracer_(telemetry::MakeTracer(settings_.id, settings_.trace_file)),
        peers_(InitControl(state_), settings_.peer_address),
        fleet_(state_, peers_),
        pools_(state_, peers_, *tracer_),
        bookings_(state_, peers_),
        accounts_(state_, peers_),
        leases_(state_),
        callers_(state_, pools_, bookings_, accounts_, *tracer_),
        operators_(state_,
                   fleet_,
                   pools_,
                   bookings_,
                   leases_,
                   peers_,
                   [this] { BeginStop(); }),
        signals_(control_io_, SIGTERM, SIGINT) {}

  int Run() {
    std::vector<asio::io_context*> traffic_contexts;
    std::vector<asio::executor_work_guard<asio::io_context::executor_type>>
        guards;
    for (std::uint32_t i = 0; i < settings_.traffic_threads; ++i) {
      traffic_io_.push_back(std::make_unique<asio::io_context>(1));
      traffic_contexts.push_back(traffic_io_.back().get());
      guards.push_back(asio::make_work_guard(*traffic_contexts.back()));
    }
    net::server_options options;
    options.limits.body_limit_bytes = settings_.body_limit_bytes;
    options.limits.header_timeout = settings_.caller_timeout;
    options.limits.body_timeout = settings_.caller_timeout;
    options.refuse = MakeServerRefusal;
    net::receive_options memory;
    memory.limit_bytes = settings_.receive_memory_bytes;
    options.receive_budget = std::make_shared<net::receive_budget>(memory);
    options.max_connections = MaxConnections();
    options.on_cut = [this](std::string_view cause,
                            const std::string& address) {
      state_.metrics.Count("mimosadeck_callers_cut_off_total", "reason",
                           std::string(cause));
      telemetry::Log(telemetry::level::warning, "caller_cut_off",
                     {{"reason", cause}, {"address", address}});
    };
    options.on_undelivered = [](const net::undelivered_response& lost) {
      telemetry::Log(telemetry::level::info, "response_undelivered",
                     {{"address", lost.address},
                      {"reason", lost.reason},
                      {"bytes", std::to_string(lost.bytes)}});
    };
    caller_server_ = std::make_unique<net::http_server>(
        traffic_contexts, settings_.caller_address, options,
        [this](auto request, auto& exchange) {
          return callers_.Handle(std::move(request), exchange);
        });
    operator_server_ = std::make_unique<net::http_server>(
        std::vector<asio::io_context*>{&control_io_},
        settings_.operator_address, options,
        [this](auto request, auto& exchange) {
          return operators_.Handle(std::move(request), exchange);
        });
    fleet_.Join(caller_server_->Address(), operator_server_->Address());
    fleet_.AddConfigHandler([this] { pools_.OnConfigChange(); });
    fleet_.Start();
    pools_.Start();
    bookings_.Start();
    accounts_.Start();
    leases_.Start();
    WaitForSignal();
    std::cout << "CALLERS=" << caller_server_->Address() << '\n'
              << "OPERATORS=" << operator_server_->Address() << '\n'
              << "PEERS=" << peers_.Address() << std::endl;
    std::vector<std::thread> threads;
    threads.reserve(traffic_contexts.size());
    for (auto* context : traffic_contexts) {
      threads.emplace_back([context] { context->run(); });
    }
    control_io_.run();
    for (auto* context : traffic_contexts) {
      context->stop();
    }
    for (auto& thread : threads) {
      thread.join();
    }
    return kExitOk;
  }

 private:
  static control_state& InitControl(control_state& state) {
    state.started_at = Now();
    state.incarnation_number = MakeIncarnationNumber(state.random);
    state.incarnation =
        IncarnationName(state.settings.id, state.incarnation_number);
    state.membership_options.interval = state.settings.heartbeat_interval;
    return state;
  }

  void WaitForSignal() {
    signals_.async_wait([this](boost::system::error_code failure, int) {
      if (failure) {
        return;
      }
      if (signalled_) {
        telemetry::Log(telemetry::level::warning, "stopped_at_once", {});
        control_io_.stop();
        return;
      }
      signalled_ = true;
      BeginStop();
      WaitForSignal();
    });
  }

  void BeginStop() {
    if (!state_.draining) {
      asio::co_spawn(control_io_, Stop(), asio::detached);
    }
  }

  /** @brief Planned stop; requests in progress run to their end. */
  asio::awaitable<void> Stop() {
    telemetry::Log(telemetry::level::info, "stop_began", {});
    fleet_.Leave();
    caller_server_->CloseAfterResponses();
    co_await Sleep(settings_.entries_time_to_live);
    static_cast<void>(co_await caller_server_->Drain(kMaxDrainTime));
    co_await bookings_.HandOver();
    co_await leases_.HandOver();
    co_await accounts_.FlushAll();
    co_await fleet_.Unregister();
    state_.stopping = true;
    operator_server_->StopAccepting();
    telemetry::Log(telemetry::level::info, "stopped", {});
    control_io_.stop();
  }

  settings::daemon_settings settings_;
  asio::io_context control_io_{1};
  std::vector<std::unique_ptr<asio::io_context>> traffic_io_;
  telemetry::metrics metrics_;
  control_state state_;
  std::shared_ptr<opentracing::Tracer> tracer_;
  peers peers_;
  fleet fleet_;
  pools pools_;
  bookings bookings_;
  accounts accounts_;
  leases leases_;
  caller_handler callers_;
  operator_handler operators_;
  asio::signal_set signals_;
  /** A signal was received; the next one stops at once. */
  bool signalled_{};
  std::unique_ptr<net::http_server> caller_server_;
  std::unique_ptr<net::http_server> operator_server_;
};

void PrintErrors(const std::vector<error>& errors) {
  for (const auto& problem : errors) {
    std::cerr << static_cast<int>(problem.code) << ' '
              << ResultCodeName(problem.code) << ": " << problem.message
              << '\n';
  }
}

/** @brief Runs on the users' platform, whose settings file has its own format.
 */
int RunOnPlatform(const std::string& path,
                  const std::string& metrics_port,
                  bool check_only) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  if (!file) {
    PrintErrors({{result_code::file_unreadable, path}});
    return kExitBadSettings;
  }
  auto read = platform::ReadSettings(text.str());
  if (const auto* errors = std::get_if<std::vector<error>>(&read)) {
    PrintErrors(*errors);
    return kExitBadSettings;
  }
  if (check_only) {
    std::cout << path << ": good" << std::endl;
    return kExitOk;
  }
  auto& machine = std::get<platform::machine_settings>(read);
  telemetry::StartLogging(machine.name, telemetry::log_target::standard_output);
  return edge::RunEdge(std::move(machine), path, metrics_port);
}

std::string PlatformSettingsPath() {
  const char* path = std::getenv(platform::kSettingsVariable);
  return path ? path : "";
}

int Run(const std::string& path, bool check_only) {
  const auto loaded = settings::LoadSettings(path);
  if (const auto* errors = std::get_if<std::vector<error>>(&loaded)) {
    PrintErrors(*errors);
    return kExitBadSettings;
  }
  const auto& file = std::get<settings::settings_file>(loaded);
  if (check_only) {
    std::cout << path << ": good" << std::endl;
    return kExitOk;
  }
  if (!file.has_daemon) {
    std::cerr << path << ": no `daemon` part\n";
    return kExitBadSettings;
  }
  telemetry::StartLogging(file.daemon.id);
  // Not destroyed: after a second signal, suspended coroutines of one context
  // still refer to objects of another one.
  auto* daemon = std::make_unique<entry_daemon>(file.daemon).release();
  return daemon->Run();
}

}  // namespace
}  // namespace internal
}  // namespace mimosadeck::daemon

int main(int argc, char** argv) {
  constexpr int kExitFailure = 1;
  mallopt(M_MMAP_THRESHOLD, mimosadeck::daemon::internal::kMmapThresholdBytes);
  try {
    TCLAP::CmdLine line("mimosadeck entry daemon", ' ', "0.1.0");
    TCLAP::SwitchArg check("", "check-settings",
                           "Check the file, list every error, and exit", line);
    TCLAP::SwitchArg platform(
        "", "platform",
        "Run on the users' platform; the file defaults to the one that the "
        "environment names",
        line);
    TCLAP::ValueArg<std::string> metrics_port(
        "", "metrics-port",
        "Port that serves metrics on the users' platform; 9464 is the usual "
        "one of Prometheus exporters",
        false, "9464", "PORT", line);
    TCLAP::UnlabeledValueArg<std::string> file(
        "file", "Settings file, JSON with comments", false, "", "FILE", line);
    line.parse(argc, argv);
    namespace run = mimosadeck::daemon::internal;
    if (platform.getValue()) {
      return run::RunOnPlatform(
          file.isSet() ? file.getValue() : run::PlatformSettingsPath(),
          metrics_port.getValue(), check.getValue());
    }
    return run::Run(file.getValue(), check.getValue());
  } catch (const std::exception& failure) {
    std::cerr << "mimosadeckd: " << failure.what() << '\n';
    return kExitFailure;
  }
}
