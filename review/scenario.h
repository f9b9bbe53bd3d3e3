#ifndef REVIEW_SCENARIO_H_
#define REVIEW_SCENARIO_H_

#include <chrono>
#include <functional>

#include <boost/asio/awaitable.hpp>

#include "fleet.h"

namespace mimosadeck::review {

/** Exit statuses of a case. */
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

/** @brief Plays a case and returns its exit status. */
using scenario =
    std::function<boost::asio::awaitable<int>(fleet& system, bool has_trouble)>;

/** @brief What runs besides the case. */
struct scenario_options {
  std::size_t entries{3};
  /** Sound upstreams of the fleet's own. */
  std::size_t upstreams{3};
  /** Callers send the fleet's own requests. */
  bool sends_requests{true};
};

/**
 * @brief Runs a case. The arguments are the file for the record, a directory
 * for settings and logs, and the command that starts an entry.
 *
 * With TROUBLE=0 in the environment the disruption is left out.
 */
[[nodiscard]] int RunScenario(int argc,
                              char** argv,
                              const scenario_options& settings,
                              const scenario& play);

/** @brief Waits until so many usage reports have arrived. @return False on
 * timeout. */
[[nodiscard]] boost::asio::awaitable<bool> WaitForReports(
    fleet& system,
    std::size_t count,
    std::chrono::milliseconds timeout);

/** @brief Waits until the time of day is so long after the start of a window.
 */
[[nodiscard]] boost::asio::awaitable<void> WaitUntil(
    std::chrono::system_clock::time_point when);

}  // namespace mimosadeck::review

#endif  // REVIEW_SCENARIO_H_
