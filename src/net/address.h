#ifndef NET_ADDRESS_H_
#define NET_ADDRESS_H_

#include <charconv>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

namespace mimosadeck::net {

namespace internal {

/** @brief Reads a port of decimal digits; nullopt for any other text. */
[[nodiscard]] inline std::optional<unsigned short> ReadPort(
    std::string_view text) {
  unsigned short port = 0;
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, port);
  if (read.ec != std::errc{} || read.ptr != end) {
    return std::nullopt;
  }
  return port;
}

/** @brief Returns the IPv4 address that an IPv6 address contains, if any. */
[[nodiscard]] inline boost::asio::ip::address Unmap(
    const boost::asio::ip::address& address) {
  namespace ip = boost::asio::ip;
  if (!address.is_v6() || !address.to_v6().is_v4_mapped()) {
    return address;
  }
  return ip::make_address_v4(ip::v4_mapped, address.to_v6());
}

}  // namespace internal

/**
 * @brief Reads `IP:PORT`; an IPv6 address is enclosed in brackets.
 * @return nullopt if the text is anything else.
 */
[[nodiscard]] inline std::optional<boost::asio::ip::tcp::endpoint> ReadEndpoint(
    std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  auto host = text.substr(0, colon);
  if (host.size() > 1 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  const auto port = internal::ReadPort(text.substr(colon + 1));
  // The system reads an address up to the first zero byte.
  if (!port || host.find('\0') != std::string_view::npos) {
    return std::nullopt;
  }
  boost::system::error_code failure;
  const auto address =
      boost::asio::ip::make_address(std::string(host), failure);
  if (failure) {
    return std::nullopt;
  }
  return boost::asio::ip::tcp::endpoint(address, *port);
}

/**
 * @brief Reads the address of a listener on one machine, as others name it.
 * @return nullopt if the text is no `IP:PORT`, or if no single listener can
 * have it: port 0, and unspecified, multicast and broadcast addresses.
 */
[[nodiscard]] inline std::optional<boost::asio::ip::tcp::endpoint>
ReadRemoteEndpoint(std::string_view text) {
  const auto out = ReadEndpoint(text);
  if (!out || out->port() == 0) {
    return std::nullopt;
  }
  const auto address = internal::Unmap(out->address());
  const bool is_broadcast =
      address.is_v4() &&
      address.to_v4() == boost::asio::ip::address_v4::broadcast();
  if (address.is_unspecified() || address.is_multicast() || is_broadcast) {
    return std::nullopt;
  }
  return out;
}

/** @brief Returns whether ReadRemoteEndpoint() accepts a text. */
[[nodiscard]] inline bool IsRemoteEndpoint(std::string_view text) {
  return ReadRemoteEndpoint(text).has_value();
}

/**
 * @brief Parses the `IP:PORT` of an own listener at the start of a process.
 * @throw std::invalid_argument if ReadEndpoint() does not accept the text.
 */
[[nodiscard]] inline boost::asio::ip::tcp::endpoint ParseEndpoint(
    const std::string& text) {
  const auto out = ReadEndpoint(text);
  if (!out) {
    throw std::invalid_argument("not an address of the form IP:PORT: " + text);
  }
  return *out;
}

/** @brief Formats an endpoint as `IP:PORT`. */
[[nodiscard]] inline std::string FormatEndpoint(
    const boost::asio::ip::tcp::endpoint& endpoint) {
  const auto host = endpoint.address().to_string();
  const auto port = std::to_string(endpoint.port());
  return endpoint.address().is_v6() ? "[" + host + "]:" + port
                                    : host + ":" + port;
}

}  // namespace mimosadeck::net

#endif  // NET_ADDRESS_H_
