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

/** More crashes than condemn a suspect. */
constexpr int kMaxCrashesPerSuspect = 8;
/** Origin of a verdict from this entry's attempts, for the log. */
constexpr std::string_view kOwnAttempt = "own attempt";

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

std::string CrashIdOf(edge_state& state, const broken_attempt& broken) {
  const auto observer =
      Hash64(ProcessIdentity(state.machine.name, state.incarnation));
  return quarantine::AssignCrashId(state.crashes, state.quarantine_options,
                                   broken.upstream, std::to_string(observer),
                                   broken.ended_at);
}

/** @brief Condemns the prompt parts that have crashed enough upstreams. */
void CondemnParts(edge_state& state, std::string_view origin) {
  for (const auto& part :
       quarantine::CondemnParts(state.quarantine, state.quarantine_options)) {
    telemetry::Log(telemetry::level::warning, "prompt_part_condemned",
                   {{"part", part},
                    {"origin", origin},
                    {"crashes", std::to_string(quarantine::CrashCount(
                                    state.quarantine, part))}});
    if (quarantine::IsObservedLocally(state.quarantine, part)) {
      Spawn(state.io, "write_condemned_row", WriteCondemnedRow(state, part));
    }
  }
}

/** @brief Counts a crash against a request, unless one of the prompt parts that
 * ran on the upstream explains it. */
void CountCrash(edge_state& state,
                const broken_attempt& broken,
                const std::string& crash) {
  if (quarantine::IsExplained(state.quarantine, crash)) {
    return;
  }
  const bool was_condemned =
      quarantine::IsCondemned(state.quarantine, broken.fingerprint);
  static_cast<void>(
      quarantine::OnCrash(state.quarantine, state.quarantine_options, crash,
                          {broken.fingerprint}, SuspendAwareNow()));
  if (was_condemned ||
      !quarantine::IsCondemned(state.quarantine, broken.fingerprint)) {
    return;
  }
  telemetry::Log(telemetry::level::warning, "request_condemned",
                 {{"request", broken.request_id},
                  {"fingerprint", broken.fingerprint},
                  {"origin", kOwnAttempt},
                  {"upstream", broken.upstream}});
  Spawn(state.io, "write_condemned_row",
        WriteCondemnedRow(state, broken.fingerprint));
}

std::string Join(const std::vector<std::string>& names) {
  std::string out;
  for (const auto& name : names) {
    out += (out.empty() ? "" : " ") + name;
  }
  return out.empty() ? "none" : out;
}

void LogInvestigated(const edge_state& state,
                     const broken_attempt& broken,
                     upstream_fate fate) {
  telemetry::Log(
      telemetry::level::info, "break_investigated",
      {{"request", broken.request_id},
       {"fingerprint", broken.fingerprint},
       {"parts", Join(broken.suspect_parts)},
       {"upstream", broken.upstream},
       {"reason", broken.reason},
       {"begun_ms",
        broken.begun_for ? std::to_string(broken.begun_for->count()) : "none"},
       {"fate", NameOf(fate)},
       {"counted", IsCrash(broken, fate) ? "yes" : "no"},
       {"crashes_known", std::to_string(quarantine::CrashCount(
                             state.quarantine, broken.fingerprint))}});
}

/** @brief Attributes the end of an upstream to the requests that ran on it. */
void RecordVerdicts(edge_state& state,
                    const std::vector<broken_attempt>& broken,
                    upstream_fate fate) {
  std::vector<std::pair<const broken_attempt*, std::string>> crashed;
  for (const auto& attempt : broken) {
    if (IsCrash(attempt, fate)) {
      crashed.emplace_back(&attempt, CrashIdOf(state, attempt));
    }
  }
  for (const auto& [attempt, crash] : crashed) {
    quarantine::OnPartsCrash(state.quarantine, state.quarantine_options, crash,
                             attempt->suspect_parts, attempt->sent_at,
                             SuspendAwareNow());
  }
  CondemnParts(state, kOwnAttempt);
  for (const auto& [attempt, crash] : crashed) {
    CountCrash(state, *attempt, crash);
    state.metrics.Count("mimosadeck_crashes_suspected_total", "service",
                        attempt->service);
  }
  for (const auto& attempt : broken) {
    LogInvestigated(state, attempt, fate);
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
  RecordVerdicts(state, broken, fate);
}

std::uint32_t AgeInMs(mono_time at, mono_time now) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::max(now - at, mono_duration::zero()))
          .count());
}

void AddCrashes(const quarantine::suspect& suspect, wire::suspect& out) {
  for (const auto& crash : suspect.crashes) {
    if (out.crashes_size() == kMaxCrashesPerSuspect) {
      return;
    }
    out.add_crashes(crash);
  }
}

/** @brief Logs that a condemned part was served, and removes its row. */
void OnAcquitted(edge_state& state,
                 const std::string& part,
                 std::string_view origin) {
  telemetry::Log(telemetry::level::warning, "prompt_part_acquitted",
                 {{"part", part}, {"origin", origin}});
  if (quarantine::IsObservedLocally(state.quarantine, part)) {
    Spawn(state.io, "remove_condemned_row", RemoveCondemnedRow(state, part));
  }
}

void MergeSuspect(edge_state& state,
                  const wire::suspect& report,
                  std::string_view origin) {
  const auto now = SuspendAwareNow();
  const auto& name = report.fingerprint();
  quarantine::suspect suspect;
  suspect.crashes = {report.crashes().begin(), report.crashes().end()};
  suspect.condemned = report.condemned();
  suspect.crashed_at = now - std::chrono::milliseconds(report.crashed_ms_ago());
  if (report.has_served_ms_ago()) {
    suspect.acquitted_at =
        now - std::chrono::milliseconds(report.served_ms_ago());
  }
  const bool was_condemned = quarantine::IsCondemned(state.quarantine, name);
  const bool is_condemned_now = quarantine::Merge(
      state.quarantine, state.quarantine_options, name, suspect, now);
  if (was_condemned && !quarantine::IsCondemned(state.quarantine, name)) {
    OnAcquitted(state, name, origin);
  }
  if (!is_condemned_now) {
    return;
  }
  telemetry::Log(
      telemetry::level::warning,
      quarantine::IsPart(name) ? "prompt_part_condemned" : "request_condemned",
      {{quarantine::IsPart(name) ? "part" : "fingerprint", name},
       {"origin", origin}});
  // The sender has not condemned it, so the row may not exist yet.
  if (!report.condemned() &&
      quarantine::IsObservedLocally(state.quarantine, name)) {
    Spawn(state.io, "write_condemned_row", WriteCondemnedRow(state, name));
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

void RecordServedParts(edge_state& state,
                       const std::vector<std::string>& parts) {
  for (const auto& part :
       quarantine::OnPartsServed(state.quarantine, state.quarantine_options,
                                 parts, SuspendAwareNow())) {
    internal::OnAcquitted(state, part, internal::kOwnAttempt);
  }
}

void AdvertiseSuspects(edge_state& state, wire::digest& out) {
  const auto now = SuspendAwareNow();
  const auto selected = quarantine::SelectSuspects(
      state.quarantine, state.quarantine_options, now);
  for (const auto* item : selected.selected) {
    const auto& suspect = item->second;
    auto& encoded = *out.add_suspects();
    encoded.set_fingerprint(item->first);
    encoded.set_condemned(suspect.condemned);
    encoded.set_crashed_ms_ago(internal::AgeInMs(suspect.crashed_at, now));
    if (suspect.acquitted_at) {
      encoded.set_served_ms_ago(internal::AgeInMs(*suspect.acquitted_at, now));
    }
    if (!suspect.condemned || quarantine::IsPart(item->first)) {
      internal::AddCrashes(suspect, encoded);
    }
  }
  if (selected.omitted > 0) {
    state.metrics.Count("mimosadeck_suspects_untold_total", "entry",
                        state.machine.name);
  }
}

void MergeSuspects(
    edge_state& state,
    const google::protobuf::RepeatedPtrField<wire::suspect>& reports,
    std::string_view origin) {
  for (const auto& report : reports) {
    internal::MergeSuspect(state, report, origin);
  }
  if (!reports.empty()) {
    internal::CondemnParts(state, origin);
  }
}

}  // namespace mimosadeck::edge
