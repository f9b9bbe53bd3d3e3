#define BOOST_TEST_MODULE routing
#include <boost/test/included/unit_test.hpp>

#include "routing/routing.h"

namespace {

namespace routing = mimosadeck::routing;

routing::route MakeRoute(const std::string& prefix, int priority) {
  routing::route out;
  out.name = prefix;
  out.host = "desk.example";
  out.prefix = prefix;
  out.priority = priority;
  out.services = {{"pool", 1}};
  return out;
}

routing::client_account MakeAccount(const std::string& name,
                                    std::optional<int> priority) {
  return {name, {"key-of-" + name}, priority};
}

struct two_routes {
  routing::manifest content;

  two_routes() {
    content.version = 7;
    content.routes = {MakeRoute("/a/", 0), MakeRoute("/a/b/", 2)};
    content.accounts = {{MakeAccount("early", 0), MakeAccount("late", 1)}};
  }
};

BOOST_FIXTURE_TEST_SUITE(matching, two_routes)

BOOST_AUTO_TEST_CASE(path_under_two_prefixes_longest_one_wins) {
  const routing::table table(content);
  BOOST_TEST(table.Match("desk.example", "/a/b/c")->prefix == "/a/b/");
  BOOST_TEST(table.Match("desk.example", "/a/bc/d")->prefix == "/a/");
  BOOST_TEST(table.Match("desk.example", "/a/?x=/a/b/")->prefix == "/a/");
}

BOOST_AUTO_TEST_CASE(host_with_port_and_capitals_matches) {
  const routing::table table(content);
  BOOST_TEST(table.Match("Desk.Example:8227", "/a/") != nullptr);
}

BOOST_AUTO_TEST_CASE(unknown_host_or_path_matches_nothing) {
  const routing::table table(content);
  BOOST_TEST(table.Match("other.example", "/a/") == nullptr);
  BOOST_TEST(table.Match("desk.example", "/c/") == nullptr);
  BOOST_TEST(table.Match("desk.example", "/a") == nullptr);
  BOOST_TEST(table.Match("desk.example", "") == nullptr);
}

BOOST_AUTO_TEST_CASE(key_of_no_account_finds_nothing) {
  const routing::table table(content);
  BOOST_TEST(table.AccountOf("key-of-late")->name == "late");
  BOOST_TEST(table.AccountOf("key-of-nobody") == nullptr);
  BOOST_TEST(table.AccountOf("") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(urgency, two_routes)

BOOST_AUTO_TEST_CASE(routes_of_one_account_rank_by_their_own_priority) {
  const routing::table table(content);
  const auto* account = table.AccountOf("key-of-late");
  const auto* urgent = table.Match("desk.example", "/a/x");
  const auto* patient = table.Match("desk.example", "/a/b/x");
  BOOST_TEST(table.UrgencyOf(*urgent, account) <
             table.UrgencyOf(*patient, account));
}

BOOST_AUTO_TEST_CASE(more_urgent_account_goes_before_any_route_of_another) {
  const routing::table table(content);
  const auto* urgent = table.Match("desk.example", "/a/x");
  const auto* patient = table.Match("desk.example", "/a/b/x");
  BOOST_TEST(table.UrgencyOf(*patient, table.AccountOf("key-of-early")) <
             table.UrgencyOf(*urgent, table.AccountOf("key-of-late")));
}

BOOST_AUTO_TEST_CASE(open_request_ranks_beside_the_least_urgent_account) {
  const routing::table table(content);
  const auto* urgent = table.Match("desk.example", "/a/x");
  BOOST_TEST(table.UrgencyOf(*urgent, nullptr) ==
             table.UrgencyOf(*urgent, table.AccountOf("key-of-late")));
}

BOOST_AUTO_TEST_CASE(many_priorities_stay_within_the_engines_range) {
  content.routes.clear();
  for (int i = 0; i < 8; ++i) {
    content.routes.push_back(MakeRoute("/" + std::to_string(i) + "/", i));
  }
  const routing::table table(content);
  int last = -1;
  for (const auto* key : {"key-of-early", "key-of-late"}) {
    for (int i = 0; i < 8; ++i) {
      const auto* found =
          table.Match("desk.example", "/" + std::to_string(i) + "/");
      const int rank = table.UrgencyOf(*found, table.AccountOf(key));
      BOOST_TEST(rank >= last);
      BOOST_TEST(rank <= routing::kLeastUrgent);
      last = rank;
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(splitting)

BOOST_AUTO_TEST_CASE(requests_are_split_in_proportion_to_weights) {
  routing::route split = MakeRoute("/a/", 0);
  split.services = {{"old", 90}, {"new", 10}};
  int to_new = 0;
  constexpr int kRequests = 10000;
  for (int i = 0; i < kRequests; ++i) {
    to_new += routing::PickService(split, "id-" + std::to_string(i)) == "new";
  }
  BOOST_TEST(to_new > kRequests * 0.09);
  BOOST_TEST(to_new < kRequests * 0.11);
}

BOOST_AUTO_TEST_CASE(service_with_weight_zero_gets_no_requests) {
  routing::route split = MakeRoute("/a/", 0);
  split.services = {{"old", 0}, {"new", 10}};
  for (int i = 0; i < 1000; ++i) {
    BOOST_TEST(routing::PickService(split, std::to_string(i)) == "new");
  }
}

BOOST_AUTO_TEST_CASE(route_without_services_picks_none) {
  routing::route empty = MakeRoute("/a/", 0);
  empty.services.clear();
  BOOST_TEST(routing::PickService(empty, "id").empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
