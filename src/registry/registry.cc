#include "registry/registry.h"

#include <set>

namespace mimosadeck::registry {

void OnStoreBack(upstream_set& state, mono_time now) {
  state.store_back_at = now;
}

void OnEntry(upstream_set& state, upstream entry) {
  auto& slot = state.by_id[entry.id];
  slot.drop_at.reset();
  if (slot.entry && *slot.entry == entry) {
    return;
  }
  slot.entry = std::make_shared<const upstream>(std::move(entry));
  ++state.generation;
}

void OnEntryGone(upstream_set& state,
                 const options& settings,
                 std::string_view id,
                 mono_time now) {
  const auto found = state.by_id.find(id);
  if (found == state.by_id.end()) {
    return;
  }
  if (state.store_back_at &&
      now < *state.store_back_at + settings.return_grace) {
    if (!found->second.drop_at) {
      found->second.drop_at = *state.store_back_at + settings.return_grace;
    }
    return;
  }
  state.by_id.erase(found);
  ++state.generation;
}

void OnListing(upstream_set& state,
               const options& settings,
               std::vector<upstream> entries,
               mono_time now) {
  std::set<std::string, std::less<>> listed;
  for (auto& entry : entries) {
    listed.insert(entry.id);
    OnEntry(state, std::move(entry));
  }
  std::vector<std::string> gone;
  for (const auto& [id, held] : state.by_id) {
    if (!listed.contains(id)) {
      gone.push_back(id);
    }
  }
  for (const auto& id : gone) {
    OnEntryGone(state, settings, id, now);
  }
}

void Tick(upstream_set& state, mono_time now) {
  const auto dropped = std::erase_if(state.by_id, [now](const auto& held) {
    return held.second.drop_at && *held.second.drop_at <= now;
  });
  state.generation += dropped;
}

std::vector<std::shared_ptr<const upstream>> Usable(const upstream_set& state,
                                                    std::string_view service) {
  std::vector<std::shared_ptr<const upstream>> out;
  for (const auto& [id, held] : state.by_id) {
    if (held.entry->service == service && !held.entry->draining) {
      out.push_back(held.entry);
    }
  }
  return out;
}

std::string IncarnationOf(const upstream& entry) {
  return entry.id + '/' + std::to_string(entry.started_at_ms);
}

}  // namespace mimosadeck::registry
