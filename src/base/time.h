#ifndef BASE_TIME_H_
#define BASE_TIME_H_

#include <ctime>

#include <chrono>

namespace mimosadeck {

/**
 * @brief Reading of a monotonic clock, passed into every decision.
 */
using mono_time = std::chrono::steady_clock::time_point;

/**
 * @brief Length of time on the monotonic clock.
 */
using mono_duration = std::chrono::steady_clock::duration;

/**
 * @brief Returns the present time on a clock that also counts the time in which
 * the VM was suspended.
 */
[[nodiscard]] inline mono_time SuspendAwareNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return mono_time(std::chrono::seconds(now.tv_sec) +
                   std::chrono::nanoseconds(now.tv_nsec));
}

/**
 * @brief Reading of the calendar clock, used for billing windows only.
 */
using wall_time = std::chrono::system_clock::time_point;

}  // namespace mimosadeck

#endif  // BASE_TIME_H_
