#ifndef PLACEMENT_READ_TIME_H_
#define PLACEMENT_READ_TIME_H_

#include <chrono>
#include <cstdint>

namespace mimosadeck::placement {

/**
 * @brief Estimates the time until an answer starts as a linear function of the
 * prompt tokens that the engine reads.
 *
 * Holds the sums of a weighted least-squares fit; older samples weigh less.
 */
struct read_time_model {
  double weight{};
  double sum_tokens{};
  double sum_ms{};
  double sum_tokens_squared{};
  double sum_tokens_ms{};
};

/**
 * @brief Adds one sample to the model.
 * @param tokens Prompt tokens that the engine read.
 * @param elapsed Time from sending the request until its answer started.
 */
void AddSample(read_time_model& state,
               std::uint32_t tokens,
               std::chrono::microseconds elapsed);

/** @brief Returns the estimated time to read one prompt token, in
 * milliseconds. */
[[nodiscard]] double MsPerToken(const read_time_model& state);

/** @brief Returns the estimated time for an empty prompt, in milliseconds. */
[[nodiscard]] double BaseMs(const read_time_model& state);

}  // namespace mimosadeck::placement

#endif  // PLACEMENT_READ_TIME_H_
