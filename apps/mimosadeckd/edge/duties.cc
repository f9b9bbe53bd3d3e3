#include "mimosadeckd/edge/duties.h"

#include <algorithm>

namespace mimosadeck::edge {
namespace internal {
namespace {

constexpr std::chrono::milliseconds kTickInterval{200};
/** Added to the term before another entry may take the lease over. */
constexpr std::chrono::milliseconds kTakeoverMargin{1000};
/** Time for the last counts of a window to arrive from the other entries. */
constexpr std::chrono::milliseconds kSettleTime{1500};
/** Entries that contend when nobody is heard to hold the lease. */
constexpr std::size_t kContenders = 2;
/** Renewals in one term, so that one may be lost. */
constexpr int kRenewalsPerTerm = 3;
/** Windows whose frozen figures are kept. */
constexpr metering::window_number kWindowsKept = 20;
/** Rows of frozen figures that a holder leaves in the store: reports are due
 * long before the oldest of them is removed. */
constexpr std::size_t kRowsKept = 100;

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
  for (const auto& [name, candidate] : pool.candidates) {
    auto& ready = out.ready[candidate.entry->data_centre];
    ++(candidate.entry->evictable ? ready.evictable : ready.lasting);
    const auto load = placement::TotalLoad(candidate);
    out.running += load.running;
    out.held_tokens += load.held_tokens;
    out.slots = candidate.entry->slots;
  }
  out.cache_tokens = pool.cache_tokens;
  out.ms_per_token = placement::MsPerToken(pool.reading);
  out.tokens_per_second = placement::WorkPerSecond(pool);
  return out;
}

sizing::order_answer AnswerOf(platform::capacity_answer answer) {
  switch (answer) {
    case platform::capacity_answer::accepted:
      return sizing::order_answer::accepted;
    case platform::capacity_answer::refused:
      return sizing::order_answer::refused;
    case platform::capacity_answer::unavailable:
    case platform::capacity_answer::unknown:
      return sizing::order_answer::unanswered;
  }
  return sizing::order_answer::unanswered;
}

std::string_view NameOf(platform::capacity_answer answer) {
  switch (answer) {
    case platform::capacity_answer::accepted:
      return "accepted";
    case platform::capacity_answer::refused:
      return "refused";
    case platform::capacity_answer::unavailable:
      return "unavailable";
    case platform::capacity_answer::unknown:
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

bool duties::Contends() const {
  const auto now = SuspendAwareNow();
  if (state_.lease.current == lease::role::holder) {
    return true;
  }
  return IsReady(state_) &&
         fleet::HasMajorityContact(state_.members, state_.fleet_options, now) &&
         !fleet::IsLeaseHeldElsewhere(state_.members, state_.fleet_options,
                                      now) &&
         fleet::ContentionRank(state_.members, state_.fleet_options,
                               PlaceOf(state_), now) < internal::kContenders;
}

bool duties::MayAct() const {
  return !is_cut_off_ && lease::MayAct(guard_, acting_options_, state_.lease,
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
    if (MayAct()) {
      co_await ReportDueWindows();
      co_await SizeServices();
    } else {
      planners_.clear();
    }
    co_await Sleep(internal::kTickInterval);
  }
}

/** Gives the lease to an entry that hears the others. */
void duties::CheckContact() {
  const auto now = SuspendAwareNow();
  const bool holds = state_.lease.current == lease::role::holder;
  if (!is_cut_off_ && holds &&
      !fleet::HasMajorityContact(state_.members, state_.fleet_options, now)) {
    is_cut_off_ = true;
    telemetry::Log(telemetry::level::warning, "lease_given_up",
                   {{"fencing", std::to_string(state_.lease.fencing)},
                    {"reason", "most other entries are not heard"}});
    lease::Release(state_.lease);
  }
  if (is_cut_off_ && !state_.draining_since &&
      (lease::IsReleased(state_.lease) || !lease::IsHeld(state_.lease, now))) {
    is_cut_off_ = false;
    StepDown("given up");
  }
}

asio::awaitable<void> duties::TickLease() {
  CheckContact();
  if (!Contends() && !state_.lease.wants_release) {
    co_return;
  }
  auto request = lease::Tick(state_.lease, options_, SuspendAwareNow(), true);
  if (!request) {
    co_return;
  }
  const auto reply = co_await state_.platform.Send(*std::move(request));
  const auto now = SuspendAwareNow();
  lease::OnReply(state_.lease, options_, reply, now);
  switch (lease::UpdateGuard(guard_, acting_options_, state_.lease, now)) {
    case lease::lease_transition::none:
      break;
    case lease::lease_transition::acquired:
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

asio::awaitable<void> duties::ReportDueWindows() {
  const auto length = state_.machine.bounds.billing_window;
  const auto now = FleetTime(state_);
  const auto present = metering::WindowAt(now, length);
  const auto oldest = present - std::min(present, internal::kWindowsKept);
  metering::Forget(state_.tally, oldest);
  for (auto window = std::max(first_window_, oldest);
       metering::EndOf(window, length) + internal::kSettleTime <= now;
       ++window) {
    if (!reported_.contains(window)) {
      co_await ReportWindow(window);
    }
  }
  reported_.erase(reported_.begin(), reported_.lower_bound(oldest));
}

asio::awaitable<void> duties::SizeServices() {
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
    const auto seen = internal::Observe(state_, service);
    const auto due = sizing::NextOrder(
        planner, sizing_options_, *service.scaling, seen, SuspendAwareNow());
    if (!due) {
      continue;
    }
    platform::capacity_order wanted{service.name, due->data_centre, due->count,
                                    due->evictable, state_.lease.fencing};
    const auto answer = co_await state_.platform.SetCapacity(std::move(wanted));
    sizing::OnAnswer(planner, sizing_options_, *due, internal::AnswerOf(answer),
                     SuspendAwareNow());
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
         {"tokens_per_second", std::to_string(seen.tokens_per_second)},
         {"ms_per_token", std::to_string(seen.ms_per_token)},
         {"fencing", std::to_string(state_.lease.fencing)},
         {"answer", internal::NameOf(answer)}});
  }
}

/** Figures are fixed in the store before the first report, so that whoever
 * reports a window reports the same. */
asio::awaitable<std::optional<std::string>> duties::Freeze(
    metering::window_number window) {
  const auto key = internal::WindowKey(window);
  const auto own = metering::EncodeCounts(metering::Sum(state_.tally, window));
  infra::commit wanted;
  wanted.conditions.push_back({key, 0});
  wanted.writes.push_back({key, own});
  const bool removes = frozen_.size() >= internal::kRowsKept;
  if (removes) {
    wanted.writes.push_back(
        {internal::WindowKey(frozen_.front()), std::nullopt});
  }
  infra::request request = std::move(wanted);
  const auto reply = co_await state_.platform.Send(std::move(request));
  if (std::holds_alternative<infra::committed>(reply)) {
    if (removes) {
      frozen_.pop_front();
    }
    frozen_.push_back(window);
    co_return own;
  }
  if (!std::holds_alternative<infra::conflict>(reply)) {
    co_return std::nullopt;
  }
  infra::request read = infra::read_row{key};
  const auto present = co_await state_.platform.Send(std::move(read));
  if (const auto* found = std::get_if<infra::row_found>(&present)) {
    co_return found->found.value;
  }
  co_return std::nullopt;
}

asio::awaitable<void> duties::ReportWindow(metering::window_number window) {
  const auto figures = co_await Freeze(window);
  if (!figures || !MayAct()) {
    co_return;
  }
  infra::request report = infra::report_usage{std::to_string(window),
                                              state_.lease.fencing, *figures};
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
                  {"figures", *figures}});
  if (accepted) {
    reported_.insert(window);
  }
}

}  // namespace mimosadeck::edge
