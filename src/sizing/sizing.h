#ifndef SIZING_SIZING_H_
#define SIZING_SIZING_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "routing/routing.h"
#include "sizing/fwd.h"

namespace mimosadeck::sizing {

/** @brief Settings of the autoscaler. */
struct options {
  /** Target fraction of an upstream's reading throughput in use, on average;
   * the rest absorbs bursts that are shorter than an upstream's boot time. */
  double target_utilisation{0.7};
  /** Target fraction of slots and of cache memory in use, on average. */
  double target_occupancy{0.6};
  /** Fraction of the need that is covered by lasting upstreams, which the
   * provider doesn't evict. */
  double lasting_fraction{0.34};
  /** Capacity to order as a multiple of the need, so that it is still covered
   * after the evictable upstreams of one data centre are evicted. */
  double overprovision_factor{1.25};
  /** Time in which the remembered need decays to half once load falls. */
  std::chrono::milliseconds need_half_life{25000};
  /** A plan must stay below the last order for this time before the lower count
   * is ordered. */
  std::chrono::milliseconds scale_down_delay{12000};
  /** Time to wait before the next order after the provider refused one. */
  std::chrono::milliseconds refused_retry_delay{2500};
  /** Time to wait before an order without an answer is sent again, since the
   * provider may still carry it out. */
  std::chrono::milliseconds retry_delay{3000};
};

/** @brief Ready upstreams of one data centre, by kind. */
struct ready_count {
  /** Upstreams that the provider doesn't evict. */
  std::uint32_t lasting{};
  /** Cheaper upstreams that the provider may evict at any time. */
  std::uint32_t evictable{};
};

/** @brief Current capacity and load of a service. */
struct observation {
  /** Ready upstreams by data centre. */
  std::map<std::string, ready_count> ready;
  /** Data centres to which no work is sent. Their upstreams cover no need, and
   * only the minimum is kept there. */
  std::set<std::string> evacuated;
  /** Arriving work in prompt tokens per second, with answer tokens converted to
   * prompt tokens. */
  double tokens_per_second{};
  /** Time to read one prompt token, in milliseconds. */
  double ms_per_token{};
  /** Requests running on all upstreams. */
  std::uint32_t running{};
  /** Tokens held in the caches of all upstreams. */
  std::uint64_t held_tokens{};
  /** Slots of one upstream; see TypicalSlots(). */
  std::uint32_t slots{};
  /** Cache capacity of one upstream, in tokens. */
  std::uint64_t cache_tokens{};
};

/**
 * @brief Returns the slots that a single upstream is assumed to have: the
 * median, which one odd registration does not change.
 * @return Zero without upstreams.
 */
[[nodiscard]] std::uint32_t TypicalSlots(std::vector<std::uint32_t> slots);

/** @brief Order to a provider: the total number of upstreams of one kind that a
 * data centre should run. */
struct order {
  std::string data_centre;
  bool evictable{};
  std::uint32_t count{};

  friend bool operator==(const order&, const order&) = default;
};

/** @brief The upstreams of one kind in one data centre: its name and whether
 * they are evictable. */
using group = std::pair<std::string, bool>;

/** @brief State of the last order for one group. */
struct order_state {
  /** Count of the last order, or the ready count before the first one. */
  std::uint32_t ordered_count{};
  /** Whether the provider accepted the last order. */
  bool confirmed{};
  mono_time sent_at;
  /** No order is sent for the group before this time. */
  mono_time retry_at;
  /** Since when the plan has been below the last order; unset if it is not. */
  std::optional<mono_time> plan_lower_since;
};

/** @brief State of the autoscaler for one service. */
struct planner {
  /** Number of upstreams needed; decays from past peaks. */
  std::optional<double> need;
  mono_time need_updated_at;
  bool has_seen_load{};
  std::map<group, order_state> groups;
};

/**
 * @brief Updates the plan for a service and returns an order if one is due.
 *
 * Until any load is observed, the ready upstreams count as the need, since the
 * operators provided them. Lasting upstreams are released only after evictable
 * ones have replaced them. They are ordered again when evictable ones were
 * evicted and can't be replaced.
 *
 * @return At most one order per call.
 */
[[nodiscard]] std::optional<order> NextOrder(
    planner& state,
    const options& settings,
    const routing::scaling_bounds& bounds,
    const observation& observed,
    mono_time now);

/** @brief The provider's answer to an order. */
enum class order_answer { accepted, refused, unanswered };

/** @brief Records the provider's answer to an order. */
void OnOrderAnswer(planner& state,
                   const options& settings,
                   const order& sent,
                   order_answer answer,
                   mono_time now);

}  // namespace mimosadeck::sizing

#endif  // SIZING_SIZING_H_
