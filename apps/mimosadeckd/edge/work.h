#ifndef APPS_MIMOSADECKD_EDGE_WORK_H_
#define APPS_MIMOSADECKD_EDGE_WORK_H_

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "answer/answer.h"
#include "forwarding/forwarding.h"
#include "mimosadeckd/edge/state.h"
#include "mimosadeckd/refusal.h"

namespace mimosadeck::edge {

/** @brief One caller's request on its way through this entry. */
struct work {
  net::http_request received;
  platform::caller_request asked;
  /** The manifest in force when the request came; it serves to the end. */
  std::shared_ptr<const routing::table> table;
  const routing::route* route{};
  /** Null on open routes. */
  const routing::client_account* account{};
  std::string service;
  placement::job job;
  std::chrono::steady_clock::time_point arrived;
  std::chrono::steady_clock::time_point deadline;

  forwarding::progress progress;
  answer::event_framer events;
  /** Upstreams that were tried, by incarnation. */
  std::set<std::string> tried;
  /** Computed when it is first asked for. */
  std::string fingerprint;
  /** Upstreams and how each attempt ended, for the log. */
  std::string attempts;
  std::optional<std::chrono::milliseconds> expected;
  std::optional<std::chrono::milliseconds> begun_after;
  /** Longest time between two pieces of a stream. */
  std::chrono::milliseconds longest_pause{};
  std::chrono::steady_clock::time_point last_piece;
  /** The prompt takes long to read. */
  bool is_long{};
  /** The upstream reads long prompts. */
  bool beside_long{};
  /** The call in progress, so that it can be closed. */
  net::http_call* call{};
  bool caller_left{};

  /** @brief Returns the request's urgency; 0 is the most urgent. */
  [[nodiscard]] int Urgency() const {
    return route ? table->UrgencyOf(*route, account) : 0;
  }

  [[nodiscard]] std::string AccountName() const {
    return account ? account->name : std::string{};
  }
};

/** @brief Returns the time since a start. */
[[nodiscard]] inline std::chrono::microseconds Since(
    std::chrono::steady_clock::time_point start) {
  return std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now() - start);
}

/** @brief Returns a time in whole milliseconds. */
[[nodiscard]] inline std::chrono::milliseconds Ms(
    std::chrono::microseconds time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time);
}

/** @brief Carries a request to upstreams and the answer back. */
[[nodiscard]] asio::awaitable<void> Forward(edge_state& state,
                                            std::shared_ptr<work> work,
                                            net::exchange& exchange);

/** @brief Answers with a refusal and logs the request's end. */
[[nodiscard]] asio::awaitable<void> Refuse(edge_state& state,
                                           const work& work,
                                           daemon::refusal reason,
                                           net::exchange& exchange);

/** @brief Logs how a request ended, with what decided it. */
void LogEnd(edge_state& state,
            const work& work,
            int status,
            std::string_view outcome);

/** @brief Identifies requests that are the same to an upstream. */
[[nodiscard]] const std::string& FingerprintOf(work& work);

}  // namespace mimosadeck::edge

#endif  // APPS_MIMOSADECKD_EDGE_WORK_H_
