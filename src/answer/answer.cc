#include "answer/answer.h"

#include <algorithm>

namespace mimosadeck::answer {

std::uint64_t BeginAttempt(assembly& state) {
  return ++state.attempt;
}

verdict OnToken(assembly& state,
                std::uint64_t attempt,
                const token_event& token) {
  if (attempt != state.attempt || state.finished ||
      token.offset < state.delivered) {
    return verdict::drop;
  }
  if (token.offset > state.delivered) {
    return verdict::gap;
  }
  ++state.delivered;
  return verdict::deliver;
}

verdict OnFinish(assembly& state,
                 std::uint64_t attempt,
                 const finish_event& finish) {
  if (attempt != state.attempt || state.finished) {
    return verdict::drop;
  }
  if (finish.completion_tokens != state.delivered) {
    return verdict::gap;
  }
  state.finished = true;
  state.finish = finish;
  return verdict::deliver;
}

bool IsComplete(const assembly& state) {
  return state.finished;
}

std::vector<std::string> Split(event_splitter& state, std::string_view bytes) {
  constexpr std::string_view kEnd = "\n\n";
  constexpr std::string_view kData = "data: ";
  state.rest.append(bytes);
  std::vector<std::string> out;
  std::size_t start = 0;
  while (true) {
    const auto end = state.rest.find(kEnd, start);
    if (end == std::string::npos) {
      break;
    }
    const auto event = std::string_view(state.rest).substr(start, end - start);
    if (event.starts_with(kData)) {
      out.emplace_back(event.substr(kData.size()));
    }
    start = end + kEnd.size();
  }
  state.rest.erase(0, start);
  return out;
}

executed ExecutionState(send_progress progress) {
  return progress == send_progress::sent ? executed::unknown : executed::no;
}

void OnFirstAttempt(retry_budget& state) {
  state.tokens =
      std::min(state.capacity, state.tokens + state.earned_per_request);
}

bool TryRetry(retry_budget& state) {
  if (state.tokens < 1) {
    return false;
  }
  state.tokens -= 1;
  return true;
}

namespace internal {
namespace {

/** @brief Returns the position after the empty line that ends the first event;
 * `npos` if the event is incomplete. */
std::size_t FindEventEnd(std::string_view text, std::size_t from) {
  for (auto at = text.find('\n', from); at != std::string_view::npos;
       at = text.find('\n', at + 1)) {
    if (at + 1 < text.size() && text[at + 1] == '\n') {
      return at + 2;
    }
    if (text.substr(at + 1, 2) == "\r\n") {
      return at + 3;
    }
  }
  return std::string_view::npos;
}

/** @brief Stores the value of the event's last `id` field, if it has one. */
void StoreEventId(event_framer& state, std::string_view event) {
  constexpr std::string_view kName = "id:";
  std::size_t line = 0;
  while (line < event.size()) {
    auto end = event.find('\n', line);
    end = end == std::string_view::npos ? event.size() : end;
    auto text = event.substr(line, end - line);
    if (text.starts_with(kName)) {
      text.remove_prefix(kName.size());
      const auto first = text.find_first_not_of(' ');
      const auto last = text.find_last_not_of(" \r");
      state.last_id = first == std::string_view::npos
                          ? std::string{}
                          : std::string(text.substr(first, last - first + 1));
    }
    line = end + 1;
  }
}

}  // namespace
}  // namespace internal

std::string TakeCompleteEvents(event_framer& state, std::string_view bytes) {
  const auto searched = state.rest.size() < 3 ? 0 : state.rest.size() - 3;
  state.rest += bytes;
  std::size_t consumed = 0;
  std::size_t from = searched;
  for (auto end = internal::FindEventEnd(state.rest, from);
       end != std::string::npos;
       end = internal::FindEventEnd(state.rest, from)) {
    internal::StoreEventId(
        state, std::string_view(state.rest).substr(consumed, end - consumed));
    ++state.events;
    consumed = end;
    from = end;
  }
  std::string complete = state.rest.substr(0, consumed);
  state.rest.erase(0, consumed);
  return complete;
}

}  // namespace mimosadeck::answer
