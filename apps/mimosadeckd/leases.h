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
 * @brief Runs the duties that one entry at a time performs under a lease:
 * capacity orders for each data centre, and billing.
 */
class leases {
 public:
  explicit leases(control_state& state);

  /** @brief Starts the lease, order and billing loops. */
  void Start();

  /** @brief Releases every lease and waits until that is done, up to 5 s. */
  [[nodiscard]] asio::awaitable<void> HandOver();

  /** @brief Returns the names of the leases that this entry holds. */
  [[nodiscard]] std::vector<std::string> ListHeld() const;

 private:
  /** A lease that this entry holds or contends for. */
  struct contended_lease {
    lease::contender contender;
    lease::options options;
  };
  /** Capacity orders of one data centre, placed by the holder of its lease. */
  struct data_centre_ordering {
    contended_lease lease;
    orders::order_state order_state;
    /** Fencing number of the term that `order_state` was begun for. */
    std::uint64_t fencing{};
  };

  asio::awaitable<void> LeaseLoop(contended_lease& contended);
  asio::awaitable<void> DataCentreLoop();
  asio::awaitable<void> OrderLoop(std::string data_centre);
  asio::awaitable<void> RunOrderRound(data_centre_ordering& ordering);
  asio::awaitable<void> BillingLoop();
  asio::awaitable<bool> RunBillingRound(bool window_due);
  [[nodiscard]] orders::upstream_counts CountUpstreams(
      const std::string& data_centre) const;
  [[nodiscard]] bool HolderDeparted(const contended_lease& contended) const;
  [[nodiscard]] bool MayContend(const contended_lease& contended) const;

  control_state& state_;
  contended_lease billing_;
  /** By data centre. */
  std::map<std::string, std::unique_ptr<data_centre_ordering>> orderings_;
  orders::options order_options_;
  std::size_t active_loops_{0};
};

}  // namespace mimosadeck::daemon

#endif  // APPS_MIMOSADECKD_LEASES_H_
