#ifndef NET_CONNECTION_STATE_H_
#define NET_CONNECTION_STATE_H_

#include <atomic>
#include <cstddef>

namespace mimosadeck::net::internal {

/** @brief State that a server shares with its connections. */
struct server_state {
  /** Requests that are being received or answered. */
  std::atomic<std::size_t> active{0};
  /** Connections close after the response in progress. */
  std::atomic<bool> closing{false};
  /** Connections that wait for a request close. */
  std::atomic<bool> stopping{false};
  /** The drain is over: no request is handled any more. */
  std::atomic<bool> drained{false};
};

/** @brief What a connection does, for the choice of one to close. */
enum class connection_phase {
  /** Waits for the first byte of a request, or for the delivery of its last
   * response. */
  idle,
  /** Receives a request. */
  receiving,
  /** Answers a request. */
  answering,
};

/** @brief Counts a request as active for the lifetime of this object. */
class active_request {
 public:
  explicit active_request(server_state& server) : server_(server) {
    ++server_.active;
  }
  ~active_request() { --server_.active; }
  active_request(const active_request&) = delete;
  active_request& operator=(const active_request&) = delete;

 private:
  server_state& server_;
};

}  // namespace mimosadeck::net::internal

#endif  // NET_CONNECTION_STATE_H_
