#ifndef NET_HTTP_SERVER_H_
#define NET_HTTP_SERVER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "net/http_types.h"

namespace mimosadeck::net {

/**
 * @brief One request being answered by a server.
 *
 * Every member function is called on the thread of the connection.
 */
class exchange {
 public:
  virtual ~exchange() = default;

  /** @brief Sends a whole response. @return False if the caller is gone. */
  virtual boost::asio::awaitable<bool> Respond(http_response response) = 0;

  /** @brief Starts a chunked response. @return False if the caller is gone. */
  virtual boost::asio::awaitable<bool> BeginStream(int status,
                                                   http_fields fields) = 0;

  /** @brief Sends a chunk. @return False if the caller is gone. */
  virtual boost::asio::awaitable<bool> WriteChunk(std::string bytes) = 0;

  /** @brief Ends a chunked response. @return False if the caller is gone. */
  virtual boost::asio::awaitable<bool> EndStream() = 0;

  /** @brief Closes the connection without an end, so that a response that is
   * not whole cannot pass for one. */
  virtual void CutOff() = 0;

  /** @brief Calls a function once if the caller closes before the end. */
  virtual void WatchCaller(std::function<void()> on_gone) = 0;

  /** @brief Tells whether a response, whole or chunked, was started. */
  [[nodiscard]] virtual bool HasStarted() const = 0;
};

/** @brief Answers one request. */
using http_handler =
    std::function<boost::asio::awaitable<void>(http_request, exchange&)>;

/** @brief What a caller may send, and how long it may take. */
struct connection_limits {
  std::uint32_t header_limit_bytes{16U * 1024U};
  std::uint64_t body_limit_bytes{1U << 20U};
  /** A connection that takes longer to send a header is dropped. */
  std::chrono::milliseconds header_timeout{10000};
  /** A connection that takes longer to send a body, or to take a piece of a
   * response, is dropped. */
  std::chrono::milliseconds body_timeout{10000};
  std::chrono::milliseconds idle_timeout{60000};
};

/** @brief Settings of a server. */
struct server_options {
  connection_limits limits;
  /** Replaces `limits` for each request, where limits change at run time. */
  std::function<connection_limits()> current_limits;
  /** Builds the body of an error that the server itself finds. */
  std::function<http_response(int code, const std::string& message)> refuse;
};

/**
 * @brief HTTP/1.1 server that spreads connections over threads.
 */
class http_server {
 public:
  /**
   * @brief Starts to listen.
   * @param contexts Contexts that serve connections in turn.
   * @param address `IP:PORT`; port 0 lets the system choose.
   * @param handler Called for each request, on a context's thread.
   * @throw std::exception if the address cannot be used.
   */
  http_server(std::vector<boost::asio::io_context*> contexts,
              const std::string& address,
              server_options settings,
              http_handler handler);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /** @brief Returns the address in use, as `IP:PORT`. */
  [[nodiscard]] std::string Address() const;

  /** @brief Makes each connection close after its next response. */
  void CloseAfterResponses();

  /** @brief Takes no more connections and closes those that are idle. */
  void StopAccepting();

  /**
   * @brief Takes no more connections and waits until every request that was
   * read is answered.
   *
   * Once it returns, no further request is read, so that the process may end
   * without cutting one off.
   *
   * @param longest Most time to wait.
   * @return Requests that are still being answered then.
   */
  [[nodiscard]] boost::asio::awaitable<std::size_t> Drain(
      std::chrono::milliseconds longest);

  /** @brief Returns the number of requests being answered. */
  [[nodiscard]] std::size_t ActiveExchanges() const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace mimosadeck::net

#endif  // NET_HTTP_SERVER_H_
