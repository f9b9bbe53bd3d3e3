#define BOOST_TEST_MODULE response_memory
#include <boost/test/included/unit_test.hpp>

#include <optional>

#include "forwarding/forwarding.h"

namespace {

using mimosadeck::forwarding::held_bytes;
using mimosadeck::forwarding::kReservedResponseBytes;
using mimosadeck::forwarding::response_memory;

constexpr std::uint64_t kLimit = 10 * kReservedResponseBytes;

/** @brief Fixture with one response that holds more than its reserve. */
struct two_responses {
  std::shared_ptr<response_memory> memory =
      std::make_shared<response_memory>(response_memory{kLimit, 0});
  std::optional<held_bytes> large{memory};
  held_bytes small{memory};
};

BOOST_FIXTURE_TEST_SUITE(limit, two_responses)

// Guards against a response without end that takes the memory of all others.
BOOST_AUTO_TEST_CASE(response_beyond_the_limit_exceeds_it) {
  large->Set(kLimit);
  BOOST_TEST(large->IsWithinLimit());
  large->Set(kLimit + 1);
  BOOST_TEST(!large->IsWithinLimit());
}

// Guards against ordinary responses that fail because of oversized ones.
BOOST_AUTO_TEST_CASE(ordinary_response_stays_within_a_used_up_limit) {
  large->Set(kLimit + 1);
  small.Set(kReservedResponseBytes);
  BOOST_TEST(small.IsWithinLimit());
  small.Set(kReservedResponseBytes + 1);
  BOOST_TEST(!small.IsWithinLimit());
}

// Guards against memory that stays counted after its response has ended.
BOOST_AUTO_TEST_CASE(bytes_of_an_ended_response_are_free_again) {
  large->Set(kLimit);
  small.Set(kReservedResponseBytes + 1);
  BOOST_TEST(!small.IsWithinLimit());
  large.reset();
  BOOST_TEST(small.IsWithinLimit());
  BOOST_TEST(memory->used == kReservedResponseBytes + 1);
}

// Guards against bytes that are counted twice, or not at all, when a response
// is handed on.
BOOST_AUTO_TEST_CASE(bytes_of_a_moved_response_are_counted_once) {
  large->Set(kLimit);
  {
    const held_bytes moved = *std::move(large);
    large.reset();
    BOOST_TEST(memory->used == kLimit);
  }
  BOOST_TEST(memory->used == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
