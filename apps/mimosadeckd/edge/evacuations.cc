#include "mimosadeckd/edge/evacuations.h"

#include <algorithm>

namespace mimosadeck::edge {
namespace internal {
namespace {

constexpr std::string_view kStore = "store";

bool HasUpstreams(const edge_state& state, std::string_view data_centre) {
  const auto& all = state.upstreams.by_id;
  return std::any_of(all.begin(), all.end(), [data_centre](const auto& item) {
    return item.second.entry->data_centre == data_centre;
  });
}

void OnChanged(edge_state& state,
               const std::vector<std::string>& data_centres,
               std::string_view origin) {
  for (const auto& data_centre : data_centres) {
    if (evacuation::IsEvacuated(state.evacuations, data_centre)) {
      telemetry::Log(
          telemetry::level::info, "evacuation_began",
          {{"data_centre", data_centre},
           {"origin", origin},
           {"has_upstreams", HasUpstreams(state, data_centre) ? "yes" : "no"}});
    } else {
      telemetry::Log(telemetry::level::info, "evacuation_ended",
                     {{"data_centre", data_centre}, {"origin", origin}});
    }
  }
  if (!data_centres.empty()) {
    RefreshPools(state);
  }
}

}  // namespace
}  // namespace internal

void ApplyEvacuations(edge_state& state,
                      const platform::operator_update& update) {
  for (const auto& key : update.unreadable) {
    telemetry::Log(
        telemetry::level::warning, "evacuation_unreadable",
        {{"key", key},
         {"code",
          std::to_string(static_cast<int>(result_code::bad_argument))}});
  }
  std::vector<std::string> changed;
  if (update.is_listing) {
    changed = evacuation::ApplyListing(
        state.evacuations, state.evacuation_options, update.evacuations,
        update.version, SuspendAwareNow());
  } else {
    for (const auto& each : update.evacuations) {
      if (evacuation::Apply(state.evacuations, state.evacuation_options,
                            each)) {
        changed.push_back(each.data_centre);
      }
    }
  }
  internal::OnChanged(state, changed, internal::kStore);
}

void MergeEvacuations(
    edge_state& state,
    const google::protobuf::RepeatedPtrField<wire::evacuation>& received,
    std::string_view origin) {
  std::vector<std::string> changed;
  for (const auto& each : received) {
    if (!each.data_centre().empty() &&
        evacuation::Apply(
            state.evacuations, state.evacuation_options,
            {each.data_centre(), registry::store_version{each.version()},
             each.active()})) {
      changed.push_back(each.data_centre());
    }
  }
  internal::OnChanged(state, changed, origin);
}

void AddEvacuations(const edge_state& state,
                    google::protobuf::RepeatedPtrField<wire::evacuation>& out) {
  for (auto& known : evacuation::Statements(state.evacuations)) {
    auto& encoded = *out.Add();
    encoded.set_data_centre(std::move(known.data_centre));
    encoded.set_version(registry::ToInteger(known.version));
    encoded.set_active(known.active);
  }
}

void EndLostEvacuations(edge_state& state) {
  const auto ended = evacuation::Tick(state.evacuations, SuspendAwareNow());
  internal::OnChanged(state, ended, internal::kStore);
}

}  // namespace mimosadeck::edge
