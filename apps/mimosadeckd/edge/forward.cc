#include <boost/asio/use_awaitable.hpp>

#include "mimosadeckd/edge/attempt.h"

namespace mimosadeck::edge {
namespace internal {
namespace {

using daemon::refusal;
using forwarding::attempt_end;
using forwarding::next_step;
using steady = std::chrono::steady_clock;

constexpr int kTimeLimitPassed = 504;
/** Retry-After when no upstream can be reached: registrations and connections
 * come back within about this time. */
constexpr std::chrono::milliseconds kNoUpstreamPause{400};

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

void LogAttempt(const work& work,
                const placement::ticket& ticket,
                const attempt_failure& failed,
                next_step next) {
  telemetry::Log(
      telemetry::level::warning, "attempt_failed",
      {{"request", work.asked.id},
       {"upstream", ticket.incarnation},
       {"address", ticket.entry->address},
       {"end", NameOf(failed.end)},
       {"reason", failed.reason},
       {"events_passed_on", std::to_string(work.events.events)},
       {"sent_again", next == next_step::send_again ? "yes" : "no"}});
}

retry::limit LimitOf(const edge_state& state) {
  const auto& bounds = state.machine.bounds;
  return {bounds.retry_ratio, bounds.retry_extra, bounds.retry_window};
}

/** @brief Tells whether the request may be sent once more. */
bool IsCovered(edge_state& state, work& work, attempt_end ended) {
  if (work.caller_left || steady::now() >= work.deadline) {
    return false;
  }
  if (!forwarding::MayRetry(work.progress, {}, *work.route, ended)) {
    return false;
  }
  if (!state.suspect_table.suspects.empty() &&
      quarantine::IsCondemned(state.suspect_table, FingerprintOf(work))) {
    return false;
  }
  if (ended == attempt_end::not_connected) {
    return true;
  }
  return retry::TryRetry(state.budgets[work.service], LimitOf(state),
                         EntryCount(state), SuspendAwareNow());
}

/** Routes whose times are kept; manifests add and remove some all the time. */
constexpr std::size_t kMostRoutesTimed = 4096;

std::shared_ptr<forwarding::service_times> TimesOf(edge_state& state,
                                                   const std::string& route) {
  auto& all = state.service_times;
  if (all.size() >= kMostRoutesTimed && !all.contains(route)) {
    all.clear();
  }
  auto& found = all[route];
  if (!found) {
    found = std::make_shared<forwarding::service_times>();
  }
  return found;
}

/** @brief Takes the time of a request from its first attempt to its end. */
class timed_request {
 public:
  timed_request(std::shared_ptr<forwarding::service_times> times,
                const forwarding::service_time_options& options)
      : times_(std::move(times)), options_(options), began_(SuspendAwareNow()) {
    forwarding::OnStarted(*times_, began_);
  }
  ~timed_request() {
    forwarding::OnEnded(*times_, options_, began_, is_served_,
                        SuspendAwareNow());
  }
  timed_request(const timed_request&) = delete;
  timed_request& operator=(const timed_request&) = delete;

  void OnServed() { is_served_ = true; }

 private:
  std::shared_ptr<forwarding::service_times> times_;
  forwarding::service_time_options options_;
  mono_time began_;
  bool is_served_{};
};

/** @brief Takes note that the request ran to its end and crashed nothing. */
void ClearSuspicion(edge_state& state, work& work) {
  if (!state.suspect_table.suspects.empty()) {
    quarantine::OnFinished(state.suspect_table, FingerprintOf(work));
  }
}

/** @brief Returns when a refused caller should come back. */
std::chrono::milliseconds ComeBackAfter(const edge_state& state,
                                        const work& work) {
  const auto pool = state.pools.find(work.service);
  if (pool == state.pools.end()) {
    return kNoUpstreamPause;
  }
  return placement::ComeBackAfter(pool->second, work.job, SuspendAwareNow())
      .value_or(kNoUpstreamPause);
}

refusal RefusalFor(const edge_state& state, const work& work, next_step step) {
  if (steady::now() >= work.deadline) {
    return {result_code::deadline_passed, executed::unknown, {}, ""};
  }
  if (step == next_step::refuse_not_run) {
    return {result_code::no_upstream, executed::no, ComeBackAfter(state, work),
            ""};
  }
  return {result_code::upstream_failed, executed::unknown, {}, ""};
}

/** @brief Ends a request that no attempt answered. */
asio::awaitable<void> GiveUp(edge_state& state,
                             std::shared_ptr<work> work,
                             next_step step,
                             std::optional<net::http_response> reported,
                             net::exchange& exchange) {
  if (work->caller_left) {
    exchange.CutOff();
    LogEnd(state, *work, 0, "caller_left");
    co_return;
  }
  if (step == next_step::cut_off) {
    exchange.CutOff();
    LogEnd(state, *work, 0, "cut_off");
    co_return;
  }
  // A request that ran must not be answered by a status that promises it did
  // not.
  if (step == next_step::forward_failure && reported &&
      !IsPromise(reported->status)) {
    const auto status = reported->status;
    co_await exchange.Respond(*std::move(reported));
    LogEnd(state, *work, status, "upstream_failed");
    co_return;
  }
  auto reason = RefusalFor(state, *work, step);
  co_await Refuse(state, *work, std::move(reason), exchange);
}

}  // namespace
}  // namespace internal

void LogEnd(edge_state& state,
            const work& work,
            int status,
            std::string_view outcome) {
  const auto taken = Ms(Since(work.arrived));
  const auto route = work.route ? work.route->name : std::string("none");
  state.metrics.Count("mimosadeck_requests_total", "outcome",
                      std::string(outcome));
  state.metrics.Observe("mimosadeck_request_seconds", "route", route, taken);
  if (work.begun_after) {
    state.metrics.Observe("mimosadeck_first_answer_seconds", "route", route,
                          *work.begun_after);
    if (work.expected) {
      state.metrics.Observe("mimosadeck_expected_first_answer_seconds", "route",
                            route, *work.expected);
    }
  }
  telemetry::Log(
      telemetry::level::info, "request_ended",
      {{"request", work.asked.id},
       {"outcome", outcome},
       {"status", std::to_string(status)},
       {"route", route},
       {"service", work.service},
       {"account", work.AccountName()},
       {"urgency", std::to_string(work.Urgency())},
       {"manifest_version",
        work.table ? std::to_string(work.table->Version()) : "none"},
       {"attempts", work.attempts},
       {"events", std::to_string(work.events.events)},
       {"expected_ms",
        work.expected ? std::to_string(work.expected->count()) : "none"},
       {"begun_ms",
        work.begun_after ? std::to_string(work.begun_after->count()) : "none"},
       {"pause_ms", std::to_string(work.longest_pause.count())},
       {"long_prompt", work.is_long ? "yes" : "no"},
       {"beside_long_prompts", work.beside_long ? "yes" : "no"},
       {"taken_ms", std::to_string(taken.count())}});
}

asio::awaitable<void> Refuse(edge_state& state,
                             const work& work,
                             daemon::refusal reason,
                             net::exchange& exchange) {
  auto response = daemon::RefusalResponse(reason);
  constexpr int kUnavailable = 503;
  if (reason.code == result_code::quarantined) {
    response.status = kUnavailable;
  }
  if (reason.run == executed::unknown && response.status == kUnavailable) {
    response.status = internal::kTimeLimitPassed;
  }
  if (reason.retry_after.count() > 0) {
    response.fields["retry-after"] =
        platform::EncodeRetryAfter(reason.retry_after);
  }
  if (!work.asked.id.empty()) {
    response.fields["x-request-id"] = work.asked.id;
  }
  const auto status = response.status;
  co_await exchange.Respond(std::move(response));
  LogEnd(state, work, status, ResultCodeName(reason.code));
}

asio::awaitable<void> Forward(edge_state& state,
                              std::shared_ptr<work> work,
                              net::exchange& exchange) {
  using forwarding::next_step;
  retry::OnFirstAttempt(state.budgets[work->service], internal::LimitOf(state),
                        EntryCount(state), SuspendAwareNow());
  internal::timed_request timed(internal::TimesOf(state, work->route->name),
                                state.service_time_options);
  while (true) {
    const auto ticket = placement::Choose(
        state.pools[work->service], state.placement_options, work->job,
        state.machine.data_centre, work->tried, SuspendAwareNow());
    if (!ticket) {
      const auto step = forwarding::OnNoAttemptLeft(work->progress);
      std::optional<net::http_response> reported;
      co_await internal::GiveUp(state, work, step, std::move(reported),
                                exchange);
      co_return;
    }
    work->tried.insert(ticket->incarnation);
    work->expected = ticket->expected;
    work->is_long = ticket->is_long;
    work->beside_long = ticket->beside_long;
    auto chosen = *ticket;
    auto outcome =
        co_await RunAttempt(state, work, std::move(chosen), exchange);
    work->attempts += (work->attempts.empty() ? "" : " ") + ticket->entry->id;
    if (auto* whole = std::get_if<whole_answer>(&outcome)) {
      internal::ClearSuspicion(state, *work);
      const auto status = whole->response.status;
      co_await exchange.Respond(std::move(whole->response));
      timed.OnServed();
      LogEnd(state, *work, status, whole->is_good ? "served" : "passed_on");
      co_return;
    }
    if (std::holds_alternative<stream_done>(outcome)) {
      internal::ClearSuspicion(state, *work);
      const bool ended = co_await exchange.EndStream();
      timed.OnServed();
      LogEnd(state, *work, 200, ended ? "served" : "caller_left");
      co_return;
    }
    auto& failed = std::get<attempt_failure>(outcome);
    work->attempts += ':' + std::string(internal::NameOf(failed.end));
    const bool covered = internal::IsCovered(state, *work, failed.end);
    state.metrics.Count("mimosadeck_attempts_failed_total", "end",
                        std::string(internal::NameOf(failed.end)));
    if (covered) {
      state.metrics.Count("mimosadeck_repeats_total", "service", work->service);
    }
    const auto next = forwarding::OnAttemptEnd(work->progress, {}, *work->route,
                                               failed.end, covered);
    internal::LogAttempt(*work, *ticket, failed, next);
    if (next != next_step::send_again) {
      co_await internal::GiveUp(state, work, next, std::move(failed.reported),
                                exchange);
      co_return;
    }
  }
}

}  // namespace mimosadeck::edge
