#ifndef FORWARDING_SERVICE_TIME_H_
#define FORWARDING_SERVICE_TIME_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <set>

#include "base/time.h"
#include "routing/routing.h"

namespace mimosadeck::forwarding {

/** @brief Service times of the requests of one route at this entry. */
struct service_times {
  /** Durations of the last served requests, oldest first. */
  std::deque<std::chrono::milliseconds> served;
  /** Start times of the running requests. */
  std::multiset<mono_time> running;
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

/** @brief Records the start of a request. */
void OnStarted(service_times& state, mono_time now);

/**
 * @brief Records the end of a request.
 * @param started Time passed to OnStarted.
 * @param is_served False if the duration must not be used as a sample.
 */
void OnEnded(service_times& state,
             const service_time_options& settings,
             mono_time started,
             bool is_served,
             mono_time now);

/** @brief Summary of recent service times. */
struct time_summary {
  /** Median duration of the served requests. */
  std::chrono::milliseconds median{};
  /** Longest duration, including the current age of running requests. */
  std::chrono::milliseconds longest{};
};

/** @brief Summarizes recent service times; nothing with fewer samples than
 * `min_samples`. */
[[nodiscard]] std::optional<time_summary> RecentTimes(
    const service_times& state,
    const service_time_options& settings,
    mono_time now);

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
 * @brief Returns true if a request that arrives during a planned stop is
 * accepted, since it is expected to finish before the process ends.
 *
 * While callers cannot know of the stop, the median service time decides, since
 * a refusal costs the caller one of few retries. Afterwards callers could have
 * chosen another entry, and the longest service time decides.
 */
[[nodiscard]] bool CanFinishBeforeStop(const service_times& state,
                                       const service_time_options& settings,
                                       routing::request_kind kind,
                                       stop_window stop,
                                       mono_time now);

}  // namespace mimosadeck::forwarding

#endif  // FORWARDING_SERVICE_TIME_H_
