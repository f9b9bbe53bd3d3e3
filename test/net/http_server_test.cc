#define BOOST_TEST_MODULE http_server
#include <boost/test/included/unit_test.hpp>

#include <array>
#include <optional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "net/address.h"
#include "net/net.h"

namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace net = mimosadeck::net;
using asio::ip::tcp;

constexpr auto kRequest = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
/** Parts of a request, before which a caller may pause. */
constexpr std::array<const char*, 3> kRequestParts{
    "POST /x HTTP/1.1\r\nHo", "st: h\r\nContent-Length: 8\r\n\r\n", "the body"};

/** A server that responds only once the test cancels the gate timer. */
struct gated_server {
  asio::io_context io{1};
  asio::steady_timer gate{io, asio::steady_timer::time_point::max()};
  int started{};
  std::optional<std::size_t> remaining;
  net::http_server server{
      std::vector<asio::io_context*>{&io}, "127.0.0.1:0", net::server_options{},
      [this](net::http_request,
             net::exchange& exchange) -> asio::awaitable<void> {
        ++started;
        exchange.OnCallerDisconnect([] {});
        boost::system::error_code ignored;
        co_await gate.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
        net::http_response response;
        response.body = "answered";
        co_await exchange.Respond(std::move(response));
      }};

  tcp::socket Connect() {
    tcp::socket out(io);
    out.connect(net::ParseEndpoint(server.Address()));
    return out;
  }

  static void Send(tcp::socket& caller, const std::string& bytes = kRequest) {
    asio::write(caller, asio::buffer(bytes));
  }

  /** Runs the server until it has handled what has arrived. */
  void Settle() {
    io.restart();
    io.run_for(50ms);
  }

  /** Lets the handler respond to all requests, at once. */
  void OpenGate() { gate.expires_at(asio::steady_timer::time_point::min()); }

  void BeginDrain(std::chrono::milliseconds timeout) {
    asio::co_spawn(
        io,
        [this, timeout]() -> asio::awaitable<void> {
          remaining = co_await server.Drain(timeout);
        },
        asio::detached);
  }

  template <typename Condition>
  bool Reaches(Condition holds) {
    constexpr int kMaxPolls = 2000;
    for (int i = 0; i < kMaxPolls && !holds(); ++i) {
      io.restart();
      io.run_for(2ms);
    }
    return holds();
  }

  /** Reads to the end of the connection, while the server runs. */
  std::string ReadAll(tcp::socket& caller) {
    std::string out;
    caller.non_blocking(true);
    const bool ended = Reaches([&] {
      std::array<char, 1024> buffer{};
      boost::system::error_code failure;
      const auto size = caller.read_some(asio::buffer(buffer), failure);
      out.append(buffer.data(), size);
      return failure && failure != asio::error::would_block;
    });
    BOOST_TEST(ended, "the connection stays open");
    return out;
  }
};

BOOST_FIXTURE_TEST_SUITE(drains, gated_server)

BOOST_AUTO_TEST_CASE(request_read_before_the_drain_is_answered) {
  auto caller = Connect();
  Send(caller);
  BOOST_REQUIRE(Reaches([this] { return started == 1; }));
  BeginDrain(10s);
  io.restart();
  io.run_for(100ms);
  BOOST_TEST(!remaining.has_value());
  gate.cancel();
  BOOST_REQUIRE(Reaches([this] { return remaining.has_value(); }));
  BOOST_TEST(*remaining == 0);
  BOOST_TEST(ReadAll(caller).ends_with("answered"));
}

BOOST_AUTO_TEST_CASE(request_in_the_socket_is_answered_or_not_started) {
  constexpr int kTries = 50;
  for (int i = 0; i < kTries; ++i) {
    gated_server fixture;
    auto caller = fixture.Connect();
    for (int poll = 0; poll < i; ++poll) {
      fixture.io.restart();
      fixture.io.poll_one();
    }
    Send(caller);
    fixture.BeginDrain(10s);
    fixture.gate.expires_at(asio::steady_timer::time_point::min());
    BOOST_REQUIRE(
        fixture.Reaches([&] { return fixture.remaining.has_value(); }));
    BOOST_TEST(*fixture.remaining == 0);
    const auto got = fixture.ReadAll(caller);
    BOOST_TEST((fixture.started == 0) == got.empty());
    BOOST_TEST((fixture.started == 0 || got.ends_with("answered")));
  }
}

BOOST_AUTO_TEST_CASE(idle_connection_is_closed) {
  auto caller = Connect();
  io.run_for(20ms);
  BeginDrain(10s);
  BOOST_REQUIRE(Reaches([this] { return remaining.has_value(); }));
  BOOST_TEST(ReadAll(caller).empty());
}

BOOST_AUTO_TEST_CASE(requests_in_progress_at_the_timeout_are_counted) {
  auto first = Connect();
  auto second = Connect();
  Send(first);
  Send(second);
  BOOST_REQUIRE(Reaches([this] { return started == 2; }));
  BeginDrain(30ms);
  BOOST_REQUIRE(Reaches([this] { return remaining.has_value(); }));
  BOOST_TEST(*remaining == 2);
  gate.cancel();
  BOOST_TEST(Reaches([this] { return server.ActiveExchanges() == 0; }));
}

// Guards against a drain that does not count a request whose head or body is
// still arriving: it was read and forwarded after the last count, and the end
// of the process cut it off.
BOOST_AUTO_TEST_CASE(request_being_received_at_the_drain_is_answered) {
  for (std::size_t sent = 1; sent < kRequestParts.size(); ++sent) {
    gated_server fixture;
    auto caller = fixture.Connect();
    for (std::size_t i = 0; i < sent; ++i) {
      fixture.Send(caller, kRequestParts[i]);
    }
    fixture.Settle();
    fixture.BeginDrain(10s);
    fixture.Settle();
    BOOST_TEST(!fixture.remaining.has_value());
    fixture.OpenGate();
    for (auto i = sent; i < kRequestParts.size(); ++i) {
      fixture.Send(caller, kRequestParts[i]);
    }
    BOOST_REQUIRE(
        fixture.Reaches([&] { return fixture.remaining.has_value(); }));
    BOOST_TEST(*fixture.remaining == 0);
    BOOST_TEST(fixture.started == 1);
    BOOST_TEST(fixture.ReadAll(caller).ends_with("answered"));
  }
}

// Guards against a request that is forwarded after the drain has given up on
// it, just before the process ends.
BOOST_AUTO_TEST_CASE(request_received_after_the_timeout_is_not_started) {
  auto caller = Connect();
  Send(caller, kRequestParts[0]);
  Settle();
  BeginDrain(30ms);
  BOOST_REQUIRE(Reaches([this] { return remaining.has_value(); }));
  BOOST_TEST(*remaining == 1);
  Send(caller, kRequestParts[1]);
  Send(caller, kRequestParts[2]);
  Settle();
  BOOST_TEST(started == 0);
  BOOST_TEST(ReadAll(caller).empty());
}

// Guards against closing an idle connection on which a request has arrived.
BOOST_AUTO_TEST_CASE(request_that_arrived_before_the_drain_is_answered) {
  auto caller = Connect();
  Settle();
  OpenGate();
  Send(caller);
  BeginDrain(10s);
  BOOST_REQUIRE(Reaches([this] { return remaining.has_value(); }));
  BOOST_TEST(started == 1);
  BOOST_TEST(ReadAll(caller).ends_with("answered"));
}

// Guards against dropping a pipelined request that was read while the one
// before it was in progress, and whose answer kept the connection open.
BOOST_AUTO_TEST_CASE(pipelined_request_read_before_the_drain_is_answered) {
  auto caller = Connect();
  Send(caller);
  Settle();
  Send(caller);
  Settle();
  BOOST_REQUIRE(started == 1);
  server.CloseAfterResponses();
  BeginDrain(10s);
  Settle();
  OpenGate();
  BOOST_REQUIRE(Reaches([this] { return remaining.has_value(); }));
  BOOST_TEST(started == 2);
  const auto got = ReadAll(caller);
  BOOST_TEST(got.find("answered") != got.rfind("answered"));
  BOOST_TEST(got.find("Connection: close") > got.find("answered"));
}

// Guards against callers that send another request on a connection which a
// draining server is about to close.
BOOST_AUTO_TEST_CASE(response_after_the_stop_began_closes_its_connection) {
  auto caller = Connect();
  Send(caller);
  Settle();
  BOOST_REQUIRE(started == 1);
  server.CloseAfterResponses();
  OpenGate();
  Settle();
  BOOST_TEST(ReadAll(caller).find("Connection: close") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

/** A server with two connections at most, which answers at once. */
struct small_server {
  asio::io_context io{1};
  std::vector<std::string> cuts;
  net::http_server server{
      std::vector<asio::io_context*>{&io}, "127.0.0.1:0", Options(),
      [](net::http_request, net::exchange& exchange) -> asio::awaitable<void> {
        net::http_response response;
        response.body = "answered";
        co_await exchange.Respond(std::move(response));
      }};

  net::server_options Options() {
    net::server_options out;
    out.max_connections = 2;
    out.on_cut = [this](std::string_view reason, const std::string&) {
      cuts.emplace_back(reason);
    };
    return out;
  }

  tcp::socket Connect() {
    tcp::socket out(io);
    out.connect(net::ParseEndpoint(server.Address()));
    Settle();
    return out;
  }

  void Settle() {
    io.restart();
    io.run_for(50ms);
  }

  /** Returns whether the server has closed a connection. */
  bool IsClosed(tcp::socket& caller) {
    Settle();
    caller.non_blocking(true);
    char byte = 0;
    boost::system::error_code failure;
    caller.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, failure);
    return failure && failure != asio::error::would_block;
  }
};

BOOST_FIXTURE_TEST_SUITE(connection_limit, small_server)

// Guards against callers that open connections until no descriptor is left.
BOOST_AUTO_TEST_CASE(oldest_idle_connection_makes_room_for_another) {
  auto first = Connect();
  auto second = Connect();
  auto third = Connect();
  BOOST_TEST(IsClosed(first));
  BOOST_TEST(!IsClosed(second));
  asio::write(third, asio::buffer(std::string(kRequest)));
  Settle();
  BOOST_TEST(third.available() > 0);
  BOOST_TEST((cuts == std::vector<std::string>{"idle"}));
}

// Guards against a crowd that locks others out with requests that stop.
BOOST_AUTO_TEST_CASE(stopped_request_makes_room_if_none_is_idle) {
  auto first = Connect();
  asio::write(first, asio::buffer(std::string(kRequestParts[0])));
  auto second = Connect();
  asio::write(second, asio::buffer(std::string(kRequestParts[0])));
  Settle();
  auto third = Connect();
  asio::write(third, asio::buffer(std::string(kRequest)));
  Settle();
  BOOST_TEST(third.available() > 0);
  BOOST_TEST((cuts == std::vector<std::string>{"receiving"}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
