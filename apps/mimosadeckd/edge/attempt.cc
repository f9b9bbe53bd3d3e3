#include "mimosadeckd/edge/attempt.h"

#include <algorithm>
#include <array>

#include <boost/asio/use_awaitable.hpp>

#include "mimosadeckd/edge/crashes.h"
#include "mimosadeckd/edge/upstream_signs.h"

namespace mimosadeck::edge {
namespace internal {
namespace {

using forwarding::attempt_end;
using steady = std::chrono::steady_clock;

/** Connecting takes a round trip; a lost packet costs a second, so another
 * upstream is tried before. */
constexpr std::chrono::milliseconds kConnectTimeout{250};
/** A request that must not run twice is sent only on a connection that was used
 * just now, since one that the upstream has closed leaves its fate unknown. */
constexpr std::chrono::milliseconds kLongestIdleOnce{500};
constexpr std::chrono::milliseconds kLongestIdle{5000};
constexpr std::size_t kMostAnswerBytes = 16U << 20U;
/** Part of the machine's memory for answers that are not passed on yet. */
constexpr std::uint64_t kAnswerMemoryPart = 4;
/** The same where the machine's memory is not known. */
constexpr std::uint64_t kAnswerMemoryBytes = 64U << 20U;
constexpr std::uint64_t kBytesPerMb = 1U << 20U;
/** Events hold some tokens; one that grows beyond this has no end. */
constexpr std::size_t kMostEventBytes = 1U << 20U;
/** Answers of other requests that are skipped on a connection. */
constexpr int kMostStrayAnswers = 2;
constexpr int kFirstServerError = 500;

std::uint64_t AnswerMemory(const platform::machine_settings& machine) {
  return machine.memory_mb == 0
             ? kAnswerMemoryBytes
             : machine.memory_mb * kBytesPerMb / kAnswerMemoryPart;
}

/** @brief Bytes of one answer among those that all answers may hold. */
class held_bytes {
 public:
  explicit held_bytes(std::shared_ptr<std::uint64_t> all)
      : all_(std::move(all)) {}
  ~held_bytes() { *all_ -= own_; }
  held_bytes(const held_bytes&) = delete;
  held_bytes& operator=(const held_bytes&) = delete;

  void Add(std::uint64_t bytes) {
    own_ += bytes;
    *all_ += bytes;
  }

 private:
  std::shared_ptr<std::uint64_t> all_;
  std::uint64_t own_{};
};

/** @brief One attempt at one upstream. */
class attempt {
 public:
  attempt(edge_state& state,
          std::shared_ptr<work> work,
          placement::ticket ticket,
          net::exchange& exchange)
      : state_(state),
        work_(std::move(work)),
        ticket_(std::move(ticket)),
        exchange_(exchange),
        call_(state.upstream_connections, state.io.get_executor()) {}
  ~attempt() { work_->call = nullptr; }
  attempt(const attempt&) = delete;
  attempt& operator=(const attempt&) = delete;

  asio::awaitable<attempt_result> Run() {
    auto& pool = state_.pools[work_->service];
    placement::OnSent(pool, state_.placement_options, ticket_, work_->job,
                      SuspendAwareNow());
    started_ = steady::now();
    work_->call = &call_;
    auto outcome = co_await Exchange();
    placement::OnEnded(pool, ticket_, begun_);
    Report(pool, outcome);
    co_return outcome;
  }

 private:
  asio::awaitable<attempt_result> Exchange() {
    auto request = platform::EncodeForUpstream(work_->received, Facts());
    auto options = Options();
    if (auto failed =
            co_await call_.Send(std::move(request), std::move(options))) {
      co_return Failure(*failed);
    }
    auto answer = TakeHead();
    for (int i = 0;
         IsStray(answer) && !answer.request_id.empty() && i < kMostStrayAnswers;
         ++i) {
      if (auto failed = co_await call_.SkipToNext()) {
        co_return Failure(*failed);
      }
      answer = TakeHead();
    }
    if (IsStray(answer)) {
      co_return attempt_failure{attempt_end::broke_off, false,
                                "answer of another request", std::nullopt};
    }
    constexpr int kOk = 200;
    const bool streams = work_->route->kind == routing::request_kind::stream &&
                         call_.Status() == kOk && answer.is_event_stream &&
                         !answer.not_run;
    if (streams && answer.is_signed) {
      auto outcome = co_await PassStreamOn();
      co_return outcome;
    }
    auto outcome = co_await TakeWhole(answer);
    co_return outcome;
  }

  platform::upstream_answer TakeHead() {
    auto answer = platform::DecodeAnswer(call_.Status(), call_.Fields());
    TakeSigns(state_, ticket_, answer);
    return answer;
  }

  /** An answer without an id can only be trusted where no earlier request used
   * the connection. */
  [[nodiscard]] bool IsStray(const platform::upstream_answer& answer) const {
    return answer.request_id.empty() ? !call_.IsFirstOnConnection()
                                     : answer.request_id != work_->asked.id;
  }

  asio::awaitable<attempt_result> TakeWhole(platform::upstream_answer answer) {
    auto body = co_await ReadAnswer();
    if (const auto* failed = std::get_if<net::call_failure>(&body)) {
      co_return Failure(*failed);
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
    OnBegun();
    if (response.status >= kFirstServerError || IsPromise(response.status)) {
      co_return attempt_failure{attempt_end::failed, false,
                                "status " + std::to_string(response.status),
                                std::move(response)};
    }
    constexpr int kFirstRedirect = 300;
    const bool is_success = response.status < kFirstRedirect;
    if ((is_success && !answer.is_signed) || work_->progress.answer_started) {
      co_return attempt_failure{attempt_end::broke_off, false,
                                "answer is not the upstream's", std::nullopt};
    }
    co_return whole_answer{std::move(response), is_success};
  }

  /** Reads an answer whole, within the memory that all answers share. */
  asio::awaitable<net::http_call::piece> ReadAnswer() {
    held_bytes held(state_.answer_bytes);
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
      held.Add(bytes.size());
      body += bytes;
      if (body.size() > kMostAnswerBytes ||
          *state_.answer_bytes > AnswerMemory(state_.machine)) {
        call_.Close();
        co_return net::call_failure{net::call_progress::sent, false,
                                    "answer too large"};
      }
    }
  }

  asio::awaitable<attempt_result> PassStreamOn() {
    ExpectEvent();
    while (true) {
      auto piece = co_await call_.ReadPiece();
      if (const auto* failed = std::get_if<net::call_failure>(&piece)) {
        work_->events.rest.clear();
        co_return Failure(*failed);
      }
      const auto& bytes = std::get<std::string>(piece);
      if (bytes.empty()) {
        break;
      }
      auto whole = answer::TakeCompleteEvents(work_->events, bytes);
      if (work_->events.rest.size() > kMostEventBytes) {
        call_.Close();
        work_->events.rest.clear();
        co_return Failure({net::call_progress::sent, false, "event too large"});
      }
      if (whole.empty()) {
        continue;
      }
      OnBegun();
      NotePause();
      ExpectEvent();
      const bool taken = co_await PassOn(std::move(whole));
      if (!taken) {
        call_.Close();
        work_->caller_left = true;
        co_return Failure({net::call_progress::sent, false, "caller left"});
      }
    }
    if (!work_->events.rest.empty() || !begun_) {
      work_->events.rest.clear();
      co_return attempt_failure{attempt_end::broke_off, false,
                                "stream ended inside an event", std::nullopt};
    }
    co_return stream_done{};
  }

  asio::awaitable<bool> PassOn(std::string events) {
    if (!work_->progress.answer_started) {
      work_->progress.answer_started = true;
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

  void ExpectEvent() {
    if (const auto stall = forwarding::StallTimeout(*work_->route)) {
      call_.SetDeadline(std::min(work_->deadline, steady::now() + *stall));
    }
  }

  void NotePause() {
    const auto now = steady::now();
    if (work_->progress.answer_started) {
      const auto pause = std::chrono::duration_cast<std::chrono::milliseconds>(
          now - work_->last_piece);
      work_->longest_pause = std::max(work_->longest_pause, pause);
    }
    work_->last_piece = now;
  }

  [[nodiscard]] platform::send_facts Facts() const {
    platform::send_facts out;
    out.time_left = std::chrono::duration_cast<std::chrono::milliseconds>(
        work_->deadline - steady::now());
    out.upstream_id = ticket_.entry->id;
    out.account = work_->AccountName();
    out.priority = work_->Urgency();
    if (work_->progress.answer_started) {
      out.resume_after = work_->events.last_id;
    }
    return out;
  }

  [[nodiscard]] net::call_options Options() const {
    net::call_options out;
    out.server = ticket_.incarnation;
    out.address = ticket_.entry->address;
    out.connect_timeout = kConnectTimeout;
    out.deadline = work_->deadline;
    out.longest_idle = forwarding::IsRetryable(*work_->route)
                           ? kLongestIdle
                           : kLongestIdleOnce;
    return out;
  }

  static attempt_failure Failure(const net::call_failure& failed) {
    return {failed.progress == net::call_progress::not_sent
                ? attempt_end::not_connected
                : attempt_end::broke_off,
            failed.silent, failed.message, std::nullopt};
  }

  void OnBegun() {
    if (begun_) {
      return;
    }
    begun_ = true;
    const auto taken = Since(started_);
    if (!work_->begun_after) {
      work_->begun_after = Ms(Since(work_->arrived));
    }
    placement::OnBegun(state_.pools[work_->service], ticket_, taken);
    if (work_->account) {
      metering::Count(state_.tally,
                      SourceName(state_.machine.name, state_.incarnation),
                      metering::WindowAt(FleetTime(state_),
                                         state_.machine.bounds.billing_window),
                      work_->account->name);
    }
  }

  void Report(placement::pool& pool, const attempt_result& outcome) {
    const auto now = SuspendAwareNow();
    const auto* failed = std::get_if<attempt_failure>(&outcome);
    const bool is_callers_doing = work_->caller_left;
    if (is_callers_doing || (failed && failed->end == attempt_end::refused)) {
      return;
    }
    auto seen = outlier::outcome::served;
    if (failed) {
      seen = failed->end == attempt_end::not_connected || failed->silent
                 ? outlier::outcome::unreachable
                 : outlier::outcome::failed;
    }
    placement::OnOutcome(pool, state_.placement_options, ticket_, seen,
                         Since(started_), now);
    if (failed && failed->end == attempt_end::broke_off) {
      InvestigateBreak(
          state_, {work_->asked.id, FingerprintOf(*work_), work_->service,
                   ticket_.incarnation, ticket_.entry->address, failed->reason,
                   failed->silent, now});
    }
  }

  edge_state& state_;
  std::shared_ptr<work> work_;
  placement::ticket ticket_;
  net::exchange& exchange_;
  net::http_call call_;
  steady::time_point started_;
  bool begun_{};
};

}  // namespace
}  // namespace internal

bool IsPromise(int status) {
  constexpr std::array kPromises{408, 421, 429, 503};
  return std::find(kPromises.begin(), kPromises.end(), status) !=
         kPromises.end();
}

asio::awaitable<attempt_result> RunAttempt(edge_state& state,
                                           std::shared_ptr<work> work,
                                           placement::ticket ticket,
                                           net::exchange& exchange) {
  internal::attempt attempt(state, std::move(work), std::move(ticket),
                            exchange);
  auto outcome = co_await attempt.Run();
  co_return outcome;
}

}  // namespace mimosadeck::edge
