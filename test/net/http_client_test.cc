#define BOOST_TEST_MODULE http_client
#include <boost/test/included/unit_test.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

#include "net/net.h"

namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace net = mimosadeck::net;
using asio::ip::tcp;

constexpr auto kTimeout = 200ms;
/** Size of a response that stands for one without end, and of its writes. */
constexpr std::size_t kEndlessBytes = std::size_t{128} << 20U;
constexpr std::size_t kEndlessWrite = std::size_t{1} << 20U;
/** More than a client that reads no further leaves in the system's buffers. */
constexpr std::size_t kBufferedBytes = std::size_t{32} << 20U;

std::string Response(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

/** Time in which the server writes what the client's system still takes. */
constexpr auto kSettleTime = 50ms;

/** A response without end: its beginning, and what follows again and again. */
struct endless_response {
  const char* name;
  std::string beginning;
  std::string part;
};

std::ostream& operator<<(std::ostream& out, const endless_response& form) {
  return out << form.name;
}

/** A server that writes the next script after each request: pairs of a pause
 * and bytes. */
struct scripted_server {
  struct scripted_write {
    std::chrono::milliseconds pause;
    std::string bytes;
  };

  asio::io_context io{1};
  tcp::acceptor acceptor{io, {asio::ip::make_address("127.0.0.1"), 0}};
  net::http_client client;
  std::vector<std::vector<scripted_write>> scripts;
  std::size_t next{};
  int connections{};
  /** Bytes that were written. */
  std::size_t written{};
  std::shared_ptr<net::http_stream> kept_stream;

  scripted_server() { asio::co_spawn(io, Accept(), asio::detached); }

  asio::awaitable<void> Accept() {
    while (true) {
      auto socket = co_await acceptor.async_accept(asio::use_awaitable);
      ++connections;
      asio::co_spawn(io, Serve(std::move(socket)), asio::detached);
    }
  }

  asio::awaitable<void> Serve(tcp::socket socket) {
    std::string buffer;
    asio::steady_timer timer(io);
    boost::system::error_code failure;
    while (next < scripts.size()) {
      co_await asio::async_read_until(
          socket, asio::dynamic_buffer(buffer), "\r\n\r\n",
          asio::redirect_error(asio::use_awaitable, failure));
      if (failure) {
        co_return;
      }
      buffer.clear();
      const auto script = scripts[next++];
      for (const auto& [pause, bytes] : script) {
        timer.expires_after(pause);
        co_await timer.async_wait(asio::use_awaitable);
        co_await asio::async_write(
            socket, asio::buffer(bytes),
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure) {
          co_return;
        }
        written += bytes.size();
      }
    }
  }

  /** Adds a response that goes on for kEndlessBytes. */
  void AddEndlessResponse(const endless_response& form) {
    std::string part;
    while (part.size() < kEndlessWrite) {
      part += form.part;
    }
    scripts.push_back({{0ms, form.beginning}});
    for (std::size_t i = 0; i < kEndlessBytes; i += part.size()) {
      scripts.back().push_back({0ms, part});
    }
  }

  asio::awaitable<void> ReadFirstPiece(std::string& out) {
    auto address =
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    const net::call_limits limits{kTimeout, kTimeout};
    net::http_request request;
    auto opened = co_await net::OpenStream(std::move(address),
                                           std::move(request), limits);
    if (auto* stream =
            std::get_if<std::shared_ptr<net::http_stream>>(&opened)) {
      auto piece = co_await (*stream)->ReadPiece();
      if (auto* bytes = std::get_if<std::string>(&piece)) {
        out = std::move(*bytes);
      }
      kept_stream = *stream;
    }
  }

  /** Opens a response as a stream and returns the first piece of its body. The
   * stream stays open. */
  std::string FirstPiece() {
    std::string out;
    auto work = ReadFirstPiece(out);
    asio::co_spawn(io, std::move(work),
                   [this](std::exception_ptr) { io.stop(); });
    io.restart();
    io.run();
    return out;
  }

  asio::awaitable<void> SendRequest(net::call_result& out) {
    auto address =
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    net::http_request request;
    const net::call_limits limits{kTimeout, kTimeout};
    out = co_await client.Call(std::move(address), std::move(request), limits);
  }

  /** Returns the body of the response, or "failed". */
  std::string Call() {
    net::call_result out;
    auto work = SendRequest(out);
    asio::co_spawn(io, std::move(work),
                   [this](std::exception_ptr) { io.stop(); });
    io.restart();
    io.run();
    const auto* response = std::get_if<net::http_response>(&out);
    return response ? response->body : "failed";
  }

  void RunFor(std::chrono::milliseconds time) {
    io.restart();
    io.run_for(time);
  }
};

/** Beginnings of responses; what follows them has no end. */
const std::vector<endless_response> kEndlessResponses{
    {"status_line", "HTTP/1.1 200 ", "x"},
    {"fields", "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"},
    {"one_field", "HTTP/1.1 200 OK\r\nX-Field: ", "x"},
    {"interim_responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"no_response", "", "no response "},
    {"length", "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", "x"},
    {"until_close", "HTTP/1.1 200 OK\r\n\r\n", "x"},
    {"one_chunk",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n", "x"},
    {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
     "10\r\n0123456789abcdef\r\n"},
    {"chunk_extension",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;name=", "x"},
    {"trailer",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
     "X-Field: value\r\n"},
};

BOOST_AUTO_TEST_SUITE(endless_responses)

// Guards against keeping a response without end.
BOOST_DATA_TEST_CASE_F(scripted_server,
                       response_without_end_is_read_up_to_a_limit,
                       boost::unit_test::data::make(kEndlessResponses),
                       form) {
  AddEndlessResponse(form);
  const auto body = Call();
  RunFor(kSettleTime);
  BOOST_TEST(body.size() < kBufferedBytes);
  BOOST_TEST(written < kBufferedBytes);
}

// Guards against a stream that is read further than its pieces are taken: its
// head, framing or piece has no end.
BOOST_DATA_TEST_CASE_F(scripted_server,
                       stream_without_end_is_read_no_further_than_asked,
                       boost::unit_test::data::make(kEndlessResponses),
                       form) {
  AddEndlessResponse(form);
  BOOST_TEST(FirstPiece().size() < kBufferedBytes);
  RunFor(kSettleTime);
  BOOST_TEST(written < kBufferedBytes);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(kept_connections, scripted_server)

BOOST_AUTO_TEST_CASE(complete_responses_share_a_connection) {
  scripts = {{{0ms, Response("one")}}, {{0ms, Response("two")}}};
  BOOST_TEST(Call() == "one");
  BOOST_TEST(Call() == "two");
  BOOST_TEST(connections == 1);
}

// Guards against a second response that was read together with the first one
// and is taken for the response to the next call.
BOOST_AUTO_TEST_CASE(response_read_with_another_is_not_that_of_the_next_call) {
  scripts = {{{0ms, Response("one") + Response("stray")}},
             {{0ms, Response("two")}}};
  BOOST_TEST(Call() == "one");
  BOOST_TEST(Call() == "two");
  BOOST_TEST(connections == 2);
}

BOOST_AUTO_TEST_CASE(response_on_an_idle_connection_is_not_that_of_the_next) {
  scripts = {{{0ms, Response("one")}, {10ms, Response("stray")}},
             {{0ms, Response("two")}}};
  BOOST_TEST(Call() == "one");
  RunFor(50ms);
  BOOST_TEST(Call() == "two");
  BOOST_TEST(connections == 2);
}

BOOST_AUTO_TEST_CASE(late_response_is_not_that_of_the_next_call) {
  scripts = {{{kTimeout + 100ms, Response("late")}}, {{0ms, Response("two")}}};
  BOOST_TEST(Call() == "failed");
  BOOST_TEST(Call() == "two");
  RunFor(200ms);
  BOOST_TEST(connections == 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
