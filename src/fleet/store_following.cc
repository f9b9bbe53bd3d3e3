#include "fleet/store_following.h"

#include <algorithm>

namespace mimosadeck::fleet {
namespace internal {
namespace {

constexpr std::chrono::milliseconds kBackupFeedWait{16000};
constexpr std::chrono::milliseconds kWatcherPollInterval{250};
/** Poll interval of other entries, as a fraction of the contact time. */
constexpr double kBackupPollFraction = 0.6;
/** The store usually delivers a new version within this time. */
constexpr std::chrono::milliseconds kStoreHeadStart{150};

}  // namespace
}  // namespace internal

feed_record& RecordOf(feed_records& records, store_feed feed) {
  return feed == store_feed::upstreams ? records.upstreams
                                       : records.operator_rows;
}

const feed_record& RecordOf(const feed_records& records, store_feed feed) {
  return feed == store_feed::upstreams ? records.upstreams
                                       : records.operator_rows;
}

void OnAnswer(feed_record& record, mono_time read_up_to) {
  record.read_up_to =
      std::max(record.read_up_to.value_or(read_up_to), read_up_to);
  if (!record.answered_since) {
    record.answered_since = record.read_up_to;
  }
}

void OnFeedLost(feed_record& record) {
  record.answered_since.reset();
}

std::chrono::milliseconds AnsweredFor(const feed_record& record) {
  return record.answered_since
             ? std::chrono::duration_cast<std::chrono::milliseconds>(
                   *record.read_up_to - *record.answered_since)
             : std::chrono::milliseconds(0);
}

bool IsFollowed(const feed_record& record) {
  return AnsweredFor(record) > std::chrono::milliseconds(0);
}

following_pace PaceOf(bool is_watcher,
                      std::chrono::milliseconds contact_time,
                      std::chrono::milliseconds watcher_wait) {
  if (is_watcher) {
    return {watcher_wait, internal::kWatcherPollInterval};
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
