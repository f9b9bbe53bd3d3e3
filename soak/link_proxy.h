#ifndef SOAK_LINK_PROXY_H_
#define SOAK_LINK_PROXY_H_

#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

namespace mimosadeck::soak {

/** @brief What a link does to its connections. */
enum class link_fault {
  none,
  /** Each piece waits before it goes on. */
  delayed,
  /** Present and new connections are reset. */
  reset,
  /** Nothing reaches the server; what was sent arrives when the link heals. */
  requests_cut,
  /** Nothing reaches the client; what was sent arrives when the link heals. */
  answers_cut,
  /** Cut both ways. */
  silent,
};

/** @brief Returns a fault's name, for logs. */
[[nodiscard]] std::string_view NameOf(link_fault fault);

/** @brief A TCP link over loopback with faults that can be switched on. */
class link_proxy {
 public:
  /** @param target `IP:PORT` of the server. */
  link_proxy(boost::asio::io_context& io, std::string target);
  ~link_proxy();
  link_proxy(const link_proxy&) = delete;
  link_proxy& operator=(const link_proxy&) = delete;

  /** @brief Returns where clients connect, as `IP:PORT`. */
  [[nodiscard]] const std::string& Address() const;

  /** @brief Replaces the server of later connections. */
  void SetTarget(std::string target);

  void SetFault(link_fault fault);

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace mimosadeck::soak

#endif  // SOAK_LINK_PROXY_H_
