#define BOOST_TEST_MODULE turns
#include <boost/test/included/unit_test.hpp>

#include <cstdint>
#include <numeric>
#include <set>
#include <vector>

#include "base/base.h"

namespace {

constexpr std::size_t kMost = 16;

struct many_items {
  static std::vector<std::size_t> Items(std::size_t count) {
    std::vector<std::size_t> out(count);
    std::iota(out.begin(), out.end(), 0);
    return out;
  }
};

BOOST_FIXTURE_TEST_SUITE(turns, many_items)

// Digests named the first of the leaving upstreams and members in the order of
// their names; those behind them were never told of.
BOOST_AUTO_TEST_CASE(item_behind_the_limit_is_kept_in_its_turn) {
  for (std::size_t count = 1; count <= 200; ++count) {
    for (const std::uint64_t start : {0ULL, 7ULL, 1000ULL}) {
      std::set<std::size_t> kept;
      const auto rounds = (count + kMost - 1) / kMost;
      for (std::uint64_t round = start; round < start + rounds; ++round) {
        const auto part = mimosadeck::TakeTurn(Items(count), kMost, round);
        BOOST_TEST(part.size() == std::min(count, kMost));
        kept.insert(part.begin(), part.end());
      }
      BOOST_TEST(kept.size() == count);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
