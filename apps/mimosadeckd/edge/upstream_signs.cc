#include "mimosadeckd/edge/upstream_signs.h"

#include <algorithm>
#include <set>
#include <utility>

namespace mimosadeck::edge {
namespace internal {
namespace {

/** Leaving upstreams in one digest, which keeps it small; more leave together
 * when a data centre is taken back, and are told of by turns. */
constexpr std::size_t kMostLeavingTold = 16;

/** @brief Returns the incarnations that the registry lists as ready. */
std::set<std::string, std::less<>> Listed(const edge_state& state) {
  std::set<std::string, std::less<>> out;
  for (const auto& [id, held] : state.upstreams.by_id) {
    if (!held.entry->draining) {
      out.insert(registry::IncarnationOf(*held.entry));
    }
  }
  return out;
}

void OnLeaving(edge_state& state,
               const std::string& incarnation,
               std::string_view origin) {
  telemetry::Log(telemetry::level::info, "upstream_leaving",
                 {{"upstream", incarnation}, {"origin", origin}});
  state.upstream_connections.Forget(incarnation);
  RefreshPools(state);
}

void TakePause(edge_state& state,
               const placement::ticket& from,
               std::chrono::milliseconds asked) {
  const auto granted = availability::OnPauseRequested(
      state.availability, state.availability_options, from.incarnation, asked,
      SuspendAwareNow());
  state.metrics.Count("mimosadeck_upstream_pauses_total", "service",
                      from.entry->service);
  telemetry::Log(telemetry::level::info, "upstream_paused",
                 {{"upstream", from.incarnation},
                  {"asked_ms", std::to_string(asked.count())},
                  {"granted_ms", std::to_string(granted.count())}});
}

}  // namespace
}  // namespace internal

void TakeSigns(edge_state& state,
               const placement::ticket& from,
               const platform::upstream_answer& answer) {
  auto& book = state.availability;
  const auto& options = state.availability_options;
  const auto now = SuspendAwareNow();
  if (answer.is_other_upstream) {
    availability::OnSignal(book, options, from.incarnation,
                           availability::signal::replaced, now);
    telemetry::Log(
        telemetry::level::warning, "upstream_replaced",
        {{"upstream", from.incarnation}, {"address", from.entry->address}});
    ApplyAvailability(state);
    return;
  }
  if (answer.is_leaving &&
      availability::OnSignal(book, options, from.incarnation,
                             availability::signal::announced, now)) {
    internal::OnLeaving(state, from.incarnation, "answer");
  }
  if (answer.closes_connection) {
    availability::OnSignal(book, options, from.incarnation,
                           availability::signal::connection_closed, now);
  } else {
    availability::OnConnectionKeptOpen(book, from.incarnation);
  }
  if (answer.pause) {
    internal::TakePause(state, from, *answer.pause);
  }
  if (answer.closes_connection || answer.pause) {
    ApplyAvailability(state);
  }
}

void TakeLeaving(edge_state& state,
                 const std::string& incarnation,
                 std::string_view origin) {
  if (availability::OnSignal(state.availability, state.availability_options,
                             incarnation, availability::signal::reported,
                             SuspendAwareNow())) {
    internal::OnLeaving(state, incarnation, origin);
  }
}

std::vector<std::string> LeavingToTell(const edge_state& state,
                                       std::uint64_t round) {
  auto out = availability::Leaving(state.availability);
  if (out.empty()) {
    return out;
  }
  const auto listed = internal::Listed(state);
  std::erase_if(out,
                [&listed](const auto& each) { return !listed.contains(each); });
  return TakeTurn(std::move(out), internal::kMostLeavingTold, round);
}

void ApplyAvailability(edge_state& state) {
  for (const auto& [incarnation, known] : state.availability.by_incarnation) {
    for (auto& [service, pool] : state.pools) {
      placement::SetAvailability(pool, incarnation, known.closed_until,
                                 known.avoided_until);
    }
  }
}

void ForgetGoneUpstreams(edge_state& state) {
  if (state.availability.by_incarnation.empty()) {
    return;
  }
  const auto listed = internal::Listed(state);
  availability::Tick(
      state.availability, state.availability_options,
      [&listed](std::string_view each) { return listed.contains(each); },
      SuspendAwareNow());
}

}  // namespace mimosadeck::edge
