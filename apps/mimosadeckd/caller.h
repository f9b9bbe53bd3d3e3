#ifndef APPS_MIMOSADECKD_CALLER_H_
#define APPS_MIMOSADECKD_CALLER_H_

#include <memory>
#include <string>

#include "mimosadeckd/accounts.h"
#include "mimosadeckd/bookings.h"
#include "mimosadeckd/pools.h"
#include "mimosadeckd/refusal.h"

namespace mimosadeck::daemon {

struct call;

/**
 * @brief Answers callers; runs on traffic threads and asks the control thread
 * for every decision.
 */
class caller_handler {
 public:
  caller_handler(control_state& state,
                 pools& pools,
                 bookings& bookings,
                 accounts& accounts,
                 opentracing::Tracer& tracer);

  /** @brief Answers one request. */
  [[nodiscard]] asio::awaitable<void> Handle(net::http_request request,
                                             net::exchange& exchange);

 private:
  [[nodiscard]] result<std::shared_ptr<call>> Authenticate(
      const net::http_request& request,
      const snapshot& now) const;
  [[nodiscard]] net::http_response Entries(const net::http_request& request,
                                           const snapshot& now) const;
  [[nodiscard]] net::http_response Models(const snapshot& now) const;
  asio::awaitable<void> Chat(net::http_request request,
                             net::exchange& exchange,
                             std::shared_ptr<call> work);
  asio::awaitable<void> Service(net::http_request request,
                                net::exchange& exchange,
                                std::shared_ptr<call> work);

  control_state& state_;
  pools& pools_;
  bookings& bookings_;
  accounts& accounts_;
  opentracing::Tracer& tracer_;
};

}  // namespace mimosadeck::daemon

#endif  // APPS_MIMOSADECKD_CALLER_H_
