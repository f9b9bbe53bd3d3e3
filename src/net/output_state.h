#ifndef NET_OUTPUT_STATE_H_
#define NET_OUTPUT_STATE_H_

#include <optional>

#include "net/peer_silence.h"

namespace mimosadeck::net::internal {

/** @brief Asks the system about the output of a TCP socket; a connection that
 * failed has no pending bytes. @return Nothing if the system does not tell, or
 * the descriptor is no TCP socket. */
[[nodiscard]] std::optional<output_state> ReadOutputState(int descriptor);

/** @brief Returns the bytes that were written to a TCP socket and not
 * acknowledged, also after the connection failed; 0 if that is unknown. */
[[nodiscard]] std::uint64_t PendingBytes(int descriptor);

}  // namespace mimosadeck::net::internal

#endif  // NET_OUTPUT_STATE_H_
