#include "stand_in/memory_platform.h"

namespace mimosadeck::stand_in {
namespace internal {
namespace {

/** Lower bits of a version, which hold its number within the era. */
constexpr unsigned kNumberBits = 48;
constexpr std::uint64_t kNumberMask = (std::uint64_t{1} << kNumberBits) - 1;

std::uint64_t VersionOf(const memory_platform& state, const std::string& key) {
  const auto found = state.rows.find(key);
  return found == state.rows.end() ? 0 : found->second.version;
}

infra::reply Execute(memory_platform& state, const infra::read_row& request) {
  ++state.reads;
  const auto found = state.rows.find(request.key);
  if (found == state.rows.end()) {
    return infra::row_absent{};
  }
  return infra::row_found{found->second};
}

infra::reply Execute(memory_platform& state, const infra::scan_rows& request) {
  ++state.reads;
  infra::rows_page page;
  const auto& start = request.after.empty() ? request.prefix : request.after;
  for (auto it = state.rows.lower_bound(start);
       it != state.rows.end() && it->first.starts_with(request.prefix); ++it) {
    if (it->first == request.after) {
      continue;
    }
    if (page.rows.size() == request.limit) {
      page.more = true;
      break;
    }
    page.rows.push_back(it->second);
  }
  return page;
}

infra::reply Execute(memory_platform& state, const infra::commit& request) {
  ++state.writes;
  for (const auto& item : request.conditions) {
    const auto version = VersionOf(state, item.key);
    if ((version & kNumberMask) != (item.version & kNumberMask)) {
      return infra::conflict{item.key, version};
    }
  }
  const std::uint64_t version = ++state.last_version;
  for (const auto& item : request.writes) {
    if (item.value) {
      state.rows[item.key] = {item.key, *item.value, version};
    } else {
      state.rows.erase(item.key);
    }
  }
  return infra::committed{version};
}

infra::reply Execute(memory_platform& state, const infra::put_object& request) {
  ++state.writes;
  state.objects[request.name] = request.bytes;
  return infra::object_stored{};
}

infra::reply Execute(memory_platform& state, const infra::get_object& request) {
  ++state.reads;
  const auto found = state.objects.find(request.name);
  if (found == state.objects.end()) {
    return infra::object_absent{};
  }
  return infra::object_found{found->second};
}

infra::reply Execute(memory_platform& state, const infra::list_vms&) {
  ++state.reads;
  infra::vm_list list;
  for (const auto& [unused, item] : state.vms) {
    list.vms.push_back(item);
  }
  return list;
}

bool Matches(const infra::vm& item, const infra::place_order& order) {
  return item.data_centre == order.data_centre && item.pool == order.pool &&
         item.cheaper == order.cheaper;
}

void StartVms(memory_platform& state, const infra::place_order& order) {
  auto remaining = order.count;
  for (auto it = state.parked.begin();
       it != state.parked.end() && remaining > 0;) {
    if (!Matches(it->second, order)) {
      ++it;
      continue;
    }
    state.vms[it->first] = it->second;
    it = state.parked.erase(it);
    --remaining;
  }
}

void StopVms(memory_platform& state, const infra::place_order& order) {
  auto remaining = order.count;
  for (auto& [unused, item] : state.vms) {
    if (remaining > 0 && Matches(item, order) &&
        item.state == infra::vm_state::live) {
      item.state = infra::vm_state::leaving;
      --remaining;
    }
  }
}

infra::reply Execute(memory_platform& state, const infra::place_order& order) {
  auto& highest = state.highest_fencing[order.data_centre];
  if (state.checks_fencing && order.fencing < highest) {
    state.orders.push_back({order, false});
    return infra::order_refused{"a higher fencing number was seen", highest};
  }
  highest = std::max(highest, order.fencing);
  state.orders.push_back({order, true});
  if (!state.order_ids.insert(order.data_centre + "/" + order.order_id)
           .second) {
    return infra::order_accepted{};
  }
  if (order.kind == infra::order_kind::start) {
    StartVms(state, order);
  } else {
    StopVms(state, order);
  }
  return infra::order_accepted{};
}

infra::reply Execute(memory_platform& state,
                     const infra::report_usage& report) {
  state.reports.push_back({report.window, report.body, report.fencing});
  const auto [first_report, is_new] =
      state.reported.try_emplace(report.window, report.body);
  if (!is_new && first_report->second != report.body) {
    return infra::report_refused{
        "the window was reported before with another body"};
  }
  return infra::report_accepted{};
}

bool IsWrite(const infra::request& request) {
  return std::holds_alternative<infra::commit>(request) ||
         std::holds_alternative<infra::put_object>(request) ||
         std::holds_alternative<infra::place_order>(request) ||
         std::holds_alternative<infra::report_usage>(request);
}

}  // namespace
}  // namespace internal

platform_copy TakeCopy(const memory_platform& state) {
  return {state.last_version, state.rows};
}

void ReturnFromCopy(memory_platform& state, const platform_copy& copy) {
  const auto era = (Era(state) + 1) << internal::kNumberBits;
  state.last_version = era | (copy.last_version & internal::kNumberMask);
  state.rows = copy.rows;
  for (auto& [key, row] : state.rows) {
    row.version = era | (row.version & internal::kNumberMask);
  }
}

std::uint64_t Era(const memory_platform& state) {
  return state.last_version >> internal::kNumberBits;
}

infra::reply Handle(memory_platform& state, const infra::request& request) {
  if (state.faults.down) {
    return infra::unavailable{};
  }
  auto reply = std::visit(
      [&state](const auto& item) { return internal::Execute(state, item); },
      request);
  if (internal::IsWrite(request) && state.faults.lost_replies > 0) {
    --state.faults.lost_replies;
    return infra::unknown_outcome{};
  }
  return reply;
}

}  // namespace mimosadeck::stand_in
