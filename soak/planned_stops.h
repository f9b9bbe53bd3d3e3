#ifndef SOAK_PLANNED_STOPS_H_
#define SOAK_PLANNED_STOPS_H_

#include <chrono>
#include <cstdint>

#include "soak/deployment.h"

namespace mimosadeck::soak {

/** @brief A run with planned stops. */
struct planned_stop_options {
  std::uint64_t seed{};
  std::chrono::seconds length{};
  std::size_t callers{};
  /** Off on slow machines: then only what speed cannot bring about is judged.
   */
  bool timed{true};
  /** Resumable streams pause for longer than entries wait for them. */
  bool long_pauses{};
  /** Name of the only thing that is done beside stops; empty for any. */
  std::string only;
  deployment_options system;
};

/**
 * @brief Runs entries under traffic with long streams, stops them as planned,
 * singly and in overlapping series, and judges what is cut.
 * @return Exit status: 0, 1 if a promise was broken, 2 if none was checked.
 */
[[nodiscard]] int RunPlannedStops(planned_stop_options options);

}  // namespace mimosadeck::soak

#endif  // SOAK_PLANNED_STOPS_H_
