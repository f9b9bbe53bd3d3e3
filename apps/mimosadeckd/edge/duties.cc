#include "mimosadeckd/edge/duties.h"

#include <algorithm>
#include <utility>

namespace mimosadeck::edge {
namespace internal {
namespace {

constexpr std::chrono::milliseconds kTickInterval{200};
/** Added to the term before another entry may take over the lease. */
constexpr std::chrono::milliseconds kTakeoverMargin{1000};
/** Time after the end of a window in which the last counts arrive from other
 * entries. */
constexpr std::chrono::milliseconds kSettleTime{1500};
/** Difference between the clocks of two entries that counts as none when they
 * tell whether a window was due. */
constexpr std::chrono::milliseconds kClockTolerance{2000};
/** Entries that contend while no entry is known to hold the lease. */
constexpr std::size_t kMaxContenders = 2;
/** Renewals per term; one may be lost. */
constexpr int kRenewalsPerTerm = 3;
/** Windows whose counts are kept in memory. */
constexpr metering::window_number kRetainedWindows = 20;
/** Rows of frozen counts that a holder keeps in the store. Reports are due long
 * before the oldest row is removed. */
constexpr std::size_t kMaxFrozenRows = 100;

bool HasDuty(const platform::machine_settings& machine, std::string_view name) {
  return std::find(machine.duties.begin(), machine.duties.end(), name) !=
         machine.duties.end();
}

sizing::observation Observe(const edge_state& state,
                            const routing::service& service) {
  sizing::observation out;
  for (const auto& [data_centre, price] :
       service.scaling->price_by_data_centre) {
    out.ready[data_centre] = {};
  }
  const auto found = state.pools.find(service.name);
  if (found == state.pools.end()) {
    return out;
  }
  const auto& pool = found->second;
  for (auto& data_centre : evacuation::Evacuated(state.evacuations)) {
    out.evacuated.insert(std::move(data_centre));
  }
  for (const auto& upstream :
       registry::UsableUpstreams(state.upstreams, service.name)) {
    if (out.evacuated.contains(upstream->data_centre)) {
      auto& ready = out.ready[upstream->data_centre];
      ++(upstream->evictable ? ready.evictable : ready.lasting);
    }
  }
  std::vector<std::uint32_t> slots;
  for (const auto& [name, candidate] : pool.candidates) {
    auto& ready = out.ready[candidate.upstream->data_centre];
    ++(candidate.upstream->evictable ? ready.evictable : ready.lasting);
    const auto load = placement::TotalLoad(candidate);
    out.running += load.running;
    out.held_tokens += load.held_tokens;
    slots.push_back(candidate.upstream->slots);
  }
  out.slots = sizing::TypicalSlots(std::move(slots));
  out.cache_tokens = pool.cache_tokens;
  out.ms_per_token = placement::MsPerToken(pool.read_times);
  out.tokens_per_second = placement::WorkPerSecond(pool);
  return out;
}

sizing::order_answer ToOrderAnswer(platform::capacity_outcome answer) {
  switch (answer) {
    case platform::capacity_outcome::accepted:
      return sizing::order_answer::accepted;
    case platform::capacity_outcome::refused:
      return sizing::order_answer::refused;
    case platform::capacity_outcome::unavailable:
    case platform::capacity_outcome::unknown:
      return sizing::order_answer::unanswered;
  }
  return sizing::order_answer::unanswered;
}

std::string_view NameOf(platform::capacity_outcome answer) {
  switch (answer) {
    case platform::capacity_outcome::accepted:
      return "accepted";
    case platform::capacity_outcome::refused:
      return "refused";
    case platform::capacity_outcome::unavailable:
      return "unavailable";
    case platform::capacity_outcome::unknown:
      return "unknown";
  }
  return "unlisted";
}

std::string WindowKey(metering::window_number window) {
  return "usage/" + std::to_string(window);
}

}  // namespace
}  // namespace internal

duties::duties(edge_state& state) : state_(state) {
  options_.name = "duties";
  options_.term = state.machine.bounds.lease;
  options_.margin = internal::kTakeoverMargin;
  options_.renew_interval = options_.term / internal::kRenewalsPerTerm;
  acting_options_.cooldown = options_.term + platform::kCallTimeout;
  guard_ = lease::StartGuard(acting_options_, state.started_at);
  first_window_ = metering::WindowAt(FleetTime(state_),
                                     state.machine.bounds.billing_window);
}

bool duties::MayContend() const {
  const auto now = SuspendAwareNow();
  if (state_.lease.current == lease::role::holder) {
    return true;
  }
  return IsReady(state_) &&
         fleet::HasMajorityContact(state_.members, state_.fleet_options, now) &&
         !fleet::IsLeaseHeldElsewhere(state_.members, state_.fleet_options,
                                      now) &&
         fleet::ContentionRank(state_.members, state_.fleet_options,
                               SelfInfo(state_),
                               now) < internal::kMaxContenders;
}

bool duties::MayAct() const {
  const bool is_era_current = era_ == state_.platform.Era();
  return !is_cut_off_ && is_era_current &&
         lease::MayAct(guard_, acting_options_, state_.lease,
                       SuspendAwareNow());
}

void duties::StepDown(std::string_view reason) {
  telemetry::Log(
      telemetry::level::warning, "lease_lost",
      {{"fencing", std::to_string(state_.lease.fencing)}, {"reason", reason}});
  const auto self = state_.lease.self;
  state_.lease = lease::contender{};
  state_.lease.self = self;
  guard_ = lease::StartGuard(acting_options_, SuspendAwareNow());
}

void duties::Release() {
  lease::Release(state_.lease);
}

asio::awaitable<void> duties::Run() {
  while (!state_.stopping) {
    co_await TickLease();
    co_await RestoreFrozenCounts();
    if (MayAct()) {
      co_await ReportDueWindows();
      co_await ScaleServices();
    } else {
      planners_.clear();
    }
    co_await Sleep(internal::kTickInterval);
  }
}

/** Releases the lease if most other entries are unreachable, so that an entry
 * which reaches them can take it over. */
void duties::CheckConnectivity() {
  const auto now = SuspendAwareNow();
  const bool holds = state_.lease.current == lease::role::holder;
  if (!is_cut_off_ && holds &&
      !fleet::HasMajorityContact(state_.members, state_.fleet_options, now)) {
    is_cut_off_ = true;
    telemetry::Log(telemetry::level::warning, "lease_given_up",
                   {{"fencing", std::to_string(state_.lease.fencing)},
                    {"reason", "most other entries are unreachable"}});
    lease::Release(state_.lease);
  }
  if (is_cut_off_ && !state_.stop &&
      (lease::IsReleased(state_.lease) || !lease::IsHeld(state_.lease, now))) {
    is_cut_off_ = false;
    StepDown("released after loss of contact");
  }
}

/** Gives up the lease once the store has returned from an older copy: its row
 * may name a former holder. The first response may come after such a return. */
void duties::CheckEra() {
  const auto era = state_.platform.Era();
  const auto known = std::exchange(era_, era);
  if (known == era) {
    return;
  }
  const bool was_held = state_.lease.current == lease::role::holder;
  telemetry::Log(
      telemetry::level::info, "store_era_observed",
      {{"era", std::to_string(*era)},
       {"former_era", known ? std::to_string(*known) : "none"},
       {"held_fencing", std::to_string(was_held ? state_.lease.fencing : 0)}});
  metering::OnCountsLost(reports_, ReportsKnownFrom(!known));
  lease::OnStoreReturned(state_.lease, guard_, acting_options_,
                         SuspendAwareNow());
}

/**
 * Returns the time from which this entry knows of every window that was frozen
 * before the store's new era.
 *
 * No other entry froze one while this one held the lease. If this is the first
 * response of the store, this entry knows of no window before it; windows that
 * end later cannot have been frozen yet.
 */
wall_time duties::ReportsKnownFrom(bool is_first_response) {
  if (is_first_response) {
    return FleetTime(state_);
  }
  const bool is_held = lease::IsHeld(state_.lease, SuspendAwareNow());
  return (is_held ? acquired_at_ : FleetTime(state_)) +
         internal::kClockTolerance;
}

asio::awaitable<void> duties::TickLease() {
  CheckConnectivity();
  CheckEra();
  if (!MayContend() && !state_.lease.wants_release) {
    co_return;
  }
  auto request = lease::Tick(state_.lease, options_, SuspendAwareNow(), true);
  if (!request) {
    co_return;
  }
  const auto reply = co_await state_.platform.Send(*std::move(request));
  if (era_ != state_.platform.Era()) {
    co_return;
  }
  const auto now = SuspendAwareNow();
  lease::OnReply(state_.lease, options_, reply, now);
  switch (lease::UpdateGuard(guard_, acting_options_, state_.lease, now)) {
    case lease::lease_transition::none:
      break;
    case lease::lease_transition::acquired:
      acquired_at_ = FleetTime(state_);
      telemetry::Log(telemetry::level::info, "lease_taken",
                     {{"fencing", std::to_string(state_.lease.fencing)}});
      break;
    case lease::lease_transition::lost:
      telemetry::Log(telemetry::level::warning, "lease_lost",
                     {{"fencing", std::to_string(state_.lease.fencing)},
                      {"reason", "not renewed in time"}});
      break;
  }
}

wall_time duties::DueTime(metering::window_number window) const {
  return metering::WindowEnd(window, state_.machine.bounds.billing_window) +
         internal::kSettleTime;
}

asio::awaitable<void> duties::ReportDueWindows() {
  const auto length = state_.machine.bounds.billing_window;
  const auto now = FleetTime(state_);
  const auto present = metering::WindowAt(now, length);
  const auto oldest = present - std::min(present, internal::kRetainedWindows);
  metering::DropBefore(state_.tally, oldest);
  metering::DropBefore(reports_, oldest);
  for (auto window = std::max(first_window_, oldest); DueTime(window) <= now;
       ++window) {
    if (!reports_.closed.contains(window)) {
      co_await ReportWindow(window);
    }
  }
}

asio::awaitable<void> duties::ScaleServices() {
  const auto table = state_.table;
  if (!table || !IsRegistryCurrent(state_) ||
      !internal::HasDuty(state_.machine, "scale")) {
    co_return;
  }
  for (const auto& service : table->Services()) {
    if (!service.scaling || !MayAct()) {
      continue;
    }
    auto& planner = planners_[service.name];
    const auto observed = internal::Observe(state_, service);
    const auto due =
        sizing::NextOrder(planner, sizing_options_, *service.scaling, observed,
                          SuspendAwareNow());
    if (!due) {
      continue;
    }
    platform::capacity_order order{service.name, due->data_centre, due->count,
                                   due->evictable, state_.lease.fencing};
    const auto answer = co_await state_.platform.SetCapacity(std::move(order));
    sizing::OnOrderAnswer(planner, sizing_options_, *due,
                          internal::ToOrderAnswer(answer), SuspendAwareNow());
    state_.metrics.Count("mimosadeck_capacity_orders_total", "answer",
                         std::string(internal::NameOf(answer)));
    state_.metrics.Set("mimosadeck_upstreams_needed", "service", service.name,
                       planner.need.value_or(0));
    telemetry::Log(
        telemetry::level::info, "capacity_ordered",
        {{"service", service.name},
         {"data_centre", due->data_centre},
         {"evictable", due->evictable ? "yes" : "no"},
         {"count", std::to_string(due->count)},
         {"need", std::to_string(planner.need.value_or(0))},
         {"tokens_per_second", std::to_string(observed.tokens_per_second)},
         {"ms_per_token", std::to_string(observed.ms_per_token)},
         {"fencing", std::to_string(state_.lease.fencing)},
         {"answer", internal::NameOf(answer)}});
  }
}

/** Writes the counts that the store may have lost once more. They are the
 * first ones of their windows, and so replace any others. */
asio::awaitable<void> duties::RestoreFrozenCounts() {
  while (!reports_.to_restore.empty()) {
    const auto window = *reports_.to_restore.begin();
    infra::commit commit;
    commit.writes.push_back(
        {internal::WindowKey(window), reports_.frozen.at(window)});
    infra::request request = std::move(commit);
    const auto reply = co_await state_.platform.Send(std::move(request));
    if (!std::holds_alternative<infra::committed>(reply)) {
      co_return;
    }
    reports_.to_restore.erase(window);
    telemetry::Log(
        telemetry::level::info, "usage_counts_restored",
        {{"window", std::to_string(window)},
         {"era", std::to_string(state_.platform.Era().value_or(0))}});
  }
}

/** Returns the counts to report for a window, the same ones for each holder;
 * empty if they cannot be determined now, or never. */
asio::awaitable<std::optional<std::string>> duties::FrozenCounts(
    metering::window_number window) {
  const auto known = reports_.frozen.find(window);
  if (known != reports_.frozen.end()) {
    co_return known->second;
  }
  std::optional<std::string> counts;
  if (metering::MayFreeze(reports_, DueTime(window))) {
    counts = co_await FreezeCounts(window);
  } else {
    counts = co_await ReadFrozenCounts(window);
  }
  if (counts) {
    metering::OnFrozen(reports_, window, *counts);
  }
  co_return counts;
}

/** Reads the counts of a window, which is closed if the store has lost them or
 * never had them: they may have been reported. */
asio::awaitable<std::optional<std::string>> duties::ReadFrozenCounts(
    metering::window_number window) {
  infra::request read = infra::read_row{internal::WindowKey(window)};
  const auto stored = co_await state_.platform.Send(std::move(read));
  if (const auto* row = std::get_if<infra::row_found>(&stored)) {
    co_return row->found.value;
  }
  if (std::holds_alternative<infra::row_absent>(stored) && MayAct()) {
    reports_.closed.insert(window);
    state_.metrics.Count("mimosadeck_usage_reports_total", "accepted",
                         "omitted");
    telemetry::Log(
        telemetry::level::warning, "usage_not_reported",
        {{"window", std::to_string(window)},
         {"figures",
          metering::EncodeCounts(metering::Sum(state_.tally, window))},
         {"reason", "may have been reported with counts that the store lost"}});
  }
  co_return std::nullopt;
}

/** Stores the counts of a window before its first report. The condition on the
 * lease row keeps a former holder from freezing counts, and this one if the
 * store has begun another era. */
asio::awaitable<std::optional<std::string>> duties::FreezeCounts(
    metering::window_number window) {
  const auto key = internal::WindowKey(window);
  const auto own = metering::EncodeCounts(metering::Sum(state_.tally, window));
  infra::commit commit;
  commit.conditions.push_back(lease::FencingCondition(state_.lease, options_));
  commit.conditions.push_back({key, 0});
  commit.writes.push_back({key, own});
  const bool removes_oldest = frozen_.size() >= internal::kMaxFrozenRows;
  if (removes_oldest) {
    commit.writes.push_back(
        {internal::WindowKey(frozen_.front()), std::nullopt});
  }
  infra::request request = std::move(commit);
  const auto reply = co_await state_.platform.Send(std::move(request));
  if (std::holds_alternative<infra::committed>(reply)) {
    if (removes_oldest) {
      frozen_.pop_front();
    }
    frozen_.push_back(window);
    co_return own;
  }
  const auto* conflict = std::get_if<infra::conflict>(&reply);
  if (!conflict || conflict->key != key) {
    co_return std::nullopt;
  }
  auto stored = co_await ReadFrozenCounts(window);
  co_return stored;
}

asio::awaitable<void> duties::ReportWindow(metering::window_number window) {
  const auto counts = co_await FrozenCounts(window);
  if (!counts || !MayAct()) {
    co_return;
  }
  infra::request report = infra::report_usage{std::to_string(window),
                                              state_.lease.fencing, *counts};
  const auto reply = co_await state_.platform.Send(std::move(report));
  if (std::holds_alternative<infra::report_refused>(reply)) {
    StepDown("usage report refused");
    co_return;
  }
  const bool accepted = std::holds_alternative<infra::report_accepted>(reply);
  state_.metrics.Count("mimosadeck_usage_reports_total", "accepted",
                       accepted ? "yes" : "unknown");
  telemetry::Log(telemetry::level::info, "usage_reported",
                 {{"window", std::to_string(window)},
                  {"fencing", std::to_string(state_.lease.fencing)},
                  {"accepted", accepted ? "yes" : "unknown"},
                  {"figures", *counts}});
  if (accepted) {
    reports_.closed.insert(window);
  }
}

}  // namespace mimosadeck::edge
