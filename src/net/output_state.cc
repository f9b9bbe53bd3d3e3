#include "net/output_state.h"

#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace mimosadeck::net::internal {
namespace {

/** State of a connection that ended; the header with the system's name for it
 * excludes the one with all fields of tcp_info. */
constexpr int kClosedState = 7;

}  // namespace

std::optional<output_state> ReadOutputState(int descriptor) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return std::nullopt;
  }
  output_state out;
  out.awaits_acknowledgement = info.tcpi_unacked > 0 || info.tcpi_probes > 0;
  out.acknowledged_bytes = info.tcpi_bytes_acked;
  out.since_acknowledgement =
      std::chrono::milliseconds(info.tcpi_last_ack_recv);
  // The system goes on to count the bytes of a connection that ended.
  out.pending_bytes =
      info.tcpi_state == kClosedState ? 0 : PendingBytes(descriptor);
  return out;
}

std::uint64_t PendingBytes(int descriptor) {
  int bytes = 0;
  return ioctl(descriptor, SIOCOUTQ, &bytes) == 0 && bytes > 0
             ? static_cast<std::uint64_t>(bytes)
             : 0;
}

}  // namespace mimosadeck::net::internal
