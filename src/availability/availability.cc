#include "availability/availability.h"

#include <algorithm>

namespace mimosadeck::availability {
namespace internal {
namespace {

/** @brief Returns the record of an incarnation and sets its signal time. */
record& TouchRecord(record_table& state,
                    std::string_view incarnation,
                    mono_time now) {
  auto& found = state.by_incarnation[std::string(incarnation)];
  found.last_signal_at = now;
  return found;
}

void OnConnectionClosed(record& found, const options& settings, mono_time now) {
  if (++found.consecutive_closings >= settings.closings_to_avoid) {
    found.avoided_until = now + settings.avoid_period;
  }
}

}  // namespace
}  // namespace internal

bool OnSignal(record_table& state,
              const options& settings,
              std::string_view incarnation,
              signal received,
              mono_time now) {
  auto& found = internal::TouchRecord(state, incarnation, now);
  switch (received) {
    case signal::announced:
    case signal::reported:
    case signal::registered: {
      const bool is_first = !found.leaving;
      found.leaving = true;
      return is_first;
    }
    case signal::replaced:
      found.closed_until =
          std::max(found.closed_until, now + settings.replaced_pause);
      return false;
    case signal::connection_closed:
      internal::OnConnectionClosed(found, settings, now);
      return false;
  }
  return false;
}

void OnConnectionKeptOpen(record_table& state, std::string_view incarnation) {
  const auto found = state.by_incarnation.find(incarnation);
  if (found != state.by_incarnation.end()) {
    found->second.consecutive_closings = 0;
  }
}

std::chrono::milliseconds OnPauseRequested(record_table& state,
                                           const options& settings,
                                           std::string_view incarnation,
                                           std::chrono::milliseconds pause,
                                           mono_time now) {
  const auto granted =
      std::clamp(pause, std::chrono::milliseconds(0), settings.max_pause);
  auto& found = internal::TouchRecord(state, incarnation, now);
  found.closed_until = std::max(found.closed_until, now + granted);
  return granted;
}

bool IsLeaving(const record_table& state, std::string_view incarnation) {
  const auto found = state.by_incarnation.find(incarnation);
  return found != state.by_incarnation.end() && found->second.leaving;
}

std::vector<std::string> Leaving(const record_table& state) {
  std::vector<std::string> out;
  for (const auto& [incarnation, found] : state.by_incarnation) {
    if (found.leaving) {
      out.push_back(incarnation);
    }
  }
  return out;
}

void Tick(record_table& state,
          const options& settings,
          const std::function<bool(std::string_view)>& is_listed,
          mono_time now) {
  std::erase_if(state.by_incarnation, [&](const auto& item) {
    return now - item.second.last_signal_at > settings.retention &&
           now >= item.second.closed_until && !is_listed(item.first);
  });
}

}  // namespace mimosadeck::availability
