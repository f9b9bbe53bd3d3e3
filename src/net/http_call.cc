#include "net/http_call.h"

#include <charconv>
#include <deque>
#include <map>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "net/address.h"
#include "net/http_fields.h"
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
/** Bytes read ahead; a head and a piece of the body fit. Framing that never
 * ends, such as that of a chunk, fails when it is full. */
constexpr std::size_t kReadAheadBytes = 4 * kHeadLimitBytes;
/** Interim responses (1xx) before the final one; servers send one or two. */
constexpr int kMostInterimResponses = 8;
/** Bytes of a response that is dropped to reach the next one; opening another
 * connection is cheaper than reading more. */
constexpr std::size_t kMostSkippedBytes = 1U << 20U;
/** A kept connection rests at most this part of the server's time. */
constexpr double kKeepAlivePart = 0.7;

using request_message = http::request<http::string_body>;
using head_parser = http::response_parser<http::buffer_body>;

/** @brief A connection, with what outlives a call on it. */
struct connection {
  explicit connection(const asio::any_io_executor& where) : stream(where) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer{kReadAheadBytes};
  steady::time_point idle_since;
  /** Responses whose head was read. */
  std::uint64_t responses{};
  /** Idle time after which the server may close it. */
  std::optional<std::chrono::milliseconds> server_idle_limit;
};

/** @brief A request being written while the response is read. */
struct outgoing {
  request_message message;
  bool written{};
};

auto Redirect(error_code& failure) {
  return asio::redirect_error(asio::use_awaitable, failure);
}

call_failure Failure(call_progress progress, error_code failure) {
  const bool is_silent =
      failure == beast::error::timeout || failure == asio::error::timed_out;
  return {progress, is_silent, failure.message()};
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

std::optional<std::chrono::milliseconds> IdleLimitOf(
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

/** @brief Tells whether the peer closed, or sent what nobody asked for. */
bool IsDirty(connection& kept) {
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
  std::size_t most_idle{};
  std::map<std::string,
           std::deque<std::shared_ptr<internal::connection>>,
           std::less<>>
      idle;

  std::shared_ptr<internal::connection> Take(
      const std::string& server,
      std::chrono::milliseconds longest_idle) {
    const auto found = idle.find(server);
    if (found == idle.end()) {
      return nullptr;
    }
    const auto now = steady::now();
    while (!found->second.empty()) {
      auto kept = std::move(found->second.back());
      found->second.pop_back();
      const auto rested = now - kept->idle_since;
      const bool is_fresh =
          rested <= longest_idle &&
          (!kept->server_idle_limit ||
           rested < internal::kKeepAlivePart * *kept->server_idle_limit);
      if (is_fresh && !internal::IsDirty(*kept)) {
        return kept;
      }
    }
    idle.erase(found);
    return nullptr;
  }

  void Put(const std::string& server,
           std::shared_ptr<internal::connection> kept) {
    auto& list = idle[server];
    kept->idle_since = steady::now();
    kept->stream.expires_never();
    list.push_back(std::move(kept));
    if (list.size() > most_idle) {
      list.pop_front();
    }
  }
};

connection_cache::connection_cache(std::size_t most_idle)
    : impl_(std::make_shared<impl>()) {
  impl_->most_idle = most_idle;
}

connection_cache::~connection_cache() = default;

void connection_cache::Forget(std::string_view server) {
  const auto found = impl_->idle.find(server);
  if (found != impl_->idle.end()) {
    impl_->idle.erase(found);
  }
}

struct http_call::impl {
  std::shared_ptr<connection_cache::impl> cache;
  asio::any_io_executor where;
  std::shared_ptr<internal::connection> line;
  std::shared_ptr<internal::outgoing> sending;
  std::optional<internal::head_parser> parser;
  http_fields fields;
  call_options options;
  bool is_closed{};
  bool is_first{};

  asio::awaitable<std::optional<call_failure>> Connect() {
    line = cache->Take(options.server, options.longest_idle);
    if (line) {
      co_return std::nullopt;
    }
    line = std::make_shared<internal::connection>(where);
    const auto now = steady::now();
    line->stream.expires_at(
        std::min(options.deadline, now + options.connect_timeout));
    error_code failure;
    const auto endpoint = ParseEndpoint(options.address);
    co_await line->stream.async_connect(endpoint, internal::Redirect(failure));
    if (failure || is_closed) {
      co_return internal::Failure(call_progress::not_sent, failure);
    }
    internal::DetectSilence(line->stream.socket());
    co_return std::nullopt;
  }

  /** Writes beside the read: a server may answer before it read the body. */
  static void Write(const std::shared_ptr<impl>& self) {
    http::async_write(
        self->line->stream, self->sending->message,
        [line = self->line, sending = self->sending](
            error_code failure, std::size_t) { sending->written = !failure; });
  }

  asio::awaitable<std::optional<call_failure>> ReadHead() {
    int heads = 0;
    do {
      if (heads++ > internal::kMostInterimResponses) {
        Drop();
        co_return call_failure{call_progress::sent, false,
                               "too many interim responses"};
      }
      parser.emplace();
      parser->body_limit(boost::none);
      parser->skip(sending->message.method() == http::verb::head);
      parser->header_limit(internal::kHeadLimitBytes);
      error_code failure;
      co_await http::async_read_header(line->stream, line->buffer, *parser,
                                       internal::Redirect(failure));
      if (failure || is_closed) {
        co_return internal::Failure(call_progress::sent, failure);
      }
    } while (parser->get().result_int() < 200);
    fields = internal::FieldsOf(parser->get());
    is_first = line->responses++ == 0;
    co_return std::nullopt;
  }

  /** Closes the connection; the peer gets no more to send. */
  void Drop() {
    is_closed = true;
    line->stream.close();
  }

  void Finish() {
    const bool reusable = !is_closed && parser->get().keep_alive() &&
                          sending->written && line->buffer.size() == 0;
    if (reusable) {
      line->server_idle_limit = internal::IdleLimitOf(fields);
      cache->Put(options.server, std::move(line));
    }
    line.reset();
  }
};

http_call::http_call(connection_cache& cache,
                     const asio::any_io_executor& where)
    : impl_(std::make_shared<impl>()) {
  impl_->cache = cache.impl_;
  impl_->where = where;
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
  self->sending = std::make_shared<internal::outgoing>();
  self->sending->message =
      internal::Convert(self->options.address, std::move(request));
  self->line->stream.expires_at(self->options.deadline);
  impl::Write(self);
  auto failed = co_await self->ReadHead();
  co_return failed;
}

asio::awaitable<std::optional<call_failure>> http_call::SkipToNext() {
  const auto self = impl_;
  std::string bytes(internal::kPieceBytes, '\0');
  std::size_t skipped = 0;
  while (!self->parser->is_done()) {
    self->parser->get().body().data = bytes.data();
    self->parser->get().body().size = bytes.size();
    error_code failure;
    skipped += co_await http::async_read_some(self->line->stream,
                                              self->line->buffer, *self->parser,
                                              internal::Redirect(failure));
    if (self->is_closed || (failure && failure != http::error::need_buffer)) {
      co_return internal::Failure(call_progress::sent, failure);
    }
    if (skipped > internal::kMostSkippedBytes) {
      self->Drop();
      co_return call_failure{call_progress::sent, false,
                             "another response is too large to skip"};
    }
  }
  if (!self->parser->get().keep_alive()) {
    co_return call_failure{call_progress::sent, false, "closed by the server"};
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
  return impl_->is_first;
}

asio::awaitable<http_call::piece> http_call::ReadPiece() {
  const auto self = impl_;
  if (!self->line) {
    co_return std::string{};
  }
  std::string bytes(internal::kPieceBytes, '\0');
  while (!self->parser->is_done()) {
    self->parser->get().body().data = bytes.data();
    self->parser->get().body().size = bytes.size();
    error_code failure;
    co_await http::async_read_some(self->line->stream, self->line->buffer,
                                   *self->parser, internal::Redirect(failure));
    if (self->is_closed || (failure && failure != http::error::need_buffer)) {
      co_return internal::Failure(call_progress::sent, failure);
    }
    const auto read = bytes.size() - self->parser->get().body().size;
    if (read > 0) {
      bytes.resize(read);
      co_return bytes;
    }
  }
  self->Finish();
  co_return std::string{};
}

asio::awaitable<http_call::piece> http_call::ReadBody(std::size_t most_bytes) {
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
    if (body.size() + bytes.size() > most_bytes) {
      Close();
      co_return call_failure{call_progress::sent, false, "body too large"};
    }
    body += bytes;
  }
}

void http_call::SetDeadline(steady::time_point deadline) {
  impl_->options.deadline = deadline;
  if (impl_->line) {
    impl_->line->stream.expires_at(deadline);
  }
}

void http_call::Close() {
  impl_->is_closed = true;
  if (impl_->line) {
    impl_->line->stream.close();
  }
}

}  // namespace mimosadeck::net
