#include "placement/read_time.h"

#include <algorithm>

namespace mimosadeck::placement {
namespace internal {
namespace {

/** Each sample keeps this part of its weight when another comes. */
constexpr double kFade = 0.99;
/** Assumed until enough samples have come: a large model's reading speed. */
constexpr double kAssumedMsPerToken = 0.01;
constexpr double kAssumedBaseMs = 60;
/** Weight of the assumption, in samples. */
constexpr double kAssumptionWeight = 2;
/** Two prompts of the assumption, in tokens. */
constexpr double kShortPrompt = 100;
constexpr double kLongPrompt = 8000;
/** Bounds that no engine leaves; they keep a bad fit harmless. */
constexpr double kFastestMsPerToken = 0.0005;
constexpr double kSlowestMsPerToken = 1;

void Add(read_time& state, double tokens, double ms, double weight) {
  state.weight += weight;
  state.sum_tokens += weight * tokens;
  state.sum_ms += weight * ms;
  state.sum_tokens_squared += weight * tokens * tokens;
  state.sum_tokens_ms += weight * tokens * ms;
}

read_time WithAssumption(read_time state) {
  for (const double tokens : {kShortPrompt, kLongPrompt}) {
    Add(state, tokens, kAssumedBaseMs + tokens * kAssumedMsPerToken,
        kAssumptionWeight / 2);
  }
  return state;
}

}  // namespace
}  // namespace internal

void Learn(read_time& state,
           std::uint32_t tokens,
           std::chrono::microseconds taken) {
  for (double* sum : {&state.weight, &state.sum_tokens, &state.sum_ms,
                      &state.sum_tokens_squared, &state.sum_tokens_ms}) {
    *sum *= internal::kFade;
  }
  const std::chrono::duration<double, std::milli> ms = taken;
  internal::Add(state, tokens, ms.count(), 1);
}

double MsPerToken(const read_time& state) {
  const auto all = internal::WithAssumption(state);
  const double spread =
      all.weight * all.sum_tokens_squared - all.sum_tokens * all.sum_tokens;
  const double slope =
      (all.weight * all.sum_tokens_ms - all.sum_tokens * all.sum_ms) / spread;
  return std::clamp(slope, internal::kFastestMsPerToken,
                    internal::kSlowestMsPerToken);
}

double BaseMs(const read_time& state) {
  const auto all = internal::WithAssumption(state);
  return std::max(
      0.0, (all.sum_ms - MsPerToken(state) * all.sum_tokens) / all.weight);
}

}  // namespace mimosadeck::placement
