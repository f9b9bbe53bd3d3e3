#ifndef NET_RESPONSE_HEAD_H_
#define NET_RESPONSE_HEAD_H_

#include <cstdint>
#include <optional>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "net/http_fields.h"

namespace mimosadeck::net::internal {

/** Interim responses (1xx) allowed before the final one; servers send one or
 * two. */
inline constexpr int kMaxInterimResponses = 8;

/** @brief Limits of a response. */
struct response_limits {
  std::uint32_t head_bytes{};
  /** Greatest body; none for no limit. */
  boost::optional<std::uint64_t> body_bytes;
  /** The request rules out a body, whatever the head states. */
  bool has_no_body{};
};

/** @brief Returns true if another response to the same request follows. 101
 * ends the use of HTTP on a connection, which no request here asks for. */
[[nodiscard]] constexpr bool IsInterimStatus(unsigned status) {
  return status >= 100 && status < 200 && status != 101;
}

[[nodiscard]] constexpr bool IsFinalStatus(unsigned status) {
  return status >= 200 && status < 600;
}

/**
 * @brief Reads the head of the next response.
 * @return `bad_field` also for a line that begins with a blank or a tab, in
 * place of the name of a field.
 */
[[nodiscard]] boost::asio::awaitable<boost::system::error_code> ReadHead(
    boost::beast::tcp_stream& stream,
    boost::beast::flat_buffer& buffer,
    boost::beast::http::basic_parser<false>& parser);

/**
 * @brief Reads the head of the final response to a request, after any interim
 * responses.
 * @param parser Receives the response; holds the head if there is no error.
 * @return `bad_status` for a status that no response to the request has,
 * `bad_transfer_encoding` for a coding besides chunks, `header_limit` for too
 * many interim responses, any other error of the connection or of parsing.
 */
template <typename Body>
[[nodiscard]] boost::asio::awaitable<boost::system::error_code> ReadFinalHead(
    boost::beast::tcp_stream& stream,
    boost::beast::flat_buffer& buffer,
    std::optional<boost::beast::http::response_parser<Body>>& parser,
    response_limits limits) {
  namespace http = boost::beast::http;
  for (int heads = 0; heads <= kMaxInterimResponses; ++heads) {
    parser.emplace();
    parser->header_limit(limits.head_bytes);
    parser->body_limit(limits.body_bytes);
    parser->skip(limits.has_no_body);
    if (const auto failure = co_await ReadHead(stream, buffer, *parser)) {
      co_return failure;
    }
    const auto status = parser->get().result_int();
    if (IsFinalStatus(status)) {
      co_return HasSupportedTransferCoding(parser->get())
          ? boost::system::error_code{}
          : make_error_code(http::error::bad_transfer_encoding);
    }
    if (!IsInterimStatus(status)) {
      co_return http::error::bad_status;
    }
  }
  co_return http::error::header_limit;
}

}  // namespace mimosadeck::net::internal

#endif  // NET_RESPONSE_HEAD_H_
