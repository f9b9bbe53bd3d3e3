#ifndef FORWARDING_SERVICE_TIME_H_
#define FORWARDING_SERVICE_TIME_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>

#include "routing/routing.h"

namespace mimosadeck::forwarding {

/** @brief Service times of the requests of one route at this entry. */
struct service_times {
  /** Durations of the last served requests, oldest first. */
  std::deque<std::chrono::milliseconds> served;
};

/** @brief Settings of the service time estimate. */
struct service_time_options {
  /** Served requests whose durations are kept. */
  std::size_t max_samples{64};
  /** Served requests without which there is no estimate. */
  std::size_t min_samples{8};
  /** Factor on the expected duration: load may rise during the stop, since
   * other entries take over the callers. */
  double margin{1.3};
};

/** @brief Records the duration of a request that was served. */
void OnServed(service_times& state,
              const service_time_options& settings,
              std::chrono::milliseconds duration);

/** @brief Returns the median duration of the served requests; nothing with
 * fewer samples than `min_samples`. */
[[nodiscard]] std::optional<std::chrono::milliseconds> MedianTime(
    const service_times& state,
    const service_time_options& settings);

/** @brief A planned stop of the entry, at the arrival of a request. */
struct stop_window {
  /** From the stop request to the end of the process. */
  std::chrono::milliseconds duration{};
  /** Remaining part of `duration`. */
  std::chrono::milliseconds remaining{};
  /** Time after the stop request in which callers may not know of it yet. */
  std::chrono::milliseconds notice_delay{};
};

/**
 * @brief Returns the part of a grace period in which requests are completed;
 * the rest is reserved for the process to exit before it is killed.
 */
[[nodiscard]] std::chrono::milliseconds StopDuration(
    std::chrono::milliseconds grace);

/**
 * @brief Returns true if a request that arrives during a planned stop is
 * accepted.
 *
 * A request whose time limit ends before the process does is always accepted:
 * whatever its service time, it is answered. Any other is accepted only while
 * callers cannot know of the stop, since a refusal costs them one of few
 * retries, and only if the median service time fits.
 *
 * @param time_limit Time after which the request is answered in any case.
 */
[[nodiscard]] bool CanFinishBeforeStop(const service_times& state,
                                       const service_time_options& settings,
                                       routing::request_kind kind,
                                       std::chrono::milliseconds time_limit,
                                       stop_window stop);

}  // namespace mimosadeck::forwarding

#endif  // FORWARDING_SERVICE_TIME_H_
