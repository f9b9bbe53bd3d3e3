#include "registry/registry.h"

#include <algorithm>
#include <set>

namespace mimosadeck::registry {
namespace internal {
namespace {

/** Removals kept for incremental updates of other processes. */
constexpr std::size_t kMaxRemovals = 512;

/** @brief What is known of a registration besides its content. */
struct standing {
  std::optional<mono_time> drop_at;
  std::optional<mono_time> held_back_until;
  bool is_confirmed{};
};

/** @brief Updates the cold period of an upstream from a registration.
 * @return True if other entries have to be told. */
bool UpdateColdPeriod(registered& held,
                      const upstream& registration,
                      const options& settings,
                      mono_time now) {
  const auto cold_until = now + registration.cold_for;
  const bool is_over = cold_until <= now && held.cold_until <= now;
  const auto difference = cold_until > held.cold_until
                              ? cold_until - held.cold_until
                              : held.cold_until - cold_until;
  if (is_over || difference <= settings.cold_tolerance) {
    return false;
  }
  held.cold_until = cold_until;
  return true;
}

void Put(upstream_set& state,
         const options& settings,
         upstream registration,
         store_version version,
         const standing& known,
         mono_time now) {
  if (!known.drop_at && !known.held_back_until) {
    state.removed.erase(registration.id);
  }
  auto& held = state.by_id[registration.id];
  held.is_confirmed = held.is_confirmed || known.is_confirmed;
  const bool cold_period_changed =
      UpdateColdPeriod(held, registration, settings, now);
  registration.cold_for = {};
  const bool is_same = held.entry && *held.entry == registration;
  const bool stays_usable =
      held.held_back_until.has_value() == known.held_back_until.has_value();
  if (is_same && stays_usable && held.drop_at == known.drop_at &&
      !cold_period_changed) {
    return;
  }
  held.version = version;
  held.drop_at = known.drop_at;
  held.held_back_until = known.held_back_until;
  state.changed_version = std::max(state.changed_version, version);
  if (is_same && stays_usable && !cold_period_changed) {
    return;
  }
  held.entry = std::make_shared<const upstream>(std::move(registration));
  ++state.generation;
}

/** @brief Returns whether this process saw the removal of an incarnation and no
 * registration since. */
bool IsRemoved(const upstream_set& state, const upstream& registration) {
  const auto found = state.removed.find(registration.id);
  return found != state.removed.end() &&
         found->second.started_at_ms == registration.started_at_ms;
}

/** @brief Returns whether a registration may be one that was removed after the
 * copy was taken from which the store returned. */
bool MayBeRemoved(const upstream_set& state,
                  const upstream& registration,
                  store_version version) {
  return version <= state.era_began_at && IsRemoved(state, registration);
}

/** @brief Remembers the removal of a registration. */
void RememberRemoval(upstream_set& state,
                     const upstream& registration,
                     mono_time now) {
  state.removed[registration.id] = {registration.started_at_ms, now};
}

void Erase(upstream_set& state, const std::string& id, mono_time now) {
  const auto found = state.by_id.find(id);
  if (found == state.by_id.end()) {
    return;
  }
  RememberRemoval(state, *found->second.entry, now);
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
  for (auto& [id, held] : state.by_id) {
    held.is_confirmed = false;
  }
  return true;
}

/** @brief Ends the holding back of upstreams that are still registered after
 * the lifetime of a registration, at an answer that would show their removal.
 */
void ReleaseHeldBack(upstream_set& state, mono_time now) {
  for (auto& [id, held] : state.by_id) {
    if (held.held_back_until && *held.held_back_until <= now) {
      held.held_back_until.reset();
      ++state.generation;
    }
  }
}

std::optional<std::chrono::milliseconds> TimeUntil(
    const std::optional<mono_time>& end,
    mono_time now) {
  if (!end) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::max(*end - now, mono_duration::zero()));
}

/** @brief Returns the standing of an upstream copied from another process. */
standing StandingOf(const upstream_set& state,
                    const options& settings,
                    const copied& received,
                    mono_time now) {
  standing out;
  if (received.dropped_after) {
    out.drop_at = now + *received.dropped_after;
  }
  if (received.held_back_for) {
    out.held_back_until = now + *received.held_back_for;
  } else if (MayBeRemoved(state, received.entry, received.version)) {
    out.held_back_until = now + settings.registration_lifetime;
  }
  return out;
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
  RememberRemoval(state, *found->second.entry, now);
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

void OnStoreRecovered(upstream_set& state,
                      const options& settings,
                      mono_time now) {
  state.store_recovered_at = now;
  for (auto& [id, held] : state.by_id) {
    if (held.held_back_until) {
      held.held_back_until = now + settings.registration_lifetime;
    }
  }
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
      internal::Put(state, settings, *std::move(each.entry), each.version,
                    {std::nullopt, std::nullopt, true}, now);
    } else {
      internal::OnRemoved(state, settings, each.id, each.version, now);
    }
  }
  internal::ReleaseHeldBack(state, now);
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
    OnStoreRecovered(state, settings, now);
  }
  state.version = version;
  std::set<std::string, std::less<>> listed;
  for (auto& each : listing) {
    if (!each.entry) {
      continue;
    }
    internal::standing known;
    if (internal::MayBeRemoved(state, *each.entry, each.version)) {
      const auto held = state.by_id.find(each.id);
      if (held != state.by_id.end() && held->second.drop_at) {
        continue;
      }
      known.held_back_until = now + settings.registration_lifetime;
    }
    listed.insert(each.id);
    internal::Put(state, settings, *std::move(each.entry), each.version, known,
                  now);
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
  internal::ReleaseHeldBack(state, now);
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
    out.updated.push_back({*held.entry, held.version,
                           internal::TimeUntil(held.drop_at, now),
                           internal::TimeUntil(held.held_back_until, now)});
    out.updated.back().entry.cold_for =
        *internal::TimeUntil(held.cold_until, now);
  }
  for (auto each = state.removals.upper_bound(out.since);
       each != state.removals.end() && out.since != store_version{}; ++each) {
    out.gone.push_back(each->second);
  }
  return out;
}

void EndGrace(upstream_set& state, mono_time now) {
  state.store_recovered_at.reset();
  for (auto& [id, held] : state.by_id) {
    if (held.drop_at) {
      held.drop_at = now;
    }
  }
}

bool Adopt(upstream_set& state,
           const options& settings,
           update received,
           mono_time now) {
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
    if (each.dropped_after && internal::IsRemoved(state, each.entry)) {
      removed.insert(each.entry.id);
      continue;
    }
    removed.erase(each.entry.id);
    if (each.version > state.version || is_complete) {
      const auto known = internal::StandingOf(state, settings, each, now);
      internal::Put(state, settings, std::move(each.entry), each.version, known,
                    now);
    }
  }
  for (const auto& id : removed) {
    internal::Erase(state, id, now);
    if (!is_complete) {
      internal::RecordRemoval(state, id, received.version);
    }
  }
  internal::ReleaseHeldBack(state, now);
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

std::vector<std::string> HeldBack(const upstream_set& state) {
  std::vector<std::string> out;
  for (const auto& [id, held] : state.by_id) {
    if (held.held_back_until && internal::IsRemoved(state, *held.entry)) {
      out.push_back(IncarnationOf(*held.entry));
    }
  }
  return out;
}

bool HoldBack(upstream_set& state,
              const options& settings,
              std::string_view incarnation,
              mono_time now) {
  const auto id = incarnation.substr(0, incarnation.rfind('/'));
  const auto found = state.by_id.find(id);
  if (found == state.by_id.end() ||
      IncarnationOf(*found->second.entry) != incarnation ||
      found->second.is_confirmed || found->second.held_back_until) {
    return false;
  }
  found->second.held_back_until = now + settings.registration_lifetime;
  ++state.generation;
  return true;
}

std::vector<std::shared_ptr<const upstream>> UsableUpstreams(
    const upstream_set& state,
    std::string_view service) {
  std::vector<std::shared_ptr<const upstream>> out;
  for (const auto& [id, held] : state.by_id) {
    if (held.entry->service == service && !held.entry->draining &&
        !held.held_back_until) {
      out.push_back(held.entry);
    }
  }
  return out;
}

std::vector<std::shared_ptr<const upstream>> ColdUpstreams(
    const upstream_set& state,
    std::string_view service,
    mono_time now) {
  auto out = UsableUpstreams(state, service);
  std::erase_if(out, [&state, now](const auto& usable) {
    return state.by_id.find(usable->id)->second.cold_until <= now;
  });
  return out;
}

std::string IncarnationOf(const upstream& registration) {
  return registration.id + '/' + std::to_string(registration.started_at_ms);
}

}  // namespace mimosadeck::registry
