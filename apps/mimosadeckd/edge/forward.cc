#include <utility>

#include <boost/asio/use_awaitable.hpp>

#include "mimosadeckd/edge/attempt.h"
#include "mimosadeckd/edge/upstream_signs.h"
#include "mimosadeckd/edge/warm_up.h"

namespace mimosadeck::edge {
namespace internal {
namespace {

using daemon::refusal;
using forwarding::attempt_end;
using forwarding::next_step;
using steady = std::chrono::steady_clock;

constexpr int kGatewayTimeout = 504;
/** Retry-After when no upstream is reachable: registrations and connections
 * usually recover within this time. */
constexpr std::chrono::milliseconds kNoUpstreamRetryAfter{400};
/** Longest Retry-After while upstreams are limited; limits may end sooner. */
constexpr std::chrono::milliseconds kMaxPermitRetryAfter{5000};
/** Number of different Retry-After times while upstreams are limited. */
constexpr std::uint64_t kRetrySteps = 64;

std::string_view NameOf(attempt_end end) {
  switch (end) {
    case attempt_end::not_connected:
      return "not_connected";
    case attempt_end::refused:
      return "refused";
    case attempt_end::broke_off:
      return "broke_off";
    case attempt_end::failed:
      return "failed";
  }
  return "unlisted";
}

std::string MillisecondsOrNone(
    const std::optional<std::chrono::milliseconds>& time) {
  return time ? std::to_string(time->count()) : "none";
}

void LogAttempt(const request_context& context,
                const placement::selection& selection,
                const attempt_failure& failed,
                next_step next) {
  telemetry::Log(
      telemetry::level::warning, "attempt_failed",
      {{"request", context.caller_request.id},
       {"upstream", selection.incarnation},
       {"address", selection.upstream->address},
       {"end", NameOf(failed.end)},
       {"reason", failed.reason},
       {"events_passed_on", std::to_string(context.framer.events)},
       {"sent_again", next == next_step::send_again ? "yes" : "no"}});
}

retry::limit RetryLimit(const edge_state& state) {
  const auto& bounds = state.machine.bounds;
  return {bounds.retry_budget_ratio, bounds.retry_budget_extra,
          bounds.retry_budget_window};
}

/** Routes whose service times are kept. The limit bounds memory, because
 * manifests keep adding and removing routes. */
constexpr std::size_t kMaxTimedRoutes = 4096;

/** @brief Records the time from the first attempt to the end of a request. */
void RecordServiceTime(edge_state& state,
                       const request_context& context,
                       mono_time started_at) {
  auto& all = state.service_times;
  const auto& route = context.route->name;
  if (all.size() >= kMaxTimedRoutes && !all.contains(route)) {
    all.clear();
  }
  forwarding::OnServed(all[route], state.service_time_options,
                       std::chrono::duration_cast<std::chrono::milliseconds>(
                           SuspendAwareNow() - started_at));
}

/** @brief Clears the suspicion against a request that completed without a
 * crash. */
void ClearSuspect(edge_state& state, request_context& context) {
  if (!state.quarantine.suspects.empty()) {
    quarantine::OnFinished(state.quarantine, FingerprintOf(context));
  }
}

/** @brief Returns the Retry-After time while the upstreams of a service are
 * limited and other entries hold their permits; unset if none is limited. */
std::optional<std::chrono::milliseconds> TimeUntilPermit(
    const edge_state& state,
    const placement::pool& pool,
    const placement::job& job) {
  std::optional<std::chrono::milliseconds> shortest;
  const auto consider = [&shortest](const auto& interval) {
    if (interval) {
      shortest = std::min(shortest.value_or(*interval), *interval);
    }
  };
  for (const auto& [incarnation, candidate] : pool.candidates) {
    consider(rate_limit::PermitInterval(state.permits, state.rate_limit_options,
                                        incarnation));
    consider(rate_limit::PermitInterval(state.warm_up_permits,
                                        state.warm_up_options, incarnation));
  }
  if (!shortest) {
    return std::nullopt;
  }
  const auto wait =
      std::clamp(*shortest, kNoUpstreamRetryAfter, kMaxPermitRetryAfter);
  // Spreads the callers, so that they do not all come back at once.
  const auto step = static_cast<std::int64_t>(job.sampling_key % kRetrySteps);
  return wait + wait * step / kRetrySteps;
}

/** @brief Uses a permit if the upstream is limited by this table. */
void TakePermitIfLimited(edge_state& state,
                         rate_limit::permit_table& permits,
                         const placement::selection& chosen,
                         const std::string& metric) {
  if (rate_limit::HasPermit(permits, chosen.incarnation)) {
    static_cast<void>(rate_limit::TakePermit(permits, chosen.incarnation));
    state.metrics.Count(metric, "service", chosen.upstream->service);
  }
}

/** @brief Chooses an upstream that may get a request now, and uses permits if
 * it is limited or cold. */
std::optional<placement::selection> ChooseUpstream(edge_state& state,
                                                   request_context& context) {
  RefreshPermits(state);
  RefreshWarmUpPermits(state);
  const auto& pool = state.pools[context.service];
  auto excluded = context.tried_upstreams;
  context.limited_upstreams = 0;
  for (const auto* permits : {&state.permits, &state.warm_up_permits}) {
    for (auto& incarnation : rate_limit::WithoutPermit(*permits)) {
      if (pool.candidates.contains(incarnation)) {
        ++context.limited_upstreams;
        excluded.insert(incarnation);
      }
    }
  }
  auto out =
      placement::Choose(pool, state.placement_options, context.job,
                        state.machine.data_centre, excluded, SuspendAwareNow());
  if (out) {
    TakePermitIfLimited(state, state.permits, *out,
                        "mimosadeck_upstream_permits_used_total");
    TakePermitIfLimited(state, state.warm_up_permits, *out,
                        "mimosadeck_warm_up_permits_used_total");
  }
  if (context.limited_upstreams > 0) {
    state.metrics.Count("mimosadeck_upstreams_held_back_total", "service",
                        context.service);
  }
  return out;
}

/** @brief Returns the Retry-After time for a refused caller. */
std::chrono::milliseconds RetryAfter(const edge_state& state,
                                     const request_context& context) {
  const auto pool = state.pools.find(context.service);
  if (pool == state.pools.end()) {
    return kNoUpstreamRetryAfter;
  }
  if (const auto wait =
          placement::RetryAfter(pool->second, context.job, SuspendAwareNow())) {
    return *wait;
  }
  return TimeUntilPermit(state, pool->second, context.job)
      .value_or(kNoUpstreamRetryAfter);
}

refusal MakeRefusal(const edge_state& state,
                    const request_context& context,
                    next_step step) {
  if (steady::now() >= context.deadline) {
    return {result_code::deadline_passed, executed::unknown, {}, ""};
  }
  if (step == next_step::refuse_not_run) {
    return {result_code::no_upstream, executed::no, RetryAfter(state, context),
            ""};
  }
  return {result_code::upstream_failed, executed::unknown, {}, ""};
}

/** @brief Ends a request for which no attempt succeeded. */
asio::awaitable<void> EndUnanswered(
    edge_state& state,
    std::shared_ptr<request_context> context,
    next_step step,
    std::optional<net::http_response> upstream_response,
    net::exchange& exchange) {
  if (context->caller_left) {
    exchange.Abort();
    LogRequestEnd(state, *context, 0, "caller_left");
    co_return;
  }
  if (step == next_step::cut_off) {
    exchange.Abort();
    LogRequestEnd(state, *context, 0, "cut_off");
    co_return;
  }
  // The status for a request that ran must not say that it was not executed.
  if (step == next_step::forward_failure && upstream_response &&
      !MeansNotExecuted(upstream_response->status)) {
    const auto status = upstream_response->status;
    co_await exchange.Respond(*std::move(upstream_response));
    LogRequestEnd(state, *context, status, "upstream_failed");
    co_return;
  }
  auto reason = MakeRefusal(state, *context, step);
  co_await Refuse(state, *context, std::move(reason), exchange);
}

}  // namespace
}  // namespace internal

void LogRequestEnd(edge_state& state,
                   const request_context& context,
                   int status,
                   std::string_view outcome) {
  const auto elapsed = ToMilliseconds(ElapsedSince(context.arrived_at));
  const auto route = context.route ? context.route->name : std::string("none");
  state.metrics.Count("mimosadeck_requests_total", "outcome",
                      std::string(outcome));
  state.metrics.Observe("mimosadeck_request_seconds", "route", route, elapsed);
  if (context.time_to_first_answer) {
    state.metrics.Observe("mimosadeck_first_answer_seconds", "route", route,
                          *context.time_to_first_answer);
    if (context.expected_first_answer) {
      state.metrics.Observe("mimosadeck_expected_first_answer_seconds", "route",
                            route, *context.expected_first_answer);
    }
  }
  telemetry::Log(
      telemetry::level::info, "request_ended",
      {{"request", context.caller_request.id},
       {"outcome", outcome},
       {"status", std::to_string(status)},
       {"route", route},
       {"service", context.service},
       {"account", context.AccountName()},
       {"urgency", std::to_string(context.Urgency())},
       {"manifest_version",
        context.table ? std::to_string(context.table->Version()) : "none"},
       {"attempts", context.attempt_log},
       {"events", std::to_string(context.framer.events)},
       {"expected_ms",
        internal::MillisecondsOrNone(context.expected_first_answer)},
       {"begun_ms", internal::MillisecondsOrNone(context.time_to_first_answer)},
       {"pause_ms", std::to_string(context.longest_event_gap.count())},
       {"condemned_by",
        context.condemned_by.empty() ? "none" : context.condemned_by},
       {"limited_upstreams", std::to_string(context.limited_upstreams)},
       {"stop_ms", internal::MillisecondsOrNone(context.arrived_in_stop)},
       {"long_prompt", context.has_long_prompt ? "yes" : "no"},
       {"beside_long_prompts", context.beside_long_prompts ? "yes" : "no"},
       {"taken_ms", std::to_string(elapsed.count())}});
}

bool MayRetry(edge_state& state,
              request_context& context,
              forwarding::attempt_end ended) {
  if (context.caller_left || context.is_cancelled ||
      std::chrono::steady_clock::now() >= context.deadline) {
    return false;
  }
  if (!forwarding::MayRetry(context.progress, {}, *context.route, ended)) {
    return false;
  }
  if (context.progress.answer_started && !answer::CanResume(context.framer)) {
    return false;
  }
  if (IsCondemned(state, context)) {
    return false;
  }
  if (ended == forwarding::attempt_end::not_connected) {
    return true;
  }
  return retry::TryRetry(state.retry_budgets[context.service],
                         internal::RetryLimit(state), EntryCount(state),
                         SuspendAwareNow());
}

void CancelUnanswered(const edge_state& state) {
  for (auto* context : *state.running_requests) {
    if (context->progress.answer_started) {
      continue;
    }
    context->is_cancelled = true;
    if (context->active_call) {
      context->active_call->Close();
    }
  }
}

void LogRequestsCutOff(const edge_state& state) {
  for (const auto* context : *state.running_requests) {
    const auto time_left =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            context->deadline - std::chrono::steady_clock::now());
    telemetry::Log(
        telemetry::level::warning, "request_cut_off",
        {{"request", context->caller_request.id},
         {"route", context->route ? context->route->name : "none"},
         {"attempts", context->attempt_log},
         {"events", std::to_string(context->framer.events)},
         {"begun_ms",
          internal::MillisecondsOrNone(context->time_to_first_answer)},
         {"stop_ms", internal::MillisecondsOrNone(context->arrived_in_stop)},
         {"taken_ms",
          std::to_string(
              ToMilliseconds(ElapsedSince(context->arrived_at)).count())},
         {"left_ms", std::to_string(time_left.count())}});
  }
}

asio::awaitable<void> Refuse(edge_state& state,
                             const request_context& context,
                             daemon::refusal reason,
                             net::exchange& exchange) {
  auto response = daemon::RefusalResponse(reason);
  constexpr int kUnavailable = 503;
  if (reason.code == result_code::quarantined) {
    response.status = kUnavailable;
  }
  if (reason.run == executed::unknown && response.status == kUnavailable) {
    response.status = internal::kGatewayTimeout;
  }
  if (reason.retry_after.count() > 0) {
    response.fields["retry-after"] =
        platform::EncodeRetryAfter(reason.retry_after);
  }
  if (!context.caller_request.id.empty()) {
    response.fields["x-request-id"] = context.caller_request.id;
  }
  const auto status = response.status;
  co_await exchange.Respond(std::move(response));
  LogRequestEnd(state, context, status, ResultCodeName(reason.code));
}

asio::awaitable<void> Forward(edge_state& state,
                              std::shared_ptr<request_context> context,
                              net::exchange& exchange) {
  using forwarding::next_step;
  retry::OnFirstAttempt(state.retry_budgets[context->service],
                        internal::RetryLimit(state), EntryCount(state),
                        SuspendAwareNow());
  const auto started_at = SuspendAwareNow();
  while (true) {
    const auto selection = internal::ChooseUpstream(state, *context);
    if (!selection) {
      const auto step = forwarding::OnNoAttemptLeft(context->progress);
      std::optional<net::http_response> no_response;
      co_await internal::EndUnanswered(state, context, step,
                                       std::move(no_response), exchange);
      co_return;
    }
    context->tried_upstreams.insert(selection->incarnation);
    context->expected_first_answer = selection->expected;
    context->has_long_prompt = selection->is_long;
    context->beside_long_prompts = selection->beside_long;
    auto chosen = *selection;
    auto outcome =
        co_await RunAttempt(state, context, std::move(chosen), exchange);
    context->attempt_log +=
        (context->attempt_log.empty() ? "" : " ") + selection->upstream->id;
    if (auto* complete = std::get_if<complete_response>(&outcome)) {
      internal::ClearSuspect(state, *context);
      const auto status = complete->response.status;
      const bool is_written =
          co_await exchange.Respond(std::move(complete->response));
      internal::RecordServiceTime(state, *context, started_at);
      const auto* outcome_name = complete->is_success ? "served" : "passed_on";
      LogRequestEnd(state, *context, status,
                    is_written ? outcome_name : "caller_left");
      co_return;
    }
    if (std::holds_alternative<stream_finished>(outcome)) {
      internal::ClearSuspect(state, *context);
      const bool ended = co_await exchange.EndStream();
      internal::RecordServiceTime(state, *context, started_at);
      LogRequestEnd(state, *context, 200, ended ? "served" : "caller_left");
      co_return;
    }
    auto& failed = std::get<attempt_failure>(outcome);
    context->attempt_log += ':' + std::string(internal::NameOf(failed.end));
    const bool was_granted = std::exchange(context->retry_granted, false);
    const bool may_retry =
        !context->caller_left &&
        (was_granted || MayRetry(state, *context, failed.end));
    state.metrics.Count("mimosadeck_attempts_failed_total", "end",
                        std::string(internal::NameOf(failed.end)));
    if (may_retry) {
      state.metrics.Count("mimosadeck_repeats_total", "service",
                          context->service);
    }
    const auto next = forwarding::OnAttemptEnd(
        context->progress, {}, *context->route, failed.end, may_retry);
    internal::LogAttempt(*context, *selection, failed, next);
    if (next != next_step::send_again) {
      co_await internal::EndUnanswered(
          state, context, next, std::move(failed.upstream_response), exchange);
      co_return;
    }
  }
}

}  // namespace mimosadeck::edge
