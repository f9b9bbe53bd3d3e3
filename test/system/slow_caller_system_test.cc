#define BOOST_TEST_MODULE slow_caller_system
#include <boost/test/included/unit_test.hpp>

#include <algorithm>
#include <array>
#include <deque>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include "net/address.h"
#include "system/one_entry.h"
#include "system/raw_upstream.h"
#include "system/stream_bytes.h"

namespace {

using namespace mimosadeck::system_test;
namespace net = mimosadeck::net;
using asio::ip::tcp;
using boost::system::error_code;

/** Longer than the entry waits for a lost caller. */
constexpr auto kPause = 4s;
constexpr auto kTimeLimit = 10s;
/** Receive buffer of a caller, far smaller than the answers. */
constexpr int kReceiveBytes = 4096;
constexpr std::size_t kEventBytes = 480;
constexpr std::size_t kAnswerBytes = 95 * kEventBytes;
/** More than the buffers between an upstream and a caller hold. */
constexpr std::size_t kLargeStreamBytes = std::size_t{16} << 20U;

/** Returns a stream whose events hold a number of bytes `x` in total. */
raw_reply StreamReply(std::size_t bytes) {
  std::string events;
  for (std::size_t i = 0; i * kEventBytes < bytes; ++i) {
    events += "id: " + std::to_string(i + 1) +
              "\ndata: " + std::string(kEventBytes, 'x') + "\n\n";
  }
  return {{Head(200, kEventStream + kFirstStamp + kChunked) + Chunk(events),
           kLastChunk},
          raw_ending::keep};
}

raw_reply WholeReply(std::size_t bytes) {
  return {{Head(200, kFirstStamp + Length(bytes)) + std::string(bytes, 'x')},
          raw_ending::keep};
}

entry_options PatientEntry() {
  entry_options out;
  constexpr std::chrono::seconds kStopGrace{12};
  out.stop_grace = kStopGrace;
  out.manifest = ManifestWithTimeout(kTimeLimit);
  return out;
}

/** @brief Fixture with one entry and upstreams that answer at once, before
 * callers that pause before they read. */
struct slow_callers : one_entry {
  raw_script script;
  std::deque<raw_upstream> upstreams;
  int sent{};
  int done{};
  std::vector<std::size_t> taken;

  slow_callers() : one_entry(PatientEntry()) {
    for (int i = 1; i <= 2; ++i) {
      const auto& added = upstreams.emplace_back(io, script);
      store.Put("servers", "r" + std::to_string(i), added.Entry());
    }
    store.Drop("servers", "u1");
    store.Drop("servers", "u2");
    BOOST_REQUIRE(Eventually([this] {
      const auto listed = Get(control, "/upstreams?since=0").body;
      const auto lists = [&listed](const std::string& address) {
        return listed.find(address) != std::string::npos;
      };
      return lists(upstreams[0].Address()) && lists(upstreams[1].Address()) &&
             !lists(first.Address()) && !lists(second.Address());
    }));
  }

  static std::string Bytes(const std::string& target) {
    return "POST " + target +
           " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: the-id\r\n"
           "X-Api-Key: k1\r\nX-Request-Deadline-Ms: " +
           std::to_string(std::chrono::milliseconds(kTimeLimit).count()) +
           "\r\nContent-Length: 8\r\n\r\nthe body";
  }

  tcp::socket Ask(const std::string& target) {
    tcp::socket caller(io, tcp::v4());
    caller.set_option(asio::socket_base::receive_buffer_size(kReceiveBytes));
    caller.connect(net::ParseEndpoint(callers));
    asio::write(caller, asio::buffer(Bytes(target)));
    return caller;
  }

  /** @brief Counts the bytes `x` of the body until it has a number of them. */
  asio::awaitable<void> Take(tcp::socket caller,
                             std::chrono::milliseconds pause,
                             std::size_t wanted,
                             std::size_t& count) {
    co_await mimosadeck::platform_test::Wait(pause);
    std::array<char, 65536> buffer{};
    std::string head;
    error_code failure;
    while (!failure && count < wanted) {
      const auto size = co_await caller.async_read_some(
          asio::buffer(buffer),
          asio::redirect_error(asio::use_awaitable, failure));
      const std::string_view bytes(buffer.data(), size);
      const auto body = head.find("\r\n\r\n");
      if (body == std::string::npos) {
        head += bytes;
        const auto end = head.find("\r\n\r\n");
        count = end == std::string::npos
                    ? 0
                    : std::count(head.begin() + static_cast<long>(end),
                                 head.end(), 'x');
      } else {
        count += std::count(bytes.begin(), bytes.end(), 'x');
      }
    }
  }

  /** @brief Sends a request whose caller pauses. */
  void AskSlowly(const std::string& target,
                 std::chrono::milliseconds pause,
                 std::size_t wanted,
                 std::size_t& count) {
    asio::co_spawn(io, Take(Ask(target), pause, wanted, count),
                   [this](std::exception_ptr) { ++done; });
  }

  /** @brief Plays one answer of each kind of route and a signal in the pause.
   */
  void CheckAnswersAround(int signal) {
    const std::vector<std::string> targets{"/once/x", "/resume/x", "/unsafe/x",
                                           "/safe/x"};
    std::vector<std::size_t> counts(targets.size());
    for (std::size_t i = 0; i < targets.size(); ++i) {
      const bool is_stream = i < 2;
      script.replies.push_back(is_stream ? StreamReply(kAnswerBytes)
                                         : WholeReply(kAnswerBytes));
      AskSlowly(targets[i], kPause, kAnswerBytes, counts[i]);
      BOOST_REQUIRE(
          Eventually([this, i] { return script.requests.size() == i + 1; }));
    }
    if (signal != 0) {
      entry->Signal(signal);
    }
    BOOST_TEST(
        Eventually([&] { return done == static_cast<int>(targets.size()); }));
    for (std::size_t i = 0; i < targets.size(); ++i) {
      BOOST_TEST(counts[i] == kAnswerBytes, targets[i] << ": " << counts[i]);
    }
  }
};

BOOST_FIXTURE_TEST_SUITE(pauses, slow_callers)

// Guards against answers lost because their callers do not read for a while.
BOOST_AUTO_TEST_CASE(callers_that_pause_get_whole_answers) {
  CheckAnswersAround(0);
}

// Guards against the same beside a change of the settings file.
BOOST_AUTO_TEST_CASE(callers_that_pause_beside_a_hangup_get_whole_answers) {
  CheckAnswersAround(SIGHUP);
}

// Guards against the same beside a planned stop.
BOOST_AUTO_TEST_CASE(callers_that_pause_in_a_stop_get_whole_answers) {
  CheckAnswersAround(SIGTERM);
}

// Guards against another run of a stream because its caller, not its upstream,
// is slow.
BOOST_AUTO_TEST_CASE(stream_of_a_caller_that_pauses_runs_once) {
  script.replies = {StreamReply(kLargeStreamBytes), StreamReply(kAnswerBytes)};
  std::size_t count = 0;
  AskSlowly("/resume/x", kPause, kLargeStreamBytes, count);
  BOOST_TEST(Eventually([this] { return done == 1; }));
  BOOST_TEST(script.requests.size() == 1U);
  BOOST_TEST(count >= kLargeStreamBytes);
}

// Guards against logs that call an answer served and do not tell that its
// caller did not take it.
BOOST_AUTO_TEST_CASE(answer_that_its_caller_does_not_take_is_logged) {
  script.replies = {WholeReply(kAnswerBytes)};
  auto caller = Ask("/unsafe/x");
  BOOST_REQUIRE(Eventually([this] { return !script.requests.empty(); }));
  io.run_for(500ms);
  caller.set_option(asio::socket_base::linger(true, 0));
  caller.close();
  const auto line =
      json::parse(entry->LineWith("\"response_undelivered\"")).as_object();
  BOOST_TEST(line.at("request") == "the-id");
  BOOST_TEST(line.at("reason") != "");
  BOOST_TEST(line.at("bytes") != "0");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
