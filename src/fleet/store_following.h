#ifndef FLEET_STORE_FOLLOWING_H_
#define FLEET_STORE_FOLLOWING_H_

#include <chrono>

namespace mimosadeck::fleet {

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
 * A watcher notices a lost response before the agreed bounds apply again. Other
 * entries copy from the watchers what they miss, and poll often enough to
 * notice removed upstreams in time even if all watchers fail.
 *
 * @param contact_time Time of undisturbed contact after which the agreed bounds
 * apply again.
 */
[[nodiscard]] following_pace PaceOf(bool is_watcher,
                                    std::chrono::milliseconds contact_time);

/**
 * @brief Returns how long another entry must be ahead before it is copied.
 * @param follows_store Whether this entry reads changes from the store itself,
 * which usually delivers them first.
 */
[[nodiscard]] std::chrono::milliseconds CopyDelay(bool follows_store);

}  // namespace mimosadeck::fleet

#endif  // FLEET_STORE_FOLLOWING_H_
