#ifndef INFRA_JSON_CODEC_H_
#define INFRA_JSON_CODEC_H_

#include <string>
#include <string_view>

#include "base/result.h"
#include "infra/types.h"

namespace mimosadeck::infra {

/**
 * @brief Writes a request as the JSON body of the platform's HTTP interface.
 * @param value Request to write.
 * @return JSON text with a member `op` that names the request.
 */
[[nodiscard]] std::string EncodeRequest(const request& value);

/**
 * @brief Reads a request from JSON.
 * @param text JSON text as EncodeRequest writes it.
 * @return The request, or malformed_json.
 */
[[nodiscard]] result<request> DecodeRequest(std::string_view text);

/**
 * @brief Writes a reply as JSON.
 * @param value Reply to write.
 * @return JSON text with a member `kind` that names the reply.
 */
[[nodiscard]] std::string EncodeReply(const reply& value);

/**
 * @brief Reads a reply from JSON.
 * @param text JSON text as EncodeReply writes it.
 * @return The reply, or malformed_json.
 */
[[nodiscard]] result<reply> DecodeReply(std::string_view text);

}  // namespace mimosadeck::infra

#endif  // INFRA_JSON_CODEC_H_
