#ifndef NET_HTTP_SERVER_H_
#define NET_HTTP_SERVER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "net/http_types.h"
#include "net/receive_budget.h"

namespace mimosadeck::net {

/**
 * @brief Sends the response to one request.
 *
 * All member functions must be called on the thread of the connection.
 */
class exchange {
 public:
  virtual ~exchange() = default;

  /** @brief Sends a complete response. @return False if the caller
   * disconnected. */
  virtual boost::asio::awaitable<bool> Respond(http_response response) = 0;

  /** @brief Starts a chunked response. @return False if the caller
   * disconnected. */
  virtual boost::asio::awaitable<bool> BeginStream(int status,
                                                   http_fields fields) = 0;

  /** @brief Sends a chunk. @return False if the caller disconnected. */
  virtual boost::asio::awaitable<bool> WriteChunk(std::string bytes) = 0;

  /** @brief Ends a chunked response. @return False if the caller disconnected.
   */
  virtual boost::asio::awaitable<bool> EndStream() = 0;

  /** @brief Closes the connection without ending the response, so that the
   * caller cannot take an incomplete response for a complete one. */
  virtual void Abort() = 0;

  /** @brief Sets a function that is called once if the caller disconnects
   * before the response ends. */
  virtual void OnCallerDisconnect(std::function<void()> on_disconnect) = 0;

  /** @brief Sets the name of the request for `server_options::on_undelivered`,
   * and the time until which its caller may take the response, however slowly.
   */
  virtual void SetRequest(std::string name,
                          std::chrono::steady_clock::time_point deadline) = 0;

  /** @brief Returns true once a complete or chunked response was started. */
  [[nodiscard]] virtual bool HasStarted() const = 0;
};

/** @brief Handles one request. */
using http_handler =
    std::function<boost::asio::awaitable<void>(http_request, exchange&)>;

/** @brief Size and time limits of a connection. */
struct connection_limits {
  std::uint32_t header_limit_bytes{16U * 1024U};
  std::uint64_t body_limit_bytes{1U << 20U};
  /** Longest time for receiving a header. */
  std::chrono::milliseconds header_timeout{10000};
  /** Longest time for receiving a body. A caller has this time, too, to take
   * each part of a response; counted from the deadline of its request if that
   * is later, and longer for large parts. */
  std::chrono::milliseconds body_timeout{10000};
  /** Idle time after which a connection is closed. */
  std::chrono::milliseconds idle_timeout{60000};
};

/** @brief A connection that ended while bytes of responses were on their way to
 * the caller. */
struct undelivered_response {
  /** Last request of the connection that has a name; empty if there is none. */
  std::string request;
  /** Address of the caller, without the port. */
  std::string address;
  /** `silent` (the caller's system acknowledges nothing any more), `overdue`
   * (the caller did not take the bytes in time), or the system's message. */
  std::string reason;
  /** Bytes that the caller's system did not acknowledge; it had room for the
   * others, but the caller may not have read them. */
  std::uint64_t bytes{};
};

/** @brief Settings of a server. */
struct server_options {
  connection_limits limits;
  /** If set, returns the limits for each request in place of `limits`; for
   * limits that change at run time. */
  std::function<connection_limits()> current_limits;
  /** Builds the response to a request that the server itself rejects; without
   * it the connection is closed. */
  std::function<http_response(int code, const std::string& message)> refuse;
  /** Memory for requests, shared by several servers; null for no limit. */
  std::shared_ptr<class receive_budget> receive_budget;
  /** Returns the account on which the bytes of a request are counted; empty if
   * it is not known, and its caller's address is used. */
  std::function<std::string(const http_fields& fields)> owner_of;
  /** Connections that are open at a time; 0 for no limit. For a further one,
   * the connection that has been idle for longest is closed or, without an idle
   * one, that which has received nothing for longest. If all are being
   * answered, the new one is closed. */
  std::size_t max_connections{};
  /** Called when a caller is cut off to protect the process, with a reason
   * (`memory`, `framing`, `idle`, `receiving`, `refused`) and the caller's
   * address. May be called on any thread. */
  std::function<void(std::string_view reason, const std::string& address)>
      on_cut;
  /** Called for each such connection; may be called on any thread. */
  std::function<void(const undelivered_response& lost)> on_undelivered;
};

/**
 * @brief HTTP/1.1 server that distributes connections over threads.
 */
class http_server {
 public:
  /**
   * @brief Starts listening.
   * @param contexts Contexts to which connections are assigned round-robin.
   * @param address `IP:PORT`; port 0 selects a free port.
   * @param handler Called for each request, on the connection's thread.
   * @throw std::exception if the address cannot be used.
   */
  http_server(std::vector<boost::asio::io_context*> contexts,
              const std::string& address,
              server_options settings,
              http_handler handler);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /** @brief Returns the bound address, as `IP:PORT`. */
  [[nodiscard]] std::string Address() const;

  /** @brief Closes each connection after its next response, which says so. */
  void CloseAfterResponses();

  /** @brief Stops accepting connections and closes idle ones. */
  void StopAccepting();

  /**
   * @brief Stops accepting connections and waits until every request has been
   * answered, including those of which a part was received.
   *
   * No request is handled after it returns, so that the process can then exit
   * without aborting one.
   *
   * @param timeout Longest time to wait.
   * @return Number of requests still in progress after the timeout.
   */
  [[nodiscard]] boost::asio::awaitable<std::size_t> Drain(
      std::chrono::milliseconds timeout);

  /** @brief Returns the number of requests that are being received or
   * answered. */
  [[nodiscard]] std::size_t ActiveExchanges() const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace mimosadeck::net

#endif  // NET_HTTP_SERVER_H_
