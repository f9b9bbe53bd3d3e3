#define BOOST_TEST_MODULE turns
#include <boost/test/included/unit_test.hpp>

#include <cstdint>
#include <numeric>
#include <set>
#include <vector>

#include "base/base.h"

namespace {

constexpr std::size_t kMaxItems = 16;

struct item_lists {
  static std::vector<std::size_t> Items(std::size_t count) {
    std::vector<std::size_t> out(count);
    std::iota(out.begin(), out.end(), 0);
    return out;
  }
};

BOOST_FIXTURE_TEST_SUITE(turns, item_lists)

// Guards against selecting the first items of a sorted list in every round:
// leaving upstreams and members that sort after the limit would never be named
// in a digest.
BOOST_AUTO_TEST_CASE(items_over_the_limit_are_all_selected_within_the_rounds) {
  for (std::size_t count = 1; count <= 200; ++count) {
    for (const std::uint64_t start : {0ULL, 7ULL, 1000ULL}) {
      std::set<std::size_t> selected;
      const auto rounds = (count + kMaxItems - 1) / kMaxItems;
      for (std::uint64_t round = start; round < start + rounds; ++round) {
        const auto part =
            mimosadeck::SelectRoundRobin(Items(count), kMaxItems, round);
        BOOST_TEST(part.size() == std::min(count, kMaxItems));
        selected.insert(part.begin(), part.end());
      }
      BOOST_TEST(selected.size() == count);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
