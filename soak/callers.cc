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

constexpr std::chrono::milliseconds kRequestDeadline{2500};
/** Longer than the deadline that callers send with a request. */
constexpr std::chrono::milliseconds kCallerTimeout{3500};
constexpr std::chrono::milliseconds kDirectoryTimeout{1000};
/** Callers reuse a connection until the entry closes it. */
constexpr std::chrono::milliseconds kMaxIdle{60000};
constexpr std::chrono::milliseconds kMaxPause{120};
constexpr std::size_t kMaxAnswerBytes = 1U << 20U;
/** Fraction of requests with a key or route that only some manifests hold. */
constexpr double kRotatingFraction = 0.3;
/** Fraction of requests with a key that was never valid. */
constexpr double kForgedKeyFraction = 0.03;
/** Fraction of streams that the caller disconnects from early. */
constexpr double kAbandonedFraction = 0.08;
constexpr std::chrono::milliseconds kMaxReadTime{200};

struct request_plan {
  net::http_request message;
  sent_request sent;
};

request_plan PlanRequest(caller_context& context, const entry& target) {
  constexpr std::array<std::string_view, 4> kPrefixes{"/safe/", "/unsafe/",
                                                      "/resume/", "/once/"};
  request_plan out;
  const auto kind = context.random.Below(kPrefixes.size());
  out.sent.kind = static_cast<request_kind>(kind);
  out.sent.id = "r" + std::to_string(++context.last_request);
  out.sent.entry = target.name;
  out.sent.process = target.ProcessName();
  out.sent.account = kPermanentAccount;
  std::string key(kPermanentKey);
  std::string prefix(kPrefixes[kind]);
  if (context.random.Chance(kForgedKeyFraction)) {
    key = "key-forged";
    out.sent.account.clear();
  } else if (context.random.Chance(kRotatingFraction)) {
    const auto newest = context.system.ManifestVersion();
    const auto age = context.random.Below(4);
    out.sent.first_manifest = newest - std::min<std::uint64_t>(age, newest - 1);
    out.sent.last_manifest = out.sent.first_manifest + kManifestOverlap;
    if (context.random.Chance(0.5)) {
      prefix = RotatingRoute(out.sent.first_manifest);
      out.sent.kind = request_kind::idempotent;
    } else {
      key = RotatingKey(out.sent.first_manifest);
      out.sent.account = kRotatingAccount;
    }
  }
  out.message.method = "POST";
  out.message.target = prefix + out.sent.id;
  out.message.fields = {
      {"host", std::string(kHost)},
      {"x-request-id", out.sent.id},
      {"x-request-deadline-ms", std::to_string(kRequestDeadline.count())},
      {"x-tenant", "forged"},
      {"x-api-key", key}};
  out.message.body = "body of " + out.sent.id;
  return out;
}

}  // namespace
}  // namespace internal

asio::awaitable<response> Exchange(net::connection_cache& cache,
                                   net::http_request message,
                                   exchange_options options) {
  net::http_call call(cache, co_await asio::this_coro::executor);
  response out;
  out.request = net::FieldOf(message.fields, "x-request-id");
  const auto end = std::chrono::steady_clock::now() + options.timeout;
  net::call_options call_options;
  call_options.server = call_options.address = std::move(options.address);
  call_options.max_idle_time = internal::kMaxIdle;
  call_options.deadline = end;
  const auto fail = [&out, end](const net::call_failure& failure) {
    out.failure = failure.message;
    out.caller_left = std::chrono::steady_clock::now() >= end;
  };
  const auto failed =
      co_await call.Send(std::move(message), std::move(call_options));
  if (failed) {
    fail(*failed);
    out.at = SuspendAwareNow();
    co_return out;
  }
  out.status = call.Status();
  out.stamp = net::FieldOf(call.Fields(), "x-server-stamp");
  out.closes = net::FieldOf(call.Fields(), "connection") == "close";
  while (out.body.size() < internal::kMaxAnswerBytes) {
    if (options.disconnect_at && SuspendAwareNow() >= *options.disconnect_at) {
      out.caller_left = true;
      call.Close();
      break;
    }
    auto piece = co_await call.ReadPiece();
    const auto* bytes = std::get_if<std::string>(&piece);
    if (!bytes) {
      fail(std::get<net::call_failure>(piece));
      break;
    }
    if (bytes->empty()) {
      out.is_complete = true;
      break;
    }
    out.body += *bytes;
  }
  out.at = SuspendAwareNow();
  co_return out;
}

asio::awaitable<std::vector<entry*>> AskDirectory(deployment& system,
                                                  random_source& random) {
  const auto& asked = *system.entries[random.Below(system.entries.size())];
  net::connection_cache cache(0);
  net::http_call call(cache, co_await asio::this_coro::executor);
  net::http_request message;
  message.target = "/v1/resolve?name=" + std::string(kHost) + "&zone=a";
  net::call_options options;
  options.server = options.address = asked.listeners[3];
  options.deadline =
      std::chrono::steady_clock::now() + internal::kDirectoryTimeout;
  std::vector<entry*> out;
  const auto failed =
      co_await call.Send(std::move(message), std::move(options));
  if (failed || call.Status() != 200) {
    co_return out;
  }
  auto body = co_await call.ReadBody(internal::kMaxAnswerBytes);
  const auto* text = std::get_if<std::string>(&body);
  if (!text) {
    co_return out;
  }
  const auto answer = json::parse(*text).as_object();
  for (const auto& address : answer.at("addrs").as_array()) {
    if (auto* found = system.FindEntry(json::value_to<std::string>(address))) {
      out.push_back(found);
    }
  }
  co_return out;
}

asio::awaitable<void> RunCaller(caller_context& context) {
  ++context.running;
  net::connection_cache cache(1);
  entry* target = nullptr;
  while (!context.stopping) {
    co_await Wait(context.random.Between(std::chrono::milliseconds(5),
                                         internal::kMaxPause));
    if (!target) {
      const auto listed = co_await AskDirectory(context.system, context.random);
      target = listed.empty() ? nullptr
                              : listed[context.random.Below(listed.size())];
      continue;
    }
    auto planned = internal::PlanRequest(context, *target);
    std::optional<mono_time> disconnect_at;
    if (IsStream(planned.sent.kind) &&
        context.random.Chance(internal::kAbandonedFraction)) {
      disconnect_at = SuspendAwareNow() +
                      context.random.Between(std::chrono::milliseconds(1),
                                             internal::kMaxReadTime);
    }
    planned.sent.at = SuspendAwareNow();
    exchange_options options{target->caller_link->Address(),
                             internal::kCallerTimeout, disconnect_at};
    context.checks.OnSent(std::move(planned.sent));
    auto message = std::move(planned.message);
    const auto answer =
        co_await Exchange(cache, std::move(message), std::move(options));
    context.checks.OnAnswer(answer);
    if (answer.status == 0 || answer.status == 503 || !answer.is_complete) {
      target = nullptr;
    }
  }
  --context.running;
}

asio::awaitable<bool> CheckServes(caller_context& context, entry& target) {
  net::connection_cache cache(0);
  net::http_request message;
  message.method = "POST";
  const auto id = "r" + std::to_string(++context.last_request);
  message.target = "/safe/" + id;
  message.fields = {{"host", std::string(kHost)},
                    {"x-request-id", id},
                    {"x-api-key", std::string(kPermanentKey)}};
  sent_request sent;
  sent.id = id;
  sent.account = kPermanentAccount;
  sent.entry = target.name;
  sent.process = target.ProcessName();
  sent.at = SuspendAwareNow();
  context.checks.OnSent(std::move(sent));
  exchange_options options{target.caller_link->Address(),
                           internal::kCallerTimeout, std::nullopt};
  const auto answer =
      co_await Exchange(cache, std::move(message), std::move(options));
  context.checks.OnAnswer(answer);
  co_return answer.status == 200 && answer.is_complete;
}

}  // namespace mimosadeck::soak
