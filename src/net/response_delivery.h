#ifndef NET_RESPONSE_DELIVERY_H_
#define NET_RESPONSE_DELIVERY_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "net/http_server.h"
#include "net/peer_watch.h"

namespace mimosadeck::net::internal {

/** @brief Follows the responses of a connection until its caller's system has
 * acknowledged them. */
class response_delivery {
 public:
  /**
   * @param address Address of the caller, for reports.
   * @param on_caller_lost Called before the connection of a caller that is
   * silent or overdue is reset.
   */
  response_delivery(boost::beast::tcp_stream& stream,
                    const server_options& settings,
                    const std::string& address,
                    std::function<void()> on_caller_lost);
  ~response_delivery() = default;
  response_delivery(const response_delivery&) = delete;
  response_delivery& operator=(const response_delivery&) = delete;

  /** @brief Sets the request that the next writes answer; see
   * `exchange::SetRequest`. */
  void SetRequest(std::string name,
                  std::chrono::steady_clock::time_point deadline);

  /** @brief Ends the deadline of the request. */
  void OnNextRequest() { deadline_ = {}; }

  /**
   * @brief Sets the time limit of a write, which includes the delivery of what
   * the system has buffered by its end.
   * @param timeout Time beyond the deadline of the request, or from now on.
   */
  void BeginWrite(std::size_t bytes, std::chrono::milliseconds timeout);

  /** @brief Reports a write that failed. */
  void EndWrite(boost::system::error_code failure);

  /** @brief Reports that the caller ended the connection before all bytes were
   * delivered; one that ends only its own direction may still get them. */
  void ReportIfUndelivered(boost::system::error_code failure) const;

  /**
   * @brief Ends the stream to the caller and waits until all bytes are
   * acknowledged or the caller is lost.
   *
   * Until then input is discarded, since a close with unread input resets the
   * connection, and the caller could lose the response.
   */
  boost::asio::awaitable<void> Finish();

 private:
  void Report(std::string reason) const;

  boost::beast::tcp_stream& stream_;
  const server_options& settings_;
  const std::string& address_;
  peer_watch watch_;
  /** Name of the last request that got one. */
  std::string request_;
  std::chrono::steady_clock::time_point deadline_;
};

}  // namespace mimosadeck::net::internal

#endif  // NET_RESPONSE_DELIVERY_H_
