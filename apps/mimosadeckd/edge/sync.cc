#include "mimosadeckd/edge/sync.h"

#include <charconv>

#include "wire/digest.pb.h"

namespace mimosadeck::edge {
namespace internal {
namespace {

/** A lost answer of the store is missed within the time after which the agreed
 * bounds hold again. */
constexpr int kWaitsInContact = 2;
/** Wait of entries that do not watch the store: they learn from those that do
 * what they miss. */
constexpr std::chrono::milliseconds kLongWait{8000};
/** Entries change in bursts: one call then brings them together. */
constexpr std::chrono::milliseconds kGatherTime{250};
/** Pause between two calls of an entry that does not watch the store, as a part
 * of the time after which the agreed bounds hold again: it sees what leaves in
 * time even if all watchers are lost. */
constexpr double kBackupGatherPart = 0.4;
/** Interval at which entries are compared. */
constexpr std::chrono::milliseconds kCompareInterval{100};
/** The store usually brings a new manifest within this time. */
constexpr std::chrono::milliseconds kStoreLead{150};
/** Time for connecting to another entry and for the head of its answer. */
constexpr std::chrono::milliseconds kEntryCallTimeout{500};
/** Time for the rest of an answer: an entry with a slow link may hand a large
 * manifest to many others at once. */
constexpr std::chrono::milliseconds kEntryBodyTimeout{2000};
constexpr std::size_t kMostAnswerBytes = 16U << 20U;
constexpr std::string_view kSince = "?since=";

/** @brief Logs a dependency that was lost or regained, once each time. */
class dependency_log {
 public:
  explicit dependency_log(std::string_view name) : name_(name) {}

  /** @return How long the dependency was lost, if it was. */
  std::optional<std::chrono::milliseconds> OnAnswer(mono_time now) {
    if (!lost_at_) {
      return std::nullopt;
    }
    const auto away =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - *lost_at_);
    telemetry::Log(
        telemetry::level::info, "dependency_regained",
        {{"dependency", name_}, {"away_ms", std::to_string(away.count())}});
    lost_at_.reset();
    return away;
  }

  void OnFailure(std::string_view reason, mono_time now) {
    if (lost_at_) {
      return;
    }
    lost_at_ = now;
    telemetry::Log(telemetry::level::warning, "dependency_lost",
                   {{"dependency", name_}, {"reason", reason}});
  }

 private:
  std::string name_;
  std::optional<mono_time> lost_at_;
};

void LogUpstream(std::string_view event, const registry::upstream& entry) {
  telemetry::Log(telemetry::level::info, event,
                 {{"upstream", entry.id},
                  {"service", entry.service},
                  {"address", entry.address},
                  {"state", entry.draining ? "draining" : "ready"},
                  {"started_at_ms", std::to_string(entry.started_at_ms)}});
}

/** @brief Logs how the upstreams differ from a former state. */
void LogDifference(
    const std::map<std::string, registry::registered, std::less<>>& before,
    const registry::upstream_set& after) {
  for (const auto& [id, held] : after.by_id) {
    const auto known = before.find(id);
    if (known == before.end() || known->second.entry != held.entry) {
      LogUpstream("upstream_changed", *held.entry);
    }
  }
  for (const auto& [id, held] : before) {
    const auto found = after.by_id.find(id);
    if (found == after.by_id.end()) {
      telemetry::Log(telemetry::level::info, "upstream_gone",
                     {{"upstream", id}});
    } else if (found->second.drop_at && !held.drop_at) {
      telemetry::Log(telemetry::level::info, "upstream_lapsed",
                     {{"upstream", id}});
    }
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
  options.connect_timeout = kEntryCallTimeout;
  options.deadline = std::chrono::steady_clock::now() + kEntryCallTimeout;
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
  call.SetDeadline(std::chrono::steady_clock::now() + kEntryBodyTimeout);
  auto body = co_await call.ReadBody(kMostAnswerBytes);
  if (const auto* broken = std::get_if<net::call_failure>(&body)) {
    LogCopyFailed(address, path, broken->message);
    co_return std::nullopt;
  }
  co_return std::get<std::string>(std::move(body));
}

bool WatchesStore(const edge_state& state) {
  return fleet::WatchesStore(state.members, state.fleet_options, PlaceOf(state),
                             SuspendAwareNow());
}

/**
 * @brief Returns the pause before a store that did not answer is tried again.
 *
 * An entry that was cut off takes its return for the end of an outage and keeps
 * missing upstreams for the grace; pause, connecting and grace must end within
 * the time after which the agreed bounds hold again.
 */
std::chrono::milliseconds StoreRetryDelay(const edge_state& state) {
  const auto most = state.machine.bounds.contact -
                    state.registry_options.return_grace -
                    platform::kConnectTimeout;
  return fleet::StoreRetryDelay(state.members, state.fleet_options,
                                PlaceOf(state), most, SuspendAwareNow());
}

/** @brief Returns how long the store may hold back an answer. */
std::chrono::milliseconds FeedWait(const edge_state& state) {
  return WatchesStore(state) ? state.machine.bounds.contact / kWaitsInContact
                             : kLongWait;
}

/** @brief Returns the pause between two calls for changed upstreams. */
std::chrono::milliseconds GatherTime(const edge_state& state) {
  if (WatchesStore(state)) {
    return kGatherTime;
  }
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      state.machine.bounds.contact * kBackupGatherPart);
}

/** @brief Finds an entry that knows a newer version than this one. */
const fleet::member* FindNewer(const edge_state& state,
                               fleet::advertised_version version,
                               std::uint64_t own,
                               std::uint64_t failures) {
  auto self = PlaceOf(state);
  self.failures = failures;
  return fleet::FindNewer(state.members, state.fleet_options, self, version,
                          own, SuspendAwareNow());
}

std::string SinceTarget(std::string_view path, std::uint64_t version) {
  return std::string(path).append(kSince).append(std::to_string(version));
}

/** @brief Returns the version that a target asks from; 0 if it names none. */
std::uint64_t SinceOf(std::string_view target) {
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
  out.set_version(from.version);
  if (from.dropped_after) {
    out.set_dropped_after_ms(
        static_cast<std::uint32_t>(from.dropped_after->count()));
  }
  return out;
}

registry::copied Decode(const wire::upstream_entry& from) {
  registry::copied out;
  out.entry.id = from.id();
  out.entry.service = from.service();
  out.entry.address = from.address();
  out.entry.data_centre = from.data_centre();
  out.entry.slots = from.slots();
  out.entry.draining = from.draining();
  out.entry.evictable = from.evictable();
  out.entry.started_at_ms = from.started_at_ms();
  out.version = from.version();
  if (from.has_dropped_after_ms()) {
    out.dropped_after = std::chrono::milliseconds(from.dropped_after_ms());
  }
  return out;
}

void AdoptRegistry(edge_state& state,
                   const std::string& text,
                   std::string_view origin) {
  wire::upstream_registry told;
  if (!told.ParseFromString(text)) {
    telemetry::Log(telemetry::level::warning, "registry_unreadable",
                   {{"origin", origin}});
    return;
  }
  registry::update update;
  update.since = told.since();
  update.version = told.version();
  update.changed_version = told.changed_version();
  for (const auto& each : told.entries()) {
    update.written.push_back(Decode(each));
  }
  update.gone.assign(told.gone().begin(), told.gone().end());
  const auto before = state.upstreams.by_id;
  const auto now = SuspendAwareNow();
  if (!registry::Adopt(state.upstreams, std::move(update), now)) {
    return;
  }
  LogDifference(before, state.upstreams);
  telemetry::Log(telemetry::level::info, "registry_adopted",
                 {{"origin", origin},
                  {"version", std::to_string(state.upstreams.version)},
                  {"count", std::to_string(state.upstreams.by_id.size())}});
  state.registry_fresh_at = now;
  RefreshPools(state);
}

/** @brief Takes a change of the manifest. @return False if it cannot be read.
 */
bool ApplyManifestChange(edge_state& state,
                         const std::string& received,
                         std::string_view origin) {
  wire::manifest_change told;
  if (!told.ParseFromString(received)) {
    telemetry::Log(telemetry::level::warning, "manifest_unreadable",
                   {{"origin", origin}, {"reason", "not a change"}});
    return false;
  }
  const auto text =
      revision::Apply(state.manifests, state.manifest_options,
                      {told.since(), told.version(), told.content()});
  if (const auto* bad = std::get_if<error>(&text)) {
    telemetry::Log(telemetry::level::warning, "manifest_unreadable",
                   {{"origin", origin}, {"reason", bad->message}});
    return false;
  }
  AdoptManifest(state, std::get<std::string>(text), origin);
  return true;
}

/** @brief Copies a newer manifest from another entry. @return False if it did
 * not answer or its answer cannot be read. */
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

/** @brief Copies newer upstreams from another entry. @return False if it did
 * not answer. */
asio::awaitable<bool> CopyRegistry(edge_state& state,
                                   const fleet::member& from) {
  const auto origin = from.last.name();
  auto address = from.last.control_address();
  auto path = SinceTarget(kUpstreamsPath, state.upstreams.version);
  const auto text = co_await Fetch(state, std::move(address), std::move(path));
  if (text) {
    AdoptRegistry(state, *text, origin);
  }
  co_return text.has_value();
}

/** @brief Returns how long another entry must be ahead before it is copied. */
std::chrono::milliseconds LeadToCopy(const edge_state& state) {
  return FollowsStore(state) ? kStoreLead : std::chrono::milliseconds(0);
}

/** @brief Tells for how long another entry has been ahead. */
class lead_timer {
 public:
  /** @return True once the lead has lasted so long. */
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
  revision::Add(state.manifests, state.manifest_options, manifest.version,
                text);
  state.table = std::make_shared<const routing::table>(std::move(manifest));
  RefreshPools(state);
}

asio::awaitable<void> FollowManifest(edge_state& state) {
  internal::dependency_log store("store.manifest");
  while (!state.stopping) {
    if (!FollowsStore(state)) {
      co_await Sleep(internal::kCompareInterval);
      continue;
    }
    auto step = co_await state.platform.NextManifest(internal::FeedWait(state));
    const auto now = SuspendAwareNow();
    if (const auto* away = std::get_if<platform::store_away>(&step)) {
      store.OnFailure(away->reason, now);
      co_await Sleep(internal::StoreRetryDelay(state));
      continue;
    }
    store.OnAnswer(now);
    if (const auto* written = std::get_if<platform::manifest_written>(&step)) {
      AdoptManifest(state, written->text, "store");
    }
  }
}

asio::awaitable<void> FollowUpstreams(edge_state& state) {
  internal::dependency_log store("store.upstreams");
  while (!state.stopping) {
    if (!FollowsStore(state)) {
      state.store_followed = false;
      co_await Sleep(internal::kCompareInterval);
      continue;
    }
    auto step =
        co_await state.platform.NextUpstreams(internal::FeedWait(state));
    const auto now = SuspendAwareNow();
    if (const auto* away = std::get_if<platform::store_away>(&step)) {
      store.OnFailure(away->reason, now);
      state.store_followed = false;
      co_await Sleep(internal::StoreRetryDelay(state));
      continue;
    }
    const auto away_for = store.OnAnswer(now);
    if (away_for && !fleet::WasStoreReachableThroughout(
                        state.members, state.fleet_options, *away_for, now)) {
      registry::OnStoreBack(state.upstreams, now);
    }
    const auto before = state.upstreams.by_id;
    if (auto* listing = std::get_if<platform::upstream_listing>(&step)) {
      registry::OnListing(state.upstreams, state.registry_options,
                          std::move(listing->entries), listing->version, now);
      telemetry::Log(telemetry::level::info, "upstreams_listed",
                     {{"count", std::to_string(state.upstreams.by_id.size())},
                      {"version", std::to_string(listing->version)}});
    } else {
      auto& changes = std::get<platform::upstream_changes>(step).changes;
      registry::OnChanges(state.upstreams, state.registry_options,
                          std::move(changes), now);
      internal::LogDifference(before, state.upstreams);
    }
    state.registry_fresh_at = now;
    if (!state.store_followed) {
      state.store_followed_since = now;
    }
    state.store_followed = true;
    RefreshPools(state);
    co_await Sleep(internal::GatherTime(state));
  }
}

asio::awaitable<void> CatchUpOnManifest(edge_state& state) {
  internal::lead_timer timer;
  std::uint64_t failures = 0;
  while (!state.stopping) {
    co_await Sleep(internal::kCompareInterval);
    const auto* from =
        internal::FindNewer(state, &wire::digest::manifest_version,
                            state.table ? state.table->Version() : 0, failures);
    if (timer.HasLasted(from, internal::LeadToCopy(state))) {
      const bool copied = co_await internal::CopyManifest(state, *from);
      failures += copied ? 0 : 1;
    }
  }
}

asio::awaitable<void> CatchUpOnUpstreams(edge_state& state) {
  internal::lead_timer timer;
  std::uint64_t failures = 0;
  while (!state.stopping) {
    co_await Sleep(internal::kCompareInterval);
    const auto before = state.upstreams.generation;
    registry::Tick(state.upstreams, SuspendAwareNow());
    if (state.upstreams.generation != before) {
      RefreshPools(state);
    }
    const auto* from =
        internal::FindNewer(state, &wire::digest::registry_version,
                            state.upstreams.version, failures);
    if (timer.HasLasted(from, internal::LeadToCopy(state))) {
      const bool copied = co_await internal::CopyRegistry(state, *from);
      failures += copied ? 0 : 1;
    }
  }
}

result<std::string> EncodeManifest(edge_state& state, std::string_view target) {
  auto told = revision::ChangeSince(state.manifests, internal::SinceOf(target));
  if (auto* failed = std::get_if<error>(&told)) {
    return std::move(*failed);
  }
  auto& change = std::get<revision::change>(told);
  wire::manifest_change out;
  out.set_since(change.since);
  out.set_version(change.version);
  out.set_content(std::move(change.content));
  return out.SerializeAsString();
}

std::string EncodeRegistry(const edge_state& state, std::string_view target) {
  const auto changes = registry::ChangesSince(
      state.upstreams, internal::SinceOf(target), SuspendAwareNow());
  wire::upstream_registry out;
  out.set_since(changes.since);
  out.set_version(changes.version);
  out.set_changed_version(changes.changed_version);
  for (const auto& each : changes.written) {
    *out.add_entries() = internal::Encode(each);
  }
  for (const auto& id : changes.gone) {
    out.add_gone(id);
  }
  return out.SerializeAsString();
}

}  // namespace mimosadeck::edge
