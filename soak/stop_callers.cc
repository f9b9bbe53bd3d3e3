#include "soak/stop_callers.h"

#include <algorithm>
#include <set>

#include <boost/asio/this_coro.hpp>
#include <boost/json.hpp>

#include "net/net.h"

namespace mimosadeck::soak {

namespace asio = boost::asio;
namespace json = boost::json;
using platform_test::scripted_answer;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace internal {
namespace {

constexpr seconds kAnswerLifetime{1};
constexpr seconds kLongAnswerLifetime{3};
constexpr milliseconds kDirectoryTimeout{1000};
constexpr int kDirectoryTries = 3;
constexpr milliseconds kMaxIdle{60000};
constexpr milliseconds kMaxPause{1500};
constexpr milliseconds kMaxRepeatPause{400};
/** Callers wait this much longer than the limit that they state. */
constexpr milliseconds kPatience{1000};
constexpr milliseconds kShortLimit{3000};
constexpr milliseconds kLongLimit{20000};
constexpr milliseconds kImpatientLimit{12000};
constexpr double kImpatientFraction = 0.3;
/** Keeps the pauses between events under two seconds at a slowed upstream. */
constexpr milliseconds kMaxResumable{3500};
constexpr milliseconds kMaxBriefStream{600};
constexpr milliseconds kMaxWork{400};
constexpr std::size_t kMaxAnswerBytes = 1U << 20U;
constexpr int kRefusedStatus = 503;
constexpr std::string_view kReset = "reset";

struct stop_plan {
  net::http_request message;
  sent_request sent;
  stop_request tracked;
  milliseconds caller_limit{};
};

/** Draws how long a stream lasts at an idle upstream: 1 to 12 s, mostly 2 to
 * 6 s; loaded and slowed upstreams stretch it. */
milliseconds StreamLength(random_source& random) {
  const auto part = random.Below(100);
  if (part < 10) {
    return random.Between(milliseconds(1000), milliseconds(2000));
  }
  return part < 85 ? random.Between(milliseconds(2000), milliseconds(6000))
                   : random.Between(milliseconds(6000), milliseconds(12000));
}

stop_plan PlanRequest(stop_context& context, const entry& target) {
  auto& random = context.random;
  stop_plan out;
  const auto part = random.Below(100);
  std::string prefix = "/once/";
  out.sent.kind = request_kind::single_stream;
  out.sent.account = kPermanentAccount;
  out.tracked.limit = kLongStreamTimeout;
  auto length = StreamLength(random);
  if (part >= 90) {
    prefix = part < 95 ? "/safe/" : "/unsafe/";
    out.sent.kind =
        part < 95 ? request_kind::idempotent : request_kind::booking;
    out.tracked.limit = kShortLimit;
    length = random.Between(milliseconds(1), kMaxWork);
  } else if (part >= 78) {
    prefix = "/brief/";
    out.tracked.limit = kShortLimit;
    length = random.Between(milliseconds(50), kMaxBriefStream);
  } else if (part >= 66) {
    prefix = "/resume/";
    length = context.long_pauses ? length : std::min(length, kMaxResumable);
    out.sent.kind = request_kind::resumable_stream;
  } else if (part >= 60) {
    out.sent.first_manifest = context.system.ManifestVersion();
    out.sent.last_manifest = out.sent.first_manifest + kManifestOverlap;
    prefix = RotatingRoute(out.sent.first_manifest);
  }
  out.caller_limit =
      random.Chance(kImpatientFraction) ? kImpatientLimit : kLongLimit;
  out.sent.id = "r" + std::to_string(++context.last_request);
  out.sent.entry = target.name;
  out.sent.process = target.ProcessName();
  out.sent.at = SuspendAwareNow();
  out.tracked.id = out.sent.id;
  out.tracked.route = prefix;
  out.tracked.process = out.sent.process;
  out.tracked.sent = out.sent.at;
  out.tracked.limit = std::min(out.tracked.limit, out.caller_limit);
  out.message.method = "POST";
  out.message.target = prefix + std::to_string(length.count()) + '/';
  out.message.fields = {
      {"host", std::string(kHost)},
      {"x-request-id", out.sent.id},
      {"x-request-deadline-ms", std::to_string(out.caller_limit.count())},
      {"x-api-key", std::string(kPermanentKey)}};
  out.message.body = "body of " + out.sent.id;
  return out;
}

struct stop_answer {
  response seen;
  std::string failure;
  bool closes{};
};

asio::awaitable<stop_answer> ExchangeOnce(net::connection_cache& cache,
                                          net::http_request message,
                                          std::string address,
                                          milliseconds limit) {
  net::http_call call(cache, co_await asio::this_coro::executor);
  stop_answer out;
  out.seen.request = net::FieldOf(message.fields, "x-request-id");
  net::call_options options;
  options.server = options.address = std::move(address);
  options.max_idle_time = kMaxIdle;
  options.deadline = std::chrono::steady_clock::now() + limit + kPatience;
  const auto failed =
      co_await call.Send(std::move(message), std::move(options));
  if (failed) {
    out.failure = failed->message;
    out.seen.caller_left = failed->timed_out;
    out.seen.at = SuspendAwareNow();
    co_return out;
  }
  out.seen.status = call.Status();
  out.seen.stamp = net::FieldOf(call.Fields(), "x-server-stamp");
  out.closes = net::FieldOf(call.Fields(), "connection") == "close";
  while (!out.seen.is_complete && out.failure.empty()) {
    auto piece = co_await call.ReadPiece();
    if (const auto* failure = std::get_if<net::call_failure>(&piece)) {
      out.failure = failure->message;
      out.seen.caller_left = failure->timed_out;
    } else {
      const auto& bytes = std::get<std::string>(piece);
      out.seen.is_complete = bytes.empty();
      out.seen.body += bytes;
    }
  }
  out.seen.at = SuspendAwareNow();
  co_return out;
}

/** @brief Asks one entry's directory; empty if that fails. */
asio::awaitable<std::vector<entry*>> AskDirectory(stop_context& context) {
  auto& system = context.system;
  const auto& asked =
      *system.entries[context.random.Below(system.entries.size())];
  net::connection_cache cache(0);
  net::http_call call(cache, co_await asio::this_coro::executor);
  net::http_request message;
  message.target = "/v1/resolve?name=" + std::string(kHost) + "&zone=a";
  net::call_options options;
  options.server = options.address = asked.listeners[3];
  options.deadline = std::chrono::steady_clock::now() + kDirectoryTimeout;
  const auto failed =
      co_await call.Send(std::move(message), std::move(options));
  std::vector<entry*> out;
  if (failed || call.Status() != 200) {
    co_return out;
  }
  auto body = co_await call.ReadBody(kMaxAnswerBytes);
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

/** @brief A caller's view of the entries. */
struct known_entries {
  seconds lifetime{};
  std::vector<entry*> listed;
  std::set<entry*> failed;
  std::optional<mono_time> asked_at;

  [[nodiscard]] bool Lists(const entry* target) const {
    return std::find(listed.begin(), listed.end(), target) != listed.end();
  }

  [[nodiscard]] entry* Pick(random_source& random) const {
    std::vector<entry*> usable;
    std::copy_if(listed.begin(), listed.end(), std::back_inserter(usable),
                 [this](auto* item) { return !failed.contains(item); });
    return usable.empty() ? nullptr : usable[random.Below(usable.size())];
  }
};

asio::awaitable<void> Refresh(stop_context& context, known_entries& known) {
  if (known.asked_at && SuspendAwareNow() < *known.asked_at + known.lifetime) {
    co_return;
  }
  for (int i = 0; i < kDirectoryTries; ++i) {
    const auto asked_at = SuspendAwareNow();
    auto listed = co_await AskDirectory(context);
    if (!listed.empty()) {
      known = {known.lifetime, std::move(listed), {}, asked_at};
      co_return;
    }
  }
}

/** @brief Sends a request and records what came of it. */
asio::awaitable<stop_answer> SendTracked(stop_context& context,
                                         net::connection_cache& cache,
                                         entry& target,
                                         bool is_repeat) {
  auto plan = PlanRequest(context, target);
  plan.tracked.is_repeat = is_repeat;
  const auto id = plan.sent.id;
  context.checks.OnSent(std::move(plan.sent));
  context.record.requests[id] = std::move(plan.tracked);
  auto message = std::move(plan.message);
  auto address = target.listeners[0];
  const auto limit = plan.caller_limit;
  auto out = co_await ExchangeOnce(cache, std::move(message),
                                   std::move(address), limit);
  auto& tracked = context.record.requests.at(id);
  tracked.ended = out.seen.at;
  tracked.status = out.seen.status;
  tracked.is_complete = out.seen.is_complete;
  tracked.caller_left = out.seen.caller_left;
  tracked.failure = out.failure;
  tracked.is_reset = out.failure.find(kReset) != std::string::npos ||
                     out.failure.find("refused") != std::string::npos;
  auto checked = out.seen;
  // Interrupted answers are judged by the rule on planned stops.
  checked.caller_left = !out.seen.is_complete;
  context.checks.OnAnswer(checked);
  co_return out;
}

bool IsRepeated(const stop_context& context, const response& seen) {
  return seen.status == kRefusedStatus ||
         (seen.status == 0 && !seen.caller_left &&
          context.record.requests.at(seen.request).runs.empty());
}

}  // namespace
}  // namespace internal

asio::awaitable<void> RunStopCaller(stop_context& context, std::size_t number) {
  ++context.running;
  net::connection_cache cache(1);
  internal::known_entries known;
  known.lifetime = number % 3 == 0 ? internal::kLongAnswerLifetime
                                   : internal::kAnswerLifetime;
  const bool keeps_connection = number % 2 == 0;
  entry* target = nullptr;
  bool is_repeat = false;
  while (!context.stopping) {
    co_await Wait(context.random.Between(
        milliseconds(5),
        is_repeat ? internal::kMaxRepeatPause : internal::kMaxPause));
    co_await internal::Refresh(context, known);
    if (target && !keeps_connection && !known.Lists(target)) {
      target = nullptr;
    }
    target = target ? target : known.Pick(context.random);
    if (!target) {
      known.asked_at.reset();
      continue;
    }
    const auto answer =
        co_await internal::SendTracked(context, cache, *target, is_repeat);
    if (answer.seen.status == 0) {
      known.failed.insert(target);
    }
    if (answer.closes || !answer.seen.is_complete ||
        answer.seen.status == internal::kRefusedStatus) {
      target = nullptr;
    }
    is_repeat = !is_repeat && internal::IsRepeated(context, answer.seen);
  }
  --context.running;
}

void PrepareUpstreams(stop_context& context) {
  for (auto& owned : context.system.upstreams) {
    auto& item = *owned;
    auto& server = *item.server;
    server.choose = [&server](const net::http_request& request) {
      const auto end = request.target.size() - 1;
      const auto begin = request.target.rfind('/', end - 1) + 1;
      const milliseconds length(
          std::stol(request.target.substr(begin, end - begin)));
      server.work_time = length;
      server.slow_pause = length / platform_test::kStreamEvents;
      const bool is_stream = !request.target.starts_with("/safe/") &&
                             !request.target.starts_with("/unsafe/");
      return is_stream ? scripted_answer::slow_stream : scripted_answer::good;
    };
    const auto check_run = server.on_run;
    server.on_run = [&context, &item,
                     check_run](const platform_test::upstream_run& run) {
      const std::string id(net::FieldOf(run.request.fields, "x-request-id"));
      const auto found = context.record.requests.find(id);
      if (found != context.record.requests.end()) {
        found->second.runs.push_back({item.id, run.stamp, SuspendAwareNow(),
                                      std::nullopt, false, item.breaks_off});
      }
      check_run(run);
    };
    server.on_end = [&context](const platform_test::upstream_run& run,
                               bool is_finished) {
      const std::string id(net::FieldOf(run.request.fields, "x-request-id"));
      const auto found = context.record.requests.find(id);
      if (found == context.record.requests.end()) {
        return;
      }
      for (auto& work : found->second.runs) {
        if (work.stamp == run.stamp && !work.ended) {
          work.ended = SuspendAwareNow();
          work.is_finished = is_finished;
        }
      }
    };
  }
}

}  // namespace mimosadeck::soak
