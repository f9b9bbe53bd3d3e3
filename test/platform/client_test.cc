#define BOOST_TEST_MODULE platform_client
#include <boost/test/included/unit_test.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "base/time.h"
#include "platform/client.h"
#include "platform/store_stand_in.h"

namespace {

using namespace std::chrono_literals;
using mimosadeck::platform_test::store_fault;
using mimosadeck::platform_test::store_stand_in;
namespace asio = boost::asio;
namespace infra = mimosadeck::infra;
namespace platform = mimosadeck::platform;
namespace registry = mimosadeck::registry;

constexpr std::chrono::milliseconds kWait{100};
constexpr auto kEntry =
    R"({"service":"pool","address":"10.0.0.1:80","zone":"z","version":"v1",)"
    R"("slots":4,"state":"ready","cold_left_ms":0,"seq":1,"born":5})";

struct client_fixture {
  asio::io_context io{1};
  store_stand_in store{io};
  platform::client client{io.get_executor(), Options()};

  platform::client_options Options() const {
    platform::client_options out;
    out.store_address = store.Address();
    out.duty_address = store.Address();
    out.holder = "entry-1";
    out.call_timeout = 150ms;
    return out;
  }

  template <typename T>
  T Await(asio::awaitable<T> operation) {
    std::optional<T> out;
    asio::co_spawn(io, std::move(operation),
                   [this, &out](std::exception_ptr failure, T result) {
                     BOOST_REQUIRE(!failure);
                     out = std::move(result);
                     io.stop();
                   });
    io.restart();
    io.run();
    return *std::move(out);
  }

  infra::reply Send(infra::request request) {
    return Await(client.Send(std::move(request)));
  }
};

template <typename T, typename V>
bool Is(const V& value) {
  return std::holds_alternative<T>(value);
}

bool HasManifest(const platform::operator_poll_result& result) {
  const auto* update = std::get_if<platform::operator_update>(&result);
  return update && update->manifest;
}

infra::commit MakeCommit(const std::string& key,
                         std::uint64_t version,
                         const std::string& value) {
  infra::commit out;
  out.conditions.push_back({key, version});
  out.writes.push_back({key, value});
  return out;
}

BOOST_FIXTURE_TEST_SUITE(rows, client_fixture)

BOOST_AUTO_TEST_CASE(row_written_under_condition_is_read_back) {
  BOOST_TEST(Is<infra::row_absent>(Send(infra::read_row{"lease/a"})));
  const auto written = Send(MakeCommit("lease/a", 0, "one"));
  BOOST_REQUIRE(Is<infra::committed>(written));
  const auto read = Send(infra::read_row{"lease/a"});
  BOOST_REQUIRE(Is<infra::row_found>(read));
  BOOST_TEST(std::get<infra::row_found>(read).found.value == "one");
  BOOST_TEST(std::get<infra::row_found>(read).found.version ==
             std::get<infra::committed>(written).version);
}

BOOST_AUTO_TEST_CASE(failed_condition_returns_the_present_version) {
  const auto first = Send(MakeCommit("lease/a", 0, "one"));
  const auto second = Send(MakeCommit("lease/a", 0, "two"));
  BOOST_REQUIRE(Is<infra::conflict>(second));
  BOOST_TEST(std::get<infra::conflict>(second).version ==
             std::get<infra::committed>(first).version);
}

BOOST_AUTO_TEST_CASE(read_of_absent_row_does_not_return_the_next_row) {
  static_cast<void>(Send(MakeCommit("lease/b", 0, "one")));
  BOOST_TEST(Is<infra::row_absent>(Send(infra::read_row{"lease/a"})));
}

BOOST_AUTO_TEST_CASE(scan_returns_rows_of_the_prefix_only) {
  for (const auto* key : {"member/1", "member/2", "usage/1"}) {
    static_cast<void>(Send(MakeCommit(key, 0, "x")));
  }
  const auto page = Send(infra::scan_rows{"member/", "", 500});
  BOOST_REQUIRE(Is<infra::rows_page>(page));
  BOOST_TEST(std::get<infra::rows_page>(page).rows.size() == 2);
}

BOOST_AUTO_TEST_CASE(usage_report_with_a_lower_fencing_number_is_refused) {
  BOOST_TEST(Is<infra::report_accepted>(
      Send(infra::report_usage{"7", 3, R"({"a":1})"})));
  BOOST_TEST(store.reports.back().body ==
             R"({"window_id":7,"counts":{"a":1}})");
  BOOST_TEST(Is<infra::report_refused>(
      Send(infra::report_usage{"8", 2, R"({"a":1})"})));
}

BOOST_AUTO_TEST_SUITE_END()

/** @brief A fault of the store and its effect on a write. */
struct fault_case {
  store_fault fault;
  /** The outcome of the write is unknown, rather than not carried out. */
  bool write_is_unknown;
  bool write_happened;
};

BOOST_FIXTURE_TEST_SUITE(faults, client_fixture)

BOOST_AUTO_TEST_CASE(each_fault_returns_unavailable_or_unknown_outcome) {
  const std::vector<fault_case> cases{
      {store_fault::busy, false, false},
      {store_fault::too_many, false, false},
      {store_fault::reset, true, false},
      {store_fault::answer_lost, true, true},
      {store_fault::silent, true, false},
      {store_fault::garbage, true, false},
  };
  int number = 0;
  for (const auto& test_case : cases) {
    const auto key = "lease/" + std::to_string(number++);
    store.fault = test_case.fault;
    const auto written = Send(MakeCommit(key, 0, "x"));
    const auto read = Send(infra::read_row{key});
    BOOST_TEST_CONTEXT("fault " << static_cast<int>(test_case.fault)) {
      BOOST_TEST(Is<infra::unknown_outcome>(written) ==
                 test_case.write_is_unknown);
      BOOST_TEST(Is<infra::unavailable>(written) ==
                 !test_case.write_is_unknown);
      BOOST_TEST(Is<infra::unavailable>(read));
      store.fault = store_fault::none;
      BOOST_TEST(Is<infra::row_found>(Send(infra::read_row{key})) ==
                 test_case.write_happened);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(following, client_fixture)

BOOST_AUTO_TEST_CASE(manifest_is_read_first_and_then_watched) {
  store.Put("op", "config", "one");
  auto result = Await(client.NextOperatorUpdate(kWait));
  BOOST_REQUIRE(HasManifest(result));
  store.Put("op", "config", "two");
  result = Await(client.NextOperatorUpdate(kWait));
  BOOST_REQUIRE(HasManifest(result));
  BOOST_TEST(*std::get<platform::operator_update>(result).manifest == "two");
  result = Await(client.NextOperatorUpdate(kWait));
  BOOST_REQUIRE(Is<platform::operator_update>(result));
  BOOST_TEST(!HasManifest(result));
}

// Guards against answers that make a copy look as recent as their arrival,
// although they show an earlier state of the store.
BOOST_AUTO_TEST_CASE(answer_is_dated_by_the_clock_of_the_store) {
  store.Put("servers", "a", kEntry);
  const auto listed_at = mimosadeck::SuspendAwareNow();
  const auto listing = Await(client.NextUpstreams(kWait));
  BOOST_REQUIRE(Is<platform::upstream_listing>(listing));
  const auto first = std::get<platform::upstream_listing>(listing).read_up_to;
  BOOST_TEST((first >= listed_at && first < listed_at + kWait));

  const auto read = [this] {
    const auto result = Await(client.NextUpstreams(kWait));
    BOOST_REQUIRE(Is<platform::upstream_changes>(result));
    return std::get<platform::upstream_changes>(result).read_up_to;
  };
  const auto waited_at = mimosadeck::SuspendAwareNow();
  const auto second = read();
  BOOST_TEST((second >= waited_at + kWait));
  BOOST_TEST((second <= mimosadeck::SuspendAwareNow()));

  // A response that states an earlier time was delayed; the fastest of the
  // others shows by how much, but for its own transit time.
  static_cast<void>(read());
  store.clock_offset -= kWait;
  const auto third = read();
  BOOST_TEST((third <= mimosadeck::SuspendAwareNow() - kWait / 2));
  // It was not made before the call.
  store.clock_offset -= 30min;
  const auto called_at = mimosadeck::SuspendAwareNow();
  const auto fourth = read();
  BOOST_TEST((fourth >= called_at && fourth < called_at + kWait));
}

// Guards against taking discarded changes for an answer without changes, after
// which an entry believes to be current and waits before it lists.
BOOST_AUTO_TEST_CASE(discarded_history_leads_to_a_listing_in_the_same_call) {
  store.Put("servers", "a", kEntry);
  BOOST_TEST(
      Is<platform::upstream_listing>(Await(client.NextUpstreams(kWait))));
  store.Drop("servers", "a");
  store.Put("servers", "b", kEntry);
  store.Compact();
  const auto result = Await(client.NextUpstreams(kWait));
  BOOST_REQUIRE(Is<platform::upstream_listing>(result));
  const auto& listing = std::get<platform::upstream_listing>(result);
  BOOST_REQUIRE(listing.entries.size() == 1);
  BOOST_TEST(listing.entries.front().id == "b");
}

BOOST_AUTO_TEST_CASE(discarded_history_leads_to_the_manifest_in_the_same_call) {
  store.Put("op", "config", "one");
  static_cast<void>(Await(client.NextOperatorUpdate(kWait)));
  store.Put("op", "config", "two");
  store.Compact();
  store.Put("op", "config", "three");
  const auto result = Await(client.NextOperatorUpdate(kWait));
  BOOST_REQUIRE(HasManifest(result));
  BOOST_TEST(*std::get<platform::operator_update>(result).manifest == "three");
}

// Guards against changes of a store that went back which are taken for those
// since the version that was read: the number stands for another write now.
BOOST_AUTO_TEST_CASE(next_era_leads_to_a_listing_even_at_the_same_version) {
  store.TakeCopy();
  store.Put("servers", "a", kEntry);
  static_cast<void>(Await(client.NextUpstreams(kWait)));
  const auto version = store.Version();
  store.ReturnFromCopy();
  store.Put("servers", "b", kEntry);
  BOOST_REQUIRE(store.Version() == version);
  const auto result = Await(client.NextUpstreams(kWait));
  BOOST_REQUIRE(Is<platform::upstream_listing>(result));
  const auto& listing = std::get<platform::upstream_listing>(result);
  BOOST_TEST(registry::EraOf(listing.version) == 2);
  BOOST_TEST(registry::NumberOf(listing.version) == version);
  BOOST_REQUIRE(listing.entries.size() == 1);
  BOOST_TEST(listing.entries.front().id == "b");
}

// Guards against a write whose condition holds for another version: the store
// has given out the number again since it was read.
BOOST_AUTO_TEST_CASE(write_with_a_condition_of_an_earlier_era_is_not_sent) {
  const auto written = Send(MakeCommit("lease/a", 0, "one"));
  const auto version = std::get<infra::committed>(written).version;
  store.TakeCopy();
  store.ReturnFromCopy();
  const auto read = Send(infra::read_row{"lease/a"});
  BOOST_TEST(std::get<infra::row_found>(read).found.version > version);
  const auto calls = store.calls.size();
  BOOST_TEST(Is<infra::conflict>(Send(MakeCommit("lease/a", version, "two"))));
  BOOST_TEST(store.calls.size() == calls);
  const auto present = std::get<infra::row_found>(read).found.version;
  BOOST_TEST(Is<infra::committed>(Send(MakeCommit("lease/a", present, "two"))));
}

// Guards against taking a write for confirmed whose condition held in an era
// that this process has not read.
BOOST_AUTO_TEST_CASE(write_that_meets_another_era_has_an_unknown_outcome) {
  const auto written = Send(MakeCommit("lease/a", 0, "one"));
  const auto version = std::get<infra::committed>(written).version;
  BOOST_TEST((client.Era() == 1U));
  store.TakeCopy();
  store.ReturnFromCopy();
  BOOST_TEST(
      Is<infra::unknown_outcome>(Send(MakeCommit("lease/a", version, "two"))));
  BOOST_TEST((client.Era() == 2U));
}

// Guards against taking a write for confirmed that an overtaken response of the
// former era confirms.
BOOST_AUTO_TEST_CASE(write_confirmed_in_an_earlier_era_has_an_unknown_outcome) {
  store.ReturnFromCopy();
  static_cast<void>(Send(MakeCommit("lease/a", 0, "one")));
  store.stated_era = "1";
  BOOST_TEST(Is<infra::unknown_outcome>(Send(MakeCommit("lease/b", 0, "one"))));
}

BOOST_AUTO_TEST_CASE(response_of_an_earlier_era_or_without_one_is_a_failure) {
  store.Put("servers", "a", kEntry);
  store.ReturnFromCopy();
  store.Put("servers", "a", kEntry);
  static_cast<void>(Await(client.NextUpstreams(kWait)));
  for (const auto* era : {"1", "", "x", "-2", "99999999999999999999"}) {
    store.stated_era = era;
    BOOST_TEST_CONTEXT("era " << era) {
      BOOST_TEST(
          Is<platform::store_failure>(Await(client.NextUpstreams(kWait))));
      BOOST_TEST(Is<infra::unavailable>(Send(infra::read_row{"lease"})));
    }
  }
  store.stated_era.reset();
  BOOST_TEST(
      Is<platform::upstream_changes>(Await(client.NextUpstreams(kWait))));
}

// Guards against losing changes that were read before a failure.
BOOST_AUTO_TEST_CASE(reading_again_repeats_what_was_read) {
  store.Put("op", "config", "one");
  store.Put("servers", "a", kEntry);
  for (int i = 0; i < 2; ++i) {
    client.ReadOperatorRowsAgain();
    client.ListUpstreamsAgain();
    const auto manifest = Await(client.NextOperatorUpdate(kWait));
    BOOST_REQUIRE(HasManifest(manifest));
    const auto listed = Await(client.NextUpstreams(kWait));
    BOOST_REQUIRE(Is<platform::upstream_listing>(listed));
    BOOST_TEST(std::get<platform::upstream_listing>(listed).entries.size() ==
               1);
  }
}

BOOST_AUTO_TEST_CASE(malformed_row_is_reported_as_change_without_upstream) {
  store.Put("servers", "a", kEntry);
  static_cast<void>(Await(client.NextUpstreams(kWait)));
  store.Put("servers", "a", R"({"service":"pool"})");
  const auto result = Await(client.NextUpstreams(kWait));
  BOOST_REQUIRE(Is<platform::upstream_changes>(result));
  const auto& changes = std::get<platform::upstream_changes>(result);
  BOOST_REQUIRE(changes.changes.size() == 1);
  BOOST_TEST(changes.changes.front().id == "a");
  BOOST_TEST(!changes.changes.front().entry);
}

/** Guards against detecting the store's recovery only with the next change: an
 * upstream removed by that change would be taken for one whose row expired
 * during the outage. */
BOOST_AUTO_TEST_CASE(store_that_recovers_without_changes_is_detected_at_once) {
  store.Put("servers", "a", kEntry);
  static_cast<void>(Await(client.NextUpstreams(kWait)));
  store.fault = store_fault::reset;
  BOOST_TEST(Is<platform::store_failure>(Await(client.NextUpstreams(kWait))));
  store.fault = store_fault::none;
  BOOST_TEST(
      Is<platform::upstream_changes>(Await(client.NextUpstreams(kWait))));
  BOOST_TEST(store.calls.back().ends_with("wait_ms=0"));
  static_cast<void>(Await(client.NextUpstreams(kWait)));
  BOOST_TEST(store.calls.back().ends_with("wait_ms=100"));
}

BOOST_AUTO_TEST_CASE(missing_response_counts_as_an_outage) {
  store.Put("servers", "a", kEntry);
  static_cast<void>(Await(client.NextUpstreams(kWait)));
  store.fault = store_fault::silent;
  BOOST_TEST(Is<platform::store_failure>(Await(client.NextUpstreams(kWait))));
}

BOOST_AUTO_TEST_CASE(each_fault_of_the_store_is_reported_as_failure) {
  store.Put("op", "config", "one");
  static_cast<void>(Await(client.NextOperatorUpdate(kWait)));
  for (const auto fault : {store_fault::busy, store_fault::too_many,
                           store_fault::reset, store_fault::garbage}) {
    store.fault = fault;
    BOOST_TEST(
        Is<platform::store_failure>(Await(client.NextOperatorUpdate(kWait))));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
