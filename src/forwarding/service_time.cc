#include "forwarding/service_time.h"

#include <algorithm>

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

std::optional<std::chrono::milliseconds> LongestTime(
    const service_times& state,
    const service_time_options& settings,
    mono_time now) {
  if (state.served.size() < settings.least_needed) {
    return std::nullopt;
  }
  auto longest = *std::max_element(state.served.begin(), state.served.end());
  if (!state.running.empty()) {
    longest =
        std::max(longest, std::chrono::duration_cast<std::chrono::milliseconds>(
                              now - *state.running.begin()));
  }
  return longest;
}

bool EndsBeforeStop(const service_times& state,
                    const service_time_options& settings,
                    routing::request_kind kind,
                    stop_window stop,
                    mono_time now) {
  const auto longest = LongestTime(state, settings, now);
  if (!longest) {
    return internal::IsWithinPart(kind, stop);
  }
  return stop.left >=
         settings.margin * std::chrono::duration<double, std::milli>(*longest);
}

}  // namespace mimosadeck::forwarding
