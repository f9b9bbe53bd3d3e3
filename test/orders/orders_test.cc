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
  orders::book book;
  std::uint64_t term{};
  orders::action next;
};

struct ordering_fleet {
  mimosadeck::stand_in::memory_platform store;
  mono_time now{1h};
  lease::options lease_options;
  orders::options options;
  std::array<ordering_process, 2> processes;
  bool departed{};
  /** How far the VM list lags behind. */
  std::chrono::milliseconds lag{};
  std::map<mono_time, std::uint32_t> history;
  orders::counts seen;

  ordering_fleet() {
    lease_options.name = "orders/x";
    for (std::size_t i = 0; i < processes.size(); ++i) {
      processes[i].contender.self = std::to_string(i) + "#1";
      processes[i].book.data_centre = "x";
    }
    for (int i = 0; i < 6; ++i) {
      infra::vm parked;
      parked.id = "e" + std::to_string(i);
      parked.role = infra::vm_role::engine;
      parked.data_centre = "x";
      parked.pool = "m";
      store.parked[parked.id] = parked;
    }
    Want(2);
  }

  void Want(std::uint32_t count) { seen[{"m", false}].wanted = count; }

  void Look() {
    std::uint32_t running = 0;
    for (const auto& [unused, item] : store.vms) {
      running += item.state == infra::vm_state::live ? 1 : 0;
    }
    history[now] = running;
    const auto known = history.upper_bound(now - lag);
    seen[{"m", false}].running =
        known == history.begin() ? 0 : std::prev(known)->second;
  }

  void Lease(ordering_process& who) {
    auto request = lease::Tick(who.contender, lease_options, now, departed);
    if (request) {
      lease::OnReply(who.contender, lease_options, Handle(store, *request),
                     now);
    }
  }

  infra::condition Condition(const ordering_process& who) const {
    return lease::FencingCondition(who.contender, lease_options);
  }

  void Begin(ordering_process& who) {
    if (!lease::IsHeld(who.contender, now)) {
      who.next = {};
      return;
    }
    if (who.term != who.contender.fencing) {
      who.term = who.contender.fencing;
      orders::BeginTerm(who.book, options, who.term, now);
    }
    Look();
    who.next = orders::Tick(who.book, options, Condition(who), seen, now);
  }

  /** @brief Sends what is prepared; false if there was nothing to send. */
  bool Send(ordering_process& who, bool check_lease = true) {
    infra::request request;
    if (const auto* order = std::get_if<orders::send_order>(&who.next)) {
      if (check_lease && !lease::IsHeld(who.contender, now)) {
        orders::OnNotSent(who.book);
        who.next = {};
        return false;
      }
      request = order->order;
    } else if (const auto* plain = std::get_if<infra::request>(&who.next)) {
      request = *plain;
    } else {
      return false;
    }
    const auto reply = Handle(store, request);
    who.next = orders::OnReply(who.book, options, reply, Condition(who), now);
    return true;
  }

  /** @brief Takes the lease and stops just before the first order is sent. */
  void PrepareOrder(ordering_process& who) {
    Lease(who);
    Lease(who);
    const auto is_ready = [&who] {
      return std::holds_alternative<orders::send_order>(who.next);
    };
    for (int i = 0; i < 5 && !is_ready(); ++i) {
      Begin(who);
      while (!is_ready() && Send(who)) {
      }
    }
    BOOST_REQUIRE(is_ready());
  }

  void Run(ordering_process& who, std::chrono::milliseconds time) {
    for (const auto end = now + time; now < end; now += 100ms) {
      Lease(who);
      Begin(who);
      while (Send(who)) {
      }
    }
  }

  [[nodiscard]] std::size_t Running() {
    Look();
    return seen[{"m", false}].running;
  }
};

BOOST_FIXTURE_TEST_SUITE(upstream_orders, ordering_fleet)

BOOST_AUTO_TEST_CASE(too_few_upstreams_missing_ones_are_ordered_once) {
  Run(processes[0], 20s);
  BOOST_TEST(Running() == 2);
  BOOST_TEST(store.orders.size() == 1);
}

BOOST_AUTO_TEST_CASE(too_many_upstreams_surplus_is_stopped) {
  Want(4);
  Run(processes[0], 20s);
  Want(1);
  Run(processes[0], 20s);
  BOOST_TEST(Running() == 1);
}

BOOST_AUTO_TEST_CASE(
    holder_killed_before_each_request_order_takes_effect_once) {
  for (int at = 0; at < 6; ++at) {
    BOOST_TEST_CONTEXT("killed before request " << at) {
      ordering_fleet fresh;
      auto& first = fresh.processes[0];
      fresh.Lease(first);
      fresh.Lease(first);
      int left = at;
      for (int i = 0; i < 5 && left > 0; ++i) {
        fresh.Begin(first);
        while (left > 0 && fresh.Send(first)) {
          --left;
        }
      }
      fresh.Run(fresh.processes[1], 30s);
      BOOST_TEST(fresh.Running() == 2);
      BOOST_TEST(fresh.store.vms.size() == 2);
    }
  }
}

BOOST_AUTO_TEST_CASE(holder_killed_list_lagging_successor_orders_no_more) {
  for (int at = 0; at < 6; ++at) {
    BOOST_TEST_CONTEXT("killed before request " << at) {
      ordering_fleet fresh;
      fresh.lag = 8s;
      auto& first = fresh.processes[0];
      fresh.Lease(first);
      fresh.Lease(first);
      int left = at;
      for (int i = 0; i < 5 && left > 0; ++i) {
        fresh.Begin(first);
        while (left > 0 && fresh.Send(first)) {
          --left;
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
    BOOST_TEST(fresh.Running() == 2);
    BOOST_TEST(fresh.store.vms.size() == 2);
  }
}

/** @brief Pauses the holder between its last check and the sending. */
struct paused_order : ordering_fleet {
  /** @brief Returns how many orders of two holders the target accepted. */
  std::size_t AcceptedFencings() {
    auto& first = processes[0];
    PrepareOrder(first);
    BOOST_REQUIRE(std::holds_alternative<orders::send_order>(first.next));
    Run(processes[1], 30s);
    constexpr bool kCheckedBeforeThePause = false;
    Send(first, kCheckedBeforeThePause);
    std::set<std::uint64_t> accepted;
    for (const auto& taken : store.orders) {
      if (taken.accepted) {
        accepted.insert(taken.order.fencing);
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

BOOST_FIXTURE_TEST_CASE(pause_after_check_ignoring_target_has_no_second_holder,
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
  departed = true;
  BOOST_TEST(AcceptedFencings() == 2);
  BOOST_TEST(store.vms.size() == 2);
}

BOOST_AUTO_TEST_CASE(any_replies_lost_list_lagging_order_takes_effect_once) {
  for (std::uint32_t lost = 1; lost <= 6; ++lost) {
    ordering_fleet fresh;
    fresh.lag = 8s;
    fresh.Lease(fresh.processes[0]);
    fresh.Lease(fresh.processes[0]);
    fresh.store.faults.lost_replies = lost;
    fresh.Run(fresh.processes[0], 60s);
    BOOST_TEST(fresh.store.vms.size() == 2);
  }
}

BOOST_AUTO_TEST_CASE(order_reply_lost_list_lagging_order_is_not_made_anew) {
  lag = 8s;
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
