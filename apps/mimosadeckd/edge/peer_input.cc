#include "mimosadeckd/edge/peer_input.h"

#include "net/address.h"
#include "telemetry/telemetry.h"

namespace mimosadeck::edge {
namespace internal {
namespace {

/** @brief Returns whether a copied registration names an upstream to use. */
bool IsUsable(const wire::upstream_entry& copied) {
  return !copied.id().empty() && copied.slots() > 0 &&
         net::IsRemoteEndpoint(copied.address());
}

registry::copied Decode(const wire::upstream_entry& from) {
  registry::copied out;
  out.entry.id = from.id();
  out.entry.service = from.service();
  out.entry.address = from.address();
  out.entry.data_centre = from.data_centre();
  out.entry.slots = from.slots();
  out.entry.draining = from.draining();
  out.entry.evictable = from.evictable();
  out.entry.started_at_ms = from.started_at_ms();
  out.entry.cold_for = std::chrono::milliseconds(from.cold_ms());
  out.version = registry::store_version{from.version()};
  if (from.has_dropped_after_ms()) {
    out.dropped_after = std::chrono::milliseconds(from.dropped_after_ms());
  }
  if (from.has_held_back_ms()) {
    out.held_back_for = std::chrono::milliseconds(from.held_back_ms());
  }
  return out;
}

}  // namespace
}  // namespace internal

void LogOddAddress(std::string_view origin, std::string_view field) {
  telemetry::Log(telemetry::level::warning, "peer_address_refused",
                 {{"origin", origin}, {"field", field}});
}

void ClearOddAddresses(wire::digest& record) {
  const auto& callers = record.caller_address();
  if (!callers.empty() && !net::IsRemoteEndpoint(callers)) {
    LogOddAddress(record.name(), "caller_address");
    record.clear_caller_address();
  }
  const auto& control = record.control_address();
  if (!control.empty() && !net::IsRemoteEndpoint(control)) {
    LogOddAddress(record.name(), "control_address");
    record.clear_control_address();
  }
}

void DropOddMembers(wire::summary& received) {
  auto& members = *received.mutable_members();
  for (int i = members.size() - 1; i >= 0; --i) {
    if (net::IsRemoteEndpoint(members.Get(i).peer_address())) {
      ClearOddAddresses(*members.Mutable(i)->mutable_record());
    } else {
      LogOddAddress(received.relay(), "peer_address");
      members.DeleteSubrange(i, 1);
    }
  }
}

registry::update DecodeRegistry(const wire::upstream_registry& received,
                                std::string_view origin) {
  registry::update update;
  update.since = registry::store_version{received.since()};
  update.version = registry::store_version{received.version()};
  update.changed_version = registry::store_version{received.changed_version()};
  update.gone.assign(received.gone().begin(), received.gone().end());
  for (const auto& upstream : received.entries()) {
    if (internal::IsUsable(upstream)) {
      update.updated.push_back(internal::Decode(upstream));
      continue;
    }
    telemetry::Log(telemetry::level::warning, "upstream_copy_refused",
                   {{"upstream", upstream.id()}, {"origin", origin}});
    update.gone.push_back(upstream.id());
  }
  return update;
}

}  // namespace mimosadeck::edge
