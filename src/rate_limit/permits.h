#ifndef RATE_LIMIT_PERMITS_H_
#define RATE_LIMIT_PERMITS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "rate_limit/fwd.h"
#include "rate_limit/limits.h"

namespace mimosadeck::rate_limit {

/** @brief Settings of the division of a limit among the entries. */
struct options {
  /** Time for which a permit is valid. With one second the permits usable in
   * any 4 s are those of 5 s. */
  std::chrono::milliseconds permit_lifetime{1000};
  /** Age at which a process knows the other entries, and they know it. Before,
   * it uses no permits. */
  std::chrono::milliseconds settle_time{3000};
  /** Silence after which an entry's permits go to the others. It is longer than
   * a restart or a short cut, during which the entry may still send. */
  std::chrono::milliseconds participant_retention{15000};
  /** The same for an entry that hears at most half of the fleet: it may be cut
   * off from entries that are serving. */
  std::chrono::milliseconds minority_retention{600000};
  /** Fraction of its permits that an entry uses while it hears less than half
   * of the others, since the rest may have taken over its permits. */
  double minority_fraction{0.5};
  /** Lowest rate at which an upstream is tried, in requests per second, so that
   * the end of its limit is noticed. */
  double min_rate{0.05};
  /** Permits issued per second and upstream; above, a permit is good for
   * several requests. Limits the hashing. */
  double max_permits_per_second{100};
};

/** @brief Another entry, as heard by this one. */
struct heard_entry {
  std::string_view name;
  mono_time heard_at;
  /** It is about to stop and uses no permits. */
  bool leaving{};
  /** Number of other entries that it knows. */
  std::size_t entries_known{};
};

/** @brief An entry among which limits are divided. */
struct participant {
  std::uint64_t hash{};
  mono_time heard_at;
};

/**
 * @brief The entries among which limits are divided, as known to this one.
 *
 * Entries that fall silent are kept for a while. Cut-off entries then agree
 * with the others on whose permit is whose.
 */
struct participants {
  std::string self;
  mono_time started_at;
  /** This entry is about to stop and uses no permits. */
  bool leaving{};
  /** The other entries, by name. */
  std::map<std::string, participant, std::less<>> others;
  /** This entry hears less than half of the fleet. */
  bool in_minority{};
  /** Median of the fleet sizes that the others reported. */
  std::size_t reported_size{};
};

/** @brief Permits of this entry for one upstream. */
struct permits {
  double requests_per_second{};
  /** Permits up to this time have been issued to their holders. */
  wall_time issued_until;
  /** Requests that may be sent, by the time at which the permit expires. */
  std::deque<std::pair<wall_time, std::uint32_t>> available;
};

/**
 * @brief Permits of this entry, by incarnation of the upstream.
 *
 * The limit of an upstream is issued as numbered permits, evenly over time.
 * Each belongs to the entry that rendezvous hashing of its number selects, and
 * expires if it is not used. Entries that know the same participants and have
 * similar clocks need no messages to agree on the holder.
 */
struct permit_table {
  std::map<std::string, permits, std::less<>> by_incarnation;
};

/** @brief Updates the participants from the entries heard. */
void UpdateParticipants(participants& state,
                        const options& settings,
                        const std::vector<heard_entry>& heard,
                        mono_time now);

/**
 * @brief Issues the permits due since the last call and drops expired ones.
 * @param fleet_time Calendar time on which the entries agree.
 */
void IssuePermits(permit_table& state,
                  const options& settings,
                  const limit_table& limits,
                  const participants& fleet,
                  wall_time fleet_time,
                  mono_time now);

/**
 * @brief Returns the limited upstreams for which this entry has no permit, by
 * incarnation.
 */
[[nodiscard]] std::set<std::string> WithoutPermit(const permit_table& state);

/** @brief Returns true if the upstream is limited and this entry has a permit
 * for it. */
[[nodiscard]] bool HasPermit(const permit_table& state,
                             std::string_view incarnation);

/**
 * @brief Uses one request of a permit, directly before it is sent.
 * @return False if the upstream is limited and there is no permit.
 */
[[nodiscard]] bool TakePermit(permit_table& state,
                              std::string_view incarnation);

/** @brief Returns the interval at which permits for the upstream are issued to
 * any entry; unset if it has no limit. */
[[nodiscard]] std::optional<std::chrono::milliseconds> PermitInterval(
    const permit_table& state,
    const options& settings,
    std::string_view incarnation);

}  // namespace mimosadeck::rate_limit

#endif  // RATE_LIMIT_PERMITS_H_
