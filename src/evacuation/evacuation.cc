#include "evacuation/evacuation.h"

#include <algorithm>

namespace mimosadeck::evacuation {
namespace internal {
namespace {

/** @brief Makes room for another record by removing the oldest one that is not
 * active. @return False if all are active. */
bool MakeRoom(evacuation_table& state, const options& settings) {
  if (state.by_data_centre.size() < settings.max_records) {
    return true;
  }
  auto oldest = state.by_data_centre.end();
  for (auto item = state.by_data_centre.begin();
       item != state.by_data_centre.end(); ++item) {
    const bool is_older = oldest == state.by_data_centre.end() ||
                          item->second.version < oldest->second.version;
    if (!item->second.active && is_older) {
      oldest = item;
    }
  }
  if (oldest == state.by_data_centre.end()) {
    return false;
  }
  state.by_data_centre.erase(oldest);
  return true;
}

/** @brief Ends an evacuation that a listing lacks. @return True if it ended at
 * once. */
bool EndUnlisted(record& known,
                 registry::store_version version,
                 const std::optional<mono_time>& ends_at) {
  if (ends_at) {
    known.ends_at = ends_at;
    known.ended_version = version;
    return false;
  }
  known.active = false;
  known.version = version;
  known.ends_at.reset();
  return true;
}

}  // namespace
}  // namespace internal

bool Apply(evacuation_table& state,
           const options& settings,
           const statement& received) {
  auto found = state.by_data_centre.find(received.data_centre);
  if (found == state.by_data_centre.end()) {
    if (!internal::MakeRoom(state, settings)) {
      return false;
    }
    found = state.by_data_centre.emplace(received.data_centre, record{}).first;
  }
  auto& known = found->second;
  if (received.version <= known.version) {
    return false;
  }
  const bool changed = known.active != received.active;
  known = {received.version, received.active, std::nullopt, {}};
  return changed;
}

std::vector<std::string> ApplyListing(evacuation_table& state,
                                      const options& settings,
                                      const std::vector<statement>& listing,
                                      registry::store_version version,
                                      mono_time now) {
  std::vector<std::string> changed;
  if (version < state.listed_at) {
    return changed;
  }
  const bool begins_era =
      state.listed_at != registry::store_version{} &&
      registry::EraOf(version) > registry::EraOf(state.listed_at);
  state.listed_at = version;
  for (const auto& listed : listing) {
    if (Apply(state, settings, listed)) {
      changed.push_back(listed.data_centre);
    }
  }
  std::optional<mono_time> ends_at;
  if (begins_era) {
    ends_at = now + settings.rewrite_time;
  }
  for (auto& [data_centre, known] : state.by_data_centre) {
    const bool is_listed = std::any_of(listing.begin(), listing.end(),
                                       [&name = data_centre](const auto& each) {
                                         return each.data_centre == name;
                                       });
    if (is_listed || !known.active || known.version > version ||
        known.ends_at) {
      continue;
    }
    if (internal::EndUnlisted(known, version, ends_at)) {
      changed.push_back(data_centre);
    }
  }
  return changed;
}

std::vector<std::string> Tick(evacuation_table& state, mono_time now) {
  std::vector<std::string> ended;
  for (auto& [data_centre, known] : state.by_data_centre) {
    if (known.ends_at && *known.ends_at <= now) {
      known = {known.ended_version, false, std::nullopt, {}};
      ended.push_back(data_centre);
    }
  }
  return ended;
}

bool IsEvacuated(const evacuation_table& state, std::string_view data_centre) {
  const auto found = state.by_data_centre.find(data_centre);
  return found != state.by_data_centre.end() && found->second.active;
}

std::vector<std::string> Evacuated(const evacuation_table& state) {
  std::vector<std::string> out;
  for (const auto& [data_centre, known] : state.by_data_centre) {
    if (known.active) {
      out.push_back(data_centre);
    }
  }
  return out;
}

std::vector<statement> Statements(const evacuation_table& state) {
  std::vector<statement> out;
  out.reserve(state.by_data_centre.size());
  for (const auto& [data_centre, known] : state.by_data_centre) {
    out.push_back({data_centre, known.version, known.active});
  }
  return out;
}

}  // namespace mimosadeck::evacuation
