#include "orders/orders.h"

#include <boost/json.hpp>

namespace mimosadeck::orders {
namespace internal {
namespace {

std::string IntentRow(const infra::place_order& order) {
  return IntentPrefix(order.data_centre) + order.order_id;
}

action ScanIntents(order_state& state, const options& settings) {
  state.step = phase::scanning_intents;
  state.open_orders.clear();
  return infra::request{infra::scan_rows{IntentPrefix(state.data_centre),
                                         IntentPrefix(state.data_centre),
                                         settings.intents_per_scan}};
}

action WriteIntent(order_state& state, const infra::condition& lease) {
  state.step = phase::writing_intent;
  infra::commit out;
  out.conditions.push_back(lease);
  out.writes.push_back(
      {IntentRow(*state.current), EncodeIntent(*state.current)});
  return infra::request{out};
}

action DeleteIntent(order_state& state, const infra::condition& lease) {
  state.step = phase::deleting_intent;
  infra::commit out;
  out.conditions.push_back(lease);
  out.writes.push_back({IntentRow(*state.current), std::nullopt});
  return infra::request{out};
}

action SendCurrent(order_state& state) {
  state.step = phase::sending_order;
  state.current->fencing = state.fencing;
  return send_order{*state.current};
}

std::optional<infra::place_order> NextOrder(order_state& state,
                                            const upstream_counts& upstreams,
                                            mono_time now) {
  for (const auto& [kind, count] : upstreams) {
    const auto settling = state.settling_until.find(kind);
    if (count.wanted == count.running ||
        (settling != state.settling_until.end() && now < settling->second)) {
      continue;
    }
    infra::place_order out;
    out.data_centre = state.data_centre;
    out.fencing = state.fencing;
    out.order_id = std::to_string(state.fencing) + "-" +
                   std::to_string(++state.last_order_number);
    out.kind = count.wanted > count.running ? infra::order_kind::start
                                            : infra::order_kind::stop;
    out.pool = kind.pool;
    out.cheaper = kind.cheaper;
    out.count = count.wanted > count.running ? count.wanted - count.running
                                             : count.running - count.wanted;
    return out;
  }
  return std::nullopt;
}

void RetryLater(order_state& state, const options& settings, mono_time now) {
  state.step = phase::idle;
  state.next_action_at = now + settings.retry_interval;
}

action OnScanned(order_state& state,
                 const options& settings,
                 const infra::reply& reply,
                 mono_time now) {
  RetryLater(state, settings, now);
  const auto* page = std::get_if<infra::rows_page>(&reply);
  if (!page) {
    return {};
  }
  for (const auto& row : page->rows) {
    if (auto order = DecodeIntent(row.value)) {
      state.open_orders.push_back(std::move(*order));
    }
  }
  state.intents_scanned = true;
  state.next_action_at = now;
  return {};
}

action OnOrdered(order_state& state,
                 const options& settings,
                 const infra::reply& reply,
                 const infra::condition& lease,
                 mono_time now) {
  const bool answered = std::holds_alternative<infra::order_accepted>(reply) ||
                        std::holds_alternative<infra::order_refused>(reply);
  if (!answered) {
    RetryLater(state, settings, now);
    return {};
  }
  state.settling_until[{state.current->pool, state.current->cheaper}] =
      now + settings.settle_time;
  return DeleteIntent(state, lease);
}

}  // namespace
}  // namespace internal

void BeginTerm(order_state& state,
               const options& settings,
               std::uint64_t fencing,
               bool has_predecessor,
               mono_time now) {
  state.no_new_orders_before =
      has_predecessor ? now + settings.settle_time : now;
  state.step = phase::idle;
  state.intents_scanned = false;
  state.fencing = fencing;
  state.last_order_number = 0;
  state.open_orders.clear();
  state.current.reset();
  state.intent_written = false;
}

action Tick(order_state& state,
            const options& settings,
            const infra::condition& lease,
            const upstream_counts& upstreams,
            mono_time now) {
  if (state.step != phase::idle || now < state.next_action_at) {
    return {};
  }
  if (!state.intents_scanned) {
    return internal::ScanIntents(state, settings);
  }
  if (state.current) {
    return state.intent_written ? internal::SendCurrent(state)
                                : internal::WriteIntent(state, lease);
  }
  if (!state.open_orders.empty()) {
    state.current = state.open_orders.back();
    state.open_orders.pop_back();
    state.intent_written = true;
    return internal::SendCurrent(state);
  }
  if (now < state.no_new_orders_before) {
    return {};
  }
  state.current = internal::NextOrder(state, upstreams, now);
  state.intent_written = false;
  if (!state.current) {
    return {};
  }
  return internal::WriteIntent(state, lease);
}

action OnReply(order_state& state,
               const options& settings,
               const infra::reply& reply,
               const infra::condition& lease,
               mono_time now) {
  switch (state.step) {
    case phase::scanning_intents:
      return internal::OnScanned(state, settings, reply, now);
    case phase::writing_intent:
      if (std::holds_alternative<infra::committed>(reply)) {
        state.intent_written = true;
        return internal::SendCurrent(state);
      }
      internal::RetryLater(state, settings, now);
      return {};
    case phase::sending_order:
      return internal::OnOrdered(state, settings, reply, lease, now);
    case phase::deleting_intent:
      state.current.reset();
      internal::RetryLater(state, settings, now);
      if (!std::holds_alternative<infra::committed>(reply)) {
        state.intents_scanned = false;
      }
      return {};
    case phase::idle:
      break;
  }
  return {};
}

void OnOrderNotSent(order_state& state) {
  state.step = phase::idle;
}

std::string EncodeIntent(const infra::place_order& value) {
  return infra::EncodeRequest(value);
}

std::optional<infra::place_order> DecodeIntent(std::string_view text) {
  const auto decoded = infra::DecodeRequest(text);
  if (!IsOk(decoded)) {
    return std::nullopt;
  }
  const auto* order =
      std::get_if<infra::place_order>(&std::get<infra::request>(decoded));
  return order ? std::optional(*order) : std::nullopt;
}

std::string IntentPrefix(std::string_view data_centre) {
  return std::string("orders/").append(data_centre).append("/");
}

}  // namespace mimosadeck::orders
