#include "mimosadeckd/edge/sync.h"

#include "wire/digest.pb.h"

namespace mimosadeck::edge {
namespace internal {
namespace {

/** Pause after the store refused or did not answer. */
constexpr std::chrono::milliseconds kStorePause{300};
/** Entries change in bursts: one call then brings them together. */
constexpr std::chrono::milliseconds kGatherTime{250};
/** The same where many entries ask; it stays well below the two seconds in
 * which a leaving upstream must be known. */
constexpr std::chrono::milliseconds kLongGatherTime{750};
/** Interval at which entries are compared. */
constexpr std::chrono::milliseconds kCompareInterval{100};
/** The store usually brings a new manifest within this time. */
constexpr std::chrono::milliseconds kStoreLead{150};
/** Age at which the registry is taken from another entry. */
constexpr std::chrono::milliseconds kRegistryTooOld{1000};
constexpr std::chrono::milliseconds kEntryCallTimeout{500};
constexpr std::size_t kMostAnswerBytes = 16U << 20U;

/** @brief Logs a dependency that was lost or regained, once each time. */
class dependency_log {
 public:
  explicit dependency_log(std::string_view name) : name_(name) {}

  /** @return True if the dependency was lost before. */
  bool OnAnswer(mono_time now) {
    if (!lost_at_) {
      return false;
    }
    const auto away =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - *lost_at_);
    telemetry::Log(
        telemetry::level::info, "dependency_regained",
        {{"dependency", name_}, {"away_ms", std::to_string(away.count())}});
    lost_at_.reset();
    return true;
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

void ApplyChanges(edge_state& state,
                  platform::upstream_changes changes,
                  mono_time now) {
  for (auto& entry : changes.written) {
    const auto before = state.upstreams.generation;
    auto copy = entry;
    registry::OnEntry(state.upstreams, std::move(entry));
    if (state.upstreams.generation != before) {
      LogUpstream("upstream_changed", copy);
    }
  }
  for (const auto& id : changes.gone) {
    telemetry::Log(telemetry::level::info, "upstream_gone", {{"upstream", id}});
    registry::OnEntryGone(state.upstreams, state.registry_options, id, now);
  }
}

asio::awaitable<std::optional<std::string>> Fetch(edge_state& state,
                                                  std::string address,
                                                  std::string path) {
  net::http_call call(state.upstream_connections, state.io.get_executor());
  net::http_request request;
  request.target = std::move(path);
  net::call_options options;
  options.server = address;
  options.address = std::move(address);
  options.connect_timeout = kEntryCallTimeout;
  options.deadline = std::chrono::steady_clock::now() + kEntryCallTimeout;
  const auto failed = co_await call.Send(std::move(request), options);
  constexpr int kOk = 200;
  if (failed || call.Status() != kOk) {
    co_return std::nullopt;
  }
  auto body = co_await call.ReadBody(kMostAnswerBytes);
  if (auto* text = std::get_if<std::string>(&body)) {
    co_return std::move(*text);
  }
  co_return std::nullopt;
}

const fleet::member* NewestManifest(const edge_state& state, mono_time now) {
  const fleet::member* best = nullptr;
  for (const auto* each :
       fleet::Live(state.members, state.fleet_options, now)) {
    if (!best ||
        each->last.manifest_version() > best->last.manifest_version()) {
      best = each;
    }
  }
  const auto own = state.table ? state.table->Version() : 0;
  return best && best->last.manifest_version() > own ? best : nullptr;
}

const fleet::member* RegistrySource(const edge_state& state, mono_time now) {
  for (const auto* each :
       fleet::Live(state.members, state.fleet_options, now)) {
    if (each->last.registry_followed()) {
      return each;
    }
  }
  return nullptr;
}

void AdoptRegistry(edge_state& state, const std::string& text, mono_time now) {
  wire::upstream_registry told;
  if (!told.ParseFromString(text)) {
    telemetry::Log(telemetry::level::warning, "registry_unreadable", {});
    return;
  }
  std::vector<registry::upstream> entries;
  for (const auto& each : told.entries()) {
    registry::upstream entry;
    entry.id = each.id();
    entry.service = each.service();
    entry.address = each.address();
    entry.data_centre = each.data_centre();
    entry.slots = each.slots();
    entry.draining = each.draining();
    entry.evictable = each.evictable();
    entry.started_at_ms = each.started_at_ms();
    entries.push_back(std::move(entry));
  }
  registry::OnListing(state.upstreams, state.registry_options,
                      std::move(entries), now);
  state.registry_fresh_at = now;
  RefreshPools(state);
}

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
  state.table = std::make_shared<const routing::table>(std::move(manifest));
  state.manifest_text = text;
  RefreshPools(state);
}

asio::awaitable<void> FollowManifest(edge_state& state) {
  internal::dependency_log store("store.manifest");
  while (!state.stopping) {
    auto step = co_await state.platform.NextManifest();
    const auto now = SuspendAwareNow();
    if (const auto* away = std::get_if<platform::store_away>(&step)) {
      store.OnFailure(away->reason, now);
      co_await Sleep(internal::kStorePause);
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
    auto step = co_await state.platform.NextUpstreams();
    const auto now = SuspendAwareNow();
    if (const auto* away = std::get_if<platform::store_away>(&step)) {
      store.OnFailure(away->reason, now);
      state.registry_followed = false;
      co_await Sleep(internal::kStorePause);
      continue;
    }
    if (store.OnAnswer(now)) {
      registry::OnStoreBack(state.upstreams, now);
    }
    if (auto* listing = std::get_if<platform::upstream_listing>(&step)) {
      registry::OnListing(state.upstreams, state.registry_options,
                          std::move(listing->entries), now);
      telemetry::Log(telemetry::level::info, "upstreams_listed",
                     {{"count", std::to_string(state.upstreams.by_id.size())}});
    } else {
      internal::ApplyChanges(
          state, std::get<platform::upstream_changes>(std::move(step)), now);
    }
    state.registry_fresh_at = now;
    state.registry_followed = true;
    RefreshPools(state);
    co_await Sleep(fleet::IsDense(state.members, state.fleet_options)
                       ? internal::kGatherTime
                       : internal::kLongGatherTime);
  }
}

asio::awaitable<void> FollowEntries(edge_state& state) {
  std::optional<mono_time> behind_since;
  mono_time registry_asked_at;
  while (!state.stopping) {
    co_await Sleep(internal::kCompareInterval);
    const auto now = SuspendAwareNow();
    const auto before = state.upstreams.generation;
    registry::Tick(state.upstreams, now);
    if (state.upstreams.generation != before) {
      RefreshPools(state);
    }
    const auto* newer = internal::NewestManifest(state, now);
    if (!newer) {
      behind_since.reset();
    } else if (!behind_since) {
      behind_since = now;
    } else if (now - *behind_since >= internal::kStoreLead) {
      const auto origin = newer->last.name();
      std::string address = newer->last.control_address();
      std::string path(kManifestPath);
      const auto text =
          co_await internal::Fetch(state, std::move(address), std::move(path));
      if (text) {
        AdoptManifest(state, *text, origin);
      }
    }
    const bool is_old =
        !state.registry_followed &&
        (!state.registry_fresh_at ||
         now - *state.registry_fresh_at >= internal::kRegistryTooOld);
    const auto* source =
        is_old ? internal::RegistrySource(state, now) : nullptr;
    if (source && now - registry_asked_at >= internal::kRegistryTooOld) {
      registry_asked_at = now;
      std::string address = source->last.control_address();
      std::string path(kUpstreamsPath);
      const auto text =
          co_await internal::Fetch(state, std::move(address), std::move(path));
      if (text) {
        internal::AdoptRegistry(state, *text, now);
      }
    }
  }
}

std::string EncodeRegistry(const edge_state& state) {
  wire::upstream_registry out;
  for (const auto& [id, held] : state.upstreams.by_id) {
    const auto& entry = *held.entry;
    auto& told = *out.add_entries();
    told.set_id(id);
    told.set_service(entry.service);
    told.set_address(entry.address);
    told.set_data_centre(entry.data_centre);
    told.set_slots(entry.slots);
    told.set_draining(entry.draining);
    told.set_evictable(entry.evictable);
    told.set_started_at_ms(entry.started_at_ms);
  }
  return out.SerializeAsString();
}

}  // namespace mimosadeck::edge
