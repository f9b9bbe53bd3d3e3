#define BOOST_TEST_MODULE retry
#include <boost/test/included/unit_test.hpp>

#include <deque>
#include <random>
#include <vector>

#include "retry/retry.h"

namespace {

using namespace std::chrono_literals;
using mimosadeck::mono_time;
namespace retry = mimosadeck::retry;

struct fleet_of_entries {
  static constexpr std::uint32_t kEntries = 8;
  retry::limit allowed{0.2, 56, 10s};
  std::vector<retry::budget> budgets{kEntries};
  mono_time now{100s};
};

BOOST_FIXTURE_TEST_SUITE(budget, fleet_of_entries)

/** Every request fails at every entry: retries in any window stay within the
 * limit for the fleet. */
BOOST_AUTO_TEST_CASE(retry_storm_stays_within_the_limit_in_any_window) {
  std::mt19937 random(7);
  std::deque<mono_time> retries;
  std::deque<mono_time> requests;
  for (int i = 0; i < 40000; ++i) {
    now += 1ms;
    if (random() % 10 == 0) {
      auto& own = budgets[random() % kEntries];
      retry::OnFirstAttempt(own, allowed, kEntries, now);
      requests.push_back(now);
      for (int attempt = 0; attempt < 3; ++attempt) {
        if (retry::TryRetry(own, allowed, kEntries, now)) {
          retries.push_back(now);
        }
      }
    }
    while (!retries.empty() && now - retries.front() > allowed.window) {
      retries.pop_front();
    }
    while (!requests.empty() && now - requests.front() > allowed.window) {
      requests.pop_front();
    }
    BOOST_REQUIRE(static_cast<double>(retries.size()) <=
                  allowed.ratio * static_cast<double>(requests.size()) +
                      allowed.extra);
  }
  BOOST_TEST(!retries.empty());
}

BOOST_AUTO_TEST_CASE(rare_failures_are_always_covered) {
  auto& own = budgets.front();
  for (int i = 0; i < 1000; ++i) {
    now += 100ms;
    retry::OnFirstAttempt(own, allowed, kEntries, now);
    if (i % 10 == 0) {
      BOOST_TEST(retry::TryRetry(own, allowed, kEntries, now));
    }
  }
}

BOOST_AUTO_TEST_CASE(idle_entry_saves_no_more_than_its_share) {
  auto& own = budgets.front();
  retry::OnFirstAttempt(own, allowed, kEntries, now);
  now += 1h;
  int retries = 0;
  while (retry::TryRetry(own, allowed, kEntries, now)) {
    ++retries;
  }
  BOOST_TEST(retries <= static_cast<int>(allowed.extra / kEntries));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
