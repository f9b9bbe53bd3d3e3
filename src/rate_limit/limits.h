#ifndef RATE_LIMIT_LIMITS_H_
#define RATE_LIMIT_LIMITS_H_

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "rate_limit/fwd.h"

namespace mimosadeck::rate_limit {

/** @brief Effect of an observation on the known limit of an upstream. */
enum class change {
  none,
  /** The upstream has a limit, and had none or another one before. */
  set,
  /** The upstream has no limit any more. */
  ended,
};

/** @brief Latest observation of the limit of one incarnation of an upstream. */
struct limit {
  /** Requests per second that the upstream accepts from all entries together;
   * unset once the upstream no longer states a limit. */
  std::optional<double> requests_per_second;
  /** When an entry received the answer with this statement. */
  mono_time observed_at;
};

/** @brief Limits of upstreams, by incarnation. */
struct limit_table {
  std::map<std::string, limit, std::less<>> by_incarnation;
};

/**
 * @brief Records an answer that states a limit.
 * @param requests_per_second Finite and not negative.
 */
[[nodiscard]] change OnStated(limit_table& state,
                              std::string_view incarnation,
                              double requests_per_second,
                              mono_time now);

/**
 * @brief Records an answer that states no limit.
 *
 * It ends the limit only if its request was sent after the limit was last
 * observed. Answers may overtake one another, and an earlier request may have
 * been answered before the limit was stated.
 */
[[nodiscard]] change OnNotStated(limit_table& state,
                                 std::string_view incarnation,
                                 mono_time sent_at,
                                 mono_time now);

/**
 * @brief Applies another entry's observation if it is newer than the known one.
 */
[[nodiscard]] change Merge(limit_table& state,
                           std::string_view incarnation,
                           const limit& observed);

/**
 * @brief Removes limits of incarnations that the registry no longer lists, and
 * ended limits once all entries have been told.
 * @param is_listed Returns true if the registry lists an incarnation.
 * @param retention Time for which an ended limit is reported to other entries.
 */
void Tick(limit_table& state,
          const std::function<bool(std::string_view)>& is_listed,
          std::chrono::milliseconds retention,
          mono_time now);

/** @brief Returns the limit of an upstream; unset if it has none. */
[[nodiscard]] std::optional<double> LimitOf(const limit_table& state,
                                            std::string_view incarnation);

/** @brief Returns the incarnations that have a limit. */
[[nodiscard]] std::vector<std::string> Limited(const limit_table& state);

}  // namespace mimosadeck::rate_limit

#endif  // RATE_LIMIT_LIMITS_H_
