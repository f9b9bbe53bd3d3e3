#ifndef MEMBERSHIP_MEMBERSHIP_H_
#define MEMBERSHIP_MEMBERSHIP_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "membership/fwd.h"

namespace mimosadeck::membership {

/** @brief Settings of the failure detector and of gossip. */
struct options {
  /** Interval between rounds of probes. */
  std::chrono::milliseconds interval{200};
  /** Members probed in each round. */
  std::size_t fanout{2};
  /** Consecutive failed probes after which a member becomes suspect. */
  std::uint32_t failures_until_suspect{2};
  /** Time after which a suspect that did not refute the suspicion is dead. */
  std::chrono::milliseconds suspicion_timeout{2000};
  /** Maximum number of updates about other members in a message. */
  std::size_t updates_per_message{8};
  /** An update is sent this many times the binary logarithm of the fleet's
   * size. */
  std::uint32_t retransmit_factor{4};
};

/** @brief State of a member as seen by one entry. At the same incarnation and
 * heartbeat a greater number overrides a smaller one. */
enum class member_state : std::uint32_t { alive = 0, suspect = 1, dead = 2 };

/**
 * @brief One entry daemon, as seen by another one.
 */
struct member {
  std::string id;
  /** Greater for a newer process with the same id. */
  std::uint64_t incarnation{};
  /** Increased by the member itself to refute a suspicion. */
  std::uint64_t heartbeat{};
  member_state state{member_state::alive};
  /** The member is shutting down and gets no new work. */
  bool leaving{};
  /** The member is missing from the platform's VM list. */
  bool off_list{};
  std::string data_centre;
  std::string peer_address;
  std::string caller_address;
  std::string operator_address;
  /** When the state was last updated or the member went off the VM list. */
  mono_time changed_at;
  /** Consecutive failed probes. */
  std::uint32_t failures{};
  /** Messages that still carry the last update. */
  std::uint32_t retransmits_left{};
};

/**
 * @brief One entry's view of all entries, including itself.
 */
struct view {
  /** Id of this entry. */
  std::string self;
  std::map<std::string, member, std::less<>> members;
  /** Shuffled ids of the members to probe. */
  std::vector<std::string> probe_order;
  /** Index of the next member in `probe_order`. */
  std::size_t next_probe{};
  mono_time next_round;
  /** Whether the latest probes were answered, oldest first. */
  std::deque<bool> recent_probes;
};

/** @brief Adds this process to its own view. */
void Join(view& state, const member& self, mono_time now);

/**
 * @brief Starts a round of probes if one is due, and marks suspects as dead
 * after options::suspicion_timeout.
 *
 * The number of probes does not depend on the size of the fleet.
 *
 * @param random Engine that shuffles the probe order.
 * @return Ids of the members to probe now.
 */
[[nodiscard]] std::vector<std::string> Tick(view& state,
                                            const options& settings,
                                            mono_time now,
                                            std::mt19937_64& random);

/** @brief Records that a member answered a probe. */
void OnProbeAnswered(view& state,
                     const options& settings,
                     std::string_view id,
                     mono_time now);

/** @brief Records that a member did not answer a probe in time. */
void OnProbeFailed(view& state,
                   const options& settings,
                   std::string_view id,
                   mono_time now);

/**
 * @brief Selects the member updates that the next message carries.
 *
 * Counts each returned update as sent.
 *
 * @return This process first, then updates with retransmits left.
 */
[[nodiscard]] std::vector<member> SelectUpdates(view& state,
                                                const options& settings);

/**
 * @brief Applies one update from a message.
 *
 * An update that is older than the stored record, by incarnation and then by
 * heartbeat, is dropped. A suspicion of this process itself is refuted.
 *
 * @return True if the update was newer than the stored record of its member.
 */
bool OnUpdate(view& state,
              const options& settings,
              const member& update,
              mono_time now);

/** @brief Marks this process as leaving, so that others assign it no new work.
 */
void Leave(view& state, const options& settings);

/** @brief Marks this process as dead, so that others need not wait for the
 * failure detector. */
void Depart(view& state);

/**
 * @brief Applies the platform's VM list.
 *
 * Members that are missing from the list are marked as off it and removed ten
 * minutes later. Members listed as leaving get no new work.
 *
 * @param live Ids of the VMs that are listed as live.
 * @param leaving Ids of the VMs that are listed as leaving.
 */
void OnVmList(view& state,
              const std::set<std::string>& live,
              const std::set<std::string>& leaving,
              mono_time now);

/** @brief Returns the state of a member in this view; dead if it is unknown. */
[[nodiscard]] member_state StateOf(const view& state, std::string_view id);

/**
 * @brief Returns the members that may own work: alive, listed and not leaving.
 */
[[nodiscard]] std::vector<member> Eligible(const view& state);

/**
 * @brief Tells whether this process and the members that answered its latest
 * probes are a majority.
 *
 * With up to kMajoritySampleSize other members, the latest probes cover every
 * one of them; in a larger fleet they are a sample.
 */
[[nodiscard]] bool ReachesMajority(const view& state);

/** @brief Number of latest probes that ReachesMajority evaluates. */
inline constexpr std::size_t kMajoritySampleSize = 16;

}  // namespace mimosadeck::membership

#endif  // MEMBERSHIP_MEMBERSHIP_H_
