#include "net/listener_probe.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "net/address.h"

namespace mimosadeck::net {

namespace asio = boost::asio;
namespace beast = boost::beast;

asio::awaitable<listener_state> ProbeListener(std::string address,
                                              probe_options options) {
  const auto endpoint = ReadEndpoint(address);
  if (!endpoint) {
    co_return listener_state::unreachable;
  }
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  boost::system::error_code failure;
  stream.expires_after(options.connect_timeout);
  co_await stream.async_connect(
      *endpoint, asio::redirect_error(asio::use_awaitable, failure));
  if (failure) {
    const bool is_refused = failure == asio::error::connection_refused ||
                            failure == asio::error::connection_reset;
    co_return is_refused ? listener_state::closed : listener_state::unreachable;
  }
  stream.expires_after(options.hold_time);
  char byte = 0;
  co_await stream.async_read_some(
      asio::buffer(&byte, 1),
      asio::redirect_error(asio::use_awaitable, failure));
  const bool stayed_open = !failure || failure == beast::error::timeout;
  co_return stayed_open ? listener_state::listening : listener_state::closed;
}

}  // namespace mimosadeck::net
