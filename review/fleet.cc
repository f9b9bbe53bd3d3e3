#include "fleet.h"

#include <csignal>

#include <unistd.h>

#include <iomanip>
#include <stdexcept>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include "../test/platform/wait.h"

namespace mimosadeck::review {

namespace asio = boost::asio;
namespace json = boost::json;
using platform_test::Wait;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view kHost = "desk.example";
constexpr std::string_view kKey = "n2ctnfzs989anu6wsjnb";
constexpr int kCallerPort = 8227;
constexpr int kReadyPort = 8220;
constexpr int kControlPort = 8229;
constexpr int kDirectoryPort = 8224;
constexpr milliseconds kPoll{5};
constexpr milliseconds kHeartbeat{1200};
constexpr milliseconds kRequestInterval{40};
constexpr milliseconds kWorkTime{15};
constexpr milliseconds kTimeLimit{1500};
constexpr milliseconds kReadyTimeout{15000};
/** Callers use an answer of the directory for so long after an entry began to
 * stop. */
constexpr milliseconds kDirectoryTime{1000};
constexpr milliseconds kRestartTime{300};

json::object Route(std::string_view prefix, std::string_view kind) {
  return {{"name", prefix},   {"host", kHost},     {"prefix", prefix},
          {"kind", kind},     {"timeout_ms", 800}, {"goal_ms", 100},
          {"priority", 2},    {"service", "pool"}, {"public", false},
          {"max_attempts", 1}};
}

}  // namespace

fleet::fleet(asio::io_context& io, fleet_options options)
    : store(io),
      duties(io),
      io_(io),
      options_(std::move(options)),
      record_(options_.record),
      started_(std::chrono::steady_clock::now()),
      connections_(4) {
  constexpr int kRange = 200;
  network_ = "127." + std::to_string(20 + getpid() % kRange) + '.' +
             std::to_string(20 + getpid() / kRange % kRange) + '.';
  WriteManifest();
  for (std::size_t i = 0; i < options_.upstreams; ++i) {
    auto& added = *upstreams.emplace_back(
        std::make_unique<platform_test::upstream_stand_in>(
            io_, "i-" + std::to_string(i)));
    added.work_time = kWorkTime;
    added.on_run = [this](const platform_test::upstream_run& run) {
      ++counts.run;
      Record("run " +
             std::string(net::FieldOf(run.request.fields, "x-request-id")) +
             " as " + run.stamp);
    };
    added.slots = 6;
    added.data_centre = std::string(1, static_cast<char>('a' + i));
  }
  RegisterUpstreams();
  for (std::size_t i = 0; i < options_.entries; ++i) {
    auto& added = *entries.emplace_back(std::make_unique<entry>());
    added.name = "front-" + std::string(1, static_cast<char>('a' + i)) + "-1";
    added.ip = network_ + std::to_string(i + 1);
    added.settings_file = options_.directory + '/' + added.name + ".json";
  }
}

fleet::~fleet() = default;

void fleet::Record(const std::string& line) {
  const std::chrono::duration<double> elapsed =
      std::chrono::steady_clock::now() - started_;
  record_ << std::fixed << std::setprecision(3) << elapsed.count() << ' '
          << line << std::endl;
}

void fleet::RecordTotals() {
  Record("requests sent " + std::to_string(counts.sent) + ", run " +
         std::to_string(counts.run) + ", succeeded " +
         std::to_string(counts.succeeded) +
         ", refused or failed with a status " + std::to_string(counts.refused) +
         ", without an answer " + std::to_string(counts.failed));
}

void fleet::WriteManifest() {
  const json::object manifest{
      {"version", 7},
      {"routes", {Route("/book/", "unsafe"), Route("/read/", "safe")}},
      {"services", {{{"name", "pool"}, {"max_conns", 110}}}},
      {"tenants", {{{"name", "hule930"}, {"api_keys", {kKey}}}}}};
  store.Put("op", "config", json::serialize(manifest));
}

void fleet::RegisterUpstreams() {
  for (std::size_t i = 0; i < upstreams.size(); ++i) {
    store.Put("servers", "i-" + std::to_string(i),
              upstreams[i]->Entry("ready"));
  }
}

void fleet::WriteSettings(const entry& target) const {
  const auto at = [&target](int port) {
    return target.ip + ':' + std::to_string(port);
  };
  json::array seeds;
  for (const auto& other : entries) {
    seeds.emplace_back(other->ip + ':' + std::to_string(kControlPort));
  }
  const json::object content{
      {"node_name", target.name},
      {"role", "entry"},
      {"machine_class", "front"},
      {"serves", {"front", "directory", "control"}},
      {"ip", target.ip},
      {"zone", target.name.substr(6, 1)},
      {"listen",
       {{"front", at(kCallerPort)},
        {"ready", at(kReadyPort)},
        {"control", at(kControlPort)},
        {"directory", at(kDirectoryPort)}}},
      {"port_range", {7340, 7355}},
      {"seeds", seeds},
      {"limits", {{"memory_mb", 260}, {"link_mbps", 1000.0}}},
      {"heartbeat_ms", kHeartbeat.count()},
      {"bounds",
       {{"contact_ms", 3000},
        {"drain_ms", 2000},
        {"grace_s", 8},
        {"config_apply_ms", 2000},
        {"retry_budget_ratio", 0.2},
        {"budget_window_s", 10},
        {"budget_extra", 56},
        {"require_fence", true},
        {"lease_ms", 3000},
        {"report_window_s", 5},
        {"usage_late_s", 10},
        {"ttl_max_s", 5}}},
      {"provider", {{"address", store.Address()}, {"form", "table"}}},
      {"cloud_api",
       {{"address", duties.Address()}, {"duties", {"usage", "scale"}}}}};
  std::ofstream(target.settings_file) << json::serialize(content);
}

void fleet::Start(std::size_t number) {
  auto& target = *entries.at(number);
  WriteSettings(target);
  system_test::process_options options;
  options.log_file = options_.directory + '/' + target.name + ".log";
  options.environment = {"MIMOSADECK_CONFIG=" + target.settings_file};
  target.process = std::make_unique<system_test::process>(
      target.name, options_.command, options);
  static_cast<void>(target.process->LineWith("\"listening\""));
  target.is_used = true;
  Record("start " + target.name);
}

asio::awaitable<void> fleet::Restart(std::size_t number) {
  auto& target = *entries.at(number);
  Record("SIGTERM " + target.name);
  target.process->Signal(SIGTERM);
  co_await Wait(kDirectoryTime);
  target.is_used = false;
  while (target.process->IsRunning()) {
    co_await Wait(kPoll);
  }
  Record("ended " + target.name);
  co_await Wait(kRestartTime);
  Start(number);
}

asio::awaitable<int> fleet::Get(std::string address, std::string target) {
  net::http_call call(connections_, io_.get_executor());
  net::http_request request;
  request.target = std::move(target);
  net::call_options options;
  options.server = address;
  options.address = std::move(address);
  options.deadline = std::chrono::steady_clock::now() + kTimeLimit;
  const auto failed =
      co_await call.Send(std::move(request), std::move(options));
  co_return failed ? 0 : call.Status();
}

asio::awaitable<bool> fleet::WaitUntilReady() {
  const auto end = std::chrono::steady_clock::now() + kReadyTimeout;
  for (const auto& item : entries) {
    while (true) {
      auto address = item->ip + ':' + std::to_string(kReadyPort);
      std::string target = "/v1/ready";
      const int status = co_await Get(std::move(address), std::move(target));
      if (status == 200) {
        break;
      }
      if (std::chrono::steady_clock::now() > end) {
        co_return false;
      }
      co_await Wait(kRequestInterval);
    }
  }
  co_return true;
}

asio::awaitable<void> fleet::SendRequest(std::size_t number,
                                         std::uint64_t sequence) {
  const auto& target = *entries[number];
  net::http_call call(connections_, io_.get_executor());
  net::http_request request;
  request.method = sequence % 3 == 0 ? "GET" : "POST";
  request.target =
      (sequence % 3 == 0 ? "/read/" : "/book/") + std::to_string(sequence % 10);
  request.fields = {
      {"host", std::string(kHost)},
      {"x-request-id", "r-" + std::to_string(sequence)},
      {"x-request-deadline-ms", std::to_string(kTimeLimit.count())},
      {"x-api-key", std::string(kKey)}};
  request.body = sequence % 3 == 0 ? "" : "one seat";
  net::call_options options;
  options.address = target.ip + ':' + std::to_string(kCallerPort);
  options.server = options.address;
  options.max_idle_time = milliseconds(2000);
  options.deadline = std::chrono::steady_clock::now() + kTimeLimit;
  ++counts.sent;
  const auto id = request.fields["x-request-id"];
  Record("sent " + id + ' ' + request.target + " to " + target.name);
  const auto failed =
      co_await call.Send(std::move(request), std::move(options));
  if (failed) {
    ++counts.failed;
    Record("no answer to " + id + ": " + failed->message);
    co_return;
  }
  const auto body = co_await call.ReadBody(1U << 20U);
  Record("answered " + id + ' ' + std::to_string(call.Status()));
  if (std::holds_alternative<net::call_failure>(body)) {
    Record("answer to " + id + " breaks off");
    ++counts.failed;
  } else if (call.Status() == 200) {
    ++counts.succeeded;
  } else {
    ++counts.refused;
  }
}

asio::awaitable<void> fleet::SendRequests() {
  for (std::uint64_t sequence = 1;; ++sequence) {
    const auto number = sequence % entries.size();
    if (entries[number]->is_used) {
      asio::co_spawn(io_, SendRequest(number, sequence), asio::detached);
    }
    co_await Wait(kRequestInterval);
  }
}

asio::awaitable<void> fleet::SendHeartbeats() {
  while (true) {
    co_await Wait(kHeartbeat);
    if (store.fault == platform_test::store_fault::none) {
      RegisterUpstreams();
    }
  }
}

asio::awaitable<void> fleet::RecordReports() {
  std::size_t recorded = 0;
  while (true) {
    for (; recorded < duties.reports.size(); ++recorded) {
      const auto& report = duties.reports[recorded];
      Record("usage report from " + report.holder + " epoch " +
             std::to_string(report.fencing) + ' ' + report.body +
             (report.accepted ? " -> 200" : " -> 409"));
    }
    co_await Wait(kPoll);
  }
}

asio::awaitable<void> fleet::ReturnStoreFromCopy(milliseconds away) {
  Record("store away");
  store.fault = platform_test::store_fault::reset;
  co_await Wait(away);
  store.ReturnFromCopy();
  store.fault = platform_test::store_fault::none;
  WriteManifest();
  RegisterUpstreams();
  Record("store back from its copy");
}

std::size_t fleet::NumberOf(const std::string& name) const {
  for (std::size_t i = 0; i < entries.size(); ++i) {
    if (entries[i]->name == name) {
      return i;
    }
  }
  throw std::runtime_error("no entry has the name " + name);
}

}  // namespace mimosadeck::review
