#include "registry/registry.h"

#include <algorithm>
#include <set>

namespace mimosadeck::registry {
namespace internal {
namespace {

/** Removals that are remembered for updates of other processes. */
constexpr std::size_t kMostRemovals = 512;

void Put(upstream_set& state,
         upstream entry,
         std::uint64_t version,
         std::optional<mono_time> drop_at) {
  auto& slot = state.by_id[entry.id];
  const bool is_same = slot.entry && *slot.entry == entry;
  if (is_same && slot.drop_at == drop_at) {
    return;
  }
  slot.version = version;
  slot.drop_at = drop_at;
  state.changed_version = std::max(state.changed_version, version);
  if (is_same) {
    return;
  }
  slot.entry = std::make_shared<const upstream>(std::move(entry));
  ++state.generation;
}

void Erase(upstream_set& state, const std::string& id) {
  state.generation += state.by_id.erase(id);
}

void NoteRemoval(upstream_set& state,
                 const std::string& id,
                 std::uint64_t version) {
  state.changed_version = std::max(state.changed_version, version);
  state.removals.emplace(version, id);
  while (state.removals.size() > kMostRemovals) {
    state.removals_pruned_to = state.removals.begin()->first;
    state.removals.erase(state.removals.begin());
  }
}

void OnGone(upstream_set& state,
            const options& settings,
            const std::string& id,
            std::uint64_t version,
            mono_time now) {
  const auto found = state.by_id.find(id);
  if (found == state.by_id.end()) {
    return;
  }
  const bool may_come_back =
      state.store_recovered_at &&
      now < *state.store_recovered_at + settings.reregistration_grace;
  if (!may_come_back) {
    Erase(state, id);
    NoteRemoval(state, id, version);
    return;
  }
  if (!found->second.drop_at) {
    found->second.version = version;
    state.changed_version = std::max(state.changed_version, version);
    found->second.drop_at =
        *state.store_recovered_at + settings.reregistration_grace;
  }
}

}  // namespace
}  // namespace internal

void OnStoreRecovered(upstream_set& state, mono_time now) {
  state.store_recovered_at = now;
}

void OnChanges(upstream_set& state,
               const options& settings,
               std::vector<change> received,
               mono_time now) {
  const auto reflected = state.version;
  for (auto& each : received) {
    if (each.version <= reflected) {
      continue;
    }
    state.version = std::max(state.version, each.version);
    if (each.entry) {
      internal::Put(state, *std::move(each.entry), each.version, std::nullopt);
    } else {
      internal::OnGone(state, settings, each.id, each.version, now);
    }
  }
}

void OnListing(upstream_set& state,
               const options& settings,
               std::vector<change> entries,
               std::uint64_t version,
               mono_time now) {
  if (version < state.version) {
    return;
  }
  const auto generation = state.generation;
  state.version = version;
  std::set<std::string, std::less<>> listed;
  for (auto& each : entries) {
    if (each.entry) {
      listed.insert(each.id);
      internal::Put(state, *std::move(each.entry), each.version, std::nullopt);
    }
  }
  std::vector<std::string> gone;
  for (const auto& [id, held] : state.by_id) {
    if (!listed.contains(id)) {
      gone.push_back(id);
    }
  }
  // The versions of these removals are not known.
  state.removals.clear();
  state.removals_pruned_to = version;
  for (const auto& id : gone) {
    internal::OnGone(state, settings, id, version, now);
  }
  if (state.generation != generation) {
    state.changed_version = version;
  }
}

update ChangesSince(const upstream_set& state,
                    std::uint64_t since,
                    mono_time now) {
  update out;
  out.version = state.version;
  out.changed_version = state.changed_version;
  out.since = since >= state.removals_pruned_to ? since : 0;
  for (const auto& [id, held] : state.by_id) {
    if (held.version <= out.since) {
      continue;
    }
    copied each{*held.entry, held.version, std::nullopt};
    if (held.drop_at) {
      each.dropped_after =
          std::chrono::duration_cast<std::chrono::milliseconds>(
              std::max(*held.drop_at - now, mono_duration::zero()));
    }
    out.updated.push_back(std::move(each));
  }
  for (auto each = state.removals.upper_bound(out.since);
       each != state.removals.end() && out.since > 0; ++each) {
    out.gone.push_back(each->second);
  }
  return out;
}

bool Adopt(upstream_set& state, update received, mono_time now) {
  if (received.version <= state.version || received.since > state.version) {
    return false;
  }
  std::set<std::string, std::less<>> gone(received.gone.begin(),
                                          received.gone.end());
  if (received.since == 0) {
    for (const auto& [id, held] : state.by_id) {
      gone.insert(id);
    }
    state.removals.clear();
    state.removals_pruned_to = received.version;
  }
  for (auto& each : received.updated) {
    gone.erase(each.entry.id);
    if (each.version > state.version || received.since == 0) {
      std::optional<mono_time> drop_at;
      if (each.dropped_after) {
        drop_at = now + *each.dropped_after;
      }
      internal::Put(state, std::move(each.entry), each.version, drop_at);
    }
  }
  for (const auto& id : gone) {
    internal::Erase(state, id);
    if (received.since > 0) {
      internal::NoteRemoval(state, id, received.version);
    }
  }
  state.version = received.version;
  state.changed_version =
      std::max(state.changed_version, received.changed_version);
  return true;
}

void Tick(upstream_set& state, mono_time now) {
  std::vector<std::pair<std::string, std::uint64_t>> dropped;
  for (const auto& [id, held] : state.by_id) {
    if (held.drop_at && *held.drop_at <= now) {
      dropped.emplace_back(id, held.version);
    }
  }
  for (const auto& [id, version] : dropped) {
    internal::Erase(state, id);
    internal::NoteRemoval(state, id, version);
  }
}

std::vector<std::shared_ptr<const upstream>> UsableUpstreams(
    const upstream_set& state,
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
