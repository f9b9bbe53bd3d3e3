#include "forwarding/service_time.h"

#include <algorithm>
#include <vector>

namespace mimosadeck::forwarding {
namespace internal {
namespace {

/** Longest time for a process to exit; a short grace period is used in full but
 * for a fraction, so that its last sixth is still served. */
constexpr std::chrono::milliseconds kMaxStopReserve{400};
constexpr int kStopReserveDivisor = 8;
/** Without enough samples, streams are accepted until this fraction of the stop
 * remains, and other requests until a third of it remains. */
constexpr double kStreamFraction = 0.5;
constexpr double kOtherFraction = kStreamFraction / 3;

bool IsEarlyInStop(routing::request_kind kind, stop_window stop) {
  const double fraction =
      kind == routing::request_kind::stream ? kStreamFraction : kOtherFraction;
  return stop.remaining >=
         std::chrono::duration<double, std::milli>(stop.duration) * fraction;
}

}  // namespace
}  // namespace internal

void OnServed(service_times& state,
              const service_time_options& settings,
              std::chrono::milliseconds duration) {
  state.served.push_back(duration);
  if (state.served.size() > settings.max_samples) {
    state.served.pop_front();
  }
}

std::optional<std::chrono::milliseconds> MedianTime(
    const service_times& state,
    const service_time_options& settings) {
  if (state.served.size() < settings.min_samples) {
    return std::nullopt;
  }
  std::vector<std::chrono::milliseconds> times(state.served.begin(),
                                               state.served.end());
  const auto middle =
      times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  return *middle;
}

std::chrono::milliseconds StopDuration(std::chrono::milliseconds grace) {
  return grace - std::min(internal::kMaxStopReserve,
                          grace / internal::kStopReserveDivisor);
}

bool CanFinishBeforeStop(const service_times& state,
                         const service_time_options& settings,
                         routing::request_kind kind,
                         std::chrono::milliseconds time_limit,
                         stop_window stop) {
  if (time_limit <= stop.remaining) {
    return true;
  }
  const bool callers_may_know =
      stop.duration - stop.remaining > stop.notice_delay;
  if (callers_may_know) {
    return false;
  }
  const auto median = MedianTime(state, settings);
  if (!median) {
    return internal::IsEarlyInStop(kind, stop);
  }
  const std::chrono::duration<double, std::milli> needed = *median;
  return stop.remaining >= settings.margin * needed;
}

}  // namespace mimosadeck::forwarding
