#define BOOST_TEST_MODULE crashing_part_system
#include <boost/test/included/unit_test.hpp>

#include <string>

#include "system/crashing_upstreams.h"

namespace {

using namespace mimosadeck::system_test;
namespace net = mimosadeck::net;

/** Requests with a crashing part that the rules allow: those of five crashes,
 * and three more. */
constexpr std::size_t kMaxRuns = 8;
constexpr std::size_t kRequests = 12;
/** First part of all prompts. */
const std::string kSharedPart = "5c1e07a2:800";
/** Part that crashes each upstream. */
const std::string kCrashingPart = "badbad00:410";
const std::string kSoundPart = "91bd3f06:410";

/** @brief Fixture whose upstreams crash on one part of a prompt. */
struct crashing_part : crashing_upstreams {
  crashing_part() {
    ChooseAnswer([](const net::http_request& request) {
      const auto parts = net::FieldOf(request.fields, "x-prompt-prefix");
      return parts.find(kCrashingPart) == std::string_view::npos
                 ? answer::good
                 : answer::crash;
    });
  }

  /** @brief Sends a request with given parts and a last one of its own, unlike
   * any other. @return Its status. */
  int Ask(const std::string& parts) {
    auto request = Request("/unsafe/x");
    const auto own = std::to_string(last_id);
    request.fields["x-prompt-prefix"] = parts + ",e4402b" + own + ":250";
    request.fields["x-token-usage"] = "1460,80";
    request.body = "question " + own;
    return Send(callers, std::move(request)).status;
  }

  /** @brief Sends different requests with the crashing part, and restarts the
   * upstreams after each crash. */
  void AskWithCrashingPart(std::size_t count) {
    for (std::size_t sent = 0; sent < count; ++sent) {
      const auto runs = TotalRunCount();
      Ask(kSharedPart + ',' + kCrashingPart);
      if (TotalRunCount() > runs) {
        RestartUpstreams();
      }
    }
  }
};

BOOST_FIXTURE_TEST_SUITE(crashing_parts, crashing_part)

// Guards against upstreams that crash one after another on one part of a
// prompt, since each request that holds it is new.
BOOST_AUTO_TEST_CASE(different_requests_with_a_crashing_part_are_refused) {
  AskWithCrashingPart(kRequests);
  BOOST_TEST(TotalRunCount() <= kMaxRuns);
  BOOST_TEST(Ask(kSharedPart + ',' + kCrashingPart) == 503);
}

// Guards against refusing sound requests that share the caller, the route and
// the other parts.
BOOST_AUTO_TEST_CASE(sound_requests_with_the_shared_part_are_served) {
  AskWithCrashingPart(kRequests);
  for (std::size_t i = 0; i < kRequests; ++i) {
    BOOST_TEST(Ask(kSharedPart + ',' + kSoundPart) == 200);
  }
  BOOST_TEST(Ask(kSharedPart) == 200);
}

// Guards against losing the verdict when all entries end at once.
BOOST_AUTO_TEST_CASE(crashing_part_is_refused_after_all_entries_ended) {
  AskWithCrashingPart(kRequests);
  BOOST_REQUIRE(TotalRunCount() <= kMaxRuns);
  BOOST_REQUIRE(Eventually([this] { return store.HasRow("condemned/"); }));
  const auto runs = TotalRunCount();
  entry.reset();
  Start();
  BOOST_REQUIRE(
      Eventually([this] { return Get(ready, "/v1/ready").status == 200; }));
  BOOST_TEST(Eventually(
      [this] { return Shows("mimosadeck_condemned_prompt_parts", 1); }));
  BOOST_TEST(Ask(kSharedPart + ',' + kCrashingPart) == 503);
  BOOST_TEST(TotalRunCount() == runs);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
