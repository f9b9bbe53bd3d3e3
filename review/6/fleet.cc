#include "fleet.h"

#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "../../test/platform/wait.h"

namespace mimosadeck::review {

namespace asio = boost::asio;
namespace json = boost::json;
using platform_test::Wait;
using std::chrono::milliseconds;

namespace internal {
namespace {

constexpr milliseconds kHeartbeat{1200};
constexpr milliseconds kReadyInterval{200};
constexpr milliseconds kReadyTimeout{30000};
constexpr milliseconds kStep{5};
constexpr int kZones = 3;
/** Requests to an upstream that run at once; large, so that none is full. */
constexpr int kSlots = 64;

std::string ZoneOf(std::size_t number) {
  return std::string("zone-") + static_cast<char>('a' + number % kZones);
}

/** Returns the first two numbers of loopback addresses that another run of a
 * case is unlikely to use at the same time. */
std::string Network() {
  constexpr int kFirst = 20;
  constexpr int kNetworks = 200;
  constexpr int kSubnets = 250;
  const auto id = getpid();
  return "127." + std::to_string(kFirst + id % kNetworks) + '.' +
         std::to_string(1 + id / kNetworks % kSubnets) + '.';
}

}  // namespace
}  // namespace internal

fleet::fleet(asio::io_context& io, fleet_options options)
    : store(io),
      io_(io),
      options_(std::move(options)),
      started_at_(steady::now()) {
  directory_ = std::filesystem::temp_directory_path() /
               ("mimosadeck_review." + std::to_string(getpid()));
  std::filesystem::create_directories(directory_);
  const char* record = std::getenv("CASE_RECORD");
  record_.open(record ? record : "record.txt");
  const auto network = internal::Network();
  for (std::size_t i = 0; i < options_.upstreams; ++i) {
    auto& added = *upstreams.emplace_back(
        std::make_unique<platform_test::upstream_stand_in>(
            io_, "worker-" + std::to_string(i)));
    added.data_centre = internal::ZoneOf(i);
    added.slots = internal::kSlots;
    states_.emplace_back("ready");
    Register(i, "ready");
  }
  for (std::size_t i = 0; i < options_.entries; ++i) {
    auto& added = *entries.emplace_back(std::make_unique<entry>());
    added.name = "front-" + std::to_string(i);
    added.ip = network + std::to_string(i + 1);
    added.zone = internal::ZoneOf(i);
    added.has_fast_link = i < std::size_t{2} * internal::kZones;
    added.settings = directory_ / (added.name + ".json");
    added.store_link = std::make_unique<soak::link_proxy>(io_, store.Address());
  }
}

fleet::~fleet() {
  is_ending_ = true;
  for (auto& each : entries) {
    each->process.reset();
  }
  std::error_code ignored;
  std::filesystem::remove_all(directory_, ignored);
}

void fleet::StartProcess(entry& target) {
  constexpr int kFront = 8227;
  constexpr int kReady = 8220;
  constexpr int kControl = 8229;
  constexpr int kDirectory = 8224;
  const auto at = [](const std::string& ip, int port) {
    return ip + ':' + std::to_string(port);
  };
  json::array seeds;
  for (std::size_t i = 0; i < std::min<std::size_t>(3, entries.size()); ++i) {
    seeds.emplace_back(at(entries[i]->ip, kControl));
  }
  target.callers = at(target.ip, kFront);
  target.ready = at(target.ip, kReady);
  const auto mbps =
      target.has_fast_link ? options_.fast_mbps : options_.slow_mbps;
  const json::object content{
      {"node_name", target.name},
      {"role", "entry"},
      {"machine_class", "front"},
      {"serves", {"front", "directory", "control"}},
      {"ip", target.ip},
      {"zone", target.zone},
      {"region", "region"},
      {"listen",
       {{"front", target.callers},
        {"ready", target.ready},
        {"control", at(target.ip, kControl)},
        {"directory", at(target.ip, kDirectory)}}},
      {"port_range", {7340, 7355}},
      {"seeds", std::move(seeds)},
      {"bootstrap", true},
      {"limits", {{"memory_mb", 260}, {"max_fds", 4100}, {"link_mbps", mbps}}},
      {"heartbeat_ms", internal::kHeartbeat.count()},
      {"bounds", options_.bounds},
      {"provider", {{"address", target.store_link->Address()}}},
      {"cloud_api", {{"address", store.Address()}, {"duties", {"usage"}}}}};
  std::ofstream(target.settings) << json::serialize(content);
  system_test::process_options options;
  options.log_file = (directory_ / (target.name + ".log")).string();
  options.environment = {"MIMOSADECK_CONFIG=" + target.settings.string()};
  target.process = std::make_unique<system_test::process>(
      target.name,
      std::vector<std::string>{"target/apps/mimosadeckd", "--platform"},
      options);
}

bool fleet::Start() {
  asio::co_spawn(io_, Beat(), asio::detached);
  for (auto& each : entries) {
    StartProcess(*each);
  }
  for (auto& each : entries) {
    asio::co_spawn(io_, WatchReady(*each), asio::detached);
  }
  const auto end = steady::now() + internal::kReadyTimeout;
  const auto all_ready = [this] {
    return std::all_of(entries.begin(), entries.end(),
                       [](const auto& each) { return each->is_ready; });
  };
  while (!all_ready() && steady::now() < end) {
    Run(internal::kReadyInterval);
  }
  return all_ready();
}

void fleet::Run(milliseconds time) {
  const auto end = steady::now() + time;
  while (steady::now() < end) {
    io_.restart();
    io_.run_for(std::min(internal::kStep,
                         std::chrono::ceil<milliseconds>(end - steady::now())));
  }
}

asio::awaitable<void> fleet::Beat() {
  while (!is_ending_) {
    for (std::size_t i = 0; i < states_.size(); ++i) {
      if (!states_[i].empty()) {
        Register(i, states_[i]);
      }
    }
    co_await Wait(internal::kHeartbeat);
  }
}

asio::awaitable<void> fleet::WatchReady(entry& target) {
  while (!target.is_ready && !is_ending_) {
    co_await Wait(internal::kReadyInterval);
    net::http_call call(connections_, io_.get_executor());
    net::http_request request;
    request.target = "/v1/ready";
    net::call_options options;
    options.server = options.address = target.ready;
    options.deadline = steady::now() + std::chrono::seconds(1);
    const auto failed =
        co_await call.Send(std::move(request), std::move(options));
    target.is_ready = !failed && call.Status() == 200;
  }
}

void fleet::Register(std::size_t upstream, const std::string& state) {
  states_[upstream] = state;
  store.Put("servers", "worker-" + std::to_string(upstream),
            upstreams[upstream]->Entry(state));
}

void fleet::Deregister(std::size_t upstream) {
  states_[upstream].clear();
  store.Drop("servers", "worker-" + std::to_string(upstream));
}

void fleet::Note(const std::string& line) {
  const auto at =
      std::chrono::duration_cast<milliseconds>(steady::now() - started_at_);
  record_ << at.count() << " ms " << line << std::endl;
}

void fleet::NoteRuns() {
  for (std::size_t i = 0; i < upstreams.size(); ++i) {
    for (const auto& run : upstreams[i]->runs) {
      record_ << "worker-" << i << " ran "
              << net::FieldOf(run.request.fields, "x-request-id")
              << " for account " << net::FieldOf(run.request.fields, "x-tenant")
              << " as " << run.stamp << std::endl;
    }
  }
}

void fleet::Send(const entry& target,
                 const request_options& options,
                 std::vector<exchange_record>& records) {
  exchange_record record;
  record.id = "r" + std::to_string(++last_request_);
  record.entry = target.name;
  record.key = options.key;
  record.sent_at = steady::now();
  ++open_requests_;
  auto address = target.callers;
  auto copy = options;
  asio::co_spawn(
      io_,
      Exchange(std::move(address), std::move(copy), std::move(record), records),
      [this](std::exception_ptr) { --open_requests_; });
}

asio::awaitable<void> fleet::Exchange(std::string address,
                                      request_options options,
                                      exchange_record record,
                                      std::vector<exchange_record>& records) {
  net::http_call call(connections_, io_.get_executor());
  net::http_request request;
  request.method = "POST";
  request.target = options.target;
  request.fields = {
      {"host", "h.example"},
      {"x-request-id", record.id},
      {"x-request-deadline-ms", std::to_string(options.timeout.count())},
      {"x-api-key", options.key}};
  request.body = "body of " + record.id;
  net::call_options call_options;
  // A connection of its own for each request.
  call_options.server = address + '/' + record.id;
  call_options.address = std::move(address);
  call_options.deadline = steady::now() + options.timeout;
  const auto failed =
      co_await call.Send(std::move(request), std::move(call_options));
  if (!failed) {
    record.status = call.Status();
    record.stamp = net::FieldOf(call.Fields(), "x-server-stamp");
    while (true) {
      auto piece = co_await call.ReadPiece();
      const auto* bytes = std::get_if<std::string>(&piece);
      record.complete = bytes && bytes->empty();
      if (!bytes || bytes->empty()) {
        break;
      }
      record.body += *bytes;
    }
  }
  records.push_back(std::move(record));
}

void fleet::Finish(milliseconds timeout) {
  const auto end = steady::now() + timeout;
  while (open_requests_ > 0 && steady::now() < end) {
    Run(internal::kStep);
  }
}

json::object Route(const std::string& prefix,
                   const std::string& kind,
                   int attempts,
                   bool resumable) {
  return {
      {"name", prefix},  {"host", "h.example"},    {"prefix", prefix},
      {"kind", kind},    {"timeout_ms", 3000},     {"goal_ms", 300},
      {"priority", 0},   {"service", "pool"},      {"max_attempts", attempts},
      {"public", false}, {"can_resume", resumable}};
}

std::string Manifest(
    int version,
    const json::array& routes,
    const std::vector<std::pair<std::string, std::vector<std::string>>>&
        accounts) {
  json::array tenants;
  for (const auto& [name, keys] : accounts) {
    json::array encoded;
    for (const auto& key : keys) {
      encoded.emplace_back(key);
    }
    tenants.push_back(
        json::object{{"name", name}, {"api_keys", std::move(encoded)}});
  }
  return json::serialize(
      json::object{{"version", version},
                   {"routes", routes},
                   {"services", {{{"name", "pool"}, {"max_conns", 500}}}},
                   {"limits",
                    {{"max_header_bytes", 16384},
                     {"max_body_bytes", 4194304},
                     {"header_timeout_ms", 5000},
                     {"idle_timeout_ms", 10000}}},
                   {"tenants", std::move(tenants)}});
}

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return !trouble || std::string_view(trouble) != "0";
}

}  // namespace mimosadeck::review
