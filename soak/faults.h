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

/** @brief Kinds of injected faults and of operator actions. */
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

/** @brief A scheduled fault. */
struct fault {
  fault_kind kind{};
  /** Since the start of the run. */
  std::chrono::milliseconds start{};
  std::chrono::milliseconds duration{};
  /** Selects the entry or upstream, modulo their number. */
  std::size_t target{};
  /** Selects the variant of the fault, modulo the number of variants. */
  std::size_t variant{};
};

/**
 * @brief Draws the faults of a run: series of overlapping faults, separated by
 * pauses.
 */
[[nodiscard]] std::vector<fault> MakeSchedule(random_source& random,
                                              std::chrono::milliseconds length);

/** @brief Injects a fault, reverts it after its duration, and reports both to
 * the judge. */
[[nodiscard]] boost::asio::awaitable<void> Inject(deployment& system,
                                                  judge& checks,
                                                  fault spec);

/** @brief Waits until no entry or upstream is stopped or restarting. */
[[nodiscard]] boost::asio::awaitable<void> RestoreAll(deployment& system);

}  // namespace mimosadeck::soak

#endif  // SOAK_FAULTS_H_
