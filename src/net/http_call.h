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
 * @brief Connections that wait for their next request, by server.
 *
 * Used on one thread.
 */
class connection_cache {
 public:
  /** @param most_idle Most connections kept for each server. */
  explicit connection_cache(std::size_t most_idle);
  ~connection_cache();
  connection_cache(const connection_cache&) = delete;
  connection_cache& operator=(const connection_cache&) = delete;

  /** @brief Closes the idle connections of one server. */
  void Forget(std::string_view server);

 private:
  friend class http_call;
  struct impl;
  std::shared_ptr<impl> impl_;
};

/** @brief Where and how a call is sent. */
struct call_options {
  /** Identity of the server: connections are never shared between two. */
  std::string server;
  /** `IP:PORT`. */
  std::string address;
  std::chrono::milliseconds connect_timeout{1000};
  /** The call fails at this time, whatever it has read. */
  std::chrono::steady_clock::time_point deadline;
  /** A kept connection that was idle for longer is not used. */
  std::chrono::milliseconds longest_idle{};
};

/**
 * @brief One request to a server and its response, read piece by piece.
 *
 * The connection goes back to the cache once the response was read to its end,
 * unless the server or the framing forbids it. Only a failure to connect leaves
 * the progress at `not_sent`; after that the server may have the request.
 */
class http_call {
 public:
  http_call(connection_cache& cache, const boost::asio::any_io_executor& where);
  ~http_call();
  http_call(const http_call&) = delete;
  http_call& operator=(const http_call&) = delete;

  /** @brief Sends a request and reads the head of the response. */
  [[nodiscard]] boost::asio::awaitable<std::optional<call_failure>> Send(
      http_request request,
      call_options options);

  /**
   * @brief Drops this response, which belongs to no request of ours, and reads
   * the head of the next one on the connection.
   */
  [[nodiscard]] boost::asio::awaitable<std::optional<call_failure>>
  SkipToNext();

  [[nodiscard]] int Status() const;
  [[nodiscard]] const http_fields& Fields() const;

  /** @brief Tells whether the response is the first one on its connection. */
  [[nodiscard]] bool IsFirstOnConnection() const;

  /** @brief A piece of the body; empty at its end. */
  using piece = std::variant<std::string, call_failure>;

  /** @brief Reads the next piece; a body that breaks off is a failure. */
  [[nodiscard]] boost::asio::awaitable<piece> ReadPiece();

  /** @brief Reads what is left of the body. */
  [[nodiscard]] boost::asio::awaitable<piece> ReadBody(std::size_t most_bytes);

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
