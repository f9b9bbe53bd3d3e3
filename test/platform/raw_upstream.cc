#include "platform/raw_upstream.h"

#include <cctype>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>

#include "platform/wait.h"

namespace mimosadeck::platform_test {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";

/** @brief Returns the value of a field of a request head. */
std::string ValueIn(const std::string& head, std::string_view name) {
  std::string lower(head);
  for (char& c : lower) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  const auto key = "\r\n" + std::string(name) + ": ";
  const auto at = lower.find(key);
  if (at == std::string::npos) {
    return {};
  }
  const auto begin = at + key.size();
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

raw_request ParseHead(const std::string& head, int number) {
  raw_request out;
  const auto begin = head.find(' ') + 1;
  out.target = head.substr(begin, head.find(' ', begin) - begin);
  out.id = ValueIn(head, "x-request-id");
  out.number = number;
  return out;
}

asio::awaitable<error_code> Write(tcp::socket& socket, raw_script script) {
  error_code failure;
  for (const auto& next : script) {
    if (next.pause.count() > 0) {
      co_await Wait(next.pause);
    }
    co_await asio::async_write(
        socket, asio::buffer(next.bytes),
        asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
      break;
    }
    if (next.resets) {
      socket.set_option(tcp::socket::linger(true, 0));
      socket.close();
      co_return asio::error::connection_reset;
    }
  }
  co_return failure;
}

}  // namespace

std::string RawResponse(const std::string& status_line,
                        const std::string& fields,
                        const std::string& body) {
  return "HTTP/1.1 " + status_line + "\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string RawRefusal(const std::string& status_line,
                       const std::string& fields) {
  return RawResponse(status_line, fields + "X-Not-Executed: 1\r\n", "full");
}

raw_upstream::raw_upstream(asio::io_context& io)
    : io_(io), acceptor_(io, {asio::ip::make_address("127.0.0.1"), 0}) {
  asio::co_spawn(io_, Accept(), asio::detached);
}

std::string raw_upstream::Entry() const {
  return json::serialize(json::object{
      {"service", "pool"},
      {"address",
       "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port())},
      {"zone", "a"},
      {"version", "v1"},
      {"slots", 4},
      {"state", "ready"},
      {"cold_left_ms", 0},
      {"seq", 1},
      {"born", 5}});
}

asio::awaitable<void> raw_upstream::Accept() {
  while (true) {
    error_code failure;
    auto socket = co_await acceptor_.async_accept(
        asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
      co_return;
    }
    asio::co_spawn(io_, Serve(std::move(socket)), asio::detached);
  }
}

asio::awaitable<void> raw_upstream::Serve(tcp::socket socket) {
  error_code failure;
  if (on_accept) {
    auto script = on_accept();
    failure = co_await Write(socket, std::move(script));
  }
  std::string buffer;
  int number = 0;
  while (!failure) {
    const auto size = co_await asio::async_read_until(
        socket, asio::dynamic_buffer(buffer), kHeadEnd,
        asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
      break;
    }
    const auto head = buffer.substr(0, size);
    buffer.erase(0, size);
    const auto request = ParseHead(head, ++number);
    const bool is_expected = ValueIn(head, "x-expect-instance") == id;
    if (on_head && is_expected) {
      auto script = on_head(request);
      failure = co_await Write(socket, std::move(script));
    }
    const auto length = ValueIn(head, "content-length");
    const auto body = length.empty() ? 0 : std::stoul(length);
    if (!failure && buffer.size() < body) {
      co_await asio::async_read(
          socket, asio::dynamic_buffer(buffer),
          asio::transfer_exactly(body - buffer.size()),
          asio::redirect_error(asio::use_awaitable, failure));
    }
    if (failure) {
      break;
    }
    buffer.erase(0, body);
    if (is_expected) {
      received.push_back(request);
    }
    auto script =
        is_expected
            ? on_request(request)
            : raw_script{{RawRefusal("421 Misdirected Request",
                                     "X-Request-Id: " + request.id + "\r\n")}};
    failure = co_await Write(socket, std::move(script));
  }
  closed_by_peer += number > 0 ? 1 : 0;
}

}  // namespace mimosadeck::platform_test
