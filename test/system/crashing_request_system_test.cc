#define BOOST_TEST_MODULE crashing_request_system
#include <boost/test/included/unit_test.hpp>

#include <exception>
#include <string>
#include <utility>

#include "system/one_entry.h"

namespace {

using namespace std::chrono_literals;
using namespace mimosadeck::system_test;
namespace net = mimosadeck::net;

/** Crashes that condemn a request. */
constexpr std::size_t kCrashesToCondemn = 3;
constexpr std::size_t kSends = 6;
/** Upstreams take longer to start again. */
constexpr auto kRestartTime = 1200ms;

/** A sound upstream is told from one that was replaced within this time. */
constexpr auto kVerdictTime = 4000ms;
/** Work of a request that runs while equal ones are condemned. */
constexpr auto kHeldTime = 2000ms;

/** Upstreams that end when they run a certain request. */
struct crashing_upstreams : one_entry {
  upstream_stand_in third{io, "u3"};

  crashing_upstreams() {
    store.Put("servers", "u3", third.Entry("ready"));
    BOOST_REQUIRE(
        Eventually([this] { return Shows("mimosadeck_upstreams", 3); }));
  }

  void EndOn(answer end) {
    for (auto* each : {&first, &second, &third}) {
      each->choose = [end](const net::http_request& request) {
        return request.target.ends_with("/poison") ? end : answer::good;
      };
    }
  }

  void RestartUpstreams() {
    Eventually(
        [this] { return !first.Runs() || !second.Runs() || !third.Runs(); });
    io.restart();
    io.run_for(kRestartTime);
    for (auto* each : {&first, &second, &third}) {
      each->Restart();
    }
  }

  std::size_t AllRuns() const { return Runs() + third.runs.size(); }

  /** Tells whether the entry's metrics show a value, whatever its labels. */
  bool Shows(const std::string& name, std::size_t value) {
    const auto text = Ask(control, "/metrics").body;
    const auto at = text.find('\n' + name + '{');
    const auto end = text.find('\n', at + 1);
    return at != std::string::npos &&
           text.substr(at, end - at).ends_with("} " + std::to_string(value));
  }

  void Poison() {
    for (std::size_t sent = 1; sent <= kSends; ++sent) {
      const auto runs = AllRuns();
      Call("/unsafe/poison");
      if (AllRuns() == runs) {
        return;
      }
      Eventually([&] {
        return Shows("mimosadeck_crashes_suspected_total", AllRuns());
      });
      RestartUpstreams();
    }
  }
};

BOOST_FIXTURE_TEST_SUITE(crashing_requests, crashing_upstreams)

// While the store was away, upstreams that restarted under their id counted as
// crashed once however often the request ended them.
BOOST_AUTO_TEST_CASE(request_that_crashes_restarted_upstreams_is_refused) {
  EndOn(answer::crash);
  store.Drop("servers", "u2");
  store.Drop("servers", "u3");
  BOOST_REQUIRE(
      Eventually([this] { return Shows("mimosadeck_upstreams", 1); }));
  store.fault = mimosadeck::platform_test::store_fault::silent;
  Poison();
  BOOST_TEST(AllRuns() == kCrashesToCondemn);
}

// An upstream that ended without closing its connections did not count.
BOOST_AUTO_TEST_CASE(request_that_silences_upstreams_is_refused) {
  EndOn(answer::vanish);
  Poison();
  BOOST_TEST(AllRuns() == kCrashesToCondemn);
}

// Three lost answers of sound upstreams condemned a request that many send.
BOOST_AUTO_TEST_CASE(request_whose_answers_were_lost_is_not_refused) {
  SetAnswers(answer::broken);
  third.next = answer::broken;
  while (AllRuns() < 4 * kCrashesToCondemn ||
         (first.runs.empty() || second.runs.empty() || third.runs.empty())) {
    Call("/safe/x");
    io.restart();
    io.run_for(100ms);
  }
  SetAnswers(answer::good);
  third.next = answer::good;
  io.restart();
  io.run_for(kVerdictTime);
  BOOST_TEST(Call("/safe/x").status == 200);
}

// A condemned request was forgotten when all entries were killed at once.
BOOST_AUTO_TEST_CASE(condemned_request_is_refused_after_all_entries_ended) {
  EndOn(answer::crash);
  Poison();
  BOOST_REQUIRE(AllRuns() == kCrashesToCondemn);
  BOOST_TEST(Eventually([this] { return store.HasRow("condemned/"); }));
  entry.reset();
  Start();
  BOOST_REQUIRE(
      Eventually([this] { return Ask(ready, "/v1/ready").status == 200; }));
  BOOST_TEST(
      Eventually([this] { return Shows("mimosadeck_condemned_requests", 1); }));
  BOOST_TEST(Call("/unsafe/poison").status == 503);
  BOOST_TEST(AllRuns() == kCrashesToCondemn);
}

// The verdict was asked for on arrival only, so that a request which was
// running when it was condemned went on to another upstream.
BOOST_AUTO_TEST_CASE(request_condemned_while_it_runs_is_not_sent_again) {
  bool is_held = false;
  for (auto* each : {&first, &second, &third}) {
    each->work_time = kHeldTime;
    each->choose = [&is_held](const net::http_request&) {
      return std::exchange(is_held, true) ? answer::crash : answer::broken;
    };
  }
  net::http_response response;
  bool whole = false;
  bool is_done = false;
  auto held = Exchange(callers, Request("/resume/poison"), response, whole);
  asio::co_spawn(io, std::move(held),
                 [&is_done](std::exception_ptr) { is_done = true; });
  BOOST_REQUIRE(Eventually([this] { return AllRuns() == 1; }));
  while (!Shows("mimosadeck_condemned_requests", 1)) {
    Call("/resume/poison");
  }
  const auto runs = AllRuns();
  for (auto* each : {&first, &second, &third}) {
    each->Restart();
  }
  BOOST_REQUIRE(!is_done);
  BOOST_TEST(Eventually([&is_done] { return is_done; }));
  BOOST_TEST(AllRuns() == runs);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
