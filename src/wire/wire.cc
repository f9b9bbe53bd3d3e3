#include "wire/wire.h"

#include "base/digest.h"

namespace mimosadeck::wire {

sealed_message Seal(const envelope& message, std::string_view secret) {
  sealed_message out;
  message.SerializeToString(&out.payload);
  out.code = HmacSha256(secret, out.payload);
  return out;
}

result<envelope> Open(const sealed_message& message, std::string_view secret) {
  if (!ConstantTimeEqual(HmacSha256(secret, message.payload), message.code)) {
    return error{result_code::bad_argument,
                 "the authentication code does not match"};
  }
  envelope out;
  if (!out.ParseFromString(message.payload)) {
    return error{result_code::bad_argument, "the message cannot be parsed"};
  }
  return out;
}

}  // namespace mimosadeck::wire
