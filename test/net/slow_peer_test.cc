#define BOOST_TEST_MODULE slow_peer
#include <boost/test/included/unit_test.hpp>

#include <array>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "net/address.h"
#include "net/lost_peer.h"
#include "net/net.h"

namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace net = mimosadeck::net;
using asio::ip::tcp;
using boost::system::error_code;
using mimosadeck::net_test::DropAllInput;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

/** A receive window that closes after a small part of a response. */
constexpr int kSmallWindowBytes = 4096;
/** Longer than a lost peer is waited for. */
constexpr auto kPause = 4s;
/** A lost peer is noticed within this time. */
constexpr auto kNoticeTime = 5s;
constexpr auto kTimeLimit = 20s;
constexpr std::size_t kBodyBytes = 46000;

auto Redirect(error_code& failure) {
  return asio::redirect_error(asio::use_awaitable, failure);
}

asio::awaitable<void> Sleep(milliseconds time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  co_await timer.async_wait(asio::use_awaitable);
}

/** @brief How a caller takes its response. */
struct reading {
  const char* name;
  /** Target of the request: `/whole/BYTES` or `/stream/BYTES`. */
  std::string target;
  /** Pauses before each read, the last of them before all others. */
  std::vector<milliseconds> pauses;
  std::size_t bytes_per_read{std::size_t{64} << 10U};
  /** The connection stays open after the response. */
  bool is_kept{};
  /** Sent after the request, before the response is read. */
  std::string late_input{};
};

std::ostream& operator<<(std::ostream& out, const reading& form) {
  return out << form.name;
}

std::size_t SizeOf(const std::string& target) {
  return std::stoul(target.substr(target.find_last_of('/') + 1));
}

/** A server whose responses have the size that their target states. */
struct sizing_server {
  asio::io_context io{1};
  std::vector<net::undelivered_response> undelivered;
  int disconnects{};
  /** Time that requests leave for their responses. */
  milliseconds patience{};
  net::http_server server{
      {&io},
      "127.0.0.1:0",
      Settings(),
      [this](net::http_request request, net::exchange& exchange) {
        return Serve(std::move(request), exchange);
      }};

  net::server_options Settings() {
    net::server_options out;
    out.on_undelivered = [this](const net::undelivered_response& lost) {
      undelivered.push_back(lost);
    };
    return out;
  }

  asio::awaitable<void> Serve(net::http_request request,
                              net::exchange& exchange) {
    const auto size = SizeOf(request.target);
    exchange.SetRequest(request.target, steady::now() + patience);
    exchange.OnCallerDisconnect([this] { ++disconnects; });
    if (request.target.starts_with("/whole")) {
      net::http_response out;
      out.body.assign(size, 'x');
      co_await exchange.Respond(std::move(out));
      co_return;
    }
    constexpr std::size_t kPieceBytes = 500;
    co_await exchange.BeginStream(200, {});
    bool is_taken = true;
    for (std::size_t sent = 0; sent < size && is_taken; sent += kPieceBytes) {
      is_taken = co_await exchange.WriteChunk(std::string(kPieceBytes, 'x'));
    }
    co_await exchange.EndStream();
  }

  tcp::socket Connect(int receive_bytes) {
    tcp::socket out(io, tcp::v4());
    out.set_option(asio::socket_base::receive_buffer_size(receive_bytes));
    out.connect(net::ParseEndpoint(server.Address()));
    return out;
  }

  /** Runs until a condition holds. @return Time that it took, or nothing after
   * kTimeLimit. */
  template <typename Condition>
  std::optional<milliseconds> TimeUntil(Condition holds) {
    const auto start = steady::now();
    while (steady::now() - start < kTimeLimit) {
      if (holds()) {
        return std::chrono::duration_cast<milliseconds>(steady::now() - start);
      }
      io.restart();
      io.run_for(10ms);
    }
    return std::nullopt;
  }
};

std::string AskFor(const std::string& target) {
  return "GET " + target + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
}

std::string AskOnKeptConnection(const std::string& target) {
  return "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

/** Sends a request and reads its response, to the end of the body. */
asio::awaitable<void> Take(tcp::socket caller,
                           const reading& form,
                           std::size_t& body_bytes) {
  error_code failure;
  const auto request =
      form.is_kept ? AskOnKeptConnection(form.target) : AskFor(form.target);
  co_await asio::async_write(caller, asio::buffer(request), Redirect(failure));
  if (!form.late_input.empty()) {
    co_await Sleep(500ms);
    co_await asio::async_write(caller, asio::buffer(form.late_input),
                               Redirect(failure));
  }
  std::vector<char> buffer(form.bytes_per_read);
  for (std::size_t reads = 0; !failure && body_bytes < SizeOf(form.target);
       ++reads) {
    if (!form.pauses.empty()) {
      co_await Sleep(form.pauses[std::min(reads, form.pauses.size() - 1)]);
    }
    const auto size = co_await caller.async_read_some(asio::buffer(buffer),
                                                      Redirect(failure));
    // No header of these responses has an x.
    body_bytes += std::count(buffer.begin(),
                             buffer.begin() + static_cast<long>(size), 'x');
  }
}

BOOST_FIXTURE_TEST_SUITE(callers, sizing_server)

// Guards against resets of the connections of callers that read slowly: their
// systems acknowledge all that fits and answer each probe of the window.
BOOST_AUTO_TEST_CASE(slow_callers_get_their_whole_response) {
  const auto size = std::to_string(kBodyBytes);
  const std::vector<reading> forms{
      {"pause in a whole response", "/whole/" + size, {kPause, 0ms}},
      {"pause in a stream", "/stream/" + size, {kPause, 0ms}},
      {"long pause", "/whole/" + size, {2 * kPause, 0ms}},
      {"two pauses", "/whole/" + size, {3500ms, 3500ms, 0ms}, 4096},
      {"few bytes at a time", "/whole/" + size, {100ms}, 600},
  };
  std::vector<std::size_t> taken(forms.size());
  int done = 0;
  for (std::size_t i = 0; i < forms.size(); ++i) {
    asio::co_spawn(io, Take(Connect(kSmallWindowBytes), forms[i], taken[i]),
                   [&done](std::exception_ptr) { ++done; });
  }
  BOOST_TEST(TimeUntil([&] {
               return done == static_cast<int>(forms.size());
             }).has_value());
  for (std::size_t i = 0; i < forms.size(); ++i) {
    BOOST_TEST(taken[i] == kBodyBytes, forms[i] << ": " << taken[i]);
  }
  BOOST_TEST(undelivered.empty());
}

// Guards against a time limit for the whole response: a steady caller of a
// large one takes longer, and one may pause while its request has time left.
BOOST_AUTO_TEST_CASE(callers_with_time_left_get_their_whole_response) {
  constexpr std::size_t kLargeBytes = std::size_t{9} << 20U;
  patience = 12s;
  const std::vector<reading> forms{
      {"steady",
       "/whole/" + std::to_string(kLargeBytes),
       {100ms},
       std::size_t{64} << 10U,
       true},
      {"pause",
       "/whole/" + std::to_string(kBodyBytes),
       {11s, 0ms},
       kBodyBytes,
       true},
  };
  std::array<std::size_t, 2> taken{};
  int done = 0;
  for (std::size_t i = 0; i < forms.size(); ++i) {
    const int window = i == 0 ? 1 << 20 : kSmallWindowBytes;
    asio::co_spawn(io, Take(Connect(window), forms[i], taken[i]),
                   [&done](std::exception_ptr) { ++done; });
  }
  const auto time = TimeUntil([&] { return done == 2; });
  BOOST_REQUIRE(time.has_value());
  const net::connection_limits limits;
  BOOST_TEST(time->count() > limits.body_timeout.count());
  BOOST_TEST(taken[0] == kLargeBytes);
  BOOST_TEST(taken[1] == kBodyBytes);
}

// Guards against work for callers whose machine is lost while bytes are on
// their way, and against logs that do not tell of it.
BOOST_AUTO_TEST_CASE(lost_caller_of_a_response_is_noticed) {
  auto caller = Connect(kSmallWindowBytes);
  asio::write(caller, asio::buffer(AskFor("/stream/100000000")));
  io.run_for(200ms);
  DropAllInput(caller);
  const auto noticed = TimeUntil([this] { return !undelivered.empty(); });
  BOOST_REQUIRE(noticed.has_value());
  BOOST_TEST_MESSAGE("noticed after " << noticed->count() << " ms");
  BOOST_TEST(noticed->count() < milliseconds(kNoticeTime).count());
  BOOST_TEST(undelivered.front().reason == "silent");
  BOOST_TEST(undelivered.front().request == "/stream/100000000");
  BOOST_TEST(undelivered.front().bytes > 0);
  BOOST_TEST(disconnects == 1);
}

// Guards against memory that is held for good by callers that never read, on
// connections that are kept and on those that close after their response.
BOOST_AUTO_TEST_CASE(caller_that_never_reads_is_cut_off) {
  auto kept = Connect(kSmallWindowBytes);
  asio::write(kept, asio::buffer(AskOnKeptConnection("/whole/46000")));
  auto closing = Connect(kSmallWindowBytes);
  asio::write(closing, asio::buffer(AskFor("/whole/46000")));
  const auto noticed = TimeUntil([this] { return undelivered.size() == 2; });
  BOOST_REQUIRE(noticed.has_value());
  const net::connection_limits limits;
  BOOST_TEST(noticed->count() >= limits.body_timeout.count());
  BOOST_TEST(undelivered.front().reason == "overdue");
  BOOST_TEST(undelivered.back().reason == "overdue");
}

// Guards against losing a response because the caller sends a further request
// on a connection that closes after it: unread input resets a connection.
BOOST_AUTO_TEST_CASE(late_input_leaves_the_last_response_whole) {
  const reading form{"",         "/whole/46000", {kPause / 4, 0ms},
                     kBodyBytes, false,          AskFor("/whole/1")};
  std::size_t taken = 0;
  bool is_done = false;
  asio::co_spawn(io, Take(Connect(kSmallWindowBytes), form, taken),
                 [&is_done](std::exception_ptr) { is_done = true; });
  BOOST_TEST(TimeUntil([&] { return is_done; }).has_value());
  BOOST_TEST(taken == kBodyBytes);
}

// Guards against a process that ends while the response of a slow caller is
// still on its way.
BOOST_AUTO_TEST_CASE(drain_waits_for_slow_callers) {
  const reading form{"", "/whole/46000", {kPause, 0ms}};
  std::size_t taken = 0;
  std::optional<std::size_t> remaining;
  asio::co_spawn(io, Take(Connect(kSmallWindowBytes), form, taken),
                 asio::detached);
  io.run_for(100ms);
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        remaining = co_await server.Drain(kTimeLimit);
      },
      asio::detached);
  io.run_for(kPause / 2);
  BOOST_TEST(!remaining.has_value());
  BOOST_TEST(TimeUntil([&] { return remaining && taken > 0; }).has_value());
  BOOST_TEST(remaining.value_or(1) == 0U);
  BOOST_TEST(taken == kBodyBytes);
}

BOOST_AUTO_TEST_SUITE_END()

/** A server that reads the head of a request and then waits, and a call with a
 * long body. */
struct waiting_server {
  static constexpr std::size_t kUploadBytes = std::size_t{3} << 20U;

  asio::io_context io{1};
  tcp::acceptor listener{
      io,
      {asio::ip::make_address("127.0.0.1"), asio::ip::port_type{0}}};
  net::connection_cache cache{1};
  std::optional<tcp::socket> accepted;
  std::size_t body_received{};
  std::optional<net::call_failure> failure;
  int status{};
  std::optional<milliseconds> ended_after;

  asio::awaitable<void> ServeAfter(milliseconds pause) {
    accepted = co_await listener.async_accept(asio::use_awaitable);
    std::string head;
    const auto head_bytes = co_await asio::async_read_until(
        *accepted, asio::dynamic_buffer(head), "\r\n\r\n", asio::use_awaitable);
    body_received = head.size() - head_bytes;
    co_await Sleep(pause);
    std::vector<char> buffer(std::size_t{64} << 10U);
    while (body_received < kUploadBytes) {
      body_received += co_await accepted->async_read_some(asio::buffer(buffer),
                                                          asio::use_awaitable);
    }
    constexpr std::string_view kResponse =
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    co_await asio::async_write(*accepted, asio::buffer(kResponse),
                               asio::use_awaitable);
  }

  asio::awaitable<void> Call(std::size_t body_bytes) {
    net::http_request request;
    request.method = "POST";
    request.target = "/x";
    request.body.assign(body_bytes, 'x');
    net::call_options options;
    options.address =
        "127.0.0.1:" + std::to_string(listener.local_endpoint().port());
    options.server = options.address;
    const auto start = steady::now();
    options.deadline = start + kTimeLimit;
    net::http_call call(cache, io.get_executor());
    failure = co_await call.Send(std::move(request), std::move(options));
    if (!failure) {
      status = call.Status();
    }
    ended_after =
        std::chrono::duration_cast<milliseconds>(steady::now() - start);
  }

  void Start(milliseconds pause, std::size_t body_bytes) {
    asio::co_spawn(io, ServeAfter(pause), asio::detached);
    asio::co_spawn(io, Call(body_bytes), asio::detached);
  }

  void RunToEnd() {
    while (!ended_after) {
      io.restart();
      io.run_for(20ms);
    }
  }

  void CheckNoticed() {
    RunToEnd();
    BOOST_REQUIRE(failure.has_value());
    BOOST_TEST_MESSAGE("noticed after " << ended_after->count() << " ms");
    BOOST_TEST((failure->progress == net::call_progress::sent));
    BOOST_TEST(failure->timed_out);
    BOOST_TEST(ended_after->count() < milliseconds(kNoticeTime + 1s).count());
  }
};

BOOST_FIXTURE_TEST_SUITE(upstreams, waiting_server)

// Guards against resets of connections to upstreams that read a long body
// slowly, which leaves the outcome of the request unknown.
BOOST_AUTO_TEST_CASE(upstream_that_reads_a_body_late_gets_all_of_it) {
  Start(kPause, kUploadBytes);
  RunToEnd();
  BOOST_TEST(!failure.has_value(), (failure ? failure->message : ""));
  BOOST_TEST(status == 200);
  BOOST_TEST(body_received == kUploadBytes);
}

// Guards against waiting for the time limit of a request when the upstream is
// lost while its window is closed.
BOOST_AUTO_TEST_CASE(upstream_lost_in_an_upload_is_noticed) {
  Start(kTimeLimit, kUploadBytes);
  io.run_for(1s);
  DropAllInput(*accepted);
  CheckNoticed();
}

// Guards against the same when the request was not acknowledged.
BOOST_AUTO_TEST_CASE(upstream_lost_before_the_request_is_noticed) {
  asio::co_spawn(
      io,
      [this]() -> asio::awaitable<void> {
        accepted = co_await listener.async_accept(asio::use_awaitable);
        DropAllInput(*accepted);
        // The call writes only after it has been connected.
      },
      asio::detached);
  asio::co_spawn(io, Call(8), asio::detached);
  CheckNoticed();
}

// Guards against the same when the request was acknowledged and its response
// is awaited.
BOOST_AUTO_TEST_CASE(upstream_lost_before_its_response_is_noticed) {
  Start(kTimeLimit, 8);
  io.run_for(200ms);
  DropAllInput(*accepted);
  CheckNoticed();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
