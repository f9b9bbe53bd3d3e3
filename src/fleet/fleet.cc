#include "fleet/fleet.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

#include "base/base.h"

namespace mimosadeck::fleet {
namespace internal {
namespace {

bool IsNotNewer(const wire::digest& a, const wire::digest& b) {
  return a.incarnation() != b.incarnation() ? a.incarnation() < b.incarnation()
                                            : a.sequence() <= b.sequence();
}

/**
 * Tells whether a record is older than the stored one of its member.
 *
 * Incarnations are start times, so a process that starts after its clock was
 * set back looks older than its predecessor. Its record is accepted once no
 * datagram of the predecessor can still be in transit.
 */
bool IsStale(const wire::digest& received,
             const member& stored,
             mono_time seen_at) {
  if (stored.peer_address.empty() || !IsNotNewer(received, stored.last)) {
    return false;
  }
  return received.incarnation() == stored.last.incarnation() ||
         seen_at - stored.last_seen_at <= kMaxDatagramLifetime;
}

/** Orders contenders for the lease: first those that ran through the most
 * billing windows, and by the hash of the name if equal. */
std::pair<std::int64_t, std::uint64_t> ContenderRank(
    std::string_view name,
    std::chrono::milliseconds age,
    const options& settings) {
  const auto counted_age = std::min(age, settings.billing_complete_after);
  const auto window =
      std::max(settings.billing_window, std::chrono::milliseconds(1));
  return {-(counted_age / window), Hash64(name)};
}

std::pair<std::int64_t, std::uint64_t> ContenderRank(const wire::digest& entry,
                                                     const options& settings) {
  const std::chrono::milliseconds age(
      entry.wall_ms() - static_cast<std::int64_t>(entry.incarnation()));
  return ContenderRank(entry.name(), age, settings);
}

/** Updates the versions of a relay, which its summaries carry more often than
 * its record does. */
void UpdateRelayVersions(members& state, const wire::summary& received) {
  const auto found = state.by_name.find(received.relay());
  if (found == state.by_name.end()) {
    return;
  }
  auto& last = found->second.last;
  last.set_manifest_version(
      std::max(last.manifest_version(), received.manifest_version()));
  last.set_registry_version(
      std::max(last.registry_version(), received.registry_version()));
}

/** Updates when the members that a relay reports as live were last seen. */
void UpdateLastSeen(members& state,
                    const wire::summary& received,
                    mono_time now) {
  if (received.heard_size() == 0) {
    return;
  }
  std::map<std::uint64_t, member*> by_identity;
  for (auto& [name, found] : state.by_name) {
    by_identity[IdentityOf(found.last)] = &found;
  }
  for (const auto& report : received.heard()) {
    const auto found = by_identity.find(report.identity());
    if (found != by_identity.end()) {
      auto& last_seen_at = found->second->last_seen_at;
      last_seen_at = std::max(last_seen_at,
                              now - std::chrono::milliseconds(report.age_ms()));
    }
  }
}

/** Keeps the work and the billing counts if the digest leaves them out. */
void KeepOmittedFields(wire::digest& received, wire::digest& before) {
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

/** Returns up to which time a feed was read, as of a message that gives the
 * time since then. */
std::optional<mono_time> ReadUpTo(bool is_known,
                                  std::uint32_t ms_ago,
                                  mono_time sent_at) {
  return is_known ? std::optional(sent_at - std::chrono::milliseconds(ms_ago))
                  : std::nullopt;
}

std::uint32_t MsSince(mono_time time, mono_time now) {
  const auto elapsed =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - time).count();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      elapsed, 0, std::numeric_limits<std::uint32_t>::max()));
}

/** Sets up to which time each feed was read, in a digest or a summary. */
template <typename Message>
void EncodeReadTimes(const feed_records& reads, mono_time now, Message& out) {
  if (reads.operator_rows.read_up_to) {
    out.set_operator_rows_read_ms_ago(
        MsSince(*reads.operator_rows.read_up_to, now));
  }
  if (reads.upstreams.read_up_to) {
    out.set_upstreams_read_ms_ago(MsSince(*reads.upstreams.read_up_to, now));
  }
}

/** Returns what a member has read from the store, as of one of its digests. */
feed_records DecodeRecords(const wire::digest& received, mono_time sent_at) {
  feed_records out;
  out.operator_rows.read_up_to =
      ReadUpTo(received.has_operator_rows_read_ms_ago(),
               received.operator_rows_read_ms_ago(), sent_at);
  auto& upstreams = out.upstreams;
  upstreams.read_up_to = ReadUpTo(received.has_upstreams_read_ms_ago(),
                                  received.upstreams_read_ms_ago(), sent_at);
  if (upstreams.read_up_to && received.store_followed_ms() > 0) {
    upstreams.answered_since =
        *upstreams.read_up_to -
        std::chrono::milliseconds(received.store_followed_ms());
  }
  return out;
}

/** Applies the newest reads that a relay knows of. */
void UpdateReportedReads(members& state,
                         const wire::summary& received,
                         mono_time now) {
  const auto update = [](std::optional<mono_time>& known,
                         std::optional<mono_time> reported) {
    if (reported && (!known || *known < *reported)) {
      known = reported;
    }
  };
  update(state.reported_reads.operator_rows.read_up_to,
         ReadUpTo(received.has_operator_rows_read_ms_ago(),
                  received.operator_rows_read_ms_ago(), now));
  update(state.reported_reads.upstreams.read_up_to,
         ReadUpTo(received.has_upstreams_read_ms_ago(),
                  received.upstreams_read_ms_ago(), now));
}

bool AcceptsCallers(const member& other) {
  return other.last.ready() && !other.last.leaving() &&
         !other.last.caller_address().empty();
}

/** Returns the time at which contact with most of the members was lost: the
 * median of the times at which they were last seen. */
mono_time MedianLastSeen(const std::vector<const member*>& seen) {
  std::vector<mono_time> times;
  times.reserve(seen.size());
  for (const auto* other : seen) {
    times.push_back(other->last_seen_at);
  }
  const auto middle =
      times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  return *middle;
}

/** Returns the members that the directory lists: the live ones, or, if most are
 * silent, those that were live when contact was lost. */
std::vector<const member*> ListableMembers(const members& state,
                                           const options& settings,
                                           mono_time now) {
  std::vector<const member*> live;
  std::vector<const member*> recent;
  for (const auto& [name, found] : state.by_name) {
    if (!AcceptsCallers(found) ||
        now - found.last_seen_at > settings.listing_retention) {
      continue;
    }
    recent.push_back(&found);
    if (IsLive(state, found, settings, now)) {
      live.push_back(&found);
    }
  }
  if (live.size() * 2 >= recent.size()) {
    return live;
  }
  const auto contact_lost_at = MedianLastSeen(recent);
  std::erase_if(recent, [&](const auto* other) {
    return contact_lost_at - other->last_seen_at >
           LivenessTimeout(state, settings);
  });
  return recent;
}

}  // namespace
}  // namespace internal

bool OnDigest(members& state,
              wire::digest received,
              const std::string& peer_address,
              wall_time wall,
              mono_time now) {
  auto& stored = state.by_name[received.name()];
  if (internal::IsStale(received, stored, now)) {
    return false;
  }
  internal::KeepOmittedFields(received, stored.last);
  const auto own_wall = std::chrono::duration_cast<std::chrono::milliseconds>(
      wall.time_since_epoch());
  stored.clock_offset =
      std::chrono::milliseconds(received.wall_ms()) - own_wall;
  if (received.wants_summary()) {
    stored.summary_requested_at = now;
  }
  stored.store = internal::DecodeRecords(received, now);
  stored.last = std::move(received);
  stored.peer_address = peer_address;
  stored.last_seen_at = now;
  return true;
}

void OnSummary(members& state,
               wire::summary received,
               std::string_view self,
               wall_time wall,
               mono_time now) {
  const auto own_wall = std::chrono::duration_cast<std::chrono::milliseconds>(
      wall.time_since_epoch());
  for (auto& relayed : *received.mutable_members()) {
    if (relayed.record().name() == self || relayed.record().name().empty()) {
      continue;
    }
    auto& stored = state.by_name[relayed.record().name()];
    const std::chrono::milliseconds age(relayed.age_ms());
    const bool is_stale =
        internal::IsStale(relayed.record(), stored, now - age);
    stored.last_seen_at = std::max(stored.last_seen_at, now - age);
    if (is_stale) {
      continue;
    }
    stored.clock_offset =
        std::chrono::milliseconds(relayed.record().wall_ms()) + age - own_wall;
    stored.store = internal::DecodeRecords(relayed.record(), now - age);
    internal::KeepOmittedFields(*relayed.mutable_record(), stored.last);
    stored.last = std::move(*relayed.mutable_record());
    stored.peer_address = relayed.peer_address();
  }
  internal::UpdateLastSeen(state, received, now);
  internal::UpdateRelayVersions(state, received);
  internal::UpdateReportedReads(state, received, now);
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
    if (found.last.data_centre() == data_centre && found.summary_requested_at &&
        now - *found.summary_requested_at <= LivenessTimeout(state, settings)) {
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
  for (const auto* other : LiveMembers(state, settings, now)) {
    Add(sum, other->last.work());
  }
  wire::summary out;
  out.set_relay(own.name());
  out.set_manifest_version(own.manifest_version());
  out.set_registry_version(own.registry_version());
  *out.mutable_work() = Encode(sum);
  auto reads = internal::DecodeRecords(own, now);
  for (const auto* other : LiveMembers(state, settings, now)) {
    for (const auto feed : {store_feed::operator_rows, store_feed::upstreams}) {
      auto& newest = RecordOf(reads, feed).read_up_to;
      newest = std::max(newest, RecordOf(other->store, feed).read_up_to);
    }
  }
  internal::EncodeReadTimes(reads, now, out);
  return out;
}

void Tick(members& state, const options& settings, mono_time now) {
  std::erase_if(state.by_name, [&](const auto& item) {
    return now - item.second.last_seen_at > settings.member_retention;
  });
}

void EncodeReads(const feed_records& reads,
                 const options& settings,
                 mono_time now,
                 wire::digest& out) {
  internal::EncodeReadTimes(reads, now, out);
  out.set_store_followed(IsFollowed(reads.upstreams) &&
                         now - *reads.upstreams.read_up_to <=
                             settings.apply_time);
  out.set_store_followed_ms(
      static_cast<std::uint32_t>(AnsweredFor(reads.upstreams).count()));
}

std::uint64_t IdentityOf(const wire::digest& entry) {
  return Hash64(entry.name() + '/' + std::to_string(entry.incarnation()));
}

bool IsRecordDue(const wire::digest* before,
                 const wire::digest& current,
                 std::uint64_t round) {
  /** Rounds in which every record is sent once. */
  constexpr std::uint64_t kRoundsPerRecord = 8;
  if (!before || (Hash64(current.name()) + round) % kRoundsPerRecord == 0) {
    return true;
  }
  return before->incarnation() != current.incarnation() ||
         before->ready() != current.ready() ||
         before->leaving() != current.leaving() ||
         before->fencing() != current.fencing() ||
         before->store_followed() != current.store_followed() ||
         before->caller_address() != current.caller_address() ||
         before->manifest_version() != current.manifest_version();
}

bool IsFullMesh(const members& state, const options& settings) {
  return state.by_name.size() + 1 <= settings.full_mesh_limit;
}

std::chrono::milliseconds DigestInterval(const members& state,
                                         const options& settings) {
  const auto size =
      std::max(state.by_name.size() + 1, settings.interval_scaling_size);
  return settings.base_digest_interval * size / settings.interval_scaling_size;
}

std::chrono::milliseconds LivenessTimeout(const members& state,
                                          const options& settings) {
  const auto direct =
      DigestInterval(state, settings) * settings.missed_digests +
      settings.liveness_margin;
  return IsFullMesh(state, settings) ? direct
                                     : direct + settings.record_interval;
}

void Subtract(wire::summary& sum, const wire::digest& receiver) {
  work_table difference;
  Add(difference, sum.work());
  Subtract(difference, receiver.work());
  *sum.mutable_work() = Encode(difference);
}

bool IsLive(const members& state,
            const member& other,
            const options& settings,
            mono_time now) {
  return now - other.last_seen_at <= LivenessTimeout(state, settings);
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
  std::vector<std::chrono::milliseconds> offsets{std::chrono::milliseconds(0)};
  for (const auto* other : LiveMembers(state, settings, now)) {
    offsets.push_back(other->clock_offset);
  }
  const auto middle =
      offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  return *middle;
}

std::vector<std::string> AddressesFor(const members& state,
                                      const options& settings,
                                      const self_entry& self,
                                      std::string_view data_centre,
                                      std::size_t max_addresses,
                                      mono_time now) {
  std::vector<std::string> near;
  std::vector<std::string> far;
  if (self.ready) {
    (self.data_centre == data_centre ? near : far)
        .push_back(self.caller_address);
  }
  for (const auto* other : internal::ListableMembers(state, settings, now)) {
    (other->last.data_centre() == data_centre ? near : far)
        .push_back(other->last.caller_address());
  }
  if (near.size() < 2) {
    near.insert(near.end(), far.begin(), far.end());
  }
  near.resize(std::min(near.size(), max_addresses));
  return near;
}

bool HasMajorityContact(const members& state,
                        const options& settings,
                        mono_time now) {
  std::size_t recent = 0;
  std::size_t live = 0;
  for (const auto& [name, found] : state.by_name) {
    if (found.last.leaving() ||
        now - found.last_seen_at > settings.majority_window) {
      continue;
    }
    ++recent;
    live += IsLive(state, found, settings, now) ? 1 : 0;
  }
  return live * 2 >= recent;
}

bool IsLeaseHeldElsewhere(const members& state,
                          const options& settings,
                          mono_time now) {
  const auto live = LiveMembers(state, settings, now);
  return std::any_of(live.begin(), live.end(), [](const auto* other) {
    return other->last.fencing() > 0;
  });
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
  const auto max_contenders =
      IsFullMesh(state, settings) ? live.size() : settings.billing_replicas;
  for (const auto* other : live) {
    const bool is_contender =
        other->last.ready() && out.size() < max_contenders;
    if (is_contender || other->last.fencing() > 0) {
      out.push_back(other);
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
  const auto ranked_before =
      std::count_if(live.begin(), live.end(), [&](const auto* other) {
        return other->last.ready() &&
               internal::ContenderRank(other->last, settings) < own;
      });
  return static_cast<std::size_t>(ranked_before);
}

}  // namespace mimosadeck::fleet
