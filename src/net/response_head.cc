#include "net/response_head.h"

#include <string_view>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mimosadeck::net::internal {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t kReadBytes = 64U * 1024U;

/** @brief Returns true if a line begins with a blank or a tab. The parser joins
 * such a line to the value of the field before it, whatever field it states. */
bool HasFoldedLine(std::string_view head) {
  return head.find("\r\n ") != std::string_view::npos ||
         head.find("\r\n\t") != std::string_view::npos;
}

}  // namespace

asio::awaitable<error_code> ReadHead(beast::tcp_stream& stream,
                                     beast::flat_buffer& buffer,
                                     http::basic_parser<false>& parser) {
  while (true) {
    error_code failure;
    if (buffer.size() > 0) {
      const auto received = buffer.cdata();
      // The parser takes whole fields with the lines that are joined to them.
      const auto used = parser.put(received, failure);
      const bool is_folded =
          HasFoldedLine({static_cast<const char*>(received.data()), used});
      buffer.consume(used);
      if (is_folded) {
        co_return http::error::bad_field;
      }
      if (failure != http::error::need_more) {
        co_return failure;
      }
    }
    const auto size = beast::read_size(buffer, kReadBytes);
    if (size == 0) {
      co_return http::error::buffer_overflow;
    }
    const auto space = buffer.prepare(size);
    const auto read = co_await stream.async_read_some(
        space, asio::redirect_error(asio::use_awaitable, failure));
    buffer.commit(read);
    if (failure == asio::error::eof) {
      co_return parser.got_some() ? http::error::partial_message
                                  : http::error::end_of_stream;
    }
    if (failure) {
      co_return failure;
    }
  }
}

}  // namespace mimosadeck::net::internal
