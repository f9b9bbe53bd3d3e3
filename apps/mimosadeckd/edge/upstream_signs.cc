#include "mimosadeckd/edge/upstream_signs.h"

#include <algorithm>
#include <set>
#include <utility>

namespace mimosadeck::edge {
namespace internal {
namespace {

/** Limit that keeps digests small. More upstreams leave at once when a data
 * centre is reclaimed; successive digests then rotate through them. */
constexpr std::size_t kMaxLeavingPerDigest = 16;
constexpr std::size_t kMaxLimitsPerDigest = 16;
/** Time for which the end of a limit is reported, and the limit of an upstream
 * that the registry no longer lists is kept. */
constexpr std::chrono::milliseconds kLimitRetention{120000};

/** Origin of a signal in an answer to this entry, for the log. */
constexpr std::string_view kOwnAnswer = "answer";

using incarnation_set = std::set<std::string, std::less<>>;

/** @brief Returns the incarnations that the registry lists as ready. */
incarnation_set ReadyIncarnations(const edge_state& state) {
  incarnation_set out;
  for (const auto& [id, upstream] : state.upstreams.by_id) {
    if (!upstream.entry->draining) {
      out.insert(registry::IncarnationOf(*upstream.entry));
    }
  }
  return out;
}

/** @brief Returns the incarnations that the registry lists. */
incarnation_set ListedIncarnations(const edge_state& state) {
  incarnation_set out;
  for (const auto& [id, upstream] : state.upstreams.by_id) {
    out.insert(registry::IncarnationOf(*upstream.entry));
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

void ApplyPause(edge_state& state,
                const placement::selection& from,
                std::chrono::milliseconds requested) {
  const auto granted = availability::OnPauseRequested(
      state.availability, state.availability_options, from.incarnation,
      requested, SuspendAwareNow());
  state.metrics.Count("mimosadeck_upstream_pauses_total", "service",
                      from.upstream->service);
  telemetry::Log(telemetry::level::info, "upstream_paused",
                 {{"upstream", from.incarnation},
                  {"asked_ms", std::to_string(requested.count())},
                  {"granted_ms", std::to_string(granted.count())}});
}

void OnLimitChange(edge_state& state,
                   const std::string& incarnation,
                   rate_limit::change changed,
                   std::string_view origin) {
  if (changed == rate_limit::change::none) {
    return;
  }
  const auto limit = rate_limit::LimitOf(state.limits, incarnation);
  state.metrics.Count("mimosadeck_upstream_limit_changes_total", "origin",
                      origin == kOwnAnswer ? "answer" : "entry");
  telemetry::Log(
      telemetry::level::info, "upstream_limit_changed",
      {{"upstream", incarnation},
       {"requests_per_second", limit ? std::to_string(*limit) : "none"},
       {"origin", origin}});
}

}  // namespace
}  // namespace internal

void ApplyUpstreamSignals(edge_state& state,
                          const placement::selection& from,
                          const platform::upstream_answer& answer) {
  auto& book = state.availability;
  const auto& options = state.availability_options;
  const auto now = SuspendAwareNow();
  if (answer.is_wrong_upstream) {
    availability::OnSignal(book, options, from.incarnation,
                           availability::signal::replaced, now);
    telemetry::Log(
        telemetry::level::warning, "upstream_replaced",
        {{"upstream", from.incarnation}, {"address", from.upstream->address}});
    ApplyAvailability(state);
    return;
  }
  if (answer.is_leaving &&
      availability::OnSignal(book, options, from.incarnation,
                             availability::signal::announced, now)) {
    internal::OnLeaving(state, from.incarnation, internal::kOwnAnswer);
  }
  if (answer.closes_connection) {
    availability::OnSignal(book, options, from.incarnation,
                           availability::signal::connection_closed, now);
  } else {
    availability::OnConnectionKeptOpen(book, from.incarnation);
  }
  if (answer.pause) {
    internal::ApplyPause(state, from, *answer.pause);
  }
  if (answer.closes_connection || answer.pause) {
    ApplyAvailability(state);
  }
}

void ApplyUpstreamLimit(edge_state& state,
                        const placement::selection& from,
                        const platform::upstream_answer& answer,
                        mono_time sent_at) {
  if (answer.is_wrong_upstream) {
    return;
  }
  const auto now = SuspendAwareNow();
  if (!answer.unreadable_limit.empty()) {
    telemetry::Log(
        telemetry::level::warning, "upstream_limit_unreadable",
        {{"upstream", from.incarnation}, {"limit", answer.unreadable_limit}});
    return;
  }
  auto changed = rate_limit::change::none;
  if (answer.requests_per_second) {
    changed = rate_limit::OnStated(state.limits, from.incarnation,
                                   *answer.requests_per_second, now);
  } else if (answer.is_signed) {
    changed =
        rate_limit::OnNotStated(state.limits, from.incarnation, sent_at, now);
  }
  internal::OnLimitChange(state, from.incarnation, changed,
                          internal::kOwnAnswer);
}

void MarkLeaving(edge_state& state,
                 const std::string& incarnation,
                 std::string_view origin) {
  if (availability::OnSignal(state.availability, state.availability_options,
                             incarnation, availability::signal::reported,
                             SuspendAwareNow())) {
    internal::OnLeaving(state, incarnation, origin);
  }
}

void RecordDrainingUpstreams(edge_state& state) {
  const auto now = SuspendAwareNow();
  for (const auto& [id, upstream] : state.upstreams.by_id) {
    if (upstream.entry->draining) {
      availability::OnSignal(state.availability, state.availability_options,
                             registry::IncarnationOf(*upstream.entry),
                             availability::signal::registered, now);
    }
  }
}

std::vector<std::string> SelectLeavingUpstreams(const edge_state& state,
                                                std::uint64_t round) {
  auto out = availability::Leaving(state.availability);
  if (out.empty()) {
    return out;
  }
  const auto ready = internal::ReadyIncarnations(state);
  std::erase_if(out, [&ready](const auto& incarnation) {
    return !ready.contains(incarnation);
  });
  return SelectRoundRobin(std::move(out), internal::kMaxLeavingPerDigest,
                          round);
}

void HoldBackUpstream(edge_state& state,
                      const std::string& incarnation,
                      std::string_view origin) {
  if (registry::HoldBack(state.upstreams, state.registry_options, incarnation,
                         SuspendAwareNow())) {
    telemetry::Log(telemetry::level::info, "upstream_held_back",
                   {{"upstream", incarnation}, {"origin", origin}});
    RefreshPools(state);
  }
}

std::vector<std::string> SelectHeldBackUpstreams(const edge_state& state,
                                                 std::uint64_t round) {
  return SelectRoundRobin(registry::HeldBack(state.upstreams),
                          internal::kMaxLeavingPerDigest, round);
}

void MergeUpstreamLimit(edge_state& state,
                        const wire::upstream_limit& observed,
                        std::string_view origin) {
  rate_limit::limit limit;
  if (observed.has_requests_per_second()) {
    limit.requests_per_second = observed.requests_per_second();
  }
  limit.observed_at =
      SuspendAwareNow() - std::chrono::milliseconds(observed.observed_ms_ago());
  const auto changed =
      rate_limit::Merge(state.limits, observed.upstream(), limit);
  internal::OnLimitChange(state, observed.upstream(), changed, origin);
}

std::vector<wire::upstream_limit> SelectUpstreamLimits(const edge_state& state,
                                                       std::uint64_t round) {
  const auto now = SuspendAwareNow();
  std::vector<wire::upstream_limit> out;
  for (const auto& [incarnation, known] : state.limits.by_incarnation) {
    auto& encoded = out.emplace_back();
    encoded.set_upstream(incarnation);
    if (known.requests_per_second) {
      encoded.set_requests_per_second(*known.requests_per_second);
    }
    encoded.set_observed_ms_ago(static_cast<std::uint32_t>(
        std::chrono::ceil<std::chrono::milliseconds>(now - known.observed_at)
            .count()));
  }
  return SelectRoundRobin(std::move(out), internal::kMaxLimitsPerDigest, round);
}

void RefreshParticipants(edge_state& state) {
  std::vector<rate_limit::heard_entry> heard;
  heard.reserve(state.members.by_name.size());
  for (const auto& [name, member] : state.members.by_name) {
    heard.push_back({name, member.last_seen_at, member.last.leaving(),
                     member.last.members_known()});
  }
  state.participants.leaving = state.stop.has_value();
  rate_limit::UpdateParticipants(state.participants, state.rate_limit_options,
                                 heard, SuspendAwareNow());
}

void RefreshPermits(edge_state& state) {
  if (state.limits.by_incarnation.empty() &&
      state.permits.by_incarnation.empty()) {
    return;
  }
  rate_limit::IssuePermits(state.permits, state.rate_limit_options,
                           state.limits, state.participants, FleetTime(state),
                           SuspendAwareNow());
  for (const auto& [incarnation, known] : state.limits.by_incarnation) {
    const bool is_permitted = rate_limit::HasPermit(state.permits, incarnation);
    for (auto& [service, pool] : state.pools) {
      placement::SetAlwaysSampled(pool, incarnation, is_permitted);
    }
  }
}

void ApplyAvailability(edge_state& state) {
  for (const auto& [incarnation, record] : state.availability.by_incarnation) {
    for (auto& [service, pool] : state.pools) {
      placement::SetAvailability(pool, incarnation, record.closed_until,
                                 record.avoided_until);
    }
  }
}

void ForgetGoneUpstreams(edge_state& state) {
  if (state.availability.by_incarnation.empty() &&
      state.limits.by_incarnation.empty()) {
    return;
  }
  const auto listed = internal::ListedIncarnations(state);
  const auto is_listed = [&listed](std::string_view incarnation) {
    return listed.contains(incarnation);
  };
  const auto now = SuspendAwareNow();
  availability::Tick(state.availability, state.availability_options, is_listed,
                     now);
  rate_limit::Tick(state.limits, is_listed, internal::kLimitRetention, now);
}

}  // namespace mimosadeck::edge
