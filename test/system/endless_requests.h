#ifndef TEST_SYSTEM_ENDLESS_REQUESTS_H_
#define TEST_SYSTEM_ENDLESS_REQUESTS_H_

#include <algorithm>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "net/address.h"

namespace mimosadeck::system_test {

namespace asio = boost::asio;

/** Body limit of the entries of these tests. */
inline constexpr std::size_t kBodyLimit = std::size_t{1} << 20U;
/** Callers in a crowd that sends framing or bodies without end, and the bytes
 * that each of them sends at most. */
inline constexpr int kEndlessCallers = 40;
inline constexpr std::size_t kEndlessBytes = std::size_t{4} << 20U;
/** Callers in a crowd that stops just short of the end of a body. */
inline constexpr int kUnfinishedCallers = 150;
/** Time within which a crowd sends what the entry takes. The entry may take
 * less; nothing is checked of it. */
inline constexpr std::chrono::seconds kCrowdTime{12};

/** Time in which the entry reads what waits in the kernel's buffers. */
inline constexpr std::chrono::milliseconds kReadTime{1500};

/** @brief A request without end: a beginning, and what follows. */
struct endless_request {
  const char* name;
  /** Fields after the caller's own ones, with the empty line; the first bytes
   * of a body may follow. */
  std::string beginning;
  /** Follows the beginning again and again. */
  std::string part;
  int callers{kEndlessCallers};
  /** Bytes that each caller sends after the beginning, at most. */
  std::size_t bytes{kEndlessBytes};
  /** The beginning is the whole head, without the caller's fields. */
  bool has_own_head{};
  /** Pause before each part. */
  std::chrono::milliseconds pause{0};
};

inline std::ostream& operator<<(std::ostream& out,
                                const endless_request& form) {
  return out << form.name;
}

/** @brief Returns a chunk of a body. */
inline std::string Chunk(std::size_t size) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string length;
  for (auto rest = size; rest > 0; rest /= kDigits.size()) {
    length.insert(length.begin(), kDigits[rest % kDigits.size()]);
  }
  return length + "\r\n" + std::string(size, 'x') + "\r\n";
}

/** @brief Returns a form that stops just short of the end of a body. */
inline endless_request Unfinished(const char* name,
                                  const std::string& beginning,
                                  const std::string& part,
                                  std::size_t bytes) {
  return {name, beginning, part, kUnfinishedCallers, bytes};
}

/** @brief Returns the ways in which a request may have no end. */
inline std::vector<endless_request> EndlessRequests() {
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  const std::string last_chunk = chunked + "1\r\nx\r\n0\r\n";
  constexpr std::size_t kPart = 16384;
  const std::string text(kPart, 'x');
  const auto length = [](std::size_t bytes) {
    return "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
  };
  const auto nearly_full = kBodyLimit - 1;
  std::vector<endless_request> out{
      {"one_trailer", last_chunk + "X-Field: ", text},
      {"trailer_fields", last_chunk, "X-Field: value\r\n"},
      {"chunk_extension", chunked + "10;name=", text},
      {"chunk_extensions", chunked, "1;name=value\r\nx\r\n"},
      {"announced_over_limit", length(kBodyLimit * 64), text},
      {"announced_over_limit_not_sent", length(kBodyLimit * 64), ""},
      {"chunks_over_limit", chunked, Chunk(kPart), kUnfinishedCallers},
      {"head_without_end", "GET /", text},
      {"fields_without_end", "", "X-Field: value\r\n"},
      Unfinished("large_chunks", chunked, Chunk(kPart),
                 Chunk(kPart).size() * (nearly_full / kPart)),
      Unfinished("small_chunks", chunked, Chunk(16),
                 Chunk(16).size() * (nearly_full / 16)),
      Unfinished("one_byte_chunks", chunked, Chunk(1),
                 Chunk(1).size() * (nearly_full / 8)),
      Unfinished("one_chunk", chunked + "fffff\r\n", text, nearly_full - 1),
      Unfinished("length", length(nearly_full), text, nearly_full - 1)};
  out[7].has_own_head = true;
  endless_request drip =
      Unfinished("dripping_body", length(nearly_full), "x", 4);
  drip.pause = std::chrono::seconds(1);
  out.push_back(drip);
  return out;
}

/** @brief Callers that send a request without end and keep the connection open
 * for the lifetime of this object. They read no answer. */
class endless_crowd {
 public:
  /** @param head Request line and fields of an ordinary request, without the
   * empty line. */
  endless_crowd(asio::io_context& io,
                const std::string& address,
                const std::string& head,
                const endless_request& form)
      : io_(io) {
    sockets_.reserve(static_cast<std::size_t>(form.callers));
    for (int i = 0; i < form.callers; ++i) {
      auto& socket = sockets_.emplace_back(io);
      boost::system::error_code failure;
      socket.connect(net::ParseEndpoint(address), failure);
      ++unfinished_;
      asio::co_spawn(io, Send(socket, head, form),
                     [this](std::exception_ptr) { --unfinished_; });
    }
  }
  ~endless_crowd() {
    for (auto& socket : sockets_) {
      boost::system::error_code ignored;
      socket.close(ignored);
    }
    while (unfinished_ > 0) {
      io_.restart();
      io_.run_for(std::chrono::milliseconds(10));
    }
  }
  endless_crowd(const endless_crowd&) = delete;
  endless_crowd& operator=(const endless_crowd&) = delete;

  /** @brief Runs the callers until all have sent what they may, were cut off,
   * or kCrowdTime has passed, and the entry has read what it takes. */
  void Run() {
    const auto end = std::chrono::steady_clock::now() + kCrowdTime;
    while (unfinished_ > 0 && std::chrono::steady_clock::now() < end) {
      io_.restart();
      io_.run_for(std::chrono::milliseconds(20));
    }
    io_.restart();
    io_.run_for(kReadTime);
  }

 private:
  static asio::awaitable<void> Send(asio::ip::tcp::socket& socket,
                                    std::string head,
                                    endless_request form) {
    boost::system::error_code failure;
    const auto first =
        form.has_own_head ? form.beginning : head + form.beginning;
    co_await asio::async_write(
        socket, asio::buffer(first),
        asio::redirect_error(asio::use_awaitable, failure));
    std::string block = form.part;
    constexpr std::size_t kBlock = 16384;
    while (!block.empty() && form.pause.count() == 0 && block.size() < kBlock) {
      block += form.part;
    }
    asio::steady_timer timer(socket.get_executor());
    for (std::size_t left = block.empty() ? 0 : form.bytes;
         left > 0 && !failure;) {
      if (form.pause.count() > 0) {
        timer.expires_after(form.pause);
        co_await timer.async_wait(
            asio::redirect_error(asio::use_awaitable, failure));
      }
      const auto size = std::min(left, block.size());
      co_await asio::async_write(
          socket, asio::buffer(block.data(), size),
          asio::redirect_error(asio::use_awaitable, failure));
      left -= size;
    }
  }

  asio::io_context& io_;
  std::vector<asio::ip::tcp::socket> sockets_;
  int unfinished_{};
};

/** @brief Returns the number of open descriptors of a process. */
inline std::size_t OpenDescriptors(int process_id) {
  const std::filesystem::directory_iterator all(
      "/proc/" + std::to_string(process_id) + "/fd");
  return static_cast<std::size_t>(
      std::distance(all, std::filesystem::directory_iterator{}));
}

}  // namespace mimosadeck::system_test

#endif  // TEST_SYSTEM_ENDLESS_REQUESTS_H_
