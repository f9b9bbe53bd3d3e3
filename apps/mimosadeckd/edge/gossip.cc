#include "mimosadeckd/edge/gossip.h"

#include <algorithm>
#include <set>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "mimosadeckd/edge/rows.h"
#include "mimosadeckd/edge/upstream_signs.h"
#include "net/address.h"

namespace mimosadeck::edge {

using asio::ip::udp;

namespace internal {
namespace {

/** Windows that a digest covers: the present one and those not yet due. */
constexpr std::size_t kWindowsTold = 3;
constexpr std::size_t kMostPeersTold = 8;
/** Keeps a datagram below 3 KB. */
constexpr std::size_t kRecordsPerDatagram = 16;
constexpr std::size_t kMostDatagramBytes = 60000;
/** Followers that get all records in one round, so that a round stays small. */
constexpr int kMostNewFollowers = 3;
/** A follower that knows so many members less than its relay is new. */
constexpr std::size_t kFewMembers = 3;
/** Upstreams that a request samples in a large fleet, where reported loads are
 * stale. */
constexpr std::size_t kSampleInLargeFleet = 8;
/** A peer that is not heard is tried at this interval, for so long. */
constexpr std::uint64_t kDigestsPerTrial = 7;
constexpr std::chrono::milliseconds kPeerMemory{120000};
/** In a large fleet one entry in so many reads the list of all entries, which
 * joins groups that do not hear each other; all reading it would be a storm. */
constexpr std::uint64_t kScanners = 8;

std::string HostOf(const std::string& address) {
  return address.substr(0, address.rfind(':'));
}

void FillWork(const edge_state& state, wire::digest& out) {
  fleet::work_table own;
  for (const auto& [name, pool] : state.pools) {
    for (const auto& [incarnation, found] : pool.candidates) {
      own.upstreams[fleet::UpstreamKey(found.rank)] = {
          found.own.running, found.own.unread_tokens, found.own.held_tokens};
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
      SourceName(state.machine.name, state.incarnation));
  if (own == state.tally.by_source.end()) {
    return;
  }
  std::size_t left = kWindowsTold;
  for (auto each = own->second.rbegin(); each != own->second.rend() && left > 0;
       ++each, --left) {
    auto& told = *out.add_windows();
    told.set_window(each->first);
    for (const auto& [account, requests] : each->second) {
      auto& count = *told.add_counts();
      count.set_account(account);
      count.set_requests(requests);
    }
  }
}

void FillSuspects(edge_state& state, wire::digest& out) {
  const auto now = SuspendAwareNow();
  const auto news =
      quarantine::ToTell(state.ward, state.quarantine_options, now);
  for (const auto* each : news.told) {
    const auto& known = each->second;
    auto& told = *out.add_suspects();
    told.set_fingerprint(each->first);
    told.set_condemned(known.condemned);
    told.set_crashed_ms_ago(static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now -
                                                              known.crashed_at)
            .count()));
    if (!known.condemned) {
      told.mutable_crashes()->Assign(known.crashes.begin(),
                                     known.crashes.end());
    }
  }
  if (news.left_out > 0) {
    state.metrics.Count("mimosadeck_suspects_untold_total", "entry",
                        state.machine.name);
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
  // A full link must not hold up the traffic on this thread.
  socket_.non_blocking(true);
}

void gossip::Start() {
  for (const auto& seed : state_.machine.seeds) {
    AddPeer(internal::HostOf(seed) + ':' +
            std::to_string(state_.machine.peer_port));
  }
  asio::co_spawn(state_.io, Receive(), asio::detached);
  asio::co_spawn(state_.io, SendLoop(), asio::detached);
  asio::co_spawn(state_.io, JoinFleet(), asio::detached);
}

void gossip::Announce() {
  SendDigests(true);
}

void gossip::AddPeer(const std::string& address) {
  if (address != own_address_) {
    peers_.try_emplace(address, SuspendAwareNow());
  }
}

asio::awaitable<void> gossip::Receive() {
  std::string buffer(internal::kMostDatagramBytes, '\0');
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
      Take(buffer.substr(0, size),
           sender.address().to_string() + ':' + std::to_string(sender.port()));
    }
  }
}

void gossip::Take(const std::string& bytes, const std::string& sender) {
  wire::datagram received;
  if (!received.ParseFromString(bytes)) {
    state_.metrics.Count("mimosadeck_datagrams_unreadable_total", "peer",
                         sender);
    return;
  }
  if (received.has_digest()) {
    TakeDigest(std::move(*received.mutable_digest()), sender);
  } else if (received.has_summary()) {
    auto& summary = *received.mutable_summary();
    for (const auto& told : summary.suspects()) {
      TakeSuspect(told, summary.relay());
    }
    for (const auto& upstream : summary.leaving_upstreams()) {
      TakeLeaving(state_, upstream, summary.relay());
    }
    for (const auto& told : summary.members()) {
      AddPeer(told.peer_address());
    }
    fleet::OnSummary(state_.members, std::move(summary), state_.machine.name,
                     LocalTime(state_), SuspendAwareNow());
  }
}

void gossip::TakeSuspect(const wire::suspect& told, std::string_view origin) {
  const auto now = SuspendAwareNow();
  quarantine::suspect known;
  known.crashes = {told.crashes().begin(), told.crashes().end()};
  known.condemned = told.condemned();
  known.crashed_at = now - std::chrono::milliseconds(told.crashed_ms_ago());
  if (quarantine::Merge(state_.ward, state_.quarantine_options,
                        told.fingerprint(), known, now)) {
    telemetry::Log(telemetry::level::warning, "request_condemned",
                   {{"fingerprint", told.fingerprint()}, {"origin", origin}});
    // The teller has not condemned it, so nobody may have written the row.
    if (!told.condemned() &&
        quarantine::IsWitnessed(state_.ward, told.fingerprint())) {
      asio::co_spawn(state_.io, WriteCondemnedRow(state_, told.fingerprint()),
                     asio::detached);
    }
  }
}

void gossip::TakeDigest(wire::digest received, const std::string& sender) {
  if (received.name().empty() || received.name() == state_.machine.name) {
    return;
  }
  const auto now = SuspendAwareNow();
  peers_[sender] = now;
  for (const auto& address : received.known_peers()) {
    AddPeer(address);
  }
  const auto source = SourceName(received.name(), received.incarnation());
  for (const auto& told : received.windows()) {
    metering::counts counts;
    for (const auto& each : told.counts()) {
      counts[each.account()] = each.requests();
    }
    metering::Merge(state_.tally, source, told.window(), counts);
  }
  for (const auto& told : received.suspects()) {
    TakeSuspect(told, received.name());
  }
  const auto name = received.name();
  for (const auto& upstream : received.leaving_upstreams()) {
    TakeLeaving(state_, upstream, name);
  }
  const bool is_new = !state_.members.by_name.contains(name);
  const bool owes_summary = fleet::SendsSummary(
      state_.members, state_.fleet_options, PlaceOf(state_), received, now);
  const bool is_taken = fleet::OnDigest(state_.members, std::move(received),
                                        sender, LocalTime(state_), now);
  if (is_taken && owes_summary) {
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
  out.set_leaving(state_.draining_since.has_value());
  out.set_wall_ms(std::chrono::duration_cast<std::chrono::milliseconds>(
                      LocalTime(state_).time_since_epoch())
                      .count());
  out.set_link_mbps(state_.machine.link_mbps);
  out.set_manifest_version(state_.table ? state_.table->Version() : 0);
  out.set_fencing(lease::IsHeld(state_.lease, now) ? state_.lease.fencing : 0);
  out.set_members_known(
      static_cast<std::uint32_t>(state_.members.by_name.size()));
  out.set_store_followed(state_.store_followed);
  if (state_.store_followed) {
    const auto followed = now - state_.store_followed_since;
    out.set_store_followed_ms(static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(followed)
            .count()));
  }
  out.set_registry_version(state_.upstreams.changed_version);
  internal::FillWork(state_, out);
  return out;
}

void gossip::Send(const wire::datagram& content, const std::string& address) {
  const auto target = net::ParseEndpoint(address);
  const auto bytes = content.SerializeAsString();
  boost::system::error_code failure;
  socket_.send_to(asio::buffer(bytes),
                  udp::endpoint(target.address(), target.port()), 0, failure);
  if (failure) {
    state_.metrics.Count("mimosadeck_digests_unsent_total", "reason",
                         failure.message());
  }
}

void gossip::SendDigests(bool is_full) {
  const auto now = SuspendAwareNow();
  const auto& options = state_.fleet_options;
  std::set<std::string> relays;
  for (const auto* each : fleet::Relays(state_.members, options, now)) {
    relays.insert(each->peer_address);
  }
  std::set<std::string> takers;
  if (is_full) {
    for (const auto* each :
         fleet::BillingReplicas(state_.members, options, now)) {
      takers.insert(each->peer_address);
    }
  }
  wire::datagram plain;
  *plain.mutable_digest() = MakeDigest();
  plain.mutable_digest()->set_wants_summary(
      !fleet::IsFullMesh(state_.members, options));
  if (is_full) {
    internal::FillSuspects(state_, *plain.mutable_digest());
    for (auto& upstream : LeavingToTell(state_, full_rounds_)) {
      plain.mutable_digest()->add_leaving_upstreams(std::move(upstream));
    }
    for (auto& peer : PeersToTell()) {
      plain.mutable_digest()->add_known_peers(std::move(peer));
    }
  }
  auto with_counts = plain;
  internal::FillCounts(state_, *with_counts.mutable_digest());
  with_counts.mutable_digest()->set_wants_summary(false);
  const auto live_for = fleet::LivenessTimeout(state_.members, options);
  const bool is_trial = sequence_ % internal::kDigestsPerTrial == 0;
  for (const auto& [address, heard_at] : peers_) {
    // Peers that were never heard, or no longer, are tried now and then.
    const bool is_unheard =
        is_trial && now - heard_at > live_for && !IsKnownLive(address, now);
    const bool is_new = now - heard_at <= live_for && !IsKnown(address);
    if (takers.contains(address)) {
      Send(with_counts, address);
    }
    if (relays.contains(address) || is_unheard || is_new) {
      Send(plain, address);
    }
  }
}

std::vector<std::string> gossip::PeersToTell() const {
  std::vector<std::string> out;
  for (const auto& [name, member] : state_.members.by_name) {
    out.push_back(member.peer_address);
  }
  return TakeTurn(std::move(out), internal::kMostPeersTold, full_rounds_);
}

void gossip::SendSummaries(bool is_full) {
  const auto now = SuspendAwareNow();
  auto followers = fleet::Followers(state_.members, state_.fleet_options,
                                    state_.machine.data_centre, now);
  if (followers.empty()) {
    return;
  }
  // What does not fit the link is lost, and must not always hit the same.
  const auto first = static_cast<std::ptrdiff_t>(sequence_ % followers.size());
  std::rotate(followers.begin(), followers.begin() + first, followers.end());
  const auto own = MakeDigest();
  const auto sum =
      fleet::AggregateWork(state_.members, state_.fleet_options, own, now);
  for (const auto* each : followers) {
    wire::datagram work;
    *work.mutable_summary() = sum;
    fleet::Subtract(*work.mutable_summary(), each->last);
    Send(work, each->peer_address);
  }
  if (is_full) {
    SendRecords(followers, own);
  }
}

void gossip::SendRecords(const std::vector<const fleet::member*>& followers,
                         const wire::digest& own) {
  const auto now = SuspendAwareNow();
  const auto all = MakeRecords(own, now);
  ++round_;
  std::erase_if(passed_on_, [this](const auto& each) {
    return each.first != state_.machine.name &&
           !state_.members.by_name.contains(each.first);
  });
  std::vector<wire::relayed_member> due;
  std::vector<wire::relayed_member> others;
  for (const auto& each : all) {
    auto& before = passed_on_[each.record().name()];
    const bool is_due = fleet::IsRecordDue(
        before.name().empty() ? nullptr : &before, each.record(), round_);
    (is_due ? due : others).push_back(each);
    if (is_due) {
      before = each.record();
    }
  }
  const auto update = MakeRecordDatagrams(due, others);
  const auto snapshot = MakeRecordDatagrams(all, {});
  auto left = internal::kMostNewFollowers;
  for (const auto* each : followers) {
    const bool is_new =
        each->last.members_known() + internal::kFewMembers < all.size();
    const bool gets_all = is_new && left > 0;
    left -= gets_all ? 1 : 0;
    for (const auto& part : gets_all ? snapshot : update) {
      Send(part, each->peer_address);
    }
  }
}

std::vector<wire::relayed_member> gossip::MakeRecords(const wire::digest& own,
                                                      mono_time now) const {
  std::vector<wire::relayed_member> out;
  const auto add = [&out](const wire::digest& record,
                          const std::string& address,
                          std::chrono::milliseconds age) {
    auto& told = out.emplace_back();
    *told.mutable_record() = record;
    auto& kept = *told.mutable_record();
    kept.clear_work();
    kept.clear_windows();
    kept.clear_suspects();
    kept.clear_leaving_upstreams();
    kept.clear_known_peers();
    kept.clear_wants_summary();
    told.set_peer_address(address);
    told.set_age_ms(static_cast<std::uint32_t>(age.count()));
  };
  add(own, own_address_, std::chrono::milliseconds(0));
  for (const auto& [name, found] : state_.members.by_name) {
    if (fleet::IsLive(state_.members, found, state_.fleet_options, now)) {
      add(found.last, found.peer_address,
          std::chrono::duration_cast<std::chrono::milliseconds>(
              now - found.last_seen_at));
    }
  }
  return out;
}

std::vector<wire::datagram> gossip::MakeRecordDatagrams(
    const std::vector<wire::relayed_member>& records,
    const std::vector<wire::relayed_member>& heard) const {
  std::vector<wire::datagram> out(1);
  auto& head = *out.front().mutable_summary();
  head.set_relay(state_.machine.name);
  wire::digest suspects;
  internal::FillSuspects(state_, suspects);
  *head.mutable_suspects() = suspects.suspects();
  for (auto& upstream : LeavingToTell(state_, full_rounds_)) {
    head.add_leaving_upstreams(std::move(upstream));
  }
  for (const auto& each : heard) {
    auto& told = *head.add_heard();
    told.set_identity(fleet::IdentityOf(each.record()));
    told.set_age_ms(each.age_ms());
  }
  for (std::size_t i = 0; i < records.size(); ++i) {
    if (i % internal::kRecordsPerDatagram == 0) {
      out.emplace_back().mutable_summary()->set_relay(state_.machine.name);
    }
    *out.back().mutable_summary()->add_members() = records[i];
  }
  return out;
}

bool gossip::IsKnown(const std::string& address) const {
  const auto& all = state_.members.by_name;
  return std::any_of(all.begin(), all.end(), [&address](const auto& each) {
    return each.second.peer_address == address;
  });
}

bool gossip::IsKnownLive(const std::string& address, mono_time now) const {
  const auto live =
      fleet::LiveMembers(state_.members, state_.fleet_options, now);
  return std::any_of(live.begin(), live.end(), [&address](const auto* each) {
    return each->peer_address == address;
  });
}

asio::awaitable<void> gossip::SendLoop() {
  mono_time full_at;
  while (!state_.stopping) {
    const auto now = SuspendAwareNow();
    std::erase_if(peers_, [now](const auto& each) {
      return now - each.second > internal::kPeerMemory;
    });
    fleet::Tick(state_.members, state_.fleet_options, now);
    quarantine::Tick(state_.ward, state_.quarantine_options, now);
    quarantine::Tick(state_.crashes, state_.quarantine_options, now);
    for (auto& [name, pool] : state_.pools) {
      placement::Tick(pool, now);
    }
    RefreshOthersLoad(state_);
    state_.placement_options.sample_size =
        fleet::IsFullMesh(state_.members, state_.fleet_options)
            ? 0
            : internal::kSampleInLargeFleet;
    const bool is_full = now - full_at >= state_.fleet_options.record_interval;
    if (is_full) {
      full_at = now;
      ++full_rounds_;
      ForgetGoneUpstreams(state_);
    }
    SendDigests(is_full);
    SendSummaries(is_full);
    co_await Sleep(fleet::DigestInterval(state_.members, state_.fleet_options));
  }
}

asio::awaitable<void> gossip::JoinFleet() {
  auto address = own_address_;
  co_await WriteMemberRow(state_, std::move(address));
  const bool is_known = co_await HearsLargeFleet(state_);
  if (is_known && Hash64(state_.machine.name) % internal::kScanners != 0) {
    co_return;
  }
  co_await ReadCondemnedRows(state_);
  std::function<void(const std::string&)> add =
      [this](const std::string& peer) { AddPeer(peer); };
  co_await ReadMemberRows(state_, std::move(add));
}

}  // namespace mimosadeck::edge
