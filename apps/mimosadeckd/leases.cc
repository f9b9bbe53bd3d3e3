#include "mimosadeckd/leases.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace mimosadeck::daemon {
namespace internal {
namespace {

constexpr std::chrono::milliseconds kTickInterval{100};
constexpr std::chrono::milliseconds kCentresInterval{500};
constexpr std::chrono::milliseconds kHandOverLimit{5000};
constexpr int kTermParts = 3;
constexpr std::size_t kContenders = 2;

lease::options OptionsFor(const settings::daemon_settings& settings,
                          const std::string& name) {
  lease::options out;
  out.name = name;
  out.term = settings.lease_term;
  out.margin = settings.lease_term / kTermParts;
  out.renew_interval = settings.lease_term / kTermParts;
  out.rule = settings.targets_check_fencing
                 ? lease::takeover_rule::after_expiry
                 : lease::takeover_rule::after_vm_removal;
  return out;
}

}  // namespace
}  // namespace internal

leases::leases(control& state) : state_(state) {
  billing_.contender.self = state.incarnation;
  billing_.options = internal::OptionsFor(state.settings, "billing");
}

void leases::Start() {
  asio::co_spawn(state_.io, LeaseLoop(billing_), asio::detached);
  asio::co_spawn(state_.io, BillingLoop(), asio::detached);
  asio::co_spawn(state_.io, CentresLoop(), asio::detached);
}

bool leases::HolderDeparted(const held_lease& entry) const {
  const auto& seen = entry.contender.last_record;
  if (!seen) {
    return false;
  }
  const auto* member = FindMember(state_, seen->holder);
  const bool replaced =
      !member && state_.view.members.contains(
                     seen->holder.substr(0, seen->holder.rfind('#')));
  return replaced || (member && member->off_list);
}

bool leases::MayContend(const held_lease& entry) const {
  if (entry.contender.current == lease::role::holder ||
      entry.contender.wants_release) {
    return true;
  }
  const auto contenders =
      ownership::Rank(lease::RowKey(entry.options.name), Candidates(state_),
                      internal::kContenders);
  return std::find(contenders.begin(), contenders.end(), state_.settings.id) !=
         contenders.end();
}

asio::awaitable<void> leases::LeaseLoop(held_lease& entry) {
  ++active_loops_;
  while (!state_.stopping && !lease::IsReleased(entry.contender)) {
    if (!MayContend(entry)) {
      co_await Sleep(internal::kTickInterval);
      continue;
    }
    auto request = lease::Tick(entry.contender, entry.options, Now(),
                               HolderDeparted(entry));
    if (request) {
      const auto reply = co_await state_.platform.Send(std::move(*request));
      lease::OnReply(entry.contender, entry.options, reply, Now());
    }
    co_await Sleep(internal::kTickInterval);
  }
  --active_loops_;
}

asio::awaitable<void> leases::CentresLoop() {
  while (!state_.stopping) {
    for (const auto& target :
         settings::ListUpstreamTargets(state_.replica.current)) {
      auto& entry = centres_[target.data_centre];
      if (entry || state_.draining) {
        continue;
      }
      entry = std::make_unique<centre>();
      entry->lease.contender.self = state_.incarnation;
      entry->lease.options =
          internal::OptionsFor(state_.settings, "orders/" + target.data_centre);
      entry->order_state.data_centre = target.data_centre;
      asio::co_spawn(state_.io, LeaseLoop(entry->lease), asio::detached);
      asio::co_spawn(state_.io, OrdersLoop(target.data_centre), asio::detached);
    }
    co_await Sleep(internal::kCentresInterval);
  }
}

orders::upstream_counts leases::CountUpstreams(const std::string& name) const {
  orders::upstream_counts out;
  for (const auto& target :
       settings::ListUpstreamTargets(state_.replica.current)) {
    if (target.data_centre == name) {
      out[{target.pool, false}].wanted = target.standard;
      out[{target.pool, true}].wanted = target.cheaper;
    }
  }
  for (const auto& item : state_.vms) {
    const auto found = out.find({item.pool, item.cheaper});
    if (item.data_centre == name && found != out.end() &&
        item.state == infra::vm_state::live) {
      ++found->second.running;
    }
  }
  return out;
}

asio::awaitable<void> leases::OrdersLoop(std::string name) {
  auto& entry = *centres_.at(name);
  while (!state_.stopping) {
    if (lease::IsHeld(entry.lease.contender, Now()) && !state_.draining) {
      co_await OrderRound(entry);
    }
    co_await Sleep(internal::kTickInterval);
  }
}

asio::awaitable<void> leases::OrderRound(centre& entry) {
  auto& contender = entry.lease.contender;
  if (entry.term != contender.fencing) {
    entry.term = contender.fencing;
    orders::BeginTerm(entry.order_state, order_options_, contender.fencing,
                      Now());
  }
  auto next =
      orders::Tick(entry.order_state, order_options_,
                   lease::FencingCondition(contender, entry.lease.options),
                   CountUpstreams(entry.order_state.data_centre), Now());
  while (!std::holds_alternative<std::monostate>(next)) {
    infra::reply reply;
    if (const auto* order = std::get_if<orders::send_order>(&next)) {
      if (!lease::IsHeld(contender, Now()) || contender.fencing != entry.term) {
        orders::OnOrderNotSent(entry.order_state);
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
        entry.order_state, order_options_, reply,
        lease::FencingCondition(contender, entry.lease.options), Now());
  }
}

asio::awaitable<void> leases::BillingLoop() {
  mono_time window_at = Now() + state_.settings.billing_window;
  while (!state_.stopping) {
    if (lease::IsHeld(billing_.contender, Now())) {
      const bool due = Now() >= window_at;
      if (due) {
        window_at = Now() + state_.settings.billing_window;
      }
      bool again = co_await BillingRound(due);
      while (again && lease::IsHeld(billing_.contender, Now())) {
        again = co_await BillingRound(false);
      }
    }
    co_await Sleep(internal::kTickInterval);
  }
}

asio::awaitable<bool> leases::BillingRound(bool window_due) {
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
  for (auto& [unused, entry] : centres_) {
    lease::Release(entry->lease.contender);
  }
  const auto give_up = Now() + internal::kHandOverLimit;
  while (active_loops_ > 0 && Now() < give_up) {
    co_await Sleep(internal::kTickInterval);
  }
}

std::vector<std::string> leases::Held() const {
  std::vector<std::string> out;
  const auto now = Now();
  if (lease::IsHeld(billing_.contender, now)) {
    out.push_back(billing_.options.name);
  }
  for (const auto& [unused, entry] : centres_) {
    if (lease::IsHeld(entry->lease.contender, now)) {
      out.push_back(entry->lease.options.name);
    }
  }
  return out;
}

}  // namespace mimosadeck::daemon
