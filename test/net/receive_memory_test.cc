#define BOOST_TEST_MODULE receive_memory
#include <boost/test/included/unit_test.hpp>

#include <algorithm>
#include <random>
#include <vector>

#include "net/net.h"

namespace {

using namespace std::chrono_literals;
using mimosadeck::mono_time;
namespace net = mimosadeck::net;

constexpr std::uint64_t kMb = std::uint64_t{1} << 20U;

struct ten_megabytes {
  net::receive_memory memory;
  net::receive_options settings{10 * kMb, 0};
  mono_time now{1h};

  net::receive_id Add(const std::string& owner, std::uint64_t bytes) {
    const auto id = net::Begin(memory, owner, now);
    BOOST_TEST(Hold(id, bytes).empty());
    return id;
  }
  std::vector<net::receive_id> Hold(net::receive_id id, std::uint64_t bytes) {
    return net::Hold(memory, settings, id, bytes, now);
  }
};

BOOST_FIXTURE_TEST_SUITE(crowd_of_unfinished_bodies, ten_megabytes)

// Guards against cutting a body that arrives for one that has stopped.
BOOST_AUTO_TEST_CASE(request_without_progress_is_cut_first) {
  const auto stopped = Add("a", 4 * kMb);
  now += 2s;
  const auto arriving = Add("a", 5 * kMb);
  now += 10ms;
  const auto cut = Hold(arriving, 7 * kMb);
  BOOST_REQUIRE(cut.size() == 1);
  BOOST_TEST(cut[0] == stopped);
  BOOST_TEST(memory.used == 7 * kMb);
}

// Guards against a crowd that takes the memory from callers of other accounts.
BOOST_AUTO_TEST_CASE(owner_that_holds_most_is_cut_though_another_is_slower) {
  const auto slow = Add("small", 1 * kMb);
  now += 5s;
  std::vector<net::receive_id> crowd;
  for (int i = 0; i < 4; ++i) {
    crowd.push_back(Add("large", 2 * kMb));
  }
  const auto cut = Hold(slow, 3 * kMb);
  BOOST_REQUIRE(cut.size() == 1);
  BOOST_TEST((std::find(crowd.begin(), crowd.end(), cut[0]) != crowd.end()));
}

// Guards against a refusal that is not true: a whole request may have been sent
// to an upstream.
BOOST_AUTO_TEST_CASE(whole_request_is_never_cut) {
  const auto whole = Add("a", 6 * kMb);
  net::SetWhole(memory, whole, 12 * kMb);
  now += 1h;
  const auto late = net::Begin(memory, "b", now);
  const auto cut = Hold(late, 1);
  BOOST_REQUIRE(cut.size() == 1);
  BOOST_TEST(cut[0] == late);
  BOOST_TEST(memory.used == 12 * kMb);
}

// Guards against bytes that stay counted on an address after the account was
// found, or after the request has ended.
BOOST_AUTO_TEST_CASE(bytes_follow_the_owner_and_end_with_the_request) {
  const auto id = Add("10.0.0.1", 2 * kMb);
  net::SetOwner(memory, id, "account a");
  BOOST_TEST(memory.by_owner.size() == 1);
  BOOST_TEST(memory.by_owner.at("account a") == 2 * kMb);
  net::End(memory, id);
  net::End(memory, id);
  BOOST_TEST(memory.used == 0);
  BOOST_TEST(memory.by_owner.empty());
}

// Guards against an account of the bytes that drifts from what requests hold:
// random requests begin, grow, complete and end.
BOOST_AUTO_TEST_CASE(account_of_bytes_matches_the_requests_in_random_orders) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    std::mt19937 random(seed);
    memory = {};
    std::vector<net::receive_id> ids;
    for (int step = 0; step < 500; ++step) {
      now += 1ms;
      if (ids.empty() || random() % 4 == 0) {
        ids.push_back(net::Begin(memory, std::to_string(random() % 5), now));
      }
      const auto id = ids[random() % ids.size()];
      switch (random() % 5) {
        case 0:
          net::End(memory, id);
          break;
        case 1:
          net::SetWhole(memory, id, random() % kMb);
          break;
        case 2:
          net::SetOwner(memory, id, std::to_string(random() % 5));
          break;
        default:
          static_cast<void>(Hold(id, random() % (3 * kMb)));
      }
      std::uint64_t sum = 0;
      for (const auto& [number, request] : memory.by_id) {
        sum += request.bytes;
      }
      std::uint64_t by_owner = 0;
      for (const auto& [owner, bytes] : memory.by_owner) {
        by_owner += bytes;
      }
      BOOST_REQUIRE(memory.used == sum);
      BOOST_REQUIRE(by_owner == sum);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

struct budget_of_two {
  net::receive_budget budget{net::receive_options{2 * kMb, 1024}};
  int cut_first{};
  net::receive_claim first{&budget, "a", [this] { ++cut_first; }};
  net::receive_claim second{&budget, "b", [] {}};
};

BOOST_FIXTURE_TEST_SUITE(claims, budget_of_two)

// Guards against ordinary requests that are cut for a crowd: their reserve is
// free in any case.
BOOST_AUTO_TEST_CASE(claim_within_its_reserve_is_not_counted) {
  BOOST_TEST(first.Hold(1024));
  BOOST_TEST(budget.UsedBytes() == 0);
}

BOOST_AUTO_TEST_CASE(claim_that_is_cut_is_told_once) {
  BOOST_TEST(first.Hold(2 * kMb));
  BOOST_TEST(second.Hold(kMb));
  BOOST_TEST(cut_first == 1);
  BOOST_TEST(second.Hold(2 * kMb));
  BOOST_TEST(cut_first == 1);
  BOOST_TEST(!second.Hold(2 * kMb + 1));
  BOOST_TEST(budget.UsedBytes() == 0);
}

BOOST_AUTO_TEST_CASE(claim_without_a_budget_is_never_cut) {
  net::receive_claim unlimited(nullptr, "a", [] {});
  BOOST_TEST(unlimited.Hold(1000 * kMb));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
