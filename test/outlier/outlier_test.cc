#define BOOST_TEST_MODULE outlier
#include <boost/test/included/unit_test.hpp>

#include "outlier/outlier.h"

namespace {

using namespace std::chrono_literals;
using mimosadeck::mono_time;
namespace outlier = mimosadeck::outlier;
using outlier::outcome;

struct one_upstream {
  outlier::record state;
  outlier::options settings;
  mono_time now{100s};

  void See(outcome seen) { outlier::OnOutcome(state, settings, seen, now); }
};

BOOST_FIXTURE_TEST_SUITE(ejection, one_upstream)

BOOST_AUTO_TEST_CASE(unreachable_upstream_is_left_out_for_a_while) {
  See(outcome::unreachable);
  BOOST_TEST(outlier::IsEjected(state, now));
  BOOST_TEST(!outlier::IsEjected(state, now + settings.initial_ejection));
}

BOOST_AUTO_TEST_CASE(requests_that_fail_together_count_once) {
  for (int i = 0; i < 20; ++i) {
    See(outcome::unreachable);
  }
  BOOST_TEST(!outlier::IsEjected(state, now + settings.initial_ejection));
}

BOOST_AUTO_TEST_CASE(ejections_in_a_row_grow_to_a_bound) {
  for (int i = 0; i < 10; ++i) {
    See(outcome::unreachable);
    now = state.ejected_until;
  }
  See(outcome::unreachable);
  BOOST_TEST((state.ejected_until - now == settings.max_ejection));
}

BOOST_AUTO_TEST_CASE(served_request_ends_the_row) {
  See(outcome::unreachable);
  now = state.ejected_until;
  See(outcome::served);
  See(outcome::unreachable);
  BOOST_TEST((state.ejected_until - now == settings.initial_ejection));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(failure_rate, one_upstream)

BOOST_AUTO_TEST_CASE(grey_upstream_rates_above_a_good_one) {
  for (int i = 0; i < 40; ++i) {
    See(i % 5 < 2 ? outcome::failed : outcome::served);
  }
  BOOST_TEST(outlier::FailureRate(state, settings, now) > 0.2);
  BOOST_TEST(!outlier::IsEjected(state, now));
}

BOOST_AUTO_TEST_CASE(unused_upstream_is_forgiven_with_time) {
  for (int i = 0; i < 20; ++i) {
    See(outcome::failed);
  }
  const double before = outlier::FailureRate(state, settings, now);
  const double after =
      outlier::FailureRate(state, settings, now + settings.half_life);
  BOOST_TEST(after == before / 2, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
