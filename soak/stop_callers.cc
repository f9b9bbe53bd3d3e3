#include "soak/stop_callers.h"

#include <algorithm>
#include <set>

namespace mimosadeck::soak {

namespace asio = boost::asio;
using platform_test::scripted_answer;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace internal {
namespace {

constexpr seconds kAnswerLifetime{1};
constexpr seconds kLongAnswerLifetime{3};
constexpr int kDirectoryTries = 3;
constexpr milliseconds kMaxPause{1500};
constexpr milliseconds kMaxRepeatPause{400};
/** Callers wait this much longer than the limit that they state. */
constexpr milliseconds kCallMargin{1000};
constexpr milliseconds kShortTimeout{3000};
constexpr milliseconds kLongLimit{20000};
constexpr milliseconds kShortLimit{12000};
constexpr double kImpatientFraction = 0.3;
/** Keeps the pauses between events under two seconds at a slowed upstream. */
constexpr milliseconds kMaxResumable{3500};
constexpr milliseconds kMaxBriefStream{600};
constexpr milliseconds kMaxWork{400};
constexpr int kRefusedStatus = 503;

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

/** @brief A request that says in its path how long its upstream works. */
struct timed_request {
  sent_request sent;
  milliseconds work{};
  milliseconds caller_limit{};
};

timed_request DrawRequest(caller_context& context, bool long_pauses) {
  auto& random = context.random;
  timed_request out;
  out.work = StreamLength(random);
  out.caller_limit =
      random.Chance(kImpatientFraction) ? kShortLimit : kLongLimit;
  auto& sent = out.sent;
  sent.kind = request_kind::single_stream;
  sent.route = "/once/";
  sent.limit = std::min(kLongStreamTimeout, out.caller_limit);
  const auto part = random.Below(100);
  if (part < 10) {
    sent.kind = part < 5 ? request_kind::idempotent : request_kind::booking;
    sent.route = part < 5 ? "/safe/" : "/unsafe/";
    sent.limit = kShortTimeout;
    out.work = random.Between(milliseconds(1), kMaxWork);
  } else if (part < 22) {
    sent.route = "/brief/";
    sent.limit = kShortTimeout;
    out.work = random.Between(milliseconds(50), kMaxBriefStream);
  } else if (part < 34) {
    sent.route = "/resume/";
    sent.kind = request_kind::resumable_stream;
    out.work = long_pauses ? out.work : std::min(out.work, kMaxResumable);
  } else if (part < 40) {
    sent.first_manifest = context.system.ManifestVersion();
    sent.last_manifest = sent.first_manifest + kManifestOverlap;
    sent.route = RotatingRoute(sent.first_manifest);
  }
  return out;
}

net::http_request Encode(const timed_request& drawn) {
  net::http_request out;
  out.method = "POST";
  out.target = drawn.sent.route + std::to_string(drawn.work.count()) + '/';
  out.fields = {
      {"host", std::string(kHost)},
      {"x-request-id", drawn.sent.id},
      {"x-request-deadline-ms", std::to_string(drawn.caller_limit.count())},
      {"x-api-key", std::string(kPermanentKey)}};
  out.body = "body of " + drawn.sent.id;
  return out;
}

/** @brief A caller's view of the entries. */
struct known_entries {
  seconds lifetime{};
  std::vector<entry*> listed;
  std::set<entry*> failed;
  mono_time valid_until;

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

asio::awaitable<void> Refresh(caller_context& context, known_entries& known) {
  for (int i = 0; i < kDirectoryTries; ++i) {
    const auto asked_at = SuspendAwareNow();
    if (asked_at < known.valid_until) {
      co_return;
    }
    auto listed = co_await AskDirectory(context.system, context.random);
    if (!listed.empty()) {
      known.listed = std::move(listed);
      known.failed.clear();
      known.valid_until = asked_at + known.lifetime;
    }
  }
}

asio::awaitable<response> SendRequest(caller_context& context,
                                      net::connection_cache& cache,
                                      entry& target,
                                      timed_request drawn) {
  auto& sent = drawn.sent;
  sent.id = "r" + std::to_string(++context.last_request);
  sent.account = kPermanentAccount;
  sent.entry = target.name;
  sent.process = target.ProcessName();
  sent.at = SuspendAwareNow();
  auto message = Encode(drawn);
  exchange_options options{target.listeners[0],
                           drawn.caller_limit + kCallMargin, std::nullopt};
  context.checks.OnSent(std::move(sent));
  auto out = co_await Exchange(cache, std::move(message), std::move(options));
  // Interrupted answers are judged by the rule on planned stops.
  out.caller_left = !out.is_complete;
  context.checks.OnAnswer(out);
  co_return out;
}

bool NeedsRepeat(const caller_context& context, const response& answer) {
  return answer.status == kRefusedStatus ||
         (answer.status == 0 &&
          context.checks.Requests().at(answer.request).runs.empty());
}

}  // namespace
}  // namespace internal

asio::awaitable<void> RunStopCaller(caller_context& context,
                                    std::size_t number,
                                    bool long_pauses) {
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
    if (!keeps_connection && !known.Lists(target)) {
      target = nullptr;
    }
    target = target ? target : known.Pick(context.random);
    if (!target) {
      known.valid_until = {};
      continue;
    }
    auto drawn = internal::DrawRequest(context, long_pauses);
    drawn.sent.is_repeat = is_repeat;
    const auto answer = co_await internal::SendRequest(context, cache, *target,
                                                       std::move(drawn));
    if (answer.status == 0) {
      known.failed.insert(target);
    }
    if (answer.closes || !answer.is_complete ||
        answer.status == internal::kRefusedStatus) {
      target = nullptr;
    }
    is_repeat = !is_repeat && internal::NeedsRepeat(context, answer);
  }
  --context.running;
}

void ServeStopCallers(deployment& system) {
  for (auto& item : system.upstreams) {
    auto& server = *item->server;
    server.choose = [&server](const net::http_request& request) {
      const auto end = request.target.size() - 1;
      const auto begin = request.target.rfind('/', end - 1) + 1;
      server.work_time =
          milliseconds(std::stol(request.target.substr(begin, end - begin)));
      server.slow_pause = server.work_time / platform_test::kStreamEvents;
      const bool is_stream = !request.target.starts_with("/safe/") &&
                             !request.target.starts_with("/unsafe/");
      return is_stream ? scripted_answer::slow_stream : scripted_answer::good;
    };
  }
}

}  // namespace mimosadeck::soak
