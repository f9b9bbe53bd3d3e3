#define BOOST_TEST_MODULE fleet
#include <boost/test/included/unit_test.hpp>

#include <algorithm>
#include <set>

#include "base/base.h"
#include "fleet/fleet.h"

namespace {

using namespace std::chrono_literals;
using mimosadeck::mono_time;
using mimosadeck::wall_time;
namespace fleet = mimosadeck::fleet;
namespace wire = mimosadeck::wire;

struct fleet_view {
  fleet::members state;
  fleet::options settings;
  mono_time now{100s};
  wall_time wall{std::chrono::hours(1000)};
  fleet::self_entry self{"self:1", "a", true};
  std::uint64_t sequence{};

  void Receive(const std::string& name,
               const std::string& data_centre,
               std::chrono::milliseconds clock_offset = 0ms,
               std::uint64_t incarnation = 1) {
    wire::digest digest;
    digest.set_name(name);
    digest.set_incarnation(incarnation);
    digest.set_sequence(++sequence);
    digest.set_data_centre(data_centre);
    digest.set_caller_address(name + ":1");
    digest.set_ready(true);
    digest.set_wall_ms(std::chrono::duration_cast<std::chrono::milliseconds>(
                           wall.time_since_epoch() + clock_offset)
                           .count());
    fleet::OnDigest(state, digest, name + ":2", wall, now);
  }

  std::vector<std::string> Addresses(const std::string& data_centre) {
    return fleet::AddressesFor(state, settings, self, data_centre, 64, now);
  }
};

using strings = std::vector<std::string>;

BOOST_FIXTURE_TEST_SUITE(digests, fleet_view)

BOOST_AUTO_TEST_CASE(digest_older_than_the_stored_one_is_dropped) {
  Receive("b", "a");
  wire::digest old;
  old.set_name("b");
  old.set_incarnation(1);
  old.set_sequence(0);
  old.set_manifest_version(99);
  BOOST_TEST(!fleet::OnDigest(state, old, "b:2", wall, now));
  BOOST_TEST(state.by_name["b"].last.manifest_version() == 0);
}

BOOST_AUTO_TEST_CASE(restarted_member_may_send_lower_sequence_numbers) {
  Receive("b", "a", 0ms, 1);
  sequence = 0;
  Receive("b", "a", 0ms, 2);
  BOOST_TEST(state.by_name["b"].last.incarnation() == 2);
}

BOOST_AUTO_TEST_CASE(restarted_member_with_clock_set_back_is_accepted) {
  Receive("b", "a", 0ms, 1000);
  Receive("b", "a", 0ms, 400);
  BOOST_TEST(state.by_name["b"].last.incarnation() == 1000);
  now += fleet::kMaxDatagramLifetime + 1ms;
  Receive("b", "a", 0ms, 400);
  BOOST_TEST(state.by_name["b"].last.incarnation() == 400);
  BOOST_TEST(fleet::LiveMembers(state, settings, now).size() == 1);
}

BOOST_AUTO_TEST_CASE(relayed_record_of_member_with_clock_set_back_is_accepted) {
  Receive("b", "a", 0ms, 1000);
  now += fleet::kMaxDatagramLifetime + 1ms;
  wire::summary relayed;
  auto& record = *relayed.add_members();
  record.mutable_record()->set_name("b");
  record.mutable_record()->set_incarnation(400);
  record.mutable_record()->set_sequence(1);
  record.set_peer_address("b:2");
  fleet::OnSummary(state, relayed, "self", wall, now);
  BOOST_TEST(state.by_name["b"].last.incarnation() == 400);
}

BOOST_AUTO_TEST_CASE(member_silent_beyond_retention_is_removed) {
  Receive("b", "a");
  now += settings.member_retention + 1ms;
  fleet::Tick(state, settings, now);
  BOOST_TEST(state.by_name.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(directory, fleet_view)

BOOST_AUTO_TEST_CASE(entries_in_the_callers_data_centre_are_listed_alone) {
  Receive("b", "a");
  Receive("c", "z");
  BOOST_TEST(Addresses("a") == (strings{"self:1", "b:1"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(single_entry_in_data_centre_is_listed_with_others) {
  Receive("c", "z");
  BOOST_TEST(Addresses("a") == (strings{"self:1", "c:1"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(data_centre_without_entries_is_served_by_all) {
  Receive("b", "b");
  BOOST_TEST(Addresses("z").size() == 2);
}

BOOST_AUTO_TEST_CASE(leaving_and_silent_members_are_left_out) {
  for (const auto* name : {"b", "c", "d", "e"}) {
    Receive(name, "a");
  }
  state.by_name["b"].last.set_leaving(true);
  state.by_name["c"].last_seen_at =
      now - fleet::LivenessTimeout(state, settings) - 1ms;
  BOOST_TEST(Addresses("a") == (strings{"self:1", "d:1", "e:1"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(entry_cut_off_from_most_members_still_lists_them) {
  for (const auto* name : {"b", "c", "d", "e"}) {
    Receive(name, "a");
  }
  now += fleet::LivenessTimeout(state, settings) + 1s;
  BOOST_TEST(Addresses("a").size() == 5);
}

BOOST_AUTO_TEST_CASE(member_gone_before_contact_was_lost_is_not_listed) {
  for (const auto* name : {"b", "c", "d", "e"}) {
    Receive(name, "a");
  }
  const auto gone_at = now;
  now += 2s;
  for (const auto* name : {"c", "d", "e"}) {
    Receive(name, "a");
  }
  now += fleet::LivenessTimeout(state, settings) + 500ms;
  BOOST_REQUIRE(now - gone_at < settings.listing_retention);
  BOOST_TEST(Addresses("a") == (strings{"self:1", "c:1", "d:1", "e:1"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(silent_members_are_listed_no_longer_than_callers_cache) {
  for (const auto* name : {"b", "c", "d", "e"}) {
    Receive(name, "a");
  }
  now += settings.listing_retention + 1ms;
  BOOST_TEST(Addresses("a") == strings{"self:1"},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(entry_that_is_not_ready_does_not_list_itself) {
  self.ready = false;
  Receive("b", "a");
  Receive("c", "a");
  BOOST_TEST(Addresses("a").size() == 2);
}

BOOST_AUTO_TEST_SUITE_END()

/** The load of each member must not grow with the size of the fleet. */
BOOST_FIXTURE_TEST_SUITE(growing_fleets, fleet_view)

BOOST_AUTO_TEST_CASE(digests_sent_and_received_per_second_are_bounded) {
  for (const int size : {30, 100, 300, 410}) {
    state = {};
    for (int i = 1; i < size; ++i) {
      Receive("m" + std::to_string(i),
              std::string(1, static_cast<char>('a' + i % 3)));
    }
    const std::chrono::duration<double> interval =
        fleet::DigestInterval(state, settings);
    const auto relays = fleet::Relays(state, settings, now);
    BOOST_TEST(relays.size() == 6);
    BOOST_TEST((size - 1) / interval.count() < 430);
  }
}

BOOST_AUTO_TEST_CASE(members_with_the_fastest_links_are_the_relays) {
  constexpr int kEntries = 60;
  constexpr int kFast = 7;
  for (int i = 0; i < kEntries; ++i) {
    const auto name = "m" + std::to_string(i);
    Receive(name, "a");
    state.by_name[name].last.set_link_mbps(i % kFast == 0 ? 200 : 10);
  }
  const auto relays = fleet::Relays(state, settings, now);
  BOOST_TEST(relays.size() == settings.relays_per_data_centre);
  for (const auto* each : relays) {
    BOOST_TEST(each->last.link_mbps() == 200);
  }
}

BOOST_AUTO_TEST_CASE(relays_agree_on_the_set_of_relays) {
  constexpr int kEntries = 60;
  for (int i = 0; i < kEntries; ++i) {
    const auto name = "m" + std::to_string(i);
    Receive(name, "a");
    state.by_name[name].last.set_link_mbps(i % 2 == 0 ? 200 : 10);
    state.by_name[name].last.set_store_followed(true);
    state.by_name[name].store.upstreams = {now, now - 1h};
  }
  std::set<std::string> relays;
  for (const auto* each : fleet::Relays(state, settings, now)) {
    relays.insert(each->last.name());
  }
  for (const auto& [name, found] : state.by_name) {
    auto others = state;
    others.by_name.erase(name);
    const fleet::self_status self_status{name, "a", 0, found.last.link_mbps()};
    BOOST_TEST(fleet::FollowsStore(others, settings, self_status,
                                   fleet::store_feed::upstreams,
                                   now) == relays.contains(name));
  }
}

BOOST_AUTO_TEST_CASE(silent_relay_is_replaced_by_the_next) {
  for (int i = 1; i < 30; ++i) {
    Receive("m" + std::to_string(i), "a");
  }
  const auto before = fleet::Relays(state, settings, now);
  const auto name = before.front()->last.name();
  state.by_name[name].last_seen_at = now - 1min;
  const auto after = fleet::Relays(state, settings, now);
  BOOST_TEST(after.size() == before.size());
  for (const auto* each : after) {
    BOOST_TEST(each->last.name() != name);
  }
}

// Guards against reads of the store that look newer with each entry that
// passes them on.
BOOST_AUTO_TEST_CASE(relay_reports_the_newest_read_of_the_entries_it_hears) {
  fleet::feed_records reads;
  reads.upstreams = {now - 700ms, now - 5s};
  wire::digest reader;
  reader.set_name("reader");
  reader.set_sequence(1);
  fleet::EncodeReads(reads, settings, now + settings.apply_time, reader);
  BOOST_TEST(!reader.store_followed());
  fleet::EncodeReads(reads, settings, now, reader);
  BOOST_TEST(reader.store_followed());
  BOOST_TEST(reader.store_followed_ms() == 4300U);
  fleet::OnDigest(state, reader, "reader:2", wall, now);
  now += 100ms;
  // What the summary of another relay reported is not passed on.
  state.reported_reads.operator_rows.read_up_to = now;
  wire::digest own;
  own.set_name("self");
  own.set_upstreams_read_ms_ago(900);
  const auto summary = fleet::AggregateWork(state, settings, own, now);
  BOOST_TEST(summary.upstreams_read_ms_ago() == 800U);
  BOOST_TEST(!summary.has_operator_rows_read_ms_ago());

  fleet::members follower;
  fleet::OnSummary(follower, summary, "follower", wall, now);
  const auto newest =
      fleet::NewestRead(follower, settings, {"follower", "a", 0},
                        fleet::store_feed::upstreams, now);
  BOOST_REQUIRE(newest.has_value());
  BOOST_TEST((now - *newest == 800ms));
}

BOOST_AUTO_TEST_CASE(relay_aggregates_the_work_of_all_members) {
  fleet::work_table two;
  two.upstreams[7] = {2, 128, 640};
  for (int i = 1; i < 30; ++i) {
    const auto name = "m" + std::to_string(i);
    Receive(name, "a");
    *state.by_name[name].last.mutable_work() = fleet::Encode(two);
  }
  fleet::work_table one;
  one.upstreams[7] = {1, 64, 64};
  wire::digest own;
  own.set_name("self");
  *own.mutable_work() = fleet::Encode(one);
  const auto sum = fleet::AggregateWork(state, settings, own, now);
  fleet::work_table all;
  fleet::Add(all, sum.work());
  BOOST_TEST(all.upstreams[7].running == 59);
  BOOST_TEST(all.upstreams[7].unread_tokens == 29 * 128 + 64);
  auto for_one = sum;
  fleet::Subtract(for_one, state.by_name["m1"].last);
  fleet::work_table others;
  fleet::Add(others, for_one.work());
  BOOST_TEST(others.upstreams[7].running == 57);
  BOOST_TEST(others.upstreams[7].held_tokens == 28 * 640 + 64);
}

BOOST_AUTO_TEST_CASE(digest_without_work_keeps_the_stored_work) {
  Receive("b", "a");
  fleet::work_table some;
  some.upstreams[7] = {2, 128, 640};
  *state.by_name["b"].last.mutable_work() = fleet::Encode(some);
  Receive("b", "a");
  BOOST_TEST(state.by_name["b"].last.work().upstream_size() == 1);
  wire::digest idle;
  idle.set_name("b");
  idle.set_incarnation(1);
  idle.set_sequence(1000);
  *idle.mutable_work() = fleet::Encode({});
  fleet::OnDigest(state, idle, "b:2", wall, now);
  BOOST_TEST(state.by_name["b"].last.work().upstream_size() == 0);
}

BOOST_AUTO_TEST_CASE(work_of_a_hundred_upstreams_fits_a_kilobyte) {
  fleet::work_table table;
  for (std::uint32_t i = 0; i < 112; ++i) {
    table.upstreams[i * 7919] = {3, 12000, 40000};
  }
  BOOST_TEST(fleet::Encode(table).ByteSizeLong() < 1024);
}

BOOST_AUTO_TEST_CASE(lists_of_unequal_length_are_cut) {
  wire::work bad;
  bad.add_upstream(1);
  bad.add_upstream(2);
  bad.add_running(3);
  fleet::work_table table;
  fleet::Add(table, bad);
  BOOST_TEST(table.upstreams.empty());
}

BOOST_AUTO_TEST_CASE(only_requesters_in_the_relays_data_centre_follow_it) {
  for (int i = 1; i < 30; ++i) {
    Receive("m" + std::to_string(i), i % 2 == 0 ? "a" : "b");
  }
  state.by_name["m2"].summary_requested_at = now;
  state.by_name["m3"].summary_requested_at = now;
  state.by_name["m4"].summary_requested_at = now - 1min;
  const auto followers = fleet::Followers(state, settings, "a", now);
  BOOST_REQUIRE(followers.size() == 1);
  BOOST_TEST(followers.front()->last.name() == "m2");
}

BOOST_AUTO_TEST_CASE(relayed_record_is_as_old_as_the_relay_reports) {
  wire::summary relayed;
  auto& member = *relayed.add_members();
  member.mutable_record()->set_name("far");
  member.mutable_record()->set_incarnation(1);
  member.mutable_record()->set_ready(true);
  member.set_age_ms(500);
  member.set_peer_address("far:2");
  fleet::OnSummary(state, relayed, "self", wall, now);
  BOOST_TEST((state.by_name["far"].last_seen_at == now - 500ms));
  member.set_age_ms(900);
  fleet::OnSummary(state, relayed, "self", wall, now);
  BOOST_TEST((state.by_name["far"].last_seen_at == now - 500ms));
}

BOOST_AUTO_TEST_CASE(record_of_this_entry_itself_is_ignored) {
  wire::summary relayed;
  relayed.add_members()->mutable_record()->set_name("self");
  fleet::OnSummary(state, relayed, "self", wall, now);
  BOOST_TEST(state.by_name.empty());
}

BOOST_AUTO_TEST_CASE(few_members_hold_the_billing_counts) {
  for (int i = 1; i < 100; ++i) {
    Receive("m" + std::to_string(i), "a");
  }
  state.by_name["m50"].last.set_fencing(9);
  const auto replicas = fleet::BillingReplicas(state, settings, now);
  BOOST_TEST(replicas.size() <= settings.billing_replicas + 1);
  BOOST_TEST(
      std::count(replicas.begin(), replicas.end(), &state.by_name["m50"]) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(clocks, fleet_view)

BOOST_AUTO_TEST_CASE(clock_that_jumped_is_corrected_to_the_median) {
  for (const auto* name : {"b", "c", "d", "e"}) {
    Receive(name, "a", -2000ms);
  }
  BOOST_TEST((fleet::ClockCorrection(state, settings, now) == -2000ms));
}

BOOST_AUTO_TEST_CASE(minority_of_wrong_clocks_changes_nothing) {
  Receive("b", "a", 2000ms);
  Receive("c", "a", 5000ms);
  Receive("d", "a");
  Receive("e", "a");
  BOOST_TEST((fleet::ClockCorrection(state, settings, now) == 0ms));
}

BOOST_AUTO_TEST_SUITE_END()

/** An entry's calendar clock, read ten times a second. */
struct clock_fixture {
  fleet::disciplined_clock clock;
  fleet::clock_options settings;
  mono_time now{100s};
  wall_time machine{std::chrono::hours(1000)};
  wall_time right{machine};

  /** @return How far the reading is ahead of the right time. */
  std::chrono::milliseconds ReadAfter(std::chrono::milliseconds time) {
    wall_time read;
    for (auto left = time; left > 0ms; left -= 100ms) {
      now += 100ms;
      machine += 100ms;
      right += 100ms;
      read = fleet::ReadClock(clock, settings, machine, now);
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(read - right);
  }
};

BOOST_FIXTURE_TEST_SUITE(steps_of_clocks, clock_fixture)

BOOST_AUTO_TEST_CASE(step_and_its_return_change_nothing) {
  BOOST_TEST((ReadAfter(1s) == 0ms));
  machine += 3s;
  BOOST_TEST((ReadAfter(8s) == 0ms));
  machine -= 3s;
  BOOST_TEST((ReadAfter(1s) == 0ms));
  machine -= 1h;
  BOOST_TEST((ReadAfter(8s) == 0ms));
}

BOOST_AUTO_TEST_CASE(slewed_clock_is_followed) {
  ReadAfter(1s);
  for (int i = 0; i < 50; ++i) {
    machine += 10ms;
    ReadAfter(1s);
  }
  BOOST_TEST((ReadAfter(100ms) == 500ms));
}

BOOST_AUTO_TEST_CASE(correction_that_lasts_is_followed) {
  ReadAfter(1s);
  machine += 1h;
  BOOST_TEST((ReadAfter(settings.step_confirmation_time - 1s) == 0ms));
  BOOST_TEST((ReadAfter(2s) == 1h));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(contention, fleet_view)

/** A lease holder that is cut off would report its own counts as those of the
 * whole fleet and order upstreams for its own load. */
BOOST_AUTO_TEST_CASE(entry_cut_off_from_most_does_not_act_for_the_fleet) {
  for (const auto* name : {"b", "c", "d", "e"}) {
    Receive(name, "a");
  }
  BOOST_TEST(fleet::HasMajorityContact(state, settings, now));
  now += 2s;
  BOOST_TEST(!fleet::HasMajorityContact(state, settings, now));
  Receive("b", "a");
  Receive("c", "a");
  BOOST_TEST(fleet::HasMajorityContact(state, settings, now));
  now += settings.majority_window + 1s;
  BOOST_TEST(fleet::HasMajorityContact(state, settings, now));
}

BOOST_AUTO_TEST_CASE(lease_of_a_silent_member_is_not_held) {
  Receive("b", "a");
  state.by_name["b"].last.set_fencing(3);
  BOOST_TEST(fleet::IsLeaseHeldElsewhere(state, settings, now));
  now += fleet::LivenessTimeout(state, settings) + 1ms;
  BOOST_TEST(!fleet::IsLeaseHeldElsewhere(state, settings, now));
}

BOOST_AUTO_TEST_CASE(contention_rank_is_at_most_the_number_of_others) {
  Receive("b", "a");
  Receive("c", "a");
  const auto self_rank =
      fleet::ContentionRank(state, settings, {"self", "a"}, now);
  BOOST_TEST(self_rank <= 2);
}

BOOST_AUTO_TEST_CASE(every_entry_of_a_small_fleet_holds_billing_counts) {
  for (const auto* name : {"b", "c", "d", "e", "f", "g", "h"}) {
    Receive(name, "a");
  }
  BOOST_TEST(fleet::BillingReplicas(state, settings, now).size() == 7);
}

/** Most entries lose power and restart. Only the others still hold the counts
 * of unreported windows, so they must contend for the lease first. */
BOOST_AUTO_TEST_CASE(entries_with_complete_counts_contend_before_restarted) {
  const auto start = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          wall.time_since_epoch() - 2s)
          .count());
  constexpr int kEntries = 20;
  constexpr int kSurvivors = 8;
  std::set<std::string> survivors;
  for (int i = 0; i < kEntries; ++i) {
    const auto name = "m" + std::to_string(i);
    const bool survived = i < kSurvivors;
    Receive(name, "a", 0ms, survived ? start - 60000 : start);
    if (survived) {
      survivors.insert(name);
    }
  }
  for (const auto* each : fleet::BillingReplicas(state, settings, now)) {
    BOOST_TEST(survivors.contains(each->last.name()));
  }
  fleet::self_status self_status{"self", "a"};
  self_status.age = 2s;
  BOOST_TEST(fleet::ContentionRank(state, settings, self_status, now) >=
             survivors.size());
  self_status.age = 7s;
  BOOST_TEST(fleet::ContentionRank(state, settings, self_status, now) ==
             survivors.size());
  self_status.age = 1min;
  BOOST_TEST(fleet::ContentionRank(state, settings, self_status, now) <=
             survivors.size());
}

BOOST_AUTO_TEST_SUITE_END()

/** Thirty entries in three data centres, each with two relays. */
struct thirty_entry_fleet : fleet_view {
  thirty_entry_fleet() {
    for (int i = 0; i < 29; ++i) {
      Receive(NameOf(i), DataCentreOf(i));
    }
    for (const auto* each : fleet::Relays(state, settings, now)) {
      SetAnswered(each->last.name());
    }
  }

  /** Notes that the store answers an entry, as of now. */
  void SetAnswered(const std::string& name) {
    auto& found = state.by_name[name];
    found.last.set_store_followed(true);
    found.store = ReadsOf(1h, 0ms);
  }

  /** Returns what an entry has read that the store has answered for a time, the
   * last time some time ago. */
  fleet::feed_records ReadsOf(std::chrono::milliseconds answered_for,
                              std::chrono::milliseconds ago) const {
    const fleet::feed_record record{now - ago, now - ago - answered_for};
    return {record, record};
  }

  static std::string NameOf(int number) {
    return "entry-" + std::to_string(number);
  }

  static std::string DataCentreOf(int number) {
    return std::string(1, static_cast<char>('a' + number % 3));
  }

  /** Evaluates a predicate at a member, whose view omits the member itself. */
  template <typename Predicate>
  bool Ask(Predicate asked, int number) const {
    auto others = state;
    others.by_name.erase(NameOf(number));
    return asked(others, Self(number));
  }

  bool FollowsStore(
      int number,
      fleet::store_feed feed = fleet::store_feed::upstreams) const {
    return Ask(
        [&](const auto& others, const auto& self) {
          return fleet::FollowsStore(others, settings, self, feed, now);
        },
        number);
  }

  bool Watches(int number) const {
    return Ask(
        [&](const auto& others, const auto& self) {
          return fleet::WatchesStore(others, settings, self,
                                     fleet::store_feed::upstreams, now);
        },
        number);
  }

  bool IsFirstToRetry(int number) const {
    return Ask(
        [&](const auto& others, const auto& self) {
          return fleet::IsFirstToRetryStore(others, settings, self, now);
        },
        number);
  }

  int WatcherCount() const {
    int sum = 0;
    for (int i = 0; i < 29; ++i) {
      sum += FollowsStore(i) && Watches(i) ? 1 : 0;
    }
    return sum;
  }

  int FollowerCount(std::set<int>* found = nullptr) const {
    int sum = 0;
    for (int i = 0; i < 29; ++i) {
      const bool follows = FollowsStore(i);
      sum += follows ? 1 : 0;
      if (follows && found) {
        found->insert(i);
      }
    }
    return sum;
  }

  static fleet::self_status Self(int number) {
    static std::string name;
    static std::string data_centre;
    name = NameOf(number);
    data_centre = DataCentreOf(number);
    return {name, data_centre, 0};
  }

  bool IsRelay(int number) const {
    const auto relays = fleet::Relays(state, settings, now);
    return std::any_of(relays.begin(), relays.end(),
                       [number](const auto* each) {
                         return each->last.name() == NameOf(number);
                       });
  }

  bool SendsSummary(int number, const wire::digest& received) const {
    auto others = state;
    others.by_name.erase(NameOf(number));
    return fleet::SendsSummary(others, settings, Self(number), received, now);
  }

  /** Takes the store from all entries, so long ago that each has tried it. */
  void LoseStore() {
    for (auto& [name, found] : state.by_name) {
      found.last.set_store_followed(false);
      found.store = {};
      found.store.operator_rows.read_up_to = now - 10s;
      found.store.upstreams.read_up_to = now - 10s;
    }
  }

  void Advance(std::chrono::milliseconds time) {
    now += time;
    for (int i = 0; i < 29; ++i) {
      Receive(NameOf(i), DataCentreOf(i));
    }
  }

  /** Keeps all entries live, with what they have read. */
  void Refresh() {
    for (auto& [name, found] : state.by_name) {
      found.last_seen_at = now;
    }
  }
};

BOOST_FIXTURE_TEST_SUITE(following_the_store, thirty_entry_fleet)

BOOST_AUTO_TEST_CASE(every_entry_of_a_small_fleet_follows_the_store) {
  while (state.by_name.size() >= settings.full_mesh_limit) {
    state.by_name.erase(state.by_name.begin());
  }
  BOOST_TEST(fleet::FollowsStore(state, settings, {"self", "a", 0},
                                 fleet::store_feed::upstreams, now));
}

BOOST_AUTO_TEST_CASE(only_relays_of_a_large_fleet_follow_the_store) {
  BOOST_TEST(FollowerCount() == 6);
}

BOOST_AUTO_TEST_CASE(entry_that_assumes_a_small_fleet_gets_summaries) {
  wire::digest small;
  small.set_data_centre("a");
  small.set_members_known(static_cast<std::uint32_t>(settings.full_mesh_limit) -
                          1);
  for (int i = 0; i < 29; ++i) {
    const bool is_near = DataCentreOf(i) == "a";
    BOOST_TEST(SendsSummary(i, small) == (is_near && IsRelay(i)));
  }
  small.set_members_known(static_cast<std::uint32_t>(settings.full_mesh_limit));
  BOOST_TEST(!SendsSummary(0, small));
  small.set_wants_summary(true);
  BOOST_TEST(SendsSummary(0, small));
}

BOOST_AUTO_TEST_CASE(small_fleet_sends_no_summaries) {
  while (state.by_name.size() >= settings.full_mesh_limit) {
    state.by_name.erase(state.by_name.begin());
  }
  wire::digest small;
  small.set_data_centre("a");
  BOOST_TEST(!SendsSummary(0, small));
}

BOOST_AUTO_TEST_CASE(two_entries_that_follow_the_store_watch_it) {
  BOOST_TEST(WatcherCount() == 2);
}

BOOST_AUTO_TEST_CASE(watcher_that_lost_the_store_is_replaced) {
  for (int i = 0; i < 29; ++i) {
    if (FollowsStore(i) && Watches(i)) {
      state.by_name[NameOf(i)].last.set_store_followed(false);
      break;
    }
  }
  BOOST_TEST(WatcherCount() == 3);
}

// Guards against watchers whose calls the store ignores and that keep their
// place until the calls time out.
BOOST_AUTO_TEST_CASE(watcher_whose_call_is_not_answered_is_replaced) {
  for (int i = 0; i < 29; ++i) {
    if (FollowsStore(i) && Watches(i)) {
      state.by_name[NameOf(i)].store =
          ReadsOf(1h, settings.apply_time / 2 + 1ms);
      break;
    }
  }
  BOOST_TEST(WatcherCount() == 3);
}

// Guards against entries that rely on relays whose calls the store ignores:
// they still report that it answered the last one.
BOOST_AUTO_TEST_CASE(entries_read_the_store_when_the_reads_of_relays_are_old) {
  BOOST_TEST(FollowerCount() == 6);
  now += settings.apply_time / 2;
  Refresh();
  BOOST_TEST(FollowerCount() == 6);
  now += settings.apply_time / 4;
  Refresh();
  BOOST_TEST(FollowerCount() == 29);
}

// Guards against manifests that no entry reads while the relays read upstreams.
BOOST_AUTO_TEST_CASE(feed_that_no_relay_reads_is_read_by_others) {
  for (const auto* each : fleet::Relays(state, settings, now)) {
    state.by_name[each->last.name()].store.operator_rows = {
        now - settings.apply_time, std::nullopt};
  }
  for (int i = 0; i < 29; ++i) {
    BOOST_TEST(FollowsStore(i, fleet::store_feed::operator_rows));
    BOOST_TEST(FollowsStore(i) == IsRelay(i));
  }
}

// Guards against fleets that all turn to the store at once when its relays are
// back, or that read it although another entry just did.
BOOST_AUTO_TEST_CASE(read_that_a_relay_reports_spares_others_the_call) {
  LoseStore();
  state.reported_reads.upstreams.read_up_to = now - settings.apply_time / 2;
  BOOST_TEST(FollowerCount() == 6);
}

BOOST_AUTO_TEST_CASE(few_entries_at_a_time_try_store_that_answers_no_relay) {
  LoseStore();
  std::set<int> tried;
  int idle_rounds = 0;
  for (int round = 0; round < 60; ++round) {
    const auto before = tried.size();
    const auto count = FollowerCount(&tried);
    BOOST_TEST(count <= 6 + 12);
    idle_rounds = count > 6 ? 0 : idle_rounds + 1;
    BOOST_TEST(idle_rounds < 3);
    BOOST_TEST(tried.size() >= before);
    Advance(settings.store_trial_interval);
    LoseStore();
  }
  BOOST_TEST(tried.size() == 29);
}

BOOST_AUTO_TEST_CASE(outage_costs_a_large_fleet_few_calls) {
  constexpr int kEntries = 295;
  for (int i = 29; i < kEntries; ++i) {
    Receive(NameOf(i), DataCentreOf(i));
  }
  LoseStore();
  int followers = 0;
  for (int i = 0; i < kEntries; ++i) {
    followers += FollowsStore(i) ? 1 : 0;
  }
  BOOST_TEST(followers <= 6 + 12);
}

BOOST_AUTO_TEST_CASE(entry_the_store_answers_follows_it_until_a_relay_does) {
  LoseStore();
  int number = 0;
  while (fleet::FollowsStore(state, settings, Self(number),
                             fleet::store_feed::upstreams, now)) {
    ++number;
  }
  const auto follows = [&] {
    auto status = Self(number);
    status.store = ReadsOf(1s, 0ms);
    return fleet::FollowsStore(state, settings, status,
                               fleet::store_feed::upstreams, now);
  };
  BOOST_TEST(follows());
  SetAnswered(NameOf(number));
  for (int i = 0; i < 29; ++i) {
    BOOST_TEST((i == number || IsRelay(i) || !FollowsStore(i)));
  }
  for (const auto* each : fleet::Relays(state, settings, now)) {
    SetAnswered(each->last.name());
  }
  BOOST_TEST(!follows());
}

BOOST_AUTO_TEST_CASE(store_that_answered_others_throughout_was_available) {
  LoseStore();
  BOOST_TEST(!fleet::WasStoreReachableThroughout(state, settings, 5s, now));
  auto& other = state.by_name[NameOf(3)].store;
  other = ReadsOf(4900ms, 0ms);
  BOOST_TEST(!fleet::WasStoreReachableThroughout(state, settings, 5s, now));
  other = ReadsOf(5100ms, 0ms);
  BOOST_TEST(fleet::WasStoreReachableThroughout(state, settings, 5s, now));
  other.upstreams.answered_since.reset();
  BOOST_TEST(!fleet::WasStoreReachableThroughout(state, settings, 5s, now));
  // A call that is not answered does not show that the store is available.
  other = ReadsOf(1h, settings.apply_time);
  BOOST_TEST(!fleet::WasStoreReachableThroughout(state, settings, 5s, now));
  other = ReadsOf(5100ms, 0ms);
  now += fleet::LivenessTimeout(state, settings) + 1ms;
  BOOST_TEST(!fleet::WasStoreReachableThroughout(state, settings, 5s, now));
}

BOOST_AUTO_TEST_CASE(entry_that_was_cut_off_retries_the_store_in_time) {
  LoseStore();
  int last = 0;
  while (IsFirstToRetry(last)) {
    ++last;
  }
  const auto delay = [&](std::chrono::milliseconds limit) {
    auto others = state;
    others.by_name.erase(NameOf(last));
    return fleet::StoreRetryDelay(others, settings, Self(last), limit, now);
  };
  BOOST_TEST((delay(300ms) == 300ms));
  BOOST_TEST((delay(-100ms) == settings.min_store_retry_delay));
  BOOST_TEST((delay(800ms) == 800ms));
  BOOST_TEST((delay(5s) == settings.max_store_retry_delay));
}

BOOST_AUTO_TEST_CASE(first_two_retry_an_unavailable_store_more_often) {
  LoseStore();
  int first = 0;
  for (int i = 0; i < 29; ++i) {
    first += IsFirstToRetry(i) ? 1 : 0;
  }
  BOOST_TEST(first == 2);
}

BOOST_AUTO_TEST_CASE(silent_relays_are_replaced) {
  std::vector<std::string> relays;
  for (const auto* each : fleet::Relays(state, settings, now)) {
    relays.push_back(each->last.name());
  }
  now += fleet::LivenessTimeout(state, settings) + 1ms;
  for (int i = 0; i < 29; ++i) {
    if (std::find(relays.begin(), relays.end(), NameOf(i)) == relays.end()) {
      Receive(NameOf(i), DataCentreOf(i));
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

BOOST_AUTO_TEST_CASE(member_with_newer_version_is_found_in_same_centre_first) {
  state.by_name[NameOf(1)].last.set_registry_version(9);
  const fleet::self_status self_status{"self", "a", 0};
  const auto* found = fleet::FindNewer(state, settings, self_status,
                                       &wire::digest::registry_version, 8, now);
  BOOST_REQUIRE(found);
  BOOST_TEST(found->last.name() == NameOf(1));
  state.by_name[NameOf(3)].last.set_registry_version(9);
  found = fleet::FindNewer(state, settings, self_status,
                           &wire::digest::registry_version, 8, now);
  BOOST_TEST(found->last.name() == NameOf(3));
}

BOOST_AUTO_TEST_CASE(no_member_is_newer_than_the_newest_version) {
  state.by_name[NameOf(1)].last.set_registry_version(9);
  BOOST_TEST(!fleet::FindNewer(state, settings, {"self", "a", 0},
                               &wire::digest::registry_version, 9, now));
}

BOOST_AUTO_TEST_CASE(entries_copy_from_different_members) {
  for (auto& [name, found] : state.by_name) {
    found.last.set_manifest_version(4);
  }
  std::map<std::string, int> asked;
  for (int i = 0; i < 300; ++i) {
    const auto name = "other-" + std::to_string(i);
    ++asked[fleet::FindNewer(state, settings, {name, "a", 0},
                             &wire::digest::manifest_version, 3, now)
                ->last.name()];
  }
  BOOST_TEST(asked.size() == 10);
  for (const auto& [name, count] : asked) {
    BOOST_TEST(count < 60);
  }
}

BOOST_AUTO_TEST_CASE(record_right_after_a_summary_is_applied) {
  wire::summary work;
  work.set_relay(NameOf(1));
  fleet::OnSummary(state, work, "self", wall, now + 200ms);
  wire::summary records;
  records.set_relay(NameOf(1));
  auto& relayed = *records.add_members();
  *relayed.mutable_record() = state.by_name[NameOf(1)].last;
  relayed.mutable_record()->set_fencing(5);
  relayed.mutable_record()->set_sequence(1000);
  relayed.set_peer_address("relay:2");
  fleet::OnSummary(state, records, "self", wall, now + 200ms);
  BOOST_TEST(state.by_name[NameOf(1)].last.fencing() == 5);
}

BOOST_AUTO_TEST_CASE(summary_without_work_keeps_the_stored_work) {
  fleet::work_table some;
  some.upstreams[7] = {2, 128, 640};
  wire::summary work;
  work.set_relay(NameOf(1));
  *work.mutable_work() = fleet::Encode(some);
  fleet::OnSummary(state, work, "self", wall, now);
  wire::summary records;
  records.set_relay(NameOf(1));
  fleet::OnSummary(state, records, "self", wall, now);
  BOOST_REQUIRE(state.work);
  BOOST_TEST(state.work->aggregate.work().upstream_size() == 1);
}

BOOST_AUTO_TEST_CASE(change_is_applied_though_another_relay_saw_member_later) {
  wire::summary live_report;
  live_report.set_relay(NameOf(2));
  auto& newer = *live_report.add_heard();
  newer.set_identity(fleet::IdentityOf(state.by_name[NameOf(5)].last));
  fleet::OnSummary(state, live_report, "self", wall, now + 500ms);
  wire::summary records;
  records.set_relay(NameOf(1));
  auto& relayed = *records.add_members();
  *relayed.mutable_record() = state.by_name[NameOf(5)].last;
  relayed.mutable_record()->set_leaving(true);
  relayed.mutable_record()->set_sequence(1000);
  relayed.set_peer_address("entry:2");
  relayed.set_age_ms(400);
  fleet::OnSummary(state, records, "self", wall, now + 500ms);
  BOOST_TEST(state.by_name[NameOf(5)].last.leaving());
  BOOST_TEST((state.by_name[NameOf(5)].last_seen_at == now + 500ms));
}

BOOST_AUTO_TEST_CASE(report_on_another_incarnation_keeps_no_member_live) {
  auto restarted = state.by_name[NameOf(5)].last;
  restarted.set_incarnation(77);
  wire::summary live_report;
  live_report.set_relay(NameOf(2));
  live_report.add_heard()->set_identity(fleet::IdentityOf(restarted));
  fleet::OnSummary(state, live_report, "self", wall, now + 500ms);
  BOOST_TEST((state.by_name[NameOf(5)].last_seen_at == now));
}

BOOST_AUTO_TEST_CASE(record_is_due_when_changed_and_round_robin) {
  const auto before = state.by_name[NameOf(5)].last;
  int due = 0;
  for (std::uint64_t round = 0; round < 16; ++round) {
    due += fleet::IsRecordDue(&before, before, round) ? 1 : 0;
  }
  BOOST_TEST(due == 2);
  auto changed = before;
  changed.set_leaving(true);
  for (std::uint64_t round = 0; round < 16; ++round) {
    BOOST_TEST(fleet::IsRecordDue(&before, changed, round));
    BOOST_TEST(fleet::IsRecordDue(nullptr, before, round));
  }
}

BOOST_AUTO_TEST_CASE(member_that_did_not_answer_is_replaced_by_another) {
  for (auto& [name, found] : state.by_name) {
    found.last.set_manifest_version(4);
  }
  std::set<std::string> asked;
  for (std::uint64_t failures = 0; failures < 8; ++failures) {
    asked.insert(fleet::FindNewer(state, settings, {"self", "a", failures},
                                  &wire::digest::manifest_version, 3, now)
                     ->last.name());
  }
  BOOST_TEST(asked.size() >= 3);
}

BOOST_AUTO_TEST_CASE(summary_updates_versions_of_its_relay) {
  wire::summary relayed;
  relayed.set_relay(NameOf(1));
  relayed.set_registry_version(7);
  relayed.set_manifest_version(3);
  fleet::OnSummary(state, relayed, "self", wall, now);
  BOOST_TEST(state.by_name[NameOf(1)].last.registry_version() == 7);
  BOOST_TEST(state.by_name[NameOf(1)].last.manifest_version() == 3);
}

BOOST_AUTO_TEST_SUITE_END()

/** Entries that gossip through relays, as the daemon does, over a network
 * without losses. At the start each has digests of only some of the others. */
struct relayed_fleet {
  static constexpr int kCount = 78;
  static constexpr std::uint64_t kTicksPerProbe = 7;

  fleet::options settings;
  mono_time now{100s};
  wall_time wall{std::chrono::hours(1000)};
  std::vector<fleet::members> views{kCount};
  std::uint64_t tick{};
  int leaving{-1};
  std::vector<std::uint64_t> rounds = std::vector<std::uint64_t>(kCount);
  std::vector<std::map<std::string, wire::digest>> forwarded{kCount};
  std::vector<std::size_t> bytes_sent = std::vector<std::size_t>(kCount);

  relayed_fleet() {
    for (int i = 0; i < kCount; ++i) {
      for (int j = 0; j < kCount; ++j) {
        if (i != j && (i + j) % 3 != 0) {
          fleet::OnDigest(views[i], DigestOf(j), AddressOf(j), wall, now);
        }
      }
    }
  }

  static std::string NameOf(int number) { return "m" + std::to_string(number); }
  static std::string AddressOf(int number) {
    return "p" + std::to_string(number);
  }
  static std::string CentreOf(int number) {
    return std::string(1, static_cast<char>('a' + number % 3));
  }

  wire::digest DigestOf(int number) const {
    wire::digest out;
    out.set_name(NameOf(number));
    out.set_incarnation(1);
    out.set_sequence(tick + 1);
    out.set_data_centre(CentreOf(number));
    out.set_ready(true);
    out.set_leaving(number == leaving);
    out.set_wants_summary(true);
    return out;
  }

  void SendDigests(int from) {
    const auto digest = DigestOf(from);
    std::set<std::string> to;
    for (const auto* each : fleet::Relays(views[from], settings, now)) {
      to.insert(each->last.name());
    }
    const bool probes_silent =
        (tick + static_cast<std::uint64_t>(from)) % kTicksPerProbe == 0;
    for (int j = 0; j < kCount; ++j) {
      const auto found = views[from].by_name.find(NameOf(j));
      const bool is_silent =
          found == views[from].by_name.end() ||
          !fleet::IsLive(views[from], found->second, settings, now);
      if (j != from &&
          (to.contains(NameOf(j)) || (probes_silent && is_silent))) {
        fleet::OnDigest(views[j], digest, AddressOf(from), wall, now);
      }
    }
  }

  void SendRecords(int from) {
    wire::summary records;
    records.set_relay(NameOf(from));
    ++rounds[from];
    const auto add = [&](const wire::digest& record, const std::string& address,
                         std::chrono::milliseconds age) {
      const auto age_ms = static_cast<std::uint32_t>(age.count());
      auto& before = forwarded[from][record.name()];
      if (!fleet::IsRecordDue(before.name().empty() ? nullptr : &before, record,
                              rounds[from])) {
        auto& relayed = *records.add_heard();
        relayed.set_identity(fleet::IdentityOf(record));
        relayed.set_age_ms(age_ms);
        return;
      }
      before = record;
      auto& relayed = *records.add_members();
      *relayed.mutable_record() = record;
      relayed.set_peer_address(address);
      relayed.set_age_ms(age_ms);
    };
    add(DigestOf(from), AddressOf(from), 0ms);
    for (const auto& [name, found] : views[from].by_name) {
      if (fleet::IsLive(views[from], found, settings, now)) {
        add(found.last, found.peer_address,
            std::chrono::duration_cast<std::chrono::milliseconds>(
                now - found.last_seen_at));
      }
    }
    for (const auto* each :
         fleet::Followers(views[from], settings, CentreOf(from), now)) {
      const auto number = std::stoi(each->last.name().substr(1));
      bytes_sent[from] += records.ByteSizeLong();
      fleet::OnSummary(views[number], records, NameOf(number), wall, now);
    }
  }

  void Run(std::chrono::milliseconds time) {
    const auto interval = fleet::DigestInterval(views[0], settings);
    const auto ticks_per_record =
        static_cast<std::uint64_t>(settings.record_interval / interval) + 1;
    for (const auto end = now + time; now < end; now += interval) {
      ++tick;
      for (int i = 0; i < kCount; ++i) {
        SendDigests(i);
        if ((tick + static_cast<std::uint64_t>(i)) % ticks_per_record == 0) {
          SendRecords(i);
        }
      }
    }
  }

  std::vector<std::string> ReplicasSeenBy(int i) const {
    std::vector<std::string> out;
    for (const auto* each : fleet::BillingReplicas(views[i], settings, now)) {
      out.push_back(each->last.name());
    }
    return out;
  }
};

BOOST_FIXTURE_TEST_SUITE(views_through_relays, relayed_fleet)

BOOST_AUTO_TEST_CASE(entries_see_all_others_and_keep_seeing_them) {
  Run(6s);
  for (int round = 0; round < 30; ++round) {
    Run(400ms);
    std::size_t fewest = kCount;
    for (const auto& view : views) {
      fewest = std::min(fewest, fleet::LiveMembers(view, settings, now).size());
    }
    BOOST_TEST(fewest == kCount - 1);
  }
}

BOOST_AUTO_TEST_CASE(records_use_a_small_part_of_a_slow_link) {
  Run(10s);
  bytes_sent.assign(kCount, 0);
  Run(10s);
  // 10 % of 10 Mbit/s for ten seconds.
  BOOST_TEST(*std::max_element(bytes_sent.begin(), bytes_sent.end()) <
             1250000U);
}

BOOST_AUTO_TEST_CASE(leaving_member_is_seen_as_leaving_by_all_in_two_seconds) {
  Run(8s);
  leaving = 40;
  Run(2s);
  for (int i = 0; i < kCount; ++i) {
    BOOST_TEST(
        (i == leaving || views[i].by_name.at(NameOf(leaving)).last.leaving()));
  }
}

BOOST_AUTO_TEST_CASE(entries_send_billing_counts_to_the_same_contenders) {
  Run(6s);
  std::vector<std::string> names;
  for (int i = 0; i < kCount; ++i) {
    names.push_back(NameOf(i));
  }
  std::sort(names.begin(), names.end(), [](const auto& a, const auto& b) {
    return mimosadeck::Hash64(a) < mimosadeck::Hash64(b);
  });
  for (int i = 0; i < kCount; ++i) {
    const auto seen = ReplicasSeenBy(i);
    for (const auto& wanted : {names[0], names[1]}) {
      BOOST_TEST((NameOf(i) == wanted ||
                  std::find(seen.begin(), seen.end(), wanted) != seen.end()));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
