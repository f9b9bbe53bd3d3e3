#ifndef NET_HTTP_CONNECTION_H_
#define NET_HTTP_CONNECTION_H_

#include <algorithm>
#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "base/time.h"
#include "net/connection_state.h"
#include "net/http_fields.h"
#include "net/http_server.h"
#include "net/response_delivery.h"
#include "net/socket_options.h"

namespace mimosadeck::net::internal {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

inline constexpr int kMalformed = 400;
inline constexpr int kTooLarge = 413;
inline constexpr int kTimeout = 408;
inline constexpr int kHeaderTooLarge = 431;
inline constexpr int kUnavailable = 503;
inline constexpr int kContinue = 100;
/** Bytes of pipelined requests that are read while a request is in progress. */
inline constexpr std::size_t kReadAheadBytes = 16U * 1024U;
inline constexpr std::size_t kReadAheadStepBytes = 4096;
inline constexpr std::size_t kDiscardBytes = 4096;
/** Bytes of a long body that are read at a time. */
inline constexpr std::size_t kBodyReadBytes = 16U * 1024U;
/** Bytes that a chunk extension or the trailer may have beyond the limit of the
 * header. The input is buffered until such a part is complete. */
inline constexpr std::size_t kExtraFramingBytes = 16U * 1024U;
/** A request in progress holds its body, and a copy of it on the way to an
 * upstream. */
inline constexpr std::uint64_t kBodyCopies = 2;
inline constexpr std::chrono::milliseconds kDiscardTime{2000};

inline http_request Convert(http::request<http::string_body>&& in) {
  http_request out;
  out.method = std::string(in.method_string());
  out.target = std::string(in.target());
  out.fields = FieldsOf(in);
  out.body = std::move(in.body());
  return out;
}

/** @brief A connection, which is also the exchange of its current request. */
class connection final : public exchange,
                         public std::enable_shared_from_this<connection> {
 public:
  connection(tcp::socket socket,
             const server_options& settings,
             server_state& server)
      : stream_(std::move(socket)),
        settings_(settings),
        server_(server),
        delivery_(stream_, settings_, address_, [this] { OnCallerLost(); }) {
    SetConnectionOptions(stream_.socket());
    error_code ignored;
    const auto peer = stream_.socket().remote_endpoint(ignored);
    address_ = ignored ? std::string{} : peer.address().to_string();
  }

  asio::awaitable<void> Run(http_handler handler) {
    std::optional<active_request> active;
    while (!closed_ && (!server_.stopping || HasPipelinedRequest())) {
      active.reset();
      limits_ = CurrentLimits();
      const bool has_request = co_await WaitForRequest();
      if (!has_request) {
        break;
      }
      active.emplace(server_);
      receive_claim claim(settings_.receive_budget.get(), address_,
                          [weak = weak_from_this()] { CutLater(weak); });
      std::optional<http_request> request;
      const auto failure = co_await Receive(claim, request);
      if (failure && failure != http::error::end_of_stream) {
        co_await Refuse(failure);
      }
      if (!request || server_.drained) {
        break;
      }
      SetPhase(connection_phase::answering);
      started_ = false;
      delivery_.OnNextRequest();
      try {
        co_await handler(*std::move(request), *this);
      } catch (const std::exception&) {
        closed_ = true;
      }
      StopWatching();
      ReleaseBuffer();
      if (!keep_alive_ || !started_) {
        break;
      }
    }
    // A drain waits for the delivery.
    if (!active) {
      active.emplace(server_);
    }
    if (!closed_) {
      SetPhase(connection_phase::idle);
      co_await delivery_.Finish();
    }
    Close();
  }

  /** @brief Closes the connection if it is waiting for a request, once its last
   * response is delivered. */
  void CloseIfIdle() {
    if (reading_) {
      stream_.cancel();
    }
  }

  /** @brief Closes the connection unless it answers a request. */
  void CloseUnlessAnswering() {
    if (phase_ != connection_phase::answering) {
      Close();
    }
  }

  /** @brief Returns the address of the caller, without the port. */
  [[nodiscard]] const std::string& Address() const { return address_; }

  /** @brief Returns what the connection does. */
  [[nodiscard]] connection_phase Phase() const { return phase_; }

  /** @brief Returns when the last bytes arrived or the phase changed. */
  [[nodiscard]] mono_time ProgressedAt() const { return progressed_at_; }

  asio::awaitable<bool> Respond(http_response response) override {
    StopWatching();
    started_ = true;
    http::response<http::string_body> out{
        static_cast<http::status>(response.status), kHttpVersion};
    for (const auto& [name, value] : response.fields) {
      out.set(name, value);
    }
    out.body() = std::move(response.body);
    out.keep_alive(KeepsOpen());
    out.prepare_payload();
    error_code failure;
    delivery_.BeginWrite(out.body().size(), limits_.body_timeout);
    co_await http::async_write(
        stream_, out, asio::redirect_error(asio::use_awaitable, failure));
    co_return CheckWritten(failure);
  }

  asio::awaitable<bool> BeginStream(int status, http_fields fields) override {
    started_ = true;
    http::response<http::empty_body> out{static_cast<http::status>(status),
                                         kHttpVersion};
    for (const auto& [name, value] : fields) {
      out.set(name, value);
    }
    out.keep_alive(KeepsOpen());
    out.chunked(true);
    http::response_serializer<http::empty_body> serializer{out};
    error_code failure;
    delivery_.BeginWrite(0, limits_.body_timeout);
    co_await http::async_write_header(
        stream_, serializer,
        asio::redirect_error(asio::use_awaitable, failure));
    co_return CheckWritten(failure);
  }

  asio::awaitable<bool> WriteChunk(std::string bytes) override {
    if (closed_) {
      co_return false;
    }
    error_code failure;
    delivery_.BeginWrite(bytes.size(), limits_.body_timeout);
    co_await asio::async_write(
        stream_, http::make_chunk(asio::buffer(bytes)),
        asio::redirect_error(asio::use_awaitable, failure));
    co_return CheckWritten(failure);
  }

  asio::awaitable<bool> EndStream() override {
    if (closed_) {
      co_return false;
    }
    error_code failure;
    delivery_.BeginWrite(0, limits_.body_timeout);
    co_await asio::async_write(
        stream_, http::make_chunk_last(),
        asio::redirect_error(asio::use_awaitable, failure));
    co_return CheckWritten(failure);
  }

  void Abort() override { Close(); }

  void OnCallerDisconnect(std::function<void()> on_disconnect) override {
    StopWatching();
    watch_ = std::make_shared<asio::cancellation_signal>();
    on_disconnect_ = std::move(on_disconnect);
    Watch(watch_);
  }

  void SetRequest(std::string name,
                  std::chrono::steady_clock::time_point deadline) override {
    delivery_.SetRequest(std::move(name), deadline);
  }

  [[nodiscard]] bool HasStarted() const override { return started_; }

 private:
  static constexpr unsigned kHttpVersion = 11;

  using parser_type = http::request_parser<http::string_body>;

  /** @brief Waits for the first byte of the next request. */
  asio::awaitable<bool> WaitForRequest() {
    if (buffer_.size() > 0) {
      co_return true;
    }
    error_code failure;
    reading_ = true;
    SetPhase(connection_phase::idle);
    stream_.expires_after(limits_.idle_timeout);
    const auto read = co_await stream_.async_read_some(
        buffer_.prepare(kReadAheadStepBytes),
        asio::redirect_error(asio::use_awaitable, failure));
    reading_ = false;
    buffer_.commit(read);
    delivery_.ReportIfUndelivered(failure);
    co_return !failure && !closed_;
  }

  /** @brief Returns true if input was read ahead, after which a response must
   * not announce that the connection closes. */
  [[nodiscard]] bool HasPipelinedRequest() const { return buffer_.size() > 0; }

  /** @brief Decides, at the start of a response, whether the connection stays
   * open after it. */
  bool KeepsOpen() {
    keep_alive_ = keep_alive_ && (!server_.closing || HasPipelinedRequest());
    return keep_alive_;
  }

  /** @brief Receives a request. Its memory is free when this returns an error,
   * so that a caller that is slow to take the refusal holds none. */
  asio::awaitable<error_code> Receive(receive_claim& claim,
                                      std::optional<http_request>& out) {
    limits_ = CurrentLimits();
    SetPhase(connection_phase::receiving);
    was_cut_ = false;
    buffer_.max_size(
        std::max<std::size_t>(limits_.header_limit_bytes, kReadAheadBytes) +
        kExtraFramingBytes);
    parser_type parser;
    parser.body_limit(limits_.body_limit_bytes);
    parser.header_limit(limits_.header_limit_bytes);
    error_code failure;
    stream_.expires_after(limits_.header_timeout);
    co_await http::async_read_header(
        stream_, buffer_, parser,
        asio::redirect_error(asio::use_awaitable, failure));
    if (!failure && !IsFramingUnambiguous(parser.get())) {
      failure = http::error::bad_transfer_encoding;
    }
    if (!failure) {
      failure = co_await ReadRest(parser, claim);
    }
    if (failure) {
      ReleaseBuffer();
      co_return failure;
    }
    keep_alive_ = parser.keep_alive();
    claim.SetWhole(kBodyCopies * parser.get().body().size());
    out = Convert(parser.release());
    co_return failure;
  }

  asio::awaitable<error_code> ReadRest(parser_type& parser,
                                       receive_claim& claim) {
    error_code failure;
    bool has_owner = false;
    stream_.expires_after(limits_.body_timeout);
    if (parser.get().find(http::field::expect) != parser.get().end()) {
      const http::response<http::empty_body> continue_response{
          static_cast<http::status>(kContinue), kHttpVersion};
      co_await http::async_write(
          stream_, continue_response,
          asio::redirect_error(asio::use_awaitable, failure));
      if (failure) {
        co_return failure;
      }
    }
    parser.eager(true);
    while (!failure && !Parse(parser, failure) && !failure) {
      const auto bytes = BodyBytes(parser) + buffer_.capacity();
      // Smaller requests are within their reserve and need no owner.
      if (!has_owner && bytes > kReadAheadBytes) {
        SetOwner(parser.get(), claim);
        has_owner = true;
      }
      was_cut_ = was_cut_ || !claim.Hold(bytes);
      if (!was_cut_) {
        failure = co_await ReadMore(parser);
      }
      if (was_cut_) {
        failure = asio::error::no_buffer_space;
      }
    }
    co_return failure;
  }

  /** @brief Parses the buffered input. Unlike the reading functions of the
   * library it returns after each read, so that the bytes can be counted.
   * @return True if the request is complete. */
  bool Parse(parser_type& parser, error_code& failure) {
    if (!parser.is_done() && buffer_.size() > 0) {
      buffer_.consume(parser.put(buffer_.data(), failure));
      if (failure == http::error::need_more) {
        failure = {};
      }
    }
    return parser.is_done();
  }

  asio::awaitable<error_code> ReadMore(parser_type& parser) {
    error_code failure;
    const auto room = buffer_.max_size() - buffer_.size();
    if (room == 0) {
      co_return http::error::buffer_overflow;
    }
    const auto wanted = parser.content_length_remaining().value_or(0);
    const auto step =
        wanted > kReadAheadStepBytes ? kBodyReadBytes : kReadAheadStepBytes;
    const auto read = co_await stream_.async_read_some(
        buffer_.prepare(std::min(room, step)),
        asio::redirect_error(asio::use_awaitable, failure));
    buffer_.commit(read);
    if (read > 0) {
      progressed_at_ = SuspendAwareNow();
    }
    if (failure == asio::error::eof) {
      failure = {};
      parser.put_eof(failure);
    }
    co_return failure;
  }

  /** @brief Returns the memory that a body occupies. One with a length gets it
   * at once, but the system provides only what was written to. */
  static std::uint64_t BodyBytes(parser_type& parser) {
    const auto& body = parser.get().body();
    return parser.content_length() ? body.size() : body.capacity();
  }

  /** @brief Counts the request's bytes as its account's, if that is known. */
  void SetOwner(const http::request<http::string_body>& head,
                receive_claim& claim) const {
    if (!settings_.owner_of) {
      return;
    }
    auto owner = settings_.owner_of(FieldsOf(head));
    if (!owner.empty()) {
      claim.SetOwner(std::move(owner));
    }
  }

  /** @brief Ends the receipt of a request that must give up its memory. */
  static void CutLater(const std::weak_ptr<connection>& weak) {
    const auto self = weak.lock();
    if (!self) {
      return;
    }
    asio::post(self->stream_.get_executor(), [self] {
      if (self->phase_ == connection_phase::receiving) {
        self->was_cut_ = true;
        self->stream_.cancel();
      }
    });
  }

  void SetPhase(connection_phase phase) {
    phase_ = phase;
    progressed_at_ = SuspendAwareNow();
  }

  /** @brief Frees the input buffer if it grew for one request. */
  void ReleaseBuffer() {
    if (buffer_.size() == 0 && buffer_.capacity() > kReadAheadStepBytes) {
      buffer_.shrink_to_fit();
    }
  }

  /** @brief Returns false for ambiguous framing or host, such as both a length
   * and chunks, with which two servers might disagree on where the request
   * ends. */
  static bool IsFramingUnambiguous(
      const http::request<http::string_body>& head) {
    const auto hosts = head.equal_range(http::field::host);
    if (hosts.first == hosts.second || std::next(hosts.first) != hosts.second) {
      return false;
    }
    if (head.find(http::field::transfer_encoding) == head.end()) {
      return true;
    }
    return HasSupportedTransferCoding(head) &&
           head.find(http::field::content_length) == head.end() &&
           head.version() == kHttpVersion;
  }

  [[nodiscard]] connection_limits CurrentLimits() const {
    return settings_.current_limits ? settings_.current_limits()
                                    : settings_.limits;
  }

  asio::awaitable<void> Refuse(error_code failure) {
    if (!settings_.refuse) {
      co_return;
    }
    int status = kMalformed;
    if (failure == asio::error::no_buffer_space) {
      status = kUnavailable;
      Notify("memory");
    } else if (failure == http::error::body_limit) {
      status = kTooLarge;
    } else if (failure == http::error::buffer_overflow) {
      status = kHeaderTooLarge;
      Notify("framing");
    } else if (failure == http::error::header_limit) {
      status = kHeaderTooLarge;
    } else if (failure == beast::error::timeout) {
      status = kTimeout;
    } else if (failure.category() !=
               make_error_code(http::error::bad_method).category()) {
      co_return;
    }
    keep_alive_ = false;
    auto response = settings_.refuse(status, failure.message());
    co_await Respond(std::move(response));
    co_await Discard();
  }

  void Notify(std::string_view reason) const {
    if (settings_.on_cut) {
      settings_.on_cut(reason, address_);
    }
  }

  /** @brief Reads and discards input for up to kDiscardTime. Unread bytes would
   * reset the connection, and the caller could lose the error response. */
  asio::awaitable<void> Discard() {
    error_code failure;
    stream_.socket().shutdown(tcp::socket::shutdown_send, failure);
    std::vector<char> bytes(kDiscardBytes);
    stream_.expires_after(kDiscardTime);
    while (!failure) {
      co_await stream_.async_read_some(
          asio::buffer(bytes),
          asio::redirect_error(asio::use_awaitable, failure));
    }
  }

  bool CheckWritten(error_code failure) {
    delivery_.EndWrite(failure);
    if (failure) {
      closed_ = true;
      return false;
    }
    stream_.expires_never();
    return true;
  }

  /** @brief Ends the work for a caller whose connection is about to be reset.
   */
  void OnCallerLost() {
    closed_ = true;
    if (watch_) {
      NotifyDisconnect();
    }
  }

  void NotifyDisconnect() {
    const auto on_disconnect = std::exchange(on_disconnect_, nullptr);
    if (on_disconnect) {
      on_disconnect();
    }
  }

  void Watch(const std::shared_ptr<asio::cancellation_signal>& watch) {
    if (buffer_.size() >= kReadAheadBytes) {
      return;
    }
    auto on_readable = [self = shared_from_this(), watch](error_code failure) {
      if (failure || self->watch_ != watch) {
        return;
      }
      if (self->ReadAhead()) {
        self->NotifyDisconnect();
      } else {
        self->Watch(watch);
      }
    };
    stream_.socket().async_wait(
        tcp::socket::wait_read,
        asio::bind_cancellation_slot(watch->slot(), std::move(on_readable)));
  }

  /** @brief Reads bytes of pipelined requests.
   * @return True if the caller disconnected. */
  [[nodiscard]] bool ReadAhead() {
    error_code failure;
    stream_.socket().non_blocking(true, failure);
    const auto size = stream_.socket().receive(
        asio::buffer(buffer_.prepare(kReadAheadStepBytes)), 0, failure);
    if (failure == asio::error::would_block) {
      return false;
    }
    if (failure || size == 0) {
      delivery_.ReportIfUndelivered(failure);
      closed_ = true;
      return true;
    }
    buffer_.commit(size);
    return false;
  }

  void StopWatching() {
    if (watch_) {
      const auto watch = std::move(watch_);
      watch_.reset();
      on_disconnect_ = nullptr;
      watch->emit(asio::cancellation_type::terminal);
    }
  }

  void Close() {
    closed_ = true;
    StopWatching();
    error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
    stream_.socket().close(ignored);
  }

  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  const server_options& settings_;
  server_state& server_;
  connection_limits limits_;
  std::shared_ptr<asio::cancellation_signal> watch_;
  std::function<void()> on_disconnect_;
  bool keep_alive_{true};
  bool started_{false};
  bool closed_{false};
  bool reading_{false};
  /** The request gave up its memory to others. */
  bool was_cut_{false};
  /** Address of the caller, without the port. */
  std::string address_;
  std::atomic<connection_phase> phase_{connection_phase::idle};
  std::atomic<mono_time> progressed_at_{SuspendAwareNow()};
  response_delivery delivery_;
};

}  // namespace mimosadeck::net::internal

#endif  // NET_HTTP_CONNECTION_H_
