#define BOOST_TEST_MODULE broken_response
#include <boost/test/included/unit_test.hpp>

#include <array>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
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
namespace data = boost::unit_test::data;
namespace net = mimosadeck::net;
using asio::ip::tcp;

constexpr auto kTimeout = 2s;
/** More than the system buffers between a client and a server that does not
 * read. */
constexpr std::size_t kUploadBytes = std::size_t{16} << 20U;

/** @brief What the server does with its connection after its bytes. */
enum class ending {
  keep,
  close,
  reset,
  /** Ends its side, then reads the rest of the request. */
  shut_down,
  /** Ends its side and reads nothing more. */
  shut_down_and_wait,
  /** Ends its side, then resets the connection. */
  shut_down_and_reset,
};

/** @brief Bytes that the server writes after the head of a request. */
struct scripted_response {
  std::string bytes;
  ending end{ending::keep};
  /** Before the rest of the bytes and the end. */
  std::chrono::milliseconds pause{};
  std::string rest{};
};

/** @brief Functions of net that read a response. */
enum class reader {
  call,
  /** The handlers of the write run after those of the read. */
  queued_call,
  kept_client,
  once,
  stream,
};

constexpr std::array kReaders{reader::call, reader::queued_call,
                              reader::kept_client, reader::once,
                              reader::stream};

std::ostream& operator<<(std::ostream& out, reader which) {
  constexpr std::array kNames{"http_call", "http_call, queued", "http_client",
                              "CallOnce", "OpenStream"};
  return out << kNames[static_cast<std::size_t>(which)];
}

/** @brief Executor that queues each handler behind those that are due. */
struct queueing_executor {
  asio::io_context* io;

  // Asio requires these names.
  // NOLINTBEGIN(readability-identifier-naming)
  asio::execution_context& query(asio::execution::context_t) const noexcept {
    return *io;
  }
  static constexpr asio::execution::blocking_t query(
      asio::execution::blocking_t) noexcept {
    return asio::execution::blocking.never;
  }
  template <typename F>
  void execute(F f) const {
    asio::post(*io, std::move(f));
  }
  // NOLINTEND(readability-identifier-naming)
  bool operator==(const queueing_executor&) const noexcept = default;
};

auto Redirect(boost::system::error_code& failure) {
  return asio::redirect_error(asio::use_awaitable, failure);
}

/** @brief Server that responds with scripted bytes, one script a request. */
struct scripted_server {
  asio::io_context io{1};
  tcp::acceptor acceptor{io, {asio::ip::make_address("127.0.0.1"), 0}};
  net::connection_cache cache{4};
  std::optional<net::http_client> client{std::in_place};
  std::vector<scripted_response> scripts;
  std::size_t next{};
  std::size_t upload_bytes{};

  scripted_server() { asio::co_spawn(io, Accept(), asio::detached); }

  asio::awaitable<void> Accept() {
    while (true) {
      auto socket = co_await acceptor.async_accept(asio::use_awaitable);
      asio::co_spawn(io, Serve(std::move(socket)), asio::detached);
    }
  }

  asio::awaitable<void> Serve(tcp::socket socket) {
    boost::system::error_code failure;
    while (!failure && next < scripts.size()) {
      std::string received;
      co_await asio::async_read_until(socket, asio::dynamic_buffer(received),
                                      "\r\n\r\n", Redirect(failure));
      if (failure) {
        co_return;
      }
      const auto script = scripts[next++];
      co_await asio::async_write(socket, asio::buffer(script.bytes),
                                 Redirect(failure));
      asio::steady_timer timer(io, script.pause);
      co_await timer.async_wait(Redirect(failure));
      co_await asio::async_write(socket, asio::buffer(script.rest),
                                 Redirect(failure));
      const bool ends_side = script.end == ending::shut_down ||
                             script.end == ending::shut_down_and_wait ||
                             script.end == ending::shut_down_and_reset;
      if (ends_side) {
        socket.shutdown(tcp::socket::shutdown_send, failure);
      }
      if (script.end == ending::shut_down) {
        std::string rest;
        co_await asio::async_read(socket, asio::dynamic_buffer(rest),
                                  Redirect(failure));
        co_return;
      }
      if (script.end == ending::shut_down_and_wait) {
        timer.expires_after(2 * kTimeout);
        co_await timer.async_wait(Redirect(failure));
        co_return;
      }
      if (script.end == ending::reset ||
          script.end == ending::shut_down_and_reset) {
        socket.set_option(tcp::socket::linger(true, 0));
      }
      if (script.end != ending::keep) {
        socket.close(failure);
        co_return;
      }
    }
    // Keeps the connection open until the client closes it.
    std::string rest;
    co_await asio::async_read(socket, asio::dynamic_buffer(rest),
                              Redirect(failure));
  }

  net::http_request Request() const {
    net::http_request out;
    out.method = "POST";
    out.body = std::string(upload_bytes, 'b');
    return out;
  }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  }

  asio::awaitable<net::call_result> ReadByCall(asio::any_io_executor executor) {
    net::http_call call(cache, executor);
    net::call_options options;
    options.server = options.address = Address();
    options.deadline = std::chrono::steady_clock::now() + kTimeout;
    options.max_idle_time = kTimeout;
    auto failed = co_await call.Send(Request(), std::move(options));
    if (failed) {
      co_return *failed;
    }
    auto body = co_await call.ReadBody(kUploadBytes);
    if (const auto* broken = std::get_if<net::call_failure>(&body)) {
      co_return *broken;
    }
    co_return net::http_response{call.Status(), call.Fields(),
                                 std::get<std::string>(body)};
  }

  asio::awaitable<net::call_result> ReadByStream(net::call_limits limits) {
    auto opened = co_await net::OpenStream(Address(), Request(), limits);
    if (const auto* broken = std::get_if<net::call_failure>(&opened)) {
      co_return *broken;
    }
    const auto& stream = std::get<std::shared_ptr<net::http_stream>>(opened);
    net::http_response out{stream->Status(), stream->Fields(), {}};
    while (true) {
      auto piece = co_await stream->ReadPiece();
      if (const auto* broken = std::get_if<net::call_failure>(&piece)) {
        co_return *broken;
      }
      const auto& bytes = std::get<std::string>(piece);
      if (bytes.empty()) {
        co_return out;
      }
      out.body += bytes;
    }
  }

  asio::awaitable<net::call_result> Read(reader which) {
    const net::call_limits limits{kTimeout, kTimeout};
    switch (which) {
      case reader::call:
        return ReadByCall(io.get_executor());
      case reader::queued_call:
        return ReadByCall(queueing_executor{&io});
      case reader::kept_client:
        return client->Call(Address(), Request(), limits);
      case reader::once:
        return net::CallOnce(Address(), Request(), limits);
      case reader::stream:
        break;
    }
    return ReadByStream(limits);
  }

  /** @brief Sends the next request. */
  net::call_result Send(reader which) {
    net::call_result out;
    asio::co_spawn(io, Read(which),
                   [&](std::exception_ptr thrown, net::call_result result) {
                     BOOST_REQUIRE(!thrown);
                     out = std::move(result);
                     io.stop();
                   });
    io.restart();
    io.run();
    if (std::holds_alternative<net::call_failure>(out)) {
      BOOST_TEST(cache.IdleCount() == 0);
    }
    return out;
  }

  /** @brief Sends a request to which the server responds with a script, on a
   * new connection or on one that an earlier response left open. */
  net::call_result Play(reader which,
                        bool is_reused,
                        scripted_response response) {
    cache.Forget(Address());
    client.emplace();
    next = 0;
    scripts = {std::move(response)};
    if (is_reused) {
      const auto upload = std::exchange(upload_bytes, 0);
      scripts.insert(scripts.begin(),
                     {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"});
      BOOST_REQUIRE(std::holds_alternative<net::http_response>(Send(which)));
      upload_bytes = upload;
    }
    return Send(which);
  }
};

/** @brief Returns true if a call failed at once, with a request that may have
 * been executed. */
bool IsBroken(const net::call_result& result) {
  const auto* failed = std::get_if<net::call_failure>(&result);
  return failed && !failed->timed_out &&
         failed->progress == net::call_progress::sent;
}

bool HasBody(const net::call_result& result, const std::string& body) {
  const auto* response = std::get_if<net::http_response>(&result);
  return response && response->body == body;
}

/** @brief Fixture with requests whose body the server does not read before it
 * responds. */
struct long_upload : scripted_server {
  long_upload() { upload_bytes = kUploadBytes; }
};

BOOST_AUTO_TEST_SUITE(responses_during_an_upload)

// Guards against part of a body that passes for all of it: the response has no
// length, and the connection is reset while the request is being written. The
// system reports the reset once, to the write or to the read.
BOOST_DATA_TEST_CASE_F(long_upload,
                       response_without_length_that_is_reset_is_incomplete,
                       data::make(kReaders),
                       which) {
  for (const auto pause : {0ms, 20ms}) {
    for (const bool is_reused : {false, true}) {
      for (const auto* head : {"200 OK\r\n\r\npart", "200 OK\r\n\r\n",
                               "404 Not Found\r\n\r\npart"}) {
        BOOST_TEST_CONTEXT("pause " << pause.count() << " reused " << is_reused
                                    << " response " << head) {
          BOOST_TEST(IsBroken(
              Play(which, is_reused,
                   {"HTTP/1.1 " + std::string(head), ending::reset, pause})));
        }
      }
    }
  }
}

BOOST_DATA_TEST_CASE_F(long_upload,
                       response_that_ends_before_its_framing_is_incomplete,
                       data::make(kReaders),
                       which) {
  for (const auto* head : {"Content-Length: 9\r\n\r\npart",
                           "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"}) {
    for (const auto end : {ending::reset, ending::shut_down}) {
      BOOST_TEST(IsBroken(Play(
          which, false, {"HTTP/1.1 200 OK\r\n" + std::string(head), end})));
    }
  }
}

/** Whole responses with the body "all", in each framing. */
const std::vector<std::string> kWholeResponses{
    "HTTP/1.1 200 OK\r\n\r\nall",
    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nall",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3\r\nall\r\n0\r\n\r\n"};

// Guards against a sound early response that is taken for a broken one: the
// server ends its side after the whole body and reads the rest of the request.
BOOST_DATA_TEST_CASE_F(long_upload,
                       response_that_ends_before_its_request_is_complete,
                       data::make(kReaders) * data::make(kWholeResponses),
                       which,
                       whole) {
  for (const auto pause : {0ms, 20ms}) {
    for (const bool is_reused : {false, true}) {
      BOOST_TEST(HasBody(
          Play(which, is_reused, {whole, ending::shut_down, pause}), "all"));
    }
  }
}

// Guards against a sound early response that waits for the rest of its request.
BOOST_DATA_TEST_CASE_F(long_upload,
                       response_that_ended_does_not_wait_for_its_request,
                       data::make({reader::call, reader::queued_call}) *
                           data::make(kWholeResponses),
                       which,
                       whole) {
  BOOST_TEST(
      HasBody(Play(which, false, {whole, ending::shut_down_and_wait}), "all"));
}

// Guards against a whole response that is lost to the reset after it. Readers
// that write the whole request first never see the response.
BOOST_DATA_TEST_CASE_F(long_upload,
                       response_that_ended_before_a_reset_is_complete,
                       data::make(kReaders) * data::make(kWholeResponses),
                       which,
                       whole) {
  const bool reads_at_once =
      which == reader::call || which == reader::queued_call;
  for (const auto pause : {0ms, 20ms}) {
    for (const bool is_reused : {false, true}) {
      const auto got =
          Play(which, is_reused, {whole, ending::shut_down_and_reset, pause});
      BOOST_TEST((reads_at_once ? HasBody(got, "all") : IsBroken(got)));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(statuses)

std::string Response(const std::string& status, const std::string& body) {
  return "HTTP/1.1 " + status +
         " Status\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

/** Statuses that no response has, and 101, which no request of ours asks for.
 */
const std::vector<std::string> kInvalidStatuses{"000", "001", "099",
                                                "101", "600", "999"};

// Guards against a response with a status that does not exist which is passed
// on as an answer, or skipped like an interim response, so that its body or
// what follows it becomes the answer.
BOOST_DATA_TEST_CASE_F(scripted_server,
                       response_with_an_invalid_status_is_broken,
                       data::make(kReaders) * data::make(kInvalidStatuses),
                       which,
                       status) {
  const auto whole = Response("200", "other");
  for (const bool is_reused : {false, true}) {
    for (const auto& bytes :
         {Response(status, ""), Response(status, "ok"), Response(status, whole),
          Response(status, "") + whole,
          "HTTP/1.1 " + status + " Status\r\n\r\n" + whole}) {
      BOOST_TEST_CONTEXT("reused " << is_reused << " response " << bytes) {
        BOOST_TEST(IsBroken(Play(which, is_reused, {bytes})));
      }
    }
  }
}

// Guards against an interim response that passes for the answer.
BOOST_DATA_TEST_CASE_F(scripted_server,
                       interim_responses_are_skipped,
                       data::make(kReaders),
                       which) {
  for (const bool is_reused : {false, true}) {
    for (const auto* status : {"100", "102", "103", "199"}) {
      const auto interim =
          "HTTP/1.1 " + std::string(status) + " Status\r\n\r\n";
      BOOST_TEST(HasBody(
          Play(which, is_reused, {interim + interim + Response("200", "all")}),
          "all"));
      BOOST_TEST(IsBroken(Play(which, is_reused, {interim, ending::close})));
    }
  }
}

BOOST_DATA_TEST_CASE_F(scripted_server,
                       response_with_a_valid_status_is_read,
                       data::make(kReaders),
                       which) {
  for (const auto* status : {"200", "299", "300", "404", "500", "599"}) {
    BOOST_TEST(HasBody(Play(which, false, {Response(status, "all")}), "all"));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(field_names)

/** @brief Returns lines whose field name holds a blank or a control byte: at
 * its beginning, inside or at its end. */
std::vector<std::string> BrokenLines(const std::string& name,
                                     const std::string& value) {
  constexpr char kDelete = 127;
  std::string bytes{kDelete};
  for (char c = 0; c <= ' '; ++c) {
    bytes += c;
  }
  std::vector<std::string> out;
  for (const char c : bytes) {
    for (const auto at : {std::size_t{0}, name.size() / 2, name.size()}) {
      auto broken = name;
      broken.insert(at, 1, c);
      out.push_back(broken + ": " + value + "\r\n");
    }
  }
  return out;
}

// Guards against a head with a broken line that passes for an answer: the line
// becomes part of the field before it, or, if it states the framing, the body
// is not that of the server.
BOOST_DATA_TEST_CASE_F(scripted_server,
                       response_with_a_broken_field_name_is_broken,
                       data::make(kReaders),
                       which) {
  const std::string first = "HTTP/1.1 200 OK\r\n";
  const std::string sound = "X-Field: value\r\n";
  const std::string length = "Content-Length: 3\r\n";
  for (const bool is_reused : {false, true}) {
    for (const auto& line : BrokenLines("X-Name", "other")) {
      for (const auto& head :
           {first + line + length, first + sound + line + length,
            first + length + line,
            "HTTP/1.1 100 Continue\r\n" + sound + line + "\r\n" + first +
                length}) {
        BOOST_TEST_CONTEXT("reused " << is_reused << " head " << head) {
          BOOST_TEST(IsBroken(Play(which, is_reused, {head + "\r\nall"})));
        }
      }
    }
    for (const auto& [name, value] :
         {std::pair{"Content-Length", "3"},
          std::pair{"Transfer-Encoding", "chunked"}}) {
      for (const auto& line : BrokenLines(name, value)) {
        const auto head = first + sound + line + "\r\n";
        BOOST_TEST_CONTEXT("reused " << is_reused << " head " << head) {
          BOOST_TEST(IsBroken(
              Play(which, is_reused, {head + "all", ending::shut_down})));
        }
      }
    }
  }
}

// Guards against a head that is checked only in the pieces in which it arrives.
BOOST_DATA_TEST_CASE_F(scripted_server,
                       broken_field_name_is_found_in_a_head_that_comes_in_parts,
                       data::make(kReaders),
                       which) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nX-Field: value\r\n Content-Length: 3\r\n"
      "X-Last: value\r\n\r\n";
  for (std::size_t cut = 1; cut < head.size(); ++cut) {
    BOOST_TEST_CONTEXT("cut after " << head.substr(0, cut)) {
      BOOST_TEST(IsBroken(Play(which, false,
                               {head.substr(0, cut), ending::shut_down, 1ms,
                                head.substr(cut) + "all"})));
    }
  }
}

// Guards against a line after the last chunk that is passed on as a field.
BOOST_DATA_TEST_CASE_F(scripted_server,
                       trailer_is_not_passed_on,
                       data::make(kReaders),
                       which) {
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nall\r\n0\r\n";
  for (const auto& trailer :
       {std::string("X-Name: other\r\n"),
        std::string("X-Name: other\r\n X-Folded: other\r\n")}) {
    const auto got = Play(which, false, {chunked + trailer + "\r\n"});
    if (const auto* response = std::get_if<net::http_response>(&got)) {
      BOOST_TEST(response->body == "all");
      BOOST_TEST(!response->fields.contains("x-name"));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(framing)

// Guards against the bytes of a transfer coding that is not decoded, or of the
// chunks' framing, which pass for the body.
BOOST_DATA_TEST_CASE_F(scripted_server,
                       response_with_a_coding_besides_chunks_is_broken,
                       data::make(kReaders),
                       which) {
  for (const auto* fields :
       {"gzip", "identity", "", "xchunked", "\"chunked\"", "chunked;q=1",
        "gzip, chunked", "chunked, gzip", "chunked, chunked",
        "gzip\r\nTransfer-Encoding: chunked", "gzip\r\nContent-Length: 3"}) {
    const auto head =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + std::string(fields) +
        "\r\n\r\n";
    for (const auto* body : {"all", "3\r\nall\r\n0\r\n\r\n"}) {
      for (const bool is_reused : {false, true}) {
        BOOST_TEST_CONTEXT("reused " << is_reused << " response " << head
                                     << body) {
          BOOST_TEST(IsBroken(
              Play(which, is_reused, {head + body, ending::shut_down})));
        }
      }
    }
  }
}

BOOST_DATA_TEST_CASE_F(scripted_server,
                       name_of_the_coding_may_have_any_case,
                       data::make(kReaders),
                       which) {
  BOOST_TEST(HasBody(Play(which, false,
                          {"HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n"
                           "\r\n3\r\nall\r\n0\r\n\r\n"}),
                     "all"));
}

// Guards against a head that is not of the protocol, for which servers and
// callers may disagree on fields and body.
BOOST_DATA_TEST_CASE_F(scripted_server,
                       head_that_is_not_of_the_protocol_is_broken,
                       data::make(kReaders),
                       which) {
  const std::vector<std::string> lines{"X-Name\r\n",
                                       ": value\r\n",
                                       "X-Name: a\nX-Other: b\r\n",
                                       "X-Name: a\rX-Other: b\r\n",
                                       "X-Name: \x01\r\n",
                                       std::string("X-Name: \0\r\n", 11),
                                       "X-Name: \x7f\r\n",
                                       "X-\x80Name: a\r\n",
                                       "X-\xffName: a\r\n",
                                       "X(Name: a\r\n",
                                       "Content-Length: 4\r\n",
                                       "Content-Length: 3, 4\r\n",
                                       "Content-Length: +3\r\n",
                                       "Content-Length: 3x\r\n",
                                       "Content-Length: \r\n",
                                       "Transfer-Encoding: chunked\r\n"};
  const std::string length = "Content-Length: 3\r\n";
  for (const auto* status : {"200", "404", "503"}) {
    const auto first = "HTTP/1.1 " + std::string(status) + " Status\r\n";
    for (const auto& line : lines) {
      for (const auto& head : {first + line + length, first + length + line}) {
        BOOST_TEST_CONTEXT("head " << head) {
          BOOST_TEST(IsBroken(Play(which, false, {head + "\r\nall"})));
        }
      }
    }
  }
  for (const auto* first :
       {"HTTP/2.0 200 OK\r\n", "HTTP/1.1 200\r\n", "HTTP/1.1 20 OK\r\n",
        "HTTP/1.1 2000 OK\r\n", "HTTP/1.1  200 OK\r\n",
        "HTTP/1.1 200 O\x01K\r\n", "HTTP/1.1 200 OK\n"}) {
    BOOST_TEST_CONTEXT("first line " << first) {
      BOOST_TEST(IsBroken(Play(which, false, {first + length + "\r\nall"})));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
