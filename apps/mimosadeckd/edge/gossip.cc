#include "mimosadeckd/edge/gossip.h"

#include <algorithm>
#include <set>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "mimosadeckd/edge/crashes.h"
#include "mimosadeckd/edge/evacuations.h"
#include "mimosadeckd/edge/peer_input.h"
#include "mimosadeckd/edge/rows.h"
#include "mimosadeckd/edge/tasks.h"
#include "mimosadeckd/edge/upstream_signs.h"
#include "mimosadeckd/edge/warm_up.h"
#include "net/address.h"

namespace mimosadeck::edge {

using asio::ip::udp;

namespace internal {
namespace {

/** Billing windows in a digest: the current one and those not yet due. */
constexpr std::size_t kWindowsPerDigest = 3;
constexpr std::size_t kMaxPeersPerDigest = 8;
/** Limits a datagram of records to 3 KB. */
constexpr std::size_t kRecordsPerDatagram = 16;
constexpr std::size_t kMaxDatagramBytes = 60000;
/** Followers per round that receive all records; limits the traffic. */
constexpr int kMaxSnapshotsPerRound = 3;
/** A follower is new if it lacks more than this many of the relay's members. */
constexpr std::size_t kNewFollowerGap = 3;
/** Upstreams sampled per request in a large fleet, where loads are stale. */
constexpr std::size_t kLargeFleetSampleSize = 8;
/** Idle connections are not reused after this time, which attempts shorten for
 * requests that must not run twice. */
constexpr std::chrono::milliseconds kMaxIdleTime{5000};
/** Interval, in digests, at which silent peers are probed until forgotten. */
constexpr std::uint64_t kDigestsPerProbe = 7;
constexpr std::chrono::milliseconds kPeerRetention{120000};
/** In a large fleet one in this many entries reads the member list, to connect
 * partitions; if all entries did, they would overload the store. */
constexpr std::uint64_t kScanDivisor = 8;

std::string HostOf(const std::string& address) {
  return address.substr(0, address.rfind(':'));
}

void FillWork(const edge_state& state, wire::digest& out) {
  fleet::work_table own;
  for (const auto& [name, pool] : state.pools) {
    for (const auto& [incarnation, candidate] : pool.candidates) {
      own.upstreams[fleet::UpstreamKey(candidate.incarnation_hash)] = {
          candidate.own_load.running, candidate.own_load.unread_tokens,
          candidate.own_load.held_tokens};
    }
    if (pool.own_demand.short_work > 0 || pool.own_demand.long_work > 0) {
      own.services[Hash64(name)] = {pool.own_demand.short_work,
                                    pool.own_demand.long_work};
    }
  }
  *out.mutable_work() = fleet::Encode(own);
}

void FillCounts(const edge_state& state, wire::digest& out) {
  const auto own = state.tally.by_source.find(
      ProcessIdentity(state.machine.name, state.incarnation));
  if (own == state.tally.by_source.end()) {
    return;
  }
  std::size_t left = kWindowsPerDigest;
  for (auto window = own->second.rbegin();
       window != own->second.rend() && left > 0; ++window, --left) {
    auto& encoded = *out.add_windows();
    encoded.set_window(window->first);
    for (const auto& [account, requests] : window->second) {
      auto& count = *encoded.add_counts();
      count.set_account(account);
      count.set_requests(requests);
    }
  }
}

}  // namespace
}  // namespace internal

gossip::gossip(edge_state& state)
    : state_(state),
      socket_(state.io,
              udp::endpoint(asio::ip::make_address(state.machine.ip),
                            state.machine.peer_port)),
      own_address_(state.machine.ip + ':' +
                   std::to_string(socket_.local_endpoint().port())) {
  // A full send buffer must not block the requests on this thread.
  socket_.non_blocking(true);
}

void gossip::Start() {
  for (const auto& seed : state_.machine.seeds) {
    AddPeer(
        internal::HostOf(seed) + ':' + std::to_string(state_.machine.peer_port),
        "settings");
  }
  KeepRunning(state_.io, "receive_gossip", [this] { return Receive(); });
  KeepRunning(state_.io, "send_gossip", [this] { return SendLoop(); });
  KeepRunning(state_.io, "join_fleet", [this] { return JoinFleet(); });
}

void gossip::Announce() {
  SendDigests(true);
}

void gossip::AddPeer(const std::string& address, std::string_view origin) {
  if (!net::IsRemoteEndpoint(address)) {
    LogOddAddress(origin, "peer_address");
    return;
  }
  if (address != own_address_) {
    peers_.try_emplace(address, SuspendAwareNow());
  }
}

asio::awaitable<void> gossip::Receive() {
  std::string buffer(internal::kMaxDatagramBytes, '\0');
  while (!state_.stopping) {
    udp::endpoint sender;
    boost::system::error_code failure;
    const auto size = co_await socket_.async_receive_from(
        asio::buffer(buffer), sender,
        asio::redirect_error(asio::use_awaitable, failure));
    if (failure == asio::error::operation_aborted) {
      co_return;
    }
    if (!failure) {
      OnDatagram(buffer.substr(0, size), sender.address().to_string() + ':' +
                                             std::to_string(sender.port()));
    }
  }
}

void gossip::OnDatagram(const std::string& bytes, const std::string& sender) {
  wire::datagram received;
  if (!received.ParseFromString(bytes)) {
    state_.metrics.Count("mimosadeck_datagrams_unreadable_total", "peer",
                         sender);
    return;
  }
  if (received.has_digest()) {
    OnDigest(std::move(*received.mutable_digest()), sender);
  } else if (received.has_summary()) {
    OnSummary(std::move(*received.mutable_summary()));
  }
}

void gossip::OnSummary(wire::summary received) {
  DropOddMembers(received);
  MergeSuspects(state_, received.suspects(), received.relay());
  for (const auto& upstream : received.leaving_upstreams()) {
    MarkLeaving(state_, upstream, received.relay());
  }
  for (const auto& upstream : received.held_back_upstreams()) {
    HoldBackUpstream(state_, upstream, received.relay());
  }
  for (const auto& limit : received.upstream_limits()) {
    MergeUpstreamLimit(state_, limit, received.relay());
  }
  MergeEvacuations(state_, received.evacuations(), received.relay());
  for (const auto& member : received.members()) {
    AddPeer(member.peer_address(), received.relay());
  }
  fleet::OnSummary(state_.members, std::move(received), state_.machine.name,
                   LocalTime(state_), SuspendAwareNow());
}

void gossip::OnDigest(wire::digest received, const std::string& sender) {
  if (received.name().empty() || received.name() == state_.machine.name) {
    return;
  }
  const auto now = SuspendAwareNow();
  peers_[sender] = now;
  ClearOddAddresses(received);
  for (const auto& address : received.known_peers()) {
    AddPeer(address, received.name());
  }
  const auto source = ProcessIdentity(received.name(), received.incarnation());
  for (const auto& window : received.windows()) {
    metering::counts counts;
    for (const auto& count : window.counts()) {
      counts[count.account()] = count.requests();
    }
    metering::Merge(state_.tally, source, window.window(), counts);
  }
  MergeSuspects(state_, received.suspects(), received.name());
  const auto name = received.name();
  for (const auto& upstream : received.leaving_upstreams()) {
    MarkLeaving(state_, upstream, name);
  }
  for (const auto& upstream : received.held_back_upstreams()) {
    HoldBackUpstream(state_, upstream, name);
  }
  for (const auto& limit : received.upstream_limits()) {
    MergeUpstreamLimit(state_, limit, name);
  }
  MergeEvacuations(state_, received.evacuations(), name);
  const bool is_new = !state_.members.by_name.contains(name);
  const bool needs_summary = fleet::SendsSummary(
      state_.members, state_.fleet_options, SelfInfo(state_), received, now);
  const bool is_accepted = fleet::OnDigest(state_.members, std::move(received),
                                           sender, LocalTime(state_), now);
  if (is_accepted && needs_summary) {
    fleet::AddFollower(state_.members, name, now);
  }
  if (is_new) {
    telemetry::Log(telemetry::level::info, "entry_heard",
                   {{"entry", name}, {"address", sender}});
  }
}

wire::digest gossip::MakeDigest() {
  wire::digest out;
  const auto now = SuspendAwareNow();
  out.set_name(state_.machine.name);
  out.set_incarnation(state_.incarnation);
  out.set_sequence(++sequence_);
  out.set_data_centre(state_.machine.data_centre);
  out.set_caller_address(state_.machine.caller_address);
  out.set_control_address(state_.machine.control_address);
  out.set_ready(IsReady(state_));
  out.set_leaving(state_.stop.has_value());
  out.set_wall_ms(std::chrono::duration_cast<std::chrono::milliseconds>(
                      LocalTime(state_).time_since_epoch())
                      .count());
  out.set_link_mbps(state_.machine.link_mbps);
  out.set_manifest_version(state_.table ? state_.table->Version() : 0);
  out.set_fencing(lease::IsHeld(state_.lease, now) ? state_.lease.fencing : 0);
  out.set_members_known(
      static_cast<std::uint32_t>(state_.members.by_name.size()));
  fleet::EncodeReads(state_.store_reads, state_.fleet_options, now, out);
  out.set_registry_version(
      registry::ToInteger(state_.upstreams.changed_version));
  internal::FillWork(state_, out);
  return out;
}

void gossip::Send(const wire::datagram& content, const std::string& address) {
  const auto target = net::ReadRemoteEndpoint(address);
  if (!target) {
    state_.metrics.Count("mimosadeck_digests_unsent_total", "reason",
                         "not an address");
    return;
  }
  const auto bytes = content.SerializeAsString();
  boost::system::error_code failure;
  socket_.send_to(asio::buffer(bytes),
                  udp::endpoint(target->address(), target->port()), 0, failure);
  if (failure) {
    state_.metrics.Count("mimosadeck_digests_unsent_total", "reason",
                         failure.message());
  }
}

void gossip::SendDigests(bool is_full) {
  const auto now = SuspendAwareNow();
  const auto& options = state_.fleet_options;
  std::set<std::string> relays;
  for (const auto* relay : fleet::Relays(state_.members, options, now)) {
    relays.insert(relay->peer_address);
  }
  std::set<std::string> count_receivers;
  if (is_full) {
    for (const auto* entry :
         fleet::BillingReplicas(state_.members, options, now)) {
      count_receivers.insert(entry->peer_address);
    }
  }
  wire::datagram plain;
  *plain.mutable_digest() = MakeDigest();
  plain.mutable_digest()->set_wants_summary(
      !fleet::IsFullMesh(state_.members, options));
  if (is_full) {
    AdvertiseSuspects(state_, *plain.mutable_digest());
    for (auto& upstream : SelectLeavingUpstreams(state_, full_rounds_)) {
      plain.mutable_digest()->add_leaving_upstreams(std::move(upstream));
    }
    for (auto& upstream : SelectHeldBackUpstreams(state_, full_rounds_)) {
      plain.mutable_digest()->add_held_back_upstreams(std::move(upstream));
    }
    for (auto& limit : SelectUpstreamLimits(state_, full_rounds_)) {
      *plain.mutable_digest()->add_upstream_limits() = std::move(limit);
    }
    AddEvacuations(state_, *plain.mutable_digest()->mutable_evacuations());
    for (auto& peer : SelectKnownPeers()) {
      plain.mutable_digest()->add_known_peers(std::move(peer));
    }
  }
  auto with_counts = plain;
  internal::FillCounts(state_, *with_counts.mutable_digest());
  with_counts.mutable_digest()->set_wants_summary(false);
  const auto live_for = fleet::LivenessTimeout(state_.members, options);
  const bool is_probe_round = sequence_ % internal::kDigestsPerProbe == 0;
  for (const auto& [address, heard_at] : peers_) {
    // Peers without a recent digest are probed periodically.
    const bool is_probed = is_probe_round && now - heard_at > live_for &&
                           !IsLiveMember(address, now);
    const bool is_new = now - heard_at <= live_for && !IsMember(address);
    if (count_receivers.contains(address)) {
      Send(with_counts, address);
    }
    if (relays.contains(address) || is_probed || is_new) {
      Send(plain, address);
    }
  }
}

std::vector<std::string> gossip::SelectKnownPeers() const {
  std::vector<std::string> out;
  for (const auto& [name, member] : state_.members.by_name) {
    out.push_back(member.peer_address);
  }
  return SelectRoundRobin(std::move(out), internal::kMaxPeersPerDigest,
                          full_rounds_);
}

void gossip::SendSummaries(bool is_full) {
  const auto now = SuspendAwareNow();
  auto followers = fleet::Followers(state_.members, state_.fleet_options,
                                    state_.machine.data_centre, now);
  if (followers.empty()) {
    return;
  }
  // The rotation spreads datagrams lost on a full link over all followers.
  const auto first = static_cast<std::ptrdiff_t>(sequence_ % followers.size());
  std::rotate(followers.begin(), followers.begin() + first, followers.end());
  const auto own = MakeDigest();
  const auto sum =
      fleet::AggregateWork(state_.members, state_.fleet_options, own, now);
  for (const auto* follower : followers) {
    wire::datagram work;
    *work.mutable_summary() = sum;
    fleet::Subtract(*work.mutable_summary(), follower->last);
    Send(work, follower->peer_address);
  }
  if (is_full) {
    SendRecords(followers, own);
  }
}

void gossip::SendRecords(const std::vector<const fleet::member*>& followers,
                         const wire::digest& own) {
  const auto now = SuspendAwareNow();
  const auto all = MakeRecords(own, now);
  ++record_round_;
  std::erase_if(last_relayed_, [this](const auto& item) {
    return item.first != state_.machine.name &&
           !state_.members.by_name.contains(item.first);
  });
  std::vector<wire::relayed_member> due;
  std::vector<wire::relayed_member> unchanged;
  for (const auto& member : all) {
    auto& last = last_relayed_[member.record().name()];
    const bool is_due = fleet::IsRecordDue(
        last.name().empty() ? nullptr : &last, member.record(), record_round_);
    (is_due ? due : unchanged).push_back(member);
    if (is_due) {
      last = member.record();
    }
  }
  const auto update = MakeRecordDatagrams(due, unchanged);
  const auto snapshot = MakeRecordDatagrams(all, {});
  auto left = internal::kMaxSnapshotsPerRound;
  for (const auto* follower : followers) {
    const bool is_new =
        follower->last.members_known() + internal::kNewFollowerGap < all.size();
    const bool gets_all = is_new && left > 0;
    left -= gets_all ? 1 : 0;
    for (const auto& part : gets_all ? snapshot : update) {
      Send(part, follower->peer_address);
    }
  }
}

std::vector<wire::relayed_member> gossip::MakeRecords(const wire::digest& own,
                                                      mono_time now) const {
  std::vector<wire::relayed_member> out;
  const auto add = [&out](const wire::digest& record,
                          const std::string& address,
                          std::chrono::milliseconds age) {
    auto& relayed = out.emplace_back();
    *relayed.mutable_record() = record;
    auto& kept = *relayed.mutable_record();
    kept.clear_work();
    kept.clear_windows();
    kept.clear_suspects();
    kept.clear_leaving_upstreams();
    kept.clear_held_back_upstreams();
    kept.clear_upstream_limits();
    kept.clear_evacuations();
    kept.clear_known_peers();
    kept.clear_wants_summary();
    relayed.set_peer_address(address);
    relayed.set_age_ms(static_cast<std::uint32_t>(age.count()));
  };
  add(own, own_address_, std::chrono::milliseconds(0));
  for (const auto& [name, member] : state_.members.by_name) {
    if (fleet::IsLive(state_.members, member, state_.fleet_options, now)) {
      add(member.last, member.peer_address,
          std::chrono::duration_cast<std::chrono::milliseconds>(
              now - member.last_seen_at));
    }
  }
  return out;
}

std::vector<wire::datagram> gossip::MakeRecordDatagrams(
    const std::vector<wire::relayed_member>& records,
    const std::vector<wire::relayed_member>& unchanged) const {
  std::vector<wire::datagram> out(1);
  auto& head = *out.front().mutable_summary();
  head.set_relay(state_.machine.name);
  wire::digest suspects;
  AdvertiseSuspects(state_, suspects);
  *head.mutable_suspects() = suspects.suspects();
  for (auto& upstream : SelectLeavingUpstreams(state_, full_rounds_)) {
    head.add_leaving_upstreams(std::move(upstream));
  }
  for (auto& upstream : SelectHeldBackUpstreams(state_, full_rounds_)) {
    head.add_held_back_upstreams(std::move(upstream));
  }
  for (auto& limit : SelectUpstreamLimits(state_, full_rounds_)) {
    *head.add_upstream_limits() = std::move(limit);
  }
  AddEvacuations(state_, *head.mutable_evacuations());
  for (const auto& member : unchanged) {
    auto& encoded = *head.add_heard();
    encoded.set_identity(fleet::IdentityOf(member.record()));
    encoded.set_age_ms(member.age_ms());
  }
  for (std::size_t i = 0; i < records.size(); ++i) {
    if (i % internal::kRecordsPerDatagram == 0) {
      out.emplace_back().mutable_summary()->set_relay(state_.machine.name);
    }
    *out.back().mutable_summary()->add_members() = records[i];
  }
  return out;
}

bool gossip::IsMember(const std::string& address) const {
  const auto& all = state_.members.by_name;
  return std::any_of(all.begin(), all.end(), [&address](const auto& item) {
    return item.second.peer_address == address;
  });
}

bool gossip::IsLiveMember(const std::string& address, mono_time now) const {
  const auto live =
      fleet::LiveMembers(state_.members, state_.fleet_options, now);
  return std::any_of(live.begin(), live.end(), [&address](const auto* member) {
    return member->peer_address == address;
  });
}

asio::awaitable<void> gossip::SendLoop() {
  mono_time full_at;
  while (!state_.stopping) {
    const auto now = SuspendAwareNow();
    std::erase_if(peers_, [now](const auto& peer) {
      return now - peer.second > internal::kPeerRetention;
    });
    fleet::Tick(state_.members, state_.fleet_options, now);
    quarantine::Tick(state_.quarantine, state_.quarantine_options, now);
    quarantine::Tick(state_.crashes, state_.quarantine_options, now);
    for (auto& [name, pool] : state_.pools) {
      placement::Tick(pool, now);
    }
    RefreshRemoteLoad(state_);
    RefreshParticipants(state_);
    RefreshWarmUp(state_);
    EndLostEvacuations(state_);
    state_.placement_options.sample_size =
        fleet::IsFullMesh(state_.members, state_.fleet_options)
            ? 0
            : internal::kLargeFleetSampleSize;
    const bool is_full = now - full_at >= state_.fleet_options.record_interval;
    if (is_full) {
      full_at = now;
      ++full_rounds_;
      ForgetGoneUpstreams(state_);
      state_.upstream_connections.CloseIdle(internal::kMaxIdleTime);
    }
    SendDigests(is_full);
    SendSummaries(is_full);
    co_await Sleep(fleet::DigestInterval(state_.members, state_.fleet_options));
  }
}

asio::awaitable<void> gossip::JoinFleet() {
  auto address = own_address_;
  co_await WriteMemberRow(state_, std::move(address));
  const bool is_large = co_await DetectLargeFleet(state_);
  if (is_large && Hash64(state_.machine.name) % internal::kScanDivisor != 0) {
    co_return;
  }
  co_await ReadCondemnedRows(state_);
  std::function<void(const std::string&)> add =
      [this](const std::string& peer) { AddPeer(peer, "store"); };
  co_await ReadMemberRows(state_, std::move(add));
}

}  // namespace mimosadeck::edge
