#include "net/peer_watch.h"

#include <optional>
#include <set>
#include <utility>
#include <vector>

#include <boost/asio/execution/context.hpp>
#include <boost/asio/execution_context.hpp>
#include <boost/asio/query.hpp>
#include <boost/asio/steady_timer.hpp>

#include "net/output_state.h"
#include "net/peer_silence.h"

namespace mimosadeck::net::internal {

namespace asio = boost::asio;
using asio::ip::tcp;
using steady = std::chrono::steady_clock;

namespace {

class watch_service;

constexpr silence_options kSilenceOptions;

}  // namespace

struct watched_peer {
  /** @brief Samples the connection. @return False if it need not be watched any
   * longer. */
  bool Sample() {
    const auto sample = ReadOutputState(socket->native_handle());
    if (!sample) {
      return false;
    }
    if (sample->pending_bytes == 0) {
      silence = {};
      return is_writing;
    }
    const auto now = steady::now();
    const bool is_silent =
        OnOutputSample(silence, kSilenceOptions, *sample, now);
    if (!is_silent && now < deliver_until) {
      return true;
    }
    is_lost = true;
    if (on_lost) {
      on_lost(is_silent ? loss_reason::silent : loss_reason::overdue);
    }
    // Destroying a socket undoes this option, closing it does not.
    boost::system::error_code ignored;
    socket->set_option(asio::socket_base::linger(true, 0), ignored);
    socket->close(ignored);
    return false;
  }

  tcp::socket* socket{};
  std::function<void(loss_reason)> on_lost;
  watch_service* service{};
  peer_silence silence;
  mono_time deliver_until;
  /** The write in progress may pass on more bytes. */
  bool is_writing{};
  bool is_watched{};
  bool is_lost{};
};

namespace {

/** @brief The watched connections of a context and the timer of their samples:
 * one for all, since most are sampled once only. */
class watch_service final : public asio::execution_context::service {
 public:
  using key_type = watch_service;
  using watched = std::shared_ptr<watched_peer>;

  // Required by the library.
  static inline asio::execution_context::id id;  // NOLINT

  explicit watch_service(asio::execution_context& context)
      : asio::execution_context::service(context) {}

  void Add(const watched& added, const tcp::socket::executor_type& executor) {
    added->is_watched = true;
    all_.insert(added);
    if (!timer_) {
      timer_.emplace(executor);
    }
    if (!is_running_) {
      Start();
    }
  }

  void Remove(const watched& removed) {
    removed->is_watched = false;
    all_.erase(removed);
    // A timer would keep the context running.
    if (all_.empty() && timer_) {
      timer_->cancel();
    }
  }

 private:
  void Start() {
    is_running_ = true;
    timer_->expires_after(kSilenceOptions.sample_interval);
    timer_->async_wait([this](boost::system::error_code) {
      is_running_ = false;
      SampleAll();
      if (!all_.empty()) {
        Start();
      }
    });
  }

  void SampleAll() {
    const std::vector<watched> all(all_.begin(), all_.end());
    for (const auto& item : all) {
      if (item->is_watched && !item->Sample()) {
        Remove(item);
      }
    }
  }

  void shutdown() override { timer_.reset(); }

  std::set<watched> all_;
  std::optional<asio::steady_timer> timer_;
  bool is_running_{};
};

}  // namespace

peer_watch::peer_watch(tcp::socket& socket,
                       std::function<void(loss_reason)> on_lost)
    : impl_(std::make_shared<watched_peer>()) {
  impl_->socket = &socket;
  impl_->on_lost = std::move(on_lost);
  impl_->service = &asio::use_service<watch_service>(
      asio::query(socket.get_executor(), asio::execution::context));
}

peer_watch::~peer_watch() {
  if (impl_->is_watched) {
    impl_->service->Remove(impl_);
  }
}

void peer_watch::OnWriteBegin(mono_time deliver_until) {
  impl_->deliver_until = deliver_until;
  impl_->is_writing = true;
  if (!impl_->is_watched && !impl_->is_lost) {
    impl_->service->Add(impl_, impl_->socket->get_executor());
  }
}

void peer_watch::OnWriteEnd() {
  impl_->is_writing = false;
}

bool peer_watch::IsLost() const {
  return impl_->is_lost;
}

}  // namespace mimosadeck::net::internal
