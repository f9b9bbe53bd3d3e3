#ifndef NET_HTTP_CLIENT_H_
#define NET_HTTP_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "net/http_types.h"

namespace mimosadeck::net {

/** @brief Whether the request of a failed call was sent. */
enum class call_progress {
  /** No byte of the request was sent. */
  not_sent,
  /** Bytes were sent; the server may have executed the request. */
  sent,
};

/** @brief A call without a complete response. */
struct call_failure {
  call_progress progress{call_progress::not_sent};
  /** True if the call failed by timeout, not by a closed connection. */
  bool timed_out{};
  std::string message;
};

/** @brief A complete response, or the failure. */
using call_result = std::variant<http_response, call_failure>;

/** Greatest body of a response, unless a call states another limit. */
inline constexpr std::uint64_t kDefaultBodyLimitBytes = std::uint64_t{16}
                                                        << 20U;

/** @brief Limits of a call. A response that exceeds them is a failure. */
struct call_limits {
  std::chrono::milliseconds connect{1000};
  /** Longest time for writing the request, then for reading each part of the
   * response that is awaited at once. */
  std::chrono::milliseconds inactivity_timeout{2000};
  /** Greatest body that is read as a whole; streams have no limit. */
  std::uint64_t body_bytes{kDefaultBodyLimitBytes};
};

/** @brief A response whose body is read in pieces. */
class http_stream {
 public:
  http_stream();
  ~http_stream();
  http_stream(const http_stream&) = delete;
  http_stream& operator=(const http_stream&) = delete;

  /** @brief A piece of the body; empty at the end of the body. */
  using piece = std::variant<std::string, call_failure>;

  /** @brief Returns the status code. */
  [[nodiscard]] int Status() const;

  /** @brief Returns the header fields. */
  [[nodiscard]] const http_fields& Fields() const;

  /** @brief Reads the next piece; an incomplete body is a failure. */
  [[nodiscard]] boost::asio::awaitable<piece> ReadPiece();

  /** @brief Closes the connection; a pending read fails. */
  void Close();

 private:
  friend boost::asio::awaitable<
      std::variant<std::shared_ptr<http_stream>, call_failure>>
      OpenStream(std::string, http_request, call_limits);
  struct impl;
  std::unique_ptr<impl> impl_;
};

/** @brief An open response, or the failure. */
using open_result = std::variant<std::shared_ptr<http_stream>, call_failure>;

/**
 * @brief Sends a request on a new connection and reads the header of
 * the response.
 * @param address `IP:PORT` of the server.
 * @param request Request to send.
 * @param limits Time limits.
 */
[[nodiscard]] boost::asio::awaitable<open_result>
OpenStream(std::string address, http_request request, call_limits limits);

/**
 * @brief Sends a request on a new connection and reads the response.
 */
[[nodiscard]] boost::asio::awaitable<call_result> CallOnce(std::string address,
                                                           http_request request,
                                                           call_limits limits);

/**
 * @brief Client that reuses connections between calls.
 *
 * Must be used on one thread.
 */
class http_client {
 public:
  http_client();
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /**
   * @brief Sends a request on an idle connection, or on a new one.
   * @warning Requests are never retried. After a failure with progress `sent`
   * the request may have been executed.
   */
  [[nodiscard]] boost::asio::awaitable<call_result> Call(std::string address,
                                                         http_request request,
                                                         call_limits limits);

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace mimosadeck::net

#endif  // NET_HTTP_CLIENT_H_
