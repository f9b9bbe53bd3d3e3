#include "mimosadeckd/edge/sync.h"

#include <algorithm>
#include <charconv>

#include "mimosadeckd/edge/evacuations.h"
#include "mimosadeckd/edge/peer_input.h"
#include "mimosadeckd/edge/store_feed.h"
#include "wire/digest.pb.h"

namespace mimosadeck::edge {
namespace internal {
namespace {

/** Timeout for connecting to another entry and for its response head. */
constexpr std::chrono::milliseconds kPeerHeadTimeout{500};
/** Timeout for the response body: an entry with a slow link may send a large
 * manifest to many others at once. */
constexpr std::chrono::milliseconds kPeerBodyTimeout{2000};
constexpr std::size_t kMaxResponseBytes = 16U << 20U;
constexpr std::string_view kSince = "?since=";

/** @brief Returns a place in the store's history for the log: the version, and
 * before it the era if the store states one. */
std::string Describe(registry::store_version at) {
  const auto era = registry::EraOf(at);
  const auto number = std::to_string(registry::NumberOf(at));
  return era == 0 ? number : std::to_string(era) + '/' + number;
}

void LogUpstream(std::string_view event, const registry::upstream& entry) {
  telemetry::Log(telemetry::level::info, event,
                 {{"upstream", entry.id},
                  {"service", entry.service},
                  {"address", entry.address},
                  {"state", entry.draining ? "draining" : "ready"},
                  {"started_at_ms", std::to_string(entry.started_at_ms)}});
}

/** @brief Logs the differences between two states of the registry. */
void LogDifference(
    const std::map<std::string, registry::registered, std::less<>>& before,
    const registry::upstream_set& after) {
  for (const auto& [id, upstream] : after.by_id) {
    const auto previous = before.find(id);
    if (previous == before.end() || previous->second.entry != upstream.entry) {
      LogUpstream("upstream_changed", *upstream.entry);
    }
  }
  for (const auto& [id, upstream] : before) {
    const auto found = after.by_id.find(id);
    if (found == after.by_id.end()) {
      telemetry::Log(telemetry::level::info, "upstream_gone",
                     {{"upstream", id}});
    } else if (found->second.drop_at && !upstream.drop_at) {
      telemetry::Log(telemetry::level::info, "upstream_lapsed",
                     {{"upstream", id}});
    }
  }
}

/** @brief Logs the changes that are ignored because their versions are not
 * above the applied one. */
void LogIgnoredChanges(const registry::upstream_set& state,
                       const std::vector<registry::change>& received) {
  registry::store_version newest{};
  std::size_t count = 0;
  for (const auto& each : received) {
    if (each.version <= state.version) {
      newest = std::max(newest, each.version);
      ++count;
    }
  }
  if (count > 0) {
    telemetry::Log(telemetry::level::info, "upstream_changes_ignored",
                   {{"version", Describe(newest)},
                    {"applied_version", Describe(state.version)},
                    {"count", std::to_string(count)}});
  }
}

void LogCopyFailed(std::string_view address,
                   std::string_view path,
                   std::string_view reason) {
  telemetry::Log(telemetry::level::warning, "copy_failed",
                 {{"address", address}, {"path", path}, {"reason", reason}});
}

asio::awaitable<std::optional<std::string>> Fetch(edge_state& state,
                                                  std::string address,
                                                  std::string path) {
  net::http_call call(state.upstream_connections, state.io.get_executor());
  net::http_request request;
  request.target = path;
  net::call_options options;
  options.server = options.address = address;
  options.connect_timeout = kPeerHeadTimeout;
  options.deadline = std::chrono::steady_clock::now() + kPeerHeadTimeout;
  const auto failed = co_await call.Send(std::move(request), options);
  if (failed) {
    LogCopyFailed(address, path, failed->message);
    co_return std::nullopt;
  }
  constexpr int kOk = 200;
  if (call.Status() != kOk) {
    LogCopyFailed(address, path, "status " + std::to_string(call.Status()));
    co_return std::nullopt;
  }
  call.SetDeadline(std::chrono::steady_clock::now() + kPeerBodyTimeout);
  auto body = co_await call.ReadBody(kMaxResponseBytes);
  if (const auto* broken = std::get_if<net::call_failure>(&body)) {
    LogCopyFailed(address, path, broken->message);
    co_return std::nullopt;
  }
  co_return std::get<std::string>(std::move(body));
}

/** @brief Returns whether the store has answered this entry or another one
 * without a break for a time up to now. */
bool HasStoreAnsweredFor(const edge_state& state,
                         std::chrono::milliseconds time) {
  return fleet::AnsweredFor(state.store_reads.upstreams) > time ||
         fleet::WasStoreReachableThroughout(state.members, state.fleet_options,
                                            time, SuspendAwareNow());
}

/** @brief Returns an entry that has a newer version than this one, or null. */
const fleet::member* FindNewer(const edge_state& state,
                               fleet::advertised_version version,
                               std::uint64_t own,
                               std::uint64_t failures) {
  auto self = SelfInfo(state);
  self.failures = failures;
  return fleet::FindNewer(state.members, state.fleet_options, self, version,
                          own, SuspendAwareNow());
}

std::string SinceTarget(std::string_view path, std::uint64_t version) {
  return std::string(path).append(kSince).append(std::to_string(version));
}

/** @brief Parses the version in a request target; 0 if there is none. */
std::uint64_t ParseSince(std::string_view target) {
  std::uint64_t since = 0;
  if (const auto found = target.find(kSince); found != std::string_view::npos) {
    const auto text = target.substr(found + kSince.size());
    std::from_chars(text.data(), text.data() + text.size(), since);
  }
  return since;
}

wire::upstream_entry Encode(const registry::copied& from) {
  wire::upstream_entry out;
  out.set_id(from.entry.id);
  out.set_service(from.entry.service);
  out.set_address(from.entry.address);
  out.set_data_centre(from.entry.data_centre);
  out.set_slots(from.entry.slots);
  out.set_draining(from.entry.draining);
  out.set_evictable(from.entry.evictable);
  out.set_started_at_ms(from.entry.started_at_ms);
  out.set_version(registry::ToInteger(from.version));
  if (from.entry.cold_for.count() > 0) {
    out.set_cold_ms(static_cast<std::uint32_t>(from.entry.cold_for.count()));
  }
  if (from.dropped_after) {
    out.set_dropped_after_ms(
        static_cast<std::uint32_t>(from.dropped_after->count()));
  }
  if (from.held_back_for) {
    out.set_held_back_ms(
        static_cast<std::uint32_t>(from.held_back_for->count()));
  }
  return out;
}

void AdoptRegistry(edge_state& state,
                   const std::string& text,
                   std::string_view origin) {
  wire::upstream_registry received;
  if (!received.ParseFromString(text)) {
    telemetry::Log(telemetry::level::warning, "registry_unreadable",
                   {{"origin", origin}});
    return;
  }
  MergeEvacuations(state, received.evacuations(), origin);
  auto update = DecodeRegistry(received, origin);
  const auto before = state.upstreams.by_id;
  const auto now = SuspendAwareNow();
  if (!registry::Adopt(state.upstreams, state.registry_options,
                       std::move(update), now)) {
    return;
  }
  LogDifference(before, state.upstreams);
  telemetry::Log(telemetry::level::info, "registry_adopted",
                 {{"origin", origin},
                  {"version", Describe(state.upstreams.version)},
                  {"count", std::to_string(state.upstreams.by_id.size())}});
  state.registry_synced_at = now;
  RefreshPools(state);
}

/** @brief Applies a manifest change. @return False if it is unreadable. */
bool ApplyManifestChange(edge_state& state,
                         const std::string& encoded,
                         std::string_view origin) {
  wire::manifest_change received;
  if (!received.ParseFromString(encoded)) {
    telemetry::Log(telemetry::level::warning, "manifest_unreadable",
                   {{"origin", origin}, {"reason", "not a manifest change"}});
    return false;
  }
  const auto text = revision::Apply(
      state.manifest_history, state.manifest_options,
      {received.since(), received.version(), received.content()});
  if (const auto* bad = std::get_if<error>(&text)) {
    telemetry::Log(telemetry::level::warning, "manifest_unreadable",
                   {{"origin", origin}, {"reason", bad->message}});
    return false;
  }
  AdoptManifest(state, std::get<std::string>(text), origin);
  return true;
}

/** @brief Copies a newer manifest from another entry. @return False if the call
 * failed or its response is unreadable. */
asio::awaitable<bool> CopyManifest(edge_state& state,
                                   const fleet::member& from) {
  const auto origin = from.last.name();
  auto address = from.last.control_address();
  auto path =
      SinceTarget(kManifestPath, state.table ? state.table->Version() : 0);
  const auto answer =
      co_await Fetch(state, std::move(address), std::move(path));
  if (!answer) {
    co_return false;
  }
  co_return ApplyManifestChange(state, *answer, origin);
}

/** @brief Copies a newer registry from another entry. @return False if the call
 * failed. */
asio::awaitable<bool> CopyRegistry(edge_state& state,
                                   const fleet::member& from) {
  const auto origin = from.last.name();
  auto address = from.last.control_address();
  auto path =
      SinceTarget(kUpstreamsPath, registry::ToInteger(state.upstreams.version));
  const auto text = co_await Fetch(state, std::move(address), std::move(path));
  if (text) {
    AdoptRegistry(state, *text, origin);
  }
  co_return text.has_value();
}

/** @brief Measures how long other entries have had a newer version. */
class lead_timer {
 public:
  /** @return True once other entries have been ahead for the given time. */
  bool HasLasted(bool is_ahead, std::chrono::milliseconds time) {
    const auto now = SuspendAwareNow();
    if (!is_ahead) {
      since_.reset();
      return false;
    }
    if (!since_) {
      since_ = now;
    }
    return now - *since_ >= time;
  }

 private:
  std::optional<mono_time> since_;
};

}  // namespace
}  // namespace internal

void AdoptManifest(edge_state& state,
                   const std::string& text,
                   std::string_view origin) {
  auto decoded = platform::DecodeManifest(text);
  if (const auto* bad = std::get_if<error>(&decoded)) {
    telemetry::Log(telemetry::level::error, "manifest_unreadable",
                   {{"origin", origin}, {"reason", bad->message}});
    return;
  }
  auto& manifest = std::get<routing::manifest>(decoded);
  if (state.table && manifest.version <= state.table->Version()) {
    return;
  }
  telemetry::Log(telemetry::level::info, "manifest_adopted",
                 {{"version", std::to_string(manifest.version)},
                  {"origin", origin},
                  {"routes", std::to_string(manifest.routes.size())}});
  revision::Add(state.manifest_history, state.manifest_options,
                manifest.version, text);
  state.table = std::make_shared<const routing::table>(std::move(manifest));
  RefreshPools(state);
}

asio::awaitable<void> FollowManifest(edge_state& state) {
  followed_feed store{fleet::store_feed::operator_rows, "store.manifest"};
  state.platform.ReadOperatorRowsAgain();
  while (!state.stopping) {
    if (!ShouldFollow(state, store)) {
      co_await Sleep(fleet::kVersionCheckInterval);
      continue;
    }
    auto step = co_await state.platform.NextOperatorUpdate(
        PaceOf(state, store).feed_wait);
    if (const auto* away = std::get_if<platform::store_failure>(&step)) {
      OnFailure(state, store, away->reason);
      co_await Sleep(StoreRetryDelay(state));
      continue;
    }
    const auto& update = std::get<platform::operator_update>(step);
    OnAnswer(state, store, update.read_up_to);
    ApplyEvacuations(state, update);
    if (update.manifest) {
      AdoptManifest(state, *update.manifest, "store");
    }
  }
}

asio::awaitable<void> FollowUpstreams(edge_state& state) {
  followed_feed store{fleet::store_feed::upstreams, "store.upstreams"};
  state.platform.ListUpstreamsAgain();
  while (!state.stopping) {
    if (!ShouldFollow(state, store)) {
      co_await Sleep(fleet::kVersionCheckInterval);
      continue;
    }
    auto step =
        co_await state.platform.NextUpstreams(PaceOf(state, store).feed_wait);
    if (const auto* away = std::get_if<platform::store_failure>(&step)) {
      OnFailure(state, store, away->reason);
      co_await Sleep(StoreRetryDelay(state));
      continue;
    }
    const auto now = SuspendAwareNow();
    auto* listing = std::get_if<platform::upstream_listing>(&step);
    auto* changed = std::get_if<platform::upstream_changes>(&step);
    const auto outage = OnAnswer(
        state, store, listing ? listing->read_up_to : changed->read_up_to);
    if (outage && !fleet::WasStoreReachableThroughout(
                      state.members, state.fleet_options, *outage, now)) {
      registry::OnStoreRecovered(state.upstreams, state.registry_options, now);
    }
    const auto before = state.upstreams.by_id;
    if (listing) {
      if (registry::EraOf(listing->version) >
          registry::EraOf(state.upstreams.version)) {
        telemetry::Log(
            telemetry::level::warning, "store_returned_from_copy",
            {{"version", internal::Describe(listing->version)},
             {"applied_version", internal::Describe(state.upstreams.version)}});
      }
      if (listing->version < state.upstreams.version) {
        telemetry::Log(
            telemetry::level::warning, "upstream_listing_ignored",
            {{"version", internal::Describe(listing->version)},
             {"applied_version", internal::Describe(state.upstreams.version)},
             {"count", std::to_string(listing->entries.size())}});
      }
      registry::OnListing(state.upstreams, state.registry_options,
                          std::move(listing->entries), listing->version, now);
      telemetry::Log(telemetry::level::info, "upstreams_listed",
                     {{"count", std::to_string(state.upstreams.by_id.size())},
                      {"version", internal::Describe(listing->version)}});
      if (!before.empty()) {
        internal::LogDifference(before, state.upstreams);
      }
    } else {
      auto& changes = changed->changes;
      internal::LogIgnoredChanges(state.upstreams, changes);
      registry::OnChanges(state.upstreams, state.registry_options,
                          std::move(changes), now);
      internal::LogDifference(before, state.upstreams);
    }
    state.registry_synced_at = now;
    RefreshPools(state);
    co_await PauseAfterAnswer(state, store);
  }
}

asio::awaitable<void> CatchUpOnManifest(edge_state& state) {
  internal::lead_timer timer;
  std::uint64_t failures = 0;
  while (!state.stopping) {
    co_await Sleep(fleet::kVersionCheckInterval);
    const auto* from =
        internal::FindNewer(state, &wire::digest::manifest_version,
                            state.table ? state.table->Version() : 0, failures);
    const bool follows_store =
        FollowsStore(state, fleet::store_feed::operator_rows);
    if (timer.HasLasted(from, fleet::CopyDelay(follows_store))) {
      const bool copied = co_await internal::CopyManifest(state, *from);
      failures += copied ? 0 : 1;
    }
  }
}

asio::awaitable<void> CatchUpOnUpstreams(edge_state& state) {
  internal::lead_timer timer;
  std::uint64_t failures = 0;
  while (!state.stopping) {
    co_await Sleep(fleet::kVersionCheckInterval);
    const auto before = state.upstreams.generation;
    if (internal::HasStoreAnsweredFor(
            state, state.registry_options.reregistration_grace)) {
      registry::EndGrace(state.upstreams, SuspendAwareNow());
    }
    registry::Tick(state.upstreams, state.registry_options, SuspendAwareNow());
    if (state.upstreams.generation != before) {
      RefreshPools(state);
    }
    const auto* from = internal::FindNewer(
        state, &wire::digest::registry_version,
        registry::ToInteger(state.upstreams.version), failures);
    const bool follows_store =
        FollowsStore(state, fleet::store_feed::upstreams);
    if (timer.HasLasted(from, fleet::CopyDelay(follows_store))) {
      const bool copied = co_await internal::CopyRegistry(state, *from);
      failures += copied ? 0 : 1;
    }
  }
}

result<std::string> EncodeManifest(edge_state& state, std::string_view target) {
  auto changes = revision::ChangeSince(state.manifest_history,
                                       internal::ParseSince(target));
  if (auto* failed = std::get_if<error>(&changes)) {
    return std::move(*failed);
  }
  auto& change = std::get<revision::change>(changes);
  wire::manifest_change out;
  out.set_since(change.since);
  out.set_version(change.version);
  out.set_content(std::move(change.content));
  return out.SerializeAsString();
}

std::string EncodeRegistry(const edge_state& state, std::string_view target) {
  const auto changes = registry::ChangesSince(
      state.upstreams, registry::store_version{internal::ParseSince(target)},
      SuspendAwareNow());
  wire::upstream_registry out;
  out.set_since(registry::ToInteger(changes.since));
  out.set_version(registry::ToInteger(changes.version));
  out.set_changed_version(registry::ToInteger(changes.changed_version));
  for (const auto& upstream : changes.updated) {
    *out.add_entries() = internal::Encode(upstream);
  }
  for (const auto& id : changes.gone) {
    out.add_gone(id);
  }
  AddEvacuations(state, *out.mutable_evacuations());
  return out.SerializeAsString();
}

}  // namespace mimosadeck::edge
