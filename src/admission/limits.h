#ifndef ADMISSION_LIMITS_H_
#define ADMISSION_LIMITS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"

namespace mimosadeck::admission {

/** @brief Rate of a bucket that limits nothing. */
inline constexpr double kNoLimit = -1;

/**
 * @brief Token bucket. A rate of kNoLimit admits everything, a rate of 0
 * nothing.
 *
 * The level falls below zero when an answer was longer than expected; later
 * requests are then delayed until it has recovered.
 */
struct bucket {
  /** Units per second. */
  double rate{kNoLimit};
  /** Available units. */
  double level{};
  mono_time refilled_at;
};

/**
 * @brief Sets the rate of a bucket; a new bucket starts full.
 * @param rate Units per second.
 */
void SetRate(bucket& state, double rate, mono_time now);

/**
 * @brief Takes units from a bucket if its level suffices.
 * @param amount Units to take.
 * @return Zero if they were taken; otherwise the time until they are available,
 * and nothing was taken.
 */
[[nodiscard]] std::chrono::milliseconds TryTake(bucket& state,
                                                double amount,
                                                mono_time now);

/**
 * @brief Takes units from a bucket whatever its level.
 * @param amount Units to take; negative to give units back.
 */
void ForceTake(bucket& state, double amount, mono_time now);

/** @brief One entry's demand on the limit of a client account. */
struct demand {
  /** Units per second. */
  double rate{};
  mono_time reported_at;
};

/**
 * @brief A client account's limit, divided among the entries that serve it.
 *
 * Kept by the entry that owns the account.
 */
struct divided_limit {
  /** Last reported demands by entry. */
  std::map<std::string, demand> demands;
};

/**
 * @brief Records the demand of one entry and returns its share of the limit.
 *
 * While the demands fit into the limit, every entry gets its demand and an
 * equal part of the rest. Otherwise the demands are capped at a common level
 * (max-min fairness). The shares of all entries never exceed the limit in sum.
 *
 * @param limit Limit of the client account, in units per second.
 * @param entry Entry that reports.
 * @param rate Demand of the entry, in units per second.
 * @param valid_for Time for which a reported demand counts.
 * @return Share of the entry, in units per second.
 */
[[nodiscard]] double UpdateShare(divided_limit& state,
                                 double limit,
                                 const std::string& entry,
                                 double rate,
                                 mono_time now,
                                 std::chrono::milliseconds valid_for);

}  // namespace mimosadeck::admission

#endif  // ADMISSION_LIMITS_H_
