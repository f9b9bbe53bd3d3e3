#define BOOST_TEST_MODULE odd_rows_system
#include <boost/test/included/unit_test.hpp>

#include <string>
#include <utility>
#include <vector>

#include "system/one_entry.h"

namespace {

using namespace std::chrono_literals;
using namespace mimosadeck::system_test;
namespace net = mimosadeck::net;

/** Longest key of a row in the store. */
constexpr std::size_t kMaxKeyBytes = 200;
/** More rows than the store returns in one page. */
constexpr int kManyRows = 3000;
constexpr std::size_t kMegabyte = 1U << 20U;

/** @brief A row of the table of upstreams. */
struct upstream_row {
  std::string id;
  std::string value;
};

std::string Nested(char open, char close, std::size_t depth) {
  return std::string(depth, open) + std::string(depth, close);
}

/** @brief Fixture that writes odd rows next to the rows of two upstreams.
 *
 * The odd rows name `decoy`, which accepts connections, so that it gets
 * requests if such a row is used.
 */
struct odd_rows : one_entry {
  upstream_stand_in third{io, "u3"};
  upstream_stand_in decoy{io, "decoy"};

  std::string DecoyPort() const {
    const auto address = decoy.Address();
    return address.substr(address.rfind(':') + 1);
  }

  /** @brief Returns the decoy's row with one member replaced. */
  std::string With(const std::string& member, const std::string& json) const {
    const auto whole = json::parse(decoy.Entry("ready")).as_object();
    std::string out = "{";
    for (const auto& [name, value] : whole) {
      const auto text = name == member ? json : json::serialize(value);
      out += (out.size() > 1 ? ",\"" : "\"") + std::string(name) + "\":" + text;
    }
    return out + '}';
  }

  std::string At(const std::string& address) const {
    return With("address", json::serialize(json::value(address)));
  }

  /** @brief Returns values that name no upstream to use. */
  std::vector<std::string> OddValues() const {
    constexpr std::size_t kDepth = 100000;
    std::vector<std::string> out{
        "",
        "not json",
        "null",
        "[]",
        "{}",
        std::string("\0\xff\xfe", 3),
        decoy.Entry("ready").substr(1),
        Nested('[', ']', kDepth),
        std::string(kDepth, '['),
        std::string(kDepth, '{'),
        With("zone", Nested('[', ']', kDepth)),
        With("service", "\"\xff\xfe\""),
        With("service", "\"\\ud800\""),
        With("service", "[\"pool\"]"),
        With("state", "\"sleepy\""),
        With("state", "true"),
    };
    for (const auto* number :
         {"1e400", "-1e400", "-1", "0", "1.5", "4294967296", "8589934596",
          "18446744073709551615", "18446744073709551616", "null", "\"4\""}) {
      out.push_back(With("slots", number));
    }
    for (const auto* number : {"1e400", "-1", "18446744073709551616", "{}"}) {
      out.push_back(With("seq", number));
      out.push_back(With("born", number));
    }
    const auto port = DecoyPort();
    for (const auto* tail :
         {"65536", "-1", "0", "", "x", "99999999999999999999999"}) {
      out.push_back(At(std::string("127.0.0.1:") + tail));
    }
    for (const auto& address :
         {"127.0.0.1:" + port + 'x', "127.0.0.1: " + port, "127.0.0.1:+" + port,
          "127.0.0.1:-" + std::to_string(65536 - std::stoi(port)),
          "127.0.0.1:\n" + port, "127.0.0.1:" + port + '\n',
          "127.0.0.1\n:" + port, std::string("127.0.0.1\0:", 11) + port,
          "0.0.0.0:" + port, "[::]:" + port, "[::ffff:0.0.0.0]:" + port,
          "224.0.0.1:" + port, "[ff02::1]:" + port, "255.255.255.255:" + port,
          "somewhere:" + port, ":" + port,
          std::string(kMegabyte, '1') + ":" + port}) {
      out.push_back(At(address));
    }
    return out;
  }

  /** @brief Returns rows whose id cannot be the key of a row in the store. */
  std::vector<upstream_row> RowsWithOddIds() const {
    const auto good = decoy.Entry("ready");
    return {{"", good},
            {std::string(kMaxKeyBytes + 1, 'i'), good},
            {std::string(kMegabyte, 'i'), good},
            {"\xff\xfe", good},
            {"cut \xe2\x82", good},
            {"line\r\nx-tenant: other", good},
            {std::string("zero\0byte", 9), good}};
  }

  std::vector<upstream_row> AllOddRows() const {
    auto out = RowsWithOddIds();
    int number = 0;
    for (auto& value : OddValues()) {
      out.push_back({"odd-" + std::to_string(number++), std::move(value)});
    }
    return out;
  }

  void Write(const std::vector<upstream_row>& rows) {
    for (const auto& row : rows) {
      store.Put("servers", row.id, row.value);
    }
  }

  /** @brief Returns the number of upstreams in use, as the entry states it. */
  int UsedCount() {
    const std::string name = "\nmimosadeck_upstreams{";
    const auto text = Get(control, "/metrics").body;
    const auto at = text.find(name);
    if (at == std::string::npos) {
      return -1;
    }
    return std::stoi(text.substr(text.find("} ", at) + 2));
  }

  /** @brief Checks that the entry follows the list: it obeys rows written now,
   * uses no odd row and serves. */
  void CheckThatTheListIsFollowed() {
    store.Put("servers", "u1", first.Entry("draining"));
    store.Put("servers", "u2", second.Entry("draining"));
    store.Put("servers", "u3", third.Entry("ready"));
    BOOST_TEST(Eventually([this] {
      const auto before = third.arrivals;
      return Call("/safe/x").status == 200 && third.arrivals > before &&
             UsedCount() == 1;
    }));
    const auto drained = first.arrivals + second.arrivals;
    for (int i = 0; i < 10; ++i) {
      BOOST_TEST(Call("/safe/x").status == 200);
    }
    BOOST_TEST(first.arrivals + second.arrivals == drained);
    BOOST_TEST(decoy.arrivals == 0);
    BOOST_TEST(entry->IsRunning());
  }

  /** @brief Starts the entry again, so that it reads the whole list. */
  void StartAgain() {
    entry.reset();
    Start();
    BOOST_REQUIRE(
        Eventually([this] { return Get(ready, "/v1/ready").status == 200; }));
  }
};

BOOST_FIXTURE_TEST_SUITE(upstream_rows, odd_rows)

// Guards against using an upstream whose row cannot be right.
BOOST_AUTO_TEST_CASE(odd_values_name_no_upstream) {
  for (const auto& value : OddValues()) {
    store.Put("servers", "odd", value);
    io.restart();
    io.run_for(300ms);
    BOOST_TEST_CONTEXT(value.substr(0, kMaxKeyBytes)) {
      BOOST_TEST(UsedCount() == 2);
    }
  }
}

// Guards against a change feed that one row of another writer ends.
BOOST_AUTO_TEST_CASE(odd_rows_leave_changes_followed) {
  Write(AllOddRows());
  CheckThatTheListIsFollowed();
}

// Guards against one odd id that makes all rows of the page unreadable.
BOOST_AUTO_TEST_CASE(odd_ids_leave_changes_followed) {
  Write(RowsWithOddIds());
  CheckThatTheListIsFollowed();
}

// Guards against an entry that cannot start because of a row.
BOOST_AUTO_TEST_CASE(odd_rows_leave_the_listing_readable) {
  Write(AllOddRows());
  StartAgain();
  CheckThatTheListIsFollowed();
}

// Guards against limits on the number of rows that are skipped.
BOOST_AUTO_TEST_CASE(thousands_of_odd_rows_leave_the_list_followed) {
  auto values = OddValues();
  std::erase_if(values, [](const auto& value) { return value.size() > 4000; });
  for (int i = 0; i < kManyRows; ++i) {
    const auto& value = values[static_cast<std::size_t>(i) % values.size()];
    store.Put("servers", "many-" + std::to_string(i), value);
  }
  BOOST_TEST(Call("/safe/x").status == 200);
  StartAgain();
  CheckThatTheListIsFollowed();
}

// Guards against requests to an upstream whose row became odd, and against
// losing the others with it.
BOOST_AUTO_TEST_CASE(odd_row_of_a_live_upstream_withdraws_only_that_one) {
  for (const auto& value : OddValues()) {
    if (value.size() < kMegabyte) {
      store.Put("servers", "u2", value);
    }
  }
  BOOST_TEST(Eventually([this] { return UsedCount() == 1; }));
  const auto before = second.arrivals;
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST(Call("/safe/x").status == 200);
  }
  BOOST_TEST(second.arrivals == before);
  store.Put("servers", "u2", second.Entry("ready"));
  BOOST_TEST(Eventually([this] { return UsedCount() == 2; }));
  CheckThatTheListIsFollowed();
}

// Guards against costs and sums that a huge number of slots distorts.
BOOST_AUTO_TEST_CASE(most_slots_that_fit_leave_all_upstreams_in_use) {
  auto row = json::parse(third.Entry("ready")).as_object();
  row["slots"] = 4294967295U;
  store.Put("servers", "u3", json::serialize(row));
  BOOST_TEST(Eventually([this] { return UsedCount() == 3; }));
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST(Call("/safe/x").status == 200);
  }
  CheckThatTheListIsFollowed();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(other_rows, odd_rows)

// Guards against a manifest that cannot be read and ends the entry, or the
// following of manifests.
BOOST_AUTO_TEST_CASE(odd_manifests_leave_manifests_followed) {
  constexpr std::size_t kDepth = 100000;
  auto huge = json::parse(Manifest(2, "k9")).as_object();
  huge["routes"].as_array().push_back(Nested('[', ']', kDepth).c_str());
  const std::vector<std::string> odd{
      "",
      "null",
      "{}",
      std::string("\0\xff", 2),
      std::string(kDepth, '['),
      Nested('[', ']', kDepth),
      json::serialize(huge),
      R"({"version":1e400,"routes":[]})",
      R"({"version":-1,"routes":[]})",
      R"({"version":18446744073709551616,"routes":[]})",
      R"({"version":2,"routes":[7]})",
      R"({"version":2,"routes":{}})",
      Manifest(2, "k9").substr(1)};
  for (const auto& text : odd) {
    store.Put("op", "config", text);
    io.restart();
    io.run_for(100ms);
    BOOST_TEST(Call("/safe/x").status == 200);
  }
  store.Put("op", "config", Manifest(3, "k3"));
  BOOST_TEST(
      Eventually([this] { return Call("/safe/x", "k3").status == 200; }));
  BOOST_TEST(entry->IsRunning());
}

// Guards against numbers of a manifest that overflow when they are used.
BOOST_AUTO_TEST_CASE(manifest_with_numbers_out_of_range_is_served) {
  constexpr auto kHuge = "\"HUGE\"";
  auto fields = json::parse(Manifest(2, "k2")).as_object();
  for (auto& route : fields["routes"].as_array()) {
    for (const auto* name :
         {"timeout_ms", "goal_ms", "gap_target_ms", "priority"}) {
      route.as_object()[name] = "HUGE";
    }
  }
  fields["limits"] = {{"max_header_bytes", "HUGE"},
                      {"header_timeout_ms", "HUGE"},
                      {"idle_timeout_ms", "HUGE"}};
  int version = 2;
  for (const std::string number : {"1e400", "-1e400", "1e18", "-1",
                                   "4294967296", "18446744073709551615"}) {
    fields["version"] = ++version;
    auto text = json::serialize(fields);
    for (auto at = text.find(kHuge); at != std::string::npos;
         at = text.find(kHuge)) {
      text.replace(at, std::string(kHuge).size(), number);
    }
    store.Put("op", "config", text);
    const auto adopted = "mimosadeck_manifest_version{entry=\"entry-1\"} " +
                         std::to_string(version);
    BOOST_TEST_CONTEXT(number) {
      BOOST_TEST(Eventually([&] {
        return Get(control, "/metrics").body.find(adopted) != std::string::npos;
      }));
      // A route without any time serves nobody.
      if (number[0] != '-') {
        BOOST_TEST(Call("/safe/x", "k2").status == 200);
      }
    }
  }
  BOOST_TEST(entry->IsRunning());
}

// Guards against rows of condemned requests that stop an entry from joining.
BOOST_AUTO_TEST_CASE(odd_condemned_rows_are_removed) {
  int number = 0;
  for (const auto* value : {"", "x", "99999999999999999999999", "1e400", "-1",
                            "9223372036854775807", "-9223372036854775808"}) {
    store.Put("mimosadeck", "condemned/" + std::to_string(number++), value);
  }
  StartAgain();
  CheckThatTheListIsFollowed();
  BOOST_TEST(Eventually([this] { return !store.HasRow("condemned/0"); }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
