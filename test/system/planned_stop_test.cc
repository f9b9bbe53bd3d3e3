#define BOOST_TEST_MODULE planned_stop
#include <boost/test/included/unit_test.hpp>

#include <csignal>
#include <future>
#include <thread>

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "base/base.h"
#include "net/address.h"
#include "system/deployment.h"

namespace {

using namespace std::chrono_literals;
using mimosadeck::system_test::answer;
using mimosadeck::system_test::deployment;
using mimosadeck::system_test::Eventually;
using std::chrono::steady_clock;
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
namespace net = mimosadeck::net;

/** Longest stop without requests: the entry list's time to live, then the
 * limits for handing over bookings and leases. */
constexpr auto kStopLimit = 2s + 15s + 5s;
constexpr int kFullTime = 8;

/** @brief Returns the text that an engine produces for a prompt. */
std::string ExpectedText(const std::string& prompt, int tokens) {
  const auto seed = json::serialize(
      json::array{json::object{{"role", "user"}, {"content", prompt}}});
  std::string out;
  for (int i = 0; i < tokens; ++i) {
    out += mimosadeck::Sha256Hex(seed + std::to_string(i)).substr(0, 6) + " ";
  }
  return out;
}

bool IsWhole(const answer& got, const std::string& prompt, int tokens) {
  return !got.failed && got.status == 200 &&
         json::value_to<std::string>(
             got.Json().at("choices").at(0).at("message").at("content")) ==
             ExpectedText(prompt, tokens);
}

std::string Describe(const answer& got) {
  return got.failed
             ? "no answer"
             : std::to_string(got.status) + " " + got.body.substr(0, 160);
}

std::string ChatBody(const std::string& prompt, int tokens) {
  return json::serialize(json::object{
      {"model", "notes-small"},
      {"max_tokens", tokens},
      {"messages",
       json::array{json::object{{"role", "user"}, {"content", prompt}}}}});
}

/** @brief A caller's connection, which is used for several requests. */
class open_connection {
 public:
  explicit open_connection(const std::string& address) {
    socket_.connect(net::ParseEndpoint(address));
    timeval limit{kReadLimitSeconds, 0};
    setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit,
               sizeof(limit));
  }

  /** @brief Sends a part of a request. @return False if it failed. */
  [[nodiscard]] bool Send(const std::string& bytes) {
    boost::system::error_code failure;
    asio::write(socket_, asio::buffer(bytes), failure);
    return !failure;
  }

  /** @brief Receives a response. */
  [[nodiscard]] answer Receive() {
    http::response<http::string_body> in;
    boost::system::error_code failure;
    http::read(socket_, buffer_, in, failure);
    answer out;
    out.failed = failure.failed();
    out.status = static_cast<int>(in.result_int());
    out.body = in.body();
    keeps_open = !out.failed && in.keep_alive();
    return out;
  }

  /** The last response did not announce the connection's end. */
  bool keeps_open{true};

 private:
  static constexpr int kReadLimitSeconds = 30;

  asio::io_context io_;
  asio::ip::tcp::socket socket_{io_};
  beast::flat_buffer buffer_;
};

std::string ChatHead(const std::string& key, std::size_t body_size) {
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\n"
         "Authorization: Bearer " +
         key + "\r\nX-Request-Class: draft\r\nContent-Length: " +
         std::to_string(body_size) + "\r\n\r\n";
}

struct running_deployment {
  deployment fleet;
  std::string key = fleet.IssueKey("saint-louis");
  std::string entry = fleet.Entries().front();

  std::future<answer> ChatAsync(const std::string& at,
                                int tokens,
                                const std::string& prompt) {
    return std::async(std::launch::async, [=, this] {
      return fleet.Chat(at, key, tokens, prompt, "draft");
    });
  }

  std::future<answer> BookAsync(const std::string& at,
                                const std::string& name) {
    return std::async(std::launch::async,
                      [=, this] { return fleet.Book(at, key, name, name); });
  }

  void SetServices(const std::string& message) {
    for (const std::string data_centre : {"dakar-a", "dakar-b", "dakar-c"}) {
      fleet.ControlUpstream("seats-" + data_centre, message);
    }
  }

  /** @brief Expects an entry to end by itself, with the status of success. */
  void ExpectEnd(const std::string& id, steady_clock::duration limit) {
    const bool ended =
        Eventually(std::chrono::duration_cast<std::chrono::milliseconds>(limit),
                   [&] { return !fleet.EntryProcess(id).IsRunning(); });
    BOOST_TEST_REQUIRE(ended, id << " still runs");
    BOOST_TEST(fleet.EntryProcess(id).Wait() == 0);
  }
};

BOOST_FIXTURE_TEST_SUITE(planned_stop, running_deployment)

// Guards against requests that are still arriving when the listener stops and
// are read, but end without an answer because the process exits.
BOOST_AUTO_TEST_CASE(request_arriving_as_listener_stops_is_answered) {
  constexpr int kCallers = 12;
  constexpr int kTokens = 150;
  const auto began = steady_clock::now();
  std::vector<std::future<answer>> pending;
  for (int i = 0; i < kCallers; ++i) {
    pending.push_back(std::async(std::launch::async, [=, this] {
      const auto body = ChatBody("late " + std::to_string(i), kTokens);
      open_connection connection(fleet.CallerAddress(entry));
      const bool head_sent = connection.Send(ChatHead(key, body.size()) +
                                             body.substr(0, body.size() / 2));
      std::this_thread::sleep_until(began + 500ms + 2020ms + i * 30ms);
      const bool rest_sent = connection.Send(body.substr(body.size() / 2));
      auto got = connection.Receive();
      got.failed |= !head_sent || !rest_sent;
      return got;
    }));
  }
  std::this_thread::sleep_until(began + 500ms);
  fleet.EntryProcess(entry).Signal(SIGTERM);
  for (int i = 0; i < kCallers; ++i) {
    const auto got = pending[static_cast<std::size_t>(i)].get();
    BOOST_TEST(!got.failed, i << ": " << Describe(got));
    const bool whole_or_refused =
        IsWhole(got, "late " + std::to_string(i), kTokens) ||
        got.Executed() == "no";
    BOOST_TEST(whole_or_refused, i << ": " << Describe(got));
  }
  ExpectEnd(entry, kStopLimit);
}

// Guards against connections that close without notice after an answer, so that
// the caller's next request on them is lost.
BOOST_AUTO_TEST_CASE(callers_on_open_connections_are_told_before_they_close) {
  constexpr int kCallers = 6;
  constexpr int kTokens = 5;
  std::vector<std::future<std::string>> pending;
  const auto began = steady_clock::now();
  for (int i = 0; i < kCallers; ++i) {
    pending.push_back(std::async(std::launch::async, [=, this] {
      open_connection connection(fleet.CallerAddress(entry));
      for (int j = 0; connection.keeps_open; ++j) {
        const auto body = ChatBody(
            "open " + std::to_string(i) + "/" + std::to_string(j), kTokens);
        const bool sent = connection.Send(ChatHead(key, body.size()) + body);
        const auto got = connection.Receive();
        if (!sent || got.failed) {
          return "request " + std::to_string(j) + " got no answer";
        }
        if (steady_clock::now() - began > 1s + kStopLimit) {
          return std::string("the connection is never closed");
        }
      }
      return std::string();
    }));
  }
  std::this_thread::sleep_until(began + 1s);
  fleet.EntryProcess(entry).Signal(SIGTERM);
  for (auto& one : pending) {
    const auto problem = one.get();
    BOOST_TEST(problem.empty(), problem);
  }
  ExpectEnd(entry, kStopLimit);
}

// Guards against an answer to a request read before the stop that promises an
// open connection and is followed by its end.
BOOST_AUTO_TEST_CASE(answer_in_stop_to_earlier_request_announces_the_close) {
  constexpr int kTokens = 100;
  const auto body = ChatBody("read before", kTokens);
  open_connection connection(fleet.CallerAddress(entry));
  BOOST_TEST(connection.Send(ChatHead(key, body.size()) + body));
  std::this_thread::sleep_for(300ms);
  fleet.EntryProcess(entry).Signal(SIGTERM);
  const auto got = connection.Receive();
  BOOST_TEST(IsWhole(got, "read before", kTokens), Describe(got));
  BOOST_TEST(!connection.keeps_open);
}

// Guards against a signal that follows a drain command being taken for a second
// signal, which ends the process at once.
BOOST_AUTO_TEST_CASE(signal_after_drain_command_cuts_no_request) {
  auto stream = ChatAsync(entry, 500, "drained");
  std::this_thread::sleep_for(300ms);
  BOOST_TEST(fleet.CallOperator(entry, "POST", "/admin/v1/drain").status < 300);
  std::this_thread::sleep_for(300ms);
  fleet.EntryProcess(entry).Signal(SIGTERM);
  const auto got = stream.get();
  BOOST_TEST(IsWhole(got, "drained", 500), Describe(got));
  ExpectEnd(entry, kStopLimit);
}

// Guards against a booking that a second signal cuts off being run twice or
// reported as not run.
BOOST_AUTO_TEST_CASE(second_signal_ends_at_once_and_booking_is_not_run_again) {
  SetServices(R"({"work_ms":3000})");
  auto booking = BookAsync(entry, "twice told");
  const bool running =
      Eventually(5s, [&] { return fleet.CountRuns("twice told") == 1; });
  fleet.EntryProcess(entry).Signal(SIGTERM);
  std::this_thread::sleep_for(300ms);
  fleet.EntryProcess(entry).Signal(SIGTERM);
  ExpectEnd(entry, 1s);
  const auto got = booking.get();
  BOOST_TEST((got.failed || got.Executed() == "unknown"), Describe(got));
  const auto again =
      fleet.Book(fleet.Entries().back(), key, "twice told", "twice told");
  BOOST_TEST((again.status == 200 || again.Executed() == "unknown"),
             Describe(again));
  BOOST_TEST(running);
  BOOST_TEST(fleet.CountRuns("twice told") == 1);
}

// Guards against a crash when the process exits with requests in progress on
// several threads.
BOOST_AUTO_TEST_CASE(
    second_signal_with_requests_in_progress_exits_with_success) {
  constexpr int kCallers = 8;
  std::vector<std::future<answer>> pending;
  for (int i = 0; i < kCallers; ++i) {
    pending.push_back(ChatAsync(entry, 500, "cut " + std::to_string(i)));
  }
  const auto body = ChatBody("half sent", 1);
  std::vector<std::unique_ptr<open_connection>> half_sent;
  for (int i = 0; i < kCallers; ++i) {
    half_sent.push_back(
        std::make_unique<open_connection>(fleet.CallerAddress(entry)));
    BOOST_TEST(half_sent.back()->Send(ChatHead(key, body.size()) + "{"));
  }
  std::this_thread::sleep_for(500ms);
  fleet.EntryProcess(entry).Signal(SIGTERM);
  std::this_thread::sleep_for(2300ms);
  fleet.EntryProcess(entry).Signal(SIGTERM);
  ExpectEnd(entry, 1s);
  for (auto& one : pending) {
    BOOST_TEST(one.get().failed);
  }
}

// Guards against a stop that never ends because the entry has not joined yet.
BOOST_AUTO_TEST_CASE(signal_just_after_start_entry_ends_by_itself) {
  fleet.EntryProcess(entry).Signal(SIGTERM);
  ExpectEnd(entry, kStopLimit);
  for (int i = 0; i < 3; ++i) {
    fleet.StartEntry(entry, "dakar-a");
    std::this_thread::sleep_for(i * 100ms);
    fleet.EntryProcess(entry).Signal(SIGTERM);
    ExpectEnd(entry, kStopLimit);
  }
  fleet.StartEntry(entry, "dakar-a");
  const bool serves = Eventually(
      10s, [&] { return fleet.Chat(entry, key, 5, "again").status == 200; });
  BOOST_TEST(serves);
}

void ExpectStopsCutNothing(running_deployment& self,
                           const std::vector<std::string>& stopped,
                           steady_clock::duration between) {
  constexpr int kTokens = 400;
  self.SetServices(R"({"work_ms":1500})");
  std::vector<std::future<answer>> streams;
  std::vector<std::future<answer>> bookings;
  const auto names = [](const std::string& id, int i) {
    return id + " seat " + std::to_string(i);
  };
  for (const auto& id : stopped) {
    streams.push_back(self.ChatAsync(id, kTokens, "early at " + id));
    bookings.push_back(self.BookAsync(id, names(id, 0)));
  }
  std::this_thread::sleep_for(400ms);
  const auto began = steady_clock::now();
  for (const auto& id : stopped) {
    self.fleet.EntryProcess(id).Signal(SIGTERM);
    std::this_thread::sleep_for(between);
  }
  std::this_thread::sleep_until(began + 1500ms);
  for (const auto& id : stopped) {
    streams.push_back(self.ChatAsync(id, kTokens, "late at " + id));
    bookings.push_back(self.BookAsync(id, names(id, 1)));
  }
  for (std::size_t i = 0; i < streams.size(); ++i) {
    const auto got = streams[i].get();
    const auto prompt = (i < stopped.size() ? "early at " : "late at ") +
                        stopped[i % stopped.size()];
    BOOST_TEST(IsWhole(got, prompt, kTokens), prompt << ": " << Describe(got));
  }
  for (std::size_t i = 0; i < bookings.size(); ++i) {
    const auto got = bookings[i].get();
    const auto& at = stopped[i % stopped.size()];
    const auto name = names(at, i < stopped.size() ? 0 : 1);
    BOOST_TEST(got.status == 200, name << ": " << Describe(got));
    BOOST_TEST(self.fleet.CountRuns(name) == 1, name);
  }
  for (const auto& id : stopped) {
    self.ExpectEnd(id, kStopLimit);
  }
}

// Guards against a stop that cuts requests because another entry, which held
// their slots or bookings, stops too.
BOOST_AUTO_TEST_CASE(two_entries_stopped_at_once_cut_no_request) {
  ExpectStopsCutNothing(*this, {fleet.Entries()[0], fleet.Entries()[1]}, 0ms);
}

BOOST_AUTO_TEST_CASE(two_entries_stopped_one_after_the_other_cut_no_request) {
  ExpectStopsCutNothing(*this, {fleet.Entries()[0], fleet.Entries()[1]}, 700ms);
}

// Guards against requests that are refused because no entry is left that may
// own the pools of upstreams.
BOOST_AUTO_TEST_CASE(all_entries_stopped_at_once_cut_no_request) {
  ExpectStopsCutNothing(*this, fleet.Entries(), 0ms);
}

// Guards against a stop that ends before a stream accepted late in it.
BOOST_AUTO_TEST_CASE(long_stream_accepted_late_in_stop_is_whole) {
  constexpr int kTokens = kFullTime * 100;
  const auto began = steady_clock::now();
  fleet.EntryProcess(entry).Signal(SIGTERM);
  std::this_thread::sleep_until(began + 1700ms);
  auto stream = ChatAsync(entry, kTokens, "long and late");
  const auto got = stream.get();
  BOOST_TEST(IsWhole(got, "long and late", kTokens), Describe(got));
  BOOST_TEST((steady_clock::now() - began >= std::chrono::seconds(kFullTime)));
  ExpectEnd(entry, kStopLimit);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
