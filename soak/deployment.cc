#include "soak/deployment.h"

#include <sys/types.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

#include <boost/json.hpp>

namespace mimosadeck::soak {

namespace asio = boost::asio;
namespace json = boost::json;
using platform_test::scripted_answer;
using std::chrono::milliseconds;

namespace internal {
namespace {

constexpr int kBillingWindowSeconds = 2;
/** Fraction of requests that a failing upstream does not answer properly. */
constexpr double kFailRate = 0.5;
/** Fraction of slow streams, so that shutdowns happen during requests. */
constexpr double kSlowStreamFraction = 0.3;
constexpr milliseconds kMaxWorkTime{250};
constexpr milliseconds kRouteTimeout{3000};

json::object Route(const std::string& prefix,
                   std::string_view kind,
                   int attempts,
                   bool resumable,
                   milliseconds timeout = kRouteTimeout) {
  return {{"name", prefix},
          {"host", kHost},
          {"prefix", prefix},
          {"kind", kind},
          {"timeout_ms", timeout.count()},
          {"goal_ms", 300},
          {"priority", 0},
          {"service", "pool"},
          {"public", false},
          {"max_attempts", attempts},
          {"can_resume", resumable}};
}

json::object Account(std::string_view name, json::array keys) {
  return {{"name", name}, {"api_keys", std::move(keys)}};
}

std::string DataCentreOf(std::size_t number) {
  return std::string(1, static_cast<char>('a' + number % 3));
}

}  // namespace
}  // namespace internal

std::string RotatingKey(std::uint64_t version) {
  return "key-" + std::to_string(version);
}

std::string RotatingRoute(std::uint64_t version) {
  return "/v" + std::to_string(version) + '/';
}

void entry::Signal(int number) const {
  if (Runs()) {
    process->Signal(number);
  }
}

deployment::deployment(asio::io_context& io,
                       const deployment_options& options,
                       judge& judge,
                       random_source& random)
    : store(io), io_(io), options_(options), judge_(judge), random_(random) {
  std::filesystem::create_directories(options_.directory);
  WriteManifest();
  for (std::size_t i = 0; i < options_.upstreams; ++i) {
    AddUpstream(i);
  }
  for (std::size_t i = 0; i < options_.entries; ++i) {
    AddEntry(i);
  }
}

void deployment::WriteManifest() {
  ++version_;
  json::array routes{
      internal::Route("/safe/", "safe", 2, false),
      internal::Route("/unsafe/", "unsafe", 1, false),
      internal::Route("/resume/", "stream", 2, true, options_.stream_timeout),
      internal::Route("/brief/", "stream", 1, false),
      internal::Route("/once/", "stream", 1, false, options_.stream_timeout)};
  json::array keys;
  const auto oldest = version_ - std::min(version_ - 1, kManifestOverlap);
  for (auto version = oldest; version <= version_; ++version) {
    const auto prefix = RotatingRoute(version);
    routes.push_back(options_.rotating_streams
                         ? internal::Route(prefix, "stream", 1, false,
                                           options_.stream_timeout)
                         : internal::Route(prefix, "safe", 2, false));
    keys.emplace_back(RotatingKey(version));
  }
  const json::object manifest{
      {"version", version_},
      {"routes", std::move(routes)},
      {"services",
       {{{"name", "pool"}, {"max_conns", options_.max_connections}}}},
      {"tenants",
       {internal::Account(kPermanentAccount, {kPermanentKey}),
        internal::Account(kRotatingAccount, std::move(keys))}}};
  store.Put("op", "config", json::serialize(manifest));
  judge_.OnManifest(version_, SuspendAwareNow());
}

void deployment::AddUpstream(std::size_t number) {
  auto& item = *upstreams.emplace_back(std::make_unique<upstream>());
  item.id = "u" + std::to_string(number);
  item.server =
      std::make_unique<platform_test::upstream_stand_in>(io_, item.id);
  item.link = std::make_unique<link_proxy>(io_, item.server->Address());
  item.server->advertised = item.link->Address();
  item.server->data_centre = internal::DataCentreOf(number);
  item.server->choose = [this, &item](const net::http_request& request) {
    item.server->work_time =
        random_.Between(std::chrono::milliseconds(0), internal::kMaxWorkTime);
    return ChooseAnswer(item, request);
  };
  item.server->on_run = [this, &item](const platform_test::upstream_run& run) {
    OnRun(item, run);
    item.server->runs.clear();
  };
  item.server->on_end = [this, &item](const auto& run, bool is_finished) {
    OnEnd(item, run, is_finished);
  };
  store.Put("servers", item.id, item.server->Entry("ready"));
}

void deployment::Reregister(upstream& target, bool new_id) {
  if (new_id) {
    target.id = target.id.substr(0, target.id.find('-')) + '-' +
                std::to_string(++target.generation);
  }
  target.server->ChangeId(target.id);
  store.Put("servers", target.id, target.server->Entry("ready"));
}

scripted_answer deployment::ChooseAnswer(const upstream& source,
                                         const net::http_request& request) {
  const bool is_stream = request.target.starts_with("/once/") ||
                         request.target.starts_with("/resume/");
  const bool fails = source.failing && random_.Chance(internal::kFailRate);
  if (fails) {
    constexpr std::array<scripted_answer, 4> kFailures{
        scripted_answer::failure, scripted_answer::not_run,
        scripted_answer::busy, scripted_answer::broken};
    return is_stream ? scripted_answer::broken_stream
                     : kFailures[random_.Below(kFailures.size())];
  }
  if (!is_stream) {
    return scripted_answer::good;
  }
  return random_.Chance(internal::kSlowStreamFraction)
             ? scripted_answer::slow_stream
             : scripted_answer::stream;
}

void deployment::OnRun(upstream& source,
                       const platform_test::upstream_run& run) {
  ++source.running;
  observed_run seen;
  seen.request = net::FieldOf(run.request.fields, "x-request-id");
  seen.upstream = source.id;
  seen.stamp = run.stamp;
  seen.account = net::FieldOf(run.request.fields, "x-tenant");
  seen.has_key = run.request.fields.contains("x-api-key");
  seen.aborts = run.answer == scripted_answer::broken ||
                run.answer == scripted_answer::broken_stream;
  seen.status = run.answer == scripted_answer::failure ? 500
                : run.answer == scripted_answer::busy  ? 429
                                                       : 200;
  seen.at = SuspendAwareNow();
  judge_.OnRun(seen);
}

void deployment::OnEnd(upstream& source,
                       const platform_test::upstream_run& run,
                       bool is_finished) {
  --source.running;
  const bool is_reset = source.link->Fault() == link_fault::reset;
  judge_.OnRunEnded(
      std::string(net::FieldOf(run.request.fields, "x-request-id")), run.stamp,
      is_finished, !is_finished && is_reset);
}

void deployment::AddEntry(std::size_t number) {
  auto& added = *entries.emplace_back(std::make_unique<entry>());
  added.name = "entry-" + std::to_string(number);
  added.data_centre = internal::DataCentreOf(number);
  // Entries are identified by IP, so each has its own loopback address.
  added.ip = options_.network + std::to_string(number + 1);
  const auto prefix = options_.directory + '/' + added.name;
  added.settings_file = prefix + ".json";
  added.clock_file = prefix + ".clock";
  added.stop_grace = options_.stop_grace;
  added.listeners.fill(added.ip + ":0");
  added.store_link = std::make_unique<link_proxy>(io_, store.Address());
  added.caller_link = std::make_unique<link_proxy>(io_, added.ip + ":1");
  StartProcess(added);
}

void deployment::WriteSettings(const entry& target) const {
  const json::object content{
      {"node_name", target.name},
      {"ip", target.ip},
      {"zone", target.data_centre},
      {"listen",
       {{"front", target.listeners[0]},
        {"ready", target.listeners[1]},
        {"control", target.listeners[2]},
        {"directory", target.listeners[3]}}},
      {"port_range", {0, 0}},
      {"bounds",
       {{"grace_s", target.stop_grace.count()},
        {"lease_ms", 2000},
        {"report_window_s", internal::kBillingWindowSeconds}}},
      {"provider", {{"address", target.store_link->Address()}}},
      {"cloud_api",
       {{"address", target.store_link->Address()}, {"duties", {"usage"}}}}};
  std::ofstream(target.settings_file) << json::serialize(content);
}

void deployment::StartProcess(entry& target) {
  WriteSettings(target);
  ++target.starts;
  system_test::process_options options;
  options.log_file = options_.directory + '/' + target.name + ".log";
  options.environment = {"MIMOSADECK_CLOCK_FILE=" + target.clock_file};
  target.process = std::make_unique<system_test::process>(
      target.name,
      std::vector<std::string>{options_.daemon, "--platform", "--metrics-port",
                               "0", target.settings_file},
      options);
  const auto line =
      json::parse(target.process->LineWith("\"listening\"")).as_object();
  constexpr std::array<std::string_view, 4> kNames{"callers", "ready",
                                                   "control", "directory"};
  for (std::size_t i = 0; i < kNames.size(); ++i) {
    target.listeners[i] = json::value_to<std::string>(line.at(kNames[i]));
  }
  target.caller_link->SetTarget(target.listeners[0]);
}

void deployment::ForwardReports() {
  for (; reports_forwarded_ < store.reports.size(); ++reports_forwarded_) {
    const auto& report = store.reports[reports_forwarded_];
    const auto body = json::parse(report.body).as_object();
    judge_.OnReport({json::serialize(body.at("window_id")),
                     json::serialize(body.at("counts")), report.holder,
                     report.fencing, report.accepted});
  }
}

entry* deployment::FindEntry(const std::string& caller_address) {
  const auto found = std::find_if(
      entries.begin(), entries.end(),
      [&](const auto& entry) { return entry->listeners[0] == caller_address; });
  return found == entries.end() ? nullptr : found->get();
}

}  // namespace mimosadeck::soak
