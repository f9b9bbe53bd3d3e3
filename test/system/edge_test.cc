#define BOOST_TEST_MODULE edge
#include <boost/test/included/unit_test.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "net/address.h"
#include "system/one_entry.h"

namespace {

using namespace std::chrono_literals;
using mimosadeck::platform_test::WholeStream;
using namespace mimosadeck::system_test;
namespace net = mimosadeck::net;

BOOST_FIXTURE_TEST_SUITE(requests, one_entry)

BOOST_AUTO_TEST_CASE(request_arrives_unchanged_for_the_keys_account) {
  const auto got = Call("/safe/x?y=1");
  BOOST_TEST(got.status == 200);
  BOOST_REQUIRE(RunCount() == 1);
  const auto& seen = first.runs.empty() ? second.runs[0] : first.runs[0];
  const auto& run = seen.request;
  BOOST_TEST(got.fields.at("x-server-stamp") == seen.stamp);
  BOOST_TEST(got.body == mimosadeck::platform_test::WholeBody(
                             run.fields.at("x-request-id"), seen.stamp));
  BOOST_TEST(run.target == "/safe/x?y=1");
  BOOST_TEST(run.body == "the body");
  BOOST_TEST(run.fields.at("x-tenant") == "parish");
  BOOST_TEST(!run.fields.contains("x-api-key"));
  BOOST_TEST(std::stoi(run.fields.at("x-request-deadline-ms")) <= 2500);
}

BOOST_AUTO_TEST_CASE(unauthorized_request_is_refused_with_its_reason) {
  BOOST_TEST(Call("/safe/x", "").status == 401);
  BOOST_TEST(Call("/safe/x", "k9").status == 401);
  BOOST_TEST(Call("/none/x").status == 404);
  auto nameless = Request("/safe/x");
  nameless.fields.erase("x-request-id");
  BOOST_TEST(Send(callers, nameless).status == 400);
  BOOST_TEST(RunCount() == 0);
}

BOOST_AUTO_TEST_CASE(idempotent_request_that_failed_runs_at_another_upstream) {
  SetAnswers(answer::failure);
  BOOST_TEST(Call("/safe/x").status == 500);
  BOOST_TEST(first.runs.size() == 1);
  BOOST_TEST(second.runs.size() == 1);
}

BOOST_AUTO_TEST_CASE(booking_whose_connection_broke_is_not_sent_again) {
  SetAnswers(answer::broken);
  BOOST_TEST(Call("/unsafe/x").status == 502);
  BOOST_TEST(RunCount() == 1);
}

BOOST_AUTO_TEST_CASE(booking_that_ran_gets_no_status_that_means_not_executed) {
  SetAnswers(answer::busy);
  BOOST_TEST(Call("/unsafe/x").status == 502);
  BOOST_TEST(RunCount() == 1);
}

BOOST_AUTO_TEST_CASE(booking_refused_by_every_upstream_is_not_run) {
  SetAnswers(answer::not_run);
  const auto got = Call("/unsafe/x");
  BOOST_TEST(got.status == 503);
  BOOST_TEST(got.fields.contains("retry-after"));
  BOOST_TEST(RunCount() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

/** @brief Fixture with a caller that writes raw bytes to a connection. */
struct raw_caller : one_entry {
  boost::asio::ip::tcp::socket socket{io};

  void Connect() { socket.connect(net::ParseEndpoint(callers)); }

  void Write(const std::string& bytes) {
    boost::system::error_code ignored;
    boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
  }

  /** @brief Reads until the connection closes or the time has passed. */
  std::string Read(std::chrono::milliseconds time) {
    std::string out;
    const auto end = std::chrono::steady_clock::now() + time;
    socket.non_blocking(true);
    while (std::chrono::steady_clock::now() < end) {
      std::array<char, 4096> buffer{};
      boost::system::error_code failure;
      const auto size = socket.read_some(boost::asio::buffer(buffer), failure);
      out.append(buffer.data(), size);
      if (failure && failure != boost::asio::error::would_block) {
        break;
      }
      io.restart();
      io.run_for(5ms);
    }
    return out;
  }

  static std::string Head(const std::string& extra_fields) {
    return "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\n"
           "X-Request-Id: outer\r\nX-Api-Key: k1\r\n" +
           extra_fields + "\r\n";
  }

  static std::string Inner() {
    return "POST /unsafe/y HTTP/1.1\r\nHost: h.example\r\n"
           "X-Request-Id: inner\r\nX-Api-Key: k1\r\n"
           "Content-Length: 0\r\n\r\n";
  }

  bool RanInner() const {
    for (const auto* upstream : {&first, &second}) {
      for (const auto& run : upstream->runs) {
        if (run.request.fields.at("x-request-id") == "inner") {
          return true;
        }
      }
    }
    return false;
  }
};

BOOST_FIXTURE_TEST_SUITE(raw_connections, raw_caller)

BOOST_AUTO_TEST_CASE(request_smuggled_by_ambiguous_framing_does_not_run) {
  const std::vector<std::string> framings{
      "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
      "Content-Length: 4\r\nContent-Length: 40\r\n",
      "Content-Length: +4\r\n",
      "Transfer-Encoding: identity, chunked\r\nContent-Length: 4\r\n",
      "Transfer-Encoding : chunked\r\n",
      "Content-Length: 4 4\r\n",
  };
  for (const auto& framing : framings) {
    socket = boost::asio::ip::tcp::socket(io);
    Connect();
    Write(Head(framing) + "0\r\n\r\n" + Inner());
    const auto got = Read(300ms);
    BOOST_TEST_CONTEXT(framing) {
      BOOST_TEST(!RanInner());
      BOOST_TEST(got.find(" 200 ") == std::string::npos);
    }
  }
}

BOOST_AUTO_TEST_CASE(request_inside_a_body_does_not_run) {
  Connect();
  Write(Head("Content-Length: " + std::to_string(Inner().size()) + "\r\n") +
        Inner());
  std::string got;
  BOOST_TEST(Eventually([&] {
    got += Read(20ms);
    return got.find(" 200 ") != std::string::npos;
  }));
  BOOST_TEST(!RanInner());
  BOOST_TEST(RunCount() == 1);
}

BOOST_AUTO_TEST_CASE(caller_that_never_reads_does_not_block_other_callers) {
  SetAnswers(answer::slow_stream);
  std::vector<boost::asio::ip::tcp::socket> unread;
  for (int i = 0; i < 20; ++i) {
    auto& connection = unread.emplace_back(io);
    connection.connect(net::ParseEndpoint(callers));
    boost::asio::write(
        connection,
        boost::asio::buffer("POST /once/x HTTP/1.1\r\nHost: h.example\r\n"
                            "X-Request-Id: lazy-" +
                            std::to_string(i) +
                            "\r\nX-Api-Key: k1\r\n"
                            "Content-Length: 0\r\n\r\n"));
  }
  BOOST_REQUIRE(Eventually([this] { return RunCount() >= 8; }));
  SetAnswers(answer::good);
  BOOST_TEST(Call("/safe/x").status == 200);
}

BOOST_AUTO_TEST_CASE(incomplete_request_is_not_forwarded) {
  Connect();
  Write(Head("Content-Length: 40\r\n") + "half");
  static_cast<void>(Read(200ms));
  socket.close();
  BOOST_TEST(Call("/safe/x").status == 200);
  BOOST_TEST(RunCount() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(streams, one_entry)

BOOST_AUTO_TEST_CASE(stream_is_forwarded_completely) {
  SetAnswers(answer::stream);
  const auto got = Call("/once/x");
  BOOST_TEST(got.complete);
  BOOST_TEST(got.body == WholeStream(LastId()));
}

BOOST_AUTO_TEST_CASE(
    stream_broken_inside_an_event_resumes_at_another_upstream) {
  SetAnswers(answer::broken_stream);
  const auto got = Call("/resume/x");
  BOOST_TEST(got.complete);
  BOOST_TEST(got.body == WholeStream(LastId()));
  BOOST_TEST(RunCount() == 2);
}

// Guards against an unterminated event that fills the entry's memory until the
// request times out.
BOOST_AUTO_TEST_CASE(stream_with_an_unterminated_event_is_aborted) {
  constexpr std::size_t kMaxBytesRead = 16U << 20U;
  SetAnswers(answer::endless_event);
  BOOST_TEST(Call("/once/x").status == 502);
  BOOST_TEST(first.endless_bytes + second.endless_bytes < kMaxBytesRead);
  SetAnswers(answer::good);
  BOOST_TEST(Call("/safe/x").status == 200);
}

BOOST_AUTO_TEST_CASE(broken_stream_that_cannot_resume_does_not_look_complete) {
  SetAnswers(answer::broken_stream);
  const auto got = Call("/once/x");
  BOOST_TEST(!got.complete);
  BOOST_TEST(
      got.body.ends_with(mimosadeck::platform_test::StreamEvent(LastId(), 3)));
  BOOST_TEST(RunCount() == 1);
}

BOOST_AUTO_TEST_CASE(
    stream_with_bytes_but_no_event_resumes_at_another_upstream) {
  SetAnswers(answer::stalled_stream);
  const auto got = Call("/resume/x");
  BOOST_TEST(got.complete);
  BOOST_TEST(got.body == WholeStream(LastId()));
  BOOST_TEST(RunCount() == 2);
}

BOOST_AUTO_TEST_CASE(stalled_stream_that_cannot_resume_ends_at_its_deadline) {
  SetAnswers(answer::stalled_stream);
  const auto began = std::chrono::steady_clock::now();
  const auto got = Call("/once/x");
  BOOST_TEST(!got.complete);
  BOOST_TEST((std::chrono::steady_clock::now() - began >= 2400ms));
  BOOST_TEST(
      got.body.ends_with(mimosadeck::platform_test::StreamEvent(LastId(), 2)));
  BOOST_TEST(RunCount() == 1);
}

BOOST_AUTO_TEST_CASE(slow_stream_with_steady_events_is_not_cut_off) {
  first.slow_pause = second.slow_pause = 400ms;
  SetAnswers(answer::slow_stream);
  for (const auto* route : {"/resume/x", "/once/x"}) {
    auto request = Request(route);
    request.fields["x-request-deadline-ms"] = "2950";
    const auto got = Send(callers, request);
    BOOST_TEST(got.complete);
    BOOST_TEST(got.body == WholeStream(LastId()));
  }
  BOOST_TEST(RunCount() == 2);
}

BOOST_AUTO_TEST_CASE(caller_disconnect_cancels_the_upstream_request) {
  SetAnswers(answer::slow_stream);
  {
    net::http_call call(cache, io.get_executor());
    bool began = false;
    auto work = [&]() -> asio::awaitable<void> {
      net::call_options options;
      options.server = options.address = callers;
      options.deadline = std::chrono::steady_clock::now() + kWaitTimeout;
      auto request = Request("/once/x");
      static_cast<void>(
          co_await call.Send(std::move(request), std::move(options)));
      began = true;
    };
    auto body = work();
    asio::co_spawn(io, std::move(body), asio::detached);
    BOOST_REQUIRE(Eventually([&] { return began; }));
    call.Close();
  }
  BOOST_TEST(
      Eventually([this] { return first.caller_left || second.caller_left; }));
}

BOOST_AUTO_TEST_SUITE_END()

/** Longer than a stream whose upstreams pause for longer than callers wait. */
constexpr auto kSilentStreamLimit = 15s;

struct entry_with_long_timeouts : one_entry {
  entry_with_long_timeouts()
      : one_entry({4s, ManifestWithTimeout(kSilentStreamLimit)}) {
    call_timeout = kSilentStreamLimit;
  }
};

BOOST_FIXTURE_TEST_SUITE(silent_upstreams, entry_with_long_timeouts)

// Guards against ending a resumable stream because its upstream is silent when
// no attempt is left that could continue it.
BOOST_AUTO_TEST_CASE(silent_stream_on_its_last_attempt_is_not_cut_off) {
  first.slow_pause = second.slow_pause = 2100ms;
  SetAnswers(answer::slow_stream);
  auto request = Request("/resume/x");
  request.fields["x-request-deadline-ms"] =
      std::to_string(std::chrono::milliseconds(kSilentStreamLimit).count());
  const auto got = Send(callers, request);
  BOOST_TEST(got.complete);
  BOOST_TEST(got.body == WholeStream(LastId()));
  BOOST_TEST(RunCount() == 2);
}

// Guards against ending a resumable stream because its upstream is silent when
// no other upstream could continue it.
BOOST_AUTO_TEST_CASE(silent_stream_without_another_upstream_is_not_cut_off) {
  store.Drop("servers", "u2");
  BOOST_TEST(Eventually([this] {
    return Get(control, "/upstreams?since=0").body.find("u2") ==
           std::string::npos;
  }));
  first.slow_pause = 2100ms;
  SetAnswers(answer::slow_stream);
  auto request = Request("/resume/x");
  request.fields["x-request-deadline-ms"] =
      std::to_string(std::chrono::milliseconds(kSilentStreamLimit).count());
  const auto got = Send(callers, request);
  BOOST_TEST(got.complete);
  BOOST_TEST(got.body == WholeStream(LastId()));
  BOOST_TEST(RunCount() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(changes, one_entry)

BOOST_AUTO_TEST_CASE(withdrawn_key_stops_working) {
  BOOST_TEST(Call("/safe/x").status == 200);
  store.Put("op", "config", Manifest(2, "k2"));
  BOOST_TEST(Eventually([this] { return Call("/safe/x").status == 401; }));
  BOOST_TEST(Call("/safe/x", "k2").status == 200);
}

BOOST_AUTO_TEST_CASE(older_manifest_is_never_applied) {
  store.Put("op", "config", Manifest(5, "k2"));
  BOOST_TEST(Eventually([this] { return Call("/safe/x").status == 401; }));
  store.Put("op", "config", Manifest(4, "k1"));
  io.restart();
  io.run_for(500ms);
  BOOST_TEST(Call("/safe/x", "k2").status == 200);
  BOOST_TEST(Call("/safe/x", "k1").status == 401);
}

BOOST_AUTO_TEST_CASE(large_manifest_is_served_as_changes_since_a_version) {
  constexpr int kRoutes = 1500;
  constexpr std::size_t kSmall = 1000;
  const auto manifest = LargeManifest(2, "k1", kRoutes);
  store.Put("op", "config", manifest);
  BOOST_TEST(Eventually([this] { return Call("/more-7/x").status == 200; }));
  store.Put("op", "config", LargeManifest(3, "k2", kRoutes));
  BOOST_TEST(
      Eventually([this] { return Call("/more-7/x", "k2").status == 200; }));
  const auto since_first = Get(control, "/manifest?since=0");
  BOOST_TEST(since_first.status == 200);
  BOOST_TEST(since_first.body.size() < manifest.size() / 4);
  const auto since_second = Get(control, "/manifest?since=2");
  BOOST_TEST(since_second.status == 200);
  BOOST_TEST(since_second.body.size() < kSmall);
  BOOST_TEST(!since_second.body.empty());
}

BOOST_AUTO_TEST_CASE(draining_upstream_gets_no_new_work) {
  store.Put("servers", "u1", first.Entry("draining"));
  io.restart();
  io.run_for(800ms);
  first.runs.clear();
  for (int i = 0; i < 6; ++i) {
    BOOST_TEST(Call("/safe/x").status == 200);
  }
  BOOST_TEST(first.runs.empty());
}

BOOST_AUTO_TEST_CASE(upstream_that_announces_leaving_gets_no_new_work) {
  store.fault = mimosadeck::platform_test::store_fault::reset;
  first.leaving = true;
  while (first.arrivals == 0) {
    BOOST_TEST(Call("/safe/x").status == 200);
  }
  for (int i = 0; i < 10; ++i) {
    const auto got = Call("/unsafe/x");
    BOOST_TEST(got.status == 200);
    BOOST_TEST(!got.fields.contains("server-leaving"));
  }
  BOOST_TEST(first.arrivals == 1);
}

BOOST_AUTO_TEST_CASE(stream_of_a_leaving_upstream_continues) {
  first.leaving = second.leaving = true;
  SetAnswers(answer::slow_stream);
  const auto got = Call("/once/x");
  BOOST_TEST(got.complete);
  BOOST_TEST(got.body == WholeStream(LastId()));
}

BOOST_AUTO_TEST_CASE(next_incarnation_of_an_upstream_that_left_gets_work) {
  first.leaving = second.leaving = true;
  BOOST_TEST(Eventually([this] { return Call("/safe/x").status == 503; }));
  first.leaving = false;
  first.ChangeId("u1");
  store.Put("servers", "u1", first.Entry("ready"));
  BOOST_TEST(Eventually([this] { return Call("/safe/x").status == 200; }));
}

BOOST_AUTO_TEST_CASE(refusal_that_announces_leaving_marks_the_upstream) {
  first.leaving = second.leaving = true;
  SetAnswers(answer::not_run);
  BOOST_TEST(Call("/unsafe/x").status == 503);
  BOOST_TEST(Call("/unsafe/x").status == 503);
  BOOST_TEST(first.arrivals == 1);
  BOOST_TEST(second.arrivals == 1);
}

BOOST_AUTO_TEST_CASE(upstream_that_asks_for_a_pause_gets_no_work_during_it) {
  first.refusal_retry_after = "1.5";
  first.next = answer::not_run;
  while (first.arrivals == 0) {
    BOOST_TEST(Call("/safe/x").status == 200);
  }
  const auto until = std::chrono::steady_clock::now() + 1400ms;
  while (std::chrono::steady_clock::now() < until) {
    BOOST_TEST(Call("/unsafe/x").status == 200);
  }
  BOOST_TEST(first.arrivals == 1);
  first.next = answer::good;
  second.next = answer::not_run;
  BOOST_TEST(Eventually([this] { return Call("/safe/x").status == 200; }));
  BOOST_TEST(first.arrivals == 2);
}

BOOST_AUTO_TEST_CASE(refused_caller_gets_the_shortest_pause_as_retry_after) {
  first.refusal_retry_after = "30";
  second.refusal_retry_after = "3";
  SetAnswers(answer::not_run);
  BOOST_TEST(Call("/unsafe/x").status == 503);
  const auto got = Call("/unsafe/x");
  BOOST_TEST(got.status == 503);
  const auto wait = std::stod(got.fields.at("retry-after"));
  BOOST_TEST(wait > 2.5);
  BOOST_TEST(wait < 4);
  BOOST_TEST(first.arrivals + second.arrivals == 2);
}

BOOST_AUTO_TEST_CASE(
    entry_restarted_without_the_store_accepts_no_withdrawn_key) {
  BOOST_TEST(Call("/safe/x").status == 200);
  store.Put("op", "config", Manifest(2, "k2"));
  store.Drop("servers", "u1");
  store.fault = mimosadeck::platform_test::store_fault::reset;
  entry.reset();
  std::filesystem::remove(settings);
  Start();
  first.arrivals = second.arrivals = 0;
  for (const auto* key : {"k1", "k2"}) {
    const auto got = Call("/safe/x", key);
    BOOST_TEST(got.status == 503);
    BOOST_TEST(got.fields.contains("retry-after"));
  }
  BOOST_TEST(Get(ready, "/v1/ready").status == 503);
  store.fault = mimosadeck::platform_test::store_fault::none;
  BOOST_TEST(
      Eventually([this] { return Call("/safe/x", "k2").status == 200; }));
  BOOST_TEST(Call("/safe/x", "k1").status == 401);
  BOOST_TEST(first.arrivals == 0);
}

BOOST_AUTO_TEST_CASE(answer_without_an_id_on_a_used_connection_is_not_trusted) {
  store.Drop("servers", "u2");
  BOOST_TEST(Eventually([this] {
    return Get(control, "/upstreams?since=0").body.find("u2") ==
           std::string::npos;
  }));
  BOOST_TEST(Call("/safe/x").status == 200);
  first.omits_request_id = true;
  BOOST_TEST(Call("/unsafe/x").status == 502);
}

BOOST_AUTO_TEST_CASE(unreachable_store_does_not_stop_traffic) {
  store.fault = mimosadeck::platform_test::store_fault::reset;
  io.restart();
  io.run_for(1s);
  BOOST_TEST(Call("/unsafe/x").status == 200);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(stopping, one_entry)

BOOST_AUTO_TEST_CASE(planned_stop_completes_streams_and_unlists_the_entry) {
  SetAnswers(answer::slow_stream);
  net::http_response response;
  bool complete = false;
  bool done = false;
  auto work = Exchange(callers, Request("/once/x"), response, complete);
  asio::co_spawn(io, std::move(work),
                 [&done](std::exception_ptr) { done = true; });
  BOOST_REQUIRE(Eventually([this] { return RunCount() == 1; }));
  entry->Signal(SIGTERM);
  BOOST_TEST(
      Eventually([this] { return Get(ready, "/v1/ready").status == 503; }));
  BOOST_TEST(Get(directory, "/v1/resolve?name=h&zone=a").status == 503);
  BOOST_TEST(Eventually([&] { return done; }));
  BOOST_TEST(complete);
  BOOST_TEST(response.body == WholeStream(LastId()));
  BOOST_TEST(Eventually([this] { return !entry->IsRunning(); }));
}

BOOST_AUTO_TEST_CASE(settings_reload_does_not_interrupt_streams) {
  SetAnswers(answer::slow_stream);
  net::http_response response;
  bool complete = false;
  bool done = false;
  auto work = Exchange(callers, Request("/once/x"), response, complete);
  asio::co_spawn(io, std::move(work),
                 [&done](std::exception_ptr) { done = true; });
  BOOST_REQUIRE(Eventually([this] { return RunCount() == 1; }));
  entry->Signal(SIGHUP);
  BOOST_TEST(Eventually([&] { return done; }));
  BOOST_TEST(complete);
  BOOST_TEST(entry->IsRunning());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
