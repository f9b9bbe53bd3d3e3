#include "forwarding/service_time.h"

#include <algorithm>
#include <vector>

namespace mimosadeck::forwarding {
namespace internal {
namespace {

/** Where nothing was learned, streams are taken until this part of the stop's
 * time is left, other requests until a third of that. */
constexpr double kStreamPart = 0.5;
constexpr double kShortRequestPart = kStreamPart / 3;

bool IsWithinPart(routing::request_kind kind, stop_window stop) {
  const double part =
      kind == routing::request_kind::stream ? kStreamPart : kShortRequestPart;
  return stop.remaining >=
         std::chrono::duration<double, std::milli>(stop.duration) * part;
}

}  // namespace
}  // namespace internal

void OnStarted(service_times& state, mono_time now) {
  state.running.insert(now);
}

void OnEnded(service_times& state,
             const service_time_options& settings,
             mono_time began,
             bool is_served,
             mono_time now) {
  const auto found = state.running.find(began);
  if (found != state.running.end()) {
    state.running.erase(found);
  }
  if (!is_served) {
    return;
  }
  state.served.push_back(
      std::chrono::duration_cast<std::chrono::milliseconds>(now - began));
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
  const auto seen = RecentTimes(state, settings, now);
  if (!seen) {
    return internal::IsWithinPart(kind, stop);
  }
  const bool may_know = stop.duration - stop.remaining > stop.notice_delay;
  const std::chrono::duration<double, std::milli> needed =
      may_know ? seen->longest : seen->median;
  return stop.remaining >= settings.margin * needed;
}

}  // namespace mimosadeck::forwarding
