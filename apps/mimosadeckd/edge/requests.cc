#include "mimosadeckd/edge/requests.h"

#include "mimosadeckd/edge/work.h"

namespace mimosadeck::edge {
namespace internal {
namespace {

using daemon::refusal;
using steady = std::chrono::steady_clock;

/** Retry-After of an entry that has just started; it is ready by then. */
constexpr std::chrono::milliseconds kStartupRetryAfter{300};
/** Retry-After of a stopping entry: other entries can serve immediately. */
constexpr std::chrono::milliseconds kStoppingRetryAfter{50};
/** Assumed longest delay until a busy process handles the stop signal. The stop
 * is timed from there on, but callers' directory answers expire from the signal
 * on. */
constexpr std::chrono::milliseconds kMaxSignalDelay{500};
/** Expected answer length without a hint, as a ratio of the maximum length. */
constexpr double kExpectedLengthRatio = 0.5;

constexpr std::string_view kUnknownHost;

std::string_view HostOf(const net::http_request& request) {
  const auto found = request.fields.find("host");
  return found == request.fields.end() ? kUnknownHost
                                       : std::string_view(found->second);
}

placement::job MakeJob(const platform::caller_request& caller_request,
                       const routing::route& route) {
  placement::job out;
  out.sampling_key = Hash64(caller_request.id);
  out.goal = route.goal;
  out.pause_goal = route.pause_goal.value_or(std::chrono::milliseconds(0));
  out.parts = caller_request.prompt_parts;
  out.prompt_tokens = caller_request.prompt_tokens;
  out.answer_tokens =
      caller_request.answer_tokens_hint.value_or(static_cast<std::uint32_t>(
          kExpectedLengthRatio * caller_request.max_answer_tokens));
  return out;
}

/** @brief Returns the names of the prompt parts that other requests may share:
 * all but the last. */
std::vector<std::string> SharedPartNames(
    const platform::caller_request& caller_request) {
  const auto& parts = caller_request.prompt_parts;
  std::vector<std::string> out;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
    out.push_back(quarantine::PartName(parts[i].id));
  }
  return out;
}

/** @brief Returns the time after which a request is answered in any case. */
std::chrono::milliseconds TimeLimitOf(const request_context& context) {
  const auto timeout = context.route->timeout;
  return std::min(context.caller_request.time_limit.value_or(timeout), timeout);
}

bool IsTooLateToStart(const edge_state& state, const request_context& context) {
  if (!state.stop) {
    return false;
  }
  using std::chrono::milliseconds;
  const auto& [began_at, ends_at] = *state.stop;
  forwarding::stop_window stop;
  stop.duration = std::chrono::duration_cast<milliseconds>(ends_at - began_at);
  stop.remaining =
      std::chrono::duration_cast<milliseconds>(ends_at - SuspendAwareNow());
  stop.notice_delay = kDirectoryTtl * kDirectoryTtlFactor - kMaxSignalDelay;
  const auto times = state.service_times.find(context.route->name);
  return !forwarding::CanFinishBeforeStop(
      times == state.service_times.end() ? forwarding::service_times{}
                                         : times->second,
      state.service_time_options, context.route->kind, TimeLimitOf(context),
      stop);
}

/** @brief Determines the route and the account. @return The reason to refuse
 * the request, if there is one. */
std::optional<refusal> Resolve(const edge_state& state,
                               request_context& context) {
  if (!state.table) {
    return refusal{result_code::not_ready, executed::no, kStartupRetryAfter,
                   ""};
  }
  context.table = state.table;
  auto decoded = platform::DecodeCallerRequest(context.request.fields);
  if (const auto* bad = std::get_if<error>(&decoded)) {
    return refusal{bad->code, executed::no, {}, bad->message};
  }
  context.caller_request =
      std::get<platform::caller_request>(std::move(decoded));
  context.route =
      context.table->Match(HostOf(context.request), context.request.target);
  if (!context.route) {
    return refusal{result_code::unknown_route, executed::no, {}, ""};
  }
  if (context.table->NeedsKeys() && !context.route->open) {
    if (context.caller_request.key.empty()) {
      return refusal{result_code::key_missing, executed::no, {}, ""};
    }
    context.account = context.table->AccountOf(context.caller_request.key);
    if (!context.account) {
      return refusal{result_code::key_unknown, executed::no, {}, ""};
    }
  }
  if (IsTooLateToStart(state, context)) {
    return refusal{result_code::draining, executed::no, kStoppingRetryAfter,
                   ""};
  }
  context.part_names = SharedPartNames(context.caller_request);
  if (IsCondemned(state, context)) {
    const auto left = quarantine::CondemnedTimeLeft(
        state.quarantine, state.quarantine_options, context.condemned_by,
        SuspendAwareNow());
    return refusal{result_code::quarantined, executed::no, left, ""};
  }
  return std::nullopt;
}

/** @brief Lists a request as running for the lifetime of this object. */
class running_request {
 public:
  running_request(const edge_state& state, request_context& context)
      : all_(state.running_requests), context_(context) {
    all_->insert(&context_);
  }
  ~running_request() { all_->erase(&context_); }
  running_request(const running_request&) = delete;
  running_request& operator=(const running_request&) = delete;

 private:
  std::shared_ptr<std::set<request_context*>> all_;
  request_context& context_;
};

}  // namespace
}  // namespace internal

const std::string& FingerprintOf(request_context& context) {
  if (context.fingerprint.empty()) {
    const auto& request = context.request;
    context.fingerprint = quarantine::Fingerprint(
        context.AccountName(), request.method, request.target, request.body);
  }
  return context.fingerprint;
}

bool IsCondemned(const edge_state& state, request_context& context) {
  if (state.quarantine.suspects.empty()) {
    return false;
  }
  if (const auto* part =
          quarantine::FindCondemned(state.quarantine, context.part_names)) {
    context.condemned_by = *part;
  } else if (quarantine::IsCondemned(state.quarantine,
                                     FingerprintOf(context))) {
    context.condemned_by = FingerprintOf(context);
  }
  return !context.condemned_by.empty();
}

asio::awaitable<void> ServeCaller(edge_state& state,
                                  net::http_request request,
                                  net::exchange& exchange) {
  const auto context = std::make_shared<request_context>();
  context->arrived_at = internal::steady::now();
  if (state.stop) {
    context->arrived_in_stop =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            SuspendAwareNow() - state.stop->began_at);
  }
  context->request = std::move(request);
  const internal::running_request running(state, *context);
  if (auto reason = internal::Resolve(state, *context)) {
    co_await Refuse(state, *context, *std::move(reason), exchange);
    co_return;
  }
  quarantine::OnPartsRequested(state.quarantine, state.quarantine_options,
                               context->part_names, SuspendAwareNow());
  context->service = std::string(
      routing::PickService(*context->route, context->caller_request.id));
  context->job = internal::MakeJob(context->caller_request, *context->route);
  context->deadline = context->arrived_at + internal::TimeLimitOf(*context);
  exchange.SetRequest(context->caller_request.id, context->deadline);
  exchange.OnCallerDisconnect([context] {
    context->caller_left = true;
    if (context->active_call) {
      context->active_call->Close();
    }
  });
  co_await Forward(state, context, exchange);
}

}  // namespace mimosadeck::edge
