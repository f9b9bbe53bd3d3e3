#include "mimosadeckd/edge/requests.h"

#include "mimosadeckd/edge/work.h"

namespace mimosadeck::edge {
namespace internal {
namespace {

using daemon::refusal;
using steady = std::chrono::steady_clock;

/** Retry-After of an entry that has just started: it is ready within it. */
constexpr std::chrono::milliseconds kStartTime{300};
/** Retry-After of an entry that is stopping: another one serves at once. */
constexpr std::chrono::milliseconds kElsewhere{50};
/** Part of an answer's greatest length that is expected without a hint. */
constexpr double kExpectedLengthPart = 0.5;

constexpr std::string_view kUnknownHost;

std::string_view HostOf(const net::http_request& request) {
  const auto found = request.fields.find("host");
  return found == request.fields.end() ? kUnknownHost
                                       : std::string_view(found->second);
}

placement::job JobOf(const platform::caller_request& asked,
                     const routing::route& route) {
  placement::job out;
  out.sampling_key = Hash64(asked.id);
  out.goal = route.goal;
  out.pause_goal = route.pause_goal.value_or(std::chrono::milliseconds(0));
  out.parts = asked.prompt_parts;
  out.prompt_tokens = asked.prompt_tokens;
  out.answer_tokens =
      asked.answer_tokens_hint.value_or(static_cast<std::uint32_t>(
          kExpectedLengthPart * asked.most_answer_tokens));
  return out;
}

bool IsTooLateToStart(const edge_state& state, const routing::route& route) {
  if (!state.draining_since) {
    return false;
  }
  const auto now = SuspendAwareNow();
  forwarding::stop_window stop;
  stop.duration = state.machine.bounds.stop_grace - kStopReserve;
  stop.remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
      *state.draining_since + stop.duration - now);
  stop.notice_delay = kDirectoryTtl * kDirectoryTtlFactor;
  const auto known = state.service_times.find(route.name);
  return !forwarding::CanFinishBeforeStop(
      known == state.service_times.end() ? forwarding::service_times{}
                                         : *known->second,
      state.service_time_options, route.kind, stop, now);
}

/** @brief Finds the route and the account; says why a request is refused. */
std::optional<refusal> Resolve(const edge_state& state, work& work) {
  if (!state.table) {
    return refusal{result_code::not_ready, executed::no, kStartTime, ""};
  }
  work.table = state.table;
  auto asked = platform::DecodeCallerRequest(work.received.fields);
  if (const auto* bad = std::get_if<error>(&asked)) {
    return refusal{bad->code, executed::no, {}, bad->message};
  }
  work.asked = std::get<platform::caller_request>(std::move(asked));
  work.route = work.table->Match(HostOf(work.received), work.received.target);
  if (!work.route) {
    return refusal{result_code::unknown_route, executed::no, {}, ""};
  }
  if (work.table->NeedsKeys() && !work.route->open) {
    if (work.asked.key.empty()) {
      return refusal{result_code::key_missing, executed::no, {}, ""};
    }
    work.account = work.table->AccountOf(work.asked.key);
    if (!work.account) {
      return refusal{result_code::key_unknown, executed::no, {}, ""};
    }
  }
  if (IsTooLateToStart(state, *work.route)) {
    return refusal{result_code::draining, executed::no, kElsewhere, ""};
  }
  if (!state.suspect_table.suspects.empty()) {
    const auto left = quarantine::CondemnedTimeLeft(
        state.suspect_table, state.quarantine_options, FingerprintOf(work),
        SuspendAwareNow());
    if (left.count() > 0) {
      return refusal{result_code::quarantined, executed::no, left, ""};
    }
  }
  return std::nullopt;
}

}  // namespace
}  // namespace internal

const std::string& FingerprintOf(work& work) {
  if (work.fingerprint.empty()) {
    const auto& received = work.received;
    work.fingerprint = quarantine::Fingerprint(
        work.AccountName(), received.method, received.target, received.body);
  }
  return work.fingerprint;
}

asio::awaitable<void> ServeCaller(edge_state& state,
                                  net::http_request request,
                                  net::exchange& exchange) {
  const auto made = std::make_shared<work>();
  made->arrived = internal::steady::now();
  made->received = std::move(request);
  if (auto reason = internal::Resolve(state, *made)) {
    co_await Refuse(state, *made, *std::move(reason), exchange);
    co_return;
  }
  made->service =
      std::string(routing::PickService(*made->route, made->asked.id));
  made->job = internal::JobOf(made->asked, *made->route);
  const auto limit =
      std::min(made->asked.time_limit.value_or(made->route->timeout),
               made->route->timeout);
  made->deadline = made->arrived + limit;
  exchange.WatchCaller([made] {
    made->caller_left = true;
    if (made->call) {
      made->call->Close();
    }
  });
  co_await Forward(state, made, exchange);
}

}  // namespace mimosadeck::edge
