#define BOOST_TEST_MODULE endless_answer_system
#include <boost/test/included/unit_test.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

#include "net/address.h"
#include "platform/wait.h"
#include "system/one_entry.h"

namespace {

using namespace std::chrono_literals;
using namespace mimosadeck::system_test;
namespace data = boost::unit_test::data;
namespace net = mimosadeck::net;
using asio::ip::tcp;
using boost::system::error_code;

/** Memory of the smallest entries. */
constexpr int kMemoryMb = 160;
constexpr std::uint64_t kMemoryBytes = std::uint64_t{kMemoryMb} << 20U;
/** Requests at once whose answers do not end. */
constexpr int kFloodedRequests = 300;
/** Size of a whole body, and requests at once whose callers do not read it. */
constexpr std::size_t kLargeBody = std::size_t{8} << 20U;
constexpr int kUnreadRequests = 40;
/** Time in which a whole body is received. */
constexpr auto kBodyTime = 50ms;
/** Requests for the other service meanwhile. */
constexpr int kOtherRequests = 20;
constexpr auto kOtherInterval = 100ms;
constexpr auto kFloodTime = 4s;
/** Bytes and pause of the writes to one connection: all answers grow together.
 */
constexpr std::size_t kWriteBytes = std::size_t{64} << 10U;
constexpr auto kWritePause = 100ms;

/** @brief An answer without end: a beginning, and what follows for good. */
struct endless_answer {
  const char* name;
  /** Follows the status line and the request's id; with the line, the bytes
   * begin the response. */
  std::string beginning;
  /** Returns the part with a number. */
  std::function<std::string(std::uint64_t number)> part;
  /** The request's id is not in the response. */
  bool has_no_head{};
};

std::ostream& operator<<(std::ostream& out, const endless_answer& form) {
  return out << form.name;
}

constexpr auto kOk = "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n";
constexpr auto kStream = "Content-Type: text/event-stream\r\n";
constexpr auto kChunked = "Transfer-Encoding: chunked\r\n";

std::function<std::string(std::uint64_t)> Repeat(std::string text) {
  return [text = std::move(text)](std::uint64_t) { return text; };
}

std::string Event(std::uint64_t number) {
  return "id: " + std::to_string(number) + "\ndata: token\n\n";
}

std::string Line(const std::string& text) {
  return std::string(text).append("\r\n");
}

/** The ways in which an answer may have no end. */
const std::vector<endless_answer> kForms{
    {"status_line", "HTTP/1.1 200 ", Repeat("x"), true},
    {"fields", kOk, Repeat(Line("X-Field: value"))},
    {"one_field", std::string(kOk) + "X-Field: ", Repeat("x")},
    {"interim_responses", "", Repeat("HTTP/1.1 100 Continue\r\n\r\n"), true},
    {"no_response", "", Repeat("no response "), true},
    {"length", std::string(kOk) + "Content-Length: 1000000000000\r\n\r\n",
     Repeat("x")},
    {"until_close", std::string(kOk) + "\r\n", Repeat("x")},
    {"chunks", std::string(kOk) + kChunked + "\r\n",
     Repeat("10\r\n0123456789abcdef\r\n")},
    {"small_chunks", std::string(kOk) + kChunked + "\r\n",
     Repeat("1\r\nx\r\n")},
    {"chunk_extension",
     std::string(kOk) + kChunked + "\r\n10;name=", Repeat("x")},
    {"trailer", std::string(kOk) + kChunked + "\r\n1\r\nx\r\n0\r\n",
     Repeat(Line("X-Field: value"))},
    {"event", std::string(kOk) + kStream + "\r\ndata: ", Repeat("x")},
    {"event_lines", std::string(kOk) + kStream + "\r\n", Repeat("data: x\n")},
    {"events", std::string(kOk) + kStream + "\r\n", Event},
    {"comments", std::string(kOk) + kStream + "\r\n", Repeat(": x\n\n")},
    {"refusal",
     "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: "
     "1000000000000\r\n\r\n",
     Repeat("x")},
    {"failure", "HTTP/1.1 500 Failed\r\nContent-Length: 1000000000000\r\n\r\n",
     Repeat("x")},
    {"other_request",
     std::string(kOk) + "X-Request-Id: other\r\nContent-Length: "
                        "1000000000000\r\n\r\n",
     Repeat("x"), true},
};

/** @brief Upstream that answers each request without end. */
class endless_upstream {
 public:
  endless_upstream(asio::io_context& io, const endless_answer& form)
      : form_(form),
        listener_(
            io,
            {asio::ip::make_address("127.0.0.1"), asio::ip::port_type{0}}) {
    asio::co_spawn(io, Accept(), asio::detached);
  }

  [[nodiscard]] std::string Entry() const {
    return json::serialize(json::object{
        {"service", "pool"},
        {"address",
         "127.0.0.1:" + std::to_string(listener_.local_endpoint().port())},
        {"zone", "a"},
        {"version", "v1"},
        {"slots", kFloodedRequests},
        {"state", "ready"},
        {"cold_left_ms", 0},
        {"seq", 1},
        {"born", 5}});
  }

  /** Number of requests that arrived. */
  int requests{};

 private:
  static auto Redirect(error_code& failure) {
    return asio::redirect_error(asio::use_awaitable, failure);
  }

  asio::awaitable<void> Accept() {
    while (true) {
      error_code failure;
      auto socket = co_await listener_.async_accept(Redirect(failure));
      if (failure) {
        co_return;
      }
      asio::co_spawn(listener_.get_executor(), Serve(std::move(socket)),
                     asio::detached);
    }
  }

  asio::awaitable<void> Serve(tcp::socket socket) {
    std::string received;
    error_code failure;
    co_await asio::async_read_until(socket, asio::dynamic_buffer(received),
                                    "the body", Redirect(failure));
    if (failure) {
      co_return;
    }
    ++requests;
    auto bytes = Beginning(received);
    for (std::uint64_t number = 0; !failure;) {
      while (bytes.size() < kWriteBytes) {
        bytes += form_.part(number++);
      }
      co_await asio::async_write(socket, asio::buffer(bytes),
                                 Redirect(failure));
      bytes.clear();
      co_await mimosadeck::platform_test::Wait(kWritePause);
    }
  }

  [[nodiscard]] std::string Beginning(const std::string& request) const {
    if (form_.has_no_head) {
      return form_.beginning;
    }
    constexpr std::string_view kField = "x-request-id: ";
    auto lower = request;
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    const auto at = lower.find(kField) + kField.size();
    const auto id = request.substr(at, request.find('\r', at) - at);
    const auto line_end = form_.beginning.find("\r\n") + 2;
    return form_.beginning.substr(0, line_end) + "X-Request-Id: " + id +
           "\r\n" + form_.beginning.substr(line_end);
  }

  const endless_answer& form_;
  tcp::acceptor listener_;
};

/** @brief Returns a manifest with routes to a service whose upstream is faulty,
 * and to another one. */
std::string TwoServices() {
  auto out = json::parse(Manifest(1, "k1")).as_object();
  for (auto& route : out["routes"].as_array()) {
    route.as_object()["max_attempts"] = 1;
  }
  auto other = Route("/other/", "safe", 2, false);
  other["service"] = "other";
  out["routes"].as_array().push_back(std::move(other));
  out["services"].as_array().push_back(
      json::object{{"name", "other"}, {"max_conns", 50}});
  return json::serialize(out);
}

entry_options SmallEntry() {
  entry_options out;
  out.manifest = TwoServices();
  out.memory_mb = kMemoryMb;
  return out;
}

/** @brief Fixture with an entry of the smallest size. */
struct small_entry : one_entry {
  small_entry() : one_entry(SmallEntry()) {
    store.Drop("servers", "u1");
    auto sound = json::parse(second.Entry("ready")).as_object();
    sound["service"] = "other";
    store.Put("servers", "u2", json::serialize(sound));
    BOOST_REQUIRE(Eventually([this] {
      return Call("/other/x").status == 200 && Call("/safe/x").status == 503;
    }));
  }

  /** Connections of callers that do not read. */
  std::vector<tcp::socket> silent_callers;

  /** @brief Sends a request and receives the response without keeping it. */
  asio::awaitable<void> Receive(net::http_request request) {
    net::http_call call(cache, io.get_executor());
    net::call_options options;
    options.server = options.address = callers;
    options.deadline = std::chrono::steady_clock::now() + kFloodTime;
    const auto failed =
        co_await call.Send(std::move(request), std::move(options));
    while (!failed) {
      const auto piece = co_await call.ReadPiece();
      const auto* bytes = std::get_if<std::string>(&piece);
      if (!bytes || bytes->empty()) {
        co_return;
      }
    }
  }

  /** @brief Sends a request on a connection of its own, from which nothing is
   * read. */
  void AskWithoutReading(const std::string& target) {
    const auto request = Request(target);
    std::string bytes = "POST " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : request.fields) {
      bytes.append(name).append(": ").append(value).append("\r\n");
    }
    bytes += "content-length: " + std::to_string(request.body.size()) +
             "\r\n\r\n" + request.body;
    auto& socket = silent_callers.emplace_back(io);
    socket.connect(*net::ReadEndpoint(callers));
    asio::write(socket, asio::buffer(bytes));
  }

  void Flood(const std::string& target) {
    for (int i = 0; i < kFloodedRequests; ++i) {
      asio::co_spawn(io, Receive(Request(target)), asio::detached);
    }
  }

  /** @brief Sends requests to the sound service. @return Those served. */
  int ServedOthers() {
    int served = 0;
    for (int i = 0; i < kOtherRequests; ++i) {
      served += Call("/other/x").status == 200 ? 1 : 0;
      io.restart();
      io.run_for(kOtherInterval);
    }
    return served;
  }
};

// Guards against an entry that ends, or fails other callers, because it keeps
// what a faulty upstream sends without end.
BOOST_DATA_TEST_CASE_F(small_entry,
                       answers_without_end_leave_memory_and_other_callers,
                       data::make(kForms),
                       form) {
  const std::string target = form.beginning.find(kStream) == std::string::npos
                                 ? "/safe/x"
                                 : "/resume/x";
  endless_upstream faulty(io, form);
  store.Put("servers", "u3", faulty.Entry());
  BOOST_REQUIRE(Eventually([&] {
    asio::co_spawn(io, Receive(Request("/safe/x")), asio::detached);
    return faulty.requests > 0;
  }));
  const auto calm = entry->PeakMemory();
  Flood(target);
  BOOST_TEST(ServedOthers() == kOtherRequests);
  BOOST_REQUIRE(entry->IsRunning());
  BOOST_TEST_MESSAGE(form.name << ' ' << target << ": " << faulty.requests
                               << " requests, calm " << (calm >> 20U)
                               << " MB, peak " << (entry->PeakMemory() >> 20U)
                               << " MB");
  BOOST_TEST(entry->PeakMemory() < kMemoryBytes);
}

BOOST_FIXTURE_TEST_SUITE(slow_callers, small_entry)

// Guards against an entry that ends because whole responses, each within its
// limit, wait for callers that do not read.
BOOST_AUTO_TEST_CASE(large_bodies_that_nobody_reads_leave_memory) {
  const endless_answer large{
      "whole_body",
      std::string(kOk) + "Content-Length: " + std::to_string(kLargeBody) +
          "\r\n\r\n" + std::string(kLargeBody, 'x'),
      Repeat(std::string(kWriteBytes, 'x'))};
  endless_upstream faulty(io, large);
  store.Put("servers", "u3", faulty.Entry());
  BOOST_REQUIRE(Eventually([&] {
    AskWithoutReading("/safe/x");
    return faulty.requests > 0;
  }));
  for (int i = 0; i < kUnreadRequests; ++i) {
    AskWithoutReading("/safe/x");
    io.restart();
    io.run_for(kBodyTime);
  }
  BOOST_TEST(ServedOthers() == kOtherRequests);
  BOOST_REQUIRE(entry->IsRunning());
  BOOST_TEST_MESSAGE("peak " << (entry->PeakMemory() >> 20U) << " MB");
  BOOST_TEST(entry->PeakMemory() < kMemoryBytes);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
