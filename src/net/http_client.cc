#include "net/http_client.h"

#include <vector>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "net/address.h"
#include "net/read_buffer.h"
#include "net/response_head.h"

namespace mimosadeck::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace internal {
namespace {

constexpr unsigned kHttpVersion = 11;
constexpr std::size_t kPieceBytes = 16U * 1024U;
constexpr std::uint32_t kHeadLimitBytes = 8U * 1024U;

auto Redirect(error_code& failure) {
  return asio::redirect_error(asio::use_awaitable, failure);
}

call_failure Failure(call_progress progress, error_code failure) {
  return {progress, failure == beast::error::timeout, failure.message()};
}

http::request<http::string_body> Convert(const std::string& address,
                                         http_request&& in,
                                         bool keep_alive) {
  http::request<http::string_body> out;
  out.method_string(in.method);
  out.target(in.target);
  out.version(kHttpVersion);
  out.set(http::field::host, address);
  for (const auto& [name, value] : in.fields) {
    out.set(name, value);
  }
  out.body() = std::move(in.body);
  out.keep_alive(keep_alive);
  out.prepare_payload();
  return out;
}

template <typename Message>
http_fields FieldsOf(const Message& message) {
  http_fields out;
  for (const auto& field : message) {
    std::string name(field.name_string());
    for (char& c : name) {
      c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    out[name] = std::string(field.value());
  }
  return out;
}

asio::awaitable<error_code> Connect(beast::tcp_stream& stream,
                                    const std::string& address,
                                    std::chrono::milliseconds timeout) {
  const auto endpoint = ReadEndpoint(address);
  if (!endpoint) {
    co_return asio::error::invalid_argument;
  }
  error_code failure;
  stream.expires_after(timeout);
  co_await stream.async_connect(*endpoint, Redirect(failure));
  if (!failure) {
    error_code ignored;
    stream.socket().set_option(tcp::no_delay(true), ignored);
  }
  co_return failure;
}

/** @brief Sends a request. @return The failure, if any. */
asio::awaitable<std::optional<call_failure>> Send(
    beast::tcp_stream& stream,
    const http::request<http::string_body>& request,
    std::chrono::milliseconds timeout) {
  error_code failure;
  stream.expires_after(timeout);
  const std::size_t sent =
      co_await http::async_write(stream, request, Redirect(failure));
  if (!failure) {
    co_return std::nullopt;
  }
  co_return Failure(sent == 0 && failure != beast::error::timeout
                        ? call_progress::not_sent
                        : call_progress::sent,
                    failure);
}

struct pooled_connection {
  explicit pooled_connection(const asio::any_io_executor& executor)
      : stream(executor) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer{kReadAheadBytes};
  bool reusable{false};
};

asio::awaitable<call_result> Exchange(pooled_connection& connection,
                                      std::string address,
                                      http_request request,
                                      call_limits limits,
                                      bool keep_alive) {
  const auto message = Convert(address, std::move(request), keep_alive);
  if (auto failed = co_await Send(connection.stream, message,
                                  limits.inactivity_timeout)) {
    co_return *failed;
  }
  std::optional<http::response_parser<http::string_body>> parser;
  response_limits sizes;
  sizes.head_bytes = kHeadLimitBytes;
  sizes.body_bytes = limits.body_bytes;
  connection.stream.expires_after(limits.inactivity_timeout);
  auto failure = co_await ReadFinalHead(connection.stream, connection.buffer,
                                        parser, sizes);
  if (failure) {
    co_return Failure(call_progress::sent, failure);
  }
  // Taken now, because the parser adds a trailer to them.
  auto fields = FieldsOf(parser->get());
  co_await http::async_read(connection.stream, connection.buffer, *parser,
                            Redirect(failure));
  if (failure) {
    co_return Failure(call_progress::sent, failure);
  }
  auto response = parser->release();
  // Bytes after the response belong to no request of this client.
  connection.reusable = response.keep_alive() && connection.buffer.size() == 0;
  co_return http_response{static_cast<int>(response.result_int()),
                          std::move(fields), std::move(response.body())};
}

/** @brief Returns true if the server closed an idle connection or sent
 * unexpected bytes. */
bool IsStale(pooled_connection& connection) {
  char byte = 0;
  error_code failure;
  connection.stream.socket().non_blocking(true, failure);
  connection.stream.socket().receive(asio::buffer(&byte, 1),
                                     tcp::socket::message_peek, failure);
  return failure != asio::error::would_block;
}

}  // namespace
}  // namespace internal

struct http_stream::impl {
  explicit impl(const asio::any_io_executor& executor) : stream(executor) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer{internal::kReadAheadBytes};
  std::optional<http::response_parser<http::buffer_body>> parser;
  http_fields fields;
  call_limits limits;
};

http_stream::http_stream() = default;
http_stream::~http_stream() = default;

int http_stream::Status() const {
  return static_cast<int>(impl_->parser->get().result_int());
}

const http_fields& http_stream::Fields() const {
  return impl_->fields;
}

void http_stream::Close() {
  error_code ignored;
  impl_->stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
  impl_->stream.socket().close(ignored);
}

asio::awaitable<http_stream::piece> http_stream::ReadPiece() {
  auto& parser = *impl_->parser;
  std::string bytes(internal::kPieceBytes, '\0');
  while (!parser.is_done()) {
    parser.get().body().data = bytes.data();
    parser.get().body().size = bytes.size();
    error_code failure;
    impl_->stream.expires_after(impl_->limits.inactivity_timeout);
    co_await http::async_read_some(impl_->stream, impl_->buffer, parser,
                                   internal::Redirect(failure));
    if (failure && failure != http::error::need_buffer) {
      co_return internal::Failure(call_progress::sent, failure);
    }
    const std::size_t read = bytes.size() - parser.get().body().size;
    if (read > 0) {
      bytes.resize(read);
      co_return bytes;
    }
  }
  co_return std::string{};
}

asio::awaitable<open_result> OpenStream(std::string address,
                                        http_request request,
                                        call_limits limits) {
  auto opened = std::make_shared<http_stream>();
  opened->impl_ =
      std::make_unique<http_stream::impl>(co_await asio::this_coro::executor);
  auto& impl = *opened->impl_;
  impl.limits = limits;
  if (const auto failure =
          co_await internal::Connect(impl.stream, address, limits.connect)) {
    co_return internal::Failure(call_progress::not_sent, failure);
  }
  const auto message = internal::Convert(address, std::move(request), false);
  if (auto failed = co_await internal::Send(impl.stream, message,
                                            limits.inactivity_timeout)) {
    co_return *failed;
  }
  internal::response_limits sizes;
  sizes.head_bytes = internal::kHeadLimitBytes;
  impl.stream.expires_after(limits.inactivity_timeout);
  if (const auto failure = co_await internal::ReadFinalHead(
          impl.stream, impl.buffer, impl.parser, sizes)) {
    co_return internal::Failure(call_progress::sent, failure);
  }
  impl.fields = internal::FieldsOf(impl.parser->get());
  co_return opened;
}

asio::awaitable<call_result> CallOnce(std::string address,
                                      http_request request,
                                      call_limits limits) {
  internal::pooled_connection connection(co_await asio::this_coro::executor);
  if (const auto failure = co_await internal::Connect(
          connection.stream, address, limits.connect)) {
    co_return internal::Failure(call_progress::not_sent, failure);
  }
  auto result = co_await internal::Exchange(connection, address,
                                            std::move(request), limits, false);
  co_return result;
}

struct http_client::impl {
  std::map<std::string,
           std::vector<std::unique_ptr<internal::pooled_connection>>>
      idle;
};

http_client::http_client() : impl_(std::make_unique<impl>()) {}
http_client::~http_client() = default;

asio::awaitable<call_result> http_client::Call(std::string address,
                                               http_request request,
                                               call_limits limits) {
  auto& idle = impl_->idle[address];
  std::unique_ptr<internal::pooled_connection> connection;
  while (!idle.empty() && !connection) {
    connection = std::move(idle.back());
    idle.pop_back();
    if (internal::IsStale(*connection)) {
      connection.reset();
    }
  }
  if (!connection) {
    connection = std::make_unique<internal::pooled_connection>(
        co_await asio::this_coro::executor);
    if (const auto failure = co_await internal::Connect(
            connection->stream, address, limits.connect)) {
      co_return internal::Failure(call_progress::not_sent, failure);
    }
  }
  auto result = co_await internal::Exchange(*connection, address,
                                            std::move(request), limits, true);
  if (std::holds_alternative<http_response>(result) && connection->reusable) {
    connection->stream.expires_never();
    impl_->idle[address].push_back(std::move(connection));
  }
  co_return result;
}

}  // namespace mimosadeck::net
