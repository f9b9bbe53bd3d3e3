#include "net/http_call.h"

#include <charconv>
#include <deque>
#include <map>

#include <poll.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "net/address.h"
#include "net/http_fields.h"
#include "net/one_shot.h"
#include "net/peer_watch.h"
#include "net/read_buffer.h"
#include "net/response_head.h"
#include "net/socket_options.h"

namespace mimosadeck::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using steady = std::chrono::steady_clock;

namespace internal {
namespace {

constexpr unsigned kHttpVersion = 11;
constexpr std::size_t kPieceBytes = 16U * 1024U;
constexpr std::uint32_t kHeadLimitBytes = 64U * 1024U;
/** Bytes of a response that are discarded to reach the next one; opening a new
 * connection is cheaper than reading more. */
constexpr std::size_t kMaxSkippedBytes = 1U << 20U;
/** An idle connection is reused only within this fraction of the server's
 * keep-alive timeout. */
constexpr double kMaxIdleFraction = 0.7;

using request_message = http::request<http::string_body>;
using head_parser = http::response_parser<http::buffer_body>;

/** @brief A connection and its state that persists between calls. */
struct connection {
  explicit connection(const asio::any_io_executor& executor)
      : stream(executor) {}
  beast::tcp_stream stream;
  peer_watch watch{stream.socket()};
  beast::flat_buffer buffer{kReadAheadBytes};
  steady::time_point idle_since;
  /** Number of responses whose head was read. */
  std::uint64_t responses{};
  /** Idle time after which the server may close the connection. */
  std::optional<std::chrono::milliseconds> server_keep_alive_timeout;
};

/** @brief A request being written while the response is read. */
struct outgoing {
  explicit outgoing(const asio::any_io_executor& executor) : result(executor) {}
  request_message message;
  bool written{};
  /** Result of writing, once it has ended. */
  one_shot<error_code> result;
};

auto Redirect(error_code& failure) {
  return asio::redirect_error(asio::use_awaitable, failure);
}

call_failure Failure(call_progress progress, error_code failure) {
  const bool timed_out =
      failure == beast::error::timeout || failure == asio::error::timed_out;
  return {progress, timed_out, failure.message()};
}

request_message Convert(const std::string& address, http_request&& in) {
  request_message out;
  out.method_string(in.method);
  out.target(in.target);
  out.version(kHttpVersion);
  out.set(http::field::host, address);
  for (const auto& [name, value] : in.fields) {
    out.set(name, value);
  }
  out.body() = std::move(in.body);
  out.keep_alive(true);
  out.prepare_payload();
  return out;
}

std::optional<std::chrono::milliseconds> KeepAliveTimeoutOf(
    const http_fields& fields) {
  const auto found = fields.find("keep-alive");
  constexpr std::string_view kName = "timeout=";
  if (found == fields.end()) {
    return std::nullopt;
  }
  const auto at = found->second.find(kName);
  if (at == std::string::npos) {
    return std::nullopt;
  }
  unsigned seconds = 0;
  const char* first = found->second.data() + at + kName.size();
  const char* last = found->second.data() + found->second.size();
  if (std::from_chars(first, last, seconds).ec != std::errc{}) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

/** @brief Returns true if a connection can carry nothing more in either
 * direction. */
bool IsLost(tcp::socket& socket) {
  pollfd state{socket.native_handle(), 0, 0};
  return ::poll(&state, 1, 0) > 0;
}

/** @brief Returns true if the peer closed the connection or sent bytes that no
 * request asked for. */
bool HasPendingInput(connection& kept) {
  if (kept.buffer.size() > 0) {
    return true;
  }
  char byte = 0;
  error_code failure;
  kept.stream.socket().non_blocking(true, failure);
  kept.stream.socket().receive(asio::buffer(&byte, 1),
                               tcp::socket::message_peek, failure);
  return failure != asio::error::would_block;
}

}  // namespace
}  // namespace internal

struct connection_cache::impl {
  std::size_t max_idle_per_server{};
  std::size_t max_idle{};
  std::size_t idle_count{};
  std::map<std::string,
           std::deque<std::shared_ptr<internal::connection>>,
           std::less<>>
      idle;

  std::shared_ptr<internal::connection> Take(
      const std::string& server,
      std::chrono::milliseconds max_idle_time) {
    const auto found = idle.find(server);
    if (found == idle.end()) {
      return nullptr;
    }
    const auto now = steady::now();
    while (!found->second.empty()) {
      auto kept = std::move(found->second.back());
      found->second.pop_back();
      --idle_count;
      const auto idle_time = now - kept->idle_since;
      const bool is_fresh = idle_time <= max_idle_time &&
                            (!kept->server_keep_alive_timeout ||
                             idle_time < internal::kMaxIdleFraction *
                                             *kept->server_keep_alive_timeout);
      if (is_fresh && !internal::HasPendingInput(*kept)) {
        return kept;
      }
    }
    idle.erase(found);
    return nullptr;
  }

  void Put(const std::string& server,
           std::shared_ptr<internal::connection> kept) {
    if (max_idle > 0 && idle_count >= max_idle) {
      return;
    }
    auto& list = idle[server];
    kept->idle_since = steady::now();
    kept->stream.expires_never();
    list.push_back(std::move(kept));
    ++idle_count;
    if (list.size() > max_idle_per_server) {
      list.pop_front();
      --idle_count;
    }
  }

  /** @brief Closes connections that became idle before a time; each list has
   * the oldest first. */
  void CloseIdleSince(steady::time_point time) {
    for (auto& [server, list] : idle) {
      while (!list.empty() && list.front()->idle_since < time) {
        list.pop_front();
        --idle_count;
      }
    }
    std::erase_if(idle, [](const auto& item) { return item.second.empty(); });
  }
};

connection_cache::connection_cache(std::size_t max_idle_per_server,
                                   std::size_t max_idle)
    : impl_(std::make_shared<impl>()) {
  impl_->max_idle_per_server = max_idle_per_server;
  impl_->max_idle = max_idle;
}

connection_cache::~connection_cache() = default;

void connection_cache::Forget(std::string_view server) {
  const auto found = impl_->idle.find(server);
  if (found != impl_->idle.end()) {
    impl_->idle_count -= found->second.size();
    impl_->idle.erase(found);
  }
}

void connection_cache::CloseIdle(std::chrono::milliseconds max_idle_time) {
  impl_->CloseIdleSince(steady::now() - max_idle_time);
}

std::size_t connection_cache::IdleCount() const {
  return impl_->idle_count;
}

struct http_call::impl {
  std::shared_ptr<connection_cache::impl> cache;
  asio::any_io_executor executor;
  std::shared_ptr<internal::connection> connection;
  std::shared_ptr<internal::outgoing> sending;
  std::optional<internal::head_parser> parser;
  http_fields fields;
  call_options options;
  bool is_closed{};
  bool is_first_on_connection{};

  asio::awaitable<std::optional<call_failure>> Connect() {
    connection = cache->Take(options.server, options.max_idle_time);
    if (connection) {
      co_return std::nullopt;
    }
    connection = std::make_shared<internal::connection>(executor);
    const auto endpoint = ReadEndpoint(options.address);
    if (!endpoint) {
      co_return call_failure{call_progress::not_sent, false,
                             "not an address of the form IP:PORT"};
    }
    const auto now = steady::now();
    connection->stream.expires_at(
        std::min(options.deadline, now + options.connect_timeout));
    error_code failure;
    co_await connection->stream.async_connect(*endpoint,
                                              internal::Redirect(failure));
    if (failure || is_closed) {
      co_return internal::Failure(call_progress::not_sent, failure);
    }
    internal::SetConnectionOptions(connection->stream.socket());
    co_return std::nullopt;
  }

  /** Returns the failure of a call whose request may have arrived. */
  [[nodiscard]] call_failure FailureAfterSending(error_code failure) const {
    const bool is_lost = connection && connection->watch.IsLost();
    return internal::Failure(call_progress::sent,
                             is_lost ? asio::error::timed_out : failure);
  }

  /** Writes the request concurrently with reading the response, since a server
   * may respond before it has read the body. */
  static void Write(const std::shared_ptr<impl>& self) {
    self->connection->watch.OnWriteBegin();
    http::async_write(self->connection->stream, self->sending->message,
                      [connection = self->connection, sending = self->sending](
                          error_code failure, std::size_t) {
                        connection->watch.OnWriteEnd();
                        sending->written = !failure;
                        sending->result.Set(failure);
                      });
  }

  /**
   * Returns the error that ended the connection, if the end of the connection
   * is the end of the response and the server did not end its stream before.
   *
   * The system reports an error of a connection once. If the write of the
   * request gets it, the read gets the end of the stream, as after a whole
   * response. The write of a lost connection ends at once, but its handler may
   * run after that of the read. `broken_pipe` means that the server ended its
   * stream before the error.
   */
  asio::awaitable<error_code> ErrorInsteadOfEnd() {
    if (!parser->need_eof() || sending->written ||
        !internal::IsLost(connection->stream.socket())) {
      co_return error_code{};
    }
    const auto time_left = std::chrono::ceil<std::chrono::milliseconds>(
        options.deadline - steady::now());
    const auto result = co_await sending->result.Wait(time_left);
    if (!result) {
      co_return asio::error::timed_out;
    }
    co_return *result == asio::error::broken_pipe ? error_code{} : *result;
  }

  asio::awaitable<std::optional<call_failure>> ReadHead() {
    internal::response_limits limits;
    limits.head_bytes = internal::kHeadLimitBytes;
    limits.has_no_body = sending->message.method() == http::verb::head;
    const auto failure = co_await internal::ReadFinalHead(
        connection->stream, connection->buffer, parser, limits);
    if (failure || is_closed) {
      co_return FailureAfterSending(failure);
    }
    fields = internal::FieldsOf(parser->get());
    is_first_on_connection = connection->responses++ == 0;
    co_return std::nullopt;
  }

  /** Closes the connection, so that the peer cannot send any more. */
  void Abort() {
    is_closed = true;
    connection->stream.close();
  }

  void Finish() {
    const bool reusable = !is_closed && parser->get().keep_alive() &&
                          sending->written && connection->buffer.size() == 0;
    if (reusable) {
      connection->server_keep_alive_timeout =
          internal::KeepAliveTimeoutOf(fields);
      cache->Put(options.server, std::move(connection));
    }
    connection.reset();
  }
};

http_call::http_call(connection_cache& cache,
                     const asio::any_io_executor& executor)
    : impl_(std::make_shared<impl>()) {
  impl_->cache = cache.impl_;
  impl_->executor = executor;
}

http_call::~http_call() {
  Close();
}

asio::awaitable<std::optional<call_failure>> http_call::Send(
    http_request request,
    call_options options) {
  const auto self = impl_;
  self->options = std::move(options);
  if (self->is_closed) {
    co_return call_failure{call_progress::not_sent, false, "closed"};
  }
  if (auto failed = co_await self->Connect()) {
    co_return *failed;
  }
  self->sending = std::make_shared<internal::outgoing>(self->executor);
  self->sending->message =
      internal::Convert(self->options.address, std::move(request));
  self->connection->stream.expires_at(self->options.deadline);
  impl::Write(self);
  auto failed = co_await self->ReadHead();
  co_return failed;
}

asio::awaitable<std::optional<call_failure>> http_call::SkipToNextResponse() {
  const auto self = impl_;
  std::string bytes(internal::kPieceBytes, '\0');
  std::size_t skipped = 0;
  while (!self->parser->is_done()) {
    self->parser->get().body().data = bytes.data();
    self->parser->get().body().size = bytes.size();
    error_code failure;
    skipped += co_await http::async_read_some(
        self->connection->stream, self->connection->buffer, *self->parser,
        internal::Redirect(failure));
    if (self->is_closed || (failure && failure != http::error::need_buffer)) {
      co_return self->FailureAfterSending(failure);
    }
    if (skipped > internal::kMaxSkippedBytes) {
      self->Abort();
      co_return call_failure{
          call_progress::sent, false,
          "a response to another request is too large to skip"};
    }
  }
  if (!self->parser->get().keep_alive()) {
    co_return call_failure{
        call_progress::sent, false,
        "the server closed the connection after a response to another "
        "request"};
  }
  auto failed = co_await self->ReadHead();
  co_return failed;
}

int http_call::Status() const {
  return static_cast<int>(impl_->parser->get().result_int());
}

const http_fields& http_call::Fields() const {
  return impl_->fields;
}

bool http_call::IsFirstOnConnection() const {
  return impl_->is_first_on_connection;
}

bool http_call::EndsWithConnection() const {
  return impl_->parser->need_eof();
}

asio::awaitable<http_call::piece> http_call::ReadPiece() {
  const auto self = impl_;
  if (!self->connection) {
    co_return std::string{};
  }
  std::string bytes(internal::kPieceBytes, '\0');
  while (!self->parser->is_done()) {
    self->parser->get().body().data = bytes.data();
    self->parser->get().body().size = bytes.size();
    error_code failure;
    co_await http::async_read_some(self->connection->stream,
                                   self->connection->buffer, *self->parser,
                                   internal::Redirect(failure));
    if (self->is_closed || (failure && failure != http::error::need_buffer)) {
      co_return self->FailureAfterSending(failure);
    }
    const auto read = bytes.size() - self->parser->get().body().size;
    if (read > 0) {
      bytes.resize(read);
      co_return bytes;
    }
  }
  if (const auto failure = co_await self->ErrorInsteadOfEnd()) {
    co_return self->FailureAfterSending(failure);
  }
  self->Finish();
  co_return std::string{};
}

asio::awaitable<http_call::piece> http_call::ReadBody(std::size_t max_bytes) {
  std::string body;
  while (true) {
    auto next = co_await ReadPiece();
    if (auto* failed = std::get_if<call_failure>(&next)) {
      co_return std::move(*failed);
    }
    const auto& bytes = std::get<std::string>(next);
    if (bytes.empty()) {
      co_return body;
    }
    if (body.size() + bytes.size() > max_bytes) {
      Close();
      co_return call_failure{call_progress::sent, false,
                             "the response body is too large"};
    }
    body += bytes;
  }
}

void http_call::SetDeadline(steady::time_point deadline) {
  impl_->options.deadline = deadline;
  if (impl_->connection) {
    impl_->connection->stream.expires_at(deadline);
  }
}

void http_call::Close() {
  impl_->is_closed = true;
  if (impl_->connection) {
    impl_->connection->stream.close();
  }
}

}  // namespace mimosadeck::net
