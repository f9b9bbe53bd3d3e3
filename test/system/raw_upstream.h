#ifndef TEST_SYSTEM_RAW_UPSTREAM_H_
#define TEST_SYSTEM_RAW_UPSTREAM_H_

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>

#include "platform/wait.h"

namespace mimosadeck::system_test {

/** @brief What a raw upstream does with the connection after its bytes. */
enum class raw_ending { close, reset, keep };

/** @brief Bytes that a raw upstream sends as its response. */
struct raw_reply {
  /** Written one after the other, with a short pause between them. */
  std::vector<std::string> parts;
  raw_ending ending{raw_ending::close};
};

/** @brief Replies of all upstreams together: one for each request, in order of
 * arrival. */
struct raw_script {
  std::vector<raw_reply> replies;
  /** Heads of the requests that arrived. */
  std::vector<std::string> requests;
};

/** @brief Upstream that answers requests with the bytes of a script, whether
 * they are a valid response or not. */
class raw_upstream {
 public:
  raw_upstream(boost::asio::io_context& io, raw_script& script)
      : script_(script),
        listener_(io,
                  {boost::asio::ip::make_address("127.0.0.1"),
                   boost::asio::ip::port_type{0}}) {
    boost::asio::co_spawn(io, Accept(), boost::asio::detached);
  }

  /** @brief Returns the `IP:PORT` that the upstream listens on. */
  [[nodiscard]] std::string Address() const {
    return "127.0.0.1:" + std::to_string(listener_.local_endpoint().port());
  }

  /** @brief Returns the value of the store row that registers the upstream. */
  [[nodiscard]] std::string Entry() const {
    constexpr int kSlots = 4;
    return boost::json::serialize(boost::json::object{{"service", "pool"},
                                                      {"address", Address()},
                                                      {"zone", "a"},
                                                      {"version", "v1"},
                                                      {"slots", kSlots},
                                                      {"state", "ready"},
                                                      {"cold_left_ms", 0},
                                                      {"seq", 1},
                                                      {"born", 5}});
  }

 private:
  using tcp = boost::asio::ip::tcp;
  using error_code = boost::system::error_code;

  static auto Redirect(error_code& failure) {
    return boost::asio::redirect_error(boost::asio::use_awaitable, failure);
  }

  boost::asio::awaitable<void> Accept() {
    while (true) {
      error_code failure;
      auto socket = co_await listener_.async_accept(Redirect(failure));
      if (failure) {
        co_return;
      }
      boost::asio::co_spawn(listener_.get_executor(), Serve(std::move(socket)),
                            boost::asio::detached);
    }
  }

  boost::asio::awaitable<void> Serve(tcp::socket socket) {
    std::string received;
    while (true) {
      // Test requests have the body "the body", which ends their last write.
      error_code failure;
      const auto size = co_await boost::asio::async_read_until(
          socket, boost::asio::dynamic_buffer(received), "the body",
          Redirect(failure));
      if (failure) {
        co_return;
      }
      const auto number = script_.requests.size();
      script_.requests.push_back(received.substr(0, size));
      received.erase(0, size);
      if (number >= script_.replies.size()) {
        co_return;
      }
      const auto reply = script_.replies[number];
      co_await Write(socket, reply.parts);
      if (reply.ending == raw_ending::keep) {
        continue;
      }
      if (reply.ending == raw_ending::reset) {
        // The destructor of a socket undoes this option, close() does not.
        socket.set_option(boost::asio::socket_base::linger(true, 0), failure);
      }
      socket.close(failure);
      co_return;
    }
  }

  static boost::asio::awaitable<void> Write(tcp::socket& socket,
                                            std::vector<std::string> parts) {
    constexpr std::chrono::milliseconds kPause{10};
    for (const auto& part : parts) {
      error_code failure;
      co_await boost::asio::async_write(socket, boost::asio::buffer(part),
                                        Redirect(failure));
      co_await platform_test::Wait(kPause);
    }
  }

  raw_script& script_;
  tcp::acceptor listener_;
};

}  // namespace mimosadeck::system_test

#endif  // TEST_SYSTEM_RAW_UPSTREAM_H_
