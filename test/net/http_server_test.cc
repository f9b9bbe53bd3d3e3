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

  static void Send(tcp::socket& caller) {
    asio::write(caller, asio::buffer(std::string(kRequest)));
  }

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

  /** Reads to the end of the connection. */
  static std::string ReadAll(tcp::socket& caller) {
    std::string out;
    boost::system::error_code failure;
    while (!failure) {
      std::array<char, 1024> buffer{};
      const auto size = caller.read_some(asio::buffer(buffer), failure);
      out.append(buffer.data(), size);
    }
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
    const auto got = ReadAll(caller);
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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
