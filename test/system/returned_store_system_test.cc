#define BOOST_TEST_MODULE returned_store_system
#include <boost/test/included/unit_test.hpp>

#include <map>
#include <set>
#include <string>

#include "system/one_entry.h"

namespace {

using namespace std::chrono_literals;
using namespace mimosadeck::system_test;

/** Time for a takeover of the lease, and for the end of a window. */
constexpr auto kReportTime = 20s;

/** Time in which counts reach the other entry. */
constexpr auto kDigestTime = 1s;

using mimosadeck::platform_test::usage_report;
using wall_clock = std::chrono::system_clock;

entry_options Windows(std::chrono::seconds length) {
  entry_options out;
  out.billing_window = length;
  return out;
}

/** @brief Fixture with a store that returns from a copy of its rows, which was
 * taken before the entry started. */
struct returned_store : one_entry {
  std::filesystem::path other_settings;
  std::unique_ptr<process> other;
  std::string other_callers;

  explicit returned_store(std::chrono::seconds window)
      : one_entry(Windows(window)) {}

  ~returned_store() {
    other.reset();
    std::filesystem::remove(other_settings);
  }

  /** @brief Starts a second entry and waits until it is ready. */
  void StartOther() {
    other_settings = WriteSettings("entry-2", "127.0.0.2");
    other = StartDaemon(other_settings);
    const auto line = json::parse(other->LineWith("\"listening\"")).as_object();
    other_callers = json::value_to<std::string>(line.at("callers"));
    const auto address = json::value_to<std::string>(line.at("ready"));
    BOOST_REQUIRE(
        Eventually([&] { return Get(address, "/v1/ready").status == 200; }));
  }

  static void Kill(process& killed) {
    killed.Signal(SIGKILL);
    static_cast<void>(killed.Wait());
  }

  void RunFor(std::chrono::milliseconds time) {
    io.restart();
    io.run_for(time);
  }

  /** @brief Waits until a report meets a condition. @return False after
   * kReportTime. */
  bool HasReport(const std::function<bool(const usage_report&)>& meets) {
    const auto end = std::chrono::steady_clock::now() + kReportTime;
    while (std::chrono::steady_clock::now() < end) {
      if (std::any_of(store.reports.begin(), store.reports.end(), meets)) {
        return true;
      }
      RunFor(20ms);
    }
    return false;
  }

  bool HasReportOf(const std::string& name) {
    return HasReport([&](const auto& report) { return report.holder == name; });
  }

  bool HasReportOf(std::int64_t window) {
    return HasReport(
        [&](const auto& report) { return WindowOf(report) == window; });
  }

  static json::object BodyOf(const usage_report& report) {
    return json::parse(report.body).as_object();
  }

  static std::int64_t WindowOf(const usage_report& report) {
    return BodyOf(report).at("window_id").to_number<std::int64_t>();
  }
};

/** @brief Fixture with windows that are reported soon. */
struct short_windows : returned_store {
  short_windows() : returned_store(2s) {}
};

/** @brief Fixture with windows in which an entry can be restarted. */
struct long_windows : returned_store {
  static constexpr auto kWindow = 5s;

  long_windows() : returned_store(kWindow) {}

  /** @brief Waits for the start of a window. @return Its number. */
  std::int64_t WaitForWindow() {
    const auto next = wall_clock::now().time_since_epoch() / kWindow + 1;
    while (wall_clock::now().time_since_epoch() < next * kWindow) {
      RunFor(20ms);
    }
    return next;
  }
};

BOOST_FIXTURE_TEST_SUITE(duties, short_windows)

// Guards against two entries with one fencing number: the store has lost the
// lease row of the first one.
BOOST_AUTO_TEST_CASE(entry_after_the_return_has_a_fencing_number_of_its_own) {
  BOOST_REQUIRE(HasReportOf("entry-1"));
  Kill(*entry);
  store.ReturnFromCopy();
  StartOther();
  BOOST_REQUIRE(HasReportOf("entry-2"));
  std::map<std::uint64_t, std::set<std::string>> holders;
  for (const auto& report : store.reports) {
    holders[report.fencing].insert(report.holder);
    BOOST_TEST(report.accepted);
  }
  for (const auto& [fencing, names] : holders) {
    BOOST_TEST_CONTEXT("number " << fencing) {
      BOOST_TEST(names.size() == 1);
    }
  }
}

// Guards against a second report of a window once nobody remembers the first
// one: the store has lost its counts, and all entries have restarted.
BOOST_AUTO_TEST_CASE(window_is_not_reported_again_once_all_entries_restarted) {
  BOOST_REQUIRE(HasReportOf("entry-1"));
  Kill(*entry);
  store.ReturnFromCopy();
  StartOther();
  BOOST_REQUIRE(HasReportOf("entry-2"));
  std::map<std::int64_t, std::set<std::string>> holders;
  for (const auto& report : store.reports) {
    holders[WindowOf(report)].insert(report.holder);
  }
  for (const auto& [window, names] : holders) {
    BOOST_TEST_CONTEXT("window " << window) {
      BOOST_TEST(names.size() == 1);
    }
  }
}

// Guards against reported counts that the store has lost: whoever reports next
// has to find them.
BOOST_AUTO_TEST_CASE(reported_counts_are_in_the_store_again_after_the_return) {
  BOOST_REQUIRE(HasReportOf("entry-1"));
  const auto key = "usage/" + std::to_string(WindowOf(store.reports.back()));
  BOOST_TEST(store.HasRow(key));
  store.ReturnFromCopy();
  BOOST_TEST(!store.HasRow(key));
  BOOST_TEST(Eventually([&] { return store.HasRow(key); }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(restarts, long_windows)

// Guards against two reports of a window with different counts: the store and
// the entry that reported are gone, and its successor was restarted within the
// window, so that it lacks what its former process had counted.
BOOST_AUTO_TEST_CASE(window_reported_before_the_return_gets_no_other_counts) {
  StartOther();
  BOOST_REQUIRE(HasReportOf("entry-1"));
  const auto window = WaitForWindow();
  BOOST_REQUIRE(Send(other_callers, Request("/safe/x")).status == 200);
  RunFor(kDigestTime);
  Kill(*other);
  StartOther();
  BOOST_REQUIRE(HasReportOf(window));
  BOOST_TEST(!BodyOf(store.reports.back()).at("counts").as_object().empty());
  store.ReturnFromCopy();
  Kill(*entry);
  BOOST_REQUIRE(HasReportOf("entry-2"));
  RunFor(kWindow);
  std::map<std::int64_t, std::set<std::string>> counts;
  for (const auto& report : store.reports) {
    counts[WindowOf(report)].insert(
        json::serialize(BodyOf(report).at("counts")));
  }
  for (const auto& [number, reported] : counts) {
    BOOST_TEST_CONTEXT("window " << number) {
      BOOST_TEST(reported.size() == 1);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
