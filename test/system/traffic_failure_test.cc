#define BOOST_TEST_MODULE traffic_failure
#include <boost/test/included/unit_test.hpp>

#include <csignal>
#include <future>
#include <thread>

#include "base/base.h"
#include "system/deployment.h"

namespace {

using namespace std::chrono_literals;
using mimosadeck::system_test::answer;
using mimosadeck::system_test::Call;
using mimosadeck::system_test::deployment;
using mimosadeck::system_test::deployment_shape;
using mimosadeck::system_test::Eventually;
namespace json = boost::json;

/** @brief Recomputes the text that an engine produces for a prompt. */
std::string ExpectedText(const std::string& prompt, int tokens) {
  const auto seed = json::serialize(
      json::array{json::object{{"role", "user"}, {"content", prompt}}});
  std::string out;
  for (int i = 0; i < tokens; ++i) {
    out += mimosadeck::Sha256Hex(seed + std::to_string(i)).substr(0, 6) + " ";
  }
  return out;
}

std::string TextOf(const answer& whole) {
  return json::value_to<std::string>(
      whole.Json().at("choices").at(0).at("message").at("content"));
}

struct running_deployment {
  deployment fleet;
  std::string key = fleet.IssueKey("saint-louis");
  std::string entry = fleet.Entries().front();
  std::vector<std::string> data_centres{"dakar-a", "dakar-b", "dakar-c"};

  void ControlEngines(const std::string& message) {
    for (const auto& data_centre : data_centres) {
      fleet.ControlUpstream("engine-" + data_centre + "-0", message);
    }
  }

  void ControlServices(const std::string& message) {
    for (const auto& data_centre : data_centres) {
      fleet.ControlUpstream("seats-" + data_centre, message);
    }
  }

  std::future<answer> ChatAsync(const std::string& at,
                                int tokens,
                                const std::string& prompt,
                                const std::string& class_name = {}) {
    return std::async(std::launch::async, [=, this] {
      return fleet.Chat(at, key, tokens, prompt, class_name);
    });
  }
};

BOOST_FIXTURE_TEST_SUITE(traffic_failure, running_deployment)

BOOST_AUTO_TEST_CASE(engine_cuts_stream_answer_is_still_whole_and_right) {
  fleet.ControlUpstream("engine-dakar-a-0", R"({"cut_after":3})");
  const auto whole = fleet.Chat(entry, key, 20, "cut me");
  BOOST_REQUIRE_EQUAL(whole.status, 200);
  BOOST_TEST(TextOf(whole) == ExpectedText("cut me", 20));
}

BOOST_AUTO_TEST_CASE(engine_goes_silent_answer_is_still_whole_and_right) {
  auto pending = ChatAsync(entry, 60, "slow one");
  std::this_thread::sleep_for(200ms);
  fleet.ControlUpstream("engine-dakar-a-0", R"({"mode":"stall"})");
  const auto whole = pending.get();
  BOOST_TEST_REQUIRE(whole.status == 200, whole.body);
  BOOST_TEST(TextOf(whole) == ExpectedText("slow one", 60));
}

BOOST_AUTO_TEST_CASE(many_streams_at_once_each_caller_gets_its_own_answer) {
  fleet.ControlUpstream("engine-dakar-b-0", R"({"cut_after":5})");
  std::vector<std::future<answer>> pending;
  for (int i = 0; i < 12; ++i) {
    pending.push_back(ChatAsync(
        fleet.Entries()[static_cast<std::size_t>(i) % fleet.Entries().size()],
        12, "caller " + std::to_string(i)));
  }
  for (int i = 0; i < 12; ++i) {
    const auto got = pending[static_cast<std::size_t>(i)].get();
    if (got.status == 200) {
      BOOST_TEST(TextOf(got) ==
                 ExpectedText("caller " + std::to_string(i), 12));
    } else {
      BOOST_TEST(got.Code() != 0);
    }
  }
}

BOOST_AUTO_TEST_CASE(engines_refuse_before_start_caller_is_told_not_run) {
  ControlEngines(R"({"mode":"refuse"})");
  const auto refused = fleet.Chat(entry, key, 5);
  BOOST_TEST(refused.status >= 500);
  BOOST_TEST(refused.Executed() == "no");
  for (const auto& data_centre : data_centres) {
    BOOST_TEST(fleet.InspectUpstream("engine-" + data_centre + "-0")
                   .at("tokens_made")
                   .to_number<int>() == 0);
  }
}

BOOST_AUTO_TEST_CASE(request_crashing_engines_is_refused_others_go_on) {
  ControlEngines(R"({"crash_on":"poison"})");
  answer last;
  const bool condemned = Eventually(30s, [&] {
    last = fleet.Chat(entry, key, 5, "poison");
    return last.Code() == 1307;
  });
  BOOST_TEST(condemned);
  BOOST_TEST(last.status == 422);
  std::int64_t crashes = 0;
  for (const auto& data_centre : data_centres) {
    crashes += fleet.InspectUpstream("engine-" + data_centre + "-0")
                   .at("crashes")
                   .to_number<std::int64_t>();
  }
  BOOST_TEST(crashes <= 4);
  const bool others = Eventually(
      10s, [&] { return fleet.Chat(entry, key, 5, "harmless").status == 200; });
  BOOST_TEST(others);
  const bool shared = Eventually(5s, [&] {
    return fleet.Chat(fleet.Entries().back(), key, 5, "poison").Code() == 1307;
  });
  BOOST_TEST(shared);
}

BOOST_AUTO_TEST_CASE(booking_answer_lost_outcome_is_unknown_never_run_again) {
  ControlServices(R"({"mode":"cut_after_run"})");
  const auto first = fleet.Book(entry, key, "b1", "seat one");
  BOOST_TEST(first.Code() == 1403);
  BOOST_TEST(first.Executed() == "unknown");
  ControlServices(R"({"mode":"normal"})");
  std::this_thread::sleep_for(500ms);
  for (const auto& at : fleet.Entries()) {
    const auto again = fleet.Book(at, key, "b1", "seat one");
    BOOST_TEST(again.Code() == 1403);
  }
  BOOST_TEST(fleet.CountRuns("seat one") == 1);
}

BOOST_AUTO_TEST_CASE(booking_service_silent_outcome_is_unknown) {
  ControlServices(R"({"mode":"silent"})");
  const auto first = fleet.Book(entry, key, "b2", "seat two");
  BOOST_TEST(first.Executed() == "unknown");
  BOOST_TEST(fleet.CountRuns("seat two") == 1);
}

BOOST_AUTO_TEST_CASE(booking_sent_to_all_entries_at_once_runs_once) {
  for (int round = 0; round < 5; ++round) {
    const std::string name = "seat r" + std::to_string(round);
    std::vector<std::future<answer>> pending;
    for (const auto& at : fleet.Entries()) {
      pending.push_back(std::async(std::launch::async, [=, this] {
        return fleet.Book(at, key, name, name);
      }));
    }
    int answered = 0;
    for (auto& one : pending) {
      const auto got = one.get();
      answered += got.status == 200 ? 1 : 0;
      BOOST_TEST((got.status == 200 || got.Executed() == "unknown"));
    }
    BOOST_TEST(answered >= 1);
    BOOST_TEST(fleet.CountRuns(name) == 1);
  }
}

BOOST_AUTO_TEST_CASE(key_withdrawn_running_stream_stops_within_seconds) {
  fleet.ControlUpstream("engine-dakar-a-0", R"({"token_ms":50})");
  fleet.ControlUpstream("engine-dakar-b-0", R"({"token_ms":50})");
  fleet.ControlUpstream("engine-dakar-c-0", R"({"token_ms":50})");
  auto pending = ChatAsync(entry, 400, "long", "draft");
  std::this_thread::sleep_for(500ms);
  const auto began = std::chrono::steady_clock::now();
  BOOST_TEST(fleet.WithdrawKey(key, fleet.Entries().back()) == 200);
  const auto got = pending.get();
  const auto took = std::chrono::steady_clock::now() - began;
  BOOST_TEST(got.Code() == 1103);
  BOOST_TEST((took < 6s));
  const bool refused_everywhere = Eventually(6s, [&] {
    return std::all_of(fleet.Entries().begin(), fleet.Entries().end(),
                       [&](const std::string& at) {
                         return fleet.Chat(at, key, 1).Code() == 1103;
                       });
  });
  BOOST_TEST(refused_everywhere);
}

BOOST_AUTO_TEST_CASE(
    entry_killed_others_serve_and_cut_stream_is_not_reported_complete) {
  auto pending = ChatAsync(entry, 300, "to be cut", "draft");
  std::this_thread::sleep_for(300ms);
  fleet.EntryProcess(entry).Signal(SIGKILL);
  const auto cut = pending.get();
  BOOST_TEST(cut.failed);
  for (const auto& at : fleet.Entries()) {
    if (at != entry) {
      const bool answers =
          Eventually(10s, [&] { return fleet.Chat(at, key, 5).status == 200; });
      BOOST_TEST(answers);
    }
  }
  const std::string other = fleet.Entries().back();
  for (int i = 0; i < 12; ++i) {
    const std::string name = "after kill " + std::to_string(i);
    const bool booked = Eventually(
        30s, [&] { return fleet.Book(other, key, name, name).status == 200; });
    BOOST_TEST(booked, name);
    BOOST_TEST(fleet.CountRuns(name) == 1);
  }
}

BOOST_AUTO_TEST_CASE(planned_stop_of_entry_cuts_no_request) {
  std::vector<std::future<answer>> pending;
  for (int i = 0; i < 3; ++i) {
    pending.push_back(ChatAsync(entry, 300, "p" + std::to_string(i), "draft"));
  }
  ControlServices(R"({"work_ms":1500})");
  auto booking = std::async(std::launch::async, [this] {
    return fleet.Book(entry, key, "stop", "stop seat");
  });
  std::this_thread::sleep_for(300ms);
  fleet.EntryProcess(entry).Signal(SIGTERM);
  for (int i = 0; i < 3; ++i) {
    const auto whole = pending[static_cast<std::size_t>(i)].get();
    BOOST_REQUIRE_EQUAL(whole.status, 200);
    BOOST_TEST(TextOf(whole) == ExpectedText("p" + std::to_string(i), 300));
  }
  BOOST_TEST(booking.get().status == 200);
  BOOST_TEST(fleet.EntryProcess(entry).Wait() == 0);
  BOOST_TEST(fleet.CountRuns("stop seat") == 1);
  const auto again =
      fleet.Book(fleet.Entries().back(), key, "stop", "stop seat");
  BOOST_TEST(again.status == 200, again.body);
  BOOST_TEST(fleet.CountRuns("stop seat") == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
