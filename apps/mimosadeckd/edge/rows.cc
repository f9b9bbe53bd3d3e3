#include "mimosadeckd/edge/rows.h"

#include <charconv>
#include <utility>

#include <boost/asio/use_awaitable.hpp>

namespace mimosadeck::edge {
namespace internal {
namespace {

using std::chrono::milliseconds;

/** Delay before a store call that was not confirmed is repeated. */
constexpr milliseconds kRetryPause{500};
/** Time within which a running seed responds. */
constexpr milliseconds kSeedResponseTime{300};
/** Time within which relays send the member list to a new entry. */
constexpr milliseconds kFleetDiscoveryTime{1500};
constexpr milliseconds kDiscoveryPollInterval{100};
constexpr std::uint32_t kRowsPerScan = 500;
constexpr std::string_view kMemberPrefix = "member/";
constexpr std::string_view kCondemnedPrefix = "condemned/";

std::string OwnKey(const edge_state& state) {
  return std::string(kMemberPrefix) + state.machine.ip;
}

asio::awaitable<bool> Commit(edge_state& state, infra::write change) {
  infra::commit commit;
  commit.writes.push_back(std::move(change));
  infra::request request = std::move(commit);
  const auto reply = co_await state.platform.Send(std::move(request));
  co_return std::holds_alternative<infra::committed>(reply);
}

asio::awaitable<void> WriteUntilConfirmed(edge_state& state,
                                          infra::write change) {
  bool is_written = false;
  while (!state.stopping && !is_written) {
    auto copy = change;
    is_written = co_await Commit(state, std::move(copy));
    if (!is_written) {
      co_await Sleep(kRetryPause);
    }
  }
}

asio::awaitable<void> Scan(edge_state& state,
                           std::string_view prefix,
                           std::function<void(const infra::row&)> on_row) {
  std::string after;
  while (!state.stopping) {
    infra::request request =
        infra::scan_rows{std::string(prefix), after, kRowsPerScan};
    const auto reply = co_await state.platform.Send(std::move(request));
    const auto* page = std::get_if<infra::rows_page>(&reply);
    if (!page) {
      co_await Sleep(kRetryPause);
      continue;
    }
    for (const auto& row : page->rows) {
      on_row(row);
      after = row.key;
    }
    if (!page->more || page->rows.empty()) {
      co_return;
    }
  }
}

/** @brief Returns the time since a condemned request's last crash; empty if the
 * row is unreadable. */
std::optional<milliseconds> AgeOfCondemnedRow(edge_state& state,
                                              const infra::row& row) {
  std::int64_t since_epoch{};
  const char* end = row.value.data() + row.value.size();
  if (std::from_chars(row.value.data(), end, since_epoch).ec != std::errc{}) {
    telemetry::Log(telemetry::level::warning, "condemned_row_unreadable",
                   {{"key", row.key}});
    return std::nullopt;
  }
  const auto now = std::chrono::duration_cast<milliseconds>(
      FleetTime(state).time_since_epoch());
  return std::max(milliseconds(0), now - milliseconds(since_epoch));
}

/** @brief Adds the request to the quarantine. @return False if the row has
 * expired or is unreadable. */
bool ApplyCondemnedRow(edge_state& state, const infra::row& row) {
  const auto age = AgeOfCondemnedRow(state, row);
  if (!age || *age > state.quarantine_options.forget_after) {
    return false;
  }
  const auto fingerprint = row.key.substr(kCondemnedPrefix.size());
  const auto now = SuspendAwareNow();
  quarantine::suspect suspect;
  suspect.condemned = true;
  suspect.crashed_at = now - *age;
  if (quarantine::Merge(state.quarantine, state.quarantine_options, fingerprint,
                        suspect, now)) {
    telemetry::Log(telemetry::level::warning,
                   quarantine::IsPart(fingerprint) ? "prompt_part_condemned"
                                                   : "request_condemned",
                   {{quarantine::IsPart(fingerprint) ? "part" : "fingerprint",
                     fingerprint},
                    {"origin", "store"}});
  }
  return true;
}

}  // namespace
}  // namespace internal

asio::awaitable<void> WriteMemberRow(edge_state& state, std::string address) {
  infra::write row{internal::OwnKey(state), std::move(address)};
  co_await internal::WriteUntilConfirmed(state, std::move(row));
}

asio::awaitable<void> RemoveMemberRow(edge_state& state) {
  infra::write row{internal::OwnKey(state), std::nullopt};
  const bool is_removed = co_await internal::Commit(state, std::move(row));
  if (!is_removed) {
    telemetry::Log(telemetry::level::warning, "member_row_left",
                   {{"reason", "the store did not confirm its removal"}});
  }
}

asio::awaitable<bool> DetectLargeFleet(const edge_state& state) {
  const auto began = SuspendAwareNow();
  while (fleet::IsFullMesh(state.members, state.fleet_options)) {
    const auto waited = SuspendAwareNow() - began;
    if (waited >= internal::kFleetDiscoveryTime ||
        (state.members.by_name.empty() &&
         waited >= internal::kSeedResponseTime)) {
      co_return false;
    }
    co_await Sleep(internal::kDiscoveryPollInterval);
  }
  co_return true;
}

asio::awaitable<void> ReadMemberRows(
    edge_state& state,
    std::function<void(const std::string&)> on_address) {
  std::function<void(const infra::row&)> on_row =
      [&on_address](const infra::row& row) { on_address(row.value); };
  co_await internal::Scan(state, internal::kMemberPrefix, std::move(on_row));
}

asio::awaitable<void> WriteCondemnedRow(edge_state& state,
                                        std::string fingerprint) {
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      FleetTime(state).time_since_epoch());
  infra::write row{std::string(internal::kCondemnedPrefix) + fingerprint,
                   std::to_string(now.count())};
  co_await internal::WriteUntilConfirmed(state, std::move(row));
}

asio::awaitable<void> RemoveCondemnedRow(edge_state& state, std::string name) {
  infra::write row{std::string(internal::kCondemnedPrefix) + name,
                   std::nullopt};
  co_await internal::WriteUntilConfirmed(state, std::move(row));
}

asio::awaitable<void> ReadCondemnedRows(edge_state& state) {
  std::vector<std::string> expired;
  std::function<void(const infra::row&)> on_row =
      [&state, &expired](const infra::row& row) {
        if (!internal::ApplyCondemnedRow(state, row)) {
          expired.push_back(row.key);
        }
      };
  co_await internal::Scan(state, internal::kCondemnedPrefix, std::move(on_row));
  for (const auto& key : expired) {
    infra::write removal{key, std::nullopt};
    co_await internal::WriteUntilConfirmed(state, std::move(removal));
  }
}

}  // namespace mimosadeck::edge
