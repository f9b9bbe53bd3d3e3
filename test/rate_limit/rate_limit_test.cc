#define BOOST_TEST_MODULE rate_limit
#include <boost/test/included/unit_test.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

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

// Guards against an ended limit that each later answer renews, so that entries
// report it for as long as the upstream is in use.
BOOST_AUTO_TEST_CASE(ended_limit_is_removed_while_answers_continue) {
  static_cast<void>(rate_limit::OnStated(state, kUpstream, 1, now));
  for (int i = 1; i <= 20; ++i) {
    const auto at = now + i * 1s;
    static_cast<void>(rate_limit::OnNotStated(state, kUpstream, at - 1ms, at));
  }
  rate_limit::Tick(
      state, [](std::string_view) { return true; }, 10s, now + 20s);
  BOOST_TEST(state.by_incarnation.empty());
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

/** Permits of an entry that is alone in its fleet, with virtual clocks. */
struct lone_entry : known_limits {
  rate_limit::options settings;
  rate_limit::participants fleet;
  rate_limit::permit_table permits;
  mimosadeck::wall_time fleet_time{1782618168s};

  lone_entry() {
    fleet.self = "entry-1";
    fleet.started_at = now;
    now += settings.settle_time;
  }

  void SetLimit(double requests_per_second) {
    static_cast<void>(
        rate_limit::OnStated(state, kUpstream, requests_per_second, now));
    Issue();
  }

  void Issue() {
    rate_limit::IssuePermits(permits, settings, state, fleet, fleet_time, now);
  }

  /** Lets time pass and returns the requests that could be sent in it. */
  int Send(std::chrono::milliseconds time) {
    int sent = 0;
    for (const auto end = now + time; now < end; Pass(100ms)) {
      Issue();
      while (rate_limit::HasPermit(permits, kUpstream)) {
        BOOST_REQUIRE(rate_limit::TakePermit(permits, kUpstream));
        ++sent;
      }
    }
    return sent;
  }

  void Pass(std::chrono::milliseconds time) {
    now += time;
    fleet_time += time;
  }
};

BOOST_FIXTURE_TEST_SUITE(permits_of_one_entry, lone_entry)

BOOST_AUTO_TEST_CASE(upstream_without_a_limit_needs_no_permit) {
  Issue();
  BOOST_TEST(rate_limit::TakePermit(permits, kUpstream));
  BOOST_TEST(rate_limit::WithoutPermit(permits).empty());
  BOOST_TEST(
      !rate_limit::PermitInterval(permits, settings, kUpstream).has_value());
}

BOOST_AUTO_TEST_CASE(limits_of_any_size_are_sent_evenly) {
  for (const double limit : {0.2, 1.0, 1.3, 50.0, 1500.0, 1e6}) {
    state = {};
    Issue();
    SetLimit(limit);
    BOOST_TEST(rate_limit::WithoutPermit(permits).contains(kUpstream));
    const auto sent = Send(20s);
    BOOST_TEST(sent >= 20 * limit * 0.95, limit);
    BOOST_TEST(sent <= 20 * limit * 1.05 + 1, limit);
  }
}

// Guards against a limit of zero whose end no entry would ever notice.
BOOST_AUTO_TEST_CASE(upstream_with_a_limit_of_zero_is_tried_rarely) {
  SetLimit(0);
  const auto sent = Send(100s);
  BOOST_TEST(sent >= 4);
  BOOST_TEST(sent <= 6);
}

BOOST_AUTO_TEST_CASE(unused_permit_expires) {
  SetLimit(1);
  Pass(1500ms);
  Issue();
  BOOST_TEST(rate_limit::HasPermit(permits, kUpstream));
  Pass(1min);
  Issue();
  int available = 0;
  while (rate_limit::HasPermit(permits, kUpstream)) {
    BOOST_TEST(rate_limit::TakePermit(permits, kUpstream));
    ++available;
  }
  BOOST_TEST(available == 1);
}

BOOST_AUTO_TEST_CASE(lower_limit_drops_the_permits_of_the_higher_one) {
  SetLimit(50);
  Pass(1s);
  Issue();
  BOOST_TEST(rate_limit::HasPermit(permits, kUpstream));
  SetLimit(1);
  BOOST_TEST(!rate_limit::HasPermit(permits, kUpstream));
}

// Guards against a limit that starves because each answer states another value.
BOOST_AUTO_TEST_CASE(limit_that_changes_with_each_answer_is_used) {
  int sent = 0;
  for (int i = 0; i < 200; ++i) {
    SetLimit(i % 2 == 0 ? 1.0 : 1.1);
    Pass(90ms);
    sent += Send(100ms);
  }
  BOOST_TEST(sent >= 0.8 * 200 * 0.19);
  BOOST_TEST(sent <= 1.1 * 200 * 0.19 * 1.5);
}

BOOST_AUTO_TEST_CASE(clock_set_back_does_not_stop_permits) {
  SetLimit(10);
  static_cast<void>(Send(1s));
  fleet_time -= 1h;
  BOOST_TEST(Send(10s) >= 90);
}

BOOST_AUTO_TEST_CASE(process_that_has_just_started_uses_no_permits) {
  fleet.started_at = now;
  SetLimit(10);
  BOOST_TEST(Send(settings.settle_time) == 0);
  BOOST_TEST(Send(10s) > 90);
}

BOOST_AUTO_TEST_CASE(entry_that_is_about_to_stop_uses_no_permits) {
  fleet.leaving = true;
  SetLimit(10);
  BOOST_TEST(Send(10s) == 0);
}

BOOST_AUTO_TEST_CASE(limit_that_ended_needs_no_permit) {
  SetLimit(1);
  BOOST_TEST(!rate_limit::TakePermit(permits, kUpstream));
  static_cast<void>(
      rate_limit::OnNotStated(state, kUpstream, now + 1ms, now + 2ms));
  Issue();
  BOOST_TEST(rate_limit::TakePermit(permits, kUpstream));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(entries_of_a_fleet, lone_entry)

BOOST_AUTO_TEST_CASE(permits_are_divided_among_the_entries_heard) {
  rate_limit::UpdateParticipants(fleet, settings, {{"entry-2", now, false, 1}},
                                 now);
  SetLimit(50);
  const auto sent = Send(10s);
  BOOST_TEST(sent > 200);
  BOOST_TEST(sent < 300);
}

// Guards against processes that have just started, know few of the others and
// each take a large part of the limit.
BOOST_AUTO_TEST_CASE(entry_that_knows_a_part_of_the_fleet_uses_a_part) {
  constexpr std::size_t kEntriesKnown = 9;
  rate_limit::UpdateParticipants(fleet, settings,
                                 {{"entry-2", now, false, kEntriesKnown}}, now);
  SetLimit(50);
  const auto early = Send(10s);
  BOOST_TEST(early > 20);
  BOOST_TEST(early < 90);
  Pass(settings.participant_retention);
  const auto late = Send(10s);
  BOOST_TEST(late > 200);
  BOOST_TEST(late < 300);
}

BOOST_AUTO_TEST_CASE(leaving_entry_takes_no_part_at_once) {
  rate_limit::UpdateParticipants(fleet, settings, {{"entry-2", now, false, 1}},
                                 now);
  BOOST_TEST(fleet.others.size() == 1);
  rate_limit::UpdateParticipants(fleet, settings, {{"entry-2", now, true, 1}},
                                 now);
  BOOST_TEST(fleet.others.empty());
}

BOOST_AUTO_TEST_CASE(silent_entry_is_kept_while_most_others_are_silent) {
  const std::vector<rate_limit::heard_entry> all{{"entry-2", now, false, 3},
                                                 {"entry-3", now, false, 3},
                                                 {"entry-4", now, false, 3}};
  rate_limit::UpdateParticipants(fleet, settings, all, now);
  now += settings.participant_retention + 1s;
  rate_limit::UpdateParticipants(fleet, settings, {{"entry-2", now, false, 3}},
                                 now);
  BOOST_TEST(fleet.others.size() == 3);
  rate_limit::UpdateParticipants(
      fleet, settings, {{"entry-2", now, false, 3}, {"entry-3", now, false, 3}},
      now);
  BOOST_TEST(fleet.others.size() == 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
