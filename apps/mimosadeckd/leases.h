#ifndef APPS_MIMOSADECKD_LEASES_H_
#define APPS_MIMOSADECKD_LEASES_H_

#include <map>
#include <string>

#include "lease/lease.h"
#include "mimosadeckd/control.h"
#include "orders/orders.h"
#include "usage/usage.h"

namespace mimosadeck::daemon {

/**
 * @brief Work that one entry at a time does under a lease: orders for each
 * data centre, and billing.
 */
class leases {
 public:
  explicit leases(control& state);

  /** @brief Starts the periodic work. */
  void Start();

  /** @brief Gives every lease up. @return When all are given up. */
  [[nodiscard]] asio::awaitable<void> HandOver();

  /** @brief Returns the names of the leases held now. */
  [[nodiscard]] std::vector<std::string> Held() const;

 private:
  struct held_lease {
    lease::contender contender;
    lease::options options;
  };
  struct centre {
    held_lease lease;
    orders::order_state order_state;
    std::uint64_t term{};
  };

  asio::awaitable<void> LeaseLoop(held_lease& entry);
  asio::awaitable<void> CentresLoop();
  asio::awaitable<void> OrdersLoop(std::string name);
  asio::awaitable<void> OrderRound(centre& entry);
  asio::awaitable<void> BillingLoop();
  asio::awaitable<bool> BillingRound(bool window_due);
  [[nodiscard]] orders::upstream_counts CountUpstreams(
      const std::string& name) const;
  [[nodiscard]] bool HolderDeparted(const held_lease& entry) const;
  [[nodiscard]] bool MayContend(const held_lease& entry) const;

  control& state_;
  held_lease billing_;
  std::map<std::string, std::unique_ptr<centre>> centres_;
  orders::options order_options_;
  std::size_t active_loops_{0};
};

}  // namespace mimosadeck::daemon

#endif  // APPS_MIMOSADECKD_LEASES_H_
