#include "net/response_delivery.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/asio/error.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "net/output_state.h"

namespace mimosadeck::net::internal {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using steady = std::chrono::steady_clock;

namespace {

constexpr std::size_t kDiscardBytes = 4096;
constexpr std::chrono::milliseconds kPollInterval{20};
/** Time by which the limit of a write exceeds that of the watch. The watch
 * samples more often, and reports the bytes before it ends the connection. */
constexpr std::chrono::milliseconds kWatchMargin{2000};
/** Rate at which a large part of a response must be delivered at least. It
 * bounds how long a caller that reads a byte at a time holds memory. */
constexpr std::size_t kMinBytesPerSecond = 100U * 1024U;
constexpr std::size_t kMillisecondsPerSecond = 1000;

}  // namespace

response_delivery::response_delivery(boost::beast::tcp_stream& stream,
                                     const server_options& settings,
                                     const std::string& address,
                                     std::function<void()> on_caller_lost)
    : stream_(stream),
      settings_(settings),
      address_(address),
      watch_(stream.socket(),
             [this,
              on_caller_lost = std::move(on_caller_lost)](loss_reason reason) {
               Report(reason == loss_reason::silent ? "silent" : "overdue");
               on_caller_lost();
             }) {}

void response_delivery::SetRequest(std::string name,
                                   steady::time_point deadline) {
  request_ = std::move(name);
  deadline_ = deadline;
}

void response_delivery::BeginWrite(std::size_t bytes,
                                   std::chrono::milliseconds timeout) {
  const std::chrono::milliseconds size_allowance(kMillisecondsPerSecond *
                                                 bytes / kMinBytesPerSecond);
  const auto deliver_until =
      std::max(steady::now(), deadline_) + timeout + size_allowance;
  stream_.expires_at(deliver_until + kWatchMargin);
  watch_.OnWriteBegin(deliver_until);
}

void response_delivery::EndWrite(error_code failure) {
  watch_.OnWriteEnd();
  ReportIfUndelivered(failure);
}

void response_delivery::ReportIfUndelivered(error_code failure) const {
  if (failure && failure != asio::error::eof &&
      failure != asio::error::operation_aborted) {
    Report(failure.message());
  }
}

asio::awaitable<void> response_delivery::Finish() {
  error_code failure;
  auto& socket = stream_.socket();
  socket.shutdown(tcp::socket::shutdown_send, failure);
  std::array<char, kDiscardBytes> bytes{};
  asio::steady_timer timer(stream_.get_executor());
  while (true) {
    const auto output = ReadOutputState(socket.native_handle());
    if (!output || output->pending_bytes == 0) {
      co_return;
    }
    timer.expires_after(kPollInterval);
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, failure));
    socket.non_blocking(true, failure);
    socket.read_some(asio::buffer(bytes), failure);
  }
}

void response_delivery::Report(std::string reason) const {
  const auto bytes = PendingBytes(stream_.socket().native_handle());
  if (bytes > 0 && settings_.on_undelivered) {
    settings_.on_undelivered({request_, address_, std::move(reason), bytes});
  }
}

}  // namespace mimosadeck::net::internal
