#ifndef SOAK_LINK_PROXY_H_
#define SOAK_LINK_PROXY_H_

#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

namespace mimosadeck::soak {

/** @brief Network fault that a link injects. */
enum class link_fault {
  none,
  /** Data is forwarded with a delay. */
  delayed,
  /** Existing and new connections are reset. */
  reset,
  /** No data reaches the server until the fault ends; none is lost. */
  requests_cut,
  /** No data reaches the client until the fault ends; none is lost. */
  answers_cut,
  /** Both directions are cut. */
  silent,
};

/** @brief TCP proxy over loopback that injects faults on demand. */
class link_proxy {
 public:
  /** @param target `IP:PORT` of the server. */
  link_proxy(boost::asio::io_context& io, std::string target);
  ~link_proxy();
  link_proxy(const link_proxy&) = delete;
  link_proxy& operator=(const link_proxy&) = delete;

  /** @brief Returns the listening address as `IP:PORT`. */
  [[nodiscard]] const std::string& Address() const;

  /** @brief Sets the server of new connections; open ones keep theirs. */
  void SetTarget(std::string target);

  void SetFault(link_fault fault);

  [[nodiscard]] link_fault Fault() const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace mimosadeck::soak

#endif  // SOAK_LINK_PROXY_H_
