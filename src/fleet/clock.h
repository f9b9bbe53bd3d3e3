#ifndef FLEET_CLOCK_H_
#define FLEET_CLOCK_H_

#include <chrono>
#include <optional>

#include "base/time.h"

namespace mimosadeck::fleet {

/** @brief Settings of a disciplined clock. */
struct clock_options {
  /** A larger change between two readings is a step. Readings are some hundred
   * milliseconds apart, and clocks are slewed by a thousandth at most. */
  std::chrono::milliseconds largest_slew{200};
  /** A step that has lasted so long is a correction and is followed: several
   * billing windows, so that one that is taken back moves none. */
  std::chrono::milliseconds followed_after{60000};
};

/**
 * @brief A calendar clock that does not follow steps of the machine's own.
 *
 * Billing windows follow the calendar, and a step of the clock must not count
 * requests in windows in which they did not run.
 */
struct disciplined_clock {
  /** Calendar time less the monotonic clock; unset before the first reading. */
  std::optional<std::chrono::nanoseconds> offset;
  /** When the machine's clock was first seen apart from this one. */
  std::optional<mono_time> apart_since;
};

/**
 * @brief Returns the calendar time; slow changes of the machine's clock are
 * followed at once, steps only after they have lasted.
 * @param wall The machine's calendar clock.
 */
[[nodiscard]] wall_time ReadClock(disciplined_clock& state,
                                  const clock_options& settings,
                                  wall_time wall,
                                  mono_time now);

}  // namespace mimosadeck::fleet

#endif  // FLEET_CLOCK_H_
