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

/** @brief A part of a prompt; requests that share parts share their ids. */
struct prompt_part {
  std::uint64_t id{};
  std::uint32_t tokens{};
};

/** @brief What a request asks of an upstream. */
struct job {
  /** In order; the last part is the request's or its session's own. */
  std::vector<prompt_part> parts;
  std::uint32_t prompt_tokens{};
  /** Tokens that the answer is expected to have. */
  std::uint32_t answer_tokens{};
  /** Time to the first sign of the answer that is on time. */
  std::chrono::milliseconds goal{};
  /** Longest pause in the answer that is on time; zero if any is. */
  std::chrono::milliseconds pause_goal{};
  /** Decides which upstreams are sampled, such as a hash of the request's id.
   */
  std::uint64_t sampling_key{};
};

/** @brief Work on one upstream. */
struct load {
  /** Requests that were sent and have not ended. */
  std::uint32_t running{};
  /** Prompt tokens of those that have not begun to answer. */
  std::uint32_t unread_tokens{};
  /** Tokens that they hold in the upstream's memory. */
  std::uint32_t held_tokens{};

  friend bool operator==(const load&, const load&) = default;
};

/** @brief Work that an entry sent to a service lately, by pattern. */
struct demand {
  /** Reading and answering time of short prompts, per second of time. */
  double short_work{};
  /** The same for long prompts. */
  double long_work{};
};

/** @brief Settings of the choice. */
struct options {
  /** Cost of a request that leaves its data centre: a round trip and its
   * bytes, as waiting time. */
  std::chrono::milliseconds other_data_centre{4};
  /** Waiting time that one token saved from being read again is worth, as a
   * multiple of its reading time. */
  double reread_weight{8};
  /** A prompt is long if reading it takes this part of the tightest pause, and
   * its own stream tolerates longer ones. */
  double long_prompt_part{0.06};
  /** Waiting time charged for each request already running. */
  std::chrono::microseconds crowding{800};
  /** How long an upstream is expected to keep a part that it read. */
  std::chrono::milliseconds cache_time{20000};
  /** Upstreams sampled for each request besides the home of its shared parts;
   * zero compares all. Where many entries act on the same stale loads,
   * comparing all makes them pick the same upstream at once. */
  std::size_t sample_size{0};
  /** Part of the memory beyond which running requests displace one another. */
  double memory_part{0.85};
  outlier::options health;
};

/** @brief What is known of one upstream. */
struct candidate {
  std::shared_ptr<const registry::upstream> entry;
  /** Place in the order that all entries give the upstreams. */
  std::uint64_t rank{};
  load own;
  /** Sent by other entries, as they tell. */
  load others;
  outlier::record health;
  /** When this entry last sent each part here. */
  std::unordered_map<std::uint64_t, mono_time> parts;
  /** Mean time to serve a request of a plain service. */
  double service_ms{20};
  /** It takes no work before this time. */
  mono_time closed_until;
  /** Others are preferred before this time. */
  mono_time avoided_until;
};

/** @brief The upstreams of one service and what this entry learned of them. */
struct pool {
  std::string service;
  /** Zero for a plain service. */
  std::uint64_t cache_tokens{};
  /** Tightest pause goal among the service's streams; zero if none. */
  std::chrono::milliseconds tightest_pause{};
  /** By incarnation. */
  std::map<std::string, candidate, std::less<>> candidates;
  read_time reading;
  demand own_demand;
  demand others_demand;
  mono_time demand_at;
  /** Upstreams that short prompts have to themselves. */
  std::size_t short_upstreams{};
};

/** @brief A chosen upstream, and what was expected of it. */
struct ticket {
  std::string incarnation;
  std::shared_ptr<const registry::upstream> entry;
  /** Tokens that the upstream is expected to read. */
  std::uint32_t unread_tokens{};
  std::uint32_t held_tokens{};
  /** Expected time to the first sign of an answer. */
  std::chrono::milliseconds expected{};
  bool is_long{};
  /** The upstream is one of those that read long prompts. */
  bool beside_long{};
};

/** @brief Replaces the upstreams; what is known of those that stay is kept. */
void SetUpstreams(
    pool& state,
    const std::vector<std::shared_ptr<const registry::upstream>>& usable);

/** @brief Keeps work from an upstream for a while, or prefers others. */
void SetAvailability(pool& state,
                     std::string_view incarnation,
                     mono_time closed_until,
                     mono_time avoided_until);

/**
 * @brief Returns how long it takes until an upstream takes work again.
 * @return Nothing if one does now, or if there is none.
 */
[[nodiscard]] std::optional<std::chrono::milliseconds> TimeToReopen(
    const pool& state,
    mono_time now);

/**
 * @brief Returns when a caller that no upstream takes work from should come
 * back: when the first does, spread over a quarter of the wait by the job's
 * sampling key, so that not all return at once.
 * @return Nothing if an upstream takes work now, or if there is none.
 */
[[nodiscard]] std::optional<std::chrono::milliseconds>
ComeBackAfter(const pool& state, const job& wanted, mono_time now);

/** @brief Replaces what other entries tell of their work. */
void SetOthers(pool& state,
               const std::map<std::string, load>& by_incarnation,
               const demand& wanted);

/**
 * @brief Chooses the upstream on which a request costs least.
 *
 * Costs are waiting times: reading what waits there and what is not cached,
 * crowding, the way there, and the risk of failure. Short prompts and long ones
 * use separate upstreams as long as there is room, since reading a long prompt
 * holds up the streams beside it.
 *
 * @param data_centre Where this entry runs.
 * @param excluded Incarnations that were tried before.
 * @return Nothing if no upstream is left that takes work.
 */
[[nodiscard]] std::optional<ticket> Choose(
    const pool& state,
    const options& settings,
    const job& wanted,
    const std::string& data_centre,
    const std::set<std::string>& excluded,
    mono_time now);

/** @brief Takes note that the request was sent. */
void OnSent(pool& state,
            const options& settings,
            const ticket& sent,
            const job& wanted,
            mono_time now);

/** @brief Takes note of the first sign of the answer. */
void OnBegun(pool& state, const ticket& sent, std::chrono::microseconds taken);

/** @brief Takes note that the request ended, however it did. */
void OnEnded(pool& state, const ticket& sent, bool begun);

/** @brief Takes the outcome for the choice of later requests. */
void OnOutcome(pool& state,
               const options& settings,
               const ticket& sent,
               outlier::outcome seen,
               std::chrono::microseconds taken,
               mono_time now);

/** @brief Returns this entry's own work by incarnation, for other entries. */
[[nodiscard]] std::map<std::string, load> OwnLoads(const pool& state);

/** @brief Returns all work on an upstream, of this entry and of others. */
[[nodiscard]] load TotalLoad(const candidate& of);

/** @brief Returns the work that arrives at the service, over all entries, in
 * prompt tokens a second. */
[[nodiscard]] double WorkPerSecond(const pool& state);

/** @brief Lets demand fade and moves the border between the two patterns. */
void Tick(pool& state, mono_time now);

}  // namespace mimosadeck::placement

#endif  // PLACEMENT_PLACEMENT_H_
