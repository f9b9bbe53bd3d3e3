#ifndef RETRY_RETRY_H_
#define RETRY_RETRY_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "base/time.h"

namespace mimosadeck::retry {

/**
 * @brief Limit on retries to one service, over all entries together in any
 * window.
 */
struct limit {
  /** Retries allowed for each first attempt. */
  double ratio{0.2};
  /** Further retries allowed in a window, whatever the number of attempts. */
  double extra{0};
  std::chrono::milliseconds window{10000};
};

/**
 * @brief One entry's share of a limit, as a token bucket of retries.
 *
 * Half of the extra retries form the burst and half are refilled over a window,
 * so that no window exceeds the limit.
 */
struct budget {
  /** Unset before the first use. */
  std::optional<double> tokens;
  mono_time filled_at;
};

/** Fraction of the limit in use; the rest covers entries not counted yet. */
inline constexpr double kSafetyFactor = 0.8;

/**
 * @brief Adds the budget earned by the first attempt of a request.
 * @param entries Number of entries that share the limit.
 */
void OnFirstAttempt(budget& state,
                    const limit& allowed,
                    std::uint32_t entries,
                    mono_time now);

/** @brief Takes one retry from the budget. @return False if it is spent. */
[[nodiscard]] bool TryRetry(budget& state,
                            const limit& allowed,
                            std::uint32_t entries,
                            mono_time now);

}  // namespace mimosadeck::retry

#endif  // RETRY_RETRY_H_
