#ifndef OUTLIER_OUTLIER_H_
#define OUTLIER_OUTLIER_H_

#include <chrono>
#include <cstdint>

#include "base/time.h"

namespace mimosadeck::outlier {

/** @brief Outcome of one request, as seen by the entry that sent it. */
enum class outcome {
  /** The answer was complete. */
  served,
  /** The upstream reported a failure of its own or broke off its answer. */
  failed,
  /** No connection, or no response within the timeout. */
  unreachable,
};

/** @brief Settings of outlier detection. */
struct options {
  /** Weight of the newest outcome in the moving average of failures. */
  double newest_weight{0.15};
  /** First ejection after the upstream was unreachable; each further one in a
   * row takes twice as long. */
  std::chrono::milliseconds initial_ejection{400};
  std::chrono::milliseconds max_ejection{3200};
  /** Half-life of the failure rate of an unused upstream. */
  std::chrono::milliseconds half_life{3000};
};

/** @brief Health of one upstream, as seen by one entry. */
struct record {
  /** Moving average of failed requests, 0 to 1, at `rate_updated_at`. */
  double failure_rate{};
  mono_time rate_updated_at;
  /** Ejections since a request last reached the upstream. */
  std::uint32_t consecutive_ejections{};
  mono_time ejected_until;
};

/** @brief Records the outcome of one request. */
void OnOutcome(record& state,
               const options& settings,
               outcome observed,
               mono_time now);

/** @brief Returns true while the upstream is excluded from selection. */
[[nodiscard]] bool IsEjected(const record& state, mono_time now);

/** @brief Returns the share of requests expected to fail, 0 to 1. */
[[nodiscard]] double FailureRate(const record& state,
                                 const options& settings,
                                 mono_time now);

}  // namespace mimosadeck::outlier

#endif  // OUTLIER_OUTLIER_H_
