#define BOOST_TEST_MODULE sizing
#include <boost/test/included/unit_test.hpp>

#include "sizing/sizing.h"

namespace {

using namespace std::chrono_literals;
using mimosadeck::mono_time;
namespace routing = mimosadeck::routing;
namespace sizing = mimosadeck::sizing;

/** A provider of upstreams in three data centres that carries orders out after
 * a boot time. */
struct three_data_centres {
  sizing::planner state;
  sizing::options settings;
  routing::scaling_bounds bounds;
  sizing::observation seen;
  mono_time now{100s};
  std::set<std::string> dry;
  int orders{};
  struct booting {
    mono_time ready_at;
    sizing::order what;
  };
  std::vector<booting> pending;

  three_data_centres() {
    bounds.min_upstreams = 1;
    bounds.max_upstreams = 8;
    bounds.boot_time = 4s;
    bounds.price_by_data_centre = {{"a", 0.85}, {"b", 1.2}, {"c", 1.0}};
    for (const auto* name : {"a", "b", "c"}) {
      seen.ready[name] = {4, 0};
    }
    seen.slots = 64;
    seen.cache_tokens = 800000;
    seen.ms_per_token = 0.01;
  }

  void Apply(const sizing::order& what) {
    auto& ready = seen.ready[what.data_centre];
    (what.evictable ? ready.evictable : ready.lasting) = what.count;
  }

  void Pass(std::chrono::milliseconds time) {
    constexpr auto kStep = 200ms;
    for (const auto end = now + time; now < end; now += kStep) {
      std::erase_if(pending, [&](const auto& each) {
        if (each.ready_at <= now) {
          Apply(each.what);
          return true;
        }
        return false;
      });
      const auto due = sizing::NextOrder(state, settings, bounds, seen, now);
      if (!due) {
        continue;
      }
      ++orders;
      if (due->evictable && dry.contains(due->data_centre)) {
        sizing::OnAnswer(state, settings, *due, sizing::order_answer::refused,
                         now);
        continue;
      }
      sizing::OnAnswer(state, settings, *due, sizing::order_answer::accepted,
                       now);
      pending.push_back({now + 4s, *due});
    }
  }

  /** Takes all evictable upstreams of a data centre away. */
  void Evict(const std::string& name) {
    seen.ready[name].evictable = 0;
    dry.insert(name);
  }

  std::uint32_t Ready() const {
    std::uint32_t sum = 0;
    for (const auto& [name, ready] : seen.ready) {
      sum += ready.lasting + ready.evictable;
    }
    return sum;
  }

  double Cost() const {
    double sum = 0;
    for (const auto& [name, ready] : seen.ready) {
      sum += bounds.price_by_data_centre.at(name) *
             (ready.lasting + 0.22 * ready.evictable);
    }
    return sum;
  }

  void Load(double upstreams) {
    seen.tokens_per_second =
        upstreams * settings.target_use * 1000 / seen.ms_per_token;
    seen.running = 1;
  }
};

BOOST_FIXTURE_TEST_SUITE(before_load, three_data_centres)

BOOST_AUTO_TEST_CASE(provided_capacity_is_kept_and_made_cheaper) {
  const double before = Cost();
  Pass(40s);
  BOOST_TEST(Ready() >= 12);
  BOOST_TEST(Cost() < 0.65 * before);
}

BOOST_AUTO_TEST_CASE(lasting_upstreams_wait_for_their_stand_ins) {
  for (int i = 0; i < 200; ++i) {
    Pass(200ms);
    BOOST_TEST(Ready() >= 12);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(under_load, three_data_centres)

BOOST_AUTO_TEST_CASE(burst_is_answered_by_orders_at_its_first_sign) {
  Load(6);
  Pass(60s);
  const auto before = Ready();
  Load(18);
  Pass(5s);
  BOOST_TEST(Ready() >= 18);
  BOOST_TEST(Ready() > before);
}

BOOST_AUTO_TEST_CASE(lull_between_bursts_lets_nothing_go) {
  Load(12);
  Pass(30s);
  const auto before = Ready();
  Load(3);
  Pass(5s);
  BOOST_TEST(Ready() >= before);
}

BOOST_AUTO_TEST_CASE(load_that_stays_low_is_met_by_fewer) {
  Load(12);
  Pass(30s);
  Load(2);
  Pass(120s);
  BOOST_TEST(Ready() <= 6);
  BOOST_TEST(Ready() >= 3);
}

BOOST_AUTO_TEST_CASE(steady_load_is_not_ordered_again_and_again) {
  Load(8);
  Pass(60s);
  orders = 0;
  Pass(60s);
  BOOST_TEST(orders == 0);
}

BOOST_AUTO_TEST_CASE(full_memory_counts_as_load) {
  seen.running = 10;
  seen.held_tokens = static_cast<std::uint64_t>(18 * 0.6 * 800000);
  Pass(10s);
  BOOST_TEST(Ready() >= 18);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(evictions, three_data_centres)

BOOST_AUTO_TEST_CASE(data_centre_taken_back_leaves_most_of_the_need) {
  Load(12);
  Pass(30s);
  Evict("a");
  BOOST_TEST(Ready() >= 10);
}

BOOST_AUTO_TEST_CASE(lasting_upstreams_stand_in_while_none_are_to_be_had) {
  Load(12);
  Pass(30s);
  for (const auto* name : {"a", "b", "c"}) {
    Evict(name);
  }
  Pass(6s);
  BOOST_TEST(Ready() >= 12);
}

BOOST_AUTO_TEST_CASE(evictable_upstreams_come_back_when_they_are_to_be_had) {
  Load(12);
  Pass(30s);
  const auto before = seen.ready["a"].evictable;
  Evict("a");
  Pass(10s);
  dry.clear();
  Pass(20s);
  BOOST_TEST(before > 0);
  BOOST_TEST(seen.ready["a"].evictable == before);
}

BOOST_AUTO_TEST_CASE(refused_order_is_repeated_with_a_pause) {
  Load(12);
  Pass(30s);
  Evict("a");
  orders = 0;
  Pass(10s);
  BOOST_TEST(orders >= 1);
  BOOST_TEST(orders <= 8);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
