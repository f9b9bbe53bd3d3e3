#include "soak/link_proxy.h"

#include <array>
#include <chrono>
#include <set>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "net/address.h"
#include "platform/wait.h"

namespace mimosadeck::soak {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace internal {
namespace {

constexpr std::chrono::milliseconds kDelay{120};
/** Interval at which a cut direction checks whether the fault has ended. */
constexpr std::chrono::milliseconds kCutPoll{5};
constexpr std::size_t kPieceBytes = 16U << 10U;

struct connection {
  explicit connection(asio::io_context& io) : client(io), server(io) {}

  void Reset() {
    for (auto* socket : {&client, &server}) {
      boost::system::error_code ignored;
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }

  tcp::socket client;
  tcp::socket server;
};

}  // namespace
}  // namespace internal

struct link_proxy::impl : std::enable_shared_from_this<impl> {
  impl(asio::io_context& io, std::string target)
      : io(io),
        acceptor(io, net::ParseEndpoint("127.0.0.1:0")),
        target(std::move(target)) {
    address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  }

  [[nodiscard]] bool IsCut(bool towards_server) const {
    return fault == link_fault::silent ||
           fault == (towards_server ? link_fault::requests_cut
                                    : link_fault::answers_cut);
  }

  void ResetAll() {
    const auto present = connections;
    for (const auto& open_connection : present) {
      open_connection->Reset();
    }
    connections.clear();
  }

  asio::awaitable<void> Accept() {
    const auto self = shared_from_this();
    while (!closed) {
      const auto pair = std::make_shared<internal::connection>(io);
      boost::system::error_code failure;
      co_await acceptor.async_accept(
          pair->client, asio::redirect_error(asio::use_awaitable, failure));
      if (failure == asio::error::operation_aborted || closed) {
        co_return;
      }
      if (failure) {
        continue;
      }
      if (fault == link_fault::reset) {
        pair->Reset();
        continue;
      }
      connections.insert(pair);
      asio::co_spawn(io, Serve(pair), asio::detached);
    }
  }

  asio::awaitable<void> Serve(std::shared_ptr<internal::connection> pair) {
    const auto self = shared_from_this();
    while (IsCut(true) && !closed) {
      co_await platform_test::Wait(internal::kCutPoll);
    }
    boost::system::error_code failure;
    co_await pair->server.async_connect(
        net::ParseEndpoint(target),
        asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
      pair->Reset();
      connections.erase(pair);
      co_return;
    }
    boost::system::error_code ignored;
    pair->client.set_option(tcp::no_delay(true), ignored);
    pair->server.set_option(tcp::no_delay(true), ignored);
    asio::co_spawn(io, Pump(pair, true), asio::detached);
    co_await Pump(pair, false);
    connections.erase(pair);
  }

  asio::awaitable<void> Pump(std::shared_ptr<internal::connection> pair,
                             bool towards_server) {
    const auto self = shared_from_this();
    auto& source = towards_server ? pair->client : pair->server;
    auto& destination = towards_server ? pair->server : pair->client;
    std::array<char, internal::kPieceBytes> buffer{};
    while (!closed) {
      boost::system::error_code failure;
      const auto size = co_await source.async_read_some(
          asio::buffer(buffer),
          asio::redirect_error(asio::use_awaitable, failure));
      while (IsCut(towards_server) && !closed) {
        co_await platform_test::Wait(internal::kCutPoll);
      }
      if (fault == link_fault::delayed) {
        co_await platform_test::Wait(internal::kDelay);
      }
      if (failure == asio::error::eof) {
        boost::system::error_code ignored;
        destination.shutdown(tcp::socket::shutdown_send, ignored);
        co_return;
      }
      if (failure) {
        pair->Reset();
        co_return;
      }
      boost::system::error_code write_failure;
      co_await asio::async_write(
          destination, asio::buffer(buffer.data(), size),
          asio::redirect_error(asio::use_awaitable, write_failure));
      if (write_failure) {
        pair->Reset();
        co_return;
      }
    }
  }

  asio::io_context& io;
  tcp::acceptor acceptor;
  std::string target;
  std::string address;
  link_fault fault{link_fault::none};
  bool closed{};
  std::set<std::shared_ptr<internal::connection>> connections;
};

link_proxy::link_proxy(asio::io_context& io, std::string target)
    : impl_(std::make_shared<impl>(io, std::move(target))) {
  asio::co_spawn(io, impl_->Accept(), asio::detached);
}

link_proxy::~link_proxy() {
  impl_->closed = true;
  boost::system::error_code ignored;
  impl_->acceptor.close(ignored);
  impl_->ResetAll();
}

const std::string& link_proxy::Address() const {
  return impl_->address;
}

void link_proxy::SetTarget(std::string target) {
  impl_->target = std::move(target);
}

void link_proxy::SetFault(link_fault fault) {
  impl_->fault = fault;
  if (fault == link_fault::reset) {
    impl_->ResetAll();
  }
}

link_fault link_proxy::Fault() const {
  return impl_->fault;
}

}  // namespace mimosadeck::soak
