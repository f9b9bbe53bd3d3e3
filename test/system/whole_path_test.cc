#define BOOST_TEST_MODULE whole_path
#include <boost/test/included/unit_test.hpp>

#include "system/deployment.h"

namespace {

using mimosadeck::system_test::Call;
using mimosadeck::system_test::deployment;
using mimosadeck::system_test::Eventually;
namespace json = boost::json;

struct running_deployment {
  deployment fleet;
  std::string key = fleet.IssueKey("saint-louis");
  std::string entry = fleet.Entries().front();
};

BOOST_FIXTURE_TEST_SUITE(whole_path, running_deployment)

BOOST_AUTO_TEST_CASE(three_kinds_of_request_are_answered_and_billed) {
  const auto lookup = fleet.Chat(entry, key, 8);
  BOOST_REQUIRE_EQUAL(lookup.status, 200);
  BOOST_TEST(lookup.Json().at("usage").at("completion_tokens") == 8);

  const auto streamed =
      Call(fleet.CallerAddress(entry), "POST", "/v1/chat/completions",
           R"({"model":"notes-small","stream":true,"max_tokens":5,
          "messages":[{"role":"user","content":"notes"}]})",
           {{"authorization", "Bearer " + key}, {"x-request-class", "draft"}});
  BOOST_REQUIRE_EQUAL(streamed.status, 200);
  BOOST_TEST(streamed.body.ends_with("data: [DONE]\n\n"));

  const auto booked = fleet.Book(entry, key, "seat-1", "row 7 seat 3");
  BOOST_REQUIRE_EQUAL(booked.status, 200);
  const auto repeated =
      fleet.Book(fleet.Entries().back(), key, "seat-1", "row 7 seat 3");
  BOOST_TEST(repeated.status == 200);
  BOOST_TEST(repeated.body == booked.body);
  BOOST_TEST(fleet.CountRuns("row 7 seat 3") == 1);

  std::int64_t requests = 0;
  std::int64_t tokens = 0;
  const bool billed = Eventually(std::chrono::seconds(40), [&] {
    requests = 0;
    tokens = 0;
    const auto seen = fleet.InspectPlatform();
    std::map<std::string, std::string> windows;
    for (const auto& report : seen.at("reports").as_array()) {
      windows[json::value_to<std::string>(report.at("window"))] =
          json::value_to<std::string>(report.at("body"));
    }
    for (const auto& [unused, body] : windows) {
      const auto parsed = json::parse(body);
      const auto& accounts = parsed.at("accounts").as_object();
      const auto* used = accounts.if_contains("saint-louis");
      if (used) {
        requests += used->at("requests").to_number<std::int64_t>();
        tokens += used->at("completion_tokens").to_number<std::int64_t>();
      }
    }
    return requests >= 3;
  });
  BOOST_TEST(billed);
  BOOST_TEST(requests == 3);
  BOOST_TEST(tokens == 13);
}

struct bad_request {
  std::string method;
  std::string target;
  std::string body;
  mimosadeck::net::http_fields fields;
  int status;
  int code;
};

BOOST_AUTO_TEST_CASE(bad_requests_get_numbered_errors_and_cost_nothing) {
  const std::string chat = "/v1/chat/completions";
  const std::string good =
      R"({"model":"notes-small","messages":[{"role":"user","content":"x"}]})";
  const mimosadeck::net::http_fields keyed{{"authorization", "Bearer " + key}};
  auto naming_account = keyed;
  naming_account["x-client-account"] = "dakar-cathedral";
  auto wrong_class = keyed;
  wrong_class["x-request-class"] = "dispatch";
  const std::vector<bad_request> table{
      {"POST", chat, good, {}, 401, 1101},
      {"POST", chat, good, {{"authorization", "Bearer nobody"}}, 401, 1102},
      {"POST", chat, "{", keyed, 400, 1002},
      {"POST", chat, "{}", keyed, 400, 1005},
      {"POST", chat, good, naming_account, 400, 1006},
      {"POST", chat, good, wrong_class, 403, 1104},
      {"POST", chat, R"({"model":"other","messages":[{}]})", keyed, 404, 1201},
      {"POST", chat,
       R"({"model":"notes-small","messages":[{"content":")" + key + "\"}]}",
       keyed, 400, 1007},
      {"POST", "/services/seats/book?token=" + key, "x", keyed, 400, 1007},
      {"POST", "/services/seats/book", "x", keyed, 400, 1008},
      {"POST", "/services/none/book", "x", keyed, 404, 1202},
      {"GET", "/nowhere", "", keyed, 404, 1004},
      {"POST", chat, std::string(2U << 20U, 'x'), keyed, 413, 1003},
  };
  for (const auto& row : table) {
    BOOST_TEST_CONTEXT(row.target << " expects " << row.code) {
      const auto answer = Call(fleet.CallerAddress(entry), row.method,
                               row.target, row.body, row.fields);
      BOOST_TEST(answer.status == row.status);
      BOOST_TEST(answer.Code() == row.code);
      BOOST_TEST(answer.Executed() == "no");
    }
  }
  BOOST_TEST(fleet.Chat(entry, key, 2).status == 200);
  for (const std::string data_centre : {"dakar-a", "dakar-b", "dakar-c"}) {
    const auto seen = fleet.InspectUpstream("engine-" + data_centre + "-0");
    for (const auto& request : seen.at("seen").as_array()) {
      BOOST_TEST(json::value_to<std::string>(request).find(key) ==
                 std::string::npos);
    }
    const auto service = fleet.InspectUpstream("seats-" + data_centre);
    BOOST_TEST(json::value_to<std::string>(service.at("seen")).find(key) ==
               std::string::npos);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
