#ifndef BASE_DIGEST_H_
#define BASE_DIGEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mimosadeck {

/**
 * @brief Computes SHA-256 of a text.
 * @param text Bytes to hash.
 * @return 64 lower-case hexadecimal digits.
 */
[[nodiscard]] std::string Sha256Hex(std::string_view text);

/**
 * @brief Computes HMAC-SHA-256.
 * @param secret Key of the code, in bytes.
 * @param text Bytes to authenticate.
 * @return 32 raw bytes.
 */
[[nodiscard]] std::string HmacSha256(std::string_view secret,
                                     std::string_view text);

/**
 * @brief Compares two byte strings in time that depends on length only.
 * @return True if both have equal length and content.
 */
[[nodiscard]] bool ConstantTimeEqual(std::string_view a, std::string_view b);

/**
 * @brief Computes a fast 64-bit hash for placement; not for secrets.
 * @param text Bytes to hash.
 * @param seed Selects one of many independent hash functions.
 * @return 64-bit hash.
 */
[[nodiscard]] std::uint64_t Hash64(std::string_view text,
                                   std::uint64_t seed = 0);

/**
 * @brief Returns random bytes of the operating system as hexadecimal.
 * @param bytes Number of random bytes.
 * @return Twice as many lower-case hexadecimal digits.
 */
[[nodiscard]] std::string RandomHex(std::size_t bytes);

/** @brief Writes bytes as base64. */
[[nodiscard]] std::string EncodeBase64(std::string_view bytes);

/** @brief Reads base64. @return Nothing if the text is none. */
[[nodiscard]] std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace mimosadeck

#endif  // BASE_DIGEST_H_
