#ifndef RETRY_RETRY_H_
#define RETRY_RETRY_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "base/time.h"

namespace mimosadeck::retry {

/**
 * @brief The limit on repeated arrivals at one service, for all entries
 * together in any window.
 */
struct limit {
  /** Repeats allowed for each first arrival. */
  double ratio{0.2};
  /** Repeats allowed in a window besides. */
  double extra{0};
  std::chrono::milliseconds window{10000};
};

/**
 * @brief One entry's share of a limit, as a token bucket.
 *
 * Half of the extra repeats may be spent at once and half flow back over a
 * window, so that no window sees more than the whole.
 */
struct budget {
  std::optional<double> tokens;
  mono_time filled_at;
};

/** Part of the limit that is used; the rest covers entries not counted yet. */
inline constexpr double kSafePart = 0.8;

/**
 * @brief Takes note of a request's first arrival at the service.
 * @param entries Entries that share the limit.
 */
void OnFirstAttempt(budget& state,
                    const limit& allowed,
                    std::uint32_t entries,
                    mono_time now);

/** @brief Takes one repeat. @return False if the share is spent. */
[[nodiscard]] bool TryRetry(budget& state,
                            const limit& allowed,
                            std::uint32_t entries,
                            mono_time now);

}  // namespace mimosadeck::retry

#endif  // RETRY_RETRY_H_
