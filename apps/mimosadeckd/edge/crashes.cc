#include "mimosadeckd/edge/crashes.h"

#include <algorithm>
#include <utility>

#include <boost/asio/use_awaitable.hpp>

#include "mimosadeckd/edge/rows.h"
#include "mimosadeckd/edge/tasks.h"

namespace mimosadeck::edge {
namespace internal {
namespace {

/** A restarted upstream registers within about two heartbeats. */
constexpr std::chrono::milliseconds kRestartRegistrationTime{3000};

/** @brief State of the upstream after a broken attempt. */
enum class upstream_fate {
  /** The same incarnation is still running. */
  serves,
  /** It no longer accepts connections. */
  ended,
  /** A new incarnation runs at its address. */
  replaced,
  /** Nothing answers at its address, so its state is unknown. */
  unreachable,
};

std::string_view NameOf(upstream_fate fate) {
  switch (fate) {
    case upstream_fate::serves:
      return "serves";
    case upstream_fate::ended:
      return "ended";
    case upstream_fate::replaced:
      return "replaced";
    case upstream_fate::unreachable:
      return "unreachable";
  }
  return "unlisted";
}

upstream_fate FateOf(net::listener_state listener) {
  switch (listener) {
    case net::listener_state::listening:
      return upstream_fate::serves;
    case net::listener_state::closed:
      return upstream_fate::ended;
    case net::listener_state::unreachable:
      return upstream_fate::unreachable;
  }
  return upstream_fate::unreachable;
}

/** A timeout at an unreachable upstream is no evidence of a crash: the link may
 * be down. */
bool IsCrash(const broken_attempt& broken, upstream_fate fate) {
  switch (fate) {
    case upstream_fate::serves:
      return false;
    case upstream_fate::ended:
    case upstream_fate::replaced:
      return true;
    case upstream_fate::unreachable:
      return !broken.timed_out;
  }
  return false;
}

bool IsListed(const edge_state& state, std::string_view incarnation) {
  const auto& all = state.upstreams.by_id;
  return std::any_of(all.begin(), all.end(), [incarnation](const auto& item) {
    return registry::IncarnationOf(*item.second.entry) == incarnation;
  });
}

void RecordVerdict(edge_state& state,
                   const broken_attempt& broken,
                   upstream_fate fate) {
  const bool is_crash = IsCrash(broken, fate);
  bool is_condemned_now = false;
  if (is_crash) {
    const bool was_condemned =
        quarantine::IsCondemned(state.quarantine, broken.fingerprint);
    const auto observer =
        Hash64(ProcessIdentity(state.machine.name, state.incarnation));
    const auto crash = quarantine::AssignCrashId(
        state.crashes, state.quarantine_options, broken.upstream,
        std::to_string(observer), broken.ended_at);
    static_cast<void>(
        quarantine::OnCrash(state.quarantine, state.quarantine_options, crash,
                            {broken.fingerprint}, SuspendAwareNow()));
    is_condemned_now =
        !was_condemned &&
        quarantine::IsCondemned(state.quarantine, broken.fingerprint);
    state.metrics.Count("mimosadeck_crashes_suspected_total", "service",
                        broken.service);
  }
  telemetry::Log(
      telemetry::level::info, "break_investigated",
      {{"request", broken.request_id},
       {"fingerprint", broken.fingerprint},
       {"upstream", broken.upstream},
       {"reason", broken.reason},
       {"fate", NameOf(fate)},
       {"counted", is_crash ? "yes" : "no"},
       {"crashes_known", std::to_string(quarantine::CrashCount(
                             state.quarantine, broken.fingerprint))}});
  if (is_condemned_now) {
    telemetry::Log(telemetry::level::warning, "request_condemned",
                   {{"request", broken.request_id},
                    {"fingerprint", broken.fingerprint},
                    {"origin", "own attempt"},
                    {"upstream", broken.upstream}});
    Spawn(state.io, "write_condemned_row",
          WriteCondemnedRow(state, broken.fingerprint));
  }
}

asio::awaitable<void> Investigate(edge_state& state,
                                  std::string upstream,
                                  std::string address) {
  auto fate = FateOf(
      co_await net::ProbeListener(std::move(address), net::probe_options{}));
  auto broken = std::move(state.investigations[upstream]);
  state.investigations.erase(upstream);
  if (fate == upstream_fate::serves) {
    // It may have crashed and restarted before the failure was detected.
    co_await Sleep(kRestartRegistrationTime);
    fate = IsListed(state, upstream) ? upstream_fate::serves
                                     : upstream_fate::replaced;
  }
  for (const auto& attempt : broken) {
    RecordVerdict(state, attempt, fate);
  }
}

}  // namespace
}  // namespace internal

void InvestigateBrokenAttempt(edge_state& state, broken_attempt broken) {
  auto upstream = broken.upstream;
  auto address = broken.address;
  auto& waiting = state.investigations[upstream];
  waiting.push_back(std::move(broken));
  if (waiting.size() == 1) {
    Spawn(
        state.io, "investigate",
        internal::Investigate(state, std::move(upstream), std::move(address)));
  }
}

}  // namespace mimosadeck::edge
