#include "metering/metering.h"

#include <algorithm>
#include <utility>

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

void OnFrozen(report_log& state, window_number window, std::string counts) {
  state.frozen.insert_or_assign(window, std::move(counts));
}

void OnCountsLost(report_log& state, wall_time complete_from) {
  state.complete_from = std::max(state.complete_from, complete_from);
  for (const auto& [window, counts] : state.frozen) {
    state.to_restore.insert(window);
  }
}

bool MayFreeze(const report_log& state, wall_time due) {
  return due >= state.complete_from;
}

void DropBefore(report_log& state, window_number oldest) {
  state.frozen.erase(state.frozen.begin(), state.frozen.lower_bound(oldest));
  state.to_restore.erase(state.to_restore.begin(),
                         state.to_restore.lower_bound(oldest));
  state.closed.erase(state.closed.begin(), state.closed.lower_bound(oldest));
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
