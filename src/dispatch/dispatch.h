#ifndef DISPATCH_DISPATCH_H_
#define DISPATCH_DISPATCH_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "admission/admission.h"
#include "base/base.h"
#include "dispatch/fwd.h"

namespace mimosadeck::dispatch {

/** @brief Settings of one pool. */
struct options {
  admission::options queue;
  /** Slots that only tier 0 may take, as a part of all slots. */
  double reserved_part{0.1};
  /** Weight of a report against the exact count as the report ages. */
  std::chrono::milliseconds report_half_life{500};
  /** No new work goes to an upstream for so long after it failed. */
  std::chrono::milliseconds failure_pause{2000};
  /** Tokens a second that one slot produces until measured. */
  double tokens_per_slot_second{20};
  /** Load above the mean at which a prefix no longer binds. */
  double prefix_load_factor{1.25};
  /** Upstreams that fit the same work are kept fuller in this order. */
  bool prefer_cheaper_for_resumable{true};
  /** Refuse at once what is predicted to wait longer than it may. */
  bool predict_wait{true};
  /** Let waiting work of tiers 0 and 1 interrupt resumable lower work. */
  bool preempt{true};
};

/** @brief One upstream of the pool. */
struct upstream {
  std::string id;
  std::string address;
  std::uint32_t slots{};
  bool cheaper{};
  bool leaving{};
  std::uint32_t in_flight{};
  double reported_load{};
  mono_time reported_at;
  mono_time paused_until;
  std::uint32_t failures{};
  double tokens_per_second{};
};

/** @brief A request for an upstream of the pool. */
struct request {
  std::uint64_t id{};
  std::string entry;
  std::string account;
  std::string class_name;
  double weight{1};
  int tier{};
  std::uint32_t expected_tokens{};
  std::chrono::milliseconds max_wait{};
  std::string fingerprint;
  std::uint64_t prefix{};
  bool resumable{};
  bool resumed{};
  bool isolate{};
  std::set<std::string> avoid;
};

/** @brief A request that holds a slot of an upstream. */
struct grant {
  std::uint64_t id{};
  request work;
  std::string upstream_id;
  mono_time granted_at;
  bool preempted{};
};

/** @brief A slot was given. */
struct granted {
  grant given;
  std::string address;
  bool cheaper{};
};

/** @brief A request is refused; it certainly was not run by this grant. */
struct refused {
  request work;
  result_code code{result_code::queue_full};
  std::chrono::milliseconds retry_after{};
};

/** @brief The holder of a grant must stop and ask again. */
struct preempt {
  grant given;
};

/** @brief What the pool's owner must tell others. */
using action = std::variant<granted, refused, preempt>;

/** @brief How a grant ended. */
enum class ending {
  finished = 0,
  never_sent = 1,
  upstream_failed = 2,
  upstream_silent = 3,
  caller_left = 4,
  preempted = 5,
  /** The connection was lost, though the upstream answers on another. */
  connection_lost = 6,
};

/**
 * @brief One pool: the upstreams of one model or service in one data centre.
 *
 * One entry owns a pool at a time and gives out its slots, so that its counts
 * are exact while membership is settled.
 */
struct pool {
  std::string name;
  std::map<std::string, upstream> upstreams;
  std::map<std::uint64_t, grant> grants;
  std::map<std::uint64_t, request> waiting;
  admission::queue queue;
  std::uint64_t next_grant{1};
  std::uint64_t next_ticket{1};
  double tokens_per_slot_second{};
  std::set<std::string> isolated;
};

/** @brief Adds an upstream or updates what is known of it. */
void SetUpstream(pool& state, const upstream& known);

/** @brief Lists the upstreams that may get work; others get none from now. */
void KeepUpstreams(pool& state, const std::set<std::string>& ids);

/** @brief Takes a load report: part of the upstream that is busy. */
void OnLoadReport(pool& state,
                  const std::string& upstream_id,
                  double load,
                  mono_time now);

/**
 * @brief Takes a request.
 * @return A grant, refusals (of this request or of one that it displaces), or
 * nothing while it waits. A request that no upstream of the pool can serve is
 * refused at once, so that its entry can try another pool.
 */
[[nodiscard]] std::vector<action> OnRequest(pool& state,
                                            const options& settings,
                                            const request& wanted,
                                            mono_time now);

/** @brief Withdraws a waiting request. */
void OnCancel(pool& state, const std::string& entry, std::uint64_t request_id);

/**
 * @brief Takes a grant back.
 * @param tokens Tokens that the upstream produced under it.
 * @return Grants for waiting requests.
 */
[[nodiscard]] std::vector<action> OnRelease(pool& state,
                                            const options& settings,
                                            std::uint64_t grant_id,
                                            ending how,
                                            std::uint32_t tokens,
                                            mono_time now);

/** @brief Takes back every grant and request of an entry that is gone. */
[[nodiscard]] std::vector<action> OnEntryGone(pool& state,
                                              const options& settings,
                                              const std::string& entry,
                                              mono_time now);

/** @brief Learns of a grant that a former owner gave. */
void AdoptGrant(pool& state, const grant& given);

/** @brief Refuses what waited too long and fills free slots. */
[[nodiscard]] std::vector<action> Tick(pool& state,
                                       const options& settings,
                                       mono_time now);

/**
 * @brief Predicts the wait of a new request.
 * @return Wait; at most one hour, which stands for no usable upstream.
 */
[[nodiscard]] std::chrono::milliseconds PredictWait(const pool& state,
                                                    const options& settings,
                                                    const request& wanted,
                                                    mono_time now);

/** @brief Returns all slots of upstreams that may get work. */
[[nodiscard]] std::uint32_t UsableSlots(const pool& state, mono_time now);

/**
 * @brief Chooses an upstream with a free slot.
 * @return The upstream, or nullptr if none fits.
 */
[[nodiscard]] upstream* ChooseUpstream(pool& state,
                                       const options& settings,
                                       const request& wanted,
                                       mono_time now);

/** @brief What an entry knows of a pool that may serve its request. */
struct pool_choice {
  std::string pool;
  bool local{};
  std::optional<std::chrono::milliseconds> wait;
  double free_part{};
};

/**
 * @brief Orders pools of one model for a request.
 *
 * The local data centre goes first unless its known wait is longer than
 * another's by more than the cost of leaving the data centre.
 */
void OrderPools(std::vector<pool_choice>& choices,
                std::chrono::milliseconds leaving_cost);

}  // namespace mimosadeck::dispatch

#endif  // DISPATCH_DISPATCH_H_
