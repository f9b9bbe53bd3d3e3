#define BOOST_TEST_MODULE registry
#include <boost/test/included/unit_test.hpp>

#include "registry/registry.h"

namespace {

using namespace std::chrono_literals;
using mimosadeck::mono_time;
namespace registry = mimosadeck::registry;
using registry::store_version;

registry::upstream MakeUpstream(const std::string& id) {
  registry::upstream out;
  out.id = id;
  out.service = "pool";
  out.address = "10.0.0.1:80";
  out.slots = 4;
  out.started_at_ms = 1;
  return out;
}

struct two_upstreams {
  registry::upstream_set state;
  registry::options settings;
  mono_time now{100s};

  two_upstreams() {
    registry::OnListing(state, settings,
                        {{"a", store_version{1}, MakeUpstream("a")},
                         {"b", store_version{2}, MakeUpstream("b")}},
                        store_version{10}, now);
  }

  void Write(const registry::upstream& registration, std::uint64_t version) {
    registry::OnChanges(
        state, settings,
        {{registration.id, store_version{version}, registration}}, now);
  }

  void Remove(const std::string& id, std::uint64_t version) {
    registry::OnChanges(state, settings,
                        {{id, store_version{version}, std::nullopt}}, now);
  }

  std::vector<std::string> Ids() const { return IdsOf(state); }

  static std::vector<std::string> IdsOf(const registry::upstream_set& set) {
    std::vector<std::string> out;
    for (const auto& [id, held] : set.by_id) {
      out.push_back(id);
    }
    return out;
  }
};

using strings = std::vector<std::string>;

BOOST_FIXTURE_TEST_SUITE(registrations, two_upstreams)

BOOST_AUTO_TEST_CASE(draining_upstream_gets_no_new_work) {
  auto draining = MakeUpstream("a");
  draining.draining = true;
  Write(draining, 11);
  const auto usable = registry::UsableUpstreams(state, "pool");
  BOOST_REQUIRE(usable.size() == 1);
  BOOST_TEST(usable.front()->id == "b");
}

BOOST_AUTO_TEST_CASE(registration_removed_without_outage_is_dropped_at_once) {
  Remove("a", 11);
  BOOST_TEST(registry::UsableUpstreams(state, "pool").size() == 1);
}

BOOST_AUTO_TEST_CASE(equal_registration_keeps_the_generation) {
  const auto before = state.generation;
  Write(MakeUpstream("a"), 11);
  BOOST_TEST(state.generation == before);
}

// Guards against a fleet in which each heartbeat of a cold upstream makes all
// entries copy the registry.
BOOST_AUTO_TEST_CASE(
    cold_upstream_changes_the_registry_only_when_it_turns_cold) {
  auto cold = MakeUpstream("a");
  cold.cold_for = 3000ms;
  Write(cold, 11);
  BOOST_TEST(registry::ColdUpstreams(state, "pool", now).size() == 1);
  const auto before = state.changed_version;
  now += 1200ms;
  cold.cold_for = 1850ms;
  Write(cold, 12);
  BOOST_TEST((state.changed_version == before));
  now += 1900ms;
  BOOST_TEST(registry::ColdUpstreams(state, "pool", now).empty());
  Write(MakeUpstream("a"), 13);
  BOOST_TEST((state.changed_version == before));
}

// Guards against full load on an upstream that turns cold while it runs.
BOOST_AUTO_TEST_CASE(warm_upstream_that_turns_cold_again_is_cold) {
  now += 1h;
  auto cold = MakeUpstream("a");
  cold.cold_for = 2000ms;
  Write(cold, 11);
  const auto found = registry::ColdUpstreams(state, "pool", now);
  BOOST_REQUIRE(found.size() == 1);
  BOOST_TEST(found.front()->id == "a");
  BOOST_TEST(found.front()->cold_for.count() == 0);
}

// Guards against entries that copy the registry and take a cold upstream for a
// warm one.
BOOST_AUTO_TEST_CASE(copied_registry_states_the_rest_of_the_cold_period) {
  auto cold = MakeUpstream("a");
  cold.cold_for = 3000ms;
  Write(cold, 11);
  now += 1s;
  registry::upstream_set copy;
  BOOST_REQUIRE(registry::Adopt(
      copy, settings, registry::ChangesSince(state, store_version{0}, now),
      now));
  BOOST_TEST(registry::ColdUpstreams(copy, "pool", now + 1900ms).size() == 1);
  BOOST_TEST(registry::ColdUpstreams(copy, "pool", now + 2s).empty());
}

BOOST_AUTO_TEST_CASE(restart_under_the_same_id_is_another_incarnation) {
  auto again = MakeUpstream("a");
  again.started_at_ms = 2;
  BOOST_TEST(registry::IncarnationOf(again) !=
             registry::IncarnationOf(MakeUpstream("a")));
}

BOOST_AUTO_TEST_CASE(other_service_at_the_same_address_is_not_usable) {
  auto moved = MakeUpstream("c");
  moved.service = "other";
  Write(moved, 11);
  BOOST_TEST(registry::UsableUpstreams(state, "pool").size() == 2);
  BOOST_TEST(registry::UsableUpstreams(state, "other").size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(outages, two_upstreams)

BOOST_AUTO_TEST_CASE(
    registration_expired_in_outage_stays_until_the_grace_ends) {
  registry::OnStoreRecovered(state, settings, now);
  registry::OnListing(state, settings,
                      {{"b", store_version{2}, MakeUpstream("b")}},
                      store_version{11}, now + 10ms);
  registry::Tick(state, settings, now + 2s);
  BOOST_TEST(registry::UsableUpstreams(state, "pool").size() == 2);
  registry::Tick(state, settings, now + settings.reregistration_grace);
  BOOST_TEST(registry::UsableUpstreams(state, "pool").size() == 1);
}

BOOST_AUTO_TEST_CASE(upstream_registered_again_within_the_grace_stays) {
  registry::OnStoreRecovered(state, settings, now);
  now += 10ms;
  Remove("a", 11);
  Write(MakeUpstream("a"), 12);
  registry::Tick(state, settings, now + 10s);
  BOOST_TEST(registry::UsableUpstreams(state, "pool").size() == 2);
}

BOOST_AUTO_TEST_CASE(
    registration_removed_long_after_an_outage_is_dropped_at_once) {
  registry::OnStoreRecovered(state, settings, now);
  now += 5s;
  Remove("a", 11);
  BOOST_TEST(registry::UsableUpstreams(state, "pool").size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(versions, two_upstreams)

BOOST_AUTO_TEST_CASE(change_that_is_already_applied_is_ignored) {
  auto draining = MakeUpstream("a");
  draining.draining = true;
  Write(draining, 12);
  Write(MakeUpstream("a"), 11);
  BOOST_TEST(state.by_id.at("a").entry->draining);
  Remove("b", 13);
  Write(MakeUpstream("b"), 12);
  BOOST_TEST(Ids() == strings{"a"}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(changes_of_one_transaction_are_all_applied) {
  registry::OnChanges(state, settings,
                      {{"c", store_version{11}, MakeUpstream("c")},
                       {"a", store_version{11}, std::nullopt}},
                      now);
  BOOST_TEST(Ids() == (strings{"b", "c"}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(older_listing_is_ignored) {
  Write(MakeUpstream("c"), 12);
  registry::OnListing(state, settings,
                      {{"a", store_version{1}, MakeUpstream("a")}},
                      store_version{11}, now);
  BOOST_TEST(Ids().size() == 3);
}

BOOST_AUTO_TEST_SUITE_END()

/** A process that copies the set of another one. */
struct leader_and_follower : two_upstreams {
  registry::upstream_set follower;

  bool Follow() {
    return registry::Adopt(follower, settings,
                           registry::ChangesSince(state, follower.version, now),
                           now);
  }

  void CheckEqual() const {
    BOOST_TEST(IdsOf(follower) == Ids(), boost::test_tools::per_element());
    BOOST_TEST((follower.version == state.version));
    for (const auto& [id, held] : state.by_id) {
      BOOST_TEST((*follower.by_id.at(id).entry == *held.entry));
    }
  }
};

BOOST_FIXTURE_TEST_SUITE(copies, leader_and_follower)

BOOST_AUTO_TEST_CASE(follower_without_any_state_gets_the_complete_set) {
  BOOST_TEST(Follow());
  CheckEqual();
}

BOOST_AUTO_TEST_CASE(later_updates_contain_only_changes) {
  Follow();
  Write(MakeUpstream("c"), 11);
  Remove("a", 12);
  const auto update = registry::ChangesSince(state, follower.version, now);
  BOOST_TEST(update.updated.size() == 1);
  BOOST_TEST(update.gone.size() == 1);
  BOOST_TEST(Follow());
  CheckEqual();
}

BOOST_AUTO_TEST_CASE(upstream_removed_and_registered_again_stays) {
  Follow();
  Remove("a", 11);
  Write(MakeUpstream("a"), 12);
  BOOST_TEST(Follow());
  CheckEqual();
}

// Guards against a follower that keeps an upstream for good, because its leader
// saw the removal only and the follower skips versions up to the leader's.
BOOST_AUTO_TEST_CASE(removal_of_an_upstream_that_the_leader_lacks_is_copied) {
  Follow();
  registry::OnChanges(follower, settings,
                      {{"c", store_version{11}, MakeUpstream("c")}}, now);
  Remove("c", 12);
  Write(MakeUpstream("d"), 13);
  BOOST_TEST(Follow());
  CheckEqual();
}

BOOST_AUTO_TEST_CASE(registration_rewritten_with_equal_content_is_not_copied) {
  Follow();
  const auto before = state.changed_version;
  for (std::uint64_t version = 11; version < 50; ++version) {
    Write(MakeUpstream("a"), version);
  }
  BOOST_TEST((state.version == store_version{49}));
  BOOST_TEST((state.changed_version == before));
  const auto update = registry::ChangesSince(state, follower.version, now);
  BOOST_TEST(update.updated.empty());
}

BOOST_AUTO_TEST_CASE(follower_is_current_once_it_has_the_last_change) {
  Follow();
  auto draining = MakeUpstream("a");
  draining.draining = true;
  Write(draining, 20);
  Write(MakeUpstream("b"), 30);
  BOOST_TEST((state.changed_version == store_version{20}));
  BOOST_TEST((follower.version < state.changed_version));
  Follow();
  BOOST_TEST((follower.version >= state.changed_version));
  BOOST_TEST((follower.changed_version == store_version{20}));
  Remove("b", 40);
  BOOST_TEST((state.changed_version == store_version{40}));
  Follow();
  CheckEqual();
}

BOOST_AUTO_TEST_CASE(
    registration_that_expires_and_returns_is_copied_both_times) {
  Follow();
  registry::OnStoreRecovered(state, settings, now);
  Remove("a", 20);
  BOOST_TEST((state.changed_version == store_version{20}));
  Follow();
  BOOST_TEST(follower.by_id.at("a").drop_at.has_value());
  Write(MakeUpstream("a"), 30);
  BOOST_TEST((state.changed_version == store_version{30}));
  Follow();
  BOOST_TEST(!follower.by_id.at("a").drop_at.has_value());
}

BOOST_AUTO_TEST_CASE(update_that_is_not_newer_is_ignored) {
  Follow();
  BOOST_TEST(!Follow());
  const auto old = registry::ChangesSince(state, store_version{}, now);
  Write(MakeUpstream("c"), 11);
  Follow();
  BOOST_TEST(!registry::Adopt(follower, settings, old, now));
  CheckEqual();
}

BOOST_AUTO_TEST_CASE(update_that_starts_after_the_held_version_is_ignored) {
  Write(MakeUpstream("c"), 11);
  Write(MakeUpstream("d"), 12);
  const auto late = registry::ChangesSince(state, store_version{11}, now);
  BOOST_TEST(!registry::Adopt(follower, settings, late, now));
}

BOOST_AUTO_TEST_CASE(pruned_removals_bring_the_complete_set) {
  Follow();
  for (std::uint64_t i = 0; i < 2000; ++i) {
    const auto id = "x" + std::to_string(i);
    Write(MakeUpstream(id), 11 + 2 * i);
    Remove(id, 12 + 2 * i);
  }
  Remove("a", 5000);
  BOOST_TEST((registry::ChangesSince(state, follower.version, now).since ==
              store_version{}));
  BOOST_TEST(Follow());
  CheckEqual();
}

BOOST_AUTO_TEST_CASE(follower_drops_an_upstream_after_its_grace) {
  Follow();
  registry::OnStoreRecovered(state, settings, now);
  Remove("a", 11);
  Follow();
  CheckEqual();
  registry::Tick(follower, settings, now + settings.reregistration_grace);
  BOOST_TEST(IdsOf(follower) == strings{"b"}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(upstream_dropped_after_its_grace_is_copied_as_removed) {
  Follow();
  registry::OnStoreRecovered(state, settings, now);
  Remove("a", 11);
  now += settings.reregistration_grace;
  registry::Tick(state, settings, now);
  Follow();
  CheckEqual();
}

BOOST_AUTO_TEST_SUITE_END()

/** A process that was cut off from the store and keeps an upstream for its
 * grace, and one that was not. */
struct returned_leader : leader_and_follower {
  returned_leader() {
    Follow();
    registry::OnStoreRecovered(state, settings, now);
    Remove("a", 11);
    BOOST_REQUIRE(state.by_id.at("a").drop_at.has_value());
  }
};

BOOST_FIXTURE_TEST_SUITE(grace_of_others, returned_leader)

// Guards against using a removed upstream for the grace of an entry that
// returns from a cut, on entries that were not cut off.
BOOST_AUTO_TEST_CASE(copied_grace_ends_once_the_store_is_known_as_available) {
  BOOST_TEST(Follow());
  BOOST_REQUIRE(follower.by_id.at("a").drop_at.has_value());
  registry::EndGrace(follower, now);
  registry::Tick(follower, settings, now);
  BOOST_TEST(IdsOf(follower) == strings{"b"}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(removal_after_the_end_of_the_grace_is_final) {
  registry::EndGrace(state, now);
  Remove("b", 12);
  registry::Tick(state, settings, now);
  BOOST_TEST(Ids().empty());
}

// Guards against using an upstream again whose removal was seen here.
BOOST_AUTO_TEST_CASE(upstream_known_as_removed_does_not_return_for_a_grace) {
  registry::OnChanges(follower, settings,
                      {{"a", store_version{11}, std::nullopt}}, now);
  Write(MakeUpstream("c"), 12);
  const auto complete = registry::ChangesSince(state, store_version{}, now);
  BOOST_REQUIRE(complete.updated.size() == 3);
  BOOST_TEST(registry::Adopt(follower, settings, complete, now));
  BOOST_TEST(IdsOf(follower) == (strings{"b", "c"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

/** A store that returned from a copy taken at version 5. */
struct returned_store : leader_and_follower {
  static store_version InNextEra(std::uint64_t number) {
    return registry::MakeStoreVersion(1, number).value();
  }

  void List(std::vector<registry::change> rows, std::uint64_t number) {
    registry::OnListing(state, settings, std::move(rows), InNextEra(number),
                        now);
  }

  void WriteInNextEra(const registry::upstream& registration,
                      std::uint64_t number) {
    registry::OnChanges(state, settings,
                        {{registration.id, InNextEra(number), registration}},
                        now);
  }

  /** Lists the copy, which holds both upstreams. */
  void ListCopy() {
    List({{"a", InNextEra(1), MakeUpstream("a")},
          {"b", InNextEra(2), MakeUpstream("b")}},
         5);
  }

  strings Usable() const {
    strings out;
    for (const auto& each : registry::UsableUpstreams(state, "pool")) {
      out.push_back(each->id);
    }
    return out;
  }

  static registry::upstream Draining(const std::string& id) {
    auto out = MakeUpstream(id);
    out.draining = true;
    return out;
  }
};

BOOST_FIXTURE_TEST_SUITE(eras, returned_store)

BOOST_AUTO_TEST_CASE(store_version_orders_by_era_and_then_by_number) {
  BOOST_TEST((InNextEra(0) > store_version{registry::kMaxNumber}));
  BOOST_TEST((InNextEra(2) > InNextEra(1)));
  BOOST_TEST(registry::EraOf(InNextEra(7)) == 1);
  BOOST_TEST(registry::NumberOf(InNextEra(7)) == 7);
  BOOST_TEST(!registry::MakeStoreVersion(0, registry::kMaxNumber + 1));
  BOOST_TEST(!registry::MakeStoreVersion(registry::kMaxEra + 1, 0));
}

// Guards against ignoring the registrations of a store that went back until
// its versions have passed the highest one seen.
BOOST_AUTO_TEST_CASE(lower_version_of_the_next_era_is_applied) {
  ListCopy();
  WriteInNextEra(Draining("a"), 6);
  BOOST_TEST(state.by_id.at("a").entry->draining);
  BOOST_TEST((state.version == InNextEra(6)));
}

BOOST_AUTO_TEST_CASE(late_change_of_the_era_before_is_ignored) {
  List({{"a", InNextEra(1), MakeUpstream("a")}}, 5);
  Write(Draining("a"), 400);
  BOOST_TEST(!state.by_id.at("a").entry->draining);
}

// Guards against dropping what was registered after the copy was taken, before
// it can register again.
BOOST_AUTO_TEST_CASE(registration_that_the_copy_lacks_stays_for_the_grace) {
  List({{"a", InNextEra(1), MakeUpstream("a")}}, 5);
  BOOST_TEST(registry::UsableUpstreams(state, "pool").size() == 2);
  registry::Tick(state, settings, now + settings.reregistration_grace);
  BOOST_TEST(Ids() == strings{"a"}, boost::test_tools::per_element());
}

// Guards against using an upstream again that was removed after the copy was
// taken.
BOOST_AUTO_TEST_CASE(removed_registration_of_the_copy_is_held_back) {
  Remove("a", 11);
  ListCopy();
  BOOST_TEST(Usable() == strings{"b"}, boost::test_tools::per_element());
  WriteInNextEra(MakeUpstream("a"), 6);
  BOOST_TEST(Usable() == (strings{"a", "b"}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(registration_that_outlasts_its_lifetime_is_used) {
  Remove("a", 11);
  ListCopy();
  now += settings.registration_lifetime;
  registry::Tick(state, settings, now);
  BOOST_TEST(Usable() == strings{"b"}, boost::test_tools::per_element());
  registry::OnChanges(state, settings, {}, now);
  BOOST_TEST(Usable() == (strings{"a", "b"}), boost::test_tools::per_element());
}

// Guards against the end of holding back in an outage, in which registrations
// need not be renewed.
BOOST_AUTO_TEST_CASE(upstream_is_held_back_for_a_lifetime_after_an_outage) {
  Remove("a", 11);
  ListCopy();
  now += settings.registration_lifetime;
  registry::OnStoreRecovered(state, settings, now);
  registry::OnChanges(state, settings, {}, now);
  BOOST_TEST(Usable() == strings{"b"}, boost::test_tools::per_element());
}

// Guards against an entry that uses such an upstream since it did not see the
// removal.
BOOST_AUTO_TEST_CASE(upstream_that_another_entry_holds_back_is_held_back) {
  Remove("a", 11);
  ListCopy();
  BOOST_REQUIRE(registry::HeldBack(state) == strings{"a/1"});
  registry::OnListing(follower, settings,
                      {{"a", InNextEra(1), MakeUpstream("a")}}, InNextEra(5),
                      now);
  BOOST_TEST(registry::HoldBack(follower, settings, "a/1", now));
  BOOST_TEST(registry::UsableUpstreams(follower, "pool").empty());
  BOOST_TEST(registry::HeldBack(follower).empty());
  BOOST_TEST(!registry::HoldBack(follower, settings, "a/2", now));
  BOOST_TEST(!registry::HoldBack(follower, settings, "c/1", now));
}

BOOST_AUTO_TEST_CASE(upstream_registered_in_the_era_is_not_held_back) {
  ListCopy();
  WriteInNextEra(MakeUpstream("a"), 6);
  BOOST_TEST(!registry::HoldBack(state, settings, "a/1", now));
  BOOST_TEST(Usable().size() == 2);
}

BOOST_AUTO_TEST_CASE(held_back_upstream_is_copied_as_such) {
  Remove("a", 11);
  ListCopy();
  BOOST_TEST(Follow());
  BOOST_TEST(follower.by_id.at("a").held_back_until.has_value());
  WriteInNextEra(MakeUpstream("a"), 6);
  BOOST_TEST(Follow());
  BOOST_TEST(!follower.by_id.at("a").held_back_until.has_value());
}

BOOST_AUTO_TEST_CASE(
    registration_written_before_the_second_listing_of_an_era_is_used) {
  Remove("a", 11);
  List({{"b", InNextEra(2), MakeUpstream("b")}}, 5);
  List({{"a", InNextEra(6), MakeUpstream("a")},
        {"b", InNextEra(2), MakeUpstream("b")}},
       7);
  BOOST_TEST(Ids() == (strings{"a", "b"}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(next_incarnation_of_a_removed_upstream_is_used) {
  Remove("a", 11);
  auto restarted = MakeUpstream("a");
  restarted.started_at_ms = 2;
  List({{"a", InNextEra(4), restarted}}, 5);
  BOOST_TEST(state.by_id.contains("a"));
}

BOOST_AUTO_TEST_CASE(removal_is_forgotten_after_the_oldest_copy) {
  Remove("a", 11);
  registry::Tick(state, settings, now + settings.max_copy_age + 1ms);
  List({{"a", InNextEra(1), MakeUpstream("a")}}, 5);
  BOOST_TEST(state.by_id.contains("a"));
}

BOOST_AUTO_TEST_CASE(first_listing_of_a_process_begins_no_grace) {
  registry::upstream_set fresh;
  registry::OnListing(fresh, settings, {{"a", InNextEra(1), MakeUpstream("a")}},
                      InNextEra(5), now);
  BOOST_TEST(!fresh.store_recovered_at);
}

// Guards against followers that ignore a leader in the next era, since its
// version number is lower.
BOOST_AUTO_TEST_CASE(follower_copies_the_complete_set_of_the_next_era) {
  Write(MakeUpstream("c"), 300);
  Follow();
  ListCopy();
  WriteInNextEra(Draining("a"), 6);
  BOOST_TEST((state.changed_version > follower.version));
  BOOST_TEST(Follow());
  CheckEqual();
  BOOST_TEST(follower.by_id.at("c").drop_at.has_value());
}

BOOST_AUTO_TEST_CASE(follower_in_the_next_era_ignores_a_leader_in_the_former) {
  Follow();
  const auto former = registry::ChangesSince(state, store_version{}, now);
  List({{"a", InNextEra(1), Draining("a")}}, 5);
  Follow();
  BOOST_TEST(!registry::Adopt(follower, settings, former, now));
  BOOST_TEST(follower.by_id.at("a").entry->draining);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
