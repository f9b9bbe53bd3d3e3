#include "mimosadeckd/edge/state.h"

#include <algorithm>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "mimosadeckd/edge/upstream_signs.h"

namespace mimosadeck::edge {
namespace internal {
namespace {

/** Idle connections kept for each upstream. */
constexpr std::size_t kMostIdleConnections = 16;
/** Upstreams that must have crashed under a request to condemn it. */
constexpr std::uint32_t kCrashesToCondemn = 3;

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
      upstream_connections(internal::kMostIdleConnections),
      started_at(SuspendAwareNow()),
      incarnation(internal::MsSinceEpoch()) {
  quarantine_options.crashes_alone = internal::kCrashesToCondemn;
  quarantine_options.crashes_in_all = internal::kCrashesToCondemn;
  fleet_options.billing_window = this->machine.bounds.billing_window;
  fleet_options.billing_complete_after =
      this->machine.bounds.billing_window + this->machine.bounds.billing_due;
  lease.self = SourceName(this->machine.name, incarnation);
}

bool IsReady(const edge_state& state) {
  return state.table && state.registry_fresh_at && !state.draining_since;
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

std::string SourceName(const std::string& name, std::uint64_t incarnation) {
  return name + '/' + std::to_string(incarnation);
}

void RefreshPools(edge_state& state) {
  if (!state.table) {
    return;
  }
  for (const auto& service : state.table->Services()) {
    auto& pool = state.pools[service.name];
    pool.service = service.name;
    pool.cache_tokens = service.engine ? service.engine->cache_tokens : 0;
    pool.tightest_pause = state.table->TightestPauseGoal(service.name)
                              .value_or(std::chrono::milliseconds(0));
    auto usable = registry::Usable(state.upstreams, service.name);
    std::erase_if(usable, [&state](const auto& entry) {
      return availability::IsLeaving(state.availability,
                                     registry::IncarnationOf(*entry));
    });
    placement::SetUpstreams(pool, usable);
  }
  ApplyAvailability(state);
}

void RefreshOthersLoad(edge_state& state) {
  const auto now = SuspendAwareNow();
  const auto live_for =
      fleet::LivenessTimeout(state.members, state.fleet_options);
  const auto& summary = state.members.work;
  fleet::work_table work;
  if (summary && !fleet::IsFullMesh(state.members, state.fleet_options) &&
      now - summary->received_at <= live_for) {
    fleet::Add(work, summary->aggregate.work());
  } else {
    for (const auto* each :
         fleet::LiveMembers(state.members, state.fleet_options, now)) {
      fleet::Add(work, each->last.work());
    }
  }
  for (auto& [name, pool] : state.pools) {
    std::map<std::string, placement::load> loads;
    for (const auto& [incarnation, found] : pool.candidates) {
      const auto told = work.upstreams.find(fleet::UpstreamKey(found.rank));
      if (told != work.upstreams.end()) {
        loads[incarnation] = {told->second.running, told->second.unread_tokens,
                              told->second.held_tokens};
      }
    }
    const auto& demand = work.services[Hash64(name)];
    placement::SetOthers(pool, loads, {demand.short_work, demand.long_work});
  }
}

fleet::self_status PlaceOf(const edge_state& state) {
  return {state.machine.name,
          state.machine.data_centre,
          0,
          state.machine.link_mbps,
          std::chrono::duration_cast<std::chrono::milliseconds>(
              SuspendAwareNow() - state.started_at),
          state.store_followed};
}

bool FollowsStore(const edge_state& state) {
  return fleet::FollowsStore(state.members, state.fleet_options, PlaceOf(state),
                             SuspendAwareNow());
}

bool IsRegistryCurrent(const edge_state& state) {
  if (state.store_followed) {
    return true;
  }
  const auto live =
      fleet::LiveMembers(state.members, state.fleet_options, SuspendAwareNow());
  return std::any_of(live.begin(), live.end(), [&state](const auto* each) {
    return each->last.store_followed() &&
           each->last.registry_version() <= state.upstreams.version;
  });
}

std::uint32_t EntryCount(const edge_state& state) {
  return static_cast<std::uint32_t>(state.members.by_name.size()) + 1;
}

asio::awaitable<void> Sleep(std::chrono::milliseconds time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

}  // namespace mimosadeck::edge
