#ifndef NET_PEER_LINK_H_
#define NET_PEER_LINK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "wire/wire.h"

namespace mimosadeck::net {

/** @brief Traffic counters of a link since its start; bytes include message
 * authentication codes. */
struct link_traffic {
  std::uint64_t messages_sent{};
  std::uint64_t bytes_sent{};
  std::uint64_t messages_received{};
  std::uint64_t bytes_received{};
  std::uint64_t messages_refused{};
  std::uint64_t messages_dropped{};
};

/**
 * @brief Sends authenticated messages between entries over ZeroMQ.
 *
 * Messages may be lost or arrive out of order. All member functions must be
 * called on the context's thread.
 */
class peer_link {
 public:
  /**
   * @brief Binds the address and starts receiving.
   * @param context Context of the control thread.
   * @param address `IP:PORT`; port 0 selects a free port.
   * @param secret Shared secret of the fleet.
   * @param on_message Called for each message whose authentication succeeds.
   * @throw std::exception if the address cannot be used.
   */
  peer_link(boost::asio::io_context& context,
            const std::string& address,
            std::string secret,
            std::function<void(wire::envelope)> on_message);
  ~peer_link();
  peer_link(const peer_link&) = delete;
  peer_link& operator=(const peer_link&) = delete;

  /** @brief Returns the bound address, as `IP:PORT`. */
  [[nodiscard]] std::string Address() const;

  /** @brief Queues a message without blocking; drops it if the queue is full.
   */
  void Send(const std::string& address, const wire::envelope& message);

  /** @brief Closes the connection to an address. */
  void Forget(const std::string& address);

  /** @brief Returns the traffic counters. */
  [[nodiscard]] link_traffic Traffic() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace mimosadeck::net

#endif  // NET_PEER_LINK_H_
