#include "mimosadeckd/edge/member_rows.h"

#include <boost/asio/use_awaitable.hpp>

namespace mimosadeck::edge {
namespace internal {
namespace {

/** Pause before a call that the store did not confirm is repeated. */
constexpr std::chrono::milliseconds kRetryPause{500};
/** A seed that runs answers within this time. */
constexpr std::chrono::milliseconds kSeedHeardIn{300};
/** Relays tell a new entry of the others within this time. */
constexpr std::chrono::milliseconds kFleetHeardIn{1500};
constexpr std::chrono::milliseconds kHearPoll{100};
constexpr std::uint32_t kRowsPerScan = 500;
constexpr std::string_view kMemberPrefix = "member/";

std::string OwnKey(const edge_state& state) {
  return std::string(kMemberPrefix) + state.machine.ip;
}

}  // namespace
}  // namespace internal

asio::awaitable<void> WriteMemberRow(edge_state& state, std::string address) {
  bool is_written = false;
  while (!state.stopping && !is_written) {
    infra::commit own;
    own.writes.push_back({internal::OwnKey(state), address});
    infra::request request = std::move(own);
    const auto reply = co_await state.platform.Send(std::move(request));
    is_written = std::holds_alternative<infra::committed>(reply);
    if (!is_written) {
      co_await Sleep(internal::kRetryPause);
    }
  }
}

asio::awaitable<void> RemoveMemberRow(edge_state& state) {
  infra::commit own;
  own.writes.push_back({internal::OwnKey(state), std::nullopt});
  infra::request request = std::move(own);
  const auto reply = co_await state.platform.Send(std::move(request));
  if (!std::holds_alternative<infra::committed>(reply)) {
    telemetry::Log(telemetry::level::warning, "member_row_left",
                   {{"reason", "the store did not confirm its removal"}});
  }
}

asio::awaitable<bool> HearsLargeFleet(const edge_state& state) {
  const auto began = SuspendAwareNow();
  while (fleet::IsDense(state.members, state.fleet_options)) {
    const auto waited = SuspendAwareNow() - began;
    if (waited >= internal::kFleetHeardIn ||
        (state.members.by_name.empty() && waited >= internal::kSeedHeardIn)) {
      co_return false;
    }
    co_await Sleep(internal::kHearPoll);
  }
  co_return true;
}

asio::awaitable<void> ReadMemberRows(
    edge_state& state,
    std::function<void(const std::string&)> on_address) {
  std::string after;
  while (!state.stopping) {
    infra::request request = infra::scan_rows{
        std::string(internal::kMemberPrefix), after, internal::kRowsPerScan};
    const auto reply = co_await state.platform.Send(std::move(request));
    const auto* page = std::get_if<infra::rows_page>(&reply);
    if (!page) {
      co_await Sleep(internal::kRetryPause);
      continue;
    }
    for (const auto& row : page->rows) {
      on_address(row.value);
      after = row.key;
    }
    if (!page->more || page->rows.empty()) {
      co_return;
    }
  }
}

}  // namespace mimosadeck::edge
