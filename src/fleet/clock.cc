#include "fleet/clock.h"

namespace mimosadeck::fleet {

wall_time ReadClock(disciplined_clock& state,
                    const clock_options& settings,
                    wall_time wall,
                    mono_time now) {
  const std::chrono::nanoseconds present =
      wall.time_since_epoch() - now.time_since_epoch();
  const bool is_near =
      !state.offset ||
      std::chrono::abs(present - *state.offset) <= settings.largest_slew;
  if (!is_near && !state.apart_since) {
    state.apart_since = now;
  }
  if (is_near || now - *state.apart_since >= settings.followed_after) {
    state.offset = present;
    state.apart_since.reset();
  }
  return wall_time(std::chrono::duration_cast<wall_time::duration>(
      now.time_since_epoch() + *state.offset));
}

}  // namespace mimosadeck::fleet
