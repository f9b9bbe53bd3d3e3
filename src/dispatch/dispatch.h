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

/** @brief Settings of a pool. */
struct options {
  admission::options queue;
  /** Fraction of all slots that is reserved for tier 0. */
  double reserved_fraction{0.1};
  /** Time in which the weight of a load report against the exact count of
   * granted slots halves. */
  std::chrono::milliseconds load_report_half_life{500};
  /** Time for which an upstream gets no new requests after it failed. */
  std::chrono::milliseconds failure_pause{2000};
  /** Assumed tokens per second of one slot until a rate was measured. */
  double tokens_per_slot_second{20};
  /** Consistent hashing with bounded loads: an upstream takes requests for its
   * prefixes while its load is at most the mean load times this factor, with a
   * small allowance. */
  double bounded_load_factor{1.25};
  /** Prefer cheaper upstreams for resumable requests of tiers 2 and lower, and
   * standard ones for all other requests. */
  bool prefer_cheaper_for_resumable{true};
  /** Refuse a request at once if its predicted wait exceeds its maximum. */
  bool predict_wait{true};
  /** Preempt resumable requests of tiers 3 and lower for waiting requests of
   * tiers 0 and 1. */
  bool preempt{true};
};

/** @brief An upstream of the pool. */
struct upstream {
  std::string id;
  std::string address;
  /** Requests that it runs at the same time. */
  std::uint32_t slots{};
  /** Of the cheaper kind; see options::prefer_cheaper_for_resumable. */
  bool cheaper{};
  /** Finishes its requests but gets no new ones. */
  bool leaving{};
  /** Granted slots. */
  std::uint32_t in_flight{};
  /** Busy fraction that the upstream last reported; it includes requests that
   * this pool didn't grant. */
  double reported_load{};
  mono_time reported_at;
  /** Gets no new requests before this time. */
  mono_time paused_until;
  std::uint32_t failures{};
  double tokens_per_second{};
};

/** @brief A request for a slot of the pool. */
struct request {
  /** Unique at its entry. */
  std::uint64_t id{};
  /** Entry that forwards the request. */
  std::string entry;
  /** Client account. */
  std::string account;
  std::string class_name;
  /** Weight of the account in fair sharing. */
  double weight{1};
  /** Priority level; 0 is the highest. */
  int tier{};
  /** Expected length of the answer, in tokens. */
  std::uint32_t expected_tokens{};
  std::chrono::milliseconds max_wait{};
  /** Identifies equal requests, to find those that crash upstreams. */
  std::string fingerprint;
  /** Hash of the prompt's prefix; zero if none. */
  std::uint64_t prefix{};
  /** May be preempted and continued later. */
  bool resumable{};
  /** Continues a request that had begun, and is not refused for its predicted
   * wait. */
  bool resumed{};
  /** Suspected of crashing upstreams, so it must not share one. */
  bool run_alone{};
  /** Upstreams that must not serve the request. */
  std::set<std::string> avoid;
};

/** @brief A slot of an upstream, held by a request. */
struct grant {
  std::uint64_t id{};
  dispatch::request request;
  std::string upstream_id;
  mono_time granted_at;
  /** The holder was asked to release the slot. */
  bool preempted{};
};

/** @brief Action: send the grant to the request's entry. */
struct granted {
  dispatch::grant grant;
  std::string address;
  bool cheaper{};
};

/** @brief Action: refuse the request, which was not run in this pool. */
struct refused {
  dispatch::request request;
  result_code code{result_code::queue_full};
  std::chrono::milliseconds retry_after{};
};

/** @brief Action: ask the holder of a grant to release it and request a new
 * one. */
struct preempt {
  dispatch::grant grant;
};

/** @brief Message that the pool's owner must send to an entry. */
using action = std::variant<granted, refused, preempt>;

/** @brief How the use of a grant ended. The numbers go over the wire. */
enum class ending {
  finished = 0,
  /** The request was not sent to the upstream. */
  never_sent = 1,
  upstream_failed = 2,
  /** The upstream didn't answer in time. */
  upstream_silent = 3,
  caller_left = 4,
  preempted = 5,
  /** The connection was lost, but the upstream answers on a new one. */
  connection_lost = 6,
};

/**
 * @brief A pool: the upstreams of one model or service in one data centre.
 *
 * Exactly one entry owns a pool and grants its slots, so its counts are exact
 * while the membership is stable.
 */
struct pool {
  std::string name;
  /** Upstreams by id. */
  std::map<std::string, upstream> upstreams;
  /** Grants in use, by id. */
  std::map<std::uint64_t, grant> grants;
  /** Queued requests, by their id in the queue. */
  std::map<std::uint64_t, request> waiting;
  admission::queue queue;
  std::uint64_t next_grant_id{1};
  std::uint64_t next_queue_id{1};
  /** Measured tokens per second of one slot; zero until measured. */
  double tokens_per_slot_second{};
  std::set<std::string> isolated;
};

/** @brief Adds an upstream or updates its address, slots and flags. */
void SetUpstream(pool& state, const upstream& updated);

/** @brief Marks all upstreams except the listed ones as leaving and removes
 * those without requests. */
void RetainUpstreams(pool& state, const std::set<std::string>& ids);

/**
 * @brief Records a load report of an upstream.
 * @param load Fraction of its slots that is busy.
 */
void OnLoadReport(pool& state,
                  const std::string& upstream_id,
                  double load,
                  mono_time now);

/**
 * @brief Grants a slot to a request, queues it or refuses it.
 *
 * A request is refused at once if no upstream of the pool can serve it, so that
 * its entry can try another pool.
 *
 * @return A grant; refusals of this request or of one that it displaced;
 * preemptions; or nothing while the request waits.
 */
[[nodiscard]] std::vector<action> OnRequest(pool& state,
                                            const options& settings,
                                            const request& wanted,
                                            mono_time now);

/** @brief Removes a queued request of an entry. */
void OnCancel(pool& state, const std::string& entry, std::uint64_t request_id);

/**
 * @brief Releases a grant; does nothing if it was released before.
 * @param tokens Tokens that the upstream produced under the grant.
 * @return Grants to queued requests.
 */
[[nodiscard]] std::vector<action> OnRelease(pool& state,
                                            const options& settings,
                                            std::uint64_t grant_id,
                                            ending how,
                                            std::uint32_t tokens,
                                            mono_time now);

/**
 * @brief Releases the grants and removes the requests of an entry that left the
 * membership.
 * @return Grants to queued requests of other entries.
 */
[[nodiscard]] std::vector<action> OnEntryGone(pool& state,
                                              const options& settings,
                                              const std::string& entry,
                                              mono_time now);

/** @brief Adds a grant that a previous owner of the pool gave, once. */
void AdoptGrant(pool& state, const grant& adopted);

/** @brief Refuses requests that waited too long and grants free slots to queued
 * ones. */
[[nodiscard]] std::vector<action> Tick(pool& state,
                                       const options& settings,
                                       mono_time now);

/**
 * @brief Predicts how long a new request would wait for a slot.
 * @return At most one hour, which is also returned if no upstream is usable.
 */
[[nodiscard]] std::chrono::milliseconds PredictWait(const pool& state,
                                                    const options& settings,
                                                    const request& wanted,
                                                    mono_time now);

/** @brief Returns the total slots of the upstreams that may get requests. */
[[nodiscard]] std::uint32_t UsableSlots(const pool& state, mono_time now);

/**
 * @brief Chooses an upstream with a free slot for a request.
 * @return Null if none is suitable.
 */
[[nodiscard]] upstream* ChooseUpstream(pool& state,
                                       const options& settings,
                                       const request& wanted,
                                       mono_time now);

/** @brief A pool that may serve a request, as seen by the request's entry. */
struct pool_choice {
  std::string pool;
  /** The pool is in the entry's own data centre. */
  bool local{};
  /** Last wait predicted by the pool's owner; unset counts as zero. */
  std::optional<std::chrono::milliseconds> wait;
  /** Fraction of free slots; more is better at equal cost. */
  double free_fraction{};
};

/**
 * @brief Sorts the pools of one model by preference for a request.
 *
 * The pool with the shortest wait goes first, where a pool in another data
 * centre counts as waiting longer by `cross_data_centre_cost`.
 */
void OrderPools(std::vector<pool_choice>& choices,
                std::chrono::milliseconds cross_data_centre_cost);

}  // namespace mimosadeck::dispatch

#endif  // DISPATCH_DISPATCH_H_
