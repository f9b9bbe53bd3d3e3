#ifndef FLEET_CLOCK_H_
#define FLEET_CLOCK_H_

#include <chrono>
#include <optional>

#include "base/time.h"

namespace mimosadeck::fleet {

/** @brief Settings of a disciplined clock. */
struct clock_options {
  /** Largest change between two readings that counts as slewing; a larger one
   * is a step. Readings are a few hundred milliseconds apart, and clocks are
   * slewed by at most 0.1 %. */
  std::chrono::milliseconds max_slew{200};
  /** A step that persists for this long is a correction and is followed. The
   * time spans several billing windows, so that a step that is reverted affects
   * none of them. */
  std::chrono::milliseconds step_confirmation_time{60000};
};

/**
 * @brief A calendar clock that ignores temporary steps of the system clock.
 *
 * Billing windows follow the calendar. A step of the system clock must not
 * count requests in windows in which they did not run.
 */
struct disciplined_clock {
  /** Calendar time minus monotonic time; unset before the first reading. */
  std::optional<std::chrono::nanoseconds> offset;
  /** When the system clock was first seen to have stepped away from this clock;
   * unset if the two agree. */
  std::optional<mono_time> step_since;
};

/**
 * @brief Returns the disciplined calendar time.
 *
 * Follows slewing of the system clock at once, and a step only after
 * clock_options::step_confirmation_time.
 *
 * @param wall Reading of the system clock.
 * @param now Reading of the monotonic clock.
 */
[[nodiscard]] wall_time ReadClock(disciplined_clock& state,
                                  const clock_options& settings,
                                  wall_time wall,
                                  mono_time now);

}  // namespace mimosadeck::fleet

#endif  // FLEET_CLOCK_H_
