#define BOOST_TEST_MODULE leaving_upstream
#include <boost/test/included/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "availability/availability.h"
#include "fleet/fleet.h"
#include "registry/registry.h"

namespace {

using namespace std::chrono_literals;
using mimosadeck::mono_duration;
using mimosadeck::mono_time;
using mimosadeck::wall_time;
using std::chrono::milliseconds;
namespace availability = mimosadeck::availability;
namespace fleet = mimosadeck::fleet;
namespace registry = mimosadeck::registry;
namespace wire = mimosadeck::wire;

constexpr milliseconds kStep{10};
constexpr milliseconds kHeartbeat{1200};
/** Registrations that are not renewed for this long are removed. */
constexpr milliseconds kRegistrationLifetime = 3 * kHeartbeat;
/** Time from the call to the answer of the store or of another entry. */
constexpr milliseconds kRoundTrip{10};
constexpr milliseconds kCallTimeout{2000};
/** Added by the client to the time for which a call waits in the store. */
constexpr milliseconds kFeedTimeoutMargin{1000};
constexpr milliseconds kPeerTimeout{500};
constexpr milliseconds kConnectTimeout{500};
constexpr int kUpstreams = 12;

/** @brief How the store turns single entries away while it serves others. */
enum class store_refusal {
  none,
  /** Neither carries calls out nor responds. */
  silent,
  /** Responds with a refusal at once. */
  busy,
  /** Responses arrive after kResponseDelay. */
  delayed,
};

/** Longer than the bounds of every site. */
constexpr milliseconds kResponseDelay{5000};

/** @brief How the store fails. */
enum class store_fault { none, silent, busy, unheard, stale };

struct row {
  registry::upstream entry;
  std::uint64_t version{};
  bool removed{};
  mono_time written_at;
};

using rows = std::map<std::string, row>;

/** @brief The store's table of upstreams, in virtual time. */
struct store_model {
  rows current;
  std::uint64_t version{100};
  std::uint64_t era{1};
  std::uint64_t oldest{};
  store_fault fault{store_fault::none};
  mono_time fault_ends_at;
  /** What stale reads return. */
  std::deque<std::pair<mono_time, std::pair<rows, std::uint64_t>>> copies;

  void Write(const registry::upstream& entry, mono_time now) {
    current[entry.id] = {entry, ++version, false, now};
  }

  void Remove(const std::string& id) {
    current[id].removed = true;
    current[id].version = ++version;
  }

  void ReturnFromCopy(milliseconds age, mono_time now) {
    for (auto each = copies.rbegin(); each != copies.rend(); ++each) {
      if (now - each->first >= age) {
        current = each->second.first;
        version = each->second.second;
        break;
      }
    }
    for (auto& [id, found] : current) {
      found.written_at = now;
    }
    ++era;
    oldest = version;
    copies.clear();
  }
};

/** @brief An upstream process. */
struct upstream_model {
  registry::upstream entry;
  mono_time next_heartbeat_at;
  std::optional<mono_time> exits_at;
  /** It no longer renews its registration. */
  bool is_silent{};
};

/** @brief An upstream that left: no entry may use it after the deadline. */
struct departure {
  std::string id;
  std::string incarnation;
  /** Unset while the store has lost what it acknowledged, and no entry had
   * heard of it. */
  std::optional<mono_time> acked_at;
};

/** @brief A call to the store that is in progress. */
struct store_call {
  mono_time began_at;
  bool is_listing{};
  milliseconds wait{};
  /** The response is on its way. */
  std::optional<std::pair<rows, std::uint64_t>> response;
  mono_time arrives_at;
};

/** @brief An entry, which follows the store as the daemon does. */
struct entry_model {
  std::string name;
  std::string data_centre;
  std::string address;
  fleet::members members;
  registry::upstream_set upstreams;
  availability::record_table availability;
  bool is_registry_read{};
  fleet::feed_records reads;
  mono_time started_at;
  std::optional<mono_time> store_lost_at;
  std::optional<std::uint64_t> cursor;
  std::uint64_t cursor_era{};
  bool last_call_failed{};
  bool is_followed{};
  bool is_first_read{};
  std::optional<store_call> call;
  mono_time next_call_at;
  /** Begin of the pause between two calls. */
  std::optional<mono_time> answered_at;
  mono_time next_check_at;
  std::optional<mono_time> others_ahead_since;
  std::uint64_t copy_failures{};
  mono_time next_digest_at;
  mono_time next_record_at;
  std::uint64_t sequence{};
  std::uint64_t rounds{};
  std::map<std::string, wire::digest> forwarded;
  mono_time paused_until;
  mono_time cut_off_until;
  mono_time store_cut_until;
  store_refusal refusal{store_refusal::silent};
  mono_time last_fault_at;
};

/** @brief Bounds of a deployment, and its number of entries. */
struct site {
  std::size_t entries;
  milliseconds contact_time;
  milliseconds drain_time;
  /** Calls that the store accepts per second, for all entries together. */
  std::uint64_t reads_per_second{2000};
};

/**
 * @brief Entries, upstreams and the store in virtual time, with faults of all
 * of them, and the longest time for which an entry in contact kept using an
 * upstream that had left.
 */
struct followed_store {
  site settings;
  bool has_faults;
  std::mt19937_64 random;
  fleet::options fleet_options;
  registry::options registry_options;
  availability::options availability_options;
  store_model store;
  std::vector<upstream_model> upstreams;
  std::vector<entry_model> entries;
  std::vector<departure> departures;
  std::set<std::pair<std::string, std::string>> overdue;
  mono_time now{1h};
  mono_time store_disturbed_at{};
  int started{};
  milliseconds longest{};
  std::uint64_t store_calls{};
  std::uint64_t calls_in_second{};
  std::uint64_t most_calls_in_second{};

  followed_store(site settings, bool has_faults, std::uint64_t seed)
      : settings(settings),
        has_faults(has_faults),
        random(seed),
        entries(settings.entries) {
    fleet_options.apply_time = settings.drain_time;
    for (int i = 0; i < kUpstreams; ++i) {
      StartUpstream();
    }
    for (std::size_t i = 0; i < entries.size(); ++i) {
      entries[i].name = "entry-" + std::to_string(i);
      entries[i].data_centre = std::string(1, static_cast<char>('a' + i % 3));
      entries[i].address = "10.0.0.1:" + std::to_string(i + 1);
      Restart(entries[i]);
    }
  }

  bool Chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random) < probability;
  }

  milliseconds Between(milliseconds low, milliseconds high) {
    return milliseconds(std::uniform_int_distribution<std::int64_t>(
        low.count(), high.count())(random));
  }

  void StartUpstream() {
    upstream_model out;
    ++started;
    out.entry.id = "u" + std::to_string(started);
    out.entry.service = "pool";
    out.entry.address = "10.1.0.1:" + std::to_string(started);
    out.entry.slots = 4;
    out.entry.started_at_ms = static_cast<std::uint64_t>(started);
    out.next_heartbeat_at = now + Between(0ms, kHeartbeat);
    upstreams.push_back(out);
    store.Write(out.entry, now);
  }

  void Restart(entry_model& entry) {
    entry_model fresh;
    fresh.name = entry.name;
    fresh.data_centre = entry.data_centre;
    fresh.address = entry.address;
    fresh.started_at = fresh.last_fault_at = now;
    fresh.next_check_at = now + Between(0ms, 100ms);
    fresh.next_digest_at = now + Between(0ms, 150ms);
    fresh.next_record_at = now + Between(0ms, 750ms);
    entry = std::move(fresh);
  }

  // Upstreams and the store.

  bool StoreAccepts() const {
    return store.fault != store_fault::silent &&
           store.fault != store_fault::busy;
  }

  void RunUpstreams() {
    for (auto& each : upstreams) {
      const bool may_write = !each.is_silent && StoreAccepts();
      if (now >= each.next_heartbeat_at && may_write) {
        each.next_heartbeat_at = now + kHeartbeat;
        store.Write(each.entry, now);
      }
    }
    for (auto& [id, found] : store.current) {
      if (StoreAccepts() && !found.removed &&
          now - found.written_at > kRegistrationLifetime) {
        store.Remove(id);
      }
    }
    std::erase_if(upstreams, [this](const auto& each) {
      return each.exits_at && now >= *each.exits_at;
    });
    if (Chance(0.006) && StoreAccepts()) {
      BeginLeaving();
    }
    while (upstreams.size() < kUpstreams && StoreAccepts()) {
      StartUpstream();
    }
  }

  /** @brief Makes an upstream leave: with an announcement or by its removal. */
  void BeginLeaving() {
    auto& leaving = upstreams[random() % upstreams.size()];
    if (leaving.exits_at) {
      return;
    }
    leaving.exits_at = now + Between(2s, 12s);
    if (Chance(0.7)) {
      leaving.entry.draining = true;
      leaving.next_heartbeat_at = now + kHeartbeat;
      store.Write(leaving.entry, now);
    } else {
      leaving.is_silent = true;
      store.Remove(leaving.entry.id);
    }
    departures.push_back(
        {leaving.entry.id, registry::IncarnationOf(leaving.entry), now});
  }

  /** @brief Notes what the store lost with its return from a copy. */
  void LoseAcks() {
    for (auto& each : departures) {
      const bool is_heard =
          std::any_of(entries.begin(), entries.end(), [&](const auto& entry) {
            return entry.is_registry_read && !MayUse(entry, each.incarnation);
          });
      if (!is_heard && !HasLeft(each.id)) {
        each.acked_at.reset();
      }
    }
  }

  /** @brief Returns whether the store does not list an upstream as ready. */
  bool HasLeft(const std::string& id) const {
    const auto found = store.current.find(id);
    return found == store.current.end() || found->second.removed ||
           found->second.entry.draining;
  }

  void RunStore() {
    if (store.fault != store_fault::none) {
      store_disturbed_at = now;
      if (now >= store.fault_ends_at) {
        EndStoreFault();
      }
    } else if (has_faults && Chance(0.0012)) {
      BeginStoreFault();
    }
    if ((now - mono_time(1h)) % 500ms == 0ms) {
      store.copies.push_back({now, {store.current, store.version}});
      if (store.copies.size() > 20) {
        store.copies.pop_front();
      }
    }
  }

  void BeginStoreFault() {
    constexpr std::array kFaults{store_fault::silent, store_fault::busy,
                                 store_fault::unheard};
    store.fault = kFaults.at(random() % kFaults.size());
    store.fault_ends_at =
        now +
        (store.fault == store_fault::unheard ? 1000ms : Between(200ms, 5s));
  }

  void EndStoreFault() {
    if (store.fault == store_fault::unheard) {
      store.oldest = store.version;
      store.fault = Chance(0.5) ? store_fault::stale : store_fault::none;
      store.fault_ends_at = now + Between(500ms, 3s);
      return;
    }
    if (store.fault != store_fault::stale && Chance(0.5)) {
      store.ReturnFromCopy(Between(1s, 8s), now);
      LoseAcks();
      // Processes that still run write their registrations again.
      for (auto& each : upstreams) {
        each.next_heartbeat_at =
            std::min(each.next_heartbeat_at, now + Between(0ms, kHeartbeat));
      }
    }
    store.fault = store_fault::none;
  }

  // What an entry does.

  fleet::self_status Self(const entry_model& entry) const {
    return {entry.name,
            entry.data_centre,
            entry.copy_failures,
            100,
            std::chrono::duration_cast<milliseconds>(now - entry.started_at),
            entry.reads};
  }

  bool FollowsStore(const entry_model& entry) const {
    return fleet::FollowsStore(entry.members, fleet_options, Self(entry),
                               fleet::store_feed::upstreams, now);
  }

  fleet::following_pace PaceOf(const entry_model& entry) const {
    auto pace = fleet::PaceOf(
        fleet::WatchesStore(entry.members, fleet_options, Self(entry),
                            fleet::store_feed::upstreams, now),
        settings.contact_time,
        fleet::WatcherWait(entry.members, fleet_options));
    if (entry.is_first_read) {
      pace.feed_wait = 0ms;
    }
    return pace;
  }

  void Learn(entry_model& entry) {
    for (const auto& [id, upstream] : entry.upstreams.by_id) {
      if (upstream.entry->draining) {
        availability::OnSignal(entry.availability, availability_options,
                               registry::IncarnationOf(*upstream.entry),
                               availability::signal::registered, now);
      }
    }
    entry.is_registry_read = true;
  }

  void OnStoreFailure(entry_model& entry) {
    entry.call.reset();
    entry.last_call_failed = true;
    fleet::OnFeedLost(entry.reads.upstreams);
    if (!entry.store_lost_at) {
      entry.store_lost_at = now;
    }
    const auto longest_delay = settings.contact_time -
                               registry_options.reregistration_grace -
                               kConnectTimeout;
    entry.next_call_at =
        now + fleet::StoreRetryDelay(entry.members, fleet_options, Self(entry),
                                     longest_delay, now);
  }

  registry::store_version At(std::uint64_t number) const {
    return registry::MakeStoreVersion(store.era, number).value();
  }

  /** @brief Applies the store's answer to the call in progress. */
  void OnStoreAnswer(entry_model& entry) {
    const auto call = *std::exchange(entry.call, std::nullopt);
    const bool was_listing = call.is_listing;
    if (!was_listing &&
        (entry.cursor_era != store.era || *entry.cursor < store.oldest)) {
      entry.cursor.reset();
      BeginCall(entry);
      return;
    }
    if (entry.store_lost_at) {
      const auto away =
          std::chrono::duration_cast<milliseconds>(now - *entry.store_lost_at);
      if (!fleet::WasStoreReachableThroughout(entry.members, fleet_options,
                                              away, now)) {
        registry::OnStoreRecovered(entry.upstreams, registry_options, now);
      }
      entry.store_lost_at.reset();
    }
    const bool is_stale =
        store.fault == store_fault::stale && !store.copies.empty();
    const auto& table = call.response ? call.response->first
                        : is_stale    ? store.copies.front().second.first
                                      : store.current;
    const auto version = call.response ? call.response->second
                         : is_stale    ? store.copies.front().second.second
                                       : store.version;
    std::vector<registry::change> changes;
    for (const auto& [id, found] : table) {
      if (was_listing && !found.removed) {
        changes.push_back({id, At(found.version), found.entry});
      } else if (!was_listing && found.version > *entry.cursor) {
        changes.push_back(
            {id, At(found.version),
             found.removed ? std::nullopt : std::optional(found.entry)});
      }
    }
    if (was_listing) {
      registry::OnListing(entry.upstreams, registry_options, std::move(changes),
                          At(version), now);
    } else {
      registry::OnChanges(entry.upstreams, registry_options, std::move(changes),
                          now);
    }
    entry.cursor = version;
    entry.cursor_era = store.era;
    entry.last_call_failed = entry.is_first_read = false;
    fleet::OnAnswer(entry.reads.upstreams,
                    call.response ? call.arrives_at - kResponseDelay
                    : was_listing ? call.began_at
                                  : now);
    Learn(entry);
    entry.answered_at = now;
  }

  void BeginCall(entry_model& entry) {
    ++store_calls;
    ++calls_in_second;
    const bool is_listing = !entry.cursor;
    const auto wait =
        is_listing || entry.last_call_failed ? 0ms : PaceOf(entry).feed_wait;
    entry.call = store_call{now, is_listing, wait, std::nullopt, {}};
  }

  void ContinueCall(entry_model& entry) {
    const auto elapsed = now - entry.call->began_at;
    if (elapsed < kRoundTrip) {
      return;
    }
    const auto refusal =
        now < entry.store_cut_until ? entry.refusal : store_refusal::none;
    const bool is_reachable = now >= entry.cut_off_until &&
                              refusal != store_refusal::silent &&
                              store.fault != store_fault::silent;
    const auto timeout = entry.call->wait > 0ms
                             ? entry.call->wait + kFeedTimeoutMargin
                             : kCallTimeout;
    if (!is_reachable) {
      if (elapsed >= timeout) {
        OnStoreFailure(entry);
      }
      return;
    }
    if (store.fault == store_fault::busy || refusal == store_refusal::busy ||
        (entry.call->response && elapsed >= timeout)) {
      OnStoreFailure(entry);
      return;
    }
    if (entry.call->response) {
      if (now >= entry.call->arrives_at) {
        OnStoreAnswer(entry);
      }
      return;
    }
    const bool is_held =
        !entry.call->is_listing && elapsed < entry.call->wait &&
        entry.cursor_era == store.era && *entry.cursor >= store.oldest &&
        (store.fault == store_fault::unheard || *entry.cursor >= store.version);
    if (!is_held && refusal == store_refusal::delayed) {
      entry.call->response = std::pair(store.current, store.version);
      entry.call->arrives_at = now + kResponseDelay;
    } else if (!is_held) {
      OnStoreAnswer(entry);
    }
  }

  void FollowStore(entry_model& entry) {
    if (entry.call) {
      ContinueCall(entry);
      return;
    }
    if (now < entry.next_call_at) {
      return;
    }
    if (entry.answered_at) {
      const auto left = *entry.answered_at + PaceOf(entry).poll_interval - now;
      if (left > 0ms) {
        entry.next_call_at =
            now + std::min<mono_duration>(left, fleet::kVersionCheckInterval);
        return;
      }
      entry.answered_at.reset();
    }
    if (!FollowsStore(entry)) {
      entry.is_followed = false;
      fleet::OnFeedLost(entry.reads.upstreams);
      EndOutageByOthers(entry);
      entry.next_call_at = now + fleet::kVersionCheckInterval;
      return;
    }
    if (!std::exchange(entry.is_followed, true)) {
      entry.is_first_read = true;
    }
    BeginCall(entry);
  }

  /** @brief Ends an outage if another entry has read the store since. */
  void EndOutageByOthers(entry_model& entry) const {
    const auto newest =
        fleet::NewestRead(entry.members, fleet_options, Self(entry),
                          fleet::store_feed::upstreams, now);
    if (newest > entry.store_lost_at) {
      entry.store_lost_at.reset();
    }
  }

  entry_model* Find(const std::string& name) {
    const auto found =
        std::find_if(entries.begin(), entries.end(),
                     [&name](const auto& each) { return each.name == name; });
    return found == entries.end() ? nullptr : &*found;
  }

  bool IsConnected(const entry_model& entry) const {
    return now >= entry.cut_off_until && now >= entry.paused_until;
  }

  bool HasStoreAnsweredFor(const entry_model& entry, milliseconds time) const {
    return fleet::AnsweredFor(entry.reads.upstreams) > time ||
           fleet::WasStoreReachableThroughout(entry.members, fleet_options,
                                              time, now);
  }

  void CopyFromOthers(entry_model& entry) {
    if (now < entry.next_check_at) {
      return;
    }
    entry.next_check_at = now + fleet::kVersionCheckInterval;
    if (HasStoreAnsweredFor(entry, registry_options.reregistration_grace)) {
      registry::EndGrace(entry.upstreams, now);
    }
    registry::Tick(entry.upstreams, registry_options, now);
    const auto* from =
        fleet::FindNewer(entry.members, fleet_options, Self(entry),
                         &wire::digest::registry_version,
                         registry::ToInteger(entry.upstreams.version), now);
    if (!from) {
      entry.others_ahead_since.reset();
      return;
    }
    if (!entry.others_ahead_since) {
      entry.others_ahead_since = now;
    }
    if (now - *entry.others_ahead_since <
        fleet::CopyDelay(FollowsStore(entry))) {
      return;
    }
    auto* other = Find(from->last.name());
    if (!other || !IsConnected(*other) || !IsConnected(entry) ||
        !other->is_registry_read) {
      ++entry.copy_failures;
      entry.next_check_at = now + kPeerTimeout;
      return;
    }
    auto update =
        registry::ChangesSince(other->upstreams, entry.upstreams.version, now);
    if (registry::Adopt(entry.upstreams, registry_options, std::move(update),
                        now)) {
      Learn(entry);
    }
    entry.next_check_at = now + fleet::kVersionCheckInterval + kRoundTrip;
  }

  // Gossip.

  wire::digest DigestOf(entry_model& entry) {
    wire::digest out;
    out.set_name(entry.name);
    out.set_incarnation(static_cast<std::uint64_t>(
        entry.started_at.time_since_epoch().count()));
    out.set_sequence(++entry.sequence);
    out.set_data_centre(entry.data_centre);
    out.set_control_address(entry.address);
    out.set_ready(true);
    out.set_link_mbps(100);
    out.set_wants_summary(!fleet::IsFullMesh(entry.members, fleet_options));
    out.set_members_known(
        static_cast<std::uint32_t>(entry.members.by_name.size()));
    fleet::EncodeReads(entry.reads, fleet_options, now, out);
    out.set_registry_version(
        registry::ToInteger(entry.upstreams.changed_version));
    for (const auto& incarnation : availability::Leaving(entry.availability)) {
      if (IsListedAsReady(entry, incarnation)) {
        out.add_leaving_upstreams(incarnation);
      }
    }
    for (auto& incarnation : registry::HeldBack(entry.upstreams)) {
      out.add_held_back_upstreams(std::move(incarnation));
    }
    return out;
  }

  static bool IsHeldBack(const entry_model& entry,
                         const std::string& incarnation) {
    const auto& all = entry.upstreams.by_id;
    return std::any_of(all.begin(), all.end(), [&](const auto& item) {
      return item.second.held_back_until.has_value() &&
             registry::IncarnationOf(*item.second.entry) == incarnation;
    });
  }

  static bool IsListedAsReady(const entry_model& entry,
                              const std::string& incarnation) {
    const auto& all = entry.upstreams.by_id;
    return std::any_of(all.begin(), all.end(), [&](const auto& item) {
      return !item.second.entry->draining &&
             registry::IncarnationOf(*item.second.entry) == incarnation;
    });
  }

  void OnReports(entry_model& to, const auto& message) {
    for (const auto& incarnation : message.held_back_upstreams()) {
      registry::HoldBack(to.upstreams, registry_options, incarnation, now);
    }
    for (const auto& incarnation : message.leaving_upstreams()) {
      availability::OnSignal(to.availability, availability_options, incarnation,
                             availability::signal::reported, now);
    }
  }

  void Receive(entry_model& to,
               const entry_model& from,
               const wire::digest& digest) {
    if (!IsConnected(to)) {
      return;
    }
    OnReports(to, digest);
    const bool needs_summary =
        fleet::SendsSummary(to.members, fleet_options, Self(to), digest, now);
    if (fleet::OnDigest(to.members, digest, from.address, Wall(), now) &&
        needs_summary) {
      fleet::AddFollower(to.members, from.name, now);
    }
  }

  wall_time Wall() const {
    return wall_time(std::chrono::duration_cast<wall_time::duration>(
        now.time_since_epoch()));
  }

  void SendDigests(entry_model& from) {
    if (now < from.next_digest_at || !IsConnected(from)) {
      return;
    }
    from.next_digest_at =
        now + fleet::DigestInterval(from.members, fleet_options);
    fleet::Tick(from.members, fleet_options, now);
    const auto digest = DigestOf(from);
    std::set<std::string> relays;
    for (const auto* each : fleet::Relays(from.members, fleet_options, now)) {
      relays.insert(each->last.name());
    }
    SendWork(from, digest);
    const bool is_probe_round = digest.sequence() % 7 == 0;
    for (auto& to : entries) {
      if (&to == &from) {
        continue;
      }
      const auto known = from.members.by_name.find(to.name);
      const bool is_live =
          known != from.members.by_name.end() &&
          fleet::IsLive(from.members, known->second, fleet_options, now);
      if (relays.contains(to.name) || (is_probe_round && !is_live)) {
        Receive(to, from, digest);
      }
    }
  }

  /** @brief Sends the summary of work, with the newest reads of the store. */
  void SendWork(entry_model& from, const wire::digest& own) {
    const auto followers =
        fleet::Followers(from.members, fleet_options, from.data_centre, now);
    if (followers.empty()) {
      return;
    }
    const auto sum =
        fleet::AggregateWork(from.members, fleet_options, own, now);
    for (const auto* each : followers) {
      auto* to = Find(each->last.name());
      if (to && IsConnected(*to)) {
        fleet::OnSummary(to->members, sum, to->name, Wall(), now);
      }
    }
  }

  void SendRecords(entry_model& from) {
    if (now < from.next_record_at || !IsConnected(from)) {
      return;
    }
    from.next_record_at = now + fleet_options.record_interval;
    const auto followers =
        fleet::Followers(from.members, fleet_options, from.data_centre, now);
    if (followers.empty()) {
      return;
    }
    wire::summary records;
    records.set_relay(from.name);
    ++from.rounds;
    const auto own = DigestOf(from);
    records.set_registry_version(own.registry_version());
    *records.mutable_leaving_upstreams() = own.leaving_upstreams();
    *records.mutable_held_back_upstreams() = own.held_back_upstreams();
    AddRecord(from, records, own, from.address, 0ms);
    for (const auto& [name, found] : from.members.by_name) {
      if (fleet::IsLive(from.members, found, fleet_options, now)) {
        AddRecord(
            from, records, found.last, found.peer_address,
            std::chrono::duration_cast<milliseconds>(now - found.last_seen_at));
      }
    }
    for (const auto* each : followers) {
      auto* to = Find(each->last.name());
      if (to && IsConnected(*to)) {
        OnReports(*to, records);
        fleet::OnSummary(to->members, records, to->name, Wall(), now);
      }
    }
  }

  static void AddRecord(entry_model& from,
                        wire::summary& records,
                        const wire::digest& record,
                        const std::string& address,
                        milliseconds age) {
    const auto age_ms = static_cast<std::uint32_t>(age.count());
    auto& before = from.forwarded[record.name()];
    if (!fleet::IsRecordDue(before.name().empty() ? nullptr : &before, record,
                            from.rounds)) {
      auto& heard = *records.add_heard();
      heard.set_identity(fleet::IdentityOf(record));
      heard.set_age_ms(age_ms);
      return;
    }
    before = record;
    auto& relayed = *records.add_members();
    *relayed.mutable_record() = record;
    relayed.mutable_record()->clear_leaving_upstreams();
    relayed.mutable_record()->clear_held_back_upstreams();
    relayed.set_peer_address(address);
    relayed.set_age_ms(age_ms);
  }

  // Faults of entries, and the judgement.

  void DisturbEntry(entry_model& entry) {
    if (now < entry.paused_until || now < entry.cut_off_until) {
      entry.last_fault_at = now;
    }
    if (!has_faults || !Chance(0.0004)) {
      return;
    }
    switch (random() % 4) {
      case 0:
        entry.paused_until = now + Between(200ms, 5s);
        break;
      case 1:
        entry.cut_off_until = now + Between(200ms, 6s);
        break;
      case 2:
        // The store turns this entry away, which does not excuse it: it is in
        // contact with the others.
        entry.store_cut_until = now + Between(1s, 9s);
        return;
      default:
        Restart(entry);
        break;
    }
    entry.last_fault_at = now;
  }

  bool MayUse(const entry_model& entry, const std::string& incarnation) const {
    return IsListedAsReady(entry, incarnation) &&
           !IsHeldBack(entry, incarnation) &&
           !availability::IsLeaving(entry.availability, incarnation);
  }

  /** @brief Notes the entries in contact that may send to an upstream later
   * than the bound after it left. */
  void Judge() {
    for (auto& each : departures) {
      if (!each.acked_at && HasLeft(each.id)) {
        each.acked_at = now;
      }
    }
    std::erase_if(departures, [this](const auto& each) {
      return each.acked_at && now - *each.acked_at > 30s;
    });
    for (const auto& departed : departures) {
      for (const auto& entry : entries) {
        const auto disturbed_at =
            std::max(entry.last_fault_at, store_disturbed_at);
        const bool is_in_contact = now - disturbed_at > settings.contact_time;
        if (!departed.acked_at || !is_in_contact ||
            !MayUse(entry, departed.incarnation)) {
          continue;
        }
        const auto after =
            std::chrono::duration_cast<milliseconds>(now - *departed.acked_at);
        if (*departed.acked_at > disturbed_at) {
          longest = std::max(longest, after);
        }
        if (after > settings.drain_time) {
          overdue.insert({entry.name, departed.incarnation});
        }
      }
    }
  }

  void Run(milliseconds time) {
    for (const auto end = now + time; now < end; now += kStep) {
      RunStore();
      RunUpstreams();
      for (auto& entry : entries) {
        DisturbEntry(entry);
        if (now < entry.paused_until) {
          continue;
        }
        FollowStore(entry);
        CopyFromOthers(entry);
        SendDigests(entry);
        SendRecords(entry);
      }
      Judge();
      if ((now - mono_time(1h)) % 1s == 0ms) {
        most_calls_in_second =
            std::max(most_calls_in_second, std::exchange(calls_in_second, 0));
      }
    }
  }

  /** @brief Makes the store turn all relays away, and other entries with a
   * probability, for a time. */
  void TurnRelaysAway(store_refusal how, double others, milliseconds time) {
    auto& viewer = entries.front();
    std::set<std::string> relays;
    for (const auto* each : fleet::Relays(viewer.members, fleet_options, now)) {
      relays.insert(each->last.name());
    }
    for (auto& each : entries) {
      if (relays.contains(each.name) || Chance(others)) {
        each.refusal = how;
        each.store_cut_until = now + time;
      }
    }
    // No entry has itself among its members, so the viewer may be a relay.
    viewer.refusal = how;
    viewer.store_cut_until = now + time;
  }
};

constexpr site kSmallSite{8, 3000ms, 2000ms};
constexpr site kGrownSite{78, 4000ms, 3000ms, 6000};

/** @brief Turns relays away twice in a row, begun at a random time, while
 * upstreams leave. */
void CheckRefusedRelays(const site& settings,
                        store_refusal how,
                        double others,
                        std::uint64_t seeds) {
  milliseconds longest{};
  std::uint64_t most_calls = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    followed_store model(settings, false, seed);
    model.Run(12s + model.Between(0ms, 4s) / kStep * kStep);
    model.most_calls_in_second = 0;
    for (int i = 0; i < 2; ++i) {
      model.TurnRelaysAway(how, others, 9s);
      model.Run(9s + model.Between(0ms, 3s) / kStep * kStep);
    }
    model.Run(4s);
    longest = std::max(longest, model.longest);
    most_calls = std::max(most_calls, model.most_calls_in_second);
    BOOST_TEST_CONTEXT("seed " << seed) {
      BOOST_TEST(model.overdue.size() == 0U);
    }
  }
  // The manifest's feed needs as many calls as that of the upstreams.
  BOOST_TEST(2 * most_calls <= settings.reads_per_second);
  BOOST_TEST_MESSAGE(settings.entries << " entries: longest " << longest.count()
                                      << " ms, " << most_calls
                                      << " calls a second at most");
}

void CheckSite(const site& settings,
               bool has_faults,
               std::uint64_t seeds,
               milliseconds time) {
  milliseconds longest{};
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    followed_store model(settings, has_faults, seed);
    model.Run(time);
    longest = std::max(longest, model.longest);
    BOOST_TEST_CONTEXT("seed " << seed) {
      BOOST_TEST(model.overdue.size() == 0U);
    }
  }
  BOOST_TEST_MESSAGE(settings.entries << " entries: longest " << longest.count()
                                      << " ms");
}

BOOST_AUTO_TEST_SUITE(entries_following_the_store)

// Guards against requests to an upstream later than the bound after the store
// has acknowledged that it leaves.
BOOST_AUTO_TEST_CASE(leaving_upstream_is_unused_in_time_in_calm) {
  CheckSite(kSmallSite, false, 5, 60s);
  CheckSite(kGrownSite, false, 1, 30s);
}

// The same while the store is silent or busy, discards its history, answers
// with stale rows and returns from older copies, and while entries are paused,
// cut off, turned away and restarted.
BOOST_AUTO_TEST_CASE(leaving_upstream_is_unused_in_time_among_faults) {
  CheckSite(kSmallSite, true, 50, 60s);
  CheckSite(kGrownSite, true, 2, 30s);
}

// Guards against fleets in which only the relays read the store and the others
// trust them while the store answers none of them.
BOOST_AUTO_TEST_CASE(store_silent_to_all_relays_is_read_by_others_in_time) {
  CheckRefusedRelays({18, 4000ms, 3000ms, 6000}, store_refusal::silent, 0, 6);
  CheckRefusedRelays({24, 3000ms, 2000ms}, store_refusal::silent, 0.2, 4);
  CheckRefusedRelays(kGrownSite, store_refusal::silent, 0.3, 1);
}

// The same for relays whose calls are refused, or answered too late to be of
// use.
BOOST_AUTO_TEST_CASE(store_of_no_use_to_relays_is_read_by_others_in_time) {
  for (const auto how : {store_refusal::busy, store_refusal::delayed}) {
    CheckRefusedRelays({18, 4000ms, 3000ms, 6000}, how, 0, 4);
    CheckRefusedRelays({40, 4000ms, 3000ms, 6000}, how, 0.3, 1);
  }
}

// The same in a fleet so large that its digests are rarer.
BOOST_AUTO_TEST_CASE(store_silent_to_relays_of_many_is_read_in_time) {
  CheckRefusedRelays({150, 5000ms, 4000ms, 16000}, store_refusal::silent, 0.3,
                     1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
