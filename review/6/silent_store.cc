// The store gives no answer to the six entries with the fastest links and
// serves the others; then a key is withdrawn and a worker reports draining.
#include <iostream>
#include <set>

#include "fleet.h"

namespace mimosadeck::review {
namespace {

using namespace std::chrono_literals;
namespace json = boost::json;

constexpr std::size_t kEntries = 18;
constexpr std::size_t kUpstreams = 4;
constexpr std::size_t kLeaving = 1;
/** `config_apply_ms` and `drain_ms` of the settings. */
constexpr auto kApplyBound = 3000ms;
constexpr auto kDrainBound = 3000ms;
/** Time for which the store gives some machines no answer. */
constexpr auto kSilence = 9000ms;
constexpr auto kRequestInterval = 100ms;

json::object Bounds() {
  return {{"contact_ms", 4000},
          {"ack_ms", 6000},
          {"catch_up_s", 6},
          {"drain_ms", kDrainBound.count()},
          {"grace_s", 8},
          {"loss_slack_ms", 200},
          {"budget_window_s", 10},
          {"config_apply_ms", kApplyBound.count()},
          {"max_skew_ms", 6000},
          {"retry_budget_ratio", 0.2},
          {"budget_extra", 156},
          {"require_fence", true},
          {"lease_ms", 3000},
          {"report_window_s", 5},
          {"usage_tolerance", 0.05},
          {"usage_late_s", 10},
          {"ttl_max_s", 5}};
}

json::array Routes() {
  return {Route("/safe/", "safe", 2, false),
          Route("/unsafe/", "unsafe", 1, false)};
}

struct finding {
  int withdrawn_served{};
  std::set<std::string> entries;
  int late_arrivals{};
  std::chrono::milliseconds last_after_ack{0};
};

void NoteRequests(fleet& system,
                  const std::vector<exchange_record>& sent,
                  steady::time_point acked_at,
                  finding& out) {
  for (const auto& each : sent) {
    const auto after = std::chrono::duration_cast<std::chrono::milliseconds>(
        each.sent_at - acked_at);
    system.Note("request " + each.id + " to " + each.entry + " with " +
                each.key + ", sent " + std::to_string(after.count()) +
                " ms after the ack: status " + std::to_string(each.status) +
                " stamp " + (each.stamp.empty() ? "none" : each.stamp));
    const bool is_success = each.status >= 200 && each.status < 300;
    if (each.key == "key-b" && is_success && after > kApplyBound) {
      ++out.withdrawn_served;
      out.entries.insert(each.entry);
      out.last_after_ack = std::max(out.last_after_ack, after);
    }
  }
}

int RunCase() {
  boost::asio::io_context io{1};
  fleet_options options;
  options.entries = kEntries;
  options.upstreams = kUpstreams;
  options.bounds = Bounds();
  options.fast_mbps = 200;
  options.slow_mbps = 20;
  fleet system(io, options);
  system.store.Put(
      "op", "config",
      Manifest(10, Routes(), {{"a", {"key-a"}}, {"b", {"key-b"}}}));
  if (!system.Start()) {
    system.Note("the entries did not become ready");
    return kNotRun;
  }
  system.Note("all entries are ready");
  system.Run(10s);
  std::vector<exchange_record> before;
  for (const auto& each : system.entries) {
    request_options request;
    request.key = "key-b";
    system.Send(*each, request, before);
  }
  system.Finish(3s);
  for (const auto& each : before) {
    if (each.status != 200) {
      system.Note("request before the disruption got " +
                  std::to_string(each.status));
      return kNotRun;
    }
  }
  const auto began_at = steady::now();
  if (HasTrouble()) {
    for (const auto& each : system.entries) {
      if (each->has_fast_link) {
        each->store_link->SetFault(soak::link_fault::silent);
        system.Note("the store gives " + each->name + " no answer");
      }
    }
  }
  system.Run(1s);
  system.store.Put("op", "config", Manifest(17, Routes(), {{"a", {"key-a"}}}));
  system.Register(kLeaving, "draining");
  const auto acked_at = steady::now();
  system.Note(
      "the store acknowledged version 17, without key-b, and that "
      "worker-1 is draining");
  std::vector<exchange_record> sent;
  int turn = 0;
  while (steady::now() - began_at < kSilence) {
    for (const auto& each : system.entries) {
      if (!each->has_fast_link) {
        request_options request;
        request.key = turn % 2 == 0 ? "key-b" : "key-a";
        system.Send(*each, request, sent);
      }
    }
    ++turn;
    system.Run(kRequestInterval);
  }
  for (const auto& each : system.entries) {
    each->store_link->SetFault(soak::link_fault::none);
  }
  system.Note("the store serves all entries again");
  system.Finish(4s);
  system.NoteRuns();
  finding found;
  NoteRequests(system, sent, acked_at, found);
  for (const auto& at : system.upstreams[kLeaving]->arrived_at) {
    found.late_arrivals += at > acked_at + kDrainBound ? 1 : 0;
  }
  system.Note(
      "requests with the withdrawn key served later than config_apply_ms: " +
      std::to_string(found.withdrawn_served) + " by " +
      std::to_string(found.entries.size()) + " entries, the last one sent " +
      std::to_string(found.last_after_ack.count()) +
      " ms after the ack; requests at the draining worker later than "
      "drain_ms: " +
      std::to_string(found.late_arrivals));
  const bool is_broken = found.withdrawn_served > 0 || found.late_arrivals > 0;
  system.Note(is_broken ? "result: broken" : "result: held");
  return is_broken ? kBroken : kHeld;
}

}  // namespace
}  // namespace mimosadeck::review

int main() {
  try {
    return mimosadeck::review::RunCase();
  } catch (const std::exception& failure) {
    std::cerr << failure.what() << '\n';
    return mimosadeck::review::kNotRun;
  }
}
