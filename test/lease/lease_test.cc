#define BOOST_TEST_MODULE lease
#include <boost/test/included/unit_test.hpp>

#include "lease/lease.h"
#include "stand_in/memory_platform.h"

namespace {

using namespace std::chrono_literals;
using mimosadeck::mono_time;
namespace lease = mimosadeck::lease;
namespace infra = mimosadeck::infra;

/** @brief Point in a holder's cycle at which it is paused. */
enum class step { before_tick, after_send, after_store, after_reply };

constexpr std::array kSteps{step::before_tick, step::after_send,
                            step::after_store, step::after_reply};

lease::contender Contender(const std::string& self) {
  lease::contender out;
  out.self = self;
  return out;
}

lease::options Options() {
  lease::options out;
  out.name = "work";
  return out;
}

struct two_contenders {
  mimosadeck::stand_in::memory_platform store;
  mono_time now{1h};
  lease::options options = Options();
  lease::contender a = Contender("a#1");
  lease::contender b = Contender("b#1");
  bool is_holder_gone{};

  /** @brief Runs one request and reply of a contender. */
  void Cycle(lease::contender& contender) {
    auto request = lease::Tick(contender, options, now, is_holder_gone);
    if (request) {
      lease::OnReply(contender, options, Handle(store, *request), now);
    }
  }

  /** @brief Runs contenders for a time; fails if both hold the lease. */
  void Run(std::initializer_list<lease::contender*> contenders,
           std::chrono::milliseconds time) {
    for (const auto end = now + time; now < end; now += 50ms) {
      for (auto* contender : contenders) {
        Cycle(*contender);
      }
      BOOST_REQUIRE(!(lease::IsHeld(a, now) && lease::IsHeld(b, now)));
    }
  }
};

BOOST_FIXTURE_TEST_SUITE(lease_protocol, two_contenders)

BOOST_AUTO_TEST_CASE(contender_vacant_lease_acquires) {
  Run({&a, &b}, 1s);
  BOOST_TEST(lease::IsHeld(a, now) != lease::IsHeld(b, now));
}

BOOST_AUTO_TEST_CASE(holder_killed_other_takes_over_with_greater_fencing) {
  Run({&a}, 1s);
  const auto fencing = a.fencing;
  Run({&b}, 6s);
  BOOST_TEST(lease::IsHeld(b, now));
  BOOST_TEST(b.fencing > fencing);
}

BOOST_AUTO_TEST_CASE(
    contender_after_conflict_and_failed_read_reuses_no_number) {
  // Both read the lease as vacant; b's write conflicts, and then b cannot read
  // the row.
  for (auto* contender : {&a, &b}) {
    Cycle(*contender);
  }
  now += 1s;
  auto lost = lease::Tick(b, options, now, is_holder_gone);
  BOOST_REQUIRE(lost);
  Cycle(a);
  BOOST_REQUIRE(lease::IsHeld(a, now));
  lease::OnReply(b, options, Handle(store, *lost), now);
  for (const auto end = now + 6s; now < end; now += 50ms) {
    auto request = lease::Tick(b, options, now, is_holder_gone);
    if (!request) {
      continue;
    }
    const bool reads = std::holds_alternative<infra::read_row>(*request);
    lease::OnReply(
        b, options,
        reads ? infra::reply{infra::unavailable{}} : Handle(store, *request),
        now);
  }
  Run({&b}, 10s);
  BOOST_TEST(lease::IsHeld(b, now));
  BOOST_TEST(b.fencing > a.fencing);
}

// Guards against a number that goes back at an upgrade: the row is from an
// entry that counted takeovers in it, as often as it was written.
BOOST_AUTO_TEST_CASE(takeover_of_a_row_with_counted_numbers_has_a_higher_one) {
  lease::record counted{"old#1", 0, 0, false};
  for (std::uint64_t version = 0; version < 5; ++version) {
    ++counted.fencing;
    infra::commit takeover;
    takeover.conditions.push_back({lease::RowKey("work"), version});
    takeover.writes.push_back(
        {lease::RowKey("work"), lease::EncodeRecord(counted)});
    BOOST_REQUIRE(
        std::holds_alternative<infra::committed>(Handle(store, takeover)));
  }
  Run({&a}, 6s);
  BOOST_REQUIRE(lease::IsHeld(a, now));
  BOOST_TEST(a.fencing > counted.fencing);
}

// Guards against a number that goes back at a downgrade: an entry that counts
// takeovers in the row adds one to the number there.
BOOST_AUTO_TEST_CASE(row_states_the_number_of_its_holder_after_a_renewal) {
  Run({&a}, 1s);
  BOOST_REQUIRE(lease::IsHeld(a, now));
  const auto row = lease::DecodeRecord(store.rows.at("lease/work").value);
  BOOST_REQUIRE(row);
  BOOST_TEST(row->fencing == a.fencing);
}

// Guards against two holders with one fencing number: the store returns from a
// copy without the takeover of b, and a takes the lease over once more.
BOOST_AUTO_TEST_CASE(takeover_after_a_lost_takeover_has_a_number_of_its_own) {
  Run({&a}, 1s);
  const auto copy = TakeCopy(store);
  Run({&b}, 6s);
  BOOST_REQUIRE(lease::IsHeld(b, now));
  ReturnFromCopy(store, copy);
  auto successor = Contender("a#2");
  for (const auto end = now + 10s; now < end; now += 50ms) {
    Cycle(successor);
  }
  BOOST_REQUIRE(lease::IsHeld(successor, now));
  BOOST_TEST(successor.fencing > b.fencing);
}

BOOST_AUTO_TEST_CASE(holder_paused_at_each_step_never_two_holders) {
  for (const auto where : kSteps) {
    for (const auto pause : {2900ms, 3100ms, 4000ms, 9000ms}) {
      BOOST_TEST_CONTEXT("step " << static_cast<int>(where) << ", pause "
                                 << pause.count()) {
        two_contenders fresh;
        fresh.Run({&fresh.a, &fresh.b}, 500ms);
        auto& holder = lease::IsHeld(fresh.a, fresh.now) ? fresh.a : fresh.b;
        auto& other = &holder == &fresh.a ? fresh.b : fresh.a;
        fresh.now += fresh.options.renew_interval;
        std::optional<infra::request> request;
        std::optional<infra::reply> reply;
        if (where != step::before_tick) {
          request = lease::Tick(holder, fresh.options, fresh.now, false);
          BOOST_REQUIRE(request);
        }
        if (where == step::after_store || where == step::after_reply) {
          reply = Handle(fresh.store, *request);
        }
        if (where == step::after_reply) {
          lease::OnReply(holder, fresh.options, *reply, fresh.now);
        }
        fresh.Run({&other}, pause);
        if (where == step::after_send) {
          reply = Handle(fresh.store, *request);
        }
        if (reply && where != step::after_reply) {
          lease::OnReply(holder, fresh.options, *reply, fresh.now);
        }
        BOOST_TEST(!(lease::IsHeld(fresh.a, fresh.now) &&
                     lease::IsHeld(fresh.b, fresh.now)));
        fresh.Run({&fresh.a, &fresh.b}, 10s);
        BOOST_TEST(lease::IsHeld(fresh.a, fresh.now) !=
                   lease::IsHeld(fresh.b, fresh.now));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(renewal_reply_late_term_counts_from_sending) {
  Run({&a}, 500ms);
  now += options.renew_interval;
  const auto request = lease::Tick(a, options, now, false);
  BOOST_REQUIRE(request);
  const auto sent = now;
  const auto reply = Handle(store, *request);
  now += 2500ms;
  lease::OnReply(a, options, reply, now);
  BOOST_TEST(lease::IsHeld(a, sent + options.term - 1ms));
  BOOST_TEST(!lease::IsHeld(a, sent + options.term));
}

BOOST_AUTO_TEST_CASE(write_replies_lost_one_contender_holds_again) {
  for (std::uint32_t lost = 1; lost <= 5; ++lost) {
    two_contenders fresh;
    fresh.store.faults.lost_replies = lost;
    fresh.Run({&fresh.a, &fresh.b}, 20s);
    BOOST_TEST(lease::IsHeld(fresh.a, fresh.now) !=
               lease::IsHeld(fresh.b, fresh.now));
  }
}

BOOST_AUTO_TEST_CASE(store_down_past_term_holder_stops_and_one_returns) {
  Run({&a, &b}, 1s);
  store.faults.down = true;
  Run({&a, &b}, 4s);
  BOOST_TEST(!lease::IsHeld(a, now));
  BOOST_TEST(!lease::IsHeld(b, now));
  store.faults.down = false;
  Run({&a, &b}, 10s);
  BOOST_TEST(lease::IsHeld(a, now) != lease::IsHeld(b, now));
}

BOOST_AUTO_TEST_CASE(holder_released_other_takes_over_at_once) {
  Run({&a}, 1s);
  lease::Release(a);
  Run({&a}, 200ms);
  BOOST_TEST(lease::IsReleased(a));
  BOOST_TEST(!lease::IsHeld(a, now));
  Run({&b}, 200ms);
  BOOST_TEST(lease::IsHeld(b, now));
}

BOOST_AUTO_TEST_CASE(holder_silent_but_listed_target_without_fencing_waits) {
  options.rule = lease::takeover_rule::after_vm_removal;
  Run({&a}, 1s);
  Run({&b}, 60s);
  BOOST_TEST(!lease::IsHeld(b, now));
  is_holder_gone = true;
  Run({&b}, 1s);
  BOOST_TEST(lease::IsHeld(b, now));
}

BOOST_AUTO_TEST_CASE(write_of_former_holder_fencing_condition_conflicts) {
  Run({&a}, 1s);
  const auto condition = lease::FencingCondition(a, options);
  Run({&b}, 6s);
  infra::commit late;
  late.conditions.push_back(condition);
  late.writes.push_back({"intent", "x"});
  BOOST_TEST(std::holds_alternative<infra::conflict>(
      Handle(store, infra::request{late})));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
