#ifndef RATE_LIMIT_WARM_UP_H_
#define RATE_LIMIT_WARM_UP_H_

#include <chrono>
#include <map>
#include <string>

#include "base/time.h"
#include "rate_limit/fwd.h"
#include "rate_limit/limits.h"
#include "rate_limit/permits.h"

namespace mimosadeck::rate_limit {

/** @brief Agreed number of requests that a cold upstream may get from all
 * entries together in any second, as `factor` times the rate that it bears and
 * `extra` requests. */
struct warm_up_bound {
  double factor{1.5};
  double extra{5};
};

/**
 * @brief Returns the options for permits of cold upstreams.
 *
 * The permits usable in one second are those issued within a second and their
 * lifetime, so they live for a fraction of the second in which requests are
 * counted. An entry in the minority uses none, since the others may have taken
 * over its permits and other upstreams are warm.
 *
 * @param settle_time Age at which a process knows the other entries.
 */
[[nodiscard]] options WarmUpOptions(std::chrono::milliseconds settle_time);

/**
 * @brief Returns the rate at which permits for a cold upstream are issued, in
 * requests per second: the rate that it bears, or less if the bound requires.
 */
[[nodiscard]] double WarmUpRate(const options& settings,
                                const warm_up_bound& bound,
                                double bearable_rate);

/** @brief Replaces the limits by those of the upstreams that are cold now, by
 * incarnation. */
void SetWarmUpLimits(limit_table& state,
                     const std::map<std::string, double, std::less<>>& rates,
                     mono_time now);

}  // namespace mimosadeck::rate_limit

#endif  // RATE_LIMIT_WARM_UP_H_
