#define BOOST_TEST_MODULE availability
#include <boost/test/included/unit_test.hpp>

#include "availability/availability.h"

namespace {

using namespace std::chrono_literals;
using mimosadeck::mono_time;
namespace availability = mimosadeck::availability;
using availability::signal;

/** One incarnation that the registry lists as ready. */
struct one_upstream {
  availability::record_table records;
  availability::options options;
  mono_time now{100s};
  const std::string name{"u1/5"};

  bool Signal(signal received) {
    return availability::OnSignal(records, options, name, received, now);
  }

  const availability::record& Record() {
    return records.by_incarnation.find(name)->second;
  }

  void Tick(bool is_listed) {
    availability::Tick(
        records, options, [is_listed](std::string_view) { return is_listed; },
        now);
  }
};

BOOST_FIXTURE_TEST_SUITE(leaving, one_upstream)

BOOST_AUTO_TEST_CASE(announced_leaving_is_reported_once_and_stays) {
  BOOST_TEST(Signal(signal::announced));
  BOOST_TEST(!Signal(signal::announced));
  BOOST_TEST(!Signal(signal::reported));
  now += 24h;
  availability::OnConnectionKeptOpen(records, name);
  Tick(true);
  BOOST_TEST(availability::IsLeaving(records, name));
}

// Guards against using an upstream again that the registry lists as ready after
// it listed it as draining.
BOOST_AUTO_TEST_CASE(registered_leaving_stays_while_the_upstream_is_listed) {
  BOOST_TEST(Signal(signal::registered));
  BOOST_TEST(!Signal(signal::announced));
  now += options.retention + 1ms;
  Tick(true);
  BOOST_TEST(availability::IsLeaving(records, name));
}

BOOST_AUTO_TEST_CASE(next_incarnation_of_the_same_id_is_not_leaving) {
  Signal(signal::announced);
  BOOST_TEST(!availability::IsLeaving(records, "u1/6"));
}

BOOST_AUTO_TEST_CASE(gone_incarnation_is_removed_after_its_retention) {
  Signal(signal::reported);
  Tick(false);
  BOOST_TEST(availability::Leaving(records).size() == 1U);
  now += options.retention + 1ms;
  Tick(false);
  BOOST_TEST(availability::Leaving(records).empty());
}

BOOST_AUTO_TEST_CASE(replaced_upstream_is_paused_but_may_return) {
  BOOST_TEST(!Signal(signal::replaced));
  BOOST_TEST(!availability::IsLeaving(records, name));
  BOOST_TEST((Record().closed_until == now + options.replaced_pause));
}

BOOST_AUTO_TEST_CASE(single_closed_connection_has_no_effect) {
  Signal(signal::connection_closed);
  BOOST_TEST((Record().avoided_until <= now));
  availability::OnConnectionKeptOpen(records, name);
  Signal(signal::connection_closed);
  BOOST_TEST((Record().avoided_until <= now));
}

BOOST_AUTO_TEST_CASE(upstream_that_closes_every_connection_is_avoided) {
  Signal(signal::connection_closed);
  Signal(signal::connection_closed);
  BOOST_TEST((Record().avoided_until == now + options.avoid_period));
  BOOST_TEST(!availability::IsLeaving(records, name));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(pauses, one_upstream)

BOOST_AUTO_TEST_CASE(pause_is_granted_as_requested) {
  const auto granted =
      availability::OnPauseRequested(records, options, name, 1500ms, now);
  BOOST_TEST((granted == 1500ms));
  BOOST_TEST((Record().closed_until == now + 1500ms));
}

BOOST_AUTO_TEST_CASE(very_long_pause_is_granted_up_to_the_limit) {
  const auto granted =
      availability::OnPauseRequested(records, options, name, 24h, now);
  BOOST_TEST((granted == options.max_pause));
}

BOOST_AUTO_TEST_CASE(later_shorter_pause_does_not_end_a_longer_one) {
  availability::OnPauseRequested(records, options, name, 5s, now);
  availability::OnPauseRequested(records, options, name, 1s, now);
  BOOST_TEST((Record().closed_until == now + 5s));
}

BOOST_AUTO_TEST_CASE(pause_of_an_unlisted_upstream_is_kept_to_its_end) {
  options.retention = 1s;
  availability::OnPauseRequested(records, options, name, 5s, now);
  now += 2s;
  Tick(false);
  BOOST_TEST((Record().closed_until == now + 3s));
  now += 4s;
  Tick(false);
  BOOST_TEST(records.by_incarnation.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
