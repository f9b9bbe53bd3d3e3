#ifndef REGISTRY_STORE_VERSION_H_
#define REGISTRY_STORE_VERSION_H_

#include <cstdint>
#include <optional>

namespace mimosadeck::registry {

/**
 * @brief A place in the history of the store: an era, and a version within it.
 *
 * The store numbers its versions within an era. It begins a new era when it
 * returns from an older copy, and then gives out numbers again. The underlying
 * value orders places by era first, and is the same number as the version in
 * era 0.
 */
enum class store_version : std::uint64_t {};

/** Bits of the underlying value that hold the version within an era. */
inline constexpr unsigned kNumberBits = 48;
inline constexpr std::uint64_t kMaxNumber =
    (std::uint64_t{1} << kNumberBits) - 1;
inline constexpr std::uint64_t kMaxEra =
    (std::uint64_t{1} << (64U - kNumberBits)) - 1;

/** @brief Returns the place of a version; nullopt if the era or the number is
 * too large. */
[[nodiscard]] constexpr std::optional<store_version> MakeStoreVersion(
    std::uint64_t era,
    std::uint64_t number) {
  if (era > kMaxEra || number > kMaxNumber) {
    return std::nullopt;
  }
  return store_version{era << kNumberBits | number};
}

/** @brief Returns the era of a place. */
[[nodiscard]] constexpr std::uint64_t EraOf(store_version at) {
  return static_cast<std::uint64_t>(at) >> kNumberBits;
}

/** @brief Returns the version of a place within its era. */
[[nodiscard]] constexpr std::uint64_t NumberOf(store_version at) {
  return static_cast<std::uint64_t>(at) & kMaxNumber;
}

/** @brief Returns a place as a number for messages between entries, which keeps
 * its order. */
[[nodiscard]] constexpr std::uint64_t ToInteger(store_version at) {
  return static_cast<std::uint64_t>(at);
}

}  // namespace mimosadeck::registry

#endif  // REGISTRY_STORE_VERSION_H_
