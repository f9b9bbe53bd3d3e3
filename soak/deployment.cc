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

namespace internal {
namespace {

constexpr int kStopGraceSeconds = 5;
constexpr int kBillingWindowSeconds = 2;
/** Part of the requests that an upstream in trouble answers badly. */
constexpr double kFailingPart = 0.5;
/** Part of the streams that take long, so that stops meet requests. */
constexpr double kSlowStreamPart = 0.3;
constexpr std::chrono::milliseconds kLongestWork{250};

json::object Route(const std::string& prefix,
                   std::string_view kind,
                   int attempts,
                   bool resumable) {
  return {{"name", prefix},         {"host", kHost},
          {"prefix", prefix},       {"kind", kind},
          {"timeout_ms", 3000},     {"goal_ms", 300},
          {"priority", 0},          {"service", "pool"},
          {"public", false},        {"max_attempts", attempts},
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

std::string ChangingKey(std::uint64_t version) {
  return "key-" + std::to_string(version);
}

std::string ChangingRoute(std::uint64_t version) {
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
  json::array routes{internal::Route("/safe/", "safe", 2, false),
                     internal::Route("/unsafe/", "unsafe", 1, false),
                     internal::Route("/resume/", "stream", 2, true),
                     internal::Route("/once/", "stream", 1, false)};
  json::array keys;
  const auto oldest = version_ - std::min(version_ - 1, kManifestsHeld);
  for (auto each = oldest; each <= version_; ++each) {
    routes.push_back(internal::Route(ChangingRoute(each), "safe", 2, false));
    keys.emplace_back(ChangingKey(each));
  }
  const json::object manifest{
      {"version", version_},
      {"routes", std::move(routes)},
      {"services", {{{"name", "pool"}, {"max_conns", 200}}}},
      {"tenants",
       {internal::Account(kLastingAccount, {kLastingKey}),
        internal::Account(kChangingAccount, std::move(keys))}}};
  store.Put("op", "config", json::serialize(manifest));
  judge_.OnManifest(version_, SuspendAwareNow());
}

void deployment::AddUpstream(std::size_t number) {
  auto& made = *upstreams.emplace_back(std::make_unique<upstream>());
  made.id = "u" + std::to_string(number);
  made.server =
      std::make_unique<platform_test::upstream_stand_in>(io_, made.id);
  made.link = std::make_unique<link_proxy>(io_, made.server->Address());
  made.server->advertised = made.link->Address();
  made.server->data_centre = internal::DataCentreOf(number);
  made.server->choose = [this, &made](const net::http_request& request) {
    made.server->work_time =
        random_.Between(std::chrono::milliseconds(0), internal::kLongestWork);
    return AnswerOf(made, request);
  };
  made.server->on_run = [this, &made](const platform_test::upstream_run& run) {
    OnRun(made, run);
    made.server->runs.clear();
  };
  store.Put("servers", made.id, made.server->Entry("ready"));
}

void deployment::RegisterAnew(upstream& of, bool new_id) {
  if (new_id) {
    of.id = of.id.substr(0, of.id.find('-')) + '-' +
            std::to_string(++of.generation);
  }
  of.server->ChangeId(of.id);
  store.Put("servers", of.id, of.server->Entry("ready"));
}

scripted_answer deployment::AnswerOf(const upstream& at,
                                     const net::http_request& request) {
  const bool is_stream = request.target.starts_with("/once/") ||
                         request.target.starts_with("/resume/");
  const bool fails = at.failing && random_.Chance(internal::kFailingPart);
  if (fails) {
    constexpr std::array<scripted_answer, 4> kBad{
        scripted_answer::failure, scripted_answer::not_run,
        scripted_answer::busy, scripted_answer::broken};
    return is_stream ? scripted_answer::broken_stream
                     : kBad[random_.Below(kBad.size())];
  }
  if (!is_stream) {
    return scripted_answer::good;
  }
  return random_.Chance(internal::kSlowStreamPart)
             ? scripted_answer::slow_stream
             : scripted_answer::stream;
}

void deployment::OnRun(const upstream& at,
                       const platform_test::upstream_run& run) {
  seen_run seen;
  seen.request = net::FieldOf(run.request.fields, "x-request-id");
  seen.upstream = at.id;
  seen.stamp = run.stamp;
  seen.account = net::FieldOf(run.request.fields, "x-tenant");
  seen.shows_key = run.request.fields.contains("x-api-key");
  seen.breaks_off = run.answer == scripted_answer::broken ||
                    run.answer == scripted_answer::broken_stream;
  seen.status = run.answer == scripted_answer::failure ? 500
                : run.answer == scripted_answer::busy  ? 429
                                                       : 200;
  seen.at = SuspendAwareNow();
  judge_.OnRun(seen);
}

void deployment::AddEntry(std::size_t number) {
  auto& made = *entries.emplace_back(std::make_unique<entry>());
  made.name = "entry-" + std::to_string(number);
  made.data_centre = internal::DataCentreOf(number);
  // Each entry has a loopback address of its own, as entries are told apart.
  made.ip = "127.0.9." + std::to_string(number + 1);
  const auto prefix = options_.directory + '/' + made.name;
  made.settings_file = prefix + ".json";
  made.clock_file = prefix + ".clock";
  made.listeners.fill(made.ip + ":0");
  made.store_link = std::make_unique<link_proxy>(io_, store.Address());
  made.caller_link = std::make_unique<link_proxy>(io_, made.ip + ":1");
  StartProcess(made);
}

void deployment::WriteSettings(const entry& of) const {
  const json::object content{
      {"node_name", of.name},
      {"ip", of.ip},
      {"zone", of.data_centre},
      {"listen",
       {{"front", of.listeners[0]},
        {"ready", of.listeners[1]},
        {"control", of.listeners[2]},
        {"directory", of.listeners[3]}}},
      {"port_range", {0, 0}},
      {"bounds",
       {{"grace_s", internal::kStopGraceSeconds},
        {"lease_ms", 2000},
        {"report_window_s", internal::kBillingWindowSeconds}}},
      {"provider", {{"address", of.store_link->Address()}}},
      {"cloud_api",
       {{"address", of.store_link->Address()}, {"duties", {"usage"}}}}};
  std::ofstream(of.settings_file) << json::serialize(content);
}

void deployment::StartProcess(entry& of) {
  WriteSettings(of);
  ++of.starts;
  system_test::process_options options;
  options.log_file = options_.directory + '/' + of.name + ".log";
  options.environment = {"MIMOSADECK_CLOCK_FILE=" + of.clock_file};
  of.process = std::make_unique<system_test::process>(
      of.name,
      std::vector<std::string>{options_.daemon, "--platform", "--metrics-port",
                               "0", of.settings_file},
      options);
  const auto line =
      json::parse(of.process->LineWith("\"listening\"")).as_object();
  constexpr std::array<std::string_view, 4> kNames{"callers", "ready",
                                                   "control", "directory"};
  for (std::size_t i = 0; i < kNames.size(); ++i) {
    of.listeners[i] = json::value_to<std::string>(line.at(kNames[i]));
  }
  of.caller_link->SetTarget(of.listeners[0]);
}

void deployment::TakeReports() {
  for (; reports_taken_ < store.reports.size(); ++reports_taken_) {
    const auto& report = store.reports[reports_taken_];
    const auto body = json::parse(report.body).as_object();
    judge_.OnReport({json::serialize(body.at("window_id")),
                     json::serialize(body.at("counts")), report.holder,
                     report.fencing, report.accepted});
  }
}

entry* deployment::EntryAt(const std::string& caller_address) {
  const auto found = std::find_if(
      entries.begin(), entries.end(),
      [&](const auto& each) { return each->listeners[0] == caller_address; });
  return found == entries.end() ? nullptr : found->get();
}

}  // namespace mimosadeck::soak
