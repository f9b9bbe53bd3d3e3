#ifndef PLACEMENT_READ_TIME_H_
#define PLACEMENT_READ_TIME_H_

#include <chrono>
#include <cstdint>

namespace mimosadeck::placement {

/**
 * @brief Time to the first sign of an answer as a line over the tokens read,
 * learned by least squares whose old samples fade.
 */
struct read_time {
  double weight{};
  double sum_tokens{};
  double sum_ms{};
  double sum_tokens_squared{};
  double sum_tokens_ms{};
};

/** @brief Takes one observation. */
void Learn(read_time& state,
           std::uint32_t tokens,
           std::chrono::microseconds taken);

/** @brief Returns the time to read one more token, in milliseconds. */
[[nodiscard]] double MsPerToken(const read_time& state);

/** @brief Returns the time of a request without a prompt, in milliseconds. */
[[nodiscard]] double BaseMs(const read_time& state);

}  // namespace mimosadeck::placement

#endif  // PLACEMENT_READ_TIME_H_
