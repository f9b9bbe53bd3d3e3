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

/** @brief One caller's request while this entry handles it. */
struct call {
  /** Key from the `authorization` header; empty on an open route. */
  std::string key;
  /** SHA-256 of the key, in hex. */
  std::string key_hash;
  settings::account_settings account;
  settings::class_settings service_class;
  std::string traceparent;
  std::shared_ptr<opentracing::Span> span;
  /** Set once the caller has disconnected. */
  std::shared_ptr<std::atomic<bool>> caller_gone{
      std::make_shared<std::atomic<bool>>(false)};
  /** Slot needed for the next attempt. */
  slot_request wanted;
  mono_time arrived_at;
  /** Furthest stage of sending that any attempt has reached. */
  answer::send_progress sent{answer::send_progress::nothing_sent};
  /** Refusal sent to the caller if no further attempt is made. */
  refusal last_refusal;
};

/** @brief Components of the entry that a call uses. */
struct call_context {
  control_state& state;
  pools& slots;
  bookings& claims;
  accounts& client_accounts;
  opentracing::Tracer& tracer;
};

/** @brief Runs a coroutine on the control thread and waits for its result. */
template <typename F>
[[nodiscard]] auto OnControl(control_state& state, F work) {
  return asio::co_spawn(state.io, std::move(work), asio::use_awaitable);
}

/**
 * @brief Returns whether the call's key is known and not withdrawn.
 *
 * Always true without a key, and false while the configuration is stale.
 */
[[nodiscard]] bool IsKeyValid(const control_state& state, const call& work);

/** @brief Waits for a slot, within an `entry.queue` span. */
[[nodiscard]] asio::awaitable<slot_result> AcquireSlot(
    call_context context,
    std::shared_ptr<call> work);

/** @brief Returns a slot to the owner of its pool, without waiting. */
void ReleaseSlot(call_context context, const slot& held, slot_ending ending);

/**
 * @brief Charges the call to its account's limits, or refuses it.
 * @return Whether the call may run. If so, `ReleaseAdmission` must follow.
 */
[[nodiscard]] asio::awaitable<bool> Admit(call_context context,
                                          std::shared_ptr<call> work,
                                          net::exchange& exchange);

/** @brief Ends an admitted call, for the account's concurrency limit. */
void ReleaseAdmission(call_context context, const call& work);

/** @brief Sends a refusal to the caller and counts it. */
[[nodiscard]] asio::awaitable<void> Refuse(call_context context,
                                           refusal reason,
                                           net::exchange& exchange);

/** @brief Records what an attempt sent; `sent` is never lowered. */
void RecordSent(call& work, answer::send_progress progress);

/**
 * @brief Runs a chat completion.
 * @param body Request body for the upstream.
 * @param streamed The caller asked for an event stream.
 */
[[nodiscard]] asio::awaitable<void> RunChat(call_context context,
                                            std::shared_ptr<call> work,
                                            std::string body,
                                            bool streamed,
                                            net::exchange& exchange);

/** @brief Runs an idempotent call of a plain service. */
[[nodiscard]] asio::awaitable<void> RunIdempotent(call_context context,
                                                  std::shared_ptr<call> work,
                                                  net::http_request upstream,
                                                  net::exchange& exchange);

/** @brief Runs a booking: a non-idempotent call of a plain service. */
[[nodiscard]] asio::awaitable<void> RunBooking(call_context context,
                                               std::shared_ptr<call> work,
                                               net::http_request upstream,
                                               std::string idempotency_key,
                                               net::exchange& exchange);

}  // namespace mimosadeck::daemon

#endif  // APPS_MIMOSADECKD_CALL_H_
