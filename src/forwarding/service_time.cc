#include "forwarding/service_time.h"

#include <algorithm>
#include <vector>

namespace mimosadeck::forwarding {
namespace internal {
namespace {

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

void OnStarted(service_times& state, mono_time now) {
  state.running.insert(now);
}

void OnEnded(service_times& state,
             const service_time_options& settings,
             mono_time started,
             bool is_served,
             mono_time now) {
  const auto found = state.running.find(started);
  if (found != state.running.end()) {
    state.running.erase(found);
  }
  if (!is_served) {
    return;
  }
  state.served.push_back(
      std::chrono::duration_cast<std::chrono::milliseconds>(now - started));
  if (state.served.size() > settings.max_samples) {
    state.served.pop_front();
  }
}

std::optional<time_summary> RecentTimes(const service_times& state,
                                        const service_time_options& settings,
                                        mono_time now) {
  if (state.served.size() < settings.min_samples) {
    return std::nullopt;
  }
  std::vector<std::chrono::milliseconds> times(state.served.begin(),
                                               state.served.end());
  std::sort(times.begin(), times.end());
  time_summary out{times[times.size() / 2], times.back()};
  if (!state.running.empty()) {
    out.longest = std::max(
        out.longest, std::chrono::duration_cast<std::chrono::milliseconds>(
                         now - *state.running.begin()));
  }
  return out;
}

bool CanFinishBeforeStop(const service_times& state,
                         const service_time_options& settings,
                         routing::request_kind kind,
                         stop_window stop,
                         mono_time now) {
  const auto recent = RecentTimes(state, settings, now);
  if (!recent) {
    return internal::IsEarlyInStop(kind, stop);
  }
  const bool callers_may_know =
      stop.duration - stop.remaining > stop.notice_delay;
  const std::chrono::duration<double, std::milli> needed =
      callers_may_know ? recent->longest : recent->median;
  return stop.remaining >= settings.margin * needed;
}

}  // namespace mimosadeck::forwarding
