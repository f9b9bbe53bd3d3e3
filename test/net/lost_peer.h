#ifndef TEST_NET_LOST_PEER_H_
#define TEST_NET_LOST_PEER_H_

#include <linux/filter.h>
#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

namespace mimosadeck::net_test {

/** @brief Lets the system drop all that arrives for a connection, so that its
 * peer sees a lost machine. A process that stops reading, or a proxy, would not
 * do, since its system goes on to acknowledge. */
inline void DropAllInput(boost::asio::ip::tcp::socket& socket) {
  sock_filter drop_all{BPF_RET | BPF_K, 0, 0, 0};
  const sock_fprog program{1, &drop_all};
  BOOST_REQUIRE(setsockopt(socket.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER,
                           &program, sizeof(program)) == 0);
}

}  // namespace mimosadeck::net_test

#endif  // TEST_NET_LOST_PEER_H_
