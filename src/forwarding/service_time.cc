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
  return stop.left >=
         std::chrono::duration<double, std::milli>(stop.whole) * part;
}

}  // namespace
}  // namespace internal

void OnBegan(service_times& state, mono_time now) {
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
  if (state.served.size() > settings.most_remembered) {
    state.served.pop_front();
  }
}

std::optional<seen_times> TimesSeen(const service_times& state,
                                    const service_time_options& settings,
                                    mono_time now) {
  if (state.served.size() < settings.least_needed) {
    return std::nullopt;
  }
  std::vector<std::chrono::milliseconds> times(state.served.begin(),
                                               state.served.end());
  std::sort(times.begin(), times.end());
  seen_times out{times[times.size() / 2], times.back()};
  if (!state.running.empty()) {
    out.longest = std::max(
        out.longest, std::chrono::duration_cast<std::chrono::milliseconds>(
                         now - *state.running.begin()));
  }
  return out;
}

bool EndsBeforeStop(const service_times& state,
                    const service_time_options& settings,
                    routing::request_kind kind,
                    stop_window stop,
                    mono_time now) {
  const auto seen = TimesSeen(state, settings, now);
  if (!seen) {
    return internal::IsWithinPart(kind, stop);
  }
  const bool may_know = stop.whole - stop.left > stop.unheard;
  const std::chrono::duration<double, std::milli> needed =
      may_know ? seen->longest : seen->usual;
  return stop.left >= settings.margin * needed;
}

}  // namespace mimosadeck::forwarding
