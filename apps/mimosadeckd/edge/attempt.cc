#include "mimosadeckd/edge/attempt.h"

#include <algorithm>
#include <array>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "mimosadeckd/edge/crashes.h"
#include "mimosadeckd/edge/upstream_signs.h"

namespace mimosadeck::edge {
namespace internal {
namespace {

using forwarding::attempt_end;
using steady = std::chrono::steady_clock;

/** Connecting takes one round trip. Retransmission of a lost packet takes a
 * second, so another upstream is tried earlier. */
constexpr std::chrono::milliseconds kConnectTimeout{250};
/** Idle limit for reusing a connection for a request that must not run twice:
 * if the upstream has closed the connection, it is unknown whether the request
 * ran. */
constexpr std::chrono::milliseconds kMaxIdleUnrepeatable{500};
/** Idle limit for reusing a connection for repeatable requests. */
constexpr std::chrono::milliseconds kMaxIdleRepeatable{5000};
constexpr std::size_t kMaxResponseBytes = 16U << 20U;
/** Reason of an attempt that ends because of other responses. */
constexpr const char* kNoMemoryLeft = "no memory left for responses";
/** Responses to other requests that are skipped on a connection. */
constexpr int kMaxStrayResponses = 2;
constexpr int kFirstServerError = 500;
/** A prompt part that crashes upstreams does so when they begin to write the
 * answer; one that is written for longer is not of it. */
constexpr std::chrono::milliseconds kMaxTimeToCrash{1000};

/** @brief One attempt at one upstream. */
class attempt {
 public:
  attempt(edge_state& state,
          std::shared_ptr<request_context> context,
          placement::selection selection,
          net::exchange& exchange)
      : state_(state),
        context_(std::move(context)),
        selection_(std::move(selection)),
        exchange_(exchange),
        call_(state.upstream_connections, state.io.get_executor()),
        held_(state.response_memory),
        stall_timer_(state.io) {}
  ~attempt() { context_->active_call = nullptr; }
  attempt(const attempt&) = delete;
  attempt& operator=(const attempt&) = delete;

  asio::awaitable<attempt_result> Run() {
    auto& pool = state_.pools[context_->service];
    sent_at_ = SuspendAwareNow();
    placement::OnSent(pool, state_.placement_options, selection_, context_->job,
                      sent_at_);
    started_ = steady::now();
    context_->active_call = &call_;
    auto outcome = co_await Exchange();
    placement::OnEnded(pool, selection_, has_begun_);
    ReportOutcome(pool, outcome);
    co_return outcome;
  }

 private:
  asio::awaitable<attempt_result> Exchange() {
    auto request =
        platform::EncodeForUpstream(context_->request, MakeSendFacts());
    auto options = MakeCallOptions();
    if (auto failed =
            co_await call_.Send(std::move(request), std::move(options))) {
      co_return MakeFailure(*failed);
    }
    auto answer = ReadHead();
    for (int i = 0; IsStray(answer) && !answer.request_id.empty() &&
                    i < kMaxStrayResponses;
         ++i) {
      if (auto failed = co_await call_.SkipToNextResponse()) {
        co_return MakeFailure(*failed);
      }
      answer = ReadHead();
    }
    if (IsStray(answer)) {
      const auto* reason = answer.request_id.empty()
                               ? "response names no request"
                               : "response belongs to another request";
      co_return attempt_failure{attempt_end::broke_off, false, reason,
                                std::nullopt};
    }
    constexpr int kOk = 200;
    const bool is_stream =
        context_->route->kind == routing::request_kind::stream &&
        call_.Status() == kOk && answer.is_event_stream && !answer.not_run;
    if (is_stream && answer.is_signed) {
      auto outcome = co_await ForwardStream();
      co_return outcome;
    }
    auto outcome = co_await ReceiveComplete(answer);
    co_return outcome;
  }

  platform::upstream_answer ReadHead() {
    auto answer = platform::DecodeAnswer(call_.Status(), call_.Fields());
    // A response to another request may be an old one written again, whose
    // pause is over and whose 421 was for another upstream.
    if (IsStray(answer)) {
      LogStray(answer);
      return answer;
    }
    ApplyUpstreamSignals(state_, selection_, answer);
    ApplyUpstreamLimit(state_, selection_, answer, sent_at_);
    return answer;
  }

  /**
   * Returns whether a response may belong to another request. One without an
   * id is trusted only if no earlier request used the connection and it does
   * not state that the request was not run: a wrong statement would let the
   * request run twice.
   */
  [[nodiscard]] bool IsStray(const platform::upstream_answer& answer) const {
    if (!answer.request_id.empty()) {
      return answer.request_id != context_->caller_request.id;
    }
    return answer.not_run || !call_.IsFirstOnConnection();
  }

  void LogStray(const platform::upstream_answer& answer) const {
    telemetry::Log(
        telemetry::level::warning, "stray_response",
        {{"request", context_->caller_request.id},
         {"upstream", selection_.incarnation},
         {"named", answer.request_id.empty() ? "none" : answer.request_id},
         {"status", std::to_string(call_.Status())}});
  }

  asio::awaitable<attempt_result> ReceiveComplete(
      platform::upstream_answer answer) {
    auto body = co_await ReadResponseBody();
    if (const auto* failed = std::get_if<net::call_failure>(&body)) {
      co_return MakeFailure(*failed);
    }
    net::http_response response;
    response.status = call_.Status();
    response.fields = platform::FieldsForCaller(call_.Fields());
    response.body = std::get<std::string>(std::move(body));
    if (answer.not_run) {
      co_return attempt_failure{attempt_end::refused, false,
                                "status " + std::to_string(response.status),
                                std::nullopt};
    }
    OnFirstAnswer();
    if (response.status >= kFirstServerError ||
        MeansNotExecuted(response.status)) {
      co_return attempt_failure{attempt_end::failed, false,
                                "status " + std::to_string(response.status),
                                std::move(response), std::move(held_)};
    }
    constexpr int kFirstRedirect = 300;
    const bool is_success = response.status < kFirstRedirect;
    if ((is_success && !answer.is_signed) ||
        context_->progress.answer_started) {
      co_return attempt_failure{
          attempt_end::broke_off, false,
          "response is unsigned or does not continue the stream", std::nullopt};
    }
    co_return complete_response{std::move(response), is_success,
                                std::move(held_)};
  }

  /** Reads a complete body, within the memory limit shared by all responses. */
  asio::awaitable<net::http_call::piece> ReadResponseBody() {
    std::string body;
    while (true) {
      auto piece = co_await call_.ReadPiece();
      if (std::holds_alternative<net::call_failure>(piece)) {
        co_return piece;
      }
      const auto& bytes = std::get<std::string>(piece);
      if (bytes.empty()) {
        co_return body;
      }
      body += bytes;
      held_.Set(body.capacity());
      const bool is_oversized = body.size() > kMaxResponseBytes;
      if (is_oversized || !held_.IsWithinLimit()) {
        call_.Close();
        co_return net::call_failure{
            net::call_progress::sent, false,
            is_oversized ? "response too large" : kNoMemoryLeft};
      }
    }
  }

  asio::awaitable<attempt_result> ForwardStream() {
    answer::BeginRun(context_->framer);
    RestartStallTimer();
    while (true) {
      auto piece = co_await call_.ReadPiece();
      if (context_->retry_granted) {
        co_return MakeFailure(
            {net::call_progress::sent, true, "no event within the stall time"});
      }
      if (const auto* failed = std::get_if<net::call_failure>(&piece)) {
        co_return MakeFailure(*failed);
      }
      const auto& bytes = std::get<std::string>(piece);
      if (bytes.empty()) {
        break;
      }
      auto whole_events = answer::TakeCompleteEvents(context_->framer, bytes);
      held_.Set(context_->framer.rest.capacity() + whole_events.capacity());
      const bool is_oversized = answer::IsOversized(context_->framer);
      if (is_oversized || !held_.IsWithinLimit()) {
        call_.Close();
        co_return MakeFailure(
            {net::call_progress::sent, false,
             is_oversized ? "event too large" : kNoMemoryLeft});
      }
      if (whole_events.empty() && !context_->framer.misplaced) {
        continue;
      }
      OnFirstAnswer();
      if (whole_events.empty()) {
        co_return StopMisplacedRun();
      }
      RecordEventGap();
      RecordIfLasting();
      // The caller's slowness is not that of the upstream.
      awaits_caller_ = true;
      const bool is_written = co_await ForwardEvents(std::move(whole_events));
      awaits_caller_ = false;
      context_->last_event_at = steady::now();
      RestartStallTimer();
      held_.Set(context_->framer.rest.capacity());
      if (!is_written) {
        call_.Close();
        context_->caller_left = true;
        co_return MakeFailure(
            {net::call_progress::sent, false, "caller disconnected"});
      }
      if (context_->framer.misplaced) {
        co_return StopMisplacedRun();
      }
    }
    if (!answer::CanEnd(context_->framer) || !has_begun_) {
      co_return attempt_failure{attempt_end::broke_off, false,
                                "stream ended inside an event or without one",
                                std::nullopt};
    }
    co_return stream_finished{};
  }

  /** Cancels a run whose bytes do not continue the stream. */
  attempt_failure StopMisplacedRun() {
    call_.Close();
    return {attempt_end::broke_off, false,
            "run does not continue the stream: " +
                std::string(answer::Describe(*context_->framer.misplaced)),
            std::nullopt};
  }

  asio::awaitable<bool> ForwardEvents(std::string events) {
    if (!context_->progress.answer_started) {
      context_->progress.answer_started = true;
      auto fields = platform::FieldsForCaller(call_.Fields());
      const bool begun =
          co_await exchange_.BeginStream(call_.Status(), std::move(fields));
      if (!begun) {
        co_return false;
      }
    }
    const bool written = co_await exchange_.WriteChunk(std::move(events));
    co_return written;
  }

  void RestartStallTimer() {
    const auto stall =
        forwarding::StallTimeout(context_->progress, *context_->route);
    if (!stall) {
      return;
    }
    stall_timer_.expires_after(*stall);
    stall_timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](
                                boost::system::error_code failure) {
      if (!failure && !alive.expired() && !awaits_caller_) {
        OnStall();
      }
    });
  }

  /** Ends a silent run if another one can continue the stream. */
  void OnStall() {
    const auto& pool = state_.pools[context_->service];
    const bool has_other_upstream =
        placement::Choose(pool, state_.placement_options, context_->job,
                          state_.machine.data_centre, context_->tried_upstreams,
                          SuspendAwareNow())
            .has_value();
    context_->retry_granted =
        has_other_upstream &&
        MayRetry(state_, *context_, attempt_end::broke_off);
    if (context_->retry_granted) {
      call_.Close();
    } else {
      RestartStallTimer();
    }
  }

  void RecordEventGap() {
    const auto now = steady::now();
    if (context_->progress.answer_started) {
      const auto gap = std::chrono::duration_cast<std::chrono::milliseconds>(
          now - context_->last_event_at);
      context_->longest_event_gap = std::max(context_->longest_event_gap, gap);
    }
    context_->last_event_at = now;
  }

  [[nodiscard]] platform::forwarding_fields MakeSendFacts() const {
    platform::forwarding_fields out;
    out.time_left = std::chrono::duration_cast<std::chrono::milliseconds>(
        context_->deadline - steady::now());
    out.upstream_id = selection_.upstream->id;
    out.account = context_->AccountName();
    out.priority = context_->Urgency();
    if (context_->progress.answer_started) {
      out.last_event_id = context_->framer.last_id;
    }
    return out;
  }

  [[nodiscard]] net::call_options MakeCallOptions() const {
    net::call_options out;
    out.server = selection_.incarnation;
    out.address = selection_.upstream->address;
    out.connect_timeout = kConnectTimeout;
    out.deadline = context_->deadline;
    out.max_idle_time = forwarding::IsRetryable(*context_->route)
                            ? kMaxIdleRepeatable
                            : kMaxIdleUnrepeatable;
    return out;
  }

  static attempt_failure MakeFailure(const net::call_failure& failed) {
    return {failed.progress == net::call_progress::not_sent
                ? attempt_end::not_connected
                : attempt_end::broke_off,
            failed.timed_out, failed.message, std::nullopt};
  }

  void OnFirstAnswer() {
    if (has_begun_) {
      return;
    }
    has_begun_ = true;
    begun_at_ = steady::now();
    const auto elapsed = ElapsedSince(started_);
    if (!context_->time_to_first_answer) {
      context_->time_to_first_answer =
          ToMilliseconds(ElapsedSince(context_->arrived_at));
    }
    placement::OnAnswerStarted(state_.pools[context_->service], selection_,
                               elapsed);
    if (context_->account) {
      metering::Count(state_.tally,
                      ProcessIdentity(state_.machine.name, state_.incarnation),
                      metering::WindowAt(FleetTime(state_),
                                         state_.machine.bounds.billing_window),
                      context_->account->name);
    }
  }

  /** Returns for how long the answer has been running. */
  [[nodiscard]] std::optional<std::chrono::milliseconds> BegunFor() const {
    if (!begun_at_) {
      return std::nullopt;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() -
                                                                 *begun_at_);
  }

  /** Records the prompt parts as served once the answer runs for longer than
   * one that crashes its upstream. */
  void RecordIfLasting() {
    if (is_lasting_ || BegunFor() < kMaxTimeToCrash) {
      return;
    }
    is_lasting_ = true;
    RecordServedParts(state_, context_->part_names);
  }

  void RecordIfServed(const attempt_result& outcome) {
    const auto* complete = std::get_if<complete_response>(&outcome);
    const bool is_served = std::holds_alternative<stream_finished>(outcome) ||
                           (complete && complete->is_success);
    if (!is_served || is_lasting_) {
      return;
    }
    // Such an end may be that of the upstream.
    if (call_.EndsWithConnection()) {
      Investigate("answer ended with its connection", false);
      return;
    }
    RecordServedParts(state_, context_->part_names);
  }

  void Investigate(const std::string& reason, bool timed_out) {
    broken_attempt broken;
    broken.request_id = context_->caller_request.id;
    broken.fingerprint = FingerprintOf(*context_);
    broken.service = context_->service;
    broken.upstream = selection_.incarnation;
    broken.address = selection_.upstream->address;
    broken.reason = reason;
    broken.timed_out = timed_out;
    if (!is_lasting_) {
      broken.suspect_parts = context_->part_names;
    }
    broken.begun_for = BegunFor();
    broken.sent_at = sent_at_;
    broken.ended_at = SuspendAwareNow();
    InvestigateBrokenAttempt(state_, std::move(broken));
  }

  void ReportOutcome(placement::pool& pool, const attempt_result& outcome) {
    const auto now = SuspendAwareNow();
    const auto* failed = std::get_if<attempt_failure>(&outcome);
    const bool is_caused_here = context_->caller_left || context_->is_cancelled;
    if (is_caused_here || (failed && failed->end == attempt_end::refused)) {
      return;
    }
    auto observed = outlier::outcome::served;
    if (failed) {
      observed = failed->end == attempt_end::not_connected || failed->timed_out
                     ? outlier::outcome::unreachable
                     : outlier::outcome::failed;
    }
    placement::OnOutcome(pool, state_.placement_options, selection_, observed,
                         ElapsedSince(started_), now);
    RecordIfServed(outcome);
    if (failed && failed->end == attempt_end::broke_off) {
      Investigate(failed->reason, failed->timed_out);
    }
  }

  edge_state& state_;
  std::shared_ptr<request_context> context_;
  placement::selection selection_;
  net::exchange& exchange_;
  net::http_call call_;
  /** Bytes of the response that were received and not yet passed on. */
  forwarding::held_bytes held_;
  asio::steady_timer stall_timer_;
  std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
  /** Events are being written to the caller. */
  bool awaits_caller_{};
  steady::time_point started_;
  mono_time sent_at_;
  bool has_begun_{};
  std::optional<steady::time_point> begun_at_;
  /** The answer has been running for kMaxTimeToCrash. */
  bool is_lasting_{};
};

}  // namespace
}  // namespace internal

bool MeansNotExecuted(int status) {
  constexpr std::array kNotExecutedStatuses{408, 421, 429, 503};
  return std::find(kNotExecutedStatuses.begin(), kNotExecutedStatuses.end(),
                   status) != kNotExecutedStatuses.end();
}

asio::awaitable<attempt_result> RunAttempt(
    edge_state& state,
    std::shared_ptr<request_context> context,
    placement::selection selection,
    net::exchange& exchange) {
  internal::attempt attempt(state, std::move(context), std::move(selection),
                            exchange);
  auto outcome = co_await attempt.Run();
  co_return outcome;
}

}  // namespace mimosadeck::edge
