#ifndef NET_ADDRESS_H_
#define NET_ADDRESS_H_

#include <stdexcept>
#include <string>

#include <boost/asio/ip/tcp.hpp>

namespace mimosadeck::net {

/**
 * @brief Parses `IP:PORT`; an IPv6 address is enclosed in brackets.
 * @throw std::exception if the text is not such an address.
 */
[[nodiscard]] inline boost::asio::ip::tcp::endpoint ParseEndpoint(
    const std::string& text) {
  constexpr unsigned long kMaxPort = 65535;
  const auto colon = text.rfind(':');
  if (colon == std::string::npos || colon + 1 == text.size()) {
    throw std::invalid_argument("not an address of the form IP:PORT: " + text);
  }
  std::string host = text.substr(0, colon);
  if (host.size() > 1 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  const unsigned long port = std::stoul(text.substr(colon + 1));
  if (port > kMaxPort) {
    throw std::invalid_argument("port out of range: " + text);
  }
  return {boost::asio::ip::make_address(host),
          static_cast<unsigned short>(port)};
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
