#ifndef SOAK_FAULTS_H_
#define SOAK_FAULTS_H_

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "soak/deployment.h"

namespace mimosadeck::soak {

/** @brief What can happen to a deployment. */
enum class fault_kind {
  entry_killed,
  entry_stopped,
  entry_paused,
  settings_changed,
  clock_stepped,
  all_entries_killed,
  store_link_fault,
  caller_link_fault,
  upstream_link_fault,
  store_refuses,
  store_loses_answers,
  store_silent,
  store_forgets,
  upstream_fails,
  upstream_crashes,
  upstream_replaced,
  upstream_leaves,
  manifest_changed,
  manifest_storm,
};

[[nodiscard]] std::string_view NameOf(fault_kind kind);

/** @brief One fault of a schedule. */
struct fault {
  fault_kind kind{};
  /** Since the start of the run. */
  std::chrono::milliseconds at{};
  std::chrono::milliseconds lasts{};
  /** Chooses the target among those there are. */
  std::size_t target{};
  /** Chooses the variant. */
  std::size_t variant{};
};

/**
 * @brief Draws the faults of a run: series of several that overlap, then a
 * pause.
 */
[[nodiscard]] std::vector<fault> MakeSchedule(random_source& random,
                                              std::chrono::milliseconds length);

/** @brief Carries a fault out and undoes it; tells the judge what it
 * affects. */
[[nodiscard]] boost::asio::awaitable<void> Inject(deployment& system,
                                                  judge& checks,
                                                  fault what);

/** @brief Waits until every entry runs and no fault is left. */
[[nodiscard]] boost::asio::awaitable<void> RestoreAll(deployment& system);

}  // namespace mimosadeck::soak

#endif  // SOAK_FAULTS_H_
