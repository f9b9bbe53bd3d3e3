#define BOOST_TEST_MODULE admission
#include <boost/test/included/unit_test.hpp>

#include <random>

#include "admission/admission.h"

namespace {

using namespace std::chrono_literals;
using mimosadeck::mono_time;
namespace admission = mimosadeck::admission;

struct queue_fixture {
  admission::queue queue;
  admission::options options;
  mono_time now{1h};
  std::uint64_t next_id{1};

  admission::queued_request MakeRequest(const std::string& account,
                                        int tier,
                                        double tokens = 10,
                                        double weight = 1) {
    admission::queued_request out;
    out.id = next_id++;
    out.account = account;
    out.weight = weight;
    out.tier = tier;
    out.expected_tokens = tokens;
    out.arrived = now;
    out.deadline = now + 10min;
    return out;
  }

  bool Add(const std::string& account, int tier, double tokens = 10) {
    return admission::Offer(queue, options, MakeRequest(account, tier, tokens))
        .accepted;
  }
};

BOOST_FIXTURE_TEST_SUITE(queue_order, queue_fixture)

BOOST_AUTO_TEST_CASE(queue_full_lower_tier_is_displaced_never_tier_zero) {
  options.capacity = 4;
  for (int i = 0; i < 4; ++i) {
    BOOST_REQUIRE(Add("a", 3));
  }
  for (int i = 0; i < 4; ++i) {
    const auto outcome = admission::Offer(queue, options, MakeRequest("b", 0));
    BOOST_TEST(outcome.accepted);
    BOOST_REQUIRE(outcome.displaced);
    BOOST_TEST(outcome.displaced->tier == 3);
  }
  for (int tier = 0; tier < admission::kTierCount; ++tier) {
    const auto outcome =
        admission::Offer(queue, options, MakeRequest("c", tier));
    BOOST_TEST(!outcome.accepted);
    BOOST_TEST(!outcome.displaced.has_value());
  }
}

BOOST_AUTO_TEST_CASE(queue_full_of_one_account_other_account_gets_place) {
  options.capacity = 8;
  for (int i = 0; i < 8; ++i) {
    BOOST_REQUIRE(Add("large", 1));
  }
  const auto outcome =
      admission::Offer(queue, options, MakeRequest("small", 1));
  BOOST_TEST(outcome.accepted);
  BOOST_REQUIRE(outcome.displaced);
  BOOST_TEST(outcome.displaced->account == "large");
}

BOOST_AUTO_TEST_CASE(higher_tier_waiting_is_taken_first) {
  Add("a", 3);
  Add("a", 1);
  Add("a", 0);
  std::vector<int> tiers;
  while (const auto taken = admission::Take(queue, options, now, 4)) {
    tiers.push_back(taken->tier);
  }
  BOOST_TEST(tiers == (std::vector<int>{0, 1, 3}));
}

BOOST_AUTO_TEST_CASE(only_reserved_slots_left_lower_tiers_stay_queued) {
  Add("a", 1);
  BOOST_TEST(!admission::Take(queue, options, now, 0).has_value());
  Add("a", 0);
  BOOST_TEST(admission::Take(queue, options, now, 0)->tier == 0);
}

BOOST_AUTO_TEST_CASE(
    drafts_under_continuous_higher_work_are_taken_within_bound) {
  constexpr int kDrafts = 10;
  for (int i = 0; i < kDrafts; ++i) {
    Add("slow", 3);
  }
  int taken_drafts = 0;
  int choices = 0;
  now += options.starvation_threshold;
  while (taken_drafts < kDrafts && choices < 10000) {
    Add("fast", 1);
    const auto taken = admission::Take(queue, options, now, 4);
    BOOST_REQUIRE(taken);
    taken_drafts += taken->tier == 3 ? 1 : 0;
    ++choices;
    now += 1ms;
  }
  BOOST_TEST(taken_drafts == kDrafts);
  BOOST_TEST(choices <=
             kDrafts * static_cast<int>(options.starvation_interval));
}

BOOST_AUTO_TEST_CASE(continuous_bookings_drafts_are_still_served) {
  Add("slow", 4);
  now += options.starvation_threshold;
  bool served = false;
  for (std::uint32_t i = 0; i < options.starvation_interval && !served; ++i) {
    Add("fast", 0);
    served = admission::Take(queue, options, now, 4)->tier == 4;
  }
  BOOST_TEST(served);
}

BOOST_AUTO_TEST_CASE(random_lengths_shares_match_weights) {
  for (unsigned seed = 1; seed <= 50; ++seed) {
    queue_fixture fresh;
    std::mt19937 random(seed);
    std::map<std::string, double> served;
    const std::map<std::string, double> weights{
        {"a", 1}, {"b", 1}, {"c", 2}, {"d", 4}};
    constexpr double kLongest = 400;
    for (int step = 0; step < 4000; ++step) {
      for (const auto& [account, weight] : weights) {
        if (!fresh.queue.tiers[2].backlogs.contains(account)) {
          static_cast<void>(
              admission::Offer(fresh.queue, fresh.options,
                               fresh.MakeRequest(account, 2, 50, weight)));
        }
      }
      const auto taken =
          admission::Take(fresh.queue, fresh.options, fresh.now, 4);
      BOOST_REQUIRE(taken);
      const double tokens = 1 + random() % static_cast<unsigned>(kLongest);
      admission::CorrectService(fresh.queue, 2, taken->account,
                                tokens - taken->expected_tokens, fresh.now);
      served[taken->account] += tokens / weights.at(taken->account);
    }
    for (const auto& [account, amount] : served) {
      BOOST_TEST(std::abs(amount - served.at("a")) <= 2 * kLongest,
                 "seed " << seed << ' ' << account);
    }
  }
}

BOOST_AUTO_TEST_CASE(idle_account_returning_saved_up_no_share) {
  for (int i = 0; i < 100; ++i) {
    Add("busy", 2);
    static_cast<void>(admission::Take(queue, options, now, 4));
  }
  for (int i = 0; i < 20; ++i) {
    Add("busy", 2);
    Add("new", 2);
  }
  int taken_of_new = 0;
  for (int i = 0; i < 20; ++i) {
    taken_of_new += admission::Take(queue, options, now, 4)->account == "new";
  }
  BOOST_TEST(taken_of_new >= 9);
  BOOST_TEST(taken_of_new <= 11);
}

BOOST_AUTO_TEST_CASE(backlog_of_other_account_does_not_count_as_ahead) {
  for (int i = 0; i < 100; ++i) {
    Add("large", 2);
  }
  BOOST_TEST(admission::TokensAhead(queue, 2, "small", 1) == 0);
  Add("small", 2);
  BOOST_TEST(admission::TokensAhead(queue, 2, "small", 1) == 20);
  BOOST_TEST(admission::TokensAhead(queue, 2, "large", 1) == 1010);
  BOOST_TEST(admission::TokensAhead(queue, 3, "small", 1) == 1010);
}

BOOST_AUTO_TEST_CASE(deadline_passed_request_is_removed) {
  auto request = MakeRequest("a", 2);
  request.deadline = now + 1s;
  static_cast<void>(admission::Offer(queue, options, request));
  BOOST_TEST(admission::RemoveExpired(queue, now).empty());
  BOOST_TEST(admission::RemoveExpired(queue, now + 1s).size() == 1);
  BOOST_TEST(queue.size == 0);
  BOOST_TEST(admission::TokensAhead(queue, 4, "a", 1) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

struct limit_fixture {
  mono_time now{1h};
};

BOOST_FIXTURE_TEST_SUITE(limits, limit_fixture)

BOOST_AUTO_TEST_CASE(empty_bucket_returns_time_until_refilled) {
  admission::bucket bucket;
  admission::SetRate(bucket, 10, now);
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST(admission::TryTake(bucket, 1, now).count() == 0);
  }
  const auto wait = admission::TryTake(bucket, 1, now);
  BOOST_TEST(wait.count() == 100);
  BOOST_TEST(admission::TryTake(bucket, 1, now + wait).count() == 0);
}

BOOST_AUTO_TEST_CASE(unlimited_bucket_never_refuses) {
  admission::bucket bucket;
  for (int i = 0; i < 1000; ++i) {
    BOOST_TEST(admission::TryTake(bucket, 1000, now).count() == 0);
  }
}

BOOST_AUTO_TEST_CASE(share_of_zero_refuses_at_once) {
  admission::bucket bucket;
  admission::SetRate(bucket, 5, now);
  admission::SetRate(bucket, 0, now);
  bucket.level = 0;
  BOOST_TEST(admission::TryTake(bucket, 1, now).count() > 0);
}

BOOST_AUTO_TEST_CASE(shares_of_all_entries_never_exceed_limit) {
  std::mt19937 random(7);
  for (int round = 0; round < 200; ++round) {
    admission::divided_limit divided;
    std::map<std::string, double> rates;
    std::map<std::string, double> shares;
    for (int i = 0; i < 9; ++i) {
      rates["e" + std::to_string(i)] = random() % 100;
    }
    for (int pass = 0; pass < 2; ++pass) {
      for (const auto& [entry, rate] : rates) {
        shares[entry] =
            admission::UpdateShare(divided, 120, entry, rate, now, 2s);
      }
    }
    double sum = 0;
    for (const auto& [unused, share] : shares) {
      sum += share;
    }
    BOOST_TEST(sum <= 120.001);
  }
}

BOOST_AUTO_TEST_CASE(entry_gone_its_share_goes_to_the_other_entries) {
  admission::divided_limit divided;
  static_cast<void>(admission::UpdateShare(divided, 100, "a", 100, now, 2s));
  BOOST_TEST(admission::UpdateShare(divided, 100, "b", 100, now, 2s) == 50);
  BOOST_TEST(admission::UpdateShare(divided, 100, "b", 100, now + 3s, 2s) ==
             100);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
