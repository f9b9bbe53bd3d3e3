#define BOOST_TEST_MODULE logbook
#include <boost/test/included/unit_test.hpp>

#include "logbook/logbook.h"

namespace {

using mimosadeck::logbook::AddToSummary;
using mimosadeck::logbook::CollectRequestHistory;
using mimosadeck::logbook::log_line;
using mimosadeck::logbook::ParseLine;
using mimosadeck::logbook::summary;

log_line Line(const std::string& second,
              const std::string& process,
              const std::string& rest) {
  auto parsed = ParseLine(R"({"time":"2026-12-04T10:00:)" + second +
                          R"(Z","level":"info","process":")" + process +
                          R"(",)" + rest + "}");
  BOOST_REQUIRE(parsed);
  return *std::move(parsed);
}

/** Lines of three entries around request r1, which failed at u1. */
struct entry_logs {
  std::vector<log_line> lines{
      Line("05", "entry-2", R"("event":"upstream_gone","upstream":"u1")"),
      Line("04",
           "entry-1",
           R"("event":"request_ended","request":"r1","outcome":"served",)"
           R"("route":"chat","attempts":"u1:broke_off u2")"),
      Line("03",
           "entry-1",
           R"("event":"attempt_failed","request":"r1","upstream":"u1/5",)"
           R"("end":"broke_off","reason":"reset")"),
      Line("01", "entry-1", R"("event":"manifest_adopted","version":"7")"),
      Line("02", "entry-2", R"("event":"manifest_adopted","version":"8")"),
      Line("03",
           "entry-2",
           R"("event":"upstream_changed","upstream":"u1","state":"draining")"),
      Line("04",
           "entry-3",
           R"("event":"upstream_changed","upstream":"u1","state":"draining")"),
      Line("03",
           "entry-1",
           R"("event":"upstream_changed","upstream":"u9","state":"ready")"),
      Line("04",
           "entry-1",
           R"("event":"request_ended","request":"r2","outcome":"served",)"
           R"("route":"chat","lines_dropped":"12")"),
  };
};

BOOST_FIXTURE_TEST_SUITE(explaining, entry_logs)

BOOST_AUTO_TEST_CASE(lines_of_the_request_come_in_order) {
  const auto found = CollectRequestHistory(lines, "r1");
  BOOST_REQUIRE(found.request_lines.size() == 2);
  BOOST_TEST(found.request_lines[0].event == "attempt_failed");
  BOOST_TEST(found.request_lines[1].event == "request_ended");
}

BOOST_AUTO_TEST_CASE(context_has_state_changes_of_the_entry_and_its_upstreams) {
  const auto found = CollectRequestHistory(lines, "r1");
  BOOST_REQUIRE(found.context.size() == 2);
  BOOST_TEST(found.context[0].Field("version") == "7");
  BOOST_TEST(found.context[1].Field("state") == "draining");
  BOOST_TEST(found.context[1].process == "entry-2");
}

BOOST_AUTO_TEST_CASE(unknown_request_gives_nothing) {
  const auto found = CollectRequestHistory(lines, "r9");
  BOOST_TEST(found.request_lines.empty());
  BOOST_TEST(found.context.empty());
}

BOOST_AUTO_TEST_CASE(prefix_before_the_object_is_skipped) {
  const auto found = ParseLine(R"(12.3 entry-1 | {"event":"stopped"})");
  BOOST_REQUIRE(found);
  BOOST_TEST(found->event == "stopped");
}

BOOST_AUTO_TEST_CASE(text_that_is_no_log_line_is_refused) {
  for (const auto* text : {"", "started", "{\"event\"", "{\"a\":1}", "[1]"}) {
    BOOST_TEST(!ParseLine(text));
  }
}

BOOST_AUTO_TEST_CASE(summary_counts_outcomes_reasons_and_dropped_lines) {
  summary counts;
  for (const auto& line : lines) {
    AddToSummary(counts, line);
  }
  BOOST_TEST(counts.lines == 9);
  BOOST_TEST(counts.lines_dropped == 12);
  BOOST_TEST((counts.outcomes[{"chat", "served"}]) == 2);
  BOOST_TEST((counts.failed_attempts[{"broke_off", "reset"}]) == 1);
  BOOST_TEST(counts.events["manifest_adopted"] == 2);
  BOOST_TEST(counts.first_time == "2026-12-04T10:00:01Z");
  BOOST_TEST(counts.last_time == "2026-12-04T10:00:05Z");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
