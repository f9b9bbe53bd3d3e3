#ifndef TEST_SYSTEM_STREAM_BYTES_H_
#define TEST_SYSTEM_STREAM_BYTES_H_

#include <charconv>
#include <cstddef>
#include <sstream>
#include <string>
#include <string_view>

namespace mimosadeck::system_test {

inline constexpr int kEvents = 6;
/** Whole events of the first run in the streams that break off. */
inline constexpr int kEventsBeforeBreak = 3;
/** Part of every error body, which no caller of a begun stream may get. */
inline constexpr std::string_view kErrorText = "overload-page";

inline std::string Event(int number) {
  return "id: " + std::to_string(number) + "\ndata: piece " +
         std::to_string(number) + "\n\n";
}

inline std::string Events(int first, int last) {
  std::string out;
  for (int i = first; i <= last; ++i) {
    out += Event(i);
  }
  return out;
}

inline std::string Chunk(const std::string& bytes) {
  std::ostringstream out;
  out << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
  return out.str();
}

/** @brief Returns events as one chunk each. */
inline std::string Chunks(int first, int last) {
  std::string out;
  for (int i = first; i <= last; ++i) {
    out += Chunk(Event(i));
  }
  return out;
}

inline const std::string kLastChunk = "0\r\n\r\n";
inline const std::string kChunked = "Transfer-Encoding: chunked\r\n";
inline const std::string kEventStream = "Content-Type: text/event-stream\r\n";
inline const std::string kFirstStamp = "X-Server-Stamp: run-one\r\n";
inline const std::string kSecondStamp = "X-Server-Stamp: run-two\r\n";
inline const std::string kNotExecuted = "X-Not-Executed: 1\r\n";

inline std::string Length(std::size_t bytes) {
  return "Content-Length: " + std::to_string(bytes) + "\r\n";
}

inline std::string Head(int status, const std::string& fields) {
  return "HTTP/1.1 " + std::to_string(status) +
         " Status\r\nX-Request-Id: the-id\r\n" + fields + "\r\n";
}

/** @brief Returns the head of the run that goes on after the break. */
inline std::string ResumedHead(const std::string& fields) {
  return Head(200, kEventStream + kSecondStamp + fields);
}

/** @brief What a caller received on its connection until it was closed. */
struct raw_answer {
  std::string head;
  std::string body;
  /** The body ended with the last chunk. */
  bool is_complete{};
  /** Bytes where a chunk was due, or after the last chunk. */
  std::string unframed;
};

/** @brief Parses a response in chunks, as far as it came. */
inline raw_answer ParseChunked(const std::string& bytes) {
  raw_answer out;
  const auto head_end = bytes.find("\r\n\r\n");
  if (head_end == std::string::npos) {
    out.unframed = bytes;
    return out;
  }
  out.head = bytes.substr(0, head_end + 4);
  auto rest = bytes.substr(head_end + 4);
  while (!rest.empty() && !out.is_complete) {
    std::size_t size = 0;
    const auto* const end = rest.data() + rest.size();
    constexpr int kHexadecimal = 16;
    const auto read = std::from_chars(rest.data(), end, size, kHexadecimal);
    const auto begin = static_cast<std::size_t>(read.ptr - rest.data()) + 2;
    if (read.ec != std::errc{} || begin + size + 2 > rest.size()) {
      break;
    }
    out.body += rest.substr(begin, size);
    out.is_complete = size == 0;
    rest.erase(0, begin + size + 2);
  }
  out.unframed = rest;
  return out;
}

}  // namespace mimosadeck::system_test

#endif  // TEST_SYSTEM_STREAM_BYTES_H_
