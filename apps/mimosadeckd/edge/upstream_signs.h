#ifndef APPS_MIMOSADECKD_EDGE_UPSTREAM_SIGNS_H_
#define APPS_MIMOSADECKD_EDGE_UPSTREAM_SIGNS_H_

#include <cstdint>
#include <string>

#include "mimosadeckd/edge/state.h"
#include "wire/digest.pb.h"

namespace mimosadeck::edge {

/** @brief Takes what the head of an answer says of its upstream. */
void TakeSigns(edge_state& state,
               const placement::selection& from,
               const platform::upstream_answer& answer);

/** @brief Takes the leaving upstreams that another entry tells of. */
void TakeLeaving(edge_state& state,
                 const std::string& incarnation,
                 std::string_view origin);

/**
 * @brief Returns leaving upstreams that other entries may not know of.
 * @param round Counts the messages; each holds others if there are many.
 */
[[nodiscard]] std::vector<std::string> LeavingToTell(const edge_state& state,
                                                     std::uint64_t round);

/** @brief Applies what is known of the upstreams of all pools. */
void ApplyAvailability(edge_state& state);

/** @brief Forgets upstreams that are gone. */
void ForgetGoneUpstreams(edge_state& state);

}  // namespace mimosadeck::edge

#endif  // APPS_MIMOSADECKD_EDGE_UPSTREAM_SIGNS_H_
