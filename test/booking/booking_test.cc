#define BOOST_TEST_MODULE booking
#include <rapidcheck.h>
#include <boost/test/included/unit_test.hpp>

#include "booking/cluster.h"

namespace {

using namespace std::chrono_literals;
using mimosadeck::booking_test::cluster;
using mimosadeck::booking_test::Describe;
using mimosadeck::booking_test::RunSchedule;
using mimosadeck::booking_test::Shrink;
namespace booking = mimosadeck::booking;

struct three_entries {
  cluster fleet{3};
};

BOOST_FIXTURE_TEST_SUITE(claims, three_entries)

BOOST_AUTO_TEST_CASE(claim_twice_at_two_entries_is_granted_once) {
  fleet.Start();
  fleet.Claim(0, "k");
  fleet.Claim(1, "k");
  fleet.Run(2s);
  BOOST_TEST(fleet.Sends("k") == 1);
  BOOST_TEST(fleet.Outcomes("k", booking::claim_outcome::in_progress) == 1);
}

BOOST_AUTO_TEST_CASE(claim_repeated_after_end_gets_recorded_answer) {
  fleet.Start();
  fleet.Claim(0, "k");
  fleet.Run(1s);
  fleet.Finish("k");
  fleet.Run(1s);
  fleet.Claim(2, "k");
  fleet.Run(1s);
  BOOST_TEST(fleet.Sends("k") == 1);
  BOOST_TEST(fleet.Outcomes("k", booking::claim_outcome::answered) == 1);
}

BOOST_AUTO_TEST_CASE(claim_same_key_other_request_is_refused_as_reused) {
  fleet.Start();
  fleet.Claim(0, "k");
  fleet.Run(1s);
  fleet.Claim(1, "k", "another request");
  fleet.Run(1s);
  BOOST_TEST(fleet.Outcomes("k", booking::claim_outcome::key_reused) == 1);
}

BOOST_AUTO_TEST_CASE(store_down_claims_are_granted_and_not_doubled) {
  fleet.Start();
  fleet.store.faults.down = true;
  fleet.Claim(0, "k");
  fleet.Run(1s);
  fleet.Claim(1, "k");
  fleet.Run(1s);
  BOOST_TEST(fleet.Sends("k") == 1);
  BOOST_TEST(fleet.Outcomes("k", booking::claim_outcome::in_progress) == 1);
}

BOOST_AUTO_TEST_CASE(owner_dies_in_outage_repeat_is_unknown_never_sent_again) {
  fleet.Start();
  const auto owner = fleet.Owner();
  const auto other = (owner + 1) % 3;
  fleet.store.faults.down = true;
  fleet.Claim(owner, "k");
  fleet.Run(1s);
  BOOST_TEST(fleet.Sends("k") == 1);
  fleet.Kill(owner);
  fleet.Run(2s);
  fleet.Claim(other, "k");
  fleet.Run(2s);
  BOOST_TEST(fleet.Sends("k") == 1);
  fleet.store.faults.down = false;
  fleet.Run(10s);
  fleet.Claim(other, "k");
  fleet.Run(2s);
  BOOST_TEST(fleet.Sends("k") == 1);
  BOOST_TEST(fleet.Outcomes("k", booking::claim_outcome::unknown) == 1);
}

BOOST_AUTO_TEST_CASE(owner_paused_past_takeover_grants_nothing_after) {
  fleet.Start();
  const auto owner = fleet.Owner();
  fleet.Pause(owner);
  fleet.Run(20s);
  BOOST_TEST(fleet.Owner() != owner);
  fleet.Claim(fleet.Owner(), "k");
  fleet.Run(1s);
  fleet.store.faults.down = true;
  fleet.Resume(owner);
  fleet.ClaimAt(owner, owner, "k");
  fleet.Run(3s);
  BOOST_TEST(fleet.Sends("k") == 1);
}

BOOST_AUTO_TEST_CASE(owner_and_both_holders_lost_in_outage_new_keys_unknown) {
  cluster five(5);
  five.Start();
  const auto owner = five.Owner();
  const auto holders = five.Holders();
  BOOST_REQUIRE(holders.size() == 2);
  five.store.faults.down = true;
  std::size_t survivor = 0;
  while (survivor == owner || survivor == holders[0] ||
         survivor == holders[1]) {
    ++survivor;
  }
  five.Claim(survivor, "k");
  five.Run(1s);
  BOOST_TEST(five.Sends("k") == 1);
  five.Kill(owner);
  five.Kill(holders[0]);
  five.Kill(holders[1]);
  five.store.faults.down = false;
  five.Run(20s);
  five.Claim(survivor, "k");
  five.Run(2s);
  BOOST_TEST(five.Sends("k") == 1);
  BOOST_TEST(five.Outcomes("k", booking::claim_outcome::unknown) == 1);
}

BOOST_AUTO_TEST_CASE(write_replies_lost_claims_are_granted) {
  fleet.Start();
  for (int i = 0; i < 8; ++i) {
    fleet.store.faults.lost_replies = 1;
    fleet.Claim(static_cast<std::size_t>(i) % 3, "k" + std::to_string(i));
    fleet.Run(2s);
    BOOST_TEST(fleet.Sends("k" + std::to_string(i)) == 1);
  }
}

BOOST_AUTO_TEST_CASE(claim_given_up_before_it_arrives_leaves_key_free) {
  fleet.Start();
  fleet.AbandonBeforeClaim(0, "k");
  fleet.Run(1s);
  fleet.Claim(1, "k");
  fleet.Run(1s);
  BOOST_TEST(fleet.Sends("k") == 1);
}

BOOST_AUTO_TEST_CASE(owner_leaving_hands_over_without_waiting) {
  fleet.Start();
  const auto owner = fleet.Owner();
  fleet.Claim((owner + 1) % 3, "k");
  fleet.Run(1s);
  fleet.Leave(owner);
  fleet.Run(2s);
  BOOST_TEST(fleet.Owner() != owner);
  fleet.Claim((owner + 1) % 3, "k");
  fleet.Run(1s);
  BOOST_TEST(fleet.Sends("k") == 1);
  BOOST_TEST(fleet.Outcomes("k", booking::claim_outcome::in_progress) == 1);
}

BOOST_AUTO_TEST_CASE(process_killed_at_each_message_never_sends_twice) {
  constexpr int kMessages = 60;
  for (std::size_t victim = 0; victim < 3; ++victim) {
    for (int at = 0; at < kMessages; ++at) {
      BOOST_TEST_CONTEXT("victim " << victim << " at message " << at) {
        cluster fresh(3);
        fresh.Start();
        fresh.KillAfterMessages(victim, at);
        fresh.Claim(0, "k");
        fresh.Claim(1, "k");
        fresh.Run(1s);
        fresh.Finish("k");
        fresh.Run(20s);
        fresh.Claim((victim + 1) % 3, "k");
        fresh.Run(2s);
        BOOST_TEST(fresh.Sends("k") <= 1);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(random_schedules_never_send_twice) {
  const bool held = rc::check("a call is sent at most once under any schedule",
                              [](const std::vector<std::uint16_t>& schedule) {
                                RC_ASSERT(RunSchedule(schedule));
                              });
  BOOST_TEST(held);
}

BOOST_AUTO_TEST_CASE(long_seeded_schedules_never_send_twice) {
  constexpr unsigned kSeeds = 20000;
  constexpr std::size_t kLength = 300;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    std::mt19937 random(seed);
    std::vector<std::uint16_t> schedule(kLength);
    for (auto& item : schedule) {
      item = static_cast<std::uint16_t>(random());
    }
    const bool held = RunSchedule(schedule);
    BOOST_TEST(held, "seed " << seed << ", shortest schedule: "
                             << (held ? "" : Describe(Shrink(schedule))));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
