#define BOOST_TEST_MODULE metering
#include <boost/test/included/unit_test.hpp>

#include "metering/metering.h"

namespace {

using namespace std::chrono_literals;
using mimosadeck::IsOk;
using mimosadeck::wall_time;
namespace metering = mimosadeck::metering;

BOOST_AUTO_TEST_SUITE(windows)

BOOST_AUTO_TEST_CASE(times_at_a_border_belong_to_the_later_window) {
  BOOST_TEST(metering::WindowAt(wall_time(9999ms), 5s) == 1);
  BOOST_TEST(metering::WindowAt(wall_time(10000ms), 5s) == 2);
  BOOST_TEST((metering::WindowEnd(1, 5s) == wall_time(10s)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(counting)

BOOST_AUTO_TEST_CASE(counts_of_all_sources_are_summed) {
  metering::tally state;
  metering::Count(state, "a/1", 7, "parish");
  metering::Count(state, "a/1", 7, "parish");
  metering::Merge(state, "b/1", 7, {{"parish", 3}, {"choir", 1}});
  BOOST_TEST((metering::Sum(state, 7) ==
              metering::counts{{"choir", 1}, {"parish", 5}}));
}

BOOST_AUTO_TEST_CASE(late_or_repeated_message_changes_nothing) {
  metering::tally state;
  metering::Merge(state, "b/1", 7, {{"parish", 3}});
  metering::Merge(state, "b/1", 7, {{"parish", 2}});
  metering::Merge(state, "b/1", 7, {{"parish", 3}});
  BOOST_TEST(metering::Sum(state, 7)["parish"] == 3);
}

BOOST_AUTO_TEST_CASE(restarted_source_keeps_its_earlier_counts) {
  metering::tally state;
  metering::Merge(state, "b/1", 7, {{"parish", 3}});
  metering::Merge(state, "b/2", 7, {{"parish", 1}});
  BOOST_TEST(metering::Sum(state, 7)["parish"] == 4);
}

BOOST_AUTO_TEST_CASE(dropping_windows_keeps_later_ones) {
  metering::tally state;
  metering::Count(state, "a/1", 6, "parish");
  metering::Count(state, "a/1", 7, "parish");
  metering::DropBefore(state, 7);
  BOOST_TEST(metering::Sum(state, 6).empty());
  BOOST_TEST(metering::Sum(state, 7)["parish"] == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(report_log)

// Guards against a second report with other counts: after a loss an absent row
// does not tell whether the window was reported.
BOOST_AUTO_TEST_CASE(window_due_before_a_loss_may_not_be_frozen) {
  metering::report_log state;
  BOOST_TEST(metering::MayFreeze(state, wall_time(10s)));
  metering::OnCountsLost(state, wall_time(20s));
  BOOST_TEST(!metering::MayFreeze(state, wall_time(19s)));
  BOOST_TEST(metering::MayFreeze(state, wall_time(20s)));
}

// Guards against a second loss that makes up for the first one.
BOOST_AUTO_TEST_CASE(earlier_time_of_a_second_loss_allows_no_more_windows) {
  metering::report_log state;
  metering::OnCountsLost(state, wall_time(20s));
  metering::OnCountsLost(state, wall_time(10s));
  BOOST_TEST(!metering::MayFreeze(state, wall_time(19s)));
}

// Guards against counts that are lost for good although an entry knows them.
BOOST_AUTO_TEST_CASE(frozen_counts_are_to_be_restored_after_each_loss) {
  metering::report_log state;
  metering::OnFrozen(state, 7, "{}");
  BOOST_TEST(state.to_restore.empty());
  for (int i = 0; i < 2; ++i) {
    metering::OnCountsLost(state, wall_time(20s));
    BOOST_TEST((state.to_restore == std::set<metering::window_number>{7}));
    state.to_restore.clear();
  }
}

BOOST_AUTO_TEST_CASE(old_windows_are_removed_from_the_log) {
  metering::report_log state;
  for (const metering::window_number window : {6U, 7U}) {
    metering::OnFrozen(state, window, "{}");
    state.closed.insert(window);
  }
  metering::OnCountsLost(state, wall_time(20s));
  metering::DropBefore(state, 7);
  BOOST_TEST(state.frozen.size() == 1);
  BOOST_TEST((state.to_restore == std::set<metering::window_number>{7}));
  BOOST_TEST((state.closed == std::set<metering::window_number>{7}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(encoding)

BOOST_AUTO_TEST_CASE(counts_are_equal_after_encoding_and_decoding) {
  const metering::counts written{{"a", 1}, {"b \"quoted\"", 20}};
  const auto read = metering::DecodeCounts(metering::EncodeCounts(written));
  BOOST_REQUIRE(IsOk(read));
  BOOST_TEST((std::get<metering::counts>(read) == written));
}

BOOST_AUTO_TEST_CASE(malformed_counts_are_refused) {
  for (const auto* text : {"", "[]", "{\"a\":\"x\"}", "{\"a\":-1}", "{"}) {
    BOOST_TEST(!IsOk(metering::DecodeCounts(text)));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
