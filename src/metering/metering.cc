#include "metering/metering.h"

#include <algorithm>

#include <boost/json.hpp>

namespace mimosadeck::metering {

window_number WindowAt(wall_time when, std::chrono::milliseconds length) {
  return static_cast<window_number>(when.time_since_epoch() / length);
}

wall_time WindowEnd(window_number window, std::chrono::milliseconds length) {
  return wall_time(length * static_cast<std::int64_t>(window + 1));
}

void Count(tally& state,
           const std::string& source,
           window_number window,
           const std::string& account) {
  ++state.by_source[source][window][account];
}

void Merge(tally& state,
           const std::string& source,
           window_number window,
           const counts& received) {
  auto& held = state.by_source[source][window];
  for (const auto& [account, requests] : received) {
    auto& present = held[account];
    present = std::max(present, requests);
  }
}

counts Sum(const tally& state, window_number window) {
  counts out;
  for (const auto& [source, windows] : state.by_source) {
    const auto found = windows.find(window);
    if (found == windows.end()) {
      continue;
    }
    for (const auto& [account, requests] : found->second) {
      out[account] += requests;
    }
  }
  return out;
}

void DropBefore(tally& state, window_number oldest) {
  for (auto& [source, windows] : state.by_source) {
    windows.erase(windows.begin(), windows.lower_bound(oldest));
  }
  std::erase_if(state.by_source,
                [](const auto& item) { return item.second.empty(); });
}

std::string EncodeCounts(const counts& value) {
  boost::json::object out;
  for (const auto& [account, requests] : value) {
    out[account] = requests;
  }
  return boost::json::serialize(out);
}

result<counts> DecodeCounts(std::string_view text) {
  boost::system::error_code failure;
  const auto parsed = boost::json::parse(text, failure);
  if (failure || !parsed.is_object()) {
    return error{result_code::bad_argument, "counts are not a JSON object"};
  }
  counts out;
  for (const auto& [account, requests] : parsed.as_object()) {
    const auto number = requests.to_number<std::uint64_t>(failure);
    if (failure) {
      return error{result_code::bad_argument, "a count is not a number"};
    }
    out[std::string(account)] = number;
  }
  return out;
}

}  // namespace mimosadeck::metering
