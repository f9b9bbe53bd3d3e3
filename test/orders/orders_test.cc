#define BOOST_TEST_MODULE orders
#include <boost/test/included/unit_test.hpp>

#include "lease/lease.h"
#include "orders/orders.h"
#include "stand_in/memory_platform.h"

namespace {

using namespace std::chrono_literals;
using mimosadeck::mono_time;
namespace lease = mimosadeck::lease;
namespace orders = mimosadeck::orders;
namespace infra = mimosadeck::infra;

struct ordering_process {
  lease::contender contender;
  orders::order_state order_state;
  std::uint64_t begun_term{};
  orders::action next;
};

struct ordering_fleet {
  mimosadeck::stand_in::memory_platform store;
  mono_time now{1h};
  lease::options lease_options;
  orders::options options;
  std::array<ordering_process, 2> processes;
  bool holder_departed{};
  /** Delay after which a change appears in the VM list. */
  std::chrono::milliseconds list_lag{};
  std::map<mono_time, std::uint32_t> running_history;
  orders::upstream_counts upstreams;

  ordering_fleet() {
    lease_options.name = "orders/x";
    for (std::size_t i = 0; i < processes.size(); ++i) {
      processes[i].contender.self = std::to_string(i) + "#1";
      processes[i].order_state.data_centre = "x";
    }
    for (int i = 0; i < 6; ++i) {
      infra::vm parked;
      parked.id = "e" + std::to_string(i);
      parked.role = infra::vm_role::engine;
      parked.data_centre = "x";
      parked.pool = "m";
      store.parked[parked.id] = parked;
    }
    SetWanted(2);
  }

  void SetWanted(std::uint32_t count) {
    upstreams[{"m", false}].wanted = count;
  }

  void ObserveVms() {
    std::uint32_t running = 0;
    for (const auto& [unused, item] : store.vms) {
      running += item.state == infra::vm_state::live ? 1 : 0;
    }
    running_history[now] = running;
    const auto observed = running_history.upper_bound(now - list_lag);
    upstreams[{"m", false}].running =
        observed == running_history.begin() ? 0 : std::prev(observed)->second;
  }

  void TickLease(ordering_process& process) {
    auto request =
        lease::Tick(process.contender, lease_options, now, holder_departed);
    if (request) {
      lease::OnReply(process.contender, lease_options, Handle(store, *request),
                     now);
    }
  }

  infra::condition Condition(const ordering_process& process) const {
    return lease::FencingCondition(process.contender, lease_options);
  }

  void TickOrders(ordering_process& process) {
    if (!lease::IsHeld(process.contender, now)) {
      process.next = {};
      return;
    }
    if (process.begun_term != process.contender.fencing) {
      process.begun_term = process.contender.fencing;
      orders::BeginTerm(process.order_state, options, process.begun_term,
                        process.contender.has_predecessor, now);
    }
    ObserveVms();
    process.next = orders::Tick(process.order_state, options,
                                Condition(process), upstreams, now);
  }

  /** @brief Sends the prepared request; returns false if there was none. */
  bool Send(ordering_process& process, bool check_lease = true) {
    infra::request request;
    if (const auto* order = std::get_if<orders::send_order>(&process.next)) {
      if (check_lease && !lease::IsHeld(process.contender, now)) {
        orders::OnOrderNotSent(process.order_state);
        process.next = {};
        return false;
      }
      request = order->order;
    } else if (const auto* request_to_send =
                   std::get_if<infra::request>(&process.next)) {
      request = *request_to_send;
    } else {
      return false;
    }
    const auto reply = Handle(store, request);
    process.next = orders::OnReply(process.order_state, options, reply,
                                   Condition(process), now);
    return true;
  }

  /** @brief Acquires the lease and runs up to the sending of an order. */
  void PrepareOrder(ordering_process& process) {
    TickLease(process);
    TickLease(process);
    const auto is_ready = [&process] {
      return std::holds_alternative<orders::send_order>(process.next);
    };
    for (int i = 0; i < 5 && !is_ready(); ++i) {
      TickOrders(process);
      while (!is_ready() && Send(process)) {
      }
    }
    BOOST_REQUIRE(is_ready());
  }

  void Run(ordering_process& process, std::chrono::milliseconds time) {
    for (const auto end = now + time; now < end; now += 100ms) {
      TickLease(process);
      TickOrders(process);
      while (Send(process)) {
      }
    }
  }

  [[nodiscard]] std::size_t CountRunning() {
    ObserveVms();
    return upstreams[{"m", false}].running;
  }
};

BOOST_FIXTURE_TEST_SUITE(upstream_orders, ordering_fleet)

BOOST_AUTO_TEST_CASE(too_few_upstreams_missing_ones_are_ordered_once) {
  Run(processes[0], 20s);
  BOOST_TEST(CountRunning() == 2);
  BOOST_TEST(store.orders.size() == 1);
}

BOOST_AUTO_TEST_CASE(too_many_upstreams_surplus_is_stopped) {
  SetWanted(4);
  Run(processes[0], 20s);
  SetWanted(1);
  Run(processes[0], 20s);
  BOOST_TEST(CountRunning() == 1);
}

BOOST_AUTO_TEST_CASE(
    holder_killed_before_each_request_order_takes_effect_once) {
  for (int at = 0; at < 6; ++at) {
    BOOST_TEST_CONTEXT("killed before request " << at) {
      ordering_fleet fresh;
      auto& first = fresh.processes[0];
      fresh.TickLease(first);
      fresh.TickLease(first);
      int requests_left = at;
      for (int i = 0; i < 5 && requests_left > 0; ++i) {
        fresh.TickOrders(first);
        while (requests_left > 0 && fresh.Send(first)) {
          --requests_left;
        }
      }
      fresh.Run(fresh.processes[1], 30s);
      BOOST_TEST(fresh.CountRunning() == 2);
      BOOST_TEST(fresh.store.vms.size() == 2);
    }
  }
}

BOOST_AUTO_TEST_CASE(
    holder_killed_list_lagging_successor_places_no_extra_order) {
  for (int at = 0; at < 6; ++at) {
    BOOST_TEST_CONTEXT("killed before request " << at) {
      ordering_fleet fresh;
      fresh.list_lag = 8s;
      auto& first = fresh.processes[0];
      fresh.TickLease(first);
      fresh.TickLease(first);
      int requests_left = at;
      for (int i = 0; i < 5 && requests_left > 0; ++i) {
        fresh.TickOrders(first);
        while (requests_left > 0 && fresh.Send(first)) {
          --requests_left;
        }
      }
      fresh.Run(fresh.processes[1], 60s);
      BOOST_TEST(fresh.store.vms.size() == 2);
    }
  }
}

BOOST_AUTO_TEST_CASE(reply_lost_at_each_write_order_takes_effect_once) {
  for (std::uint32_t lost = 1; lost <= 6; ++lost) {
    ordering_fleet fresh;
    fresh.Run(fresh.processes[0], 300ms);
    fresh.store.faults.lost_replies = lost;
    fresh.Run(fresh.processes[0], 60s);
    BOOST_TEST(fresh.CountRunning() == 2);
    BOOST_TEST(fresh.store.vms.size() == 2);
  }
}

/** @brief Pauses the holder between its lease check and the sending. */
struct paused_order : ordering_fleet {
  /** @brief Returns of how many holders the target accepted an order. */
  std::size_t AcceptedFencings() {
    auto& first = processes[0];
    PrepareOrder(first);
    BOOST_REQUIRE(std::holds_alternative<orders::send_order>(first.next));
    Run(processes[1], 30s);
    constexpr bool kCheckLeaseAgain = false;
    Send(first, kCheckLeaseAgain);
    std::set<std::uint64_t> accepted;
    for (const auto& placed : store.orders) {
      if (placed.accepted) {
        accepted.insert(placed.order.fencing);
      }
    }
    return accepted.size();
  }
};

BOOST_FIXTURE_TEST_CASE(pause_after_check_fencing_target_refuses_old_holder,
                        paused_order) {
  BOOST_TEST(AcceptedFencings() == 1);
  BOOST_TEST(store.orders.back().accepted == false);
}

BOOST_FIXTURE_TEST_CASE(pause_after_check_without_fencing_has_no_second_holder,
                        paused_order) {
  store.checks_fencing = false;
  lease_options.rule = lease::takeover_rule::after_vm_removal;
  BOOST_TEST(AcceptedFencings() == 1);
  BOOST_TEST(!lease::IsHeld(processes[1].contender, now));
}

BOOST_FIXTURE_TEST_CASE(order_of_dead_holder_arriving_late_takes_no_effect,
                        paused_order) {
  store.checks_fencing = false;
  lease_options.rule = lease::takeover_rule::after_vm_removal;
  holder_departed = true;
  BOOST_TEST(AcceptedFencings() == 2);
  BOOST_TEST(store.vms.size() == 2);
}

BOOST_AUTO_TEST_CASE(any_replies_lost_list_lagging_order_takes_effect_once) {
  for (std::uint32_t lost = 1; lost <= 6; ++lost) {
    ordering_fleet fresh;
    fresh.list_lag = 8s;
    fresh.TickLease(fresh.processes[0]);
    fresh.TickLease(fresh.processes[0]);
    fresh.store.faults.lost_replies = lost;
    fresh.Run(fresh.processes[0], 60s);
    BOOST_TEST(fresh.store.vms.size() == 2);
  }
}

BOOST_AUTO_TEST_CASE(order_reply_lost_list_lagging_order_is_not_placed_again) {
  list_lag = 8s;
  auto& first = processes[0];
  PrepareOrder(first);
  store.faults.lost_replies = 1;
  BOOST_TEST(Send(first));
  BOOST_TEST(store.faults.lost_replies == 0U);
  Run(first, 60s);
  BOOST_TEST(store.vms.size() == 2);
}

BOOST_AUTO_TEST_CASE(lease_lapsed_before_send_order_is_not_sent) {
  auto& first = processes[0];
  PrepareOrder(first);
  now += 5s;
  BOOST_TEST(!Send(first));
  BOOST_TEST(store.orders.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
