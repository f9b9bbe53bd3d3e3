#ifndef OUTLIER_OUTLIER_H_
#define OUTLIER_OUTLIER_H_

#include <chrono>
#include <cstdint>

#include "base/time.h"

namespace mimosadeck::outlier {

/** @brief How an upstream served one request, as its sender saw it. */
enum class outcome {
  served,
  /** It reported a failure of its own, or broke its answer off. */
  failed,
  /** No connection, or no sign of life in time. */
  unreachable,
};

/** @brief Settings of outlier detection. */
struct options {
  /** Weight of the newest outcome in the failure rate. */
  double newest_weight{0.15};
  /** First ejection after the upstream was unreachable; doubles each time. */
  std::chrono::milliseconds initial_ejection{400};
  std::chrono::milliseconds max_ejection{3200};
  /** Time in which the failure rate of an unused upstream halves. */
  std::chrono::milliseconds half_life{3000};
};

/** @brief What one entry has seen of one upstream. */
struct record {
  double failure_rate{};
  mono_time rate_updated_at;
  std::uint32_t unreachable_in_row{};
  mono_time ejected_until;
};

/** @brief Takes the outcome of one request. */
void OnOutcome(record& state,
               const options& settings,
               outcome seen,
               mono_time now);

/** @brief Tells whether the upstream is left out for now. */
[[nodiscard]] bool IsEjected(const record& state, mono_time now);

/** @brief Returns the part of requests expected to fail now. */
[[nodiscard]] double FailureRate(const record& state,
                                 const options& settings,
                                 mono_time now);

}  // namespace mimosadeck::outlier

#endif  // OUTLIER_OUTLIER_H_
