#include "mimosadeckd/edge/tasks.h"

#include <chrono>
#include <exception>
#include <optional>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "telemetry/telemetry.h"

namespace mimosadeck::edge {

namespace asio = boost::asio;

namespace internal {
namespace {

/** Limits the restarts of a loop that throws at once. */
constexpr std::chrono::milliseconds kRestartPause{500};

std::string ReasonOf(const std::exception_ptr& thrown) {
  try {
    std::rethrow_exception(thrown);
  } catch (const std::exception& failure) {
    return failure.what();
  } catch (...) {
    return "unknown exception";
  }
}

void LogFailure(std::string_view name, const std::exception_ptr& thrown) {
  telemetry::Log(telemetry::level::error, "task_failed",
                 {{"task", name}, {"reason", ReasonOf(thrown)}});
}

asio::awaitable<void> Pause() {
  asio::steady_timer timer(co_await asio::this_coro::executor, kRestartPause);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> RunAgainAfterFailures(
    std::string name,
    std::function<asio::awaitable<void>()> loop) {
  while (true) {
    std::exception_ptr thrown;
    try {
      co_await loop();
    } catch (...) {
      thrown = std::current_exception();
    }
    if (!thrown) {
      co_return;
    }
    LogFailure(name, thrown);
    co_await Pause();
  }
}

}  // namespace
}  // namespace internal

void Spawn(asio::io_context& io, std::string name, asio::awaitable<void> task) {
  asio::co_spawn(io, std::move(task),
                 [name = std::move(name)](const std::exception_ptr& thrown) {
                   if (thrown) {
                     internal::LogFailure(name, thrown);
                   }
                 });
}

void KeepRunning(asio::io_context& io,
                 std::string name,
                 std::function<asio::awaitable<void>()> loop) {
  auto running = internal::RunAgainAfterFailures(name, std::move(loop));
  Spawn(io, std::move(name), std::move(running));
}

}  // namespace mimosadeck::edge
