#ifndef SOAK_STOP_JUDGE_H_
#define SOAK_STOP_JUDGE_H_

#include <chrono>
#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace mimosadeck::soak {

/** @brief Times of the rule on planned stops. */
struct stop_rule {
  /** Callers may know of a stop this long after the signal. */
  std::chrono::milliseconds notice{3000};
  /** A stop lasts until this long after its grace period. */
  std::chrono::milliseconds aftermath{1000};
  /** A connection may close this long after a request that was not passed on.
   */
  std::chrono::milliseconds loss_slack{200};
  /** Off on slow machines: then a cut counts only if it comes before the last
   * sixth of the grace period, which a slow machine cannot bring about. */
  bool timed{true};
};

/** @brief A process that was told to stop. */
struct planned_stop {
  mono_time at;
  std::chrono::milliseconds grace{};
  /** What was done beside the signal. */
  std::string label;
  std::optional<mono_time> exited;
  /** It still ran at the end of the grace period. */
  bool is_killed{};
};

/** @brief The work of an upstream on a request. */
struct upstream_work {
  std::string upstream;
  std::string stamp;
  mono_time began;
  std::optional<mono_time> ended;
  /** The upstream sent its whole answer. */
  bool is_finished{};
  /** The upstream ended the connection before its answer was complete. */
  bool broke_off{};
};

/** @brief A request of a caller, and what came of it. */
struct stop_request {
  std::string id;
  std::string route;
  std::string process;
  mono_time sent;
  /** The lower one of the caller's time limit and the route's timeout. */
  std::chrono::milliseconds limit{};
  /** Sent since another request was refused or not read. */
  bool is_repeat{};
  std::vector<upstream_work> runs;
  mono_time ended;
  /** Zero if the connection closed before a status line. */
  int status{};
  bool is_complete{};
  /** Why there is no complete answer. */
  std::string failure;
  /** The caller gave up. */
  bool caller_left{};
  /** The connection was reset, so that the request may not have been read. */
  bool is_reset{};
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

/** @brief Stops by process, and requests by id. */
struct stop_record {
  std::map<std::string, planned_stop> stops;
  std::map<std::string, stop_request> requests;
};

/** @brief Returns whether an upstream worked on a request in the last sixth of
 * the grace period. */
[[nodiscard]] bool WorkedInLastSixth(const stop_request& request,
                                     const planned_stop& stop);

/** @brief Returns whether an outcome breaks the rule on planned stops. */
[[nodiscard]] bool IsCounted(stop_outcome outcome);

/** @brief Judges a request of a process that was told to stop. */
[[nodiscard]] stop_outcome Judge(const stop_rule& rule,
                                 const stop_request& request,
                                 const planned_stop& stop);

/** @brief Judges a request by the stop of its process, if there was one. */
[[nodiscard]] stop_outcome Judge(const stop_rule& rule,
                                 const stop_record& record,
                                 const stop_request& request);

/** @brief Prints every interrupted request, with times since the signal. */
void PrintCases(std::ostream& out,
                const stop_rule& rule,
                const stop_record& record);

/** @brief Prints totals by outcome, kind of stop and half second. */
void PrintTotals(std::ostream& out,
                 const stop_rule& rule,
                 const stop_record& record);

/** @brief Number of requests with each outcome. */
[[nodiscard]] std::map<stop_outcome, std::size_t> CountOutcomes(
    const stop_rule& rule,
    const stop_record& record);

}  // namespace mimosadeck::soak

#endif  // SOAK_STOP_JUDGE_H_
