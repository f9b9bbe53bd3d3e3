#define BOOST_TEST_MODULE odd_peers_system
#include <boost/test/included/unit_test.hpp>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/ip/udp.hpp>

#include "registry/store_version.h"
#include "system/one_entry.h"
#include "wire/digest.pb.h"

namespace {

using namespace std::chrono_literals;
using namespace mimosadeck::system_test;
using asio::ip::udp;
namespace net = mimosadeck::net;
namespace registry = mimosadeck::registry;
namespace wire = mimosadeck::wire;

constexpr std::size_t kMaxDatagramBytes = 60000;
/** Several times the interval at which an entry of a small fleet sends. */
constexpr auto kQuietTime = 2000ms;

/** @brief Returns texts that are no address of another machine. */
std::vector<std::string> OddAddresses() {
  return {"",
          "0",
          "!",
          ":",
          ":80",
          "127.0.0.1",
          "127.0.0.1:",
          "127.0.0.1:0",
          "127.0.0.1:-1",
          "127.0.0.1:80x",
          "127.0.0.1:65536",
          "127.0.0.1:99999999999999999999999",
          "127.0.0.1:\n80",
          "0.0.0.0:80",
          "224.0.0.1:80",
          "255.255.255.255:80",
          "[::]:80",
          "somewhere:80",
          std::string(20000, '1')};
}

/** @brief Returns a version of the store stand-in's first era, as messages
 * between entries hold it. */
std::uint64_t InStoreEra(std::uint64_t number) {
  constexpr std::uint64_t kFirstEra = 1;
  return registry::ToInteger(
      registry::MakeStoreVersion(kFirstEra, number).value());
}

/** @brief Fixture with another entry, which a socket stands in for. */
struct odd_peers : one_entry {
  udp::socket peer{io, udp::endpoint(asio::ip::address_v4::loopback(), 0)};
  /** Where the entry sends its digests from. */
  udp::endpoint of_entry;
  std::uint64_t sequence{};

  std::string PeerAddress() const {
    return "127.0.0.1:" + std::to_string(peer.local_endpoint().port());
  }

  void WriteMemberRow(const std::string& key, const std::string& value) {
    store.Put("mimosadeck", "member/" + key, value);
  }

  /** @brief Starts the entry again, which then reads the member rows. */
  void StartAgain() {
    entry.reset();
    Start();
    BOOST_REQUIRE(
        Eventually([this] { return Get(ready, "/v1/ready").status == 200; }));
  }

  void Discard() {
    std::string buffer(kMaxDatagramBytes, '\0');
    while (peer.available() > 0) {
      peer.receive_from(asio::buffer(buffer), of_entry);
    }
  }

  /** @brief Returns whether the entry sends a digest from now on. */
  bool HearsEntry() {
    Discard();
    return Eventually([this] { return peer.available() > 0; });
  }

  wire::datagram Digest(const std::string& name) {
    wire::datagram out;
    auto& digest = *out.mutable_digest();
    digest.set_name(name);
    digest.set_incarnation(1);
    digest.set_sequence(++sequence);
    digest.set_data_centre("a");
    digest.set_caller_address("127.0.0.1:81");
    digest.set_control_address("127.0.0.1:82");
    digest.set_ready(true);
    return out;
  }

  void SendBytes(const std::string& bytes) {
    peer.send_to(asio::buffer(bytes), of_entry);
    io.restart();
    io.run_for(5ms);
  }

  void SendTo(const wire::datagram& content) {
    SendBytes(content.SerializeAsString());
  }

  /** @brief Makes the entry and the peer know each other. */
  void Introduce() {
    WriteMemberRow("peer", PeerAddress());
    StartAgain();
    BOOST_REQUIRE(HearsEntry());
    Discard();
  }

  /** @brief Checks that the entry still sends, hears and serves. */
  void CheckThatTheEntryTakesPart() {
    io.restart();
    io.run_for(kQuietTime);
    BOOST_TEST(entry->IsRunning());
    SendTo(Digest("later"));
    BOOST_TEST(HearsEntry());
    BOOST_TEST(Eventually([this] {
      SendTo(Digest("later"));
      return Get(directory, "/v1/resolve?name=h.example&zone=a")
                 .body.find("127.0.0.1:81") != std::string::npos;
    }));
    BOOST_TEST(Call("/safe/x").status == 200);
  }
};

BOOST_FIXTURE_TEST_SUITE(peers, odd_peers)

// Guards against an entry that falls silent because of a member row.
BOOST_AUTO_TEST_CASE(odd_member_rows_leave_the_entry_taking_part) {
  int number = 0;
  for (const auto& address : OddAddresses()) {
    WriteMemberRow("odd-" + std::to_string(number++), address);
  }
  WriteMemberRow("bytes", std::string("\0\xff\xfe", 3));
  Introduce();
  CheckThatTheEntryTakesPart();
}

// Guards against an entry that falls silent because of addresses that others
// pass on.
BOOST_AUTO_TEST_CASE(odd_known_peers_leave_the_entry_taking_part) {
  Introduce();
  auto content = Digest("other");
  for (const auto& address : OddAddresses()) {
    content.mutable_digest()->add_known_peers(address);
  }
  SendTo(content);
  CheckThatTheEntryTakesPart();
}

BOOST_AUTO_TEST_CASE(odd_relayed_members_leave_the_entry_taking_part) {
  Introduce();
  wire::datagram content;
  auto& summary = *content.mutable_summary();
  summary.set_relay("other");
  int number = 0;
  for (const auto& address : OddAddresses()) {
    auto& member = *summary.add_members();
    *member.mutable_record() =
        Digest("relayed-" + std::to_string(number++)).digest();
    member.mutable_record()->set_caller_address(address);
    member.mutable_record()->set_control_address(address);
    member.set_peer_address(address);
  }
  SendTo(content);
  CheckThatTheEntryTakesPart();
}

// Guards against addresses that no caller can use in the directory's answers.
BOOST_AUTO_TEST_CASE(odd_caller_addresses_are_not_told_to_callers) {
  Introduce();
  int number = 0;
  for (const auto& address : OddAddresses()) {
    auto content = Digest("odd-" + std::to_string(number++));
    content.mutable_digest()->set_caller_address(address);
    SendTo(content);
    const auto got = Get(directory, "/v1/resolve?name=h.example&zone=a");
    const auto told = json::parse(got.body).at("addrs").as_array();
    BOOST_TEST_CONTEXT(address) {
      BOOST_REQUIRE(told.size() == 1);
      BOOST_TEST(told[0].as_string() == callers);
    }
  }
  CheckThatTheEntryTakesPart();
}

// Guards against calls to an entry at an address that is none.
BOOST_AUTO_TEST_CASE(odd_control_addresses_leave_versions_followed) {
  Introduce();
  int number = 0;
  for (const auto& address : OddAddresses()) {
    auto content = Digest("odd-" + std::to_string(number++));
    content.mutable_digest()->set_control_address(address);
    content.mutable_digest()->set_manifest_version(7);
    content.mutable_digest()->set_registry_version(InStoreEra(1U << 20U));
    SendTo(content);
    io.restart();
    io.run_for(150ms);
  }
  CheckThatTheEntryTakesPart();
}

BOOST_AUTO_TEST_CASE(odd_datagrams_leave_the_entry_taking_part) {
  Introduce();
  auto good = Digest("other");
  good.mutable_digest()->add_known_peers("127.0.0.1:83");
  const auto bytes = good.SerializeAsString();
  SendBytes("");
  SendBytes(std::string(kMaxDatagramBytes, '\xff'));
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    SendBytes(bytes.substr(0, i));
    auto changed = bytes;
    changed[i] = static_cast<char>(changed[i] ^ 0x55);
    SendBytes(changed);
  }
  CheckThatTheEntryTakesPart();
}

// Guards against upstreams in a copied registry that nothing can be sent to.
BOOST_AUTO_TEST_CASE(odd_upstreams_in_a_copied_registry_are_not_used) {
  const auto version = InStoreEra(100);
  upstream_stand_in third{io, "u3"};
  wire::upstream_registry copy;
  copy.set_version(version);
  copy.set_changed_version(version);
  const auto add = [&copy, version](const std::string& id,
                                    const std::string& address,
                                    std::uint32_t slots) {
    auto& out = *copy.add_entries();
    out.set_id(id);
    out.set_service("pool");
    out.set_address(address);
    out.set_slots(slots);
    out.set_started_at_ms(5);
    out.set_version(version);
  };
  add("u3", third.Address(), 4);
  add("no slots", first.Address(), 0);
  add("", first.Address(), 4);
  for (const auto& address : OddAddresses()) {
    add("odd " + address.substr(0, 100), address, 4);
  }
  net::http_server other(
      std::vector<asio::io_context*>{&io}, "127.0.0.1:0", net::server_options{},
      [&copy](net::http_request,
              net::exchange& exchange) -> asio::awaitable<void> {
        net::http_response out;
        out.body = copy.SerializeAsString();
        co_await exchange.Respond(std::move(out));
      });
  Introduce();
  BOOST_TEST(Eventually([&] {
    auto content = Digest("other");
    content.mutable_digest()->set_control_address(other.Address());
    content.mutable_digest()->set_registry_version(version);
    SendTo(content);
    Call("/safe/x");
    return !third.runs.empty();
  }));
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST(Call("/safe/x").status == 200);
  }
  BOOST_TEST(Get(control, "/metrics")
                 .body.find("mimosadeck_upstreams{service=\"pool\"} 1\n") !=
             std::string::npos);
  CheckThatTheEntryTakesPart();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
