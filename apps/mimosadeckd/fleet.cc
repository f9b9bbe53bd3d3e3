#include "mimosadeckd/fleet.h"

#include <set>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

namespace mimosadeck::daemon {
namespace internal {
namespace {

namespace json = boost::json;

constexpr std::string_view kMembersPrefix = "members/";
constexpr std::uint32_t kMaxMembersPerScan = 500;
constexpr std::uint64_t kMinVersionsPerSnapshot = 64;
constexpr std::chrono::milliseconds kProbeTimeout{1000};
constexpr std::chrono::milliseconds kDepartureNoticeDelay{200};
constexpr std::chrono::milliseconds kConfigFetchTimeout{1000};
constexpr std::chrono::milliseconds kEditRetryInterval{200};
constexpr std::chrono::seconds kEditTimeout{10};
constexpr std::chrono::seconds kUnregisteredPollInterval{2};
constexpr std::chrono::seconds kRegistryPollInterval{30};

std::string MemberRowKey(const std::string& id) {
  return std::string(kMembersPrefix) + id;
}

std::string EncodeMember(const membership::member& member) {
  return json::serialize(json::object{{"id", member.id},
                                      {"incarnation", member.incarnation},
                                      {"data_centre", member.data_centre},
                                      {"peer", member.peer_address},
                                      {"caller", member.caller_address},
                                      {"operator", member.operator_address}});
}

std::optional<membership::member> DecodeMember(const std::string& text) {
  try {
    const json::value parsed = json::parse(text);
    membership::member out;
    out.id = json::value_to<std::string>(parsed.at("id"));
    out.incarnation = parsed.at("incarnation").to_number<std::uint64_t>();
    out.data_centre = json::value_to<std::string>(parsed.at("data_centre"));
    out.peer_address = json::value_to<std::string>(parsed.at("peer"));
    out.caller_address = json::value_to<std::string>(parsed.at("caller"));
    out.operator_address = json::value_to<std::string>(parsed.at("operator"));
    return out;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

void ToWire(const membership::member& in, wire::member_update& out) {
  out.set_id(in.id);
  out.set_incarnation(in.incarnation);
  out.set_heartbeat(in.heartbeat);
  out.set_leaving(in.leaving);
  out.set_state(static_cast<std::uint32_t>(in.state));
  out.set_data_centre(in.data_centre);
  out.set_peer_address(in.peer_address);
  out.set_caller_address(in.caller_address);
  out.set_operator_address(in.operator_address);
}

membership::member FromWire(const wire::member_update& in) {
  membership::member out;
  out.id = in.id();
  out.incarnation = in.incarnation();
  out.heartbeat = in.heartbeat();
  out.leaving = in.leaving();
  out.state = static_cast<membership::member_state>(
      std::min<std::uint32_t>(in.state(), 2));
  out.data_centre = in.data_centre();
  out.peer_address = in.peer_address();
  out.caller_address = in.caller_address();
  out.operator_address = in.operator_address();
  return out;
}

std::uint64_t AgeMillis(mono_time when) {
  return static_cast<std::uint64_t>(
      std::chrono::ceil<std::chrono::milliseconds>(Now() - when).count());
}

}  // namespace
}  // namespace internal

fleet::fleet(control_state& state, peers& peers)
    : state_(state), peers_(peers) {
  peers_.SetHandler(wire::envelope::kProbe,
                    [this](const wire::envelope& message) {
                      OnHeartbeat(message, message.probe(), std::nullopt);
                      if (message.correlation() == 0) {
                        return;
                      }
                      wire::envelope answer;
                      FillHeartbeat(*answer.mutable_probe());
                      peers_.Reply(message, std::move(answer));
                    });
  peers_.SetHandler(
      wire::envelope::kConfigFetch, [this](const wire::envelope& call) {
        wire::envelope answer;
        auto* out = answer.mutable_config_changes();
        const auto changes =
            config::ChangesSince(state_.replica, call.config_fetch().version());
        if (changes) {
          for (const auto& item : *changes) {
            out->add_change_sets(config::EncodeChangeSet(item));
          }
        } else {
          out->set_document(config::EncodeDocument(state_.replica.current));
        }
        peers_.Reply(call, std::move(answer));
      });
}

void fleet::Join(const std::string& caller_address,
                 const std::string& operator_address) {
  membership::member self;
  self.id = state_.settings.id;
  self.incarnation = state_.incarnation_number;
  self.data_centre = state_.settings.data_centre;
  self.peer_address = peers_.Address();
  self.caller_address = caller_address;
  self.operator_address = operator_address;
  membership::Join(state_.view, self, Now());
  PublishSnapshot();
}

void fleet::Start() {
  const auto executor = state_.io.get_executor();
  asio::co_spawn(executor, RegistryLoop(), asio::detached);
  asio::co_spawn(executor, PollConfigLoop(), asio::detached);
  asio::co_spawn(executor, PollVmListLoop(), asio::detached);
  asio::co_spawn(executor, GossipLoop(), asio::detached);
}

void fleet::AddConfigHandler(std::function<void()> handler) {
  config_handlers_.push_back(std::move(handler));
}

void fleet::NotifyConfigChanged() {
  PublishSnapshot();
  for (const auto& handler : config_handlers_) {
    handler();
  }
}

void fleet::PublishSnapshot() {
  const auto previous = state_.published.load();
  auto next = std::make_shared<snapshot>();
  if (previous && previous->document &&
      previous->document->version == state_.replica.current.version) {
    next->document = previous->document;
  } else {
    next->document =
        std::make_shared<const config::document>(state_.replica.current);
  }
  state_.contact.majority_reachable = membership::ReachesMajority(state_.view);
  next->freshness = config::EvaluateFreshness(
      state_.replica, state_.contact, state_.settings.max_config_age, Now());
  next->draining = state_.draining;
  next->entries = membership::Eligible(state_.view);
  state_.published.store(std::move(next));
}

void fleet::Leave() {
  state_.draining = true;
  membership::Leave(state_.view, state_.membership_options);
  SendHeartbeats();
  PublishSnapshot();
}

void fleet::SendHeartbeats() {
  for (const auto& [id, member] : state_.view.members) {
    if (id != state_.settings.id) {
      wire::envelope message;
      FillHeartbeat(*message.mutable_probe());
      peers_.Notify(id, std::move(message));
    }
  }
}

asio::awaitable<void> fleet::Unregister() {
  infra::commit removal;
  removal.writes.push_back(
      {internal::MemberRowKey(state_.settings.id), std::nullopt});
  infra::request request = std::move(removal);
  co_await state_.platform.Send(std::move(request));
  membership::Depart(state_.view);
  SendHeartbeats();
  co_await Sleep(internal::kDepartureNoticeDelay);
}

void fleet::FillHeartbeat(wire::heartbeat& out) {
  for (const auto& member :
       membership::SelectUpdates(state_.view, state_.membership_options)) {
    internal::ToWire(member, *out.add_members());
  }
  out.set_config_version(state_.replica.current.version);
  if (state_.replica.up_to_date_at) {
    out.set_config_known(true);
    out.set_config_age_ms(internal::AgeMillis(*state_.replica.up_to_date_at));
  }
  if (state_.contact.last_store_contact) {
    out.set_store_known(true);
    out.set_store_age_ms(
        internal::AgeMillis(*state_.contact.last_store_contact));
  }
}

void fleet::OnHeartbeat(const wire::envelope& from,
                        const wire::heartbeat& heartbeat,
                        std::optional<mono_time> probe_sent_at) {
  const auto now = Now();
  for (const auto& update : heartbeat.members()) {
    membership::OnUpdate(state_.view, state_.membership_options,
                         internal::FromWire(update), now);
  }
  if (heartbeat.store_known()) {
    config::OnStoreContact(state_.contact, now - std::chrono::milliseconds(
                                                     heartbeat.store_age_ms()));
  }
  state_.replica.newest_version =
      std::max(state_.replica.newest_version, heartbeat.config_version());
  if (heartbeat.config_version() > state_.replica.current.version) {
    asio::co_spawn(state_.io, FetchConfigFrom(from.from()), asio::detached);
    return;
  }
  if (probe_sent_at && heartbeat.config_known()) {
    config::OnPeerFreshness(
        state_.replica, heartbeat.config_version(),
        std::chrono::milliseconds(heartbeat.config_age_ms()), *probe_sent_at);
  }
}

asio::awaitable<void> fleet::GossipLoop() {
  while (!state_.stopping) {
    for (const auto& id : membership::Tick(
             state_.view, state_.membership_options, Now(), state_.random)) {
      asio::co_spawn(state_.io, Probe(id), asio::detached);
    }
    PublishSnapshot();
    co_await Sleep(state_.membership_options.interval);
  }
}

asio::awaitable<void> fleet::Probe(std::string member) {
  const auto sent_at = Now();
  wire::envelope message;
  FillHeartbeat(*message.mutable_probe());
  const auto answer =
      co_await peers_.Call(member, std::move(message), internal::kProbeTimeout);
  if (!answer || !answer->has_probe()) {
    membership::OnProbeFailed(state_.view, state_.membership_options, member,
                              Now());
    co_return;
  }
  membership::OnProbeAnswered(state_.view, state_.membership_options, member,
                              Now());
  OnHeartbeat(*answer, answer->probe(), sent_at);
}

asio::awaitable<void> fleet::FetchConfigFrom(std::string member) {
  if (fetching_config_) {
    co_return;
  }
  fetching_config_ = true;
  wire::envelope message;
  message.mutable_config_fetch()->set_version(state_.replica.current.version);
  const auto answer = co_await peers_.Call(member, std::move(message),
                                           internal::kConfigFetchTimeout);
  fetching_config_ = false;
  if (!answer || !answer->has_config_changes()) {
    co_return;
  }
  std::vector<config::change_set> changes;
  for (const auto& text : answer->config_changes().change_sets()) {
    auto decoded = config::DecodeChangeSet(text);
    if (IsOk(decoded)) {
      changes.push_back(std::get<config::change_set>(std::move(decoded)));
    }
  }
  bool advanced = config::ApplyPeerChanges(state_.replica, changes);
  if (!answer->config_changes().document().empty()) {
    const auto decoded =
        config::DecodeDocument(answer->config_changes().document());
    if (IsOk(decoded)) {
      advanced |= config::ApplyPeerDocument(
          state_.replica, std::get<config::document>(decoded));
    }
  }
  if (advanced) {
    NotifyConfigChanged();
  }
}

asio::awaitable<void> fleet::PollConfig() {
  config::poll poll;
  auto request = config::BeginPoll(poll, Now());
  while (true) {
    const auto reply = co_await state_.platform.Send(std::move(request));
    auto step = config::OnPollReply(state_.replica, poll, reply);
    if (auto* next = std::get_if<infra::request>(&step)) {
      request = std::move(*next);
      continue;
    }
    const auto& done = std::get<config::poll_done>(step);
    if (done.store_answered) {
      config::OnStoreContact(state_.contact, poll.sent_at);
    }
    if (done.changed) {
      NotifyConfigChanged();
    }
    co_return;
  }
}

asio::awaitable<void> fleet::PollConfigLoop() {
  while (!state_.stopping) {
    co_await PollConfig();
    co_await WriteSnapshotIfDue();
    co_await Sleep(state_.settings.poll_interval);
  }
}

asio::awaitable<void> fleet::WriteSnapshotIfDue() {
  const auto version = state_.replica.current.version;
  const auto candidates = OwnerCandidates(state_);
  const bool due =
      version >= snapshot_version_ + internal::kMinVersionsPerSnapshot;
  if (!due || ownership::Rank(config::kSnapshotObject, candidates, 1) !=
                  std::vector<std::string>{state_.settings.id}) {
    co_return;
  }
  infra::put_object object;
  object.name = config::kSnapshotObject;
  object.bytes = config::EncodeDocument(state_.replica.current);
  infra::request request = std::move(object);
  const auto reply = co_await state_.platform.Send(std::move(request));
  if (std::holds_alternative<infra::object_stored>(reply)) {
    snapshot_version_ = version;
  }
}

asio::awaitable<void> fleet::PollVmListLoop() {
  while (!state_.stopping) {
    infra::request request = infra::list_vms{};
    const auto reply = co_await state_.platform.Send(std::move(request));
    if (const auto* list = std::get_if<infra::vm_list>(&reply)) {
      state_.vms = list->vms;
      std::set<std::string> live;
      std::set<std::string> leaving;
      for (const auto& item : list->vms) {
        if (item.role == infra::vm_role::entry) {
          (item.state == infra::vm_state::live ? live : leaving)
              .insert(item.id);
        }
      }
      membership::OnVmList(state_.view, live, leaving, Now());
    }
    co_await Sleep(state_.settings.poll_interval);
  }
}

asio::awaitable<void> fleet::RegistryLoop() {
  while (!state_.stopping) {
    if (!registered_) {
      co_await Register();
    }
    co_await ReadRegistry();
    co_await Sleep(registered_ ? internal::kRegistryPollInterval
                               : internal::kUnregisteredPollInterval);
  }
}

asio::awaitable<void> fleet::Register() {
  infra::commit row;
  row.writes.push_back(
      {internal::MemberRowKey(state_.settings.id),
       internal::EncodeMember(state_.view.members.at(state_.settings.id))});
  infra::request request = std::move(row);
  const auto reply = co_await state_.platform.Send(std::move(request));
  registered_ = std::holds_alternative<infra::committed>(reply);
}

asio::awaitable<void> fleet::ReadRegistry() {
  infra::scan_rows scan;
  scan.prefix = internal::kMembersPrefix;
  scan.after = scan.prefix;
  scan.limit = internal::kMaxMembersPerScan;
  infra::request request = std::move(scan);
  const auto reply = co_await state_.platform.Send(std::move(request));
  const auto* page = std::get_if<infra::rows_page>(&reply);
  if (!page) {
    co_return;
  }
  for (const auto& row : page->rows) {
    const auto member = internal::DecodeMember(row.value);
    if (member) {
      membership::OnUpdate(state_.view, state_.membership_options, *member,
                           Now());
    }
  }
}

asio::awaitable<result<std::uint64_t>> fleet::Edit(
    config::change_set proposed) {
  if (!membership::ReachesMajority(state_.view)) {
    co_return error{result_code::not_ready,
                    "this entry hears no majority of the entries"};
  }
  config::edit edit;
  edit.proposed = std::move(proposed);
  auto request = config::BeginEdit(edit);
  const auto deadline = Now() + internal::kEditTimeout;
  while (true) {
    const auto reply = co_await state_.platform.Send(std::move(request));
    auto step = config::OnEditReply(edit, reply);
    if (auto* next = std::get_if<infra::request>(&step)) {
      request = std::move(*next);
    } else if (auto* retry = std::get_if<config::edit_retry>(&step)) {
      if (Now() >= deadline) {
        co_return edit.head_read
            ? error{result_code::outcome_unknown,
                    "the store stopped answering; read the history"}
            : error{result_code::store_unavailable,
                    "the store does not answer; nothing was changed"};
      }
      request = std::move(retry->request);
      co_await Sleep(internal::kEditRetryInterval);
    } else if (const auto* lost = std::get_if<config::edit_conflict>(&step)) {
      co_return error{result_code::version_conflict,
                      "the configuration is at version " +
                          std::to_string(lost->newest_version)};
    } else {
      break;
    }
  }
  co_await PollConfig();
  SendHeartbeats();
  co_return edit.proposed.version;
}

}  // namespace mimosadeck::daemon
