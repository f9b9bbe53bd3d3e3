#include "registry/registry.h"

#include <algorithm>
#include <set>

namespace mimosadeck::registry {
namespace internal {
namespace {

/** Removals kept for incremental updates of other processes. */
constexpr std::size_t kMaxRemovals = 512;

void Put(upstream_set& state,
         upstream registration,
         store_version version,
         std::optional<mono_time> drop_at) {
  if (!drop_at) {
    state.removed.erase(registration.id);
  }
  auto& held = state.by_id[registration.id];
  const bool is_same = held.entry && *held.entry == registration;
  if (is_same && held.drop_at == drop_at) {
    return;
  }
  held.version = version;
  held.drop_at = drop_at;
  state.changed_version = std::max(state.changed_version, version);
  if (is_same) {
    return;
  }
  held.entry = std::make_shared<const upstream>(std::move(registration));
  ++state.generation;
}

/** @brief Returns whether a listed registration may be one that was removed
 * after the copy was taken from which the store returned. */
bool MayBeRemoved(const upstream_set& state, const change& listed) {
  const auto removed = state.removed.find(listed.id);
  return removed != state.removed.end() &&
         removed->second.started_at_ms == listed.entry->started_at_ms &&
         listed.version <= state.era_began_at;
}

/** @brief Drops an upstream and remembers that its registration was removed. */
void Erase(upstream_set& state, const std::string& id, mono_time now) {
  const auto found = state.by_id.find(id);
  if (found == state.by_id.end()) {
    return;
  }
  state.removed[id] = {found->second.entry->started_at_ms, now};
  state.by_id.erase(found);
  ++state.generation;
}

/** @brief Notes that the store has begun a new era if a version belongs to one.
 * @return True if it has. */
bool BeginEra(upstream_set& state, store_version version) {
  const bool is_first = state.version == store_version{};
  if (is_first || EraOf(version) <= EraOf(state.version)) {
    return false;
  }
  state.era_began_at = version;
  return true;
}

void RecordRemoval(upstream_set& state,
                   const std::string& id,
                   store_version version) {
  state.changed_version = std::max(state.changed_version, version);
  state.removals.emplace(version, id);
  while (state.removals.size() > kMaxRemovals) {
    state.removals_pruned_to = state.removals.begin()->first;
    state.removals.erase(state.removals.begin());
  }
}

void OnRemoved(upstream_set& state,
               const options& settings,
               const std::string& id,
               store_version version,
               mono_time now) {
  const auto found = state.by_id.find(id);
  if (found == state.by_id.end()) {
    // A process that copies from this one may hold the upstream.
    RecordRemoval(state, id, version);
    return;
  }
  const bool may_register_again =
      state.store_recovered_at &&
      now < *state.store_recovered_at + settings.reregistration_grace;
  if (!may_register_again) {
    Erase(state, id, now);
    RecordRemoval(state, id, version);
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
  const auto applied_version = state.version;
  for (auto& each : received) {
    if (each.version <= applied_version) {
      continue;
    }
    state.version = std::max(state.version, each.version);
    if (each.entry) {
      internal::Put(state, *std::move(each.entry), each.version, std::nullopt);
    } else {
      internal::OnRemoved(state, settings, each.id, each.version, now);
    }
  }
}

void OnListing(upstream_set& state,
               const options& settings,
               std::vector<change> listing,
               store_version version,
               mono_time now) {
  if (version < state.version) {
    return;
  }
  const auto generation = state.generation;
  if (internal::BeginEra(state, version)) {
    OnStoreRecovered(state, now);
  }
  state.version = version;
  std::set<std::string, std::less<>> listed;
  for (auto& each : listing) {
    if (each.entry && !internal::MayBeRemoved(state, each)) {
      listed.insert(each.id);
      internal::Put(state, *std::move(each.entry), each.version, std::nullopt);
    }
  }
  std::vector<std::string> removed;
  for (const auto& [id, held] : state.by_id) {
    if (!listed.contains(id)) {
      removed.push_back(id);
    }
  }
  // A listing does not give the versions of removals.
  state.removals.clear();
  state.removals_pruned_to = version;
  for (const auto& id : removed) {
    internal::OnRemoved(state, settings, id, version, now);
  }
  if (state.generation != generation) {
    state.changed_version = version;
  }
}

update ChangesSince(const upstream_set& state,
                    store_version since,
                    mono_time now) {
  update out;
  out.version = state.version;
  out.changed_version = state.changed_version;
  out.since = since >= state.removals_pruned_to ? since : store_version{};
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
       each != state.removals.end() && out.since != store_version{}; ++each) {
    out.gone.push_back(each->second);
  }
  return out;
}

bool Adopt(upstream_set& state, update received, mono_time now) {
  if (received.version <= state.version || received.since > state.version) {
    return false;
  }
  internal::BeginEra(state, received.version);
  std::set<std::string, std::less<>> removed(received.gone.begin(),
                                             received.gone.end());
  const bool is_complete = received.since == store_version{};
  if (is_complete) {
    for (const auto& [id, held] : state.by_id) {
      removed.insert(id);
    }
    state.removals.clear();
    state.removals_pruned_to = received.version;
  }
  for (auto& each : received.updated) {
    removed.erase(each.entry.id);
    if (each.version > state.version || is_complete) {
      std::optional<mono_time> drop_at;
      if (each.dropped_after) {
        drop_at = now + *each.dropped_after;
      }
      internal::Put(state, std::move(each.entry), each.version, drop_at);
    }
  }
  for (const auto& id : removed) {
    internal::Erase(state, id, now);
    if (!is_complete) {
      internal::RecordRemoval(state, id, received.version);
    }
  }
  state.version = received.version;
  state.changed_version =
      std::max(state.changed_version, received.changed_version);
  return true;
}

void Tick(upstream_set& state, const options& settings, mono_time now) {
  std::erase_if(state.removed, [&](const auto& item) {
    return now - item.second.removed_at > settings.max_copy_age;
  });
  std::vector<std::pair<std::string, store_version>> dropped;
  for (const auto& [id, held] : state.by_id) {
    if (held.drop_at && *held.drop_at <= now) {
      dropped.emplace_back(id, held.version);
    }
  }
  for (const auto& [id, version] : dropped) {
    internal::Erase(state, id, now);
    internal::RecordRemoval(state, id, version);
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

std::string IncarnationOf(const upstream& registration) {
  return registration.id + '/' + std::to_string(registration.started_at_ms);
}

}  // namespace mimosadeck::registry
