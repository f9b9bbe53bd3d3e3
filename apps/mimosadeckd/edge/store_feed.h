#ifndef APPS_MIMOSADECKD_EDGE_STORE_FEED_H_
#define APPS_MIMOSADECKD_EDGE_STORE_FEED_H_

#include <chrono>
#include <optional>
#include <string_view>

#include "fleet/fleet.h"
#include "mimosadeckd/edge/state.h"

namespace mimosadeck::edge {

/** @brief A feed of the store, as one loop of the daemon follows it. */
struct followed_feed {
  fleet::store_feed feed;
  /** Name of the feed in the log. */
  std::string_view dependency;
  /** This entry reads the feed itself. */
  bool is_followed{};
  /** The store has not answered since this entry began to. */
  bool is_first_read{};
  /** When the first of the calls since the last answer failed. */
  std::optional<mono_time> lost_at{};
};

/**
 * @brief Decides whether this entry is to call the store for a feed now, and
 * logs when it begins to.
 *
 * If not, and if another entry has read the feed since this one lost it, the
 * copies from there end the outage for this entry as well.
 */
[[nodiscard]] bool ShouldFollow(edge_state& state, followed_feed& followed);

/** @brief Returns how this entry follows a feed. The wait is zero until it has
 * read the feed once, since others may be waiting for that. */
[[nodiscard]] fleet::following_pace PaceOf(const edge_state& state,
                                           const followed_feed& followed);

/** @brief Pauses between two calls for a feed; the pause ends early if this
 * entry becomes a watcher of the feed. */
[[nodiscard]] asio::awaitable<void> PauseAfterAnswer(
    const edge_state& state,
    const followed_feed& followed);

/**
 * @brief Notes an answer of the store that shows all changes up to a time.
 * @return Duration of the outage that it ended, if there was one.
 */
std::optional<std::chrono::milliseconds> OnAnswer(edge_state& state,
                                                  followed_feed& followed,
                                                  mono_time read_up_to);

/** @brief Notes a failed call, and logs the first of an outage. */
void OnFailure(edge_state& state,
               followed_feed& followed,
               std::string_view reason);

/**
 * @brief Returns the delay before a store that did not answer is called again.
 *
 * An entry that was cut off cannot distinguish its return from the end of a
 * store outage, and keeps unregistered upstreams for the grace period. Delay,
 * connection setup and grace period together must end before the agreed bounds
 * apply again.
 */
[[nodiscard]] std::chrono::milliseconds StoreRetryDelay(
    const edge_state& state);

}  // namespace mimosadeck::edge

#endif  // APPS_MIMOSADECKD_EDGE_STORE_FEED_H_
