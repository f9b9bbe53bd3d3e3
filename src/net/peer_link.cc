#include "net/peer_link.h"

#include <map>
#include <vector>

#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <zmq.hpp>

namespace mimosadeck::net {

namespace asio = boost::asio;

namespace internal {
namespace {

constexpr int kQueueLimit = 1000;
constexpr int kHeartbeatMillis = 500;
constexpr int kHeartbeatTimeoutMillis = 1500;
constexpr int kLingerMillis = 200;
constexpr int kReconnectMillis = 100;
constexpr int kReconnectMaxMillis = 2000;

void Configure(zmq::socket_t& socket) {
  socket.set(zmq::sockopt::sndhwm, kQueueLimit);
  socket.set(zmq::sockopt::rcvhwm, kQueueLimit);
  socket.set(zmq::sockopt::heartbeat_ivl, kHeartbeatMillis);
  socket.set(zmq::sockopt::heartbeat_timeout, kHeartbeatTimeoutMillis);
  socket.set(zmq::sockopt::linger, kLingerMillis);
  socket.set(zmq::sockopt::reconnect_ivl, kReconnectMillis);
  socket.set(zmq::sockopt::reconnect_ivl_max, kReconnectMaxMillis);
}

}  // namespace
}  // namespace internal

struct peer_link::impl {
  impl(asio::io_context& context,
       std::string secret,
       std::function<void(wire::envelope)> on_message)
      : secret(std::move(secret)),
        on_message(std::move(on_message)),
        zmq_context(1),
        receiver(zmq_context, zmq::socket_type::pull),
        descriptor(context) {}

  void Watch() {
    descriptor.async_wait(asio::posix::stream_descriptor::wait_read,
                          [this](boost::system::error_code failure) {
                            if (!failure) {
                              ReceivePending();
                              Watch();
                            }
                          });
  }

  /** @brief Receives all pending messages, since the descriptor is
   * edge-triggered. */
  void ReceivePending() {
    while ((receiver.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0) {
      zmq::message_t payload;
      if (!receiver.recv(payload, zmq::recv_flags::dontwait)) {
        return;
      }
      if (!payload.more()) {
        ++traffic.messages_refused;
        continue;
      }
      zmq::message_t code;
      if (!receiver.recv(code, zmq::recv_flags::dontwait)) {
        return;
      }
      bool has_more_parts = code.more();
      while (has_more_parts) {
        zmq::message_t rest;
        if (!receiver.recv(rest, zmq::recv_flags::dontwait)) {
          return;
        }
        has_more_parts = rest.more();
      }
      Deliver(payload, code);
    }
  }

  void Deliver(const zmq::message_t& payload, const zmq::message_t& code) {
    traffic.bytes_received += payload.size() + code.size();
    ++traffic.messages_received;
    auto opened = wire::Open({payload.to_string(), code.to_string()}, secret);
    if (!IsOk(opened)) {
      ++traffic.messages_refused;
      return;
    }
    on_message(std::move(std::get<wire::envelope>(opened)));
  }

  zmq::socket_t& SenderFor(const std::string& address) {
    const auto found = senders.find(address);
    if (found != senders.end()) {
      return found->second;
    }
    zmq::socket_t socket(zmq_context, zmq::socket_type::push);
    internal::Configure(socket);
    socket.connect("tcp://" + address);
    return senders.emplace(address, std::move(socket)).first->second;
  }

  std::string secret;
  std::function<void(wire::envelope)> on_message;
  zmq::context_t zmq_context;
  zmq::socket_t receiver;
  asio::posix::stream_descriptor descriptor;
  std::map<std::string, zmq::socket_t> senders;
  link_traffic traffic;
};

peer_link::peer_link(asio::io_context& context,
                     const std::string& address,
                     std::string secret,
                     std::function<void(wire::envelope)> on_message)
    : impl_(std::make_unique<impl>(context,
                                   std::move(secret),
                                   std::move(on_message))) {
  internal::Configure(impl_->receiver);
  impl_->receiver.bind("tcp://" + address);
  impl_->descriptor.assign(impl_->receiver.get(zmq::sockopt::fd));
  impl_->Watch();
  asio::post(context, [link = impl_.get()] { link->ReceivePending(); });
}

peer_link::~peer_link() {
  impl_->descriptor.release();
}

std::string peer_link::Address() const {
  constexpr std::string_view kScheme = "tcp://";
  return impl_->receiver.get(zmq::sockopt::last_endpoint)
      .substr(kScheme.size());
}

void peer_link::Send(const std::string& address,
                     const wire::envelope& message) {
  const auto sealed = wire::Seal(message, impl_->secret);
  auto& socket = impl_->SenderFor(address);
  zmq::message_t payload(sealed.payload.data(), sealed.payload.size());
  zmq::message_t code(sealed.code.data(), sealed.code.size());
  const auto flags = zmq::send_flags::dontwait | zmq::send_flags::sndmore;
  if (!socket.send(payload, flags) ||
      !socket.send(code, zmq::send_flags::dontwait)) {
    ++impl_->traffic.messages_dropped;
    return;
  }
  ++impl_->traffic.messages_sent;
  impl_->traffic.bytes_sent += sealed.payload.size() + sealed.code.size();
}

void peer_link::Forget(const std::string& address) {
  impl_->senders.erase(address);
}

link_traffic peer_link::Traffic() const {
  return impl_->traffic;
}

}  // namespace mimosadeck::net
