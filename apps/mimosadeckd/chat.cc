#include <boost/json.hpp>

#include "mimosadeckd/call.h"

namespace mimosadeck::daemon {
namespace internal {
namespace {

namespace json = boost::json;

constexpr int kMaxAttempts = 6;
constexpr int kHttpOk = 200;
constexpr std::chrono::milliseconds kConnectTimeout{500};
constexpr std::string_view kDoneMarker = "[DONE]";

/** @brief State of one chat completion across its attempts. */
struct completion {
  std::shared_ptr<call> work;
  std::string body;
  bool streamed{};
  /** The response stream to the caller has begun. */
  bool started{};
  answer::assembly assembly;
  /** Text so far, for a response that is not streamed. */
  std::string text;
  std::string finish_event;
  bool first_token_seen{};
};

/** @brief Result of one attempt, and what to do next. */
enum class attempt_result { complete, retry, resume, give_up };

net::http_request MakeRequest(const completion& state,
                              const std::string& traceparent) {
  net::http_request out;
  out.method = "POST";
  out.target = "/v1/chat/completions";
  out.fields["content-type"] = "application/json";
  out.fields["traceparent"] = traceparent;
  out.fields["x-priority"] = std::to_string(state.work->service_class.tier);
  if (state.assembly.delivered > 0) {
    out.fields["x-resume-offset"] = std::to_string(state.assembly.delivered);
  }
  out.body = state.body;
  return out;
}

net::http_fields StreamFields() {
  net::http_fields out;
  out["content-type"] = "text/event-stream";
  out["cache-control"] = "no-store";
  return out;
}

std::string ErrorEvent(const refusal& reason) {
  const auto response = RefusalResponse(reason);
  return "data: " + response.body + "\n\n";
}

net::http_response CompletionResponse(const completion& state) {
  const auto& finish = state.assembly.finish;
  json::object body;
  body["object"] = "chat.completion";
  body["model"] = state.work->wanted.name;
  body["choices"] = json::array{json::object{
      {"index", 0},
      {"message", json::object{{"role", "assistant"}, {"content", state.text}}},
      {"finish_reason", finish.reason}}};
  body["usage"] = json::object{
      {"prompt_tokens", finish.prompt_tokens},
      {"completion_tokens", finish.completion_tokens},
      {"total_tokens", finish.prompt_tokens + finish.completion_tokens}};
  net::http_response out;
  out.fields["content-type"] = "application/json";
  out.body = json::serialize(body);
  return out;
}

/** @brief Parsed event of an engine; both unset if it is malformed. */
struct engine_event {
  std::optional<answer::token_event> token;
  std::optional<answer::finish_event> finish;
};

engine_event ReadEvent(const std::string& data) {
  engine_event out;
  boost::system::error_code failure;
  const auto parsed = json::parse(data, failure);
  if (failure || !parsed.is_object()) {
    return out;
  }
  const auto& object = parsed.as_object();
  try {
    if (const auto* usage = object.if_contains("usage");
        usage && usage->is_object()) {
      answer::finish_event finish;
      finish.prompt_tokens =
          usage->at("prompt_tokens").to_number<std::uint64_t>();
      finish.completion_tokens =
          usage->at("completion_tokens").to_number<std::uint64_t>();
      finish.reason = json::value_to<std::string>(
          object.at("choices").at(0).at("finish_reason"));
      out.finish = finish;
      return out;
    }
    answer::token_event token;
    token.offset = object.at("offset").to_number<std::uint64_t>();
    token.text = json::value_to<std::string>(
        object.at("choices").at(0).at("delta").at("content"));
    out.token = token;
  } catch (const std::exception&) {
    return {};
  }
  return out;
}

void OnFirstToken(call_context context, completion& state) {
  if (state.first_token_seen) {
    return;
  }
  state.first_token_seen = true;
  const auto latency = Now() - state.work->arrived_at;
  const auto& service_class = state.work->service_class;
  context.state.metrics.Observe("mimosadeck_first_token_seconds", "class",
                                service_class.name, latency);
  if (latency <= service_class.first_token) {
    context.state.metrics.Count("mimosadeck_first_token_in_target_total",
                                "class", service_class.name);
  }
}

/** @brief Forwards one token. @return False if the caller is gone. */
asio::awaitable<bool> ForwardToken(completion& state,
                                   const answer::token_event& token,
                                   const std::string& data,
                                   net::exchange& exchange) {
  if (!state.streamed) {
    state.text += token.text;
    co_return true;
  }
  if (!state.started) {
    state.started = true;
    auto fields = StreamFields();
    const bool stream_started =
        co_await exchange.BeginStream(kHttpOk, std::move(fields));
    if (!stream_started) {
      co_return false;
    }
  }
  std::string chunk = "data: " + data + "\n\n";
  const bool written = co_await exchange.WriteChunk(std::move(chunk));
  co_return written;
}

/** @brief Returns whether an upstream responds on a new connection. */
asio::awaitable<bool> RespondsOnNewConnection(std::string address) {
  net::http_request probe;
  probe.target = "/load";
  net::call_limits timeouts;
  timeouts.connect = kConnectTimeout;
  timeouts.inactivity_timeout = kConnectTimeout;
  const auto outcome =
      co_await net::CallOnce(std::move(address), std::move(probe), timeouts);
  co_return std::holds_alternative<net::http_response>(outcome);
}

void SetRefusal(completion& state, result_code code) {
  state.work->last_refusal.code = code;
  state.work->last_refusal.retry_after = {};
}

asio::awaitable<attempt_result> OnStreamBroken(call_context context,
                                               completion& state,
                                               const slot& held,
                                               net::call_failure failure,
                                               std::uint32_t tokens) {
  slot_ending ending;
  ending.tokens = tokens;
  ending.how = dispatch::ending::upstream_failed;
  if (failure.timed_out) {
    const bool responds = co_await RespondsOnNewConnection(held.address);
    ending.how = responds ? dispatch::ending::connection_lost
                          : dispatch::ending::upstream_silent;
  } else {
    const auto fingerprint = state.work->wanted.fingerprint;
    asio::post(context.state.io, [context, held, fingerprint] {
      context.slots.OnCrash(held, fingerprint);
    });
  }
  ReleaseSlot(context, held, ending);
  state.work->wanted.avoid.insert(held.upstream);
  SetRefusal(state, result_code::upstream_cut_off);
  co_return attempt_result::retry;
}

/** @brief Forwards the stream of one attempt until it ends. */
asio::awaitable<attempt_result> ForwardStream(
    call_context context,
    completion& state,
    const slot& held,
    std::shared_ptr<net::http_stream> stream,
    net::exchange& exchange) {
  const auto attempt = answer::BeginAttempt(state.assembly);
  const auto first_offset = state.assembly.delivered;
  answer::event_splitter splitter;
  slot_ending ending;
  while (true) {
    auto piece = co_await stream->ReadPiece();
    const auto received_tokens =
        static_cast<std::uint32_t>(state.assembly.delivered - first_offset);
    if (const auto* failure = std::get_if<net::call_failure>(&piece)) {
      co_return co_await OnStreamBroken(context, state, held, *failure,
                                        received_tokens);
    }
    const auto& bytes = std::get<std::string>(piece);
    ending.tokens = received_tokens;
    if (*state.work->caller_gone) {
      ending.how = dispatch::ending::caller_left;
      ReleaseSlot(context, held, ending);
      co_return attempt_result::give_up;
    }
    if (!IsKeyValid(context.state, *state.work)) {
      ending.how = dispatch::ending::caller_left;
      ReleaseSlot(context, held, ending);
      SetRefusal(state, result_code::key_withdrawn);
      co_return attempt_result::give_up;
    }
    if (*held.preempted) {
      ending.how = dispatch::ending::preempted;
      ReleaseSlot(context, held, ending);
      co_return attempt_result::resume;
    }
    if (bytes.empty()) {
      net::call_failure failure;
      failure.message = "the stream ended early";
      co_return co_await OnStreamBroken(context, state, held, failure,
                                        received_tokens);
    }
    const auto events = answer::Split(splitter, bytes);
    if (answer::IsOversized(splitter)) {
      net::call_failure failure;
      failure.message = "event too large";
      co_return co_await OnStreamBroken(context, state, held, failure,
                                        received_tokens);
    }
    for (const auto& data : events) {
      if (data == kDoneMarker) {
        continue;
      }
      const auto event = ReadEvent(data);
      auto verdict = answer::verdict::drop;
      if (event.token) {
        verdict = answer::OnToken(state.assembly, attempt, *event.token);
      } else if (event.finish) {
        verdict = answer::OnFinish(state.assembly, attempt, *event.finish);
      }
      if (verdict == answer::verdict::gap) {
        net::call_failure failure;
        failure.message = "tokens are missing";
        co_return co_await OnStreamBroken(context, state, held, failure,
                                          received_tokens);
      }
      if (verdict == answer::verdict::drop) {
        continue;
      }
      if (event.finish) {
        state.finish_event = data;
        ending.tokens =
            static_cast<std::uint32_t>(state.assembly.delivered - first_offset);
        ReleaseSlot(context, held, ending);
        co_return attempt_result::complete;
      }
      OnFirstToken(context, state);
      const bool forwarded =
          co_await ForwardToken(state, *event.token, data, exchange);
      if (!forwarded) {
        ending.how = dispatch::ending::caller_left;
        ending.tokens =
            static_cast<std::uint32_t>(state.assembly.delivered - first_offset);
        ReleaseSlot(context, held, ending);
        co_return attempt_result::give_up;
      }
    }
  }
}

/**
 * @brief Reads an engine's error response.
 * @return True if it says that the request was not started.
 */
asio::awaitable<bool> RefusedBeforeStart(
    std::shared_ptr<net::http_stream> stream) {
  const auto piece = co_await stream->ReadPiece();
  const auto* bytes = std::get_if<std::string>(&piece);
  if (!bytes) {
    co_return false;
  }
  boost::system::error_code failure;
  const auto parsed = json::parse(*bytes, failure);
  if (failure || !parsed.is_object()) {
    co_return false;
  }
  const auto* started = parsed.as_object().if_contains("started");
  co_return started && started->is_bool() && !started->as_bool();
}

asio::awaitable<attempt_result> RunAttempt(call_context context,
                                           completion& state,
                                           const slot& held,
                                           net::exchange& exchange) {
  const auto span = telemetry::StartSpan(context.tracer, "entry.upstream",
                                         state.work->traceparent);
  span->SetTag("upstream", held.upstream);
  net::call_limits timeouts;
  timeouts.connect = kConnectTimeout;
  timeouts.inactivity_timeout = context.state.settings.silence_limit;
  auto request = MakeRequest(state, telemetry::TraceparentOf(*span));
  auto opened =
      co_await net::OpenStream(held.address, std::move(request), timeouts);
  slot_ending ending;
  if (const auto* failure = std::get_if<net::call_failure>(&opened)) {
    if (failure->progress == net::call_progress::sent) {
      RecordSent(*state.work, answer::send_progress::sent);
      co_return co_await OnStreamBroken(context, state, held, *failure, 0);
    }
    ending.how = dispatch::ending::upstream_failed;
    ReleaseSlot(context, held, ending);
    state.work->wanted.avoid.insert(held.upstream);
    SetRefusal(state, result_code::upstream_failed);
    co_return attempt_result::retry;
  }
  auto stream = std::get<std::shared_ptr<net::http_stream>>(std::move(opened));
  if (stream->Status() != kHttpOk) {
    const bool not_started = co_await RefusedBeforeStart(stream);
    RecordSent(*state.work, not_started
                                ? answer::send_progress::refused_before_start
                                : answer::send_progress::sent);
    ending.how = dispatch::ending::upstream_failed;
    ReleaseSlot(context, held, ending);
    state.work->wanted.avoid.insert(held.upstream);
    SetRefusal(state, result_code::upstream_failed);
    co_return not_started ? attempt_result::retry : attempt_result::give_up;
  }
  RecordSent(*state.work, answer::send_progress::sent);
  const auto end =
      co_await ForwardStream(context, state, held, std::move(stream), exchange);
  span->SetTag("tokens", state.assembly.delivered);
  co_return end;
}

asio::awaitable<bool> RunAttempts(call_context context,
                                  completion& state,
                                  net::exchange& exchange) {
  int attempts = 0;
  while (attempts < kMaxAttempts && !*state.work->caller_gone) {
    const auto outcome = co_await AcquireSlot(context, state.work);
    if (const auto* refused = std::get_if<slot_refusal>(&outcome)) {
      const bool keep_reason = state.work->wanted.retry &&
                               refused->code != result_code::quarantined &&
                               refused->code != result_code::key_withdrawn;
      if (!keep_reason) {
        state.work->last_refusal.code = refused->code;
      }
      state.work->last_refusal.retry_after = refused->retry_after;
      co_return false;
    }
    if (!IsKeyValid(context.state, *state.work)) {
      slot_ending ending;
      ending.how = dispatch::ending::never_sent;
      ReleaseSlot(context, std::get<slot>(outcome), ending);
      SetRefusal(state, result_code::key_withdrawn);
      co_return false;
    }
    const auto end =
        co_await RunAttempt(context, state, std::get<slot>(outcome), exchange);
    if (end == attempt_result::complete) {
      co_return true;
    }
    if (end == attempt_result::give_up) {
      co_return false;
    }
    state.work->wanted.retry = end == attempt_result::retry;
    state.work->wanted.resumed = true;
    attempts += end == attempt_result::retry ? 1 : 0;
  }
  co_return false;
}

usage::amounts DeliveredAmounts(const completion& state) {
  usage::amounts used;
  used.requests = 1;
  used.prompt_tokens = state.assembly.finish.prompt_tokens;
  used.completion_tokens = state.assembly.delivered;
  return used;
}

asio::awaitable<void> RecordDelivered(call_context context,
                                      const completion& state) {
  const auto used = DeliveredAmounts(state);
  const auto work = state.work;
  auto job = [context, work, used]() -> asio::awaitable<void> {
    return context.client_accounts.Record(work->account.name, used,
                                          work->service_class.expected_tokens);
  };
  co_await OnControl(context.state, std::move(job));
}

asio::awaitable<void> SendCompletion(call_context context,
                                     completion& state,
                                     net::exchange& exchange) {
  co_await RecordDelivered(context, state);
  const auto fingerprint = state.work->wanted.fingerprint;
  asio::post(context.state.io,
             [context, fingerprint] { context.slots.OnFinished(fingerprint); });
  context.state.metrics.Count("mimosadeck_answers_total", "code", "ok");
  if (!state.streamed) {
    auto response = CompletionResponse(state);
    co_await exchange.Respond(std::move(response));
    co_return;
  }
  if (!state.started) {
    auto fields = StreamFields();
    co_await exchange.BeginStream(kHttpOk, std::move(fields));
  }
  std::string chunk = "data: " + state.finish_event + "\n\ndata: [DONE]\n\n";
  co_await exchange.WriteChunk(std::move(chunk));
  co_await exchange.EndStream();
}

asio::awaitable<void> SendFailure(call_context context,
                                  completion& state,
                                  net::exchange& exchange) {
  auto& reason = state.work->last_refusal;
  reason.run = answer::ExecutionState(state.work->sent);
  if (state.streamed && state.assembly.delivered > 0) {
    co_await RecordDelivered(context, state);
  }
  if (*state.work->caller_gone) {
    exchange.Abort();
    co_return;
  }
  if (!exchange.HasStarted()) {
    co_await Refuse(context, reason, exchange);
    co_return;
  }
  context.state.metrics.Count("mimosadeck_answers_total", "code",
                              std::string(ResultCodeName(reason.code)));
  auto chunk = ErrorEvent(reason);
  co_await exchange.WriteChunk(std::move(chunk));
  exchange.Abort();
}

}  // namespace
}  // namespace internal

asio::awaitable<void> RunChat(call_context context,
                              std::shared_ptr<call> work,
                              std::string body,
                              bool streamed,
                              net::exchange& exchange) {
  const bool admitted = co_await Admit(context, work, exchange);
  if (!admitted) {
    co_return;
  }
  internal::completion state;
  state.work = work;
  state.body = std::move(body);
  state.streamed = streamed;
  work->wanted.account = work->account.name;
  work->wanted.class_name = work->service_class.name;
  work->wanted.weight = work->account.weight;
  work->wanted.tier = work->service_class.tier;
  work->wanted.expected_tokens = work->service_class.expected_tokens;
  work->wanted.max_wait = settings::MaxQueueWait(work->service_class);
  work->wanted.key_hash = work->key_hash;
  exchange.OnCallerDisconnect([gone = work->caller_gone] { *gone = true; });
  const bool complete =
      co_await internal::RunAttempts(context, state, exchange);
  if (complete) {
    co_await internal::SendCompletion(context, state, exchange);
  } else {
    co_await internal::SendFailure(context, state, exchange);
  }
  ReleaseAdmission(context, *work);
}

}  // namespace mimosadeck::daemon
