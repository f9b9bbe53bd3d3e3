#ifndef TEST_PLATFORM_WAIT_H_
#define TEST_PLATFORM_WAIT_H_

#include <chrono>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mimosadeck::platform_test {

/** @brief Waits for a time on the executor of the calling coroutine. */
[[nodiscard]] inline boost::asio::awaitable<void> Wait(
    std::chrono::milliseconds time) {
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                  time);
  boost::system::error_code ignored;
  co_await timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

}  // namespace mimosadeck::platform_test

#endif  // TEST_PLATFORM_WAIT_H_
