#define BOOST_TEST_MODULE sizing
#include <boost/test/included/unit_test.hpp>

#include "sizing/sizing.h"

namespace {

using namespace std::chrono_literals;
using mimosadeck::mono_time;
namespace routing = mimosadeck::routing;
namespace sizing = mimosadeck::sizing;

/** A provider with three data centres that carries out each order after the
 * boot time and refuses evictable upstreams in exhausted data centres. */
struct three_data_centres {
  sizing::planner state;
  sizing::options settings;
  routing::scaling_bounds bounds;
  sizing::observation observed;
  mono_time now{100s};
  std::set<std::string> exhausted;
  int order_count{};
  struct booting {
    mono_time ready_at;
    sizing::order requested;
  };
  std::vector<booting> pending;

  three_data_centres() {
    bounds.min_upstreams = 1;
    bounds.max_upstreams = 8;
    bounds.boot_time = 4s;
    bounds.price_by_data_centre = {{"a", 0.85}, {"b", 1.2}, {"c", 1.0}};
    for (const auto* name : {"a", "b", "c"}) {
      observed.ready[name] = {4, 0};
    }
    observed.slots = 64;
    observed.cache_tokens = 800000;
    observed.ms_per_token = 0.01;
  }

  void Apply(const sizing::order& requested) {
    auto& ready = observed.ready[requested.data_centre];
    (requested.evictable ? ready.evictable : ready.lasting) = requested.count;
  }

  void Advance(std::chrono::milliseconds time) {
    constexpr auto kStep = 200ms;
    for (const auto end = now + time; now < end; now += kStep) {
      std::erase_if(pending, [&](const auto& each) {
        if (each.ready_at <= now) {
          Apply(each.requested);
          return true;
        }
        return false;
      });
      const auto due =
          sizing::NextOrder(state, settings, bounds, observed, now);
      if (!due) {
        continue;
      }
      ++order_count;
      if (due->evictable && exhausted.contains(due->data_centre)) {
        sizing::OnOrderAnswer(state, settings, *due,
                              sizing::order_answer::refused, now);
        continue;
      }
      sizing::OnOrderAnswer(state, settings, *due,
                            sizing::order_answer::accepted, now);
      pending.push_back({now + 4s, *due});
    }
  }

  /** Evicts all evictable upstreams of a data centre and refuses new ones. */
  void EvictAndRefuse(const std::string& name) {
    observed.ready[name].evictable = 0;
    exhausted.insert(name);
  }

  std::uint32_t Ready() const {
    std::uint32_t sum = 0;
    for (const auto& [name, ready] : observed.ready) {
      sum += ready.lasting + ready.evictable;
    }
    return sum;
  }

  double Cost() const {
    double sum = 0;
    for (const auto& [name, ready] : observed.ready) {
      sum += bounds.price_by_data_centre.at(name) *
             (ready.lasting + 0.22 * ready.evictable);
    }
    return sum;
  }

  void SetLoad(double upstreams) {
    observed.tokens_per_second =
        upstreams * settings.target_utilisation * 1000 / observed.ms_per_token;
    observed.running = 1;
  }
};

BOOST_FIXTURE_TEST_SUITE(before_load, three_data_centres)

BOOST_AUTO_TEST_CASE(provided_capacity_is_kept_and_made_cheaper) {
  const double before = Cost();
  Advance(40s);
  BOOST_TEST(Ready() >= 12);
  BOOST_TEST(Cost() < 0.65 * before);
}

BOOST_AUTO_TEST_CASE(lasting_upstreams_are_kept_until_replaced) {
  for (int i = 0; i < 200; ++i) {
    Advance(200ms);
    BOOST_TEST(Ready() >= 12);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(under_load, three_data_centres)

BOOST_AUTO_TEST_CASE(burst_is_met_by_orders_at_once) {
  SetLoad(6);
  Advance(60s);
  const auto before = Ready();
  SetLoad(18);
  Advance(5s);
  BOOST_TEST(Ready() >= 18);
  BOOST_TEST(Ready() > before);
}

BOOST_AUTO_TEST_CASE(lull_between_bursts_releases_nothing) {
  SetLoad(12);
  Advance(30s);
  const auto before = Ready();
  SetLoad(3);
  Advance(5s);
  BOOST_TEST(Ready() >= before);
}

BOOST_AUTO_TEST_CASE(load_that_stays_low_releases_upstreams) {
  SetLoad(12);
  Advance(30s);
  SetLoad(2);
  Advance(120s);
  BOOST_TEST(Ready() <= 6);
  BOOST_TEST(Ready() >= 3);
}

BOOST_AUTO_TEST_CASE(steady_load_causes_no_more_orders) {
  SetLoad(8);
  Advance(60s);
  order_count = 0;
  Advance(60s);
  BOOST_TEST(order_count == 0);
}

BOOST_AUTO_TEST_CASE(full_memory_counts_as_load) {
  observed.running = 10;
  observed.held_tokens = static_cast<std::uint64_t>(18 * 0.6 * 800000);
  Advance(10s);
  BOOST_TEST(Ready() >= 18);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(evictions, three_data_centres)

BOOST_AUTO_TEST_CASE(data_centre_evicted_most_of_the_need_is_still_covered) {
  SetLoad(12);
  Advance(30s);
  EvictAndRefuse("a");
  BOOST_TEST(Ready() >= 10);
}

BOOST_AUTO_TEST_CASE(
    no_evictable_upstreams_available_lasting_ones_replace_them) {
  SetLoad(12);
  Advance(30s);
  for (const auto* name : {"a", "b", "c"}) {
    EvictAndRefuse(name);
  }
  Advance(6s);
  BOOST_TEST(Ready() >= 12);
}

BOOST_AUTO_TEST_CASE(evictable_upstreams_available_again_are_ordered_again) {
  SetLoad(12);
  Advance(30s);
  const auto before = observed.ready["a"].evictable;
  EvictAndRefuse("a");
  Advance(10s);
  exhausted.clear();
  Advance(20s);
  BOOST_TEST(before > 0);
  BOOST_TEST(observed.ready["a"].evictable == before);
}

BOOST_AUTO_TEST_CASE(refused_order_is_repeated_after_a_delay) {
  SetLoad(12);
  Advance(30s);
  EvictAndRefuse("a");
  order_count = 0;
  Advance(10s);
  BOOST_TEST(order_count >= 1);
  BOOST_TEST(order_count <= 8);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(evacuations, three_data_centres)

// Guards against demand that reaches the other data centres before what they
// need was ordered, and against counting upstreams that may get no work.
BOOST_AUTO_TEST_CASE(evacuated_data_centre_is_replaced_at_once) {
  observed.tokens_per_second = 560000;
  Advance(40s);
  const auto serving = [this] {
    std::uint32_t sum = 0;
    for (const auto* name : {"b", "c"}) {
      sum += observed.ready[name].lasting + observed.ready[name].evictable;
    }
    return sum;
  };
  const auto needed = *state.need;
  BOOST_REQUIRE(serving() < needed);
  observed.evacuated = {"a"};
  Advance(8s);
  BOOST_TEST(serving() >= needed);
}

// Guards against releasing upstreams in an evacuation that ends within seconds.
BOOST_AUTO_TEST_CASE(short_evacuation_keeps_the_upstreams) {
  observed.tokens_per_second = 560000;
  Advance(40s);
  const auto before = observed.ready["a"];
  observed.evacuated = {"a"};
  Advance(8s);
  observed.evacuated.clear();
  BOOST_TEST(observed.ready["a"].lasting == before.lasting);
  BOOST_TEST(observed.ready["a"].evictable == before.evictable);
}

// Guards against paying for upstreams that may get no work.
BOOST_AUTO_TEST_CASE(long_evacuation_keeps_only_the_minimum) {
  observed.tokens_per_second = 560000;
  Advance(40s);
  observed.evacuated = {"a"};
  Advance(40s);
  const auto& ready = observed.ready["a"];
  BOOST_TEST(ready.lasting + ready.evictable == bounds.min_upstreams);
}

BOOST_AUTO_TEST_CASE(evacuation_of_all_data_centres_keeps_the_minimum) {
  observed.tokens_per_second = 560000;
  Advance(20s);
  observed.evacuated = {"a", "b", "c"};
  Advance(40s);
  BOOST_TEST(Ready() == 3 * bounds.min_upstreams);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against one odd registration that makes the fleet look many times its
// size, so that too few upstreams are ordered.
BOOST_AUTO_TEST_CASE(slots_of_one_odd_upstream_do_not_count) {
  constexpr std::uint32_t kOdd = 4294967295;
  BOOST_TEST(sizing::TypicalSlots({kOdd, 64, 64, 64}) == 64U);
  BOOST_TEST(sizing::TypicalSlots({64, 64, kOdd}) == 64U);
  BOOST_TEST(sizing::TypicalSlots({64}) == 64U);
  BOOST_TEST(sizing::TypicalSlots({}) == 0U);
}

}  // namespace
