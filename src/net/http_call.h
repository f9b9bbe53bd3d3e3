#ifndef NET_HTTP_CALL_H_
#define NET_HTTP_CALL_H_

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "net/http_client.h"
#include "net/http_types.h"

namespace mimosadeck::net {

class http_call;

/**
 * @brief Idle connections for reuse, by server.
 *
 * Must be used on one thread.
 */
class connection_cache {
 public:
  /**
   * @param max_idle_per_server Maximum number of idle connections to a server;
   * the oldest one is closed when it is exceeded.
   * @param max_idle Maximum number of idle connections to all servers; 0 for no
   * limit. Beyond it a connection is closed instead of kept.
   */
  explicit connection_cache(std::size_t max_idle_per_server,
                            std::size_t max_idle = 0);
  ~connection_cache();
  connection_cache(const connection_cache&) = delete;
  connection_cache& operator=(const connection_cache&) = delete;

  /** @brief Closes the idle connections to a server. */
  void Forget(std::string_view server);

  /** @brief Closes the connections that have been idle for longer than a time,
   * whatever has become of their servers. */
  void CloseIdle(std::chrono::milliseconds max_idle_time);

  /** @brief Returns the number of idle connections. */
  [[nodiscard]] std::size_t IdleCount() const;

 private:
  friend class http_call;
  struct impl;
  std::shared_ptr<impl> impl_;
};

/** @brief Destination and time limits of a call. */
struct call_options {
  /** Identity of the server. A connection is reused only for the same identity,
   * even if two servers have the same address. */
  std::string server;
  /** Address of the server, `IP:PORT`. */
  std::string address;
  std::chrono::milliseconds connect_timeout{1000};
  /** Time at which the call fails, even while a response is being read. */
  std::chrono::steady_clock::time_point deadline;
  /** A connection that was idle for longer is not reused. */
  std::chrono::milliseconds max_idle_time{};
};

/**
 * @brief One request to a server and its response, which is read in pieces.
 *
 * The connection returns to the cache once the response was read completely,
 * unless the server or the framing rules that out. Only a failure to connect
 * has the progress `not_sent`; after any later failure the server may have
 * received the request.
 */
class http_call {
 public:
  http_call(connection_cache& cache,
            const boost::asio::any_io_executor& executor);
  ~http_call();
  http_call(const http_call&) = delete;
  http_call& operator=(const http_call&) = delete;

  /** @brief Sends a request and reads the head of the response. */
  [[nodiscard]] boost::asio::awaitable<std::optional<call_failure>> Send(
      http_request request,
      call_options options);

  /**
   * @brief Discards this response, which does not belong to the request, and
   * reads the head of the next one on the connection.
   */
  [[nodiscard]] boost::asio::awaitable<std::optional<call_failure>>
  SkipToNextResponse();

  [[nodiscard]] int Status() const;
  [[nodiscard]] const http_fields& Fields() const;

  /** @brief Returns true if this is the first response on its connection. */
  [[nodiscard]] bool IsFirstOnConnection() const;

  /** @brief Returns true if the body has neither a length nor chunks, so that
   * the end of the connection is its end. */
  [[nodiscard]] bool EndsWithConnection() const;

  /** @brief A piece of the body; empty at the end of the body. */
  using piece = std::variant<std::string, call_failure>;

  /** @brief Reads the next piece; an incomplete body is a failure. */
  [[nodiscard]] boost::asio::awaitable<piece> ReadPiece();

  /** @brief Reads the rest of the body; a longer one than `max_bytes` is a
   * failure. */
  [[nodiscard]] boost::asio::awaitable<piece> ReadBody(std::size_t max_bytes);

  /** @brief Replaces the time at which the call fails. */
  void SetDeadline(std::chrono::steady_clock::time_point deadline);

  /** @brief Closes the connection; pending operations fail. */
  void Close();

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace mimosadeck::net

#endif  // NET_HTTP_CALL_H_
