#include "mimosadeckd/leases.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace mimosadeck::daemon {
namespace internal {
namespace {

constexpr std::chrono::milliseconds kTickInterval{100};
constexpr std::chrono::milliseconds kDataCentreScanInterval{500};
constexpr std::chrono::milliseconds kHandOverTimeout{5000};
constexpr int kTermDivisor = 3;
constexpr std::size_t kMaxContenders = 2;

lease::options MakeLeaseOptions(const settings::daemon_settings& settings,
                                const std::string& name) {
  lease::options out;
  out.name = name;
  out.term = settings.lease_term;
  out.margin = settings.lease_term / kTermDivisor;
  out.renew_interval = settings.lease_term / kTermDivisor;
  out.rule = settings.targets_check_fencing
                 ? lease::takeover_rule::after_expiry
                 : lease::takeover_rule::after_vm_removal;
  return out;
}

}  // namespace
}  // namespace internal

leases::leases(control_state& state) : state_(state) {
  billing_.contender.self = state.incarnation;
  billing_.options = internal::MakeLeaseOptions(state.settings, "billing");
}

void leases::Start() {
  asio::co_spawn(state_.io, LeaseLoop(billing_), asio::detached);
  asio::co_spawn(state_.io, BillingLoop(), asio::detached);
  asio::co_spawn(state_.io, DataCentreLoop(), asio::detached);
}

bool leases::HolderDeparted(const contended_lease& contended) const {
  const auto& seen = contended.contender.last_record;
  if (!seen) {
    return false;
  }
  const auto* member = FindMember(state_, seen->holder);
  const bool replaced =
      !member && state_.view.members.contains(
                     seen->holder.substr(0, seen->holder.rfind('#')));
  return replaced || (member && member->off_list);
}

bool leases::MayContend(const contended_lease& contended) const {
  if (contended.contender.current == lease::role::holder ||
      contended.contender.wants_release) {
    return true;
  }
  const auto contenders =
      ownership::Rank(lease::RowKey(contended.options.name),
                      OwnerCandidates(state_), internal::kMaxContenders);
  return std::find(contenders.begin(), contenders.end(), state_.settings.id) !=
         contenders.end();
}

asio::awaitable<void> leases::LeaseLoop(contended_lease& contended) {
  ++active_loops_;
  while (!state_.stopping && !lease::IsReleased(contended.contender)) {
    if (!MayContend(contended)) {
      co_await Sleep(internal::kTickInterval);
      continue;
    }
    auto request = lease::Tick(contended.contender, contended.options, Now(),
                               HolderDeparted(contended));
    if (request) {
      const auto reply = co_await state_.platform.Send(std::move(*request));
      lease::OnReply(contended.contender, contended.options, reply, Now());
    }
    co_await Sleep(internal::kTickInterval);
  }
  --active_loops_;
}

asio::awaitable<void> leases::DataCentreLoop() {
  while (!state_.stopping) {
    for (const auto& target :
         settings::ListUpstreamTargets(state_.replica.current)) {
      auto& ordering = orderings_[target.data_centre];
      if (ordering || state_.draining) {
        continue;
      }
      ordering = std::make_unique<data_centre_ordering>();
      ordering->lease.contender.self = state_.incarnation;
      ordering->lease.options = internal::MakeLeaseOptions(
          state_.settings, "orders/" + target.data_centre);
      ordering->order_state.data_centre = target.data_centre;
      asio::co_spawn(state_.io, LeaseLoop(ordering->lease), asio::detached);
      asio::co_spawn(state_.io, OrderLoop(target.data_centre), asio::detached);
    }
    co_await Sleep(internal::kDataCentreScanInterval);
  }
}

orders::upstream_counts leases::CountUpstreams(
    const std::string& data_centre) const {
  orders::upstream_counts out;
  for (const auto& target :
       settings::ListUpstreamTargets(state_.replica.current)) {
    if (target.data_centre == data_centre) {
      out[{target.pool, false}].wanted = target.standard;
      out[{target.pool, true}].wanted = target.cheaper;
    }
  }
  for (const auto& item : state_.vms) {
    const auto found = out.find({item.pool, item.cheaper});
    if (item.data_centre == data_centre && found != out.end() &&
        item.state == infra::vm_state::live) {
      ++found->second.running;
    }
  }
  return out;
}

asio::awaitable<void> leases::OrderLoop(std::string data_centre) {
  auto& ordering = *orderings_.at(data_centre);
  while (!state_.stopping) {
    if (lease::IsHeld(ordering.lease.contender, Now()) && !state_.draining) {
      co_await RunOrderRound(ordering);
    }
    co_await Sleep(internal::kTickInterval);
  }
}

asio::awaitable<void> leases::RunOrderRound(data_centre_ordering& ordering) {
  auto& contender = ordering.lease.contender;
  if (ordering.fencing != contender.fencing) {
    ordering.fencing = contender.fencing;
    orders::BeginTerm(ordering.order_state, order_options_, contender.fencing,
                      contender.has_predecessor, Now());
  }
  auto next =
      orders::Tick(ordering.order_state, order_options_,
                   lease::FencingCondition(contender, ordering.lease.options),
                   CountUpstreams(ordering.order_state.data_centre), Now());
  while (!std::holds_alternative<std::monostate>(next)) {
    infra::reply reply;
    if (const auto* order = std::get_if<orders::send_order>(&next)) {
      if (!lease::IsHeld(contender, Now()) ||
          contender.fencing != ordering.fencing) {
        orders::OnOrderNotSent(ordering.order_state);
        co_return;
      }
      telemetry::Log(telemetry::level::info, "order_sent",
                     {{"data_centre", order->order.data_centre},
                      {"order", order->order.order_id},
                      {"pool", order->order.pool}});
      infra::request request = order->order;
      reply = co_await state_.platform.Send(std::move(request));
    } else {
      auto request = std::get<infra::request>(std::move(next));
      reply = co_await state_.platform.Send(std::move(request));
    }
    next = orders::OnReply(
        ordering.order_state, order_options_, reply,
        lease::FencingCondition(contender, ordering.lease.options), Now());
  }
}

asio::awaitable<void> leases::BillingLoop() {
  mono_time window_due_at = Now() + state_.settings.billing_window;
  while (!state_.stopping) {
    if (lease::IsHeld(billing_.contender, Now())) {
      const bool due = Now() >= window_due_at;
      if (due) {
        window_due_at = Now() + state_.settings.billing_window;
      }
      bool again = co_await RunBillingRound(due);
      while (again && lease::IsHeld(billing_.contender, Now())) {
        again = co_await RunBillingRound(false);
      }
    }
    co_await Sleep(internal::kTickInterval);
  }
}

asio::awaitable<bool> leases::RunBillingRound(bool window_due) {
  usage::biller biller;
  const auto& contender = billing_.contender;
  infra::request request = usage::BeginBilling(biller);
  while (true) {
    const auto reply = co_await state_.platform.Send(std::move(request));
    auto next = usage::OnBillingReply(
        biller, reply, lease::FencingCondition(contender, billing_.options),
        contender.fencing, window_due);
    if (const auto* report = std::get_if<usage::billing_report>(&next)) {
      if (!lease::IsHeld(contender, Now())) {
        co_return false;
      }
      request = report->report;
    } else if (auto* more = std::get_if<infra::request>(&next)) {
      request = std::move(*more);
    } else if (const auto* done = std::get_if<usage::billing_done>(&next)) {
      co_return done->run_again;
    } else {
      const auto& refused = std::get<usage::billing_refused>(next);
      telemetry::Log(telemetry::level::error, "usage_report_refused",
                     {{"window", refused.window}, {"reason", refused.reason}});
      co_return false;
    }
  }
}

asio::awaitable<void> leases::HandOver() {
  lease::Release(billing_.contender);
  for (auto& [unused, ordering] : orderings_) {
    lease::Release(ordering->lease.contender);
  }
  const auto deadline = Now() + internal::kHandOverTimeout;
  while (active_loops_ > 0 && Now() < deadline) {
    co_await Sleep(internal::kTickInterval);
  }
}

std::vector<std::string> leases::ListHeld() const {
  std::vector<std::string> out;
  const auto now = Now();
  if (lease::IsHeld(billing_.contender, now)) {
    out.push_back(billing_.options.name);
  }
  for (const auto& [unused, ordering] : orderings_) {
    if (lease::IsHeld(ordering->lease.contender, now)) {
      out.push_back(ordering->lease.options.name);
    }
  }
  return out;
}

}  // namespace mimosadeck::daemon
