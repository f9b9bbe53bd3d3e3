#include "answer/event_order.h"

#include <charconv>

namespace mimosadeck::answer {

std::optional<std::uint64_t> ParseEventId(std::string_view id) {
  std::uint64_t number = 0;
  const auto* const end = id.data() + id.size();
  const auto read = std::from_chars(id.data(), end, number);
  if (id.empty() || read.ec != std::errc{} || read.ptr != end) {
    return std::nullopt;
  }
  return number;
}

void OnEvent(event_order& state, std::optional<std::uint64_t> id) {
  const auto before = state.last_id;
  state.last_id = id;
  if (!before || !id) {
    return;
  }
  if (*id <= *before) {
    state.is_increasing = false;
    return;
  }
  const auto step = *id - *before;
  state.is_even = state.is_even && state.step.value_or(step) == step;
  state.step = step;
}

event_position PositionOf(const event_order& state,
                          std::optional<std::uint64_t> id) {
  if (!id || !state.last_id) {
    return event_position::unknown;
  }
  if (*id <= *state.last_id) {
    return event_position::repeated;
  }
  const auto distance = *id - *state.last_id;
  if (!state.step || !state.is_even) {
    // No id lies between two successive numbers.
    return distance == 1 ? event_position::next : event_position::unknown;
  }
  if (distance > *state.step) {
    return event_position::after_gap;
  }
  return distance == *state.step ? event_position::next
                                 : event_position::unknown;
}

std::string_view Describe(event_position position) {
  switch (position) {
    case event_position::next:
      return "next event";
    case event_position::repeated:
      return "repeated event";
    case event_position::after_gap:
      return "events are missing";
    case event_position::unknown:
      return "id gives no position";
    case event_position::not_an_event:
      return "bytes are no event";
  }
  return "unlisted position";
}

bool CanContinue(const event_order& state) {
  return state.last_id.has_value() && state.is_increasing;
}

}  // namespace mimosadeck::answer
