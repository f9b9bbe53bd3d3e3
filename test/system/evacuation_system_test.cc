#define BOOST_TEST_MODULE evacuation_system
#include <boost/test/included/unit_test.hpp>

#include <algorithm>
#include <string>

#include <boost/json.hpp>

#include "system/one_entry.h"

namespace {

using namespace std::chrono_literals;
using namespace mimosadeck::system_test;

/** Requests that show whether an upstream is in use. */
constexpr int kRequests = 10;
constexpr auto kEvacuationOfB = "evacuate/b";
/** Time in which an entry reads what was written to the store. */
constexpr auto kReadTime = 1s;

/** @brief Fixture with one upstream in each of two data centres. */
struct two_data_centres : one_entry {
  two_data_centres() {
    second.data_centre = "b";
    store.Put("servers", "u2", second.Entry("ready"));
    BOOST_REQUIRE(Eventually([this] { return IsSecondInUse(); }));
  }

  /** @brief Returns whether requests that the first upstream refuses reach the
   * second one. */
  bool IsSecondInUse() {
    first.next = answer::not_run;
    const auto before = second.arrivals;
    for (int i = 0; i < kRequests; ++i) {
      Call("/safe/x");
    }
    first.next = answer::good;
    return second.arrivals > before;
  }

  /** @brief Serves the store until the entry has read what was written. */
  void LetEntryRead() {
    io.restart();
    io.run_for(kReadTime);
  }

  void BeginEvacuation() {
    store.Put("op", kEvacuationOfB, "{}");
    BOOST_REQUIRE(Eventually([this] { return !IsSecondInUse(); }));
  }
};

BOOST_FIXTURE_TEST_SUITE(evacuated_data_centre, two_data_centres)

BOOST_AUTO_TEST_CASE(evacuated_upstreams_get_no_work_until_it_is_taken_back) {
  BeginEvacuation();
  BOOST_TEST(Call("/safe/x").status == 200);
  store.Drop("op", kEvacuationOfB);
  BOOST_TEST(Eventually([this] { return IsSecondInUse(); }));
}

// Guards against an evacuation that ends because the store cannot be asked.
BOOST_AUTO_TEST_CASE(evacuation_holds_while_the_store_is_away) {
  BeginEvacuation();
  store.fault = mimosadeck::platform_test::store_fault::reset;
  io.restart();
  io.run_for(3s);
  BOOST_TEST(!IsSecondInUse());
  store.fault = mimosadeck::platform_test::store_fault::none;
  store.Drop("op", kEvacuationOfB);
  BOOST_TEST(Eventually([this] { return IsSecondInUse(); }));
}

// Guards against a process that starts in an evacuation and serves at once.
BOOST_AUTO_TEST_CASE(entry_started_in_an_evacuation_obeys_it) {
  BeginEvacuation();
  entry.reset();
  Start();
  BOOST_REQUIRE(
      Eventually([this] { return Get(ready, "/v1/ready").status == 200; }));
  const auto before = second.arrivals;
  for (int i = 0; i < kRequests; ++i) {
    Call("/safe/x");
  }
  BOOST_TEST(second.arrivals == before);
}

// Guards against unreadable requests and unknown data centres that end the
// process or take upstreams out of use.
BOOST_AUTO_TEST_CASE(odd_evacuations_change_nothing) {
  store.Put("op", "evacuate/b", "not an object");
  store.Put("op", "evacuate/", "{}");
  store.Put("op", "evacuate/nowhere", "{}");
  LetEntryRead();
  static_cast<void>(entry->LineWith("\"evacuation_unreadable\""));
  static_cast<void>(entry->LineWith("\"nowhere\""));
  BOOST_TEST(IsSecondInUse());
}

// Guards against 503 that is not meant: all data centres are evacuated, and
// nothing may be sent.
BOOST_AUTO_TEST_CASE(request_with_all_data_centres_evacuated_is_refused) {
  store.Put("op", "evacuate/a", "{}");
  store.Put("op", kEvacuationOfB, "{}");
  BOOST_REQUIRE(Eventually([this] { return Call("/safe/x").status == 503; }));
  const auto before = first.arrivals + second.arrivals;
  const auto refused = Call("/unsafe/x");
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(refused.fields.contains("retry-after"));
  BOOST_TEST(first.arrivals + second.arrivals == before);
}

BOOST_AUTO_TEST_SUITE_END()

/** Rate of the tests' cold upstreams, and their bound in a second as the
 * default bounds give it. */
constexpr double kColdRate = 4;
constexpr std::size_t kAllowedInASecond = 11;

std::string ManifestWithColdRate() {
  auto out = json::parse(Manifest(1, "k1")).as_object();
  out["services"].as_array()[0].as_object()["cold_per_s"] = kColdRate;
  return json::serialize(out);
}

struct cold_upstream : one_entry {
  cold_upstream() : one_entry({4s, ManifestWithColdRate()}) {
    second.cold_for = 60s;
    store.Put("servers", "u2", second.Entry("ready"));
    io.restart();
    io.run_for(kReadTime);
    static_cast<void>(entry->LineWith("\"upstream_cold\""));
  }
};

BOOST_FIXTURE_TEST_SUITE(cold_upstreams, cold_upstream)

// Guards against a cold upstream that gets the whole load because no other one
// takes it. What is beyond its permits is refused, and has not run.
BOOST_AUTO_TEST_CASE(cold_upstream_gets_no_more_than_it_bears) {
  first.next = answer::not_run;
  second.arrived_at.clear();
  const auto end = std::chrono::steady_clock::now() + 7s;
  while (std::chrono::steady_clock::now() < end) {
    const auto status = Call("/safe/x").status;
    BOOST_TEST((status == 200 || status == 503));
  }
  const auto& all = second.arrived_at;
  std::size_t most = 0;
  for (std::size_t first_of = 0, last = 0; last < all.size(); ++last) {
    while (all[last] - all[first_of] >= 1s) {
      ++first_of;
    }
    most = std::max(most, last - first_of + 1);
  }
  BOOST_TEST(most <= kAllowedInASecond);
  BOOST_TEST(most > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
