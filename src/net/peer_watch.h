#ifndef NET_PEER_WATCH_H_
#define NET_PEER_WATCH_H_

#include <functional>
#include <memory>

#include <boost/asio/ip/tcp.hpp>

#include "base/time.h"

namespace mimosadeck::net::internal {

struct watched_peer;

/** @brief Why a connection was given up. */
enum class loss_reason {
  /** The peer's system acknowledges nothing any more. */
  silent,
  /** The peer did not take what was written in time. */
  overdue,
};

/**
 * @brief Watches the peer of a connection while bytes wait for it.
 *
 * TCP_USER_TIMEOUT cannot be used instead: the system applies it also to peers
 * that acknowledge every probe of their closed receive window, and so ends the
 * connections of slow readers. Keep-alive probes find a lost peer only while
 * no bytes wait.
 *
 * The connection of a lost peer is reset, so that nothing that was written to
 * it arrives later.
 *
 * Must be used on the thread of the socket's context, and be destroyed before
 * the socket.
 */
class peer_watch {
 public:
  /** @param on_lost Called once, before the connection is reset. */
  explicit peer_watch(boost::asio::ip::tcp::socket& socket,
                      std::function<void(loss_reason)> on_lost = {});
  ~peer_watch();
  peer_watch(const peer_watch&) = delete;
  peer_watch& operator=(const peer_watch&) = delete;

  /** @brief Watches until the write has ended and all its bytes are
   * acknowledged.
   * @param deliver_until Time at which the peer must have taken all of it. */
  void OnWriteBegin(mono_time deliver_until = mono_time::max());

  void OnWriteEnd();

  /** @brief Returns true if the connection was reset. */
  [[nodiscard]] bool IsLost() const;

 private:
  std::shared_ptr<watched_peer> impl_;
};

}  // namespace mimosadeck::net::internal

#endif  // NET_PEER_WATCH_H_
