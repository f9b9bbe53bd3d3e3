#ifndef BASE_TIME_H_
#define BASE_TIME_H_

#include <ctime>

#include <chrono>

namespace mimosadeck {

/**
 * @brief Time on a monotonic clock. Decisions take the time as a parameter, so
 * that tests can set it.
 */
using mono_time = std::chrono::steady_clock::time_point;

/**
 * @brief Duration on the monotonic clock.
 */
using mono_duration = std::chrono::steady_clock::duration;

/**
 * @brief Returns the time of a monotonic clock that keeps running while the VM
 * is suspended.
 */
[[nodiscard]] inline mono_time SuspendAwareNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return mono_time(std::chrono::seconds(now.tv_sec) +
                   std::chrono::nanoseconds(now.tv_nsec));
}

/**
 * @brief Time of day; used for billing windows only.
 */
using wall_time = std::chrono::system_clock::time_point;

}  // namespace mimosadeck

#endif  // BASE_TIME_H_
