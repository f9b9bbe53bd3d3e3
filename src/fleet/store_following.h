#ifndef FLEET_STORE_FOLLOWING_H_
#define FLEET_STORE_FOLLOWING_H_

#include <chrono>
#include <optional>

#include "base/time.h"

namespace mimosadeck::fleet {

/** @brief Feeds of the store that entries follow. They may fail separately. */
enum class store_feed { operator_rows, upstreams };

/** @brief What the store's answers show about one feed. */
struct feed_record {
  /** Every change up to this time has been read; unset before the first answer.
   * A call in progress shows nothing, so this time does not advance. */
  std::optional<mono_time> read_up_to;
  /** read_up_to of the first answer since the last failed call; unset while
   * calls fail, and while the feed is not followed. */
  std::optional<mono_time> answered_since;
};

/** @brief Records of all feeds. */
struct feed_records {
  feed_record operator_rows;
  feed_record upstreams;
};

/** @brief Returns the record of a feed. */
[[nodiscard]] feed_record& RecordOf(feed_records& records, store_feed feed);
[[nodiscard]] const feed_record& RecordOf(const feed_records& records,
                                          store_feed feed);

/** @brief Notes an answer of the store that shows all changes up to a time. */
void OnAnswer(feed_record& record, mono_time read_up_to);

/** @brief Notes that a call failed, or that the feed is no longer followed. */
void OnFeedLost(feed_record& record);

/** @brief Returns for how long the answers had shown the feed without a break
 * when the last of them arrived; zero while calls fail. */
[[nodiscard]] std::chrono::milliseconds AnsweredFor(const feed_record& record);

/** @brief Returns whether the store has answered several calls in sequence. A
 * single read of an entry that does not follow the feed does not count. */
[[nodiscard]] bool IsFollowed(const feed_record& record);

/** Interval at which the versions of other entries are checked. */
inline constexpr std::chrono::milliseconds kVersionCheckInterval{100};

/** @brief How one entry follows changes in the store. */
struct following_pace {
  /** Longest time for which a call waits in the store for a change. */
  std::chrono::milliseconds feed_wait{};
  /** Pause between two calls; collects bursts of changes. */
  std::chrono::milliseconds poll_interval{};
};

/**
 * @brief Returns the pace of an entry that follows the store.
 *
 * A watcher asks for an answer often, even if nothing changes, so that the
 * others notice in time that the store no longer answers it. Other
 * entries copy from the watchers what they miss, and poll often enough to
 * notice an outage in which registrations expire. An entry that becomes a
 * watcher ends its pause early.
 *
 * @param contact_time Time of undisturbed contact after which the agreed bounds
 * apply again.
 * @param watcher_wait Longest wait of a watcher's call; see WatcherWait().
 */
[[nodiscard]] following_pace PaceOf(bool is_watcher,
                                    std::chrono::milliseconds contact_time,
                                    std::chrono::milliseconds watcher_wait);

/**
 * @brief Returns how long another entry must be ahead before it is copied.
 * @param follows_store Whether this entry reads changes from the store itself,
 * which usually delivers them first.
 */
[[nodiscard]] std::chrono::milliseconds CopyDelay(bool follows_store);

}  // namespace mimosadeck::fleet

#endif  // FLEET_STORE_FOLLOWING_H_
