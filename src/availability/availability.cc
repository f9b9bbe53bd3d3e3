#include "availability/availability.h"

#include <algorithm>

namespace mimosadeck::availability {
namespace internal {
namespace {

record& RecordOf(record_table& state,
                 std::string_view incarnation,
                 mono_time now) {
  auto& found = state.by_incarnation[std::string(incarnation)];
  found.last_sign = now;
  return found;
}

void OnClosing(record& known, const options& settings, mono_time now) {
  if (++known.closings_in_row >= settings.closings_to_avoid) {
    known.avoided_until = now + settings.avoided_for;
  }
}

}  // namespace
}  // namespace internal

bool OnSignal(record_table& state,
              const options& settings,
              std::string_view incarnation,
              signal seen,
              mono_time now) {
  auto& known = internal::RecordOf(state, incarnation, now);
  switch (seen) {
    case signal::announced:
    case signal::reported: {
      const bool is_news = !known.leaving;
      known.leaving = true;
      return is_news;
    }
    case signal::replaced:
      known.closed_until =
          std::max(known.closed_until, now + settings.replaced_for);
      return false;
    case signal::connection_closed:
      internal::OnClosing(known, settings, now);
      return false;
  }
  return false;
}

void OnConnectionKeptOpen(record_table& state, std::string_view incarnation) {
  const auto found = state.by_incarnation.find(incarnation);
  if (found != state.by_incarnation.end()) {
    found->second.closings_in_row = 0;
  }
}

std::chrono::milliseconds OnPauseRequested(record_table& state,
                                           const options& settings,
                                           std::string_view incarnation,
                                           std::chrono::milliseconds pause,
                                           mono_time now) {
  const auto granted =
      std::clamp(pause, std::chrono::milliseconds(0), settings.longest_pause);
  auto& known = internal::RecordOf(state, incarnation, now);
  known.closed_until = std::max(known.closed_until, now + granted);
  return granted;
}

bool IsLeaving(const record_table& state, std::string_view incarnation) {
  const auto found = state.by_incarnation.find(incarnation);
  return found != state.by_incarnation.end() && found->second.leaving;
}

std::vector<std::string> Leaving(const record_table& state) {
  std::vector<std::string> out;
  for (const auto& [incarnation, known] : state.by_incarnation) {
    if (known.leaving) {
      out.push_back(incarnation);
    }
  }
  return out;
}

void Tick(record_table& state,
          const options& settings,
          const std::function<bool(std::string_view)>& is_listed,
          mono_time now) {
  std::erase_if(state.by_incarnation, [&](const auto& each) {
    return now - each.second.last_sign > settings.memory &&
           now >= each.second.closed_until && !is_listed(each.first);
  });
}

}  // namespace mimosadeck::availability
