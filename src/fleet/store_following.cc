#include "fleet/store_following.h"

namespace mimosadeck::fleet {
namespace internal {
namespace {

constexpr int kFeedWaitsPerContactTime = 2;
constexpr std::chrono::milliseconds kBackupFeedWait{8000};
constexpr std::chrono::milliseconds kWatcherPollInterval{250};
/** Poll interval of other entries, as a fraction of the contact time. */
constexpr double kBackupPollFraction = 0.4;
/** The store usually delivers a new version within this time. */
constexpr std::chrono::milliseconds kStoreHeadStart{150};

}  // namespace
}  // namespace internal

following_pace PaceOf(bool is_watcher, std::chrono::milliseconds contact_time) {
  if (is_watcher) {
    return {contact_time / internal::kFeedWaitsPerContactTime,
            internal::kWatcherPollInterval};
  }
  return {internal::kBackupFeedWait,
          std::chrono::duration_cast<std::chrono::milliseconds>(
              contact_time * internal::kBackupPollFraction)};
}

std::chrono::milliseconds CopyDelay(bool follows_store) {
  return follows_store ? internal::kStoreHeadStart
                       : std::chrono::milliseconds(0);
}

}  // namespace mimosadeck::fleet
