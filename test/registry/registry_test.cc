#define BOOST_TEST_MODULE registry
#include <boost/test/included/unit_test.hpp>

#include "registry/registry.h"

namespace {

using namespace std::chrono_literals;
using mimosadeck::mono_time;
namespace registry = mimosadeck::registry;

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
    registry::OnListing(state, settings, {MakeUpstream("a"), MakeUpstream("b")},
                        now);
  }
};

BOOST_FIXTURE_TEST_SUITE(entries, two_upstreams)

BOOST_AUTO_TEST_CASE(upstream_that_drains_gets_no_new_work) {
  auto draining = MakeUpstream("a");
  draining.draining = true;
  registry::OnEntry(state, draining);
  const auto usable = registry::Usable(state, "pool");
  BOOST_REQUIRE(usable.size() == 1);
  BOOST_TEST(usable.front()->id == "b");
}

BOOST_AUTO_TEST_CASE(entry_gone_in_calm_drops_at_once) {
  registry::OnEntryGone(state, settings, "a", now);
  BOOST_TEST(registry::Usable(state, "pool").size() == 1);
}

BOOST_AUTO_TEST_CASE(equal_entry_changes_no_generation) {
  const auto before = state.generation;
  registry::OnEntry(state, MakeUpstream("a"));
  BOOST_TEST(state.generation == before);
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
  registry::OnEntry(state, moved);
  BOOST_TEST(registry::Usable(state, "pool").size() == 2);
  BOOST_TEST(registry::Usable(state, "other").size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(outages, two_upstreams)

BOOST_AUTO_TEST_CASE(entry_lapsed_in_outage_stays_until_it_could_be_back) {
  registry::OnStoreBack(state, now);
  registry::OnListing(state, settings, {MakeUpstream("b")}, now + 10ms);
  registry::Tick(state, now + 2s);
  BOOST_TEST(registry::Usable(state, "pool").size() == 2);
  registry::Tick(state, now + settings.return_grace);
  BOOST_TEST(registry::Usable(state, "pool").size() == 1);
}

BOOST_AUTO_TEST_CASE(entry_back_within_the_grace_stays_for_good) {
  registry::OnStoreBack(state, now);
  registry::OnEntryGone(state, settings, "a", now + 10ms);
  registry::OnEntry(state, MakeUpstream("a"));
  registry::Tick(state, now + 10s);
  BOOST_TEST(registry::Usable(state, "pool").size() == 2);
}

BOOST_AUTO_TEST_CASE(entry_gone_long_after_an_outage_drops_at_once) {
  registry::OnStoreBack(state, now);
  registry::OnEntryGone(state, settings, "a", now + 5s);
  BOOST_TEST(registry::Usable(state, "pool").size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
