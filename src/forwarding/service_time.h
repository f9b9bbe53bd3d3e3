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

/** @brief How long the requests of one route take at this entry. */
struct service_times {
  /** Of the requests served last, oldest first. */
  std::deque<std::chrono::milliseconds> served;
  /** Starts of the requests that run now. */
  std::multiset<mono_time> running;
};

/** @brief Settings of what is learned of service times. */
struct service_time_options {
  /** Requests remembered, at most. */
  std::size_t max_samples{64};
  /** With fewer, nothing is said. */
  std::size_t min_samples{8};
  /** Room for a load that rises while the process stops: the others take its
   * callers over. */
  double margin{1.3};
};

/** @brief Takes note that a request begins. */
void OnStarted(service_times& state, mono_time now);

/** @brief Takes note that a request that began then has ended.
 * @param is_served False if its time says nothing. */
void OnEnded(service_times& state,
             const service_time_options& settings,
             mono_time began,
             bool is_served,
             mono_time now);

/** @brief How long requests took lately. */
struct time_summary {
  /** Half of those that were served took no longer. */
  std::chrono::milliseconds median{};
  /** The longest, with the present ages of those that run. */
  std::chrono::milliseconds longest{};
};

/** @brief Returns the times seen; nothing before enough requests were. */
[[nodiscard]] std::optional<time_summary> RecentTimes(
    const service_times& state,
    const service_time_options& settings,
    mono_time now);

/** @brief A planned stop as a request meets it. */
struct stop_window {
  /** From the order to stop to the end of the process. */
  std::chrono::milliseconds duration{};
  /** What is left of it. */
  std::chrono::milliseconds remaining{};
  /** Time in which callers may not have heard of the stop. */
  std::chrono::milliseconds notice_delay{};
};

/**
 * @brief Tells whether to take a request that arrives during a planned stop.
 *
 * Callers that cannot know of the stop yet are served if such requests usually
 * end before the process does: a refusal costs them one of few retries. Later
 * ones could have gone elsewhere, and are taken only if even the longest of
 * such requests would end.
 */
[[nodiscard]] bool CanFinishBeforeStop(const service_times& state,
                                       const service_time_options& settings,
                                       routing::request_kind kind,
                                       stop_window stop,
                                       mono_time now);

}  // namespace mimosadeck::forwarding

#endif  // FORWARDING_SERVICE_TIME_H_
