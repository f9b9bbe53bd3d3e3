#define BOOST_TEST_MODULE ownership
#include <boost/test/included/unit_test.hpp>

#include <random>

#include "base/base.h"
#include "ownership/ownership.h"

namespace {

namespace ownership = mimosadeck::ownership;

struct candidates_fixture {
  std::vector<ownership::candidate> all;

  candidates_fixture() {
    for (int i = 0; i < 9; ++i) {
      all.push_back({"e" + std::to_string(i), "dc" + std::to_string(i % 3)});
    }
  }

  /** @brief Reference implementation: sorts all candidates. */
  static std::vector<std::string> ReferenceRank(
      const std::string& work,
      std::vector<ownership::candidate> candidates,
      std::size_t count) {
    const auto seed = mimosadeck::Hash64(work);
    std::sort(candidates.begin(), candidates.end(),
              [seed](const auto& a, const auto& b) {
                return mimosadeck::Hash64(a.id, seed) >
                       mimosadeck::Hash64(b.id, seed);
              });
    std::vector<std::string> out;
    for (std::size_t i = 0; i < std::min(count, candidates.size()); ++i) {
      out.push_back(candidates[i].id);
    }
    return out;
  }
};

BOOST_FIXTURE_TEST_SUITE(rendezvous, candidates_fixture)

BOOST_AUTO_TEST_CASE(rank_any_input_order_equals_reference) {
  std::mt19937 random(1);
  for (int i = 0; i < 500; ++i) {
    std::shuffle(all.begin(), all.end(), random);
    const std::string work = "w" + std::to_string(i);
    BOOST_TEST(ownership::Rank(work, all, 3) == ReferenceRank(work, all, 3));
  }
}

BOOST_AUTO_TEST_CASE(member_gone_only_its_work_moves) {
  auto fewer = all;
  fewer.erase(fewer.begin() + 4);
  for (int i = 0; i < 500; ++i) {
    const std::string work = "w" + std::to_string(i);
    const auto before = ownership::Rank(work, all, 1).front();
    const auto after = ownership::Rank(work, fewer, 1).front();
    if (before != "e4") {
      BOOST_TEST(before == after);
    }
  }
}

BOOST_AUTO_TEST_CASE(work_spreads_evenly) {
  std::map<std::string, int> owned;
  for (int i = 0; i < 9000; ++i) {
    ++owned[ownership::Rank("w" + std::to_string(i), all, 1).front()];
  }
  for (const auto& [unused, count] : owned) {
    BOOST_TEST(count > 800);
    BOOST_TEST(count < 1200);
  }
}

BOOST_AUTO_TEST_CASE(owner_near_is_in_data_centre_while_it_has_candidates) {
  for (int i = 0; i < 100; ++i) {
    const auto owner =
        ownership::OwnerNear("w" + std::to_string(i), "dc1", all);
    BOOST_TEST((owner == "e1" || owner == "e4" || owner == "e7"));
  }
  BOOST_TEST(!ownership::OwnerNear("w", "nowhere", all).empty());
  BOOST_TEST(ownership::OwnerNear("w", "dc1", {}).empty());
}

BOOST_AUTO_TEST_CASE(holders_are_in_other_data_centres) {
  for (int i = 0; i < 100; ++i) {
    const auto holders =
        ownership::ChooseReplicaHolders("w" + std::to_string(i), "e0", all, 2);
    BOOST_REQUIRE(holders.size() == 2);
    std::set<char> centres;
    for (const auto& id : holders) {
      centres.insert(static_cast<char>('0' + (id[1] - '0') % 3));
    }
    BOOST_TEST(centres.size() == 2);
    BOOST_TEST(!centres.contains('0'));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
