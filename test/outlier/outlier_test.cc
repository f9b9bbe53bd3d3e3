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

  void Record(outcome observed) {
    outlier::OnOutcome(state, settings, observed, now);
  }
};

BOOST_FIXTURE_TEST_SUITE(ejection, one_upstream)

BOOST_AUTO_TEST_CASE(unreachable_upstream_is_ejected_for_the_first_interval) {
  Record(outcome::unreachable);
  BOOST_TEST(outlier::IsEjected(state, now));
  BOOST_TEST(!outlier::IsEjected(state, now + settings.initial_ejection));
}

BOOST_AUTO_TEST_CASE(requests_that_fail_together_count_once) {
  for (int i = 0; i < 20; ++i) {
    Record(outcome::unreachable);
  }
  BOOST_TEST(!outlier::IsEjected(state, now + settings.initial_ejection));
}

BOOST_AUTO_TEST_CASE(consecutive_ejections_grow_to_the_limit) {
  for (int i = 0; i < 10; ++i) {
    Record(outcome::unreachable);
    now = state.ejected_until;
  }
  Record(outcome::unreachable);
  BOOST_TEST((state.ejected_until - now == settings.max_ejection));
}

BOOST_AUTO_TEST_CASE(served_request_resets_the_ejection_interval) {
  Record(outcome::unreachable);
  now = state.ejected_until;
  Record(outcome::served);
  Record(outcome::unreachable);
  BOOST_TEST((state.ejected_until - now == settings.initial_ejection));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(failure_rate, one_upstream)

BOOST_AUTO_TEST_CASE(partly_failing_upstream_has_a_higher_failure_rate) {
  for (int i = 0; i < 40; ++i) {
    Record(i % 5 < 2 ? outcome::failed : outcome::served);
  }
  BOOST_TEST(outlier::FailureRate(state, settings, now) > 0.2);
  BOOST_TEST(!outlier::IsEjected(state, now));
}

BOOST_AUTO_TEST_CASE(failure_rate_of_an_unused_upstream_decays) {
  for (int i = 0; i < 20; ++i) {
    Record(outcome::failed);
  }
  const double before = outlier::FailureRate(state, settings, now);
  const double after =
      outlier::FailureRate(state, settings, now + settings.half_life);
  BOOST_TEST(after == before / 2, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
