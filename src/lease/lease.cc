#include "lease/lease.h"

#include <utility>

#include <boost/json.hpp>

namespace mimosadeck::lease {
namespace internal {
namespace {

namespace json = boost::json;

void BecomeFollower(contender& state) {
  state.current = role::follower;
  state.proposed.reset();
}

infra::request Commit(contender& state,
                      const options& settings,
                      const record& proposed) {
  state.proposed = proposed;
  infra::commit out;
  out.conditions.push_back({RowKey(settings.name), state.row_version});
  out.writes.push_back({RowKey(settings.name), EncodeRecord(proposed)});
  return out;
}

bool MayTakeOver(const contender& state,
                 const options& settings,
                 mono_time now,
                 bool is_holder_gone) {
  if (!state.last_record || state.last_record->released) {
    return true;
  }
  if (state.last_record->holder == state.self) {
    return true;
  }
  const bool is_expired =
      now - state.unchanged_since >= settings.term + settings.margin;
  if (settings.rule == takeover_rule::after_expiry) {
    return is_expired;
  }
  return is_expired && is_holder_gone;
}

std::optional<infra::request> TickHolder(contender& state,
                                         const options& settings,
                                         mono_time now) {
  if (now >= state.held_until) {
    BecomeFollower(state);
    state.unchanged_since = now;
    return infra::read_row{RowKey(settings.name)};
  }
  record next = *state.last_record;
  ++next.counter;
  next.fencing = state.fencing;
  next.released = state.wants_release;
  if (state.wants_release) {
    state.held_until = now;
  }
  return Commit(state, settings, next);
}

std::optional<infra::request> TickFollower(contender& state,
                                           const options& settings,
                                           mono_time now,
                                           bool is_holder_gone) {
  if (state.wants_release) {
    state.stopped = true;
    return std::nullopt;
  }
  if (!state.has_read_row ||
      !MayTakeOver(state, settings, now, is_holder_gone)) {
    return infra::read_row{RowKey(settings.name)};
  }
  record next;
  next.holder = state.self;
  next.fencing = state.last_record ? state.last_record->fencing : 0;
  next.counter = state.last_record ? state.last_record->counter + 1 : 1;
  return Commit(state, settings, next);
}

void UpdateRow(contender& state,
               const std::optional<record>& found,
               std::uint64_t version,
               mono_time now) {
  if (!state.has_read_row || state.row_version != version ||
      state.last_record != found) {
    state.unchanged_since = now;
  }
  state.has_read_row = true;
  state.last_record = found;
  state.row_version = version;
}

void OnCommitted(contender& state,
                 const options& settings,
                 std::uint64_t version,
                 mono_time now) {
  const record written = *state.proposed;
  const bool has_predecessor = state.last_record.has_value();
  state.proposed.reset();
  UpdateRow(state, written, version, now);
  if (written.released) {
    BecomeFollower(state);
    state.stopped = true;
    return;
  }
  if (state.current == role::follower) {
    state.current = role::holder;
    state.fencing = version;
    state.has_predecessor = has_predecessor;
  }
  state.held_until = state.sent_at + settings.term;
}

}  // namespace
}  // namespace internal

std::optional<infra::request> Tick(contender& state,
                                   const options& settings,
                                   mono_time now,
                                   bool is_holder_gone) {
  if (state.awaits_reply || state.stopped ||
      (now < state.next_request_at && !state.wants_release)) {
    return std::nullopt;
  }
  auto next =
      state.current == role::holder
          ? internal::TickHolder(state, settings, now)
          : internal::TickFollower(state, settings, now, is_holder_gone);
  if (next) {
    state.awaits_reply = true;
    state.sent_at = now;
  }
  return next;
}

void OnReply(contender& state,
             const options& settings,
             const infra::reply& reply,
             mono_time now) {
  state.awaits_reply = false;
  state.next_request_at = now + settings.retry_interval;
  if (const auto* done = std::get_if<infra::committed>(&reply);
      done && state.proposed) {
    const bool is_renewal = state.current == role::holder;
    internal::OnCommitted(state, settings, done->version, now);
    // The first renewal writes the fencing number to the row.
    state.next_request_at =
        is_renewal ? state.sent_at + settings.renew_interval : now;
    return;
  }
  if (const auto* found = std::get_if<infra::row_found>(&reply)) {
    internal::UpdateRow(state, DecodeRecord(found->found.value),
                        found->found.version, now);
    if (state.last_record && state.last_record->released) {
      state.next_request_at = now;
    }
    return;
  }
  if (std::holds_alternative<infra::row_absent>(reply)) {
    internal::UpdateRow(state, std::nullopt, 0, now);
    state.next_request_at = now;
    return;
  }
  if (std::holds_alternative<infra::conflict>(reply)) {
    // Another contender may have taken over.
    internal::BecomeFollower(state);
    state.has_read_row = false;
    state.next_request_at = now;
    return;
  }
  state.proposed.reset();
}

bool IsHeld(const contender& state, mono_time now) {
  return state.current == role::holder && now < state.held_until;
}

infra::condition FencingCondition(const contender& state,
                                  const options& settings) {
  return {RowKey(settings.name), state.row_version};
}

void Release(contender& state) {
  state.wants_release = true;
}

bool IsReleased(const contender& state) {
  return state.stopped;
}

acting_guard StartGuard(const acting_options& settings, mono_time now) {
  return {now + settings.cooldown, false};
}

void OnStoreReturned(contender& state,
                     acting_guard& guard,
                     const acting_options& settings,
                     mono_time now) {
  contender fresh;
  fresh.self = std::move(state.self);
  fresh.wants_release = state.wants_release;
  fresh.stopped = state.stopped;
  state = std::move(fresh);
  guard = StartGuard(settings, now);
}

lease_transition UpdateGuard(acting_guard& state,
                             const acting_options& settings,
                             const contender& lease,
                             mono_time now) {
  const bool is_held = IsHeld(lease, now);
  const bool was_held = std::exchange(state.was_held, is_held);
  if (was_held && !is_held) {
    state.cooldown_until = now + settings.cooldown;
    return lease_transition::lost;
  }
  return is_held && !was_held ? lease_transition::acquired
                              : lease_transition::none;
}

bool MayAct(const acting_guard& state,
            const acting_options& settings,
            const contender& lease,
            mono_time now) {
  return now >= state.cooldown_until && IsHeld(lease, now + settings.reserve);
}

std::string RowKey(std::string_view name) {
  return std::string("lease/").append(name);
}

std::string EncodeRecord(const record& value) {
  return boost::json::serialize(
      boost::json::object{{"holder", value.holder},
                          {"fencing", value.fencing},
                          {"counter", value.counter},
                          {"released", value.released}});
}

std::optional<record> DecodeRecord(std::string_view text) {
  boost::system::error_code failure;
  const auto parsed = boost::json::parse(text, failure);
  if (failure || !parsed.is_object()) {
    return std::nullopt;
  }
  const auto& object = parsed.as_object();
  return record{boost::json::value_to<std::string>(object.at("holder")),
                object.at("fencing").to_number<std::uint64_t>(),
                object.at("counter").to_number<std::uint64_t>(),
                object.at("released").as_bool()};
}

}  // namespace mimosadeck::lease
