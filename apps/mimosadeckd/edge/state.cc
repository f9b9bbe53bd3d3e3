#include "mimosadeckd/edge/state.h"

#include <algorithm>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "mimosadeckd/edge/upstream_signs.h"
#include "mimosadeckd/edge/warm_up.h"

namespace mimosadeck::edge {
namespace internal {
namespace {

/** Idle connections kept open to each upstream. */
constexpr std::size_t kMaxIdleConnections = 16;
/** Upstream crashes attributed to a request that condemn it. */
constexpr std::uint32_t kCrashesToCondemn = 3;
/** Requests in receipt, and responses not yet passed on, may each use the VM's
 * memory divided by this. */
constexpr std::uint64_t kTrafficMemoryDivisor = 4;
/** Limit for each of them if the size of the VM's memory is unknown. */
constexpr std::uint64_t kDefaultTrafficMemoryBytes = std::uint64_t{64} << 20U;
constexpr unsigned kMbShift = 20;
/** Sockets of a process whose number of descriptors is unknown. */
constexpr std::size_t kDefaultMaxSockets = 2800;
/** Share of the sockets for idle connections to upstreams and other entries. */
constexpr std::size_t kIdleSocketDivisor = 12;

std::uint64_t TrafficMemoryLimit(const platform::machine_settings& machine) {
  return machine.memory_mb == 0
             ? kDefaultTrafficMemoryBytes
             : (machine.memory_mb << kMbShift) / kTrafficMemoryDivisor;
}

net::receive_options ReceiveOptions(const platform::machine_settings& machine) {
  net::receive_options out;
  out.limit_bytes = TrafficMemoryLimit(machine);
  return out;
}

platform::client_options ClientOptions(
    const platform::machine_settings& machine) {
  platform::client_options out;
  out.store_address = machine.store_address;
  out.duty_address = machine.duty_address;
  out.holder = machine.name;
  return out;
}

std::uint64_t MsSinceEpoch() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

}  // namespace
}  // namespace internal

edge_state::edge_state(asio::io_context& io, platform::machine_settings machine)
    : io(io),
      machine(std::move(machine)),
      platform(io.get_executor(), internal::ClientOptions(this->machine)),
      upstream_connections(
          internal::kMaxIdleConnections,
          MaxSockets(this->machine) / internal::kIdleSocketDivisor),
      started_at(SuspendAwareNow()),
      incarnation(internal::MsSinceEpoch()) {
  quarantine_options.crashes_alone_to_condemn = internal::kCrashesToCondemn;
  quarantine_options.crashes_to_condemn = internal::kCrashesToCondemn;
  fleet_options.apply_time = this->machine.bounds.apply_time;
  fleet_options.billing_window = this->machine.bounds.billing_window;
  fleet_options.billing_complete_after = this->machine.bounds.billing_window +
                                         this->machine.bounds.billing_deadline;
  rate_limit_options.settle_time = this->machine.bounds.contact_recovery_time;
  warm_up_options = rate_limit::WarmUpOptions(rate_limit_options.settle_time);
  participants.self = this->machine.name;
  participants.started_at = started_at;
  response_memory->limit = internal::TrafficMemoryLimit(this->machine);
  receive_budget = std::make_shared<net::receive_budget>(
      internal::ReceiveOptions(this->machine));
  lease.self = ProcessIdentity(this->machine.name, incarnation);
}

bool IsReady(const edge_state& state) {
  return state.table && state.registry_synced_at && !state.stop;
}

wall_time LocalTime(edge_state& state) {
  return fleet::ReadClock(state.clock, state.clock_options,
                          std::chrono::system_clock::now(), SuspendAwareNow());
}

wall_time FleetTime(edge_state& state) {
  return LocalTime(state) + fleet::ClockCorrection(state.members,
                                                   state.fleet_options,
                                                   SuspendAwareNow());
}

std::string ProcessIdentity(const std::string& name,
                            std::uint64_t incarnation) {
  return name + '/' + std::to_string(incarnation);
}

void RefreshPools(edge_state& state) {
  RecordDrainingUpstreams(state);
  if (!state.table) {
    return;
  }
  for (const auto& service : state.table->Services()) {
    auto& pool = state.pools[service.name];
    pool.service = service.name;
    pool.cache_tokens = service.engine ? service.engine->cache_tokens : 0;
    pool.tightest_pause_goal = state.table->TightestPauseGoal(service.name)
                                   .value_or(std::chrono::milliseconds(0));
    auto usable = registry::UsableUpstreams(state.upstreams, service.name);
    std::erase_if(usable, [&state](const auto& upstream) {
      return evacuation::IsEvacuated(state.evacuations,
                                     upstream->data_centre) ||
             availability::IsLeaving(state.availability,
                                     registry::IncarnationOf(*upstream));
    });
    placement::SetUpstreams(pool, usable);
  }
  ApplyAvailability(state);
  RefreshWarmUp(state);
}

void RefreshRemoteLoad(edge_state& state) {
  const auto now = SuspendAwareNow();
  const auto live_for =
      fleet::LivenessTimeout(state.members, state.fleet_options);
  const auto& summary = state.members.work;
  fleet::work_table work;
  if (summary && !fleet::IsFullMesh(state.members, state.fleet_options) &&
      now - summary->received_at <= live_for) {
    fleet::Add(work, summary->aggregate.work());
  } else {
    for (const auto* member :
         fleet::LiveMembers(state.members, state.fleet_options, now)) {
      fleet::Add(work, member->last.work());
    }
  }
  for (auto& [name, pool] : state.pools) {
    std::map<std::string, placement::load> loads;
    for (const auto& [incarnation, candidate] : pool.candidates) {
      const auto reported =
          work.upstreams.find(fleet::UpstreamKey(candidate.incarnation_hash));
      if (reported != work.upstreams.end()) {
        loads[incarnation] = {reported->second.running,
                              reported->second.unread_tokens,
                              reported->second.held_tokens};
      }
    }
    const auto& demand = work.services[Hash64(name)];
    placement::SetRemoteLoads(pool, loads,
                              {demand.short_work, demand.long_work});
  }
}

fleet::self_status SelfInfo(const edge_state& state) {
  return {state.machine.name,
          state.machine.data_centre,
          0,
          state.machine.link_mbps,
          std::chrono::duration_cast<std::chrono::milliseconds>(
              SuspendAwareNow() - state.started_at),
          state.store_reads};
}

bool FollowsStore(const edge_state& state, fleet::store_feed feed) {
  return fleet::FollowsStore(state.members, state.fleet_options,
                             SelfInfo(state), feed, SuspendAwareNow());
}

bool IsRegistryCurrent(const edge_state& state) {
  const auto now = SuspendAwareNow();
  const auto age_limit =
      fleet::ReadAgeLimit(state.fleet_options, state.machine.name);
  const auto is_recent = [&](std::optional<mono_time> read_up_to) {
    return read_up_to && now - *read_up_to <= age_limit;
  };
  const auto& own = state.store_reads.upstreams;
  if (own.answered_since && is_recent(own.read_up_to)) {
    return true;
  }
  if (!is_recent(fleet::NewestRead(state.members, state.fleet_options,
                                   SelfInfo(state),
                                   fleet::store_feed::upstreams, now))) {
    return false;
  }
  const auto live = fleet::LiveMembers(state.members, state.fleet_options, now);
  return std::any_of(live.begin(), live.end(), [&state](const auto* member) {
    return member->last.store_followed() &&
           member->last.registry_version() <=
               registry::ToInteger(state.upstreams.version);
  });
}

std::uint32_t EntryCount(const edge_state& state) {
  return static_cast<std::uint32_t>(state.members.by_name.size()) + 1;
}

std::size_t MaxSockets(const platform::machine_settings& machine) {
  return machine.max_sockets > 0 ? machine.max_sockets
                                 : internal::kDefaultMaxSockets;
}

asio::awaitable<void> Sleep(std::chrono::milliseconds time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

}  // namespace mimosadeck::edge
