#ifndef NET_ONE_SHOT_H_
#define NET_ONE_SHOT_H_

#include <chrono>
#include <optional>
#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mimosadeck::net {

/**
 * @brief A value that one coroutine sets and another one awaits, both on the
 * same thread.
 */
template <typename T>
class one_shot {
 public:
  explicit one_shot(const boost::asio::any_io_executor& executor)
      : timer_(executor) {}

  /** @brief Sets the value; later values are ignored. */
  void Set(T value) {
    if (!value_) {
      value_ = std::move(value);
      timer_.cancel();
    }
  }

  /** @brief Waits for the value. @return Nothing on timeout. */
  [[nodiscard]] boost::asio::awaitable<std::optional<T>> Wait(
      std::chrono::milliseconds timeout) {
    if (!value_) {
      timer_.expires_after(timeout);
      boost::system::error_code ignored;
      co_await timer_.async_wait(
          boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
    co_return std::move(value_);
  }

 private:
  boost::asio::steady_timer timer_;
  std::optional<T> value_;
};

}  // namespace mimosadeck::net

#endif  // NET_ONE_SHOT_H_
