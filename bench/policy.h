#ifndef BENCH_POLICY_H_
#define BENCH_POLICY_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bench/scenario.h"

namespace mimosadeck::bench {

/** @brief Which policy serves the demand. */
enum class policy {
  /** First come first served, round robin, no limits. */
  baseline,
  /** The libraries that the daemon runs. */
  mimosadeck,
};

/** @brief What happened to one class. */
struct class_result {
  std::uint64_t offered{};
  std::uint64_t in_target{};
  std::uint64_t served{};
  std::uint64_t refused{};
  std::uint64_t tokens{};
  std::uint64_t wasted_tokens{};
  double longest_wait_ms{};
};

/** @brief What happened in one run. */
struct run_result {
  std::map<std::string, class_result> classes;
  /** Least of all accounts: tokens served against its fair share. */
  double worst_account{1};
  double cheaper_part{};
  double cost{};
  std::uint64_t tokens{};
  std::uint64_t wasted_tokens{};
};

/** @brief Runs a scenario in virtual time; equal seeds give equal results. */
[[nodiscard]] run_result RunScenario(const scenario& what,
                                     policy how,
                                     std::uint64_t seed);

}  // namespace mimosadeck::bench

#endif  // BENCH_POLICY_H_
