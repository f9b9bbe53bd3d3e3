#include "admission/limits.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace mimosadeck::admission {
namespace internal {
namespace {

/** Size of a bucket, as seconds of its rate. */
constexpr double kBurstSeconds = 1.0;
/** Retry-after time of a bucket with a rate of 0, which never refills. */
constexpr std::chrono::milliseconds kZeroRateRetry{1000};

double Capacity(const bucket& state) {
  return std::max(1.0, state.rate * kBurstSeconds);
}

void Refill(bucket& state, mono_time now) {
  if (now <= state.refilled_at) {
    return;
  }
  const std::chrono::duration<double> elapsed = now - state.refilled_at;
  state.level =
      std::min(Capacity(state),
               state.level + elapsed.count() * std::max(0.0, state.rate));
  state.refilled_at = now;
}

/** @brief Returns the cap at which the capped demands add up to the limit. */
double MaxMinFairLevel(std::vector<double> demands, double limit) {
  std::sort(demands.begin(), demands.end());
  double remaining = limit;
  auto count = static_cast<double>(demands.size());
  for (const double demand : demands) {
    const double level = remaining / count;
    if (demand >= level) {
      return level;
    }
    remaining -= demand;
    --count;
  }
  return std::numeric_limits<double>::infinity();
}

}  // namespace
}  // namespace internal

void SetRate(bucket& state, double rate, mono_time now) {
  const bool is_new = state.refilled_at == mono_time{};
  internal::Refill(state, now);
  state.rate = rate;
  state.refilled_at = now;
  state.level = is_new ? internal::Capacity(state)
                       : std::min(state.level, internal::Capacity(state));
}

std::chrono::milliseconds TryTake(bucket& state, double amount, mono_time now) {
  if (state.rate < 0) {
    return std::chrono::milliseconds::zero();
  }
  internal::Refill(state, now);
  const double needed = std::min(amount, internal::Capacity(state));
  if (state.level >= needed) {
    state.level -= amount;
    return std::chrono::milliseconds::zero();
  }
  if (state.rate == 0) {
    return internal::kZeroRateRetry;
  }
  constexpr double kMillisPerSecond = 1000;
  const double wait = (needed - state.level) / state.rate * kMillisPerSecond;
  return std::chrono::milliseconds(
      std::max<std::int64_t>(1, static_cast<std::int64_t>(std::ceil(wait))));
}

void ForceTake(bucket& state, double amount, mono_time now) {
  internal::Refill(state, now);
  state.level -= amount;
}

double UpdateShare(divided_limit& state,
                   double limit,
                   const std::string& entry,
                   double rate,
                   mono_time now,
                   std::chrono::milliseconds valid_for) {
  state.demands[entry] = {rate, now};
  std::erase_if(state.demands, [&](const auto& item) {
    return now - item.second.reported_at > valid_for;
  });
  std::vector<double> demands;
  double sum = 0;
  for (const auto& [unused, item] : state.demands) {
    demands.push_back(item.rate);
    sum += item.rate;
  }
  if (sum <= limit) {
    const double spare = (limit - sum) / static_cast<double>(demands.size());
    return rate + spare;
  }
  return std::min(rate, internal::MaxMinFairLevel(demands, limit));
}

}  // namespace mimosadeck::admission
