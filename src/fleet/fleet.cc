#include "fleet/fleet.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "base/base.h"

namespace mimosadeck::fleet {
namespace internal {
namespace {

bool IsOlder(const wire::digest& a, const wire::digest& b) {
  return a.incarnation() != b.incarnation() ? a.incarnation() < b.incarnation()
                                            : a.sequence() <= b.sequence();
}

/**
 * Tells whether a record was overtaken by what is known of its member.
 *
 * Incarnations are times of start, so one that began after its clock was set
 * back looks older than the one before it. It is taken once nothing of that one
 * can be under way.
 */
bool IsOvertaken(const wire::digest& received,
                 const member& known,
                 mono_time heard_at) {
  if (known.peer_address.empty() || !IsOlder(received, known.last)) {
    return false;
  }
  return received.incarnation() == known.last.incarnation() ||
         heard_at - known.last_seen_at <= kDatagramLife;
}

/** Orders members as contenders for the lease: the most windows run through
 * first, equal ones by name. */
std::pair<std::int64_t, std::uint64_t> ContenderRank(
    std::string_view name,
    std::chrono::milliseconds age,
    const options& settings) {
  const auto counted = std::min(age, settings.billing_complete_after);
  const auto window =
      std::max(settings.billing_window, std::chrono::milliseconds(1));
  return {-(counted / window), Hash64(name)};
}

std::pair<std::int64_t, std::uint64_t> ContenderRank(const wire::digest& of,
                                                     const options& settings) {
  const std::chrono::milliseconds age(
      of.wall_ms() - static_cast<std::int64_t>(of.incarnation()));
  return ContenderRank(of.name(), age, settings);
}

/** A relay's summary tells its own versions sooner than its record does. */
void TakeVersions(members& state, const wire::summary& told) {
  const auto found = state.by_name.find(told.relay());
  if (found == state.by_name.end()) {
    return;
  }
  auto& last = found->second.last;
  last.set_manifest_version(
      std::max(last.manifest_version(), told.manifest_version()));
  last.set_registry_version(
      std::max(last.registry_version(), told.registry_version()));
}

/** Refreshes the members that a relay hears. */
void TakeHeard(members& state, const wire::summary& told, mono_time now) {
  if (told.heard_size() == 0) {
    return;
  }
  std::map<std::uint64_t, member*> by_identity;
  for (auto& [name, found] : state.by_name) {
    by_identity[IdentityOf(found.last)] = &found;
  }
  for (const auto& each : told.heard()) {
    const auto found = by_identity.find(each.identity());
    if (found != by_identity.end()) {
      auto& heard_at = found->second->last_seen_at;
      heard_at =
          std::max(heard_at, now - std::chrono::milliseconds(each.age_ms()));
    }
  }
}

/** Keeps work and billing counts, which some digests leave out. */
void CarryOver(wire::digest& received, wire::digest& before) {
  if (received.incarnation() != before.incarnation()) {
    return;
  }
  if (received.windows_size() == 0) {
    received.mutable_windows()->Swap(before.mutable_windows());
  }
  if (!received.has_work() && before.has_work()) {
    received.mutable_work()->Swap(before.mutable_work());
  }
}

bool TakesCallers(const member& of) {
  return of.last.ready() && !of.last.leaving();
}

/** The time until which most of the members were heard. */
mono_time ContactUntil(const std::vector<const member*>& of) {
  std::vector<mono_time> heard;
  heard.reserve(of.size());
  for (const auto* each : of) {
    heard.push_back(each->last_seen_at);
  }
  const auto middle =
      heard.begin() + static_cast<std::ptrdiff_t>(heard.size() / 2);
  std::nth_element(heard.begin(), middle, heard.end());
  return *middle;
}

/** Members for callers: those that are heard, or, where most are silent, those
 * that were heard when contact was lost. */
std::vector<const member*> Listable(const members& state,
                                    const options& settings,
                                    mono_time now) {
  std::vector<const member*> live;
  std::vector<const member*> remembered;
  for (const auto& [name, found] : state.by_name) {
    if (!TakesCallers(found) ||
        now - found.last_seen_at > settings.listed_for) {
      continue;
    }
    remembered.push_back(&found);
    if (IsLive(state, found, settings, now)) {
      live.push_back(&found);
    }
  }
  if (live.size() * 2 >= remembered.size()) {
    return live;
  }
  const auto contact_until = ContactUntil(remembered);
  std::erase_if(remembered, [&](const auto* each) {
    return contact_until - each->last_seen_at >
           LivenessTimeout(state, settings);
  });
  return remembered;
}

}  // namespace
}  // namespace internal

bool OnDigest(members& state,
              wire::digest received,
              const std::string& peer_address,
              wall_time wall,
              mono_time now) {
  auto& slot = state.by_name[received.name()];
  if (internal::IsOvertaken(received, slot, now)) {
    return false;
  }
  internal::CarryOver(received, slot.last);
  const auto own = std::chrono::duration_cast<std::chrono::milliseconds>(
      wall.time_since_epoch());
  slot.clock_ahead = std::chrono::milliseconds(received.wall_ms()) - own;
  if (received.wants_summary()) {
    slot.asked_at = now;
  }
  slot.last = std::move(received);
  slot.peer_address = peer_address;
  slot.last_seen_at = now;
  return true;
}

void OnSummary(members& state,
               wire::summary received,
               std::string_view self,
               wall_time wall,
               mono_time now) {
  const auto own = std::chrono::duration_cast<std::chrono::milliseconds>(
      wall.time_since_epoch());
  for (auto& told : *received.mutable_members()) {
    if (told.record().name() == self || told.record().name().empty()) {
      continue;
    }
    auto& slot = state.by_name[told.record().name()];
    const std::chrono::milliseconds age(told.age_ms());
    const bool is_overtaken =
        internal::IsOvertaken(told.record(), slot, now - age);
    slot.last_seen_at = std::max(slot.last_seen_at, now - age);
    if (is_overtaken) {
      continue;
    }
    slot.clock_ahead =
        std::chrono::milliseconds(told.record().wall_ms()) + age - own;
    internal::CarryOver(*told.mutable_record(), slot.last);
    slot.last = std::move(*told.mutable_record());
    slot.peer_address = told.peer_address();
  }
  internal::TakeHeard(state, received, now);
  internal::TakeVersions(state, received);
  if (!received.has_work()) {
    return;
  }
  received.clear_suspects();
  received.clear_leaving_upstreams();
  state.work = fleet_work{std::move(received), now};
}

std::vector<const member*> Followers(const members& state,
                                     const options& settings,
                                     std::string_view data_centre,
                                     mono_time now) {
  std::vector<const member*> out;
  if (IsFullMesh(state, settings)) {
    return out;
  }
  for (const auto& [name, found] : state.by_name) {
    if (found.last.data_centre() == data_centre && found.asked_at &&
        now - *found.asked_at <= LivenessTimeout(state, settings)) {
      out.push_back(&found);
    }
  }
  return out;
}

wire::summary AggregateWork(const members& state,
                            const options& settings,
                            const wire::digest& own,
                            mono_time now) {
  work_table sum;
  Add(sum, own.work());
  for (const auto* each : LiveMembers(state, settings, now)) {
    Add(sum, each->last.work());
  }
  wire::summary out;
  out.set_relay(own.name());
  out.set_manifest_version(own.manifest_version());
  out.set_registry_version(own.registry_version());
  *out.mutable_work() = Encode(sum);
  return out;
}

void Tick(members& state, const options& settings, mono_time now) {
  std::erase_if(state.by_name, [&](const auto& each) {
    return now - each.second.last_seen_at > settings.forgotten_after;
  });
}

std::uint64_t IdentityOf(const wire::digest& of) {
  return Hash64(of.name() + '/' + std::to_string(of.incarnation()));
}

bool IsRecordDue(const wire::digest* before,
                 const wire::digest& present,
                 std::uint64_t round) {
  /** Rounds in which every record has its turn. */
  constexpr std::uint64_t kTurns = 8;
  if (!before || (Hash64(present.name()) + round) % kTurns == 0) {
    return true;
  }
  return before->incarnation() != present.incarnation() ||
         before->ready() != present.ready() ||
         before->leaving() != present.leaving() ||
         before->fencing() != present.fencing() ||
         before->store_followed() != present.store_followed() ||
         before->caller_address() != present.caller_address() ||
         before->manifest_version() != present.manifest_version();
}

bool IsFullMesh(const members& state, const options& settings) {
  return state.by_name.size() + 1 <= settings.dense_fleet;
}

std::chrono::milliseconds DigestInterval(const members& state,
                                         const options& settings) {
  const auto size = std::max(state.by_name.size() + 1, settings.relayed_fleet);
  return settings.shortest_interval * size / settings.relayed_fleet;
}

std::chrono::milliseconds LivenessTimeout(const members& state,
                                          const options& settings) {
  const auto direct =
      DigestInterval(state, settings) * settings.missed_digests +
      settings.live_slack;
  return IsFullMesh(state, settings) ? direct
                                     : direct + settings.record_interval;
}

void Subtract(wire::summary& sum, const wire::digest& of) {
  work_table left;
  Add(left, sum.work());
  Subtract(left, of.work());
  *sum.mutable_work() = Encode(left);
}

bool IsLive(const members& state,
            const member& of,
            const options& settings,
            mono_time now) {
  return now - of.last_seen_at <= LivenessTimeout(state, settings);
}

std::vector<const member*> LiveMembers(const members& state,
                                       const options& settings,
                                       mono_time now) {
  std::vector<const member*> out;
  for (const auto& [name, found] : state.by_name) {
    if (IsLive(state, found, settings, now) && !found.last.leaving()) {
      out.push_back(&found);
    }
  }
  return out;
}

std::chrono::milliseconds ClockCorrection(const members& state,
                                          const options& settings,
                                          mono_time now) {
  std::vector<std::chrono::milliseconds> ahead{std::chrono::milliseconds(0)};
  for (const auto* each : LiveMembers(state, settings, now)) {
    ahead.push_back(each->clock_ahead);
  }
  const auto middle =
      ahead.begin() + static_cast<std::ptrdiff_t>(ahead.size() / 2);
  std::nth_element(ahead.begin(), middle, ahead.end());
  return *middle;
}

std::vector<std::string> AddressesFor(const members& state,
                                      const options& settings,
                                      const self_entry& self,
                                      std::string_view data_centre,
                                      std::size_t most,
                                      mono_time now) {
  std::vector<std::string> near;
  std::vector<std::string> far;
  if (self.ready) {
    (self.data_centre == data_centre ? near : far)
        .push_back(self.caller_address);
  }
  for (const auto* each : internal::Listable(state, settings, now)) {
    (each->last.data_centre() == data_centre ? near : far)
        .push_back(each->last.caller_address());
  }
  if (near.size() < 2) {
    near.insert(near.end(), far.begin(), far.end());
  }
  near.resize(std::min(near.size(), most));
  return near;
}

bool HasMajorityContact(const members& state,
                        const options& settings,
                        mono_time now) {
  std::size_t remembered = 0;
  std::size_t live = 0;
  for (const auto& [name, found] : state.by_name) {
    if (found.last.leaving() ||
        now - found.last_seen_at > settings.remembered_for) {
      continue;
    }
    ++remembered;
    live += IsLive(state, found, settings, now) ? 1 : 0;
  }
  return live * 2 >= remembered;
}

bool IsLeaseHeldElsewhere(const members& state,
                          const options& settings,
                          mono_time now) {
  const auto live = LiveMembers(state, settings, now);
  return std::any_of(live.begin(), live.end(),
                     [](const auto* each) { return each->last.fencing() > 0; });
}

std::vector<const member*> BillingReplicas(const members& state,
                                           const options& settings,
                                           mono_time now) {
  auto live = LiveMembers(state, settings, now);
  std::sort(live.begin(), live.end(),
            [&settings](const auto* a, const auto* b) {
              return internal::ContenderRank(a->last, settings) <
                     internal::ContenderRank(b->last, settings);
            });
  std::vector<const member*> out;
  const auto most =
      IsFullMesh(state, settings) ? live.size() : settings.count_takers;
  for (const auto* each : live) {
    const bool contends = each->last.ready() && out.size() < most;
    if (contends || each->last.fencing() > 0) {
      out.push_back(each);
    }
  }
  return out;
}

std::size_t ContentionRank(const members& state,
                           const options& settings,
                           const self_status& self,
                           mono_time now) {
  const auto own = internal::ContenderRank(self.name, self.age, settings);
  const auto live = LiveMembers(state, settings, now);
  const auto before =
      std::count_if(live.begin(), live.end(), [&](const auto* each) {
        return each->last.ready() &&
               internal::ContenderRank(each->last, settings) < own;
      });
  return static_cast<std::size_t>(before);
}

}  // namespace mimosadeck::fleet
