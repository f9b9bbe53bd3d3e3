#ifndef NET_ADDRESS_H_
#define NET_ADDRESS_H_

#include <stdexcept>
#include <string>

#include <boost/asio/ip/tcp.hpp>

namespace mimosadeck::net {

/**
 * @brief Reads `IP:PORT`; IPv6 addresses stand in brackets.
 * @throw std::invalid_argument if the text is no such address.
 */
[[nodiscard]] inline boost::asio::ip::tcp::endpoint ParseEndpoint(
    const std::string& text) {
  constexpr unsigned long kHighestPort = 65535;
  const auto colon = text.rfind(':');
  if (colon == std::string::npos || colon + 1 == text.size()) {
    throw std::invalid_argument("no IP:PORT: " + text);
  }
  std::string host = text.substr(0, colon);
  if (host.size() > 1 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  const unsigned long port = std::stoul(text.substr(colon + 1));
  if (port > kHighestPort) {
    throw std::invalid_argument("no port: " + text);
  }
  return {boost::asio::ip::make_address(host),
          static_cast<unsigned short>(port)};
}

/** @brief Writes an endpoint as `IP:PORT`. */
[[nodiscard]] inline std::string FormatEndpoint(
    const boost::asio::ip::tcp::endpoint& endpoint) {
  const auto host = endpoint.address().to_string();
  const auto port = std::to_string(endpoint.port());
  return endpoint.address().is_v6() ? "[" + host + "]:" + port
                                    : host + ":" + port;
}

}  // namespace mimosadeck::net

#endif  // NET_ADDRESS_H_
