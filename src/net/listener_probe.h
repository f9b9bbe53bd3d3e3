#ifndef NET_LISTENER_PROBE_H_
#define NET_LISTENER_PROBE_H_

#include <chrono>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace mimosadeck::net {

/** @brief What a connection to an address shows of the process there. */
enum class listener_state {
  /** It takes connections and keeps them open. */
  listening,
  /** Connections are refused, or closed at once. */
  closed,
  /** No answer within the time. */
  unreachable,
};

/** @brief Times of a probe. */
struct probe_options {
  /** A round trip takes milliseconds; a lost packet costs a second. */
  std::chrono::milliseconds connect_timeout{1500};
  /** A connection that stays open for so long was not merely taken from the
   * queue of a process that has ended, or by a proxy before it. */
  std::chrono::milliseconds hold_time{50};
};

/** @brief Opens a connection, sends nothing and closes it.
 * @param address `IP:PORT`. */
[[nodiscard]] boost::asio::awaitable<listener_state> ProbeListener(
    std::string address,
    probe_options options);

}  // namespace mimosadeck::net

#endif  // NET_LISTENER_PROBE_H_
