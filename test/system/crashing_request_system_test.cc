#define BOOST_TEST_MODULE crashing_request_system
#include <boost/test/included/unit_test.hpp>

#include <exception>
#include <string>
#include <utility>

#include "system/crashing_upstreams.h"

namespace {

using namespace std::chrono_literals;
using namespace mimosadeck::system_test;
namespace net = mimosadeck::net;

/** Crashes after which a request is condemned. */
constexpr std::size_t kCrashesToCondemn = 3;
constexpr std::size_t kMaxSends = 6;
/** Time within which the entry distinguishes a healthy upstream from a replaced
 * one. */
constexpr auto kInvestigationTime = 4000ms;
/** Duration of a request that is running while equal requests are condemned. */
constexpr auto kLongWorkTime = 2000ms;

/** @brief Fixture with upstreams that crash on requests to `/poison`. */
struct poisoned_upstreams : crashing_upstreams {
  /** @brief Sets how upstreams end when they run a request to `/poison`. */
  void SetCrash(answer crash) {
    ChooseAnswer([crash](const net::http_request& request) {
      return request.target.ends_with("/poison") ? crash : answer::good;
    });
  }

  /** @brief Sends a crashing request until the entry no longer forwards it. */
  void SendPoison() {
    for (std::size_t sent = 1; sent <= kMaxSends; ++sent) {
      const auto runs = TotalRunCount();
      Call("/unsafe/poison");
      if (TotalRunCount() == runs) {
        return;
      }
      Eventually([&] {
        return Shows("mimosadeck_crashes_suspected_total", TotalRunCount());
      });
      RestartUpstreams();
    }
  }
};

BOOST_FIXTURE_TEST_SUITE(crashing_requests, poisoned_upstreams)

// Guards against counting several crashes of an upstream as one: during a store
// outage, a restarted upstream is still listed under its old incarnation.
BOOST_AUTO_TEST_CASE(request_that_crashes_restarted_upstreams_is_refused) {
  SetCrash(answer::crash);
  store.Drop("servers", "u2");
  store.Drop("servers", "u3");
  BOOST_REQUIRE(
      Eventually([this] { return Shows("mimosadeck_upstreams", 1); }));
  store.fault = mimosadeck::platform_test::store_fault::silent;
  SendPoison();
  BOOST_TEST(TotalRunCount() == kCrashesToCondemn);
}

// Guards against ignoring crashes in which the upstream does not close its
// connections.
BOOST_AUTO_TEST_CASE(request_that_silences_upstreams_is_refused) {
  SetCrash(answer::vanish);
  SendPoison();
  BOOST_TEST(TotalRunCount() == kCrashesToCondemn);
}

// Guards against counting lost responses of healthy upstreams as crashes: three
// of them condemned a request that many callers send.
BOOST_AUTO_TEST_CASE(request_whose_answers_were_lost_is_not_refused) {
  SetAnswers(answer::broken);
  third.next = answer::broken;
  while (TotalRunCount() < 4 * kCrashesToCondemn ||
         (first.runs.empty() || second.runs.empty() || third.runs.empty())) {
    Call("/safe/x");
    io.restart();
    io.run_for(100ms);
  }
  SetAnswers(answer::good);
  third.next = answer::good;
  io.restart();
  io.run_for(kInvestigationTime);
  BOOST_TEST(Call("/safe/x").status == 200);
}

// Guards against losing condemned requests when all entries are killed at once.
BOOST_AUTO_TEST_CASE(condemned_request_is_refused_after_all_entries_ended) {
  SetCrash(answer::crash);
  SendPoison();
  BOOST_REQUIRE(TotalRunCount() == kCrashesToCondemn);
  BOOST_TEST(Eventually([this] { return store.HasRow("condemned/"); }));
  entry.reset();
  Start();
  BOOST_REQUIRE(
      Eventually([this] { return Get(ready, "/v1/ready").status == 200; }));
  BOOST_TEST(
      Eventually([this] { return Shows("mimosadeck_condemned_requests", 1); }));
  BOOST_TEST(Call("/unsafe/poison").status == 503);
  BOOST_TEST(TotalRunCount() == kCrashesToCondemn);
}

// Guards against checking only new requests: a request that is condemned while
// it runs must not be sent to another upstream when its attempt fails.
BOOST_AUTO_TEST_CASE(request_condemned_while_it_runs_is_not_sent_again) {
  bool is_held = false;
  for (auto* upstream : {&first, &second, &third}) {
    upstream->work_time = kLongWorkTime;
    upstream->choose = [&is_held](const net::http_request&) {
      return std::exchange(is_held, true) ? answer::crash : answer::broken;
    };
  }
  net::http_response response;
  bool complete = false;
  bool is_done = false;
  auto held = Exchange(callers, Request("/resume/poison"), response, complete);
  asio::co_spawn(io, std::move(held),
                 [&is_done](std::exception_ptr) { is_done = true; });
  BOOST_REQUIRE(Eventually([this] { return TotalRunCount() == 1; }));
  while (!Shows("mimosadeck_condemned_requests", 1)) {
    Call("/resume/poison");
  }
  const auto runs = TotalRunCount();
  for (auto* upstream : {&first, &second, &third}) {
    upstream->Restart();
  }
  BOOST_REQUIRE(!is_done);
  BOOST_TEST(Eventually([&is_done] { return is_done; }));
  BOOST_TEST(TotalRunCount() == runs);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
