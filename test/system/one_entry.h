#ifndef TEST_SYSTEM_ONE_ENTRY_H_
#define TEST_SYSTEM_ONE_ENTRY_H_

#include <csignal>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include "net/net.h"
#include "platform/store_stand_in.h"
#include "platform/upstream_stand_in.h"
#include "system/deployment.h"

namespace mimosadeck::system_test {

using namespace std::chrono_literals;
using platform_test::store_stand_in;
using platform_test::upstream_stand_in;
namespace asio = boost::asio;
namespace json = boost::json;

/** Timeout for calls and for conditions that must become true. */
inline constexpr auto kWaitTimeout = 10s;

/** @brief Returns a route of the test manifest. */
inline json::object Route(const std::string& prefix,
                          const std::string& kind,
                          int attempts,
                          bool resumable) {
  return {
      {"name", prefix},  {"host", "h.example"},    {"prefix", prefix},
      {"kind", kind},    {"timeout_ms", 3000},     {"goal_ms", 300},
      {"priority", 0},   {"service", "pool"},      {"max_attempts", attempts},
      {"public", false}, {"can_resume", resumable}};
}

/** @brief Returns a manifest with one route of each kind and one key. */
inline std::string Manifest(int version, const std::string& key) {
  return json::serialize(
      json::object{{"version", version},
                   {"routes",
                    {Route("/safe/", "safe", 2, false),
                     Route("/unsafe/", "unsafe", 1, false),
                     Route("/resume/", "stream", 2, true),
                     Route("/once/", "stream", 1, false)}},
                   {"services", {{{"name", "pool"}, {"max_conns", 50}}}},
                   {"tenants", {{{"name", "parish"}, {"api_keys", {key}}}}}});
}

/** @brief Returns Manifest() with another timeout of its routes. */
inline std::string ManifestWithTimeout(std::chrono::milliseconds timeout) {
  auto out = json::parse(Manifest(1, "k1")).as_object();
  for (auto& route : out["routes"].as_array()) {
    route.as_object()["timeout_ms"] = timeout.count();
  }
  return json::serialize(out);
}

/** @brief Returns Manifest() with the given number of additional routes. */
inline std::string LargeManifest(int version,
                                 const std::string& key,
                                 int routes) {
  auto out = json::parse(Manifest(version, key)).as_object();
  for (int i = 0; i < routes; ++i) {
    out["routes"].as_array().push_back(
        Route("/more-" + std::to_string(i) + "/", "safe", 2, false));
  }
  return json::serialize(out);
}

/** @brief Settings of the entry of a test. */
struct entry_options {
  /** Time from SIGTERM until the process is killed. */
  std::chrono::seconds stop_grace{4};
  /** The first manifest. */
  std::string manifest{Manifest(1, "k1")};
  std::chrono::seconds billing_window{5};
  /** Memory of the entry's VM, in MB; 0 if it is not stated. */
  int memory_mb{};
  /** Descriptors of the entry's process; 0 if their number is not stated. */
  int max_descriptors{};
};

/** @brief Fixture that runs one entry process with a store and two upstreams.
 */
struct one_entry {
  using answer = platform_test::scripted_answer;
  asio::io_context io{1};
  store_stand_in store{io};
  upstream_stand_in first{io, "u1"};
  upstream_stand_in second{io, "u2"};
  net::connection_cache cache{4};
  std::chrono::seconds stop_grace;
  std::chrono::seconds billing_window;
  int memory_mb;
  int max_descriptors;
  std::filesystem::path settings;
  std::unique_ptr<process> entry;
  std::string callers;
  std::string ready;
  std::string directory;
  std::string control;

  explicit one_entry(entry_options options = {})
      : stop_grace(options.stop_grace),
        billing_window(options.billing_window),
        memory_mb(options.memory_mb),
        max_descriptors(options.max_descriptors) {
    store.Put("op", "config", options.manifest);
    store.Put("servers", "u1", first.Entry("ready"));
    store.Put("servers", "u2", second.Entry("ready"));
    store.TakeCopy();
    Start();
    BOOST_REQUIRE(
        Eventually([this] { return Get(ready, "/v1/ready").status == 200; }));
  }

  ~one_entry() {
    entry.reset();
    std::filesystem::remove(settings);
  }

  /** @brief Writes the settings file of an entry. */
  std::filesystem::path WriteSettings(const std::string& name,
                                      const std::string& ip) const {
    auto path =
        std::filesystem::temp_directory_path() /
        ("edge_test." + std::to_string(getpid()) + '.' + name + ".json");
    const json::object listen{{"front", ip + ":0"},
                              {"ready", ip + ":0"},
                              {"control", ip + ":0"},
                              {"directory", ip + ":0"}};
    const json::object content{
        {"node_name", name},
        {"ip", ip},
        {"zone", "a"},
        {"listen", listen},
        {"port_range", {0, 0}},
        {"bounds",
         {{"grace_s", stop_grace.count()},
          {"report_window_s", billing_window.count()}}},
        {"limits", {{"memory_mb", memory_mb}, {"max_fds", max_descriptors}}},
        {"provider", {{"address", store.Address()}}},
        {"cloud_api", {{"address", store.Address()}, {"duties", {"usage"}}}}};
    std::ofstream(path) << json::serialize(content);
    return path;
  }

  /** @brief Starts a daemon with a settings file. */
  static std::unique_ptr<process> StartDaemon(
      const std::filesystem::path& settings) {
    return std::make_unique<process>(
        "entry",
        std::vector<std::string>{
            std::string(std::getenv("MIMOSADECK_BUILD")) + "/apps/mimosadeckd",
            "--platform", "--metrics-port", "0", settings.string()});
  }

  /** @brief Starts the entry and reads its addresses from its log. */
  void Start() {
    settings = WriteSettings("entry-1", "127.0.0.1");
    entry = StartDaemon(settings);
    const auto line = json::parse(entry->LineWith("\"listening\"")).as_object();
    callers = json::value_to<std::string>(line.at("callers"));
    ready = json::value_to<std::string>(line.at("ready"));
    directory = json::value_to<std::string>(line.at("directory"));
    control = json::value_to<std::string>(line.at("control"));
  }

  /** @brief Sends a request and receives the response, as far as it comes. */
  asio::awaitable<void> Exchange(std::string address,
                                 net::http_request request,
                                 net::http_response& out,
                                 bool& complete) {
    net::http_call call(cache, io.get_executor());
    net::call_options options;
    options.server = address;
    options.address = std::move(address);
    options.deadline = std::chrono::steady_clock::now() + call_timeout;
    auto failed = co_await call.Send(std::move(request), std::move(options));
    if (failed) {
      co_return;
    }
    out.status = call.Status();
    out.fields = call.Fields();
    while (true) {
      auto piece = co_await call.ReadPiece();
      const auto* bytes = std::get_if<std::string>(&piece);
      complete = bytes && bytes->empty();
      if (!bytes || bytes->empty()) {
        co_return;
      }
      out.body += *bytes;
    }
  }

  /** @brief Response to a test request. */
  struct reply {
    int status{};
    std::string body;
    net::http_fields fields;
    /** The body was received up to its end. */
    bool complete{};
  };

  reply Send(const std::string& address, net::http_request request) {
    net::http_response response;
    response.status = 0;
    bool complete = false;
    bool done = false;
    auto work = Exchange(address, std::move(request), response, complete);
    asio::co_spawn(io, std::move(work),
                   [&done](std::exception_ptr) { done = true; });
    io.restart();
    while (!done) {
      io.run_one();
    }
    return {response.status, response.body, response.fields, complete};
  }

  /** @brief Sends a GET request without fields or body. */
  reply Get(const std::string& address, const std::string& target) {
    net::http_request request;
    request.target = target;
    return Send(address, std::move(request));
  }

  /** @brief Returns a caller's request with the next id. */
  net::http_request Request(const std::string& target,
                            const std::string& key = "k1") {
    ++last_id;
    net::http_request out;
    out.method = "POST";
    out.target = target;
    out.fields = {{"host", "h.example"},
                  {"x-request-id", LastId()},
                  {"x-request-deadline-ms", "2500"},
                  {"x-tenant", "forged"}};
    if (!key.empty()) {
      out.fields["x-api-key"] = key;
    }
    out.body = "the body";
    return out;
  }

  /** @brief Sends a caller's request to the entry. */
  reply Call(const std::string& target, const std::string& key = "k1") {
    return Send(callers, Request(target, key));
  }

  /** @brief Waits until a condition holds. @return False after kWaitTimeout. */
  bool Eventually(const std::function<bool()>& holds) {
    const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
    while (std::chrono::steady_clock::now() < end) {
      if (holds()) {
        return true;
      }
      io.restart();
      io.run_for(20ms);
    }
    return false;
  }

  /** @brief Returns the id of the most recent request. */
  std::string LastId() const { return "id-" + std::to_string(last_id); }

  /** @brief Returns the number of requests that upstreams ran. */
  std::size_t RunCount() const {
    return first.runs.size() + second.runs.size();
  }

  /** @brief Sets the response of both upstreams. */
  void SetAnswers(answer next) { first.next = second.next = next; }

  /** Timeout for a call of Exchange(). */
  std::chrono::milliseconds call_timeout{kWaitTimeout};
  int last_id{};
};

}  // namespace mimosadeck::system_test

#endif  // TEST_SYSTEM_ONE_ENTRY_H_
