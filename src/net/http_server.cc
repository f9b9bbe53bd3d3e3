#include "net/http_server.h"

#include <atomic>
#include <map>
#include <mutex>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "net/address.h"
#include "net/http_connection.h"

namespace mimosadeck::net {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace internal {
namespace {

/** Interval at which a drain checks for requests in progress. */
constexpr std::chrono::milliseconds kDrainPollInterval{10};
constexpr std::chrono::milliseconds kAcceptPause{50};
/** Receive buffer of a connection in the kernel. Input that the process does
 * not read, such as further pipelined requests, stays there and occupies the
 * VM's memory. A body of this size arrives within a round trip. */
constexpr int kSocketReceiveBytes = 128 * 1024;

}  // namespace
}  // namespace internal

using internal::kAcceptPause;

struct http_server::impl : std::enable_shared_from_this<http_server::impl> {
  impl(std::vector<asio::io_context*> contexts,
       server_options settings,
       http_handler handler)
      : contexts(std::move(contexts)),
        settings(std::move(settings)),
        handler(std::move(handler)),
        acceptor(*this->contexts.front()) {}

  static asio::awaitable<void> Accept(std::shared_ptr<impl> self) {
    std::size_t next = 0;
    asio::steady_timer pause(co_await asio::this_coro::executor);
    while (!self->state.stopping) {
      auto& context = *self->contexts[next++ % self->contexts.size()];
      error_code failure;
      tcp::socket socket(context);
      co_await self->acceptor.async_accept(
          socket, asio::redirect_error(asio::use_awaitable, failure));
      if (failure) {
        if (self->state.stopping) {
          break;
        }
        // No file descriptors are left: wait for connections to close.
        pause.expires_after(kAcceptPause);
        co_await pause.async_wait(
            asio::redirect_error(asio::use_awaitable, failure));
        continue;
      }
      if (!self->MakeRoom(socket)) {
        continue;
      }
      auto made = std::make_shared<internal::connection>(
          std::move(socket), self->settings, self->state);
      self->Register(made, context);
      asio::co_spawn(
          context,
          [self, made]() -> asio::awaitable<void> {
            co_await made->Run(self->handler);
            self->Unregister(made);
          },
          asio::detached);
    }
  }

  /** @brief Makes room for another connection. @return False if it must be
   * closed. */
  bool MakeRoom(const tcp::socket& accepted) {
    const std::lock_guard lock(mutex);
    if (settings.max_connections == 0 ||
        open.size() < settings.max_connections) {
      return true;
    }
    const auto victim = SelectVictim();
    if (victim == open.end()) {
      error_code ignored;
      const auto peer = accepted.remote_endpoint(ignored);
      Notify("refused", ignored ? std::string{} : peer.address().to_string());
      return false;
    }
    const bool is_idle =
        victim->first->Phase() == internal::connection_phase::idle;
    Notify(is_idle ? "idle" : "receiving", victim->first->Address());
    asio::post(*victim->second,
               [made = victim->first] { made->CloseUnlessAnswering(); });
    // It counts no more, though it is closed on its own thread.
    open.erase(victim);
    return true;
  }

  using connection_map =
      std::map<std::shared_ptr<internal::connection>, asio::io_context*>;

  /** @brief Returns the connection that may be closed with the least harm. */
  connection_map::iterator SelectVictim() {
    auto victim = open.end();
    for (auto item = open.begin(); item != open.end(); ++item) {
      const auto phase = item->first->Phase();
      if (phase == internal::connection_phase::answering) {
        continue;
      }
      const auto rank = [](const auto& made) {
        return std::pair(made->Phase(), made->ProgressedAt());
      };
      if (victim == open.end() || rank(item->first) < rank(victim->first)) {
        victim = item;
      }
    }
    return victim;
  }

  void Notify(std::string_view reason, const std::string& address) const {
    if (settings.on_cut) {
      settings.on_cut(reason, address);
    }
  }

  void Register(const std::shared_ptr<internal::connection>& made,
                asio::io_context& context) {
    const std::lock_guard lock(mutex);
    open[made] = &context;
  }

  void Unregister(const std::shared_ptr<internal::connection>& made) {
    const std::lock_guard lock(mutex);
    open.erase(made);
  }

  std::vector<asio::io_context*> contexts;
  server_options settings;
  http_handler handler;
  tcp::acceptor acceptor;
  internal::server_state state;
  std::mutex mutex;
  connection_map open;
};

http_server::http_server(std::vector<asio::io_context*> contexts,
                         const std::string& address,
                         server_options settings,
                         http_handler handler)
    : impl_(std::make_shared<impl>(std::move(contexts),
                                   std::move(settings),
                                   std::move(handler))) {
  const auto endpoint = ParseEndpoint(address);
  impl_->acceptor.open(endpoint.protocol());
  impl_->acceptor.set_option(tcp::acceptor::reuse_address(true));
  impl_->acceptor.bind(endpoint);
  // Accepted connections inherit it.
  error_code ignored;
  impl_->acceptor.set_option(
      asio::socket_base::receive_buffer_size(internal::kSocketReceiveBytes),
      ignored);
  impl_->acceptor.listen();
  asio::co_spawn(*impl_->contexts.front(), impl::Accept(impl_), asio::detached);
}

http_server::~http_server() {
  StopAccepting();
}

std::string http_server::Address() const {
  return FormatEndpoint(impl_->acceptor.local_endpoint());
}

void http_server::CloseAfterResponses() {
  impl_->state.closing = true;
}

void http_server::StopAccepting() {
  if (impl_->state.stopping.exchange(true)) {
    return;
  }
  asio::post(*impl_->contexts.front(), [self = impl_] {
    error_code ignored;
    self->acceptor.close(ignored);
  });
  const std::lock_guard lock(impl_->mutex);
  for (const auto& [made, context] : impl_->open) {
    asio::post(*context, [made = made] { made->CloseIfIdle(); });
  }
}

asio::awaitable<std::size_t> http_server::Drain(
    std::chrono::milliseconds timeout) {
  const auto self = impl_;
  StopAccepting();
  asio::steady_timer timer(co_await asio::this_coro::executor);
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  // A connection may have read a request before StopAccepting's check for idle
  // ones ran on its thread, so requests are counted only after a wait.
  do {
    timer.expires_after(internal::kDrainPollInterval);
    co_await timer.async_wait(asio::use_awaitable);
  } while (self->state.active > 0 &&
           std::chrono::steady_clock::now() < deadline);
  self->state.drained = true;
  co_return self->state.active.load();
}

std::size_t http_server::ActiveExchanges() const {
  return impl_->state.active;
}

}  // namespace mimosadeck::net
