#ifndef APPS_MIMOSADECKD_OPERATORS_H_
#define APPS_MIMOSADECKD_OPERATORS_H_

#include "mimosadeckd/accounts.h"
#include "mimosadeckd/bookings.h"
#include "mimosadeckd/fleet.h"
#include "mimosadeckd/leases.h"
#include "mimosadeckd/pools.h"

namespace mimosadeck::daemon {

/** @brief Handles the HTTP requests of operators, on the control thread. */
class operator_handler {
 public:
  /** @param drain Begins a planned stop of the daemon. */
  operator_handler(control_state& state,
                   fleet& fleet,
                   pools& pools,
                   bookings& bookings,
                   leases& leases,
                   peers& peers,
                   std::function<void()> drain);

  /** @brief Handles one request and sends the response. */
  [[nodiscard]] asio::awaitable<void> Handle(net::http_request request,
                                             net::exchange& exchange);

 private:
  asio::awaitable<net::http_response> HandleChange(std::string body);
  asio::awaitable<net::http_response> ReadRows(std::string prefix,
                                               std::string after);
  [[nodiscard]] net::http_response ConfigResponse() const;
  [[nodiscard]] net::http_response StatusResponse() const;
  [[nodiscard]] std::string MetricsText() const;

  control_state& state_;
  fleet& fleet_;
  pools& pools_;
  bookings& bookings_;
  leases& leases_;
  peers& peers_;
  std::function<void()> drain_;
};

}  // namespace mimosadeck::daemon

#endif  // APPS_MIMOSADECKD_OPERATORS_H_
