#include "membership/membership.h"

#include <algorithm>
#include <bit>

namespace mimosadeck::membership {
namespace internal {
namespace {

bool IsNewer(const member& update, const member& stored) {
  if (update.incarnation != stored.incarnation) {
    return update.incarnation > stored.incarnation;
  }
  if (update.heartbeat != stored.heartbeat) {
    return update.heartbeat > stored.heartbeat;
  }
  return update.state > stored.state || (update.leaving && !stored.leaving);
}

std::uint32_t RetransmitCount(const view& state, const options& settings) {
  return settings.retransmit_factor *
         static_cast<std::uint32_t>(std::bit_width(state.members.size()));
}

void SetState(view& state,
              const options& settings,
              member& entry,
              member_state next,
              mono_time now) {
  if (entry.state == next) {
    return;
  }
  entry.state = next;
  entry.changed_at = now;
  entry.retransmits_left = RetransmitCount(state, settings);
}

void ShuffleProbeOrder(view& state, std::mt19937_64& random) {
  state.probe_order.clear();
  for (const auto& [id, entry] : state.members) {
    if (id != state.self && !entry.off_list) {
      state.probe_order.push_back(id);
    }
  }
  std::shuffle(state.probe_order.begin(), state.probe_order.end(), random);
  state.next_probe = 0;
}

void RecordProbe(view& state, bool answered) {
  const std::size_t others =
      state.members.size() > 1 ? state.members.size() - 1 : 1;
  state.recent_probes.push_back(answered);
  while (state.recent_probes.size() > std::min(kMajoritySampleSize, others)) {
    state.recent_probes.pop_front();
  }
}

void RefuteSuspicion(view& state,
                     const options& settings,
                     const member& update) {
  auto& self = state.members.at(state.self);
  if (update.incarnation == self.incarnation &&
      update.state != member_state::alive &&
      update.heartbeat >= self.heartbeat) {
    self.heartbeat = update.heartbeat + 1;
    self.retransmits_left = RetransmitCount(state, settings);
  }
}

}  // namespace
}  // namespace internal

void Join(view& state, const member& self, mono_time now) {
  state.self = self.id;
  member entry = self;
  entry.changed_at = now;
  state.members[self.id] = std::move(entry);
}

std::vector<std::string> Tick(view& state,
                              const options& settings,
                              mono_time now,
                              std::mt19937_64& random) {
  if (now < state.next_round) {
    return {};
  }
  state.next_round = now + settings.interval;
  for (auto& [unused, entry] : state.members) {
    if (entry.state == member_state::suspect &&
        now - entry.changed_at >= settings.suspicion_timeout) {
      internal::SetState(state, settings, entry, member_state::dead, now);
    }
  }
  std::vector<std::string> targets;
  for (std::size_t i = 0; i < settings.fanout; ++i) {
    if (state.next_probe >= state.probe_order.size()) {
      if (!targets.empty()) {
        break;
      }
      internal::ShuffleProbeOrder(state, random);
    }
    if (state.next_probe < state.probe_order.size()) {
      targets.push_back(state.probe_order[state.next_probe++]);
    }
  }
  return targets;
}

void OnProbeAnswered(view& state,
                     const options& settings,
                     std::string_view id,
                     mono_time now) {
  internal::RecordProbe(state, true);
  const auto found = state.members.find(id);
  if (found == state.members.end()) {
    return;
  }
  found->second.failures = 0;
  internal::SetState(state, settings, found->second, member_state::alive, now);
}

void OnProbeFailed(view& state,
                   const options& settings,
                   std::string_view id,
                   mono_time now) {
  internal::RecordProbe(state, false);
  const auto found = state.members.find(id);
  if (found == state.members.end()) {
    return;
  }
  ++found->second.failures;
  if (found->second.failures >= settings.failures_until_suspect &&
      found->second.state == member_state::alive) {
    internal::SetState(state, settings, found->second, member_state::suspect,
                       now);
  }
}

std::vector<member> SelectUpdates(view& state, const options& settings) {
  std::vector<member*> pending;
  for (auto& [id, entry] : state.members) {
    if (id != state.self && entry.retransmits_left > 0) {
      pending.push_back(&entry);
    }
  }
  const auto count = std::min(settings.updates_per_message, pending.size());
  std::partial_sort(pending.begin(),
                    pending.begin() + static_cast<std::ptrdiff_t>(count),
                    pending.end(), [](const member* a, const member* b) {
                      return a->retransmits_left != b->retransmits_left
                                 ? a->retransmits_left > b->retransmits_left
                                 : a->id < b->id;
                    });
  std::vector<member> out{state.members.at(state.self)};
  for (std::size_t i = 0; i < count; ++i) {
    --pending[i]->retransmits_left;
    out.push_back(*pending[i]);
  }
  return out;
}

bool OnUpdate(view& state,
              const options& settings,
              const member& update,
              mono_time now) {
  if (update.id == state.self) {
    internal::RefuteSuspicion(state, settings, update);
    return false;
  }
  const auto found = state.members.find(update.id);
  const bool is_known = found != state.members.end();
  if (is_known && !internal::IsNewer(update, found->second)) {
    return false;
  }
  member next = update;
  next.changed_at = now;
  next.failures = 0;
  next.retransmits_left = internal::RetransmitCount(state, settings);
  next.off_list = is_known && found->second.off_list;
  if (is_known && found->second.incarnation == update.incarnation) {
    next.leaving = next.leaving || found->second.leaving;
  }
  state.members[update.id] = std::move(next);
  return true;
}

void Leave(view& state, const options& settings) {
  auto& self = state.members.at(state.self);
  self.leaving = true;
  ++self.heartbeat;
  self.retransmits_left = internal::RetransmitCount(state, settings);
}

void Depart(view& state) {
  auto& self = state.members.at(state.self);
  self.state = member_state::dead;
  ++self.heartbeat;
}

void OnVmList(view& state,
              const std::set<std::string>& live,
              const std::set<std::string>& leaving,
              mono_time now) {
  for (auto& [id, entry] : state.members) {
    if (leaving.contains(id)) {
      entry.leaving = true;
    }
    const bool listed = live.contains(id) || leaving.contains(id);
    if (!listed && !entry.off_list) {
      entry.changed_at = now;
    }
    entry.off_list = !listed && id != state.self;
  }
  std::erase_if(state.members, [&](const auto& item) {
    constexpr std::chrono::minutes kOffListRetention{10};
    return item.second.off_list &&
           now - item.second.changed_at > kOffListRetention;
  });
}

member_state StateOf(const view& state, std::string_view id) {
  const auto found = state.members.find(id);
  return found == state.members.end() ? member_state::dead
                                      : found->second.state;
}

std::vector<member> Eligible(const view& state) {
  std::vector<member> out;
  for (const auto& [id, entry] : state.members) {
    if (!entry.leaving && !entry.off_list &&
        entry.state == member_state::alive) {
      out.push_back(entry);
    }
  }
  return out;
}

bool ReachesMajority(const view& state) {
  const auto answered = static_cast<std::size_t>(
      std::count(state.recent_probes.begin(), state.recent_probes.end(), true));
  return (answered + 1) * 2 > state.recent_probes.size() + 1;
}

}  // namespace mimosadeck::membership
