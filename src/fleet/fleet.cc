#include "fleet/fleet.h"

#include <algorithm>

#include "base/base.h"

namespace mimosadeck::fleet {
namespace internal {
namespace {

bool IsOlder(const wire::digest& a, const wire::digest& b) {
  return a.incarnation() != b.incarnation() ? a.incarnation() < b.incarnation()
                                            : a.sequence() <= b.sequence();
}

bool TakesCallers(const member& of) {
  return of.last.ready() && !of.last.leaving();
}

std::vector<const member*> Listable(const members& state,
                                    const options& settings,
                                    mono_time now) {
  std::vector<const member*> live;
  std::vector<const member*> remembered;
  for (const auto& [name, found] : state.by_name) {
    if (!TakesCallers(found) ||
        now - found.heard_at > settings.remembered_for) {
      continue;
    }
    remembered.push_back(&found);
    if (IsLive(state, found, settings, now)) {
      live.push_back(&found);
    }
  }
  return live.size() * 2 < remembered.size() ? remembered : live;
}

}  // namespace
}  // namespace internal

bool OnDigest(members& state,
              wire::digest received,
              const std::string& peer_address,
              wall_time wall,
              mono_time now) {
  auto& slot = state.by_name[received.name()];
  if (!slot.peer_address.empty() && internal::IsOlder(received, slot.last)) {
    return false;
  }
  // Counts of billing windows are sent in some digests only.
  if (received.windows_size() == 0 &&
      received.incarnation() == slot.last.incarnation()) {
    received.mutable_windows()->Swap(slot.last.mutable_windows());
  }
  const auto own = std::chrono::duration_cast<std::chrono::milliseconds>(
      wall.time_since_epoch());
  slot.clock_ahead = std::chrono::milliseconds(received.wall_ms()) - own;
  slot.last = std::move(received);
  slot.peer_address = peer_address;
  slot.heard_at = now;
  return true;
}

void Tick(members& state, const options& settings, mono_time now) {
  std::erase_if(state.by_name, [&](const auto& each) {
    return now - each.second.heard_at > settings.forgotten_after;
  });
}

std::chrono::milliseconds DigestInterval(const members& state,
                                         const options& settings) {
  const auto size = std::max(state.by_name.size() + 1, settings.dense_fleet);
  return settings.shortest_interval * size / settings.dense_fleet;
}

std::chrono::milliseconds LiveFor(const members& state,
                                  const options& settings) {
  return DigestInterval(state, settings) * settings.missed_digests +
         settings.live_slack;
}

bool IsLive(const members& state,
            const member& of,
            const options& settings,
            mono_time now) {
  return now - of.heard_at <= LiveFor(state, settings);
}

std::vector<const member*> Live(const members& state,
                                const options& settings,
                                mono_time now) {
  std::vector<const member*> out;
  for (const auto& [name, found] : state.by_name) {
    if (IsLive(state, found, settings, now) && !found.last.leaving()) {
      out.push_back(&found);
    }
  }
  return out;
}

std::chrono::milliseconds ClockCorrection(const members& state,
                                          const options& settings,
                                          mono_time now) {
  std::vector<std::chrono::milliseconds> ahead{std::chrono::milliseconds(0)};
  for (const auto* each : Live(state, settings, now)) {
    ahead.push_back(each->clock_ahead);
  }
  const auto middle =
      ahead.begin() + static_cast<std::ptrdiff_t>(ahead.size() / 2);
  std::nth_element(ahead.begin(), middle, ahead.end());
  return *middle;
}

std::vector<std::string> AddressesFor(const members& state,
                                      const options& settings,
                                      const self_entry& self,
                                      std::string_view data_centre,
                                      std::size_t most,
                                      mono_time now) {
  std::vector<std::string> near;
  std::vector<std::string> far;
  if (self.ready) {
    (self.data_centre == data_centre ? near : far)
        .push_back(self.caller_address);
  }
  for (const auto* each : internal::Listable(state, settings, now)) {
    (each->last.data_centre() == data_centre ? near : far)
        .push_back(each->last.caller_address());
  }
  if (near.size() < 2) {
    near.insert(near.end(), far.begin(), far.end());
  }
  near.resize(std::min(near.size(), most));
  return near;
}

bool IsLeaseHeldElsewhere(const members& state,
                          const options& settings,
                          mono_time now) {
  const auto live = Live(state, settings, now);
  return std::any_of(live.begin(), live.end(),
                     [](const auto* each) { return each->last.fencing() > 0; });
}

std::vector<const member*> CountTakers(const members& state,
                                       const options& settings,
                                       std::size_t most,
                                       mono_time now) {
  auto live = Live(state, settings, now);
  std::sort(live.begin(), live.end(), [](const auto* a, const auto* b) {
    return Hash64(a->last.name()) < Hash64(b->last.name());
  });
  std::vector<const member*> out;
  for (const auto* each : live) {
    const bool contends = each->last.ready() && out.size() < most;
    if (contends || each->last.fencing() > 0) {
      out.push_back(each);
    }
  }
  return out;
}

std::size_t ContentionRank(const members& state,
                           const options& settings,
                           std::string_view self,
                           mono_time now) {
  const auto own = Hash64(self);
  std::size_t before = 0;
  for (const auto* each : Live(state, settings, now)) {
    if (each->last.ready() && Hash64(each->last.name()) < own) {
      ++before;
    }
  }
  return before;
}

}  // namespace mimosadeck::fleet
