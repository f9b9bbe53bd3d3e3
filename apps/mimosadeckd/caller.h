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
 * @brief Handles the HTTP requests of callers.
 *
 * A caller is a client that sends requests. The handler runs on the traffic
 * threads and defers admission, slots and bookings to the control thread.
 */
class caller_handler {
 public:
  caller_handler(control_state& state,
                 pools& pools,
                 bookings& bookings,
                 accounts& accounts,
                 opentracing::Tracer& tracer);

  /** @brief Handles one request and sends the response. */
  [[nodiscard]] asio::awaitable<void> Handle(net::http_request request,
                                             net::exchange& exchange);

 private:
  [[nodiscard]] result<std::shared_ptr<call>> Authenticate(
      const net::http_request& request,
      const snapshot& current) const;
  [[nodiscard]] net::http_response EntriesResponse(
      const net::http_request& request,
      const snapshot& current) const;
  [[nodiscard]] net::http_response ModelsResponse(
      const snapshot& current) const;
  asio::awaitable<void> HandleChat(net::http_request request,
                                   net::exchange& exchange,
                                   std::shared_ptr<call> work);
  asio::awaitable<void> HandleService(net::http_request request,
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
