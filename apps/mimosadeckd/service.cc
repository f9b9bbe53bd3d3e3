#include <boost/json.hpp>

#include "mimosadeckd/call.h"

namespace mimosadeck::daemon {
namespace internal {
namespace {

namespace json = boost::json;

constexpr int kMaxAttempts = 4;
constexpr std::chrono::milliseconds kConnectTimeout{500};
constexpr std::chrono::milliseconds kRetryAfter{500};

void FillSlotRequest(call& work) {
  work.wanted.account = work.account.name;
  work.wanted.class_name = work.service_class.name;
  work.wanted.weight = work.account.weight > 0 ? work.account.weight : 1;
  work.wanted.tier = work.service_class.tier;
  work.wanted.expected_tokens = 1;
  work.wanted.max_wait = settings::MaxQueueWait(work.service_class);
  work.wanted.key_hash = work.key_hash;
}

net::call_limits MakeTimeouts(const call_context& context) {
  net::call_limits timeouts;
  timeouts.connect = kConnectTimeout;
  timeouts.inactivity_timeout = context.state.settings.silence_limit;
  return timeouts;
}

net::http_response ForwardedResponse(net::http_response in) {
  net::http_response out;
  out.status = in.status;
  const auto type = net::FieldOf(in.fields, "content-type");
  if (!type.empty()) {
    out.fields["content-type"] = type;
  }
  out.body = std::move(in.body);
  return out;
}

std::string EncodeAnswer(const net::http_response& response) {
  return json::serialize(json::object{
      {"status", response.status},
      {"content_type", net::FieldOf(response.fields, "content-type")},
      {"body", response.body}});
}

net::http_response DecodeAnswer(const std::string& text) {
  const auto parsed = json::parse(text);
  net::http_response out;
  out.status = parsed.at("status").to_number<int>();
  out.fields["content-type"] =
      json::value_to<std::string>(parsed.at("content_type"));
  out.fields["idempotent-replayed"] = "true";
  out.body = json::value_to<std::string>(parsed.at("body"));
  return out;
}

asio::awaitable<void> RecordUsage(call_context context,
                                  std::shared_ptr<call> work) {
  if (work->account.name.empty()) {
    co_return;
  }
  usage::amounts used;
  used.requests = 1;
  auto job = [context, work, used]() -> asio::awaitable<void> {
    return context.client_accounts.Record(work->account.name, used, 0);
  };
  co_await OnControl(context.state, std::move(job));
}

dispatch::ending EndingOf(const net::call_failure& failure) {
  return failure.timed_out ? dispatch::ending::upstream_silent
                           : dispatch::ending::upstream_failed;
}

/** @brief Outcome of one attempt: a response, a refused slot or a failure. */
struct attempt_outcome {
  std::optional<net::http_response> response;
  std::optional<slot_refusal> refused;
  net::call_failure failure;
};

asio::awaitable<attempt_outcome> RunAttempt(call_context context,
                                            std::shared_ptr<call> work,
                                            net::http_request upstream) {
  attempt_outcome out;
  const auto acquired = co_await AcquireSlot(context, work);
  if (const auto* refused = std::get_if<slot_refusal>(&acquired)) {
    out.refused = *refused;
    co_return out;
  }
  const auto& held = std::get<slot>(acquired);
  slot_ending ending;
  if (!IsKeyValid(context.state, *work) || *work->caller_gone) {
    ending.how = dispatch::ending::never_sent;
    ReleaseSlot(context, held, ending);
    slot_refusal refused;
    refused.code = result_code::key_withdrawn;
    out.refused = refused;
    co_return out;
  }
  const auto span =
      telemetry::StartSpan(context.tracer, "entry.upstream", work->traceparent);
  span->SetTag("upstream", held.upstream);
  upstream.fields["traceparent"] = telemetry::TraceparentOf(*span);
  const auto timeouts = MakeTimeouts(context);
  auto outcome =
      co_await net::CallOnce(held.address, std::move(upstream), timeouts);
  if (auto* response = std::get_if<net::http_response>(&outcome)) {
    out.response = ForwardedResponse(std::move(*response));
    ending.tokens = 1;
  } else {
    out.failure = std::get<net::call_failure>(outcome);
    ending.how = EndingOf(out.failure);
    work->wanted.avoid.insert(held.upstream);
  }
  ReleaseSlot(context, held, ending);
  co_return out;
}

refusal RefusalOfSlot(const slot_refusal& refused, executed run) {
  refusal out;
  out.code = refused.code;
  out.retry_after = refused.retry_after;
  out.run = run;
  return out;
}

asio::awaitable<void> SendClaimed(call_context context,
                                  std::shared_ptr<call> work,
                                  net::http_request upstream,
                                  booking::record claimed,
                                  net::exchange& exchange) {
  attempt_outcome outcome;
  bool not_sent = true;
  for (int i = 0; i < kMaxAttempts && not_sent; ++i) {
    outcome = co_await RunAttempt(context, work, upstream);
    not_sent = !outcome.response && !outcome.refused &&
               outcome.failure.progress == net::call_progress::not_sent;
  }
  const bool never_sent = not_sent || outcome.refused.has_value();
  if (outcome.response) {
    claimed.state = booking::record_state::done;
    claimed.answer = EncodeAnswer(*outcome.response);
  } else if (!never_sent) {
    claimed.state = booking::record_state::outcome_unknown;
  }
  asio::post(context.state.io, [context, claimed, never_sent] {
    context.claims.Settle(claimed, never_sent);
  });
  refusal reason;
  if (outcome.response) {
    co_await RecordUsage(context, work);
    if (IsKeyValid(context.state, *work)) {
      context.state.metrics.Count("mimosadeck_answers_total", "code", "ok");
      co_await exchange.Respond(std::move(*outcome.response));
      co_return;
    }
    reason.code = result_code::key_withdrawn;
    reason.run = executed::unknown;
  } else if (outcome.refused) {
    reason = RefusalOfSlot(*outcome.refused, executed::no);
  } else if (not_sent) {
    reason.code = result_code::upstream_failed;
    reason.retry_after = kRetryAfter;
  } else {
    reason.code = result_code::booking_outcome_unknown;
    reason.run = executed::unknown;
  }
  co_await Refuse(context, std::move(reason), exchange);
}

refusal RefusalOfClaim(booking::claim_outcome outcome) {
  refusal out;
  switch (outcome) {
    case booking::claim_outcome::in_progress:
      out.code = result_code::booking_in_progress;
      out.run = executed::unknown;
      out.retry_after = kRetryAfter;
      break;
    case booking::claim_outcome::unknown:
      out.code = result_code::booking_outcome_unknown;
      out.run = executed::unknown;
      break;
    case booking::claim_outcome::key_reused:
      out.code = result_code::idempotency_key_reused;
      break;
    default:
      out.code = result_code::owner_unreachable;
      out.retry_after = kRetryAfter;
  }
  return out;
}

booking::record MakeRecord(const call_context& context,
                           const call& work,
                           const net::http_request& upstream,
                           const std::string& idempotency_key) {
  constexpr std::size_t kNonceBytes = 16;
  booking::record out;
  out.key = booking::RecordKey(work.account.name, idempotency_key);
  out.digest = Sha256Hex(work.wanted.name + "\n" + upstream.method + "\n" +
                         upstream.target + "\n" + upstream.body);
  out.nonce = RandomHex(kNonceBytes);
  out.executor = context.state.incarnation;
  return out;
}

}  // namespace
}  // namespace internal

asio::awaitable<void> RunIdempotent(call_context context,
                                    std::shared_ptr<call> work,
                                    net::http_request upstream,
                                    net::exchange& exchange) {
  internal::FillSlotRequest(*work);
  const bool admitted = co_await Admit(context, work, exchange);
  if (!admitted) {
    co_return;
  }
  exchange.OnCallerDisconnect([gone = work->caller_gone] { *gone = true; });
  refusal reason;
  bool answered = false;
  for (int i = 0; i < internal::kMaxAttempts && !answered; ++i) {
    auto outcome = co_await internal::RunAttempt(context, work, upstream);
    if (outcome.response) {
      co_await internal::RecordUsage(context, work);
      context.state.metrics.Count("mimosadeck_answers_total", "code", "ok");
      co_await exchange.Respond(std::move(*outcome.response));
      answered = true;
      break;
    }
    if (outcome.refused) {
      reason = internal::RefusalOfSlot(*outcome.refused,
                                       answer::ExecutionState(work->sent));
      break;
    }
    if (outcome.failure.progress == net::call_progress::sent) {
      RecordSent(*work, answer::send_progress::sent);
    }
    reason.code = result_code::upstream_failed;
    reason.run = answer::ExecutionState(work->sent);
    reason.retry_after = internal::kRetryAfter;
    work->wanted.retry = true;
  }
  if (!answered) {
    co_await Refuse(context, std::move(reason), exchange);
  }
  ReleaseAdmission(context, *work);
}

asio::awaitable<void> RunBooking(call_context context,
                                 std::shared_ptr<call> work,
                                 net::http_request upstream,
                                 std::string idempotency_key,
                                 net::exchange& exchange) {
  internal::FillSlotRequest(*work);
  const bool admitted = co_await Admit(context, work, exchange);
  if (!admitted) {
    co_return;
  }
  const auto record =
      internal::MakeRecord(context, *work, upstream, idempotency_key);
  upstream.fields["idempotency-key"] = idempotency_key;
  auto job = [context, record]() -> asio::awaitable<claim_result> {
    return context.claims.Claim(record);
  };
  const auto claimed = co_await OnControl(context.state, std::move(job));
  if (claimed.outcome == booking::claim_outcome::granted) {
    co_await internal::SendClaimed(context, work, std::move(upstream), record,
                                   exchange);
  } else if (claimed.outcome == booking::claim_outcome::answered) {
    context.state.metrics.Count("mimosadeck_answers_total", "code", "ok");
    auto response = internal::DecodeAnswer(claimed.answer);
    co_await exchange.Respond(std::move(response));
  } else {
    auto reason = internal::RefusalOfClaim(claimed.outcome);
    co_await Refuse(context, std::move(reason), exchange);
  }
  ReleaseAdmission(context, *work);
}

}  // namespace mimosadeck::daemon
