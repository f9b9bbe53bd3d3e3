#ifndef APPS_MIMOSADECKD_EDGE_DUTIES_H_
#define APPS_MIMOSADECKD_EDGE_DUTIES_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "mimosadeckd/edge/state.h"
#include "sizing/sizing.h"

namespace mimosadeck::edge {

/**
 * @brief Contends for the lease and, while it holds it, reports usage and
 * orders upstreams.
 */
class duties {
 public:
  explicit duties(edge_state& state);

  /** @brief Runs until the daemon stops. */
  [[nodiscard]] asio::awaitable<void> Run();

  /** @brief Gives the lease up before a planned stop. */
  void Release();

 private:
  asio::awaitable<void> TickLease();
  asio::awaitable<void> SizeServices();
  asio::awaitable<void> ReportDueWindows();
  asio::awaitable<void> ReportWindow(metering::window_number window);
  asio::awaitable<std::optional<std::string>> Freeze(
      metering::window_number window);
  void CheckContact();
  [[nodiscard]] bool MayAct() const;
  [[nodiscard]] bool Contends() const;
  void StepDown(std::string_view reason);

  edge_state& state_;
  lease::options options_;
  /** Plans by service; begun anew with each holding of the lease. */
  std::map<std::string, sizing::planner> planners_;
  sizing::options sizing_options_;
  std::set<metering::window_number> reported_;
  /** Windows whose rows this process wrote and has not removed. */
  std::deque<metering::window_number> frozen_;
  metering::window_number first_window_{};
  lease::acting_options acting_options_;
  lease::acting_guard guard_;
  /** The lease is being given up, since most other entries are not heard. */
  bool is_cut_off_{};
};

}  // namespace mimosadeck::edge

#endif  // APPS_MIMOSADECKD_EDGE_DUTIES_H_
