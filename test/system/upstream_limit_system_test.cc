#define BOOST_TEST_MODULE upstream_limit_system
#include <boost/test/included/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <deque>
#include <string>
#include <vector>

#include "system/one_entry.h"

namespace {

using namespace std::chrono_literals;
using namespace mimosadeck::system_test;
using steady = std::chrono::steady_clock;

constexpr auto kWindow = 4s;
/** Delay from the first answer with a limit until it must be kept. */
constexpr auto kNoticeTime = 500ms;
/** Requests in kWindow allowed at a limit of one per second:
 * 1.5 * 4 * 1 + 5. */
constexpr std::ptrdiff_t kMaxArrivals = 11;
constexpr auto kTrafficTime = 9s;
/** Pause between requests, for about 60 requests per second. */
constexpr auto kRequestPause = 16ms;

/** @brief Returns the most arrivals in any time of kWindow after `since`. */
std::ptrdiff_t MostArrivals(const std::vector<steady::time_point>& arrived_at,
                            steady::time_point since) {
  std::ptrdiff_t most = 0;
  auto first = std::lower_bound(arrived_at.begin(), arrived_at.end(), since);
  for (auto last = first; last != arrived_at.end(); ++last) {
    while (*last - *first >= kWindow) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

/** @brief Fixture with four entries before two upstreams. */
struct several_entries : one_entry {
  std::vector<std::filesystem::path> more_settings;
  std::vector<std::unique_ptr<process>> more_entries;
  std::vector<std::string> all_callers{callers};

  several_entries() {
    for (const auto* number : {"2", "3", "4"}) {
      more_settings.push_back(WriteSettings(std::string("entry-") + number,
                                            std::string("127.0.0.") + number));
      more_entries.push_back(StartDaemon(more_settings.back()));
    }
    for (auto& started : more_entries) {
      const auto line =
          json::parse(started->LineWith("\"listening\"")).as_object();
      all_callers.push_back(json::value_to<std::string>(line.at("callers")));
      const auto address = json::value_to<std::string>(line.at("ready"));
      BOOST_REQUIRE(
          Eventually([&] { return Get(address, "/v1/ready").status == 200; }));
    }
    BOOST_REQUIRE(Eventually([this] { return HearsOthers(); }));
  }

  ~several_entries() {
    more_entries.clear();
    for (const auto& path : more_settings) {
      std::filesystem::remove(path);
    }
  }

  bool HearsOthers() {
    const auto text = Get(control, "/metrics").body;
    return text.find("mimosadeck_entries_heard{entry=\"entry-1\"} 3") !=
           std::string::npos;
  }

  /** @brief Sends requests to the entries in turn. */
  void SendTraffic(steady::duration time) {
    const auto end = steady::now() + time;
    for (std::size_t i = 0; steady::now() < end; ++i) {
      BOOST_TEST(Send(all_callers[i % all_callers.size()], Request("/safe/x"))
                     .status == 200);
      io.restart();
      io.run_for(kRequestPause);
    }
  }
};

BOOST_FIXTURE_TEST_SUITE(limits, several_entries)

// Guards against entries that ignore the limit which an upstream states for
// all of them together, or that each keep the whole limit by themselves.
BOOST_AUTO_TEST_CASE(upstream_with_a_limit_gets_it_from_all_entries_together) {
  first.stated_limit = "1";
  SendTraffic(kTrafficTime);
  const auto named_at = first.arrived_at.front();
  BOOST_TEST(MostArrivals(first.arrived_at, named_at + kNoticeTime) <=
             kMaxArrivals);
}

// Guards against callers that are told nothing while other entries hold the
// permits, and against a limit that outlives the upstream's statement.
BOOST_AUTO_TEST_CASE(service_with_limits_only_refuses_until_they_end) {
  first.stated_limit = second.stated_limit = "0.5";
  BOOST_REQUIRE(Eventually(
      [this] { return Send(callers, Request("/unsafe/x")).status == 503; }));
  const auto refused = Send(callers, Request("/unsafe/x"));
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(std::stod(refused.fields.at("retry-after")) >= 2);
  first.stated_limit = second.stated_limit = "";
  // Each entry gets requests, since only the one that holds the next permit can
  // learn from an answer that the limit has ended.
  const auto all_served = [this] {
    return std::count_if(all_callers.begin(), all_callers.end(),
                         [this](const auto& address) {
                           return Send(address, Request("/unsafe/x")).status ==
                                  200;
                         }) == std::ssize(all_callers);
  };
  BOOST_TEST(Eventually([&] { return all_served() && all_served(); }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
