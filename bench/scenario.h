#ifndef BENCH_SCENARIO_H_
#define BENCH_SCENARIO_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace mimosadeck::bench {

/** @brief Demand of one class. */
struct class_demand {
  std::string name;
  int tier{};
  double requests_per_second{};
  std::chrono::milliseconds first_token{};
  std::chrono::milliseconds max_wait{};
  /** Mean length; lengths are log-normal, so the tail is heavy. */
  double mean_tokens{};
  bool resumable{};
};

/** @brief One client account's part of the demand. */
struct account_demand {
  std::string name;
  double part{};
  double weight{1};
};

/** @brief A group of equal upstreams. */
struct upstream_group {
  std::uint32_t count{};
  std::uint32_t slots{};
  std::chrono::milliseconds token_time{};
  bool cheaper{};
  double cost_per_hour{};
};

/** @brief A disturbance for a time. */
struct disturbance {
  enum class kind { burst, evict_cheaper, slow_one, crowd };
  kind what{kind::burst};
  std::chrono::milliseconds from{};
  std::chrono::milliseconds until{};
  /** Class or account that the disturbance is about. */
  std::string subject;
  double factor{1};
};

/** @brief One experiment. */
struct scenario {
  std::string name;
  std::chrono::milliseconds duration{};
  std::vector<class_demand> classes;
  std::vector<account_demand> accounts;
  std::vector<upstream_group> upstreams;
  std::vector<disturbance> disturbances;
};

/**
 * @brief Reads a scenario file in JSON with comments.
 * @throw std::exception if the file is no scenario.
 */
[[nodiscard]] scenario LoadScenario(const std::string& path);

}  // namespace mimosadeck::bench

#endif  // BENCH_SCENARIO_H_
