#define BOOST_TEST_MODULE evacuation
#include <boost/test/included/unit_test.hpp>

#include <algorithm>
#include <array>
#include <random>
#include <string>
#include <vector>

#include "evacuation/evacuation.h"

namespace {

using namespace std::chrono_literals;
using mimosadeck::mono_time;
namespace evacuation = mimosadeck::evacuation;
namespace registry = mimosadeck::registry;

registry::store_version At(std::uint64_t era, std::uint64_t number) {
  return *registry::MakeStoreVersion(era, number);
}

struct one_entry {
  evacuation::evacuation_table table;
  evacuation::options settings;
  mono_time now{1h};

  bool Apply(const std::string& data_centre,
             registry::store_version version,
             bool active) {
    return evacuation::Apply(table, settings, {data_centre, version, active});
  }
  std::vector<std::string> List(
      const std::vector<evacuation::statement>& listing,
      registry::store_version version) {
    return evacuation::ApplyListing(table, settings, listing, version, now);
  }
  [[nodiscard]] bool IsEvacuated(std::string_view data_centre = "a") const {
    return evacuation::IsEvacuated(table, data_centre);
  }
};

BOOST_FIXTURE_TEST_SUITE(statements, one_entry)

BOOST_AUTO_TEST_CASE(evacuation_written_and_removed_begins_and_ends) {
  BOOST_TEST(Apply("a", At(1, 5), true));
  BOOST_TEST(IsEvacuated("a"));
  BOOST_TEST(!IsEvacuated("b"));
  BOOST_TEST(Apply("a", At(1, 9), false));
  BOOST_TEST(!IsEvacuated());
}

// Guards against an evacuation that begins again because an entry tells late
// what held before it was taken back.
BOOST_AUTO_TEST_CASE(statement_of_an_earlier_version_changes_nothing) {
  Apply("a", At(1, 5), true);
  Apply("a", At(1, 9), false);
  BOOST_TEST(!Apply("a", At(1, 5), true));
  BOOST_TEST(!Apply("a", At(1, 9), false));
  BOOST_TEST(!IsEvacuated());
}

// Guards against dependence on the order in which the store and other entries
// tell of changes, or on how often they do.
BOOST_AUTO_TEST_CASE(statements_in_any_order_lead_to_the_newest) {
  std::vector<evacuation::statement> all;
  for (std::uint64_t i = 1; i <= 6; ++i) {
    all.push_back({"a", At(1, i), i % 2 == 1});
    all.push_back({"b", At(1, 10 + i), i % 2 == 0});
  }
  all.insert(all.end(), all.begin(), all.end());
  std::mt19937 random(1);
  for (int i = 0; i < 200; ++i) {
    std::shuffle(all.begin(), all.end(), random);
    table = {};
    for (const auto& each : all) {
      evacuation::Apply(table, settings, each);
    }
    BOOST_TEST(!IsEvacuated("a"));
    BOOST_TEST(IsEvacuated("b"));
  }
}

// Guards against memory that grows with the names that are evacuated, and
// against forgetting an evacuation that is in force for one that is not.
BOOST_AUTO_TEST_CASE(many_data_centres_keep_the_active_ones) {
  Apply("kept", At(1, 1), true);
  for (std::uint64_t i = 0; i < 1000; ++i) {
    const auto name = "d" + std::to_string(i);
    Apply(name, At(1, 10 + 2 * i), true);
    Apply(name, At(1, 11 + 2 * i), false);
  }
  BOOST_TEST(table.by_data_centre.size() <= settings.max_records);
  BOOST_TEST(IsEvacuated("kept"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(listings, one_entry)

BOOST_AUTO_TEST_CASE(listing_without_an_evacuation_ends_it) {
  BOOST_TEST(List({{"a", At(1, 5), true}}, At(1, 6)).size() == 1);
  BOOST_TEST(IsEvacuated());
  BOOST_TEST(List({}, At(1, 9)).size() == 1);
  BOOST_TEST(!IsEvacuated());
  BOOST_TEST(!Apply("a", At(1, 8), true));
}

BOOST_AUTO_TEST_CASE(listing_overtaken_by_a_later_statement_changes_nothing) {
  List({}, At(1, 4));
  Apply("a", At(1, 8), true);
  BOOST_TEST(List({}, At(1, 6)).empty());
  BOOST_TEST(IsEvacuated());
}

BOOST_AUTO_TEST_CASE(earlier_listing_after_a_later_one_is_ignored) {
  List({{"a", At(1, 5), true}}, At(1, 9));
  BOOST_TEST(List({}, At(1, 7)).empty());
  BOOST_TEST(IsEvacuated());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(store_from_a_copy, one_entry)

// Guards against work sent to an evacuated data centre because the store lost
// the request: the operators write it again.
BOOST_AUTO_TEST_CASE(lost_evacuation_holds_until_it_is_written_again) {
  List({{"a", At(1, 50), true}}, At(1, 50));
  BOOST_TEST(List({}, At(2, 40)).empty());
  BOOST_TEST(IsEvacuated());
  now += settings.rewrite_time - 1ms;
  BOOST_TEST(evacuation::Tick(table, now).empty());
  BOOST_TEST(!Apply("a", At(2, 45), true));
  now += 1h;
  BOOST_TEST(evacuation::Tick(table, now).empty());
  BOOST_TEST(IsEvacuated());
}

// Guards against a data centre that stays out of use because the store lost
// both the request and that it was taken back.
BOOST_AUTO_TEST_CASE(lost_evacuation_that_is_not_written_again_ends) {
  List({{"a", At(1, 50), true}}, At(1, 50));
  List({}, At(2, 40));
  List({}, At(2, 41));
  now += settings.rewrite_time;
  BOOST_TEST(evacuation::Tick(table, now).size() == 1);
  BOOST_TEST(!IsEvacuated());
  BOOST_TEST(!Apply("a", At(1, 50), true));
}

BOOST_AUTO_TEST_CASE(evacuation_that_the_copy_still_lists_is_in_force) {
  List({{"a", At(1, 50), true}}, At(1, 50));
  Apply("a", At(1, 60), false);
  List({{"a", At(2, 50), true}}, At(2, 50));
  BOOST_TEST(IsEvacuated());
  Apply("a", At(2, 55), false);
  BOOST_TEST(!IsEvacuated());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(restart, one_entry)

// Guards against an entry that serves an evacuated data centre after all
// entries were restarted while the store is away: it learns from another entry
// that has read the store.
BOOST_AUTO_TEST_CASE(entry_without_the_store_learns_from_another) {
  Apply("a", At(1, 5), true);
  evacuation::evacuation_table restarted;
  for (const auto& each : evacuation::Statements(table)) {
    evacuation::Apply(restarted, settings, each);
  }
  BOOST_TEST(evacuation::IsEvacuated(restarted, "a"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
