#ifndef BASE_DIGEST_H_
#define BASE_DIGEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mimosadeck {

/**
 * @brief Computes the SHA-256 digest of a text.
 * @param text Bytes to hash.
 * @return 64 lower-case hexadecimal digits.
 */
[[nodiscard]] std::string Sha256Hex(std::string_view text);

/**
 * @brief Computes HMAC-SHA-256.
 * @param secret Secret key, as raw bytes.
 * @param text Bytes to authenticate.
 * @return 32 raw bytes.
 */
[[nodiscard]] std::string HmacSha256(std::string_view secret,
                                     std::string_view text);

/**
 * @brief Compares two byte strings in a time that depends only on their
 * length, for secrets.
 * @return True if both have equal length and content.
 */
[[nodiscard]] bool ConstantTimeEqual(std::string_view a, std::string_view b);

/**
 * @brief Computes a fast 64-bit hash for placement; not cryptographic.
 * @param text Bytes to hash.
 * @param seed Selects one of many independent hash functions.
 * @return 64-bit hash.
 */
[[nodiscard]] std::uint64_t Hash64(std::string_view text,
                                   std::uint64_t seed = 0);

/** @brief Mixes the bits of a number with the finalizer of SplitMix64. */
[[nodiscard]] constexpr std::uint64_t MixBits(std::uint64_t value) {
  constexpr std::uint64_t kFirst = 0xbf58476d1ce4e5b9ULL;
  constexpr std::uint64_t kSecond = 0x94d049bb133111ebULL;
  value = (value ^ (value >> 30U)) * kFirst;
  value = (value ^ (value >> 27U)) * kSecond;
  return value ^ (value >> 31U);
}

/**
 * @brief Returns random bytes from the system's secure generator as
 * hexadecimal.
 * @param bytes Number of random bytes.
 * @return Two lower-case hexadecimal digits for each byte.
 * @throw std::runtime_error if the generator fails.
 */
[[nodiscard]] std::string RandomHex(std::size_t bytes);

/** @brief Encodes bytes as base64. */
[[nodiscard]] std::string EncodeBase64(std::string_view bytes);

/** @brief Decodes base64. @return Nothing if the text is not valid base64. */
[[nodiscard]] std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace mimosadeck

#endif  // BASE_DIGEST_H_
