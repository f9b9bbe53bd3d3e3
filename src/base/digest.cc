#include "base/digest.h"

#include <array>
#include <span>
#include <stdexcept>
#include <vector>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <xxhash.h>

namespace mimosadeck {
namespace internal {
namespace {

std::string ToHex(std::span<const unsigned char> bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string out;
  out.reserve(bytes.size() * 2);
  for (const unsigned char byte : bytes) {
    out.push_back(kDigits[byte >> 4U]);
    out.push_back(kDigits[byte & 0xFU]);
  }
  return out;
}

}  // namespace
}  // namespace internal

std::string Sha256Hex(std::string_view text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(),
             nullptr);
  return internal::ToHex({digest.data(), size});
}

std::string HmacSha256(std::string_view secret, std::string_view text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> code{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       code.data(), &size);
  return {reinterpret_cast<const char*>(code.data()), size};
}

bool ConstantTimeEqual(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::uint64_t Hash64(std::string_view text, std::uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

std::string RandomHex(std::size_t bytes) {
  std::vector<unsigned char> buffer(bytes);
  if (RAND_bytes(buffer.data(), static_cast<int>(bytes)) != 1) {
    throw std::runtime_error("the system's random number generator failed");
  }
  return internal::ToHex(buffer);
}

std::string EncodeBase64(std::string_view bytes) {
  std::string out(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  const int size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  out.resize(static_cast<std::size_t>(size));
  return out;
}

std::optional<std::string> DecodeBase64(std::string_view text) {
  if (text.empty()) {
    return std::string{};
  }
  std::string out(3 * (text.size() / 4) + 3, '\0');
  const int size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (size < 0) {
    return std::nullopt;
  }
  const std::size_t padding = text.ends_with("==")  ? 2
                              : text.ends_with('=') ? 1
                                                    : 0;
  out.resize(static_cast<std::size_t>(size) - padding);
  return out;
}

}  // namespace mimosadeck
