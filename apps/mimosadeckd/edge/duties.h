#ifndef APPS_MIMOSADECKD_EDGE_DUTIES_H_
#define APPS_MIMOSADECKD_EDGE_DUTIES_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "mimosadeckd/edge/state.h"
#include "sizing/sizing.h"

namespace mimosadeck::edge {

/**
 * @brief Tasks that only the lease holder performs: reporting usage and
 * ordering upstream capacity.
 *
 * Each entry runs an instance, which contends for the lease.
 */
class duties {
 public:
  explicit duties(edge_state& state);

  /** @brief Runs until the daemon stops. */
  [[nodiscard]] asio::awaitable<void> Run();

  /** @brief Releases the lease before a planned stop. */
  void Release();

 private:
  asio::awaitable<void> TickLease();
  asio::awaitable<void> ScaleServices();
  asio::awaitable<void> ReportDueWindows();
  asio::awaitable<void> ReportWindow(metering::window_number window);
  asio::awaitable<std::optional<std::string>> FrozenCounts(
      metering::window_number window);
  asio::awaitable<std::optional<std::string>> ReadFrozenCounts(
      metering::window_number window);
  asio::awaitable<std::optional<std::string>> FreezeCounts(
      metering::window_number window);
  asio::awaitable<void> RestoreFrozenCounts();
  [[nodiscard]] wall_time DueTime(metering::window_number window) const;
  [[nodiscard]] wall_time ReportsKnownFrom(bool is_first_response);
  void CheckConnectivity();
  void CheckEra();
  [[nodiscard]] bool MayAct() const;
  [[nodiscard]] bool MayContend() const;
  void StepDown(std::string_view reason);

  edge_state& state_;
  lease::options options_;
  /** Capacity planners by service; reset when the lease is lost. */
  std::map<std::string, sizing::planner> planners_;
  sizing::options sizing_options_;
  metering::report_log reports_;
  /** Windows whose frozen counts this process wrote to the store and has not
   * removed yet, oldest first. */
  std::deque<metering::window_number> frozen_;
  /** Window in which this process started. */
  metering::window_number first_window_{};
  lease::acting_options acting_options_;
  lease::acting_guard guard_;
  /** The lease is being released because most other entries are unreachable. */
  bool is_cut_off_{};
  /** When the lease was acquired last. */
  wall_time acquired_at_;
  /** Era of the store in which this entry contends; unset before the store's
   * first response. */
  std::optional<std::uint64_t> era_;
};

}  // namespace mimosadeck::edge

#endif  // APPS_MIMOSADECKD_EDGE_DUTIES_H_
