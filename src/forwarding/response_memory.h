#ifndef FORWARDING_RESPONSE_MEMORY_H_
#define FORWARDING_RESPONSE_MEMORY_H_

#include <cstdint>
#include <memory>

#include "forwarding/fwd.h"

namespace mimosadeck::forwarding {

/** Bytes that each response may hold even when the memory is used up, so that
 * oversized responses do not fail ordinary ones. */
inline constexpr std::uint64_t kReservedResponseBytes = std::uint64_t{64}
                                                        << 10U;

/** @brief Memory for the bytes of responses that were received from upstreams
 * and not yet passed on to callers. */
struct response_memory {
  /** Bytes that all responses together may hold. */
  std::uint64_t limit{};
  /** Bytes that they hold. */
  std::uint64_t used{};
};

/** @brief The bytes of one response, counted until this object is destroyed.
 * Must be used on the thread of its memory. */
class held_bytes {
 public:
  explicit held_bytes(std::shared_ptr<response_memory> memory);
  ~held_bytes();
  held_bytes(held_bytes&& other) noexcept;
  held_bytes& operator=(held_bytes&& other) noexcept;

  /** @brief Sets the number of bytes that the response holds. */
  void Set(std::uint64_t bytes);

  /** @brief Returns true if the response may hold the bytes that it holds. */
  [[nodiscard]] bool IsWithinLimit() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace mimosadeck::forwarding

#endif  // FORWARDING_RESPONSE_MEMORY_H_
