#define BOOST_TEST_MODULE control_failure
#include <boost/test/included/unit_test.hpp>

#include <csignal>
#include <thread>

#include "system/deployment.h"

namespace {

using namespace std::chrono_literals;
using mimosadeck::system_test::Call;
using mimosadeck::system_test::deployment;
using mimosadeck::system_test::deployment_shape;
using mimosadeck::system_test::Eventually;
namespace json = boost::json;

struct billed_usage {
  std::int64_t requests{};
  std::int64_t tokens{};
  bool consistent{true};
};

/**
 * @brief Sums the billing windows reported to the platform.
 *
 * `consistent` is false if a window was reported again with another body.
 */
billed_usage ReadBilledUsage(const deployment& fleet,
                             const std::string& account) {
  billed_usage out;
  std::map<std::string, std::string> windows;
  const auto seen = fleet.InspectPlatform();
  for (const auto& report : seen.at("reports").as_array()) {
    const auto body = json::value_to<std::string>(report.at("body"));
    const auto known =
        windows
            .try_emplace(json::value_to<std::string>(report.at("window")), body)
            .first;
    out.consistent = out.consistent && known->second == body;
  }
  for (const auto& [unused, body] : windows) {
    const auto parsed = json::parse(body);
    const auto* used = parsed.at("accounts").as_object().if_contains(account);
    if (used) {
      out.requests += used->at("requests").to_number<std::int64_t>();
      out.tokens += used->at("completion_tokens").to_number<std::int64_t>();
    }
  }
  return out;
}

struct running_deployment {
  deployment fleet;
  std::string key = fleet.IssueKey("saint-louis");

  std::string FindLeaseHolder(const std::string& lease,
                              const std::string& excluded = {}) {
    for (const auto& id : fleet.Entries()) {
      if (id == excluded) {
        continue;
      }
      const auto status = fleet.CallOperator(id, "GET", "/admin/v1/status");
      if (status.status != 200) {
        continue;
      }
      const auto body = status.Json();
      for (const auto& held : body.at("leases").as_array()) {
        if (json::value_to<std::string>(held) == lease) {
          return id;
        }
      }
    }
    return {};
  }
};

BOOST_FIXTURE_TEST_SUITE(control_failure, running_deployment)

BOOST_AUTO_TEST_CASE(
    billing_holder_frozen_another_entry_bills_totals_stay_correct) {
  std::string holder;
  BOOST_REQUIRE(Eventually(10s, [&] {
    holder = FindLeaseHolder("billing");
    return !holder.empty();
  }));
  std::string other =
      fleet.Entries()[0] == holder ? fleet.Entries()[1] : fleet.Entries()[0];
  int sent = 0;
  for (int i = 0; i < 3; ++i) {
    sent += fleet.Chat(other, key, 4).status == 200 ? 1 : 0;
  }
  fleet.EntryProcess(holder).Signal(SIGSTOP);
  const bool taken_over = Eventually(
      30s, [&] { return !FindLeaseHolder("billing", holder).empty(); });
  BOOST_TEST(taken_over);
  const bool served = Eventually(20s, [&] {
    const bool good = fleet.Chat(other, key, 4).status == 200;
    sent += good ? 1 : 0;
    return good;
  });
  BOOST_TEST(served);
  fleet.EntryProcess(holder).Signal(SIGCONT);
  billed_usage seen;
  BOOST_TEST(Eventually(60s, [&] {
    seen = ReadBilledUsage(fleet, "saint-louis");
    return seen.requests >= sent;
  }));
  std::this_thread::sleep_for(6s);
  seen = ReadBilledUsage(fleet, "saint-louis");
  BOOST_TEST(seen.requests == sent);
  BOOST_TEST(seen.tokens == 4 * sent);
  BOOST_TEST(seen.consistent);
}

BOOST_AUTO_TEST_CASE(platform_down_traffic_goes_on_and_is_billed_after) {
  const std::string entry = fleet.Entries().front();
  fleet.SetPlatformFaults(R"({"down":true})");
  std::this_thread::sleep_for(6s);
  int chats = 0;
  int bookings = 0;
  for (int i = 0; i < 6; ++i) {
    chats += fleet.Chat(entry, key, 4).status == 200 ? 1 : 0;
    const std::string name = "outage " + std::to_string(i);
    const auto booked = fleet.Book(entry, key, name, name);
    BOOST_TEST(booked.status == 200, booked.body);
    bookings += booked.status == 200 ? 1 : 0;
    const auto repeated = fleet.Book(fleet.Entries().back(), key, name, name);
    BOOST_TEST(repeated.status == booked.status);
    BOOST_TEST(fleet.CountRuns(name) == (booked.status == 200 ? 1 : 0));
  }
  BOOST_TEST(chats == 6);
  BOOST_TEST(bookings == 6);
  const auto change = fleet.SubmitChange(
      entry,
      {json::object{{"path", "models/other"}, {"value", json::object{}}}});
  BOOST_TEST(change.status != 200);
  fleet.SetPlatformFaults(R"({"down":false})");
  billed_usage seen;
  BOOST_TEST(Eventually(60s, [&] {
    seen = ReadBilledUsage(fleet, "saint-louis");
    return seen.requests >= chats + bookings;
  }));
  BOOST_TEST(seen.requests == chats + bookings);
  BOOST_TEST(seen.tokens == 4 * chats);
  BOOST_TEST(seen.consistent);
}

BOOST_AUTO_TEST_CASE(entry_killed_in_outage_its_usage_is_billed_after) {
  const std::string victim = fleet.Entries().front();
  fleet.SetPlatformFaults(R"({"down":true})");
  std::this_thread::sleep_for(2s);
  int chats = 0;
  for (int i = 0; i < 5; ++i) {
    chats += fleet.Chat(victim, key, 4).status == 200 ? 1 : 0;
  }
  BOOST_TEST(chats == 5);
  fleet.EntryProcess(victim).Signal(SIGKILL);
  std::this_thread::sleep_for(1s);
  fleet.SetPlatformFaults(R"({"down":false})");
  billed_usage seen;
  BOOST_TEST(Eventually(60s, [&] {
    seen = ReadBilledUsage(fleet, "saint-louis");
    return seen.requests >= chats;
  }));
  BOOST_TEST(seen.requests == chats);
  BOOST_TEST(seen.tokens == 4 * chats);
}

BOOST_AUTO_TEST_CASE(booking_made_in_outage_owner_killed_repeat_never_runs) {
  fleet.SetPlatformFaults(R"({"down":true})");
  std::this_thread::sleep_for(1s);
  const std::string victim = fleet.Entries().front();
  const std::string other = fleet.Entries().back();
  std::vector<std::string> names;
  for (int i = 0; i < 8; ++i) {
    names.push_back("kept " + std::to_string(i));
    BOOST_TEST(fleet.Book(victim, key, names.back(), names.back()).status ==
               200);
  }
  fleet.EntryProcess(victim).Signal(SIGKILL);
  fleet.SetPlatformFaults(R"({"down":false})");
  std::this_thread::sleep_for(12s);
  for (const auto& name : names) {
    const auto repeated = fleet.Book(other, key, name, name);
    BOOST_TEST((repeated.status == 200 || repeated.Code() == 1403), name);
    BOOST_TEST(fleet.CountRuns(name) == 1);
  }
}

BOOST_AUTO_TEST_CASE(entry_replaced_serves_newest_configuration_only) {
  const std::string entry = fleet.Entries().front();
  fleet.EntryProcess(entry).Signal(SIGKILL);
  BOOST_TEST(fleet.WithdrawKey(key, fleet.Entries().back()) == 200);
  fleet.StartEntry(entry, "dakar-a");
  for (int i = 0; i < 40; ++i) {
    const auto got = fleet.Chat(entry, key, 1);
    BOOST_TEST(got.status != 200);
    std::this_thread::sleep_for(50ms);
  }
  BOOST_TEST(fleet.Chat(entry, key, 1).Code() == 1103);
}

BOOST_AUTO_TEST_CASE(two_operators_race_one_wins_other_learns_version) {
  const json::array change{json::object{
      {"path", "tree/firm:classes.lookup.max_wait_ms"}, {"value", 1700}}};
  const auto version =
      fleet.CallOperator(fleet.Entries()[0], "GET", "/admin/v1/config")
          .Json()
          .at("version")
          .to_number<std::int64_t>();
  const auto first = fleet.SubmitChange(fleet.Entries()[0], change, version);
  const auto second = fleet.SubmitChange(fleet.Entries()[1], change, version);
  BOOST_TEST(first.status == 200);
  BOOST_TEST(second.status == 409);
  BOOST_TEST(second.Code() == 1602);
  BOOST_TEST(second.body.find(std::to_string(version + 1)) !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(change_is_in_force_at_every_entry_within_six_seconds) {
  const auto changed = fleet.SubmitChange(
      fleet.Entries()[0],
      {json::object{{"path", "models/extra"}, {"value", json::object{}}}});
  BOOST_REQUIRE_EQUAL(changed.status, 200);
  const bool everywhere = Eventually(6s, [&] {
    return std::all_of(fleet.Entries().begin(), fleet.Entries().end(),
                       [&](const std::string& id) {
                         return Call(fleet.CallerAddress(id), "GET",
                                     "/v1/models", "",
                                     {{"authorization", "Bearer " + key}})
                                    .body.find("extra") != std::string::npos;
                       });
  });
  BOOST_TEST(everywhere);
}

BOOST_AUTO_TEST_CASE(upstream_leaving_gets_no_new_work_after_seconds) {
  const std::string entry = fleet.Entries().front();
  BOOST_TEST(fleet.Chat(entry, key, 2, "before").status == 200);
  const auto count_requests = [&](const std::string& id) {
    return fleet.InspectUpstream(id).at("seen").as_array().size();
  };
  BOOST_TEST(count_requests("engine-dakar-a-0") >= 1U);
  fleet.SetVmState("engine-dakar-a-0", "leaving");
  std::this_thread::sleep_for(3s);
  const auto before = count_requests("engine-dakar-a-0");
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(fleet.Chat(entry, key, 2, "after").status == 200);
  }
  BOOST_TEST(count_requests("engine-dakar-a-0") == before);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
