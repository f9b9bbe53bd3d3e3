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
  /** Time between two rounds of probes. */
  std::chrono::milliseconds interval{200};
  /** Members probed in a round. */
  std::size_t fanout{2};
  /** Probes in a row without an answer that make a member suspect. */
  std::uint32_t failures_until_suspect{2};
  /** A suspect that has not spoken for so long is dead. */
  std::chrono::milliseconds suspicion_timeout{2000};
  /** News about members that one message carries at most. */
  std::size_t updates_per_message{8};
  /** News is passed on so many times the logarithm of the fleet's size. */
  std::uint32_t relay_factor{4};
};

/** @brief How a member looks; greater numbers override smaller ones. */
enum class member_state : std::uint32_t { alive = 0, suspect = 1, dead = 2 };

/**
 * @brief One entry daemon.
 *
 * A greater incarnation is a newer process under the same id. A member raises
 * its own `heartbeat` to refute a suspicion.
 */
struct member {
  std::string id;
  std::uint64_t incarnation{};
  std::uint64_t heartbeat{};
  member_state state{member_state::alive};
  bool leaving{};
  bool off_list{};
  std::string data_centre;
  std::string peer_address;
  std::string caller_address;
  std::string operator_address;
  mono_time changed_at;
  std::uint32_t failures{};
  std::uint32_t relays_left{};
};

/**
 * @brief What one entry knows of all entries, itself included.
 */
struct view {
  std::string self;
  std::map<std::string, member, std::less<>> members;
  std::vector<std::string> probe_order;
  std::size_t next_probe{};
  mono_time next_round;
  std::deque<bool> recent_probes;
};

/** @brief Adds this process to its own view. */
void Join(view& state, const member& self, mono_time now);

/**
 * @brief Starts a round of probes if one is due, and ends old suspicions.
 *
 * The number of probes does not depend on the size of the fleet.
 *
 * @param random Engine that shuffles the probing order.
 * @return Ids of the members to probe now.
 */
[[nodiscard]] std::vector<std::string> Tick(view& state,
                                            const options& settings,
                                            mono_time now,
                                            std::mt19937_64& random);

/** @brief Takes note that a member answered a probe. */
void OnProbeAnswered(view& state,
                     const options& settings,
                     std::string_view id,
                     mono_time now);

/** @brief Takes note that a member did not answer a probe in time. */
void OnProbeFailed(view& state,
                   const options& settings,
                   std::string_view id,
                   mono_time now);

/**
 * @brief Chooses what the next message says about members.
 * @return This process first, then news not yet passed on often enough.
 */
[[nodiscard]] std::vector<member> SelectUpdates(view& state,
                                                const options& settings);

/**
 * @brief Takes one update from a message.
 *
 * An older incarnation or heartbeat than the known one is dropped. A suspicion
 * of this process itself is refuted.
 *
 * @return True if the update was news.
 */
bool OnUpdate(view& state,
              const options& settings,
              const member& update,
              mono_time now);

/** @brief Says that this process leaves; others give it no new work. */
void Leave(view& state, const options& settings);

/** @brief Says that this process has ended, so that nobody must find out. */
void Depart(view& state);

/**
 * @brief Takes the platform's VM list.
 *
 * A member missing from the list is off it; one listed as leaving gets no new
 * work.
 */
void OnVmList(view& state,
              const std::set<std::string>& live,
              const std::set<std::string>& leaving,
              mono_time now);

/** @brief Returns how a member looks from here; dead if unknown. */
[[nodiscard]] member_state StateOf(const view& state, std::string_view id);

/**
 * @brief Lists the members that may own work: alive, listed, not leaving.
 */
[[nodiscard]] std::vector<member> Eligible(const view& state);

/**
 * @brief Tells whether most of this process's latest probes were answered.
 *
 * Up to kProbesForMajority other members this covers every one of them; in a
 * larger fleet it is a sample.
 */
[[nodiscard]] bool ReachesMajority(const view& state);

/** @brief Number of latest probes that ReachesMajority looks at. */
inline constexpr std::size_t kProbesForMajority = 16;

}  // namespace mimosadeck::membership

#endif  // MEMBERSHIP_MEMBERSHIP_H_
