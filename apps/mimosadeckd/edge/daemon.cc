#include "mimosadeckd/edge/daemon.h"

#include <csignal>
#include <fstream>
#include <sstream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/signal_set.hpp>

#include "mimosadeckd/edge/duties.h"
#include "mimosadeckd/edge/gossip.h"
#include "mimosadeckd/edge/observe.h"
#include "mimosadeckd/edge/requests.h"
#include "mimosadeckd/edge/rows.h"
#include "mimosadeckd/edge/state.h"
#include "mimosadeckd/edge/sync.h"
#include "mimosadeckd/edge/tasks.h"
#include "mimosadeckd/edge/work.h"
#include "mimosadeckd/refusal.h"

namespace mimosadeck::edge {
namespace internal {
namespace {

constexpr std::chrono::milliseconds kStopPollInterval{50};
/** Time at the end of a planned stop for error responses to requests that have
 * no answer yet. */
constexpr std::chrono::milliseconds kErrorResponseTime{100};
/** Connections stay open for this multiple of the idle limit: callers reuse
 * them up to the limit they know, which a new manifest may have lowered. */
constexpr int kIdleFactor = 2;
constexpr std::chrono::milliseconds kBodyTimeout{10000};

net::http_response PlainText(std::string text, std::string_view type) {
  net::http_response out;
  out.fields["content-type"] = std::string(type);
  out.body = std::move(text);
  return out;
}

net::http_response NotFound() {
  return daemon::RefusalResponse(
      {result_code::unknown_route, executed::no, {}, ""});
}

/** Retry-After of a request that was cut for the memory of others. */
constexpr std::chrono::milliseconds kMemoryRetryAfter{500};
/** Shares of the sockets: connections of callers, of which each may have one to
 * an upstream, and those of each internal listener. */
constexpr double kCallerSocketFraction = 0.36;
constexpr double kInternalSocketFraction = 0.04;

std::size_t SocketShare(const platform::machine_settings& machine,
                        double fraction) {
  return std::max<std::size_t>(
      1, static_cast<std::size_t>(fraction *
                                  static_cast<double>(MaxSockets(machine))));
}

net::http_response ConnectionRefusal(int status, const std::string& message) {
  constexpr int kTooLarge = 413;
  constexpr int kTimeout = 408;
  constexpr int kUnavailable = 503;
  if (status == kUnavailable) {
    auto out = daemon::RefusalResponse({result_code::receive_memory_full,
                                        executed::no, kMemoryRetryAfter, ""});
    out.fields["retry-after"] = platform::EncodeRetryAfter(kMemoryRetryAfter);
    return out;
  }
  const auto code = status == kTooLarge  ? result_code::body_too_large
                    : status == kTimeout ? result_code::caller_too_slow
                                         : result_code::malformed_http;
  auto out = daemon::RefusalResponse({code, executed::no, {}, message});
  out.status = status;
  return out;
}

/** @brief All components of an entry, run on one thread. */
class edge_daemon {
 public:
  edge_daemon(platform::machine_settings machine,
              std::string settings_path,
              std::string metrics_port)
      : settings_path_(std::move(settings_path)),
        metrics_port_(std::move(metrics_port)),
        state_(io_, std::move(machine)),
        gossip_(state_),
        duties_(state_),
        signals_(io_, SIGTERM, SIGINT, SIGHUP) {}

  int Run() {
    telemetry::Log(telemetry::level::info, "started",
                   {{"entry", state_.machine.name},
                    {"data_centre", state_.machine.data_centre},
                    {"incarnation", std::to_string(state_.incarnation)}});
    Listen();
    gossip_.Start();
    StartLoops();
    WaitForSignal();
    io_.run();
    return 0;
  }

 private:
  void StartLoops() {
    KeepRunning(io_, "follow_manifest",
                [this] { return FollowManifest(state_); });
    KeepRunning(io_, "follow_upstreams",
                [this] { return FollowUpstreams(state_); });
    KeepRunning(io_, "catch_up_on_manifest",
                [this] { return CatchUpOnManifest(state_); });
    KeepRunning(io_, "catch_up_on_upstreams",
                [this] { return CatchUpOnUpstreams(state_); });
    KeepRunning(io_, "duties", [this] { return duties_.Run(); });
  }

  void Listen() {
    const std::vector<asio::io_context*> contexts{&io_};
    auto options = ServerOptions("callers", kCallerSocketFraction);
    options.current_limits = [this] { return CurrentLimits(); };
    options.owner_of = [this](const net::http_fields& fields) {
      return AccountOf(fields);
    };
    callers_ = std::make_unique<net::http_server>(
        contexts, state_.machine.caller_address, options,
        [this](auto request, auto& exchange) {
          return ServeCaller(state_, std::move(request), exchange);
        });
    const auto serve = [this](net::http_request request,
                              net::exchange& exchange) {
      return ServeInternal(std::move(request), exchange);
    };
    const auto internal_options =
        ServerOptions("internal", kInternalSocketFraction);
    auto& machine = state_.machine;
    machine.caller_address = callers_->Address();
    auto metrics_address = machine.ip + ':' + metrics_port_;
    for (auto* address : {&machine.ready_address, &machine.directory_address,
                          &machine.control_address, &metrics_address}) {
      internal_servers_.push_back(std::make_unique<net::http_server>(
          contexts, *address, internal_options, serve));
      *address = internal_servers_.back()->Address();
    }
    telemetry::Log(telemetry::level::info, "listening",
                   {{"callers", machine.caller_address},
                    {"ready", machine.ready_address},
                    {"directory", machine.directory_address},
                    {"control", machine.control_address},
                    {"metrics", metrics_address}});
  }

  /** @param listener Name of the listener, for metrics and the log. */
  net::server_options ServerOptions(const std::string& listener,
                                    double socket_fraction) {
    net::server_options out;
    out.refuse = ConnectionRefusal;
    out.receive_budget = state_.receive_budget;
    out.max_connections = SocketShare(state_.machine, socket_fraction);
    out.on_cut = [this, listener](std::string_view reason,
                                  const std::string& address) {
      state_.metrics.Count("mimosadeck_callers_cut_off_total", "reason",
                           listener + '_' + std::string(reason));
      telemetry::Log(
          telemetry::level::warning, "caller_cut_off",
          {{"listener", listener}, {"reason", reason}, {"address", address}});
    };
    out.on_undelivered = [this,
                          listener](const net::undelivered_response& lost) {
      state_.metrics.Count("mimosadeck_responses_undelivered_total", "listener",
                           listener);
      telemetry::Log(telemetry::level::info, "response_undelivered",
                     {{"listener", listener},
                      {"request", lost.request},
                      {"address", lost.address},
                      {"reason", lost.reason},
                      {"bytes", std::to_string(lost.bytes)}});
    };
    return out;
  }

  /** @brief Returns the name of the client account that sends a request; empty
   * if its key is not known. */
  [[nodiscard]] std::string AccountOf(const net::http_fields& fields) const {
    const auto decoded = platform::DecodeCallerRequest(fields);
    const auto* request = std::get_if<platform::caller_request>(&decoded);
    const auto* account = request && state_.table
                              ? state_.table->AccountOf(request->key)
                              : nullptr;
    return account ? "account " + account->name : std::string{};
  }

  [[nodiscard]] net::connection_limits CurrentLimits() const {
    net::connection_limits out;
    out.body_timeout = kBodyTimeout;
    if (state_.table) {
      const auto& limits = state_.table->Limits();
      out.header_limit_bytes = limits.header_bytes;
      out.body_limit_bytes = limits.body_bytes;
      out.header_timeout = limits.header_timeout;
      out.idle_timeout = limits.idle_timeout * kIdleFactor;
    }
    return out;
  }

  asio::awaitable<void> ServeInternal(net::http_request request,
                                      net::exchange& exchange) {
    auto response = HandleInternalRequest(request);
    co_await exchange.Respond(std::move(response));
  }

  net::http_response HandleInternalRequest(const net::http_request& request) {
    if (platform::IsReadyQuery(request)) {
      return platform::EncodeReadyAnswer(IsReady(state_));
    }
    if (const auto query = platform::DecodeDirectoryQuery(request)) {
      const fleet::self_entry self{state_.machine.caller_address,
                                   state_.machine.data_centre, IsReady(state_)};
      return platform::EncodeDirectoryAnswer(
          fleet::AddressesFor(
              state_.members, state_.fleet_options, self, query->data_centre,
              platform::kMaxDirectoryAddresses, SuspendAwareNow()),
          std::min(kDirectoryTtl, state_.machine.bounds.directory_ttl));
    }
    if (request.target.starts_with(kManifestPath) && state_.table) {
      return EncodeManifestResponse(request.target);
    }
    if (request.target.starts_with(kUpstreamsPath) &&
        state_.registry_synced_at) {
      return PlainText(EncodeRegistry(state_, request.target),
                       "application/octet-stream");
    }
    if (request.target == "/metrics") {
      RefreshGauges(state_);
      return PlainText(state_.metrics.Text(), "text/plain; version=0.0.4");
    }
    return NotFound();
  }

  net::http_response EncodeManifestResponse(std::string_view target) {
    auto encoded = EncodeManifest(state_, target);
    if (const auto* failed = std::get_if<error>(&encoded)) {
      telemetry::Log(telemetry::level::error, "manifest_not_encoded",
                     {{"reason", failed->message}});
      return NotFound();
    }
    return PlainText(std::get<std::string>(std::move(encoded)),
                     "application/octet-stream");
  }

  void WaitForSignal() {
    signals_.async_wait([this](boost::system::error_code failure, int signal) {
      if (failure) {
        return;
      }
      if (signal == SIGHUP) {
        Reload();
      } else if (!state_.stop) {
        Spawn(io_, "stop", Stop());
      }
      WaitForSignal();
    });
  }

  /** @brief Reloads the agreed bounds; requests in progress are unaffected. */
  void Reload() {
    std::ifstream file(settings_path_);
    std::stringstream text;
    text << file.rdbuf();
    auto read = platform::ReadSettings(text.str());
    if (const auto* errors = std::get_if<std::vector<error>>(&read)) {
      for (const auto& failure : *errors) {
        telemetry::Log(telemetry::level::error, "settings_refused",
                       {{"reason", failure.message}});
      }
      return;
    }
    state_.machine.bounds = std::get<platform::machine_settings>(read).bounds;
    telemetry::Log(telemetry::level::info, "settings_reloaded",
                   {{"file", settings_path_}});
  }

  /** @brief Performs a planned stop: waits until callers have switched to other
   * entries and requests have ended, up to the grace period. */
  asio::awaitable<void> Stop() {
    const auto began = SuspendAwareNow();
    const auto ends =
        began + forwarding::StopDuration(state_.machine.bounds.stop_grace);
    state_.stop = planned_stop{began, ends};
    telemetry::Log(
        telemetry::level::info, "stop_began",
        {{"requests_running", std::to_string(callers_->ActiveExchanges())}});
    callers_->CloseAfterResponses();
    duties_.Release();
    gossip_.Announce();
    const auto callers_refreshed_at =
        began + kDirectoryTtl * kDirectoryTtlFactor;
    const auto cancels_at = ends - kErrorResponseTime;
    while (SuspendAwareNow() < cancels_at &&
           (SuspendAwareNow() < callers_refreshed_at ||
            callers_->ActiveExchanges() > 0)) {
      co_await Sleep(kStopPollInterval);
    }
    if (SuspendAwareNow() >= cancels_at) {
      CancelUnanswered(state_);
    }
    gossip_.Announce();
    bool is_row_removed = false;
    asio::co_spawn(
        io_, RemoveMemberRow(state_),
        [&is_row_removed](std::exception_ptr) { is_row_removed = true; });
    const auto time_left =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            ends - SuspendAwareNow());
    const auto cut_off = co_await callers_->Drain(time_left);
    while (!is_row_removed && SuspendAwareNow() < ends) {
      co_await Sleep(kStopPollInterval);
    }
    state_.stopping = true;
    LogRequestsCutOff(state_);
    telemetry::Log(telemetry::level::info, "stopped",
                   {{"requests_cut_off", std::to_string(cut_off)}});
    io_.stop();
  }

  std::string settings_path_;
  std::string metrics_port_;
  asio::io_context io_{1};
  edge_state state_;
  gossip gossip_;
  duties duties_;
  asio::signal_set signals_;
  std::unique_ptr<net::http_server> callers_;
  std::vector<std::unique_ptr<net::http_server>> internal_servers_;
};

}  // namespace
}  // namespace internal

int RunEdge(platform::machine_settings machine,
            const std::string& settings_path,
            const std::string& metrics_port) {
  internal::edge_daemon daemon(std::move(machine), settings_path, metrics_port);
  return daemon.Run();
}

}  // namespace mimosadeck::edge
