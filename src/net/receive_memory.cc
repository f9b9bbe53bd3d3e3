#include "net/receive_memory.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace mimosadeck::net {
namespace internal {
namespace {

using request_list = std::map<receive_id, received>;

void AddBytes(receive_memory& state,
              const std::string& owner,
              std::uint64_t bytes) {
  state.used += bytes;
  state.by_owner[owner] += bytes;
}

void RemoveBytes(receive_memory& state,
                 const std::string& owner,
                 std::uint64_t bytes) {
  state.used -= bytes;
  const auto found = state.by_owner.find(owner);
  if (found == state.by_owner.end()) {
    return;
  }
  found->second -= bytes;
  if (found->second == 0) {
    state.by_owner.erase(found);
  }
}

/** @brief Returns how much a request occupies without progress: bytes times
 * milliseconds. */
double Occupancy(const received& request, mono_time now) {
  const std::chrono::duration<double, std::milli> stalled =
      now - request.progressed_at;
  return static_cast<double>(request.bytes) * (stalled.count() + 1);
}

std::uint64_t BytesOf(const receive_memory& state, const std::string& owner) {
  const auto found = state.by_owner.find(owner);
  return found == state.by_owner.end() ? 0 : found->second;
}

/** @brief Selects the request to cut; the end if all are received completely.
 */
request_list::iterator SelectVictim(receive_memory& state, mono_time now) {
  auto worst = state.by_id.end();
  for (auto item = state.by_id.begin(); item != state.by_id.end(); ++item) {
    if (item->second.is_whole) {
      continue;
    }
    const auto rank = [&state, now](const received& request) {
      return std::pair(BytesOf(state, request.owner), Occupancy(request, now));
    };
    if (worst == state.by_id.end() ||
        rank(item->second) > rank(worst->second)) {
      worst = item;
    }
  }
  return worst;
}

void SetBytes(receive_memory& state, received& request, std::uint64_t bytes) {
  RemoveBytes(state, request.owner, request.bytes);
  request.bytes = bytes;
  AddBytes(state, request.owner, request.bytes);
}

}  // namespace
}  // namespace internal

receive_id Begin(receive_memory& state, std::string owner, mono_time now) {
  const auto id = ++state.last_id;
  state.by_id[id] = {std::move(owner), 0, now, false};
  return id;
}

void SetOwner(receive_memory& state, receive_id id, std::string owner) {
  const auto found = state.by_id.find(id);
  if (found == state.by_id.end()) {
    return;
  }
  auto& request = found->second;
  internal::RemoveBytes(state, request.owner, request.bytes);
  request.owner = std::move(owner);
  internal::AddBytes(state, request.owner, request.bytes);
}

std::vector<receive_id> Hold(receive_memory& state,
                             const receive_options& settings,
                             receive_id id,
                             std::uint64_t bytes,
                             mono_time now) {
  std::vector<receive_id> cut;
  const auto found = state.by_id.find(id);
  if (found == state.by_id.end()) {
    return cut;
  }
  if (bytes > found->second.bytes) {
    found->second.progressed_at = now;
  }
  internal::SetBytes(state, found->second, bytes);
  while (state.used > settings.limit_bytes) {
    const auto victim = internal::SelectVictim(state, now);
    if (victim == state.by_id.end()) {
      break;
    }
    cut.push_back(victim->first);
    End(state, victim->first);
  }
  return cut;
}

void SetWhole(receive_memory& state, receive_id id, std::uint64_t bytes) {
  const auto found = state.by_id.find(id);
  if (found != state.by_id.end()) {
    found->second.is_whole = true;
    internal::SetBytes(state, found->second, bytes);
  }
}

void End(receive_memory& state, receive_id id) {
  const auto found = state.by_id.find(id);
  if (found != state.by_id.end()) {
    internal::RemoveBytes(state, found->second.owner, found->second.bytes);
    state.by_id.erase(found);
  }
}

}  // namespace mimosadeck::net
