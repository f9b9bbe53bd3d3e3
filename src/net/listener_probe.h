#ifndef NET_LISTENER_PROBE_H_
#define NET_LISTENER_PROBE_H_

#include <chrono>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace mimosadeck::net {

/** @brief Result of probing the listener at an address. */
enum class listener_state {
  /** Connections are accepted and stay open. */
  listening,
  /** Connections are refused, or closed within the hold time. */
  closed,
  /** The connection attempt timed out or failed otherwise. */
  unreachable,
};

/** @brief Time limits of a probe. */
struct probe_options {
  /** Allows for one lost packet: a round trip takes milliseconds, the first
   * retransmission a second. */
  std::chrono::milliseconds connect_timeout{1500};
  /** Time for which the connection must stay open. One that was only in the
   * accept queue of a process that ended, or was accepted by a proxy in front
   * of it, is closed sooner. */
  std::chrono::milliseconds hold_time{50};
};

/**
 * @brief Checks for a listener: opens a connection, sends nothing and closes
 * it.
 * @param address `IP:PORT` to probe.
 */
[[nodiscard]] boost::asio::awaitable<listener_state> ProbeListener(
    std::string address,
    probe_options options);

}  // namespace mimosadeck::net

#endif  // NET_LISTENER_PROBE_H_
