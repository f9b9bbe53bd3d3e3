#define BOOST_TEST_MODULE rate_limit
#include <boost/test/included/unit_test.hpp>

#include <chrono>
#include <optional>
#include <string>

#include "rate_limit/rate_limit.h"

namespace {

using namespace std::chrono_literals;
namespace rate_limit = mimosadeck::rate_limit;
using rate_limit::change;

const std::string kUpstream = "u1/5";

/** Limits known to one entry, with a virtual clock. */
struct known_limits {
  rate_limit::limit_table state;
  mimosadeck::mono_time now{1h};

  bool HasLimit() const {
    return rate_limit::LimitOf(state, kUpstream).has_value();
  }
};

BOOST_FIXTURE_TEST_SUITE(limits, known_limits)

BOOST_AUTO_TEST_CASE(stated_limit_is_known_until_an_answer_states_none) {
  BOOST_TEST(!HasLimit());
  BOOST_CHECK(rate_limit::OnStated(state, kUpstream, 1.5, now) == change::set);
  BOOST_TEST(*rate_limit::LimitOf(state, kUpstream) == 1.5);
  BOOST_CHECK(rate_limit::OnStated(state, kUpstream, 1.5, now + 1s) ==
              change::none);
  BOOST_CHECK(rate_limit::OnStated(state, kUpstream, 0.2, now + 2s) ==
              change::set);
  BOOST_CHECK(rate_limit::OnNotStated(state, kUpstream, now + 3s, now + 4s) ==
              change::ended);
  BOOST_TEST(!HasLimit());
}

// Guards against ending a limit by an answer that was made before the upstream
// stated it and that arrived later.
BOOST_AUTO_TEST_CASE(answer_overtaken_by_the_limit_does_not_end_it) {
  static_cast<void>(rate_limit::OnStated(state, kUpstream, 1, now));
  BOOST_CHECK(rate_limit::OnNotStated(state, kUpstream, now - 1ms, now + 1s) ==
              change::none);
  BOOST_TEST(HasLimit());
}

BOOST_AUTO_TEST_CASE(next_incarnation_has_no_limit) {
  static_cast<void>(rate_limit::OnStated(state, kUpstream, 1, now));
  BOOST_TEST(!rate_limit::LimitOf(state, "u1/6").has_value());
}

BOOST_AUTO_TEST_CASE(newest_observation_of_any_entry_decides) {
  BOOST_CHECK(rate_limit::Merge(state, kUpstream, {2.0, now}) == change::set);
  BOOST_CHECK(rate_limit::Merge(state, kUpstream, {std::nullopt, now - 1s}) ==
              change::none);
  BOOST_TEST(HasLimit());
  BOOST_CHECK(rate_limit::Merge(state, kUpstream, {std::nullopt, now + 1s}) ==
              change::ended);
  BOOST_CHECK(rate_limit::Merge(state, kUpstream, {2.0, now}) == change::none);
  BOOST_TEST(!HasLimit());
}

BOOST_AUTO_TEST_CASE(limit_is_kept_while_the_registry_lists_the_upstream) {
  static_cast<void>(rate_limit::OnStated(state, kUpstream, 1, now));
  const auto listed = [](std::string_view) { return true; };
  const auto gone = [](std::string_view) { return false; };
  rate_limit::Tick(state, listed, 10s, now + 1min);
  BOOST_TEST(HasLimit());
  rate_limit::Tick(state, gone, 10s, now + 1min);
  BOOST_TEST(state.by_incarnation.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
