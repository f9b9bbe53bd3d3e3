// Case: an entry keeps its idle connections to upstreams that are gone, until
// it has no descriptor left for new connections.

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/json.hpp>

#include "../test/platform/wait.h"
#include "scenario.h"

namespace mimosadeck::review {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using platform_test::Wait;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

constexpr std::size_t kEntries = 2;
constexpr std::size_t kUpstreamsPerService = 6;
constexpr std::size_t kRequestsPerBurst = 120;
constexpr int kSlots = 32;
constexpr milliseconds kWorkTime{40};
/** One upstream of each service is replaced in this interval. */
constexpr milliseconds kReplaceInterval{740};
/** Rounds of replacement between two bursts of requests. */
constexpr int kRoundsPerBurst = 3;
/** Time from the start of a new upstream to the bursts. */
constexpr milliseconds kBeforeBurst{150};
constexpr milliseconds kBetweenBursts{200};
/** Time for which a leaving upstream still serves: `drain_ms` and a little. */
constexpr milliseconds kDrainTime{2300};
constexpr milliseconds kPlayTime{111000};
constexpr milliseconds kProbeInterval{400};
/** `contact_ms`: an entry that is ready takes a new connection in this time. */
constexpr milliseconds kContactTime{3000};
constexpr int kMinProbes = 7;
constexpr milliseconds kTimeLimit{1500};
constexpr milliseconds kReadyInterval{1000};

/** @brief An upstream that says so in all its answers once it leaves. */
class leaving_upstream {
 public:
  leaving_upstream(asio::io_context& io,
                   request_counts& counts,
                   std::string id,
                   std::string service)
      : counts_(counts), id_(std::move(id)), service_(std::move(service)) {
    server_ = std::make_unique<net::http_server>(
        std::vector<asio::io_context*>{&io}, "127.0.0.1:0",
        net::server_options{}, [this](auto request, auto& exchange) {
          return Answer(std::move(request), exchange);
        });
    born_ms_ = std::chrono::duration_cast<milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count();
  }

  void Leave() {
    is_leaving_ = true;
    server_->CloseAfterResponses();
  }

  [[nodiscard]] const std::string& Id() const { return id_; }

  [[nodiscard]] std::string Entry() const {
    return json::serialize(
        json::object{{"service", service_},
                     {"address", server_->Address()},
                     {"zone", "a"},
                     {"version", "v1"},
                     {"slots", kSlots},
                     {"state", is_leaving_ ? "draining" : "ready"},
                     {"cold_left_ms", 0},
                     {"seq", 1},
                     {"born", born_ms_}});
  }

  std::uint64_t runs{};

 private:
  asio::awaitable<void> Answer(net::http_request request,
                               net::exchange& exchange) {
    constexpr int kWrongUpstream = 421;
    net::http_response out;
    out.fields["x-request-id"] =
        std::string(net::FieldOf(request.fields, "x-request-id"));
    if (is_leaving_) {
      out.fields["server-leaving"] = "1";
    }
    if (net::FieldOf(request.fields, "x-expect-instance") != id_) {
      out.status = kWrongUpstream;
      out.fields["x-not-executed"] = "1";
      co_await exchange.Respond(std::move(out));
      co_return;
    }
    ++runs;
    ++counts_.run;
    out.fields["x-server-stamp"] = id_ + '/' + std::to_string(runs);
    out.body = "stock";
    co_await Wait(kWorkTime);
    co_await exchange.Respond(std::move(out));
  }

  request_counts& counts_;
  std::string id_;
  std::string service_;
  std::int64_t born_ms_{};
  bool is_leaving_{};
  std::unique_ptr<net::http_server> server_;
};

json::object Route(const std::string& service) {
  return {{"name", service},    {"host", "desk.example"},
          {"kind", "safe"},     {"prefix", '/' + service + '/'},
          {"service", service}, {"public", true},
          {"timeout_ms", 1500}, {"goal_ms", 300},
          {"priority", 2},      {"max_attempts", 2}};
}

/** @brief What is known of one entry. */
struct entry_state {
  std::string callers;
  std::string ready;
  /** The last answer to the ready question was 200. */
  bool is_ready{};
  /** First of the probes since which none was answered. */
  std::optional<steady::time_point> unanswered_since;
  int unanswered{};
  bool is_broken{};
};

class play {
 public:
  play(fleet& system, asio::any_io_executor executor, asio::io_context& io)
      : system_(system), executor_(std::move(executor)), io_(io) {}

  asio::awaitable<int> Run(bool has_trouble) {
    WriteManifest();
    for (const auto* service : kServices) {
      for (std::size_t i = 0; i < kUpstreamsPerService; ++i) {
        Add(service);
      }
    }
    const bool is_ready = co_await system_.WaitUntilReady();
    if (!is_ready) {
      co_return kNotRun;
    }
    for (const auto& item : system_.entries) {
      auto& added = entries_.emplace_back();
      added.callers = item->ip + ":8227";
      added.ready = item->ip + ":8220";
    }
    for (auto& item : entries_) {
      asio::co_spawn(executor_, AskReady(item), asio::detached);
      asio::co_spawn(executor_, OpenConnections(item), asio::detached);
    }
    const auto end = steady::now() + kPlayTime;
    for (int round = 0; steady::now() < end && !IsBroken(); ++round) {
      co_await PlayRound(has_trouble, round % kRoundsPerBurst == 0);
      if (round % 10 == 0) {
        RecordDescriptors();
        system_.RecordTotals();
      }
    }
    RecordDescriptors();
    co_return IsBroken() ? kBroken : kHeld;
  }

 private:
  static constexpr std::array kServices{"ledger", "stock"};

  void WriteManifest() {
    const json::object manifest{{"version", 8},
                                {"routes", {Route("ledger"), Route("stock")}},
                                {"services",
                                 {{{"name", "ledger"}, {"max_conns", 250}},
                                  {{"name", "stock"}, {"max_conns", 250}}}}};
    system_.store.Put("op", "config", json::serialize(manifest));
  }

  void Add(const std::string& service) {
    auto& list = upstreams_[service];
    auto& added = list.emplace_back(std::make_unique<leaving_upstream>(
        io_, system_.counts, "w-" + std::to_string(++last_id_), service));
    system_.store.Put("servers", added->Id(), added->Entry());
    system_.Record("start " + added->Id() + " of " + service);
  }

  asio::awaitable<void> End(std::unique_ptr<leaving_upstream> upstream) {
    upstream->Leave();
    system_.store.Put("servers", upstream->Id(), upstream->Entry());
    system_.Record("leaves " + upstream->Id() + ", has run " +
                   std::to_string(upstream->runs));
    co_await Wait(kDrainTime);
    system_.store.Drop("servers", upstream->Id());
    ++replaced_;
  }

  asio::awaitable<void> PlayRound(bool has_trouble, bool has_burst) {
    const auto begin = steady::now();
    if (has_trouble) {
      for (const auto* service : kServices) {
        Add(service);
      }
    }
    co_await Wait(kBeforeBurst);
    for (const auto* service : kServices) {
      if (has_burst) {
        SendBurst(service);
      }
      co_await Wait(kBetweenBursts);
    }
    if (has_trouble) {
      for (const auto* service : kServices) {
        auto& list = upstreams_[service];
        auto oldest = std::move(list.front());
        list.erase(list.begin());
        asio::co_spawn(executor_, End(std::move(oldest)), asio::detached);
      }
    }
    while (steady::now() < begin + kReplaceInterval) {
      co_await Wait(milliseconds(5));
    }
  }

  void SendBurst(const std::string& service) {
    for (const auto& item : entries_) {
      for (std::size_t i = 0; i < kRequestsPerBurst; ++i) {
        asio::co_spawn(executor_, Send(item.callers, service), asio::detached);
      }
    }
  }

  net::http_request MakeRequest(const std::string& service) {
    net::http_request out;
    out.target = '/' + service + "/item";
    out.fields = {
        {"host", "desk.example"},
        {"x-request-id", "b-" + std::to_string(++last_request_)},
        {"x-request-deadline-ms", std::to_string(kTimeLimit.count())}};
    return out;
  }

  /** Sends a request on a kept connection, if there is one. */
  asio::awaitable<void> Send(std::string address, std::string service) {
    ++system_.counts.sent;
    const int status =
        co_await Call(kept_, std::move(address), MakeRequest(service));
    if (status == 200) {
      ++system_.counts.succeeded;
    } else if (status == 0) {
      ++system_.counts.failed;
    } else {
      ++system_.counts.refused;
    }
  }

  /** @return The status; 0 if no complete answer came. */
  asio::awaitable<int> Call(net::connection_cache& connections,
                            std::string address,
                            net::http_request request) {
    net::http_call call(connections, executor_);
    net::call_options options;
    options.server = address;
    options.address = std::move(address);
    options.max_idle_time = milliseconds(10000);
    options.deadline = steady::now() + kTimeLimit;
    const auto failed =
        co_await call.Send(std::move(request), std::move(options));
    if (failed) {
      co_return 0;
    }
    const auto body = co_await call.ReadBody(1U << 20U);
    co_return std::holds_alternative<std::string>(body) ? call.Status() : 0;
  }

  /** Asks on one connection whether the entry is ready, as the platform does.
   */
  asio::awaitable<void> AskReady(entry_state& target) {
    net::connection_cache connections(1);
    while (true) {
      net::http_request request;
      request.target = "/v1/ready";
      auto address = target.ready;
      const int status =
          co_await Call(connections, std::move(address), std::move(request));
      if (status != 200) {
        system_.Record(target.ready + " answers ready with " +
                       std::to_string(status));
      }
      target.is_ready = status == 200;
      co_await Wait(kReadyInterval);
    }
  }

  /** Opens a new connection again and again, each for one request. */
  asio::awaitable<void> OpenConnections(entry_state& target) {
    while (true) {
      asio::co_spawn(executor_, Probe(target), asio::detached);
      co_await Wait(kProbeInterval);
    }
  }

  asio::awaitable<void> Probe(entry_state& target) {
    const auto sent_at = steady::now();
    net::connection_cache connections(0);
    auto address = target.callers;
    const int status =
        co_await Call(connections, std::move(address), MakeRequest("stock"));
    if (status != 0 || !target.is_ready) {
      target.unanswered_since.reset();
      target.unanswered = 0;
      co_return;
    }
    ++target.unanswered;
    const auto since = target.unanswered_since.value_or(sent_at);
    target.unanswered_since = since;
    system_.Record("new connection to " + target.callers +
                   " is not answered, number " +
                   std::to_string(target.unanswered));
    if (target.unanswered >= kMinProbes && sent_at - since >= kContactTime) {
      target.is_broken = true;
    }
  }

  [[nodiscard]] bool IsBroken() const {
    return std::any_of(entries_.begin(), entries_.end(),
                       [](const auto& item) { return item.is_broken; });
  }

  /** Records how many descriptors the entries have open. */
  void RecordDescriptors() {
    const auto self = std::to_string(getpid());
    std::ifstream children("/proc/" + self + "/task/" + self + "/children");
    std::string line = "upstreams replaced " + std::to_string(replaced_) +
                       ", descriptors of the entries";
    std::string child;
    while (children >> child) {
      std::error_code failure;
      const std::filesystem::directory_iterator open("/proc/" + child + "/fd",
                                                     failure);
      line += ' ' + std::to_string(std::distance(std::filesystem::begin(open),
                                                 std::filesystem::end(open)));
    }
    system_.Record(line);
  }

  fleet& system_;
  asio::any_io_executor executor_;
  asio::io_context& io_;
  net::connection_cache kept_{kRequestsPerBurst};
  std::vector<entry_state> entries_;
  std::map<std::string, std::vector<std::unique_ptr<leaving_upstream>>>
      upstreams_;
  std::uint64_t last_id_{};
  std::uint64_t last_request_{};
  std::uint64_t replaced_{};
};

asio::awaitable<int> Play(fleet& system, bool has_trouble) {
  auto executor = co_await asio::this_coro::executor;
  auto& io = static_cast<asio::io_context&>(executor.context());
  // Coroutines of the play refer to it until the context is destroyed.
  auto* current = std::make_unique<play>(system, executor, io).release();
  const int out = co_await current->Run(has_trouble);
  co_return out;
}

}  // namespace
}  // namespace mimosadeck::review

int main(int argc, char** argv) {
  mimosadeck::review::scenario_options settings;
  settings.entries = mimosadeck::review::kEntries;
  settings.sends_requests = false;
  return mimosadeck::review::RunScenario(argc, argv, settings,
                                         mimosadeck::review::Play);
}
