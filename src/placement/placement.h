#ifndef PLACEMENT_PLACEMENT_H_
#define PLACEMENT_PLACEMENT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "outlier/outlier.h"
#include "placement/fwd.h"
#include "placement/read_time.h"
#include "registry/registry.h"

namespace mimosadeck::placement {

/**
 * @brief A segment of a prompt, such as the system prompt.
 *
 * Requests that share a segment send the same id, so that they can be placed
 * where the segment is already in the prefix cache.
 */
struct prompt_part {
  std::uint64_t id{};
  std::uint32_t tokens{};
};

/**
 * @brief Properties of a request that decide its placement.
 *
 * Reading a prompt means computing the key-value cache of its tokens
 * (prefill); answering means generating tokens (decode).
 */
struct job {
  /** Prompt parts in order. The last one is unique to the request or its
   * session; all others are shared with other requests. */
  std::vector<prompt_part> parts;
  /** Length of the whole prompt. */
  std::uint32_t prompt_tokens{};
  /** Expected length of the answer, in tokens. */
  std::uint32_t answer_tokens{};
  /** Target for the time until the answer starts. */
  std::chrono::milliseconds goal{};
  /** Target for the longest pause within the answer; zero for no target. */
  std::chrono::milliseconds pause_goal{};
  /** Selects the sampled upstreams, for example a hash of the request's id. */
  std::uint64_t sampling_key{};
};

/** @brief Load of one upstream. */
struct load {
  /** Requests that were sent and have not ended. */
  std::uint32_t running{};
  /** Prompt tokens of the running requests whose answer has not started. */
  std::uint32_t unread_tokens{};
  /** Tokens that the running requests hold in the key-value cache. */
  std::uint32_t held_tokens{};

  friend bool operator==(const load&, const load&) = default;
};

/**
 * @brief Work recently sent to a service, split by prompt length.
 *
 * Measured in prompt tokens, with answer tokens converted to the prompt tokens
 * that take as long. The sums decay exponentially.
 */
struct demand {
  /** Work of requests with short prompts. */
  double short_work{};
  /** Work of requests with long prompts. */
  double long_work{};
};

/** @brief Settings of the placement. */
struct options {
  /** Cost of sending a request to another data centre: a round trip and the
   * transfer of its bytes, as waiting time. */
  std::chrono::milliseconds cross_data_centre_cost{4};
  /** Cost of reading a shared token again because it is not cached, as a
   * multiple of its reading time. */
  double cache_miss_weight{8};
  /** A prompt is long if reading its unshared parts takes more than this
   * fraction of the tightest pause goal and its own stream tolerates longer
   * pauses. */
  double long_prompt_fraction{0.06};
  /** Cost of each request that the upstream already runs, as waiting time. */
  std::chrono::microseconds cost_per_running_request{800};
  /** Time for which an upstream is expected to cache a prompt part. */
  std::chrono::milliseconds cache_retention{20000};
  /** Upstreams sampled for each request besides the preferred one of its
   * shared parts; zero compares all. If many entries compared all upstreams by
   * the same stale loads, they would pick the same one at once. */
  std::size_t sample_size{0};
  /** Fraction of the cache memory beyond which running requests evict one
   * another. */
  double memory_fraction{0.85};
  outlier::options health;
};

/** @brief An upstream that requests may be sent to, with its state. */
struct candidate {
  std::shared_ptr<const registry::upstream> upstream;
  /** Hash of the incarnation. All entries sort the upstreams by it and so agree
   * on their order. */
  std::uint64_t incarnation_hash{};
  /** Load from this entry's requests. */
  load own_load;
  /** Load from the requests of other entries, as last reported by them. */
  load remote_load;
  outlier::record health;
  /** When this entry last sent each prompt part here, by part id. */
  std::unordered_map<std::uint64_t, mono_time> parts;
  /** Mean service time of a request to a plain service, in milliseconds. */
  double mean_service_ms{20};
  /** The upstream accepts no requests before this time. */
  mono_time closed_until;
  /** The upstream is chosen only as a last resort before this time. */
  mono_time avoided_until;
  /** The upstream is compared for every request, whatever the sample. */
  bool always_sampled{};
};

/**
 * @brief The upstreams of one service and this entry's state about them.
 *
 * The upstreams are either inference engines, which read prompts and keep a
 * key-value cache, or servers of a plain service.
 */
struct pool {
  std::string service;
  /** Capacity of an engine's key-value cache, in tokens; zero for a plain
   * service. */
  std::uint64_t cache_tokens{};
  /** Tightest pause goal among the service's streams; zero if none. */
  std::chrono::milliseconds tightest_pause_goal{};
  /** Upstreams by incarnation. */
  std::map<std::string, candidate, std::less<>> candidates;
  read_time_model read_times;
  /** Demand sent by this entry. */
  demand own_demand;
  /** Demand sent by other entries, as last reported by them. */
  demand remote_demand;
  /** Time up to which `own_demand` has decayed. */
  mono_time demand_updated_at;
  /** Number of upstreams, the first by hash, that short prompts have to
   * themselves; zero if they share all upstreams with long ones. */
  std::size_t short_prompt_upstreams{};
};

/** @brief The upstream chosen for a request, with the estimates behind it. */
struct selection {
  std::string incarnation;
  std::shared_ptr<const registry::upstream> upstream;
  /** Prompt tokens that the upstream is expected to read, as they are not
   * cached. */
  std::uint32_t unread_tokens{};
  /** Tokens that the request will hold in the key-value cache. */
  std::uint32_t held_tokens{};
  /** Expected time until the answer starts. */
  std::chrono::milliseconds expected{};
  /** The request has a long prompt. */
  bool is_long{};
  /** The upstream is in the group that serves long prompts. */
  bool beside_long{};
};

/** @brief Replaces the upstreams; the state of those that remain is kept. */
void SetUpstreams(
    pool& state,
    const std::vector<std::shared_ptr<const registry::upstream>>& usable);

/**
 * @brief Sets until when an upstream is closed or avoided.
 * @param closed_until No request is sent to it before this time.
 * @param avoided_until Other upstreams are preferred before this time.
 */
void SetAvailability(pool& state,
                     std::string_view incarnation,
                     mono_time closed_until,
                     mono_time avoided_until);

/**
 * @brief Sets whether an upstream is compared for every request, since this
 * entry may send to it for a short time only.
 */
void SetAlwaysSampled(pool& state,
                      std::string_view incarnation,
                      bool is_always_sampled);

/**
 * @brief Returns the time until the first closed upstream reopens.
 * @return Nothing if an upstream is open or if the pool has none.
 */
[[nodiscard]] std::optional<std::chrono::milliseconds> TimeUntilAvailable(
    const pool& state,
    mono_time now);

/**
 * @brief Returns the retry-after time for a caller while all upstreams are
 * closed.
 *
 * It is the time until the first upstream reopens plus up to a quarter of that
 * time, selected by the sampling key so that callers don't all retry at once.
 *
 * @return Nothing if an upstream is open or if the pool has none.
 */
[[nodiscard]] std::optional<std::chrono::milliseconds>
RetryAfter(const pool& state, const job& wanted, mono_time now);

/**
 * @brief Replaces the load and demand reported by other entries.
 * @param by_incarnation Load of each upstream from all other entries.
 * @param wanted Demand of all other entries for this service.
 */
void SetRemoteLoads(pool& state,
                    const std::map<std::string, load>& by_incarnation,
                    const demand& wanted);

/**
 * @brief Chooses the upstream with the lowest cost for a request.
 *
 * The cost is a waiting time. It covers reading the prompts queued there and
 * the uncached part of this one, the running requests, the distance, the risk
 * of failure and exhausted slots or memory. While there is capacity, short and
 * long prompts use separate groups of upstreams, since reading a long prompt
 * stalls the streams on the same upstream.
 *
 * @param data_centre Data centre of this entry.
 * @param excluded Incarnations that were already tried.
 * @return Nothing if every upstream is closed or excluded.
 */
[[nodiscard]] std::optional<selection> Choose(
    const pool& state,
    const options& settings,
    const job& wanted,
    const std::string& data_centre,
    const std::set<std::string>& excluded,
    mono_time now);

/** @brief Adds a sent request to the load and demand. */
void OnSent(pool& state,
            const options& settings,
            const selection& sent,
            const job& wanted,
            mono_time now);

/**
 * @brief Records that the answer started: the first event of a streamed answer
 * or the whole of any other was received.
 * @param elapsed Time since the request was sent.
 */
void OnAnswerStarted(pool& state,
                     const selection& sent,
                     std::chrono::microseconds elapsed);

/**
 * @brief Removes a request from the load when it has ended for any reason.
 * @param answer_started Whether OnAnswerStarted was called for it.
 */
void OnEnded(pool& state, const selection& sent, bool answer_started);

/**
 * @brief Updates the upstream's health and mean service time.
 * @param elapsed Time from sending the request to its outcome.
 */
void OnOutcome(pool& state,
               const options& settings,
               const selection& sent,
               outlier::outcome outcome,
               std::chrono::microseconds elapsed,
               mono_time now);

/** @brief Returns this entry's load by incarnation, to report to other
 * entries. */
[[nodiscard]] std::map<std::string, load> OwnLoads(const pool& state);

/** @brief Returns an upstream's load from the requests of all entries. */
[[nodiscard]] load TotalLoad(const candidate& target);

/** @brief Returns the work arriving at the service over all entries, in prompt
 * tokens per second. */
[[nodiscard]] double WorkPerSecond(const pool& state);

/** @brief Decays demand and adapts the number of upstreams reserved for short
 * prompts to it. */
void Tick(pool& state, mono_time now);

}  // namespace mimosadeck::placement

#endif  // PLACEMENT_PLACEMENT_H_
