#ifndef SOAK_STOP_JUDGE_H_
#define SOAK_STOP_JUDGE_H_

#include <map>
#include <ostream>

#include "soak/judge.h"

namespace mimosadeck::soak {

/** @brief Times of the rule on planned stops. */
struct stop_rule {
  /** Callers may not know of a stop for this long after the signal. */
  std::chrono::milliseconds notice{3000};
  /** A stop lasts until this long after its grace period. */
  std::chrono::milliseconds aftermath{1000};
  /** A connection may close within this time after a request that was not
   * passed on. */
  std::chrono::milliseconds loss_slack{200};
  /** Off on slow machines: then a cut counts only if it comes before the last
   * sixth of the grace period, which slowness cannot bring about. */
  bool timed{true};
};

/** @brief The planned stop of a process. */
struct planned_stop {
  mono_time at;
  std::chrono::milliseconds grace{};
  /** What was done beside the signal. */
  std::string label;
  std::optional<mono_time> exited;
  /** It still ran at the end of the grace period. */
  bool is_killed{};
};

/** @brief What happened to a request beside a planned stop. */
enum class stop_outcome {
  /** The entry did not stop while the request was open. */
  beside_no_stop,
  served,
  refused,
  refused_for_good,
  /** Answered with another status, or given up by the caller. */
  other,
  /** Not passed on, and the connection closed at once or unread. */
  unread,
  upstream_broke_off,
  limit_reached,
  /** At work in the last sixth, and sent before callers had to know. */
  outlasted_stop,
  /** Cut while the process ran on, so not by the end of the stop. */
  cut_early,
  /** Read, passed on or held, and cut. */
  cut,
};

[[nodiscard]] std::string_view NameOf(stop_outcome outcome);

/** @brief Returns whether an outcome breaks the rule on planned stops. */
[[nodiscard]] bool IsCounted(stop_outcome outcome);

/** @brief Judges a request of a process that was told to stop. */
[[nodiscard]] stop_outcome Judge(const stop_rule& rule,
                                 const judged_request& request,
                                 const planned_stop& stop);

/** @brief Stops by process. */
using planned_stops = std::map<std::string, planned_stop>;

/** @brief Requests by id. */
using judged_requests = std::map<std::string, judged_request>;

/** @brief Judges all requests; prints each interrupted one, with times since
 * the signal, and totals by half second, kind of stop and outcome. */
std::map<stop_outcome, int> JudgeStops(std::ostream& out,
                                       const stop_rule& rule,
                                       const planned_stops& stops,
                                       const judged_requests& requests);

}  // namespace mimosadeck::soak

#endif  // SOAK_STOP_JUDGE_H_
