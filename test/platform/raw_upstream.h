#ifndef TEST_PLATFORM_RAW_UPSTREAM_H_
#define TEST_PLATFORM_RAW_UPSTREAM_H_

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace mimosadeck::platform_test {

/** @brief Bytes that a raw upstream writes after a pause. */
struct raw_write {
  std::string bytes;
  std::chrono::milliseconds pause{0};
  /** Resets the connection after the bytes. */
  bool resets{};
};

using raw_script = std::vector<raw_write>;

/** @brief A request that a raw upstream received. */
struct raw_request {
  std::string id;
  std::string target;
  /** Position on its connection; 1 for the first request. */
  int number{};
};

/**
 * @brief Stand-in for a faulty upstream: writes scripted bytes on its
 * connections, whether or not they are a response to a request.
 */
class raw_upstream {
 public:
  explicit raw_upstream(boost::asio::io_context& io);

  /** @brief Returns the value of the store row that registers the upstream. */
  [[nodiscard]] std::string Entry() const;

  /** Requests to an upstream with another id are refused with 421. */
  std::string id;

  /** Writes on a new connection, before any request arrives. */
  std::function<raw_script()> on_accept;
  /** Writes after the head of a request, before its body was read. */
  std::function<raw_script(const raw_request&)> on_head;
  /** Writes after a whole request was read. */
  std::function<raw_script(const raw_request&)> on_request;
  std::vector<raw_request> received;
  /** Number of connections that carried a request and that the peer closed. */
  int closed_by_peer{};

 private:
  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(boost::asio::ip::tcp::socket socket);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
};

/** @brief Returns a response in wire format with a `content-length`. */
[[nodiscard]] std::string RawResponse(const std::string& status_line,
                                      const std::string& fields,
                                      const std::string& body);

/** @brief Returns a response which states that the request was not run. */
[[nodiscard]] std::string RawRefusal(const std::string& status_line,
                                     const std::string& fields);

}  // namespace mimosadeck::platform_test

#endif  // TEST_PLATFORM_RAW_UPSTREAM_H_
