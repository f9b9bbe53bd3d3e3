#define BOOST_TEST_MODULE leaving_upstream_system
#include <boost/test/included/unit_test.hpp>

#include <algorithm>
#include <string>

#include "system/one_entry.h"

namespace {

using namespace std::chrono_literals;
using namespace mimosadeck::system_test;

/** Requests that show whether an upstream is in use. */
constexpr int kRequests = 10;
/** Registrations that the store loses when it returns from a copy. */
constexpr int kLostWrites = 200;

/** @brief Fixture with a store that returns from a copy of its rows. */
struct leaving_upstream : one_entry {
  /** @brief Returns whether the entry has asked for the changes since a
   * version, and so has read all before. */
  bool HasReadUpTo(std::uint64_t version) const {
    const std::string prefix = "/v1/rows-feed?table=servers&since_rev=";
    return std::any_of(
        store.calls.begin(), store.calls.end(), [&](const auto& target) {
          return target.starts_with(prefix) &&
                 std::stoull(target.substr(prefix.size())) >= version;
        });
  }

  /** @brief Writes registrations until the entry has read them. */
  void WriteHeartbeats() {
    for (int i = 0; i < kLostWrites; ++i) {
      store.Put("servers", "u2", second.Entry("ready"));
    }
    const auto written = store.Version();
    BOOST_REQUIRE(Eventually([&] { return HasReadUpTo(written); }));
  }

  /** @brief Replaces the store's rows by the copy and waits until the entry has
   * listed the upstreams once more. */
  void ReturnFromCopy() {
    const auto written = store.Version();
    BOOST_REQUIRE(Eventually([&] { return HasReadUpTo(written); }));
    store.calls.clear();
    store.ReturnFromCopy();
    BOOST_REQUIRE(Eventually([this] {
      return std::find(store.calls.begin(), store.calls.end(),
                       "/v1/rows-get?table=servers&part=") != store.calls.end();
    }));
    io.restart();
    io.run_for(500ms);
  }

  /** @brief Returns whether requests that the second upstream refuses reach the
   * first one. */
  bool IsFirstInUse() {
    second.next = answer::not_run;
    const auto before = first.arrivals;
    for (int i = 0; i < kRequests; ++i) {
      Call("/safe/x");
    }
    second.next = answer::good;
    return first.arrivals > before;
  }

  /** @brief Announces in the registry that the first upstream leaves, and waits
   * until the entry knows it. */
  void BeginLeaving() {
    store.Put("servers", "u1", first.Entry("draining"));
    BOOST_REQUIRE(Eventually([this] { return !IsFirstInUse(); }));
  }
};

BOOST_FIXTURE_TEST_SUITE(store_returned_from_a_copy, leaving_upstream)

// Guards against requests to an upstream that says that it leaves after the
// store went back: its version is below the highest one that the entry saw.
BOOST_AUTO_TEST_CASE(upstream_leaving_at_a_reused_version_gets_no_new_work) {
  store.TakeCopy();
  WriteHeartbeats();
  ReturnFromCopy();
  store.Put("servers", "u1", first.Entry("draining"));
  BOOST_TEST(Eventually([this] { return !IsFirstInUse(); }));
}

// Guards against using an upstream again because an old copy lists it as ready.
BOOST_AUTO_TEST_CASE(leaving_upstream_that_the_copy_lists_as_ready_stays_out) {
  store.TakeCopy();
  BeginLeaving();
  ReturnFromCopy();
  WriteHeartbeats();
  BOOST_TEST(!IsFirstInUse());
}

// Guards against using an upstream again that was removed after the copy was
// taken. It is in use again once it registers.
BOOST_AUTO_TEST_CASE(removed_upstream_of_the_copy_is_used_once_it_registers) {
  store.TakeCopy();
  store.Drop("servers", "u1");
  BOOST_REQUIRE(Eventually([this] { return !IsFirstInUse(); }));
  ReturnFromCopy();
  WriteHeartbeats();
  BOOST_TEST(!IsFirstInUse());
  store.Put("servers", "u1", first.Entry("ready"));
  BOOST_TEST(Eventually([this] { return IsFirstInUse(); }));
}

// Guards against dropping upstreams whose registrations the store has lost and
// not yet got again.
BOOST_AUTO_TEST_CASE(upstream_registered_after_the_copy_stays_in_use) {
  store.Drop("servers", "u1");
  BOOST_REQUIRE(Eventually([this] { return !IsFirstInUse(); }));
  store.TakeCopy();
  store.Put("servers", "u1", first.Entry("ready"));
  BOOST_REQUIRE(Eventually([this] { return IsFirstInUse(); }));
  ReturnFromCopy();
  BOOST_TEST(IsFirstInUse());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(rows_written_again, leaving_upstream)

// Guards against using a leaving upstream again because its row reads ready:
// an incarnation that leaves never returns.
BOOST_AUTO_TEST_CASE(leaving_upstream_whose_row_reads_ready_stays_out) {
  BeginLeaving();
  store.Put("servers", "u1", first.Entry("ready"));
  WriteHeartbeats();
  BOOST_TEST(!IsFirstInUse());
}

// Guards against keeping an id out for good: its next incarnation is another
// process.
BOOST_AUTO_TEST_CASE(next_incarnation_of_a_leaving_upstream_is_used) {
  BeginLeaving();
  first.BeginNextIncarnation();
  store.Put("servers", "u1", first.Entry("ready"));
  BOOST_TEST(Eventually([this] { return IsFirstInUse(); }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
