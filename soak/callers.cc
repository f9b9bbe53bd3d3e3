#include "soak/callers.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/json.hpp>

#include "net/net.h"

namespace mimosadeck::soak {

namespace asio = boost::asio;
namespace json = boost::json;

namespace internal {
namespace {

constexpr std::chrono::milliseconds kTimeLimit{2500};
/** Callers wait longer than the limit that they state. */
constexpr std::chrono::milliseconds kPatience{3500};
constexpr std::chrono::milliseconds kDirectoryTimeout{1000};
/** Callers use open connections for as long as they stay open. */
constexpr std::chrono::milliseconds kLongestIdle{60000};
constexpr std::chrono::milliseconds kLongestPause{120};
constexpr std::size_t kMostAnswerBytes = 1U << 20U;
/** Part of the requests with a right that comes and goes. */
constexpr double kChangingPart = 0.3;
/** Part of the requests with a key that no manifest ever held. */
constexpr double kForgedPart = 0.03;
/** Part of the streams that the caller leaves. */
constexpr double kLeavingPart = 0.08;
constexpr std::chrono::milliseconds kLongestStay{200};

struct plan {
  net::http_request message;
  sent_request sent;
};

plan MakePlan(caller_world& world, const entry& to) {
  constexpr std::array<std::string_view, 4> kPrefixes{"/safe/", "/unsafe/",
                                                      "/resume/", "/once/"};
  plan out;
  const auto kind = world.random.Below(kPrefixes.size());
  out.sent.kind = static_cast<request_kind>(kind);
  out.sent.id = "r" + std::to_string(++world.last_request);
  out.sent.entry = to.name;
  out.sent.process = to.ProcessName();
  out.sent.account = kLastingAccount;
  std::string key(kLastingKey);
  std::string prefix(kPrefixes[kind]);
  if (world.random.Chance(kForgedPart)) {
    key = "key-forged";
    out.sent.account.clear();
  } else if (world.random.Chance(kChangingPart)) {
    const auto newest = world.system.ManifestVersion();
    const auto back = world.random.Below(4);
    out.sent.first_manifest =
        newest - std::min<std::uint64_t>(back, newest - 1);
    out.sent.last_manifest = out.sent.first_manifest + kManifestsHeld;
    if (world.random.Chance(0.5)) {
      prefix = ChangingRoute(out.sent.first_manifest);
      out.sent.kind = request_kind::idempotent;
    } else {
      key = ChangingKey(out.sent.first_manifest);
      out.sent.account = kChangingAccount;
    }
  }
  out.message.method = "POST";
  out.message.target = prefix + out.sent.id;
  out.message.fields = {
      {"host", std::string(kHost)},
      {"x-request-id", out.sent.id},
      {"x-request-deadline-ms", std::to_string(kTimeLimit.count())},
      {"x-tenant", "forged"},
      {"x-api-key", key}};
  out.message.body = "body of " + out.sent.id;
  return out;
}

asio::awaitable<got_answer> Exchange(net::connection_cache& cache,
                                     net::http_request message,
                                     std::string address,
                                     std::optional<mono_time> leaves_at) {
  net::http_call call(cache, co_await asio::this_coro::executor);
  got_answer out;
  out.request = net::FieldOf(message.fields, "x-request-id");
  net::call_options options;
  options.server = options.address = std::move(address);
  options.max_idle_time = kLongestIdle;
  const auto start = std::chrono::steady_clock::now();
  options.deadline = start + kPatience;
  const auto failed =
      co_await call.Send(std::move(message), std::move(options));
  const auto ran_out = [start] {
    return std::chrono::steady_clock::now() >= start + kPatience;
  };
  if (failed) {
    out.caller_left = ran_out();
    out.at = SuspendAwareNow();
    co_return out;
  }
  out.status = call.Status();
  out.stamp = net::FieldOf(call.Fields(), "x-server-stamp");
  while (out.body.size() < kMostAnswerBytes) {
    if (leaves_at && SuspendAwareNow() >= *leaves_at) {
      out.caller_left = true;
      call.Close();
      break;
    }
    auto piece = co_await call.ReadPiece();
    const auto* bytes = std::get_if<std::string>(&piece);
    if (!bytes) {
      out.caller_left = ran_out();
      break;
    }
    if (bytes->empty()) {
      out.is_whole = true;
      break;
    }
    out.body += *bytes;
  }
  out.at = SuspendAwareNow();
  co_return out;
}

/** @brief Asks one entry's directory for an entry to use. */
asio::awaitable<entry*> AskDirectory(caller_world& world) {
  auto& system = world.system;
  const auto& asked =
      *system.entries[world.random.Below(system.entries.size())];
  net::connection_cache cache(0);
  net::http_call call(cache, co_await asio::this_coro::executor);
  net::http_request message;
  message.target = "/v1/resolve?name=" + std::string(kHost) + "&zone=a";
  net::call_options options;
  options.server = options.address = asked.listeners[3];
  options.deadline = std::chrono::steady_clock::now() + kDirectoryTimeout;
  const auto failed =
      co_await call.Send(std::move(message), std::move(options));
  if (failed || call.Status() != 200) {
    co_return nullptr;
  }
  auto body = co_await call.ReadBody(kMostAnswerBytes);
  const auto* text = std::get_if<std::string>(&body);
  if (!text) {
    co_return nullptr;
  }
  const auto answer = json::parse(*text).as_object();
  const auto& addresses = answer.at("addrs").as_array();
  if (addresses.empty()) {
    co_return nullptr;
  }
  const auto& chosen = addresses[world.random.Below(addresses.size())];
  co_return system.EntryAt(json::value_to<std::string>(chosen));
}

}  // namespace
}  // namespace internal

asio::awaitable<void> RunCaller(caller_world& world) {
  ++world.running;
  net::connection_cache cache(1);
  entry* to = nullptr;
  while (!world.stopping) {
    co_await Wait(world.random.Between(std::chrono::milliseconds(5),
                                       internal::kLongestPause));
    if (!to) {
      to = co_await internal::AskDirectory(world);
      continue;
    }
    auto plan = internal::MakePlan(world, *to);
    std::optional<mono_time> leaves_at;
    if (IsStream(plan.sent.kind) &&
        world.random.Chance(internal::kLeavingPart)) {
      leaves_at =
          SuspendAwareNow() + world.random.Between(std::chrono::milliseconds(1),
                                                   internal::kLongestStay);
    }
    plan.sent.at = SuspendAwareNow();
    auto address = to->caller_link->Address();
    world.checks.OnSent(std::move(plan.sent));
    auto message = std::move(plan.message);
    const auto answer = co_await internal::Exchange(
        cache, std::move(message), std::move(address), leaves_at);
    world.checks.OnAnswer(answer);
    if (answer.status == 0 || answer.status == 503 || !answer.is_whole) {
      to = nullptr;
    }
  }
  --world.running;
}

asio::awaitable<bool> Serves(caller_world& world, entry& at) {
  net::connection_cache cache(0);
  net::http_request message;
  message.method = "POST";
  const auto id = "r" + std::to_string(++world.last_request);
  message.target = "/safe/" + id;
  message.fields = {{"host", std::string(kHost)},
                    {"x-request-id", id},
                    {"x-api-key", std::string(kLastingKey)}};
  sent_request sent;
  sent.id = id;
  sent.account = kLastingAccount;
  sent.entry = at.name;
  sent.process = at.ProcessName();
  sent.at = SuspendAwareNow();
  world.checks.OnSent(std::move(sent));
  auto address = at.caller_link->Address();
  const auto answer = co_await internal::Exchange(
      cache, std::move(message), std::move(address), std::nullopt);
  world.checks.OnAnswer(answer);
  co_return answer.status == 200 && answer.is_whole;
}

}  // namespace mimosadeck::soak
