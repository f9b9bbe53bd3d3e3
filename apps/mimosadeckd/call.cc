#include "mimosadeckd/call.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

namespace mimosadeck::daemon {

bool IsKeyValid(const control_state& state, const call& work) {
  if (work.key_hash.empty()) {
    return true;
  }
  const auto now = state.published.load();
  if (now->freshness == config::freshness::stale) {
    return false;
  }
  const auto key = settings::FindKey(*now->document, work.key_hash);
  return key && !key->withdrawn;
}

asio::awaitable<slot_result> AcquireSlot(call_context context,
                                         std::shared_ptr<call> work) {
  const auto span =
      telemetry::StartSpan(context.tracer, "entry.queue", work->traceparent);
  work->wanted.traceparent = telemetry::TraceparentOf(*span);
  auto job = [context, work]() -> asio::awaitable<slot_result> {
    return context.slots.Acquire(work->wanted, work->caller_gone);
  };
  const auto outcome = co_await OnControl(context.state, std::move(job));
  co_return outcome;
}

void ReleaseSlot(call_context context, const slot& held, slot_ending ending) {
  asio::post(context.state.io,
             [context, held, ending] { context.slots.Release(held, ending); });
}

asio::awaitable<bool> Admit(call_context context,
                            std::shared_ptr<call> work,
                            net::exchange& exchange) {
  auto job = [context, work]() -> asio::awaitable<std::chrono::milliseconds> {
    co_return context.client_accounts.Admit(
        work->account, work->service_class.expected_tokens);
  };
  const auto wait = co_await OnControl(context.state, std::move(job));
  if (wait.count() == 0) {
    co_return true;
  }
  refusal reason;
  reason.code = result_code::account_over_limit;
  reason.retry_after = wait;
  co_await Refuse(context, std::move(reason), exchange);
  co_return false;
}

void ReleaseAdmission(call_context context, const call& work) {
  asio::post(context.state.io, [context, account = work.account.name] {
    context.client_accounts.EndRequest(account);
  });
}

asio::awaitable<void> Refuse(call_context context,
                             refusal reason,
                             net::exchange& exchange) {
  context.state.metrics.Count("mimosadeck_answers_total", "code",
                              std::string(ResultCodeName(reason.code)));
  auto response = RefusalResponse(reason);
  co_await exchange.Respond(std::move(response));
}

void RecordSent(call& work, answer::send_progress progress) {
  if (progress == answer::send_progress::sent ||
      work.sent == answer::send_progress::nothing_sent) {
    work.sent = progress;
  }
}

}  // namespace mimosadeck::daemon
