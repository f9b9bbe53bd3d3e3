#ifndef NET_SOCKET_OPTIONS_H_
#define NET_SOCKET_OPTIONS_H_

#include <netinet/tcp.h>

#include <boost/asio/detail/socket_option.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace mimosadeck::net::internal {

/** Idle time before the first keep-alive probe. */
inline constexpr int kKeepAliveIdleS = 1;
/** Time between keep-alive probes. */
inline constexpr int kKeepAliveIntervalS = 1;
/** Unanswered probes after which the connection fails. */
inline constexpr int kKeepAliveProbes = 2;

/** @brief Sets TCP options so that a connection to a lost peer fails within a
 * few seconds while no bytes wait for it; peer_watch does it for the rest. Also
 * disables Nagle's algorithm. */
inline void SetConnectionOptions(boost::asio::ip::tcp::socket& socket) {
  namespace detail = boost::asio::detail::socket_option;
  using boost::asio::ip::tcp;
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.set_option(tcp::socket::keep_alive(true), ignored);
  socket.set_option(detail::integer<IPPROTO_TCP, TCP_KEEPIDLE>(kKeepAliveIdleS),
                    ignored);
  socket.set_option(
      detail::integer<IPPROTO_TCP, TCP_KEEPINTVL>(kKeepAliveIntervalS),
      ignored);
  socket.set_option(detail::integer<IPPROTO_TCP, TCP_KEEPCNT>(kKeepAliveProbes),
                    ignored);
}

}  // namespace mimosadeck::net::internal

#endif  // NET_SOCKET_OPTIONS_H_
