#include "net/peer_silence.h"

#include <algorithm>

namespace mimosadeck::net {

bool OnOutputSample(peer_silence& state,
                    const silence_options& options,
                    const output_state& sample,
                    mono_time now) {
  if (!sample.awaits_acknowledgement) {
    state = {};
    return false;
  }
  const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - state.sampled_at.value_or(now));
  const auto since = sample.since_acknowledgement;
  const bool was_answered =
      !state.sampled_at ||
      sample.acknowledged_bytes != state.acknowledged_bytes ||
      (since > std::chrono::milliseconds(0) && since < elapsed);
  state.unanswered =
      was_answered
          ? std::chrono::milliseconds(0)
          : state.unanswered + std::min(elapsed, 2 * options.sample_interval);
  state.sampled_at = now;
  state.acknowledged_bytes = sample.acknowledged_bytes;
  return state.unanswered >= options.limit;
}

}  // namespace mimosadeck::net
