#define BOOST_TEST_MODULE forwarding
#include <boost/test/included/unit_test.hpp>

#include <random>

#include "forwarding/forwarding.h"

namespace {

using namespace std::chrono_literals;
namespace forwarding = mimosadeck::forwarding;
namespace routing = mimosadeck::routing;
using forwarding::attempt_end;
using forwarding::next_step;
using routing::request_kind;

routing::route MakeRoute(request_kind kind, bool resumable, int attempts) {
  routing::route out;
  out.kind = kind;
  out.resumable = resumable;
  out.max_attempts = attempts;
  return out;
}

struct one_request {
  forwarding::progress state;
  forwarding::options settings;

  next_step End(const routing::route& route,
                attempt_end ended,
                bool can_retry = true) {
    return forwarding::OnAttemptEnd(state, settings, route, ended, can_retry);
  }
};

BOOST_AUTO_TEST_SUITE(stalls)

BOOST_AUTO_TEST_CASE(resumable_stream_stalls_when_its_callers_give_up) {
  auto route = MakeRoute(request_kind::stream, true, 2);
  route.goal = 300ms;
  BOOST_TEST((forwarding::StallTimeout({}, route) == 2000ms));
  route.pause_goal = 400ms;
  BOOST_TEST((forwarding::StallTimeout({}, route) == 3200ms));
  route.goal = 1500ms;
  BOOST_TEST((forwarding::StallTimeout({}, route) == 6000ms));
}

BOOST_AUTO_TEST_CASE(request_that_cannot_resume_has_no_stall_timeout) {
  BOOST_TEST(
      !forwarding::StallTimeout({}, MakeRoute(request_kind::stream, false, 1)));
  BOOST_TEST(!forwarding::StallTimeout(
      {}, MakeRoute(request_kind::idempotent, true, 2)));
}

// Guards against ending a silent stream that no attempt is left to continue.
BOOST_AUTO_TEST_CASE(last_attempt_has_no_stall_timeout) {
  forwarding::progress state;
  const auto route = MakeRoute(request_kind::stream, true, 2);
  BOOST_TEST(forwarding::StallTimeout(state, route).has_value());
  state.possible_runs = 1;
  BOOST_TEST(!forwarding::StallTimeout(state, route));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(at_most_once, one_request)

BOOST_AUTO_TEST_CASE(non_idempotent_request_that_broke_off_is_never_repeated) {
  const auto route = MakeRoute(request_kind::non_idempotent, false, 3);
  BOOST_TEST((End(route, attempt_end::broke_off) == next_step::fail_unknown));
}

BOOST_AUTO_TEST_CASE(stream_that_cannot_resume_is_never_repeated) {
  const auto route = MakeRoute(request_kind::stream, false, 3);
  BOOST_TEST((End(route, attempt_end::broke_off) == next_step::fail_unknown));
}

BOOST_AUTO_TEST_CASE(refused_request_goes_to_another_upstream) {
  const auto route = MakeRoute(request_kind::non_idempotent, false, 1);
  BOOST_TEST((End(route, attempt_end::refused) == next_step::send_again));
  BOOST_TEST((End(route, attempt_end::refused) == next_step::send_again));
  BOOST_TEST((End(route, attempt_end::refused) == next_step::refuse_not_run));
}

BOOST_AUTO_TEST_CASE(
    unreachable_upstreams_are_tried_to_the_limit_then_refused) {
  const auto route = MakeRoute(request_kind::non_idempotent, false, 1);
  for (int i = 1; i < settings.max_connect_failures; ++i) {
    BOOST_TEST(
        (End(route, attempt_end::not_connected) == next_step::send_again));
  }
  BOOST_TEST(
      (End(route, attempt_end::not_connected) == next_step::refuse_not_run));
}

/** For random attempt ends, a request that must not run twice is never sent
 * again after it may have run, and "not run" is answered only if it has not. */
BOOST_AUTO_TEST_CASE(random_attempts_never_run_twice_nor_deny_a_run) {
  std::mt19937 random(1);
  const auto route = MakeRoute(request_kind::non_idempotent, false, 2);
  for (int round = 0; round < 20000; ++round) {
    state = {};
    bool may_have_run = false;
    for (auto next = next_step::send_again; next == next_step::send_again;) {
      BOOST_REQUIRE(!may_have_run);
      const auto ended = static_cast<attempt_end>(random() % 4);
      may_have_run = may_have_run || ended == attempt_end::broke_off ||
                     ended == attempt_end::failed;
      next = End(route, ended, random() % 4 != 0);
      BOOST_REQUIRE((next != next_step::refuse_not_run || !may_have_run));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(repeating, one_request)

BOOST_AUTO_TEST_CASE(idempotent_request_runs_as_often_as_its_route_allows) {
  const auto route = MakeRoute(request_kind::idempotent, false, 2);
  BOOST_TEST((End(route, attempt_end::failed) == next_step::send_again));
  BOOST_TEST((End(route, attempt_end::failed) == next_step::forward_failure));
}

BOOST_AUTO_TEST_CASE(retry_without_budget_is_not_sent) {
  const auto route = MakeRoute(request_kind::idempotent, false, 3);
  BOOST_TEST(
      (End(route, attempt_end::broke_off, false) == next_step::fail_unknown));
}

BOOST_AUTO_TEST_CASE(resumable_stream_is_resumed_after_its_start) {
  const auto route = MakeRoute(request_kind::stream, true, 2);
  state.answer_started = true;
  BOOST_TEST((End(route, attempt_end::broke_off) == next_step::send_again));
  BOOST_TEST((End(route, attempt_end::broke_off) == next_step::cut_off));
}

BOOST_AUTO_TEST_CASE(started_answer_is_cut_off_rather_than_answered_twice) {
  const auto route = MakeRoute(request_kind::stream, false, 1);
  state.answer_started = true;
  BOOST_TEST((End(route, attempt_end::failed) == next_step::cut_off));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
