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

entry_options ShortWindows() {
  entry_options out;
  out.billing_window = 2s;
  return out;
}

/** @brief Fixture with a store that returns from a copy of its rows, which was
 * taken before the entry started. */
struct returned_store : one_entry {
  std::filesystem::path successor_settings;
  std::unique_ptr<process> successor;

  returned_store() : one_entry(ShortWindows()) {}

  ~returned_store() {
    successor.reset();
    std::filesystem::remove(successor_settings);
  }

  /** @brief Starts a second entry and waits until it is ready. */
  void StartSuccessor() {
    successor_settings = WriteSettings("entry-2", "127.0.0.2");
    successor = StartDaemon(successor_settings);
    const auto line =
        json::parse(successor->LineWith("\"listening\"")).as_object();
    const auto address = json::value_to<std::string>(line.at("ready"));
    BOOST_REQUIRE(
        Eventually([&] { return Get(address, "/v1/ready").status == 200; }));
  }

  void KillEntry() {
    entry->Signal(SIGKILL);
    static_cast<void>(entry->Wait());
  }

  /** @brief Waits for a usage report of an entry. */
  bool HasReportOf(const std::string& name) {
    const auto end = std::chrono::steady_clock::now() + kReportTime;
    const auto is_there = [&] {
      return std::any_of(
          store.reports.begin(), store.reports.end(),
          [&](const auto& report) { return report.holder == name; });
    };
    while (!is_there() && std::chrono::steady_clock::now() < end) {
      io.restart();
      io.run_for(20ms);
    }
    return is_there();
  }
};

BOOST_FIXTURE_TEST_SUITE(duties, returned_store)

// Guards against two entries with one fencing number: the store has lost the
// lease row of the first one.
BOOST_AUTO_TEST_CASE(entry_after_the_return_has_a_fencing_number_of_its_own) {
  BOOST_REQUIRE(HasReportOf("entry-1"));
  KillEntry();
  store.ReturnFromCopy();
  StartSuccessor();
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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
