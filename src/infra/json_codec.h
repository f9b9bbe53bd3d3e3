#ifndef INFRA_JSON_CODEC_H_
#define INFRA_JSON_CODEC_H_

#include <string>
#include <string_view>

#include "base/result.h"
#include "infra/types.h"

namespace mimosadeck::infra {

/**
 * @brief Encodes a request as the JSON body of the platform's HTTP interface.
 * @param value Request to encode.
 * @return JSON text with a member `op` with the name of the request.
 */
[[nodiscard]] std::string EncodeRequest(const request& value);

/**
 * @brief Decodes a request from JSON.
 * @param text JSON text in the format of EncodeRequest.
 * @return The request, or the error malformed_json.
 */
[[nodiscard]] result<request> DecodeRequest(std::string_view text);

/**
 * @brief Encodes a reply as JSON.
 * @param value Reply to encode.
 * @return JSON text with a member `kind` with the name of the reply.
 */
[[nodiscard]] std::string EncodeReply(const reply& value);

/**
 * @brief Decodes a reply from JSON.
 * @param text JSON text in the format of EncodeReply.
 * @return The reply, or the error malformed_json.
 */
[[nodiscard]] result<reply> DecodeReply(std::string_view text);

}  // namespace mimosadeck::infra

#endif  // INFRA_JSON_CODEC_H_
