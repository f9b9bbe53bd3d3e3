#define BOOST_TEST_MODULE fleet
#include <boost/test/included/unit_test.hpp>

#include <set>

#include "fleet/fleet.h"

namespace {

using namespace std::chrono_literals;
using mimosadeck::mono_time;
using mimosadeck::wall_time;
namespace fleet = mimosadeck::fleet;
namespace wire = mimosadeck::wire;

struct some_members {
  fleet::members state;
  fleet::options settings;
  mono_time now{100s};
  wall_time wall{std::chrono::hours(1000)};
  fleet::self_entry self{"self:1", "a", true};
  std::uint64_t sequence{};

  void Hear(const std::string& name,
            const std::string& data_centre,
            std::chrono::milliseconds clock_ahead = 0ms,
            std::uint64_t incarnation = 1) {
    wire::digest digest;
    digest.set_name(name);
    digest.set_incarnation(incarnation);
    digest.set_sequence(++sequence);
    digest.set_data_centre(data_centre);
    digest.set_caller_address(name + ":1");
    digest.set_ready(true);
    digest.set_wall_ms(std::chrono::duration_cast<std::chrono::milliseconds>(
                           wall.time_since_epoch() + clock_ahead)
                           .count());
    fleet::OnDigest(state, digest, name + ":2", wall, now);
  }

  std::vector<std::string> Addresses(const std::string& data_centre) {
    return fleet::AddressesFor(state, settings, self, data_centre, 64, now);
  }
};

using strings = std::vector<std::string>;

BOOST_FIXTURE_TEST_SUITE(digests, some_members)

BOOST_AUTO_TEST_CASE(digest_that_was_overtaken_is_dropped) {
  Hear("b", "a");
  wire::digest old;
  old.set_name("b");
  old.set_incarnation(1);
  old.set_sequence(0);
  old.set_manifest_version(99);
  BOOST_TEST(!fleet::OnDigest(state, old, "b:2", wall, now));
  BOOST_TEST(state.by_name["b"].last.manifest_version() == 0);
}

BOOST_AUTO_TEST_CASE(restarted_member_counts_from_anew) {
  Hear("b", "a", 0ms, 1);
  sequence = 0;
  Hear("b", "a", 0ms, 2);
  BOOST_TEST(state.by_name["b"].last.incarnation() == 2);
}

BOOST_AUTO_TEST_CASE(member_silent_for_long_is_forgotten) {
  Hear("b", "a");
  now += settings.forgotten_after + 1ms;
  fleet::Tick(state, settings, now);
  BOOST_TEST(state.by_name.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(directory, some_members)

BOOST_AUTO_TEST_CASE(entries_near_the_caller_come_alone) {
  Hear("b", "a");
  Hear("c", "z");
  BOOST_TEST(Addresses("a") == (strings{"self:1", "b:1"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(single_near_entry_is_joined_by_others) {
  Hear("c", "z");
  BOOST_TEST(Addresses("a") == (strings{"self:1", "c:1"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(data_centre_without_entries_is_served_by_all) {
  Hear("b", "b");
  BOOST_TEST(Addresses("z").size() == 2);
}

BOOST_AUTO_TEST_CASE(leaving_and_silent_members_are_left_out) {
  for (const auto* name : {"b", "c", "d", "e"}) {
    Hear(name, "a");
  }
  state.by_name["b"].last.set_leaving(true);
  state.by_name["c"].heard_at = now - fleet::LiveFor(state, settings) - 1ms;
  BOOST_TEST(Addresses("a") == (strings{"self:1", "d:1", "e:1"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(entry_cut_off_from_most_still_lists_them) {
  for (const auto* name : {"b", "c", "d", "e"}) {
    Hear(name, "a");
  }
  now += fleet::LiveFor(state, settings) + 1s;
  BOOST_TEST(Addresses("a").size() == 5);
}

BOOST_AUTO_TEST_CASE(entry_that_is_not_ready_does_not_list_itself) {
  self.ready = false;
  Hear("b", "a");
  Hear("c", "a");
  BOOST_TEST(Addresses("a").size() == 2);
}

BOOST_AUTO_TEST_SUITE_END()

/** Every member hears every other: the load of each must not grow. */
BOOST_FIXTURE_TEST_SUITE(fleets_that_grow, some_members)

BOOST_AUTO_TEST_CASE(digests_sent_and_taken_a_second_are_bounded) {
  for (const int size : {30, 100, 300, 410}) {
    state = {};
    for (int i = 1; i < size; ++i) {
      Hear("m" + std::to_string(i),
           std::string(1, static_cast<char>('a' + i % 3)));
    }
    const std::chrono::duration<double> interval =
        fleet::DigestInterval(state, settings);
    const auto relays = fleet::Relays(state, settings, now);
    BOOST_TEST(relays.size() == 6);
    BOOST_TEST((size - 1) / interval.count() < 430);
  }
}

BOOST_AUTO_TEST_CASE(silent_relay_is_replaced_by_the_next) {
  for (int i = 1; i < 30; ++i) {
    Hear("m" + std::to_string(i), "a");
  }
  const auto before = fleet::Relays(state, settings, now);
  const auto name = before.front()->last.name();
  state.by_name[name].heard_at = now - 1min;
  const auto after = fleet::Relays(state, settings, now);
  BOOST_TEST(after.size() == before.size());
  for (const auto* each : after) {
    BOOST_TEST(each->last.name() != name);
  }
}

BOOST_AUTO_TEST_CASE(relay_adds_up_the_work_of_all) {
  for (int i = 1; i < 30; ++i) {
    Hear("m" + std::to_string(i), "a");
    auto& told = *state.by_name["m" + std::to_string(i)].last.add_loads();
    told.set_upstream(7);
    told.set_running(2);
  }
  wire::digest own;
  own.set_name("self");
  auto& told = *own.add_loads();
  told.set_upstream(7);
  told.set_running(1);
  const auto sum = fleet::AddUp(state, settings, own, now);
  BOOST_REQUIRE(sum.loads_size() == 1);
  BOOST_TEST(sum.loads(0).running() == 59);
  auto for_one = sum;
  fleet::Subtract(for_one, state.by_name["m1"].last);
  BOOST_TEST(for_one.loads(0).running() == 57);
}

BOOST_AUTO_TEST_CASE(only_those_that_ask_near_the_relay_follow_it) {
  for (int i = 1; i < 30; ++i) {
    Hear("m" + std::to_string(i), i % 2 == 0 ? "a" : "b");
  }
  state.by_name["m2"].asked_at = now;
  state.by_name["m3"].asked_at = now;
  state.by_name["m4"].asked_at = now - 1min;
  const auto followers = fleet::Followers(state, settings, "a", now);
  BOOST_REQUIRE(followers.size() == 1);
  BOOST_TEST(followers.front()->last.name() == "m2");
}

BOOST_AUTO_TEST_CASE(relayed_record_counts_from_when_the_relay_heard_it) {
  wire::summary told;
  auto& member = *told.add_members();
  member.mutable_record()->set_name("far");
  member.mutable_record()->set_incarnation(1);
  member.mutable_record()->set_ready(true);
  member.set_age_ms(500);
  member.set_peer_address("far:2");
  fleet::OnSummary(state, told, "self", wall, now);
  BOOST_TEST((state.by_name["far"].heard_at == now - 500ms));
  member.set_age_ms(900);
  fleet::OnSummary(state, told, "self", wall, now);
  BOOST_TEST((state.by_name["far"].heard_at == now - 500ms));
}

BOOST_AUTO_TEST_CASE(record_of_this_entry_itself_is_ignored) {
  wire::summary told;
  told.add_members()->mutable_record()->set_name("self");
  fleet::OnSummary(state, told, "self", wall, now);
  BOOST_TEST(state.by_name.empty());
}

BOOST_AUTO_TEST_CASE(few_members_take_the_billing_counts) {
  for (int i = 1; i < 100; ++i) {
    Hear("m" + std::to_string(i), "a");
  }
  state.by_name["m50"].last.set_fencing(9);
  const auto takers = fleet::CountTakers(state, settings, 2, now);
  BOOST_TEST(takers.size() <= 3);
  BOOST_TEST(std::count(takers.begin(), takers.end(), &state.by_name["m50"]) ==
             1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(clocks, some_members)

BOOST_AUTO_TEST_CASE(clock_that_jumped_is_put_right_by_the_others) {
  for (const auto* name : {"b", "c", "d", "e"}) {
    Hear(name, "a", -2000ms);
  }
  BOOST_TEST((fleet::ClockCorrection(state, settings, now) == -2000ms));
}

BOOST_AUTO_TEST_CASE(minority_of_wrong_clocks_changes_nothing) {
  Hear("b", "a", 2000ms);
  Hear("c", "a", 5000ms);
  Hear("d", "a");
  Hear("e", "a");
  BOOST_TEST((fleet::ClockCorrection(state, settings, now) == 0ms));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(contention, some_members)

/** A holder cut off from the others would report its own counts as the whole
 * fleet's, and order upstreams for its own load. */
BOOST_AUTO_TEST_CASE(entry_cut_off_from_most_does_not_act_for_the_fleet) {
  for (const auto* name : {"b", "c", "d", "e"}) {
    Hear(name, "a");
  }
  BOOST_TEST(fleet::HearsMost(state, settings, now));
  now += 2s;
  BOOST_TEST(!fleet::HearsMost(state, settings, now));
  Hear("b", "a");
  Hear("c", "a");
  BOOST_TEST(fleet::HearsMost(state, settings, now));
  now += settings.remembered_for + 1s;
  BOOST_TEST(fleet::HearsMost(state, settings, now));
}

BOOST_AUTO_TEST_CASE(lease_held_by_a_silent_member_is_open) {
  Hear("b", "a");
  state.by_name["b"].last.set_fencing(3);
  BOOST_TEST(fleet::IsLeaseHeldElsewhere(state, settings, now));
  now += fleet::LiveFor(state, settings) + 1ms;
  BOOST_TEST(!fleet::IsLeaseHeldElsewhere(state, settings, now));
}

BOOST_AUTO_TEST_CASE(members_rank_differently_and_from_zero) {
  Hear("b", "a");
  Hear("c", "a");
  const auto self_rank = fleet::ContentionRank(state, settings, "self", now);
  BOOST_TEST(self_rank <= 2);
}

BOOST_AUTO_TEST_SUITE_END()

/** Thirty entries in three data centres, each with two relays. */
struct thirty_entries : some_members {
  thirty_entries() {
    for (int i = 0; i < 29; ++i) {
      Hear(NameOf(i), DataCentreOf(i));
    }
    for (const auto* each : fleet::Relays(state, settings, now)) {
      state.by_name[each->last.name()].last.set_store_followed(true);
    }
  }

  static std::string NameOf(int number) {
    return "entry-" + std::to_string(number);
  }

  static std::string DataCentreOf(int number) {
    return std::string(1, static_cast<char>('a' + number % 3));
  }

  /** The same fleet as one of its members sees it. */
  bool FollowsStore(int number) {
    auto others = state;
    others.by_name.erase(NameOf(number));
    const auto name = NameOf(number);
    const auto data_centre = DataCentreOf(number);
    return fleet::FollowsStore(others, settings, {name, data_centre, 0}, now);
  }

  int FollowerCount() {
    int sum = 0;
    for (int i = 0; i < 29; ++i) {
      sum += FollowsStore(i) ? 1 : 0;
    }
    return sum;
  }
};

BOOST_FIXTURE_TEST_SUITE(following_the_store, thirty_entries)

BOOST_AUTO_TEST_CASE(small_fleet_follows_as_a_whole) {
  while (state.by_name.size() >= settings.dense_fleet) {
    state.by_name.erase(state.by_name.begin());
  }
  BOOST_TEST(fleet::FollowsStore(state, settings, {"self", "a", 0}, now));
}

BOOST_AUTO_TEST_CASE(large_fleet_follows_by_its_relays_only) {
  BOOST_TEST(FollowerCount() == 6);
}

BOOST_AUTO_TEST_CASE(entries_follow_themselves_when_no_relay_does) {
  for (auto& [name, found] : state.by_name) {
    found.last.set_store_followed(false);
  }
  BOOST_TEST(FollowerCount() == 29);
}

BOOST_AUTO_TEST_CASE(silent_relays_are_replaced) {
  std::vector<std::string> relays;
  for (const auto* each : fleet::Relays(state, settings, now)) {
    relays.push_back(each->last.name());
  }
  now += fleet::LiveFor(state, settings) + 1ms;
  for (int i = 0; i < 29; ++i) {
    if (std::find(relays.begin(), relays.end(), NameOf(i)) == relays.end()) {
      Hear(NameOf(i), DataCentreOf(i));
    }
  }
  int followers = 0;
  for (int i = 0; i < 29; ++i) {
    const bool is_relay =
        std::find(relays.begin(), relays.end(), NameOf(i)) != relays.end();
    followers += !is_relay && FollowsStore(i) ? 1 : 0;
  }
  BOOST_TEST(followers >= 6);
}

BOOST_AUTO_TEST_CASE(member_that_is_ahead_is_found_nearby_first) {
  state.by_name[NameOf(1)].last.set_registry_version(9);
  const fleet::self_place self_place{"self", "a", 0};
  const auto* found = fleet::FindAhead(state, settings, self_place,
                                       &wire::digest::registry_version, 8, now);
  BOOST_REQUIRE(found);
  BOOST_TEST(found->last.name() == NameOf(1));
  state.by_name[NameOf(3)].last.set_registry_version(9);
  found = fleet::FindAhead(state, settings, self_place,
                           &wire::digest::registry_version, 8, now);
  BOOST_TEST(found->last.name() == NameOf(3));
}

BOOST_AUTO_TEST_CASE(nobody_is_ahead_of_the_newest_version) {
  state.by_name[NameOf(1)].last.set_registry_version(9);
  BOOST_TEST(!fleet::FindAhead(state, settings, {"self", "a", 0},
                               &wire::digest::registry_version, 9, now));
}

BOOST_AUTO_TEST_CASE(entries_copy_from_different_members) {
  for (auto& [name, found] : state.by_name) {
    found.last.set_manifest_version(4);
  }
  std::map<std::string, int> asked;
  for (int i = 0; i < 300; ++i) {
    const auto name = "other-" + std::to_string(i);
    ++asked[fleet::FindAhead(state, settings, {name, "a", 0},
                             &wire::digest::manifest_version, 3, now)
                ->last.name()];
  }
  BOOST_TEST(asked.size() == 10);
  for (const auto& [name, count] : asked) {
    BOOST_TEST(count < 60);
  }
}

BOOST_AUTO_TEST_CASE(record_that_comes_right_after_a_summary_is_taken) {
  wire::summary work;
  work.set_relay(NameOf(1));
  fleet::OnSummary(state, work, "self", wall, now + 200ms);
  wire::summary records;
  records.set_relay(NameOf(1));
  auto& told = *records.add_members();
  *told.mutable_record() = state.by_name[NameOf(1)].last;
  told.mutable_record()->set_fencing(5);
  told.mutable_record()->set_sequence(1000);
  told.set_peer_address("relay:2");
  fleet::OnSummary(state, records, "self", wall, now + 200ms);
  BOOST_TEST(state.by_name[NameOf(1)].last.fencing() == 5);
}

BOOST_AUTO_TEST_CASE(member_that_did_not_answer_is_followed_by_another) {
  for (auto& [name, found] : state.by_name) {
    found.last.set_manifest_version(4);
  }
  std::set<std::string> asked;
  for (std::uint64_t failures = 0; failures < 8; ++failures) {
    asked.insert(fleet::FindAhead(state, settings, {"self", "a", failures},
                                  &wire::digest::manifest_version, 3, now)
                     ->last.name());
  }
  BOOST_TEST(asked.size() >= 3);
}

BOOST_AUTO_TEST_CASE(summary_tells_its_relays_versions) {
  wire::summary told;
  told.set_relay(NameOf(1));
  told.set_registry_version(7);
  told.set_manifest_version(3);
  fleet::OnSummary(state, told, "self", wall, now);
  BOOST_TEST(state.by_name[NameOf(1)].last.registry_version() == 7);
  BOOST_TEST(state.by_name[NameOf(1)].last.manifest_version() == 3);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
