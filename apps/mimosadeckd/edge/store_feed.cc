#include "mimosadeckd/edge/store_feed.h"

#include <algorithm>
#include <string>
#include <utility>

namespace mimosadeck::edge {
namespace internal {
namespace {

std::string MsBetween(mono_time from, mono_time to) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(to - from).count());
}

std::optional<mono_time> NewestRead(const edge_state& state,
                                    fleet::store_feed feed,
                                    mono_time now) {
  return fleet::NewestRead(state.members, state.fleet_options, SelfInfo(state),
                           feed, now);
}

/** Ends an outage. @return Its duration, if there was one. */
std::optional<std::chrono::milliseconds> EndOutage(followed_feed& followed,
                                                   mono_time ended_at) {
  if (!followed.lost_at) {
    return std::nullopt;
  }
  const auto lost_at = *std::exchange(followed.lost_at, std::nullopt);
  telemetry::Log(telemetry::level::info, "dependency_regained",
                 {{"dependency", followed.dependency},
                  {"away_ms", MsBetween(lost_at, ended_at)}});
  return std::chrono::duration_cast<std::chrono::milliseconds>(ended_at -
                                                               lost_at);
}

}  // namespace
}  // namespace internal

bool ShouldFollow(edge_state& state, followed_feed& followed) {
  const auto now = SuspendAwareNow();
  const auto newest = internal::NewestRead(state, followed.feed, now);
  if (!FollowsStore(state, followed.feed)) {
    followed.is_followed = false;
    fleet::OnFeedLost(fleet::RecordOf(state.store_reads, followed.feed));
    if (followed.lost_at && newest > followed.lost_at) {
      internal::EndOutage(followed, *newest);
    }
    return false;
  }
  if (!std::exchange(followed.is_followed, true)) {
    followed.is_first_read = true;
    telemetry::Log(telemetry::level::info, "store_feed_joined",
                   {{"dependency", followed.dependency},
                    {"newest_read_ms_ago",
                     newest ? internal::MsBetween(*newest, now) : "unknown"}});
  }
  return true;
}

fleet::following_pace PaceOf(const edge_state& state,
                             const followed_feed& followed) {
  const auto now = SuspendAwareNow();
  const bool is_watcher = fleet::WatchesStore(
      state.members, state.fleet_options, SelfInfo(state), followed.feed, now);
  auto pace =
      fleet::PaceOf(is_watcher, state.machine.bounds.contact_recovery_time,
                    fleet::WatcherWait(state.members, state.fleet_options));
  if (followed.is_first_read) {
    pace.feed_wait = std::chrono::milliseconds(0);
  }
  return pace;
}

asio::awaitable<void> PauseAfterAnswer(const edge_state& state,
                                       const followed_feed& followed) {
  const auto began_at = SuspendAwareNow();
  while (!state.stopping) {
    const auto left =
        began_at + PaceOf(state, followed).poll_interval - SuspendAwareNow();
    if (left <= mono_duration(0)) {
      co_return;
    }
    co_await Sleep(std::min(std::chrono::ceil<std::chrono::milliseconds>(left),
                            fleet::kVersionCheckInterval));
  }
}

std::optional<std::chrono::milliseconds> OnAnswer(edge_state& state,
                                                  followed_feed& followed,
                                                  mono_time read_up_to) {
  followed.is_first_read = false;
  fleet::OnAnswer(fleet::RecordOf(state.store_reads, followed.feed),
                  read_up_to);
  return internal::EndOutage(followed, SuspendAwareNow());
}

void OnFailure(edge_state& state,
               followed_feed& followed,
               std::string_view reason) {
  fleet::OnFeedLost(fleet::RecordOf(state.store_reads, followed.feed));
  if (followed.lost_at) {
    return;
  }
  followed.lost_at = SuspendAwareNow();
  telemetry::Log(telemetry::level::warning, "dependency_lost",
                 {{"dependency", followed.dependency}, {"reason", reason}});
}

std::chrono::milliseconds StoreRetryDelay(const edge_state& state) {
  const auto longest = state.machine.bounds.contact_recovery_time -
                       state.registry_options.reregistration_grace -
                       platform::kConnectTimeout;
  return fleet::StoreRetryDelay(state.members, state.fleet_options,
                                SelfInfo(state), longest, SuspendAwareNow());
}

}  // namespace mimosadeck::edge
