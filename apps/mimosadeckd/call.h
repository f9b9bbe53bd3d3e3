#ifndef APPS_MIMOSADECKD_CALL_H_
#define APPS_MIMOSADECKD_CALL_H_

#include <memory>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "answer/answer.h"
#include "mimosadeckd/accounts.h"
#include "mimosadeckd/bookings.h"
#include "mimosadeckd/caller.h"
#include "mimosadeckd/pools.h"

namespace mimosadeck::daemon {

/** @brief One caller's request on its way through this entry. */
struct call {
  std::string key;
  std::string key_hash;
  settings::account_settings account;
  settings::class_settings service_class;
  std::string traceparent;
  std::shared_ptr<opentracing::Span> span;
  std::shared_ptr<std::atomic<bool>> caller_gone{
      std::make_shared<std::atomic<bool>>(false)};
  slot_request wanted;
  mono_time arrived;
  /** The most that any attempt sent. */
  answer::sending sent{answer::sending::nothing_sent};
  refusal last;
};

/** @brief What a call needs of the entry. */
struct call_context {
  control_state& state;
  pools& slots;
  bookings& claims;
  accounts& ledger;
  opentracing::Tracer& tracer;
};

/** @brief Runs a coroutine on the control thread and waits for it. */
template <typename F>
[[nodiscard]] auto OnControl(control_state& state, F work) {
  return asio::co_spawn(state.io, std::move(work), asio::use_awaitable);
}

/** @brief Tells whether the call's key is still good. */
[[nodiscard]] bool IsKeyGood(const control_state& state, const call& work);

/** @brief Waits for a slot, inside a span. */
[[nodiscard]] asio::awaitable<slot_result> AcquireSlot(
    call_context context,
    std::shared_ptr<call> work);

/** @brief Gives a slot back without waiting. */
void ReleaseSlot(call_context context, const slot& held, slot_ending ending);

/** @brief Takes the call from its account's limits, or refuses it. */
[[nodiscard]] asio::awaitable<bool> Admit(call_context context,
                                          std::shared_ptr<call> work,
                                          net::exchange& exchange);

/** @brief Ends what Admit began. */
void LeaveLimits(call_context context, const call& work);

/** @brief Counts and sends a refusal. */
[[nodiscard]] asio::awaitable<void> Refuse(call_context context,
                                           refusal reason,
                                           net::exchange& exchange);

/** @brief Raises what is known to have been sent; it never falls. */
void OnSent(call& work, answer::sending progress);

/** @brief Answers a chat completion. */
[[nodiscard]] asio::awaitable<void> RunChat(call_context context,
                                            std::shared_ptr<call> work,
                                            std::string body,
                                            bool streamed,
                                            net::exchange& exchange);

/** @brief Answers an idempotent call of a plain service. */
[[nodiscard]] asio::awaitable<void> RunLookup(call_context context,
                                              std::shared_ptr<call> work,
                                              net::http_request upstream,
                                              net::exchange& exchange);

/** @brief Answers a call of a plain service that runs at most once. */
[[nodiscard]] asio::awaitable<void> RunBooking(call_context context,
                                               std::shared_ptr<call> work,
                                               net::http_request upstream,
                                               std::string idempotency_key,
                                               net::exchange& exchange);

}  // namespace mimosadeck::daemon

#endif  // APPS_MIMOSADECKD_CALL_H_
