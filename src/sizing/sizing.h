#ifndef SIZING_SIZING_H_
#define SIZING_SIZING_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "routing/routing.h"
#include "sizing/fwd.h"

namespace mimosadeck::sizing {

/** @brief Settings of the number of upstreams. */
struct options {
  /** Part of an upstream's reading time that is used on average; the rest
   * absorbs bursts shorter than an upstream's boot. */
  double target_use{0.7};
  /** Part of the slots and of the memory that is used on average. */
  double target_room{0.6};
  /** Part of the need that is met by upstreams that cannot be taken away. */
  double lasting_part{0.34};
  /** Capacity ordered as a multiple of the need, so that the need is met while
   * one data centre's evictable upstreams are gone. */
  double surplus{1.25};
  /** Time in which a need that has passed is half forgotten. */
  std::chrono::milliseconds need_half_life{25000};
  /** A plan below the present one must last so long to be ordered. */
  std::chrono::milliseconds shrink_delay{12000};
  /** An order that was refused is not repeated before. */
  std::chrono::milliseconds refused_pause{2500};
  /** An order without an answer is repeated after this time; it may be carried
   * out late. */
  std::chrono::milliseconds repeat_after{3000};
};

/** @brief Ready upstreams of one data centre. */
struct ready_count {
  std::uint32_t lasting{};
  std::uint32_t evictable{};
};

/** @brief A service as seen now. */
struct observation {
  std::map<std::string, ready_count> ready;
  /** Reading and answering work that arrives, in prompt tokens a second. */
  double tokens_per_second{};
  /** Time to read one prompt token, in ms. */
  double ms_per_token{};
  /** Requests running and tokens held, over all upstreams. */
  std::uint32_t running{};
  std::uint64_t held_tokens{};
  std::uint32_t slots{};
  std::uint64_t cache_tokens{};
};

/** @brief A number of upstreams of one kind in one data centre. */
struct order {
  std::string data_centre;
  bool evictable{};
  std::uint32_t count{};

  friend bool operator==(const order&, const order&) = default;
};

/** @brief Key of a kind of upstream: data centre, evictable. */
using group = std::pair<std::string, bool>;

/** @brief What is known of one group's orders. */
struct order_state {
  std::uint32_t ordered{};
  bool settled{};
  mono_time sent_at;
  mono_time not_before;
  /** Since when the plan is below the order; unset while it is not. */
  std::optional<mono_time> lower_since;
};

/** @brief The plan for one service. */
struct planner {
  /** Upstreams needed, with past peaks fading. */
  std::optional<double> need;
  mono_time need_at;
  bool has_seen_load{};
  std::map<group, order_state> groups;
};

/**
 * @brief Plans the service and returns the order that is due.
 *
 * Until load was seen, the upstreams that are present count as the need: they
 * are what the operators provided. Lasting upstreams are let go only once
 * evictable ones stand in for them, and are ordered when evictable ones are
 * taken away and not to be had.
 */
[[nodiscard]] std::optional<order> NextOrder(
    planner& state,
    const options& settings,
    const routing::scaling_bounds& bounds,
    const observation& seen,
    mono_time now);

/** @brief How an order was answered. */
enum class order_answer { accepted, refused, unanswered };

/** @brief Takes the answer to an order. */
void OnAnswer(planner& state,
              const options& settings,
              const order& sent,
              order_answer answer,
              mono_time now);

}  // namespace mimosadeck::sizing

#endif  // SIZING_SIZING_H_
