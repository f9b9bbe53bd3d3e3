#ifndef WIRE_WIRE_H_
#define WIRE_WIRE_H_

#include <string>
#include <string_view>

#include "base/result.h"
#include "wire/peer.pb.h"

namespace mimosadeck::wire {

/**
 * @brief A serialized message between entries and its authentication code.
 */
struct sealed_message {
  /** Serialized envelope. */
  std::string payload;
  /** HMAC-SHA-256 of the payload. */
  std::string code;
};

/**
 * @brief Serializes and authenticates an envelope.
 * @param message Envelope to send.
 * @param secret Secret shared by all entries of the fleet.
 * @return Payload and its HMAC-SHA-256.
 */
[[nodiscard]] sealed_message Seal(const envelope& message,
                                  std::string_view secret);

/**
 * @brief Authenticates and parses a message from another entry.
 * @param message Payload and code as received.
 * @param secret Secret shared by all entries of the fleet.
 * @return The envelope; bad_argument if the code is wrong or the payload does
 * not parse.
 */
[[nodiscard]] result<envelope> Open(const sealed_message& message,
                                    std::string_view secret);

}  // namespace mimosadeck::wire

#endif  // WIRE_WIRE_H_
