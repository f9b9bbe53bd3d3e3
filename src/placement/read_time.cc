#include "placement/read_time.h"

#include <algorithm>

namespace mimosadeck::placement {
namespace internal {
namespace {

/** Factor applied to the weight of older samples for each new one. */
constexpr double kSampleDecay = 0.99;
/** Reading speed of a large model, assumed until there are enough samples. */
constexpr double kPriorMsPerToken = 0.01;
constexpr double kPriorBaseMs = 60;
/** Weight of the assumed speed, in samples. */
constexpr double kPriorWeight = 2;
/** Lengths of the two assumed samples, in tokens. */
constexpr double kPriorShortPrompt = 100;
constexpr double kPriorLongPrompt = 8000;
/** Limits beyond the speed of any engine; they bound the error of a bad fit. */
constexpr double kMinMsPerToken = 0.0005;
constexpr double kMaxMsPerToken = 1;

void Add(read_time_model& state, double tokens, double ms, double weight) {
  state.weight += weight;
  state.sum_tokens += weight * tokens;
  state.sum_ms += weight * ms;
  state.sum_tokens_squared += weight * tokens * tokens;
  state.sum_tokens_ms += weight * tokens * ms;
}

read_time_model WithPrior(read_time_model state) {
  for (const double tokens : {kPriorShortPrompt, kPriorLongPrompt}) {
    Add(state, tokens, kPriorBaseMs + tokens * kPriorMsPerToken,
        kPriorWeight / 2);
  }
  return state;
}

}  // namespace
}  // namespace internal

void AddSample(read_time_model& state,
               std::uint32_t tokens,
               std::chrono::microseconds elapsed) {
  for (double* sum : {&state.weight, &state.sum_tokens, &state.sum_ms,
                      &state.sum_tokens_squared, &state.sum_tokens_ms}) {
    *sum *= internal::kSampleDecay;
  }
  const std::chrono::duration<double, std::milli> ms = elapsed;
  internal::Add(state, tokens, ms.count(), 1);
}

double MsPerToken(const read_time_model& state) {
  const auto all = internal::WithPrior(state);
  const double spread =
      all.weight * all.sum_tokens_squared - all.sum_tokens * all.sum_tokens;
  const double slope =
      (all.weight * all.sum_tokens_ms - all.sum_tokens * all.sum_ms) / spread;
  return std::clamp(slope, internal::kMinMsPerToken, internal::kMaxMsPerToken);
}

double BaseMs(const read_time_model& state) {
  const auto all = internal::WithPrior(state);
  return std::max(
      0.0, (all.sum_ms - MsPerToken(state) * all.sum_tokens) / all.weight);
}

}  // namespace mimosadeck::placement
