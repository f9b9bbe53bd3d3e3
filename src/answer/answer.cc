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
  std::size_t from = state.rest.empty() ? 0 : state.rest.size() - 1;
  state.rest.append(bytes);
  std::vector<std::string> out;
  std::size_t start = 0;
  while (true) {
    const auto end = state.rest.find(kEnd, from);
    if (end == std::string::npos) {
      break;
    }
    const auto event = std::string_view(state.rest).substr(start, end - start);
    if (event.starts_with(kData)) {
      out.emplace_back(event.substr(kData.size()));
    }
    start = from = end + kEnd.size();
  }
  state.rest.erase(0, start);
  return out;
}

bool IsOversized(const event_splitter& state) {
  return state.rest.size() > kMaxEventBytes;
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

/** @brief What a block of lines that ends with an empty line is. */
enum class block_kind {
  event,
  /** Comments, empty lines or settings of the connection. */
  note,
  other_text,
};

block_kind KindOf(std::string_view block) {
  auto out = block_kind::note;
  std::size_t line = 0;
  while (line < block.size()) {
    auto end = block.find('\n', line);
    end = end == std::string_view::npos ? block.size() : end;
    const auto text = block.substr(line, end - line);
    const auto name = text.substr(0, text.find_first_of(":\r"));
    if (name == "data" || name == "id" || name == "event") {
      return block_kind::event;
    }
    if (!name.empty() && name != "retry") {
      out = block_kind::other_text;
    }
    line = end + 1;
  }
  return out;
}

/** @brief Returns the value of the event's last `id` field, if it has one. */
std::optional<std::string> EventId(std::string_view event) {
  constexpr std::string_view kName = "id:";
  std::optional<std::string> out;
  std::size_t line = 0;
  while (line < event.size()) {
    auto end = event.find('\n', line);
    end = end == std::string_view::npos ? event.size() : end;
    auto text = event.substr(line, end - line);
    if (text.starts_with(kName)) {
      text.remove_prefix(kName.size());
      const auto first = text.find_first_not_of(' ');
      const auto last = text.find_last_not_of(" \r");
      out = first == std::string_view::npos
                ? std::string{}
                : std::string(text.substr(first, last - first + 1));
    }
    line = end + 1;
  }
  return out;
}

/** @brief Returns true if an event of a resumed run must not be delivered. */
bool IsMisplaced(event_position position, bool is_first_of_run) {
  switch (position) {
    case event_position::next:
      return false;
    case event_position::repeated:
    case event_position::after_gap:
    case event_position::not_an_event:
      return true;
    case event_position::unknown:
      return is_first_of_run;
  }
  return true;
}

enum class block_use { deliver, skip, stop };

/** @brief Records the next block of the stream. */
block_use TakeBlock(event_framer& state, std::string_view block) {
  const bool is_resumed = state.events > state.run_events;
  const bool is_first_of_run = state.run_events == 0;
  const auto kind = KindOf(block);
  if (kind == block_kind::note) {
    // Until its first event, it is open whether the run belongs to the stream.
    return is_resumed && is_first_of_run ? block_use::skip : block_use::deliver;
  }
  if (kind == block_kind::other_text) {
    state.misplaced = event_position::not_an_event;
    return block_use::stop;
  }
  auto id = EventId(block);
  const auto number = id ? ParseEventId(*id) : std::nullopt;
  const auto position = PositionOf(state.order, number);
  if (is_resumed && IsMisplaced(position, is_first_of_run)) {
    state.misplaced = position;
    return block_use::stop;
  }
  OnEvent(state.order, number);
  if (id) {
    state.last_id = *std::move(id);
  }
  ++state.events;
  ++state.run_events;
  return block_use::deliver;
}

}  // namespace
}  // namespace internal

void BeginRun(event_framer& state) {
  state.rest.clear();
  state.run_events = 0;
  state.misplaced.reset();
}

std::string TakeCompleteEvents(event_framer& state, std::string_view bytes) {
  if (state.misplaced) {
    return {};
  }
  std::size_t from = state.rest.size() < 3 ? 0 : state.rest.size() - 3;
  state.rest += bytes;
  std::string complete;
  std::size_t consumed = 0;
  for (auto end = internal::FindEventEnd(state.rest, from);
       end != std::string::npos;
       end = internal::FindEventEnd(state.rest, from)) {
    const auto block =
        std::string_view(state.rest).substr(consumed, end - consumed);
    const auto use = internal::TakeBlock(state, block);
    if (use == internal::block_use::stop) {
      state.rest.clear();
      return complete;
    }
    if (use == internal::block_use::deliver) {
      complete += block;
    }
    consumed = end;
    from = end;
  }
  state.rest.erase(0, consumed);
  return complete;
}

bool IsOversized(const event_framer& state) {
  return state.rest.size() > kMaxEventBytes;
}

bool CanEnd(const event_framer& state) {
  const bool is_empty_resumption = state.events > 0 && state.run_events == 0;
  return state.rest.empty() && !state.misplaced && !is_empty_resumption;
}

bool CanResume(const event_framer& state) {
  return state.events == 0 || CanContinue(state.order);
}

}  // namespace mimosadeck::answer
