#include "fleet/clock.h"

namespace mimosadeck::fleet {

wall_time ReadClock(disciplined_clock& state,
                    const clock_options& settings,
                    wall_time wall,
                    mono_time now) {
  const std::chrono::nanoseconds current_offset =
      wall.time_since_epoch() - now.time_since_epoch();
  const bool is_within_slew =
      !state.offset ||
      std::chrono::abs(current_offset - *state.offset) <= settings.max_slew;
  if (!is_within_slew && !state.step_since) {
    state.step_since = now;
  }
  if (is_within_slew ||
      now - *state.step_since >= settings.step_confirmation_time) {
    state.offset = current_offset;
    state.step_since.reset();
  }
  return wall_time(std::chrono::duration_cast<wall_time::duration>(
      now.time_since_epoch() + *state.offset));
}

}  // namespace mimosadeck::fleet
