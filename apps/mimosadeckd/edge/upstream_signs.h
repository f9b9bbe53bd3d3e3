#ifndef APPS_MIMOSADECKD_EDGE_UPSTREAM_SIGNS_H_
#define APPS_MIMOSADECKD_EDGE_UPSTREAM_SIGNS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "mimosadeckd/edge/state.h"
#include "wire/digest.pb.h"

namespace mimosadeck::edge {

/**
 * @brief Applies availability signals in the head of a response: the upstream
 * leaves, was replaced, closes its connection or asks for a pause.
 * @param from The attempt that received the response.
 */
void ApplyUpstreamSignals(edge_state& state,
                          const placement::selection& from,
                          const platform::upstream_answer& answer);

/**
 * @brief Applies the limit of requests per second that an upstream states, or
 * its end.
 * @param answer The response to the attempt, not to another request.
 * @param sent_at When the attempt's request was sent.
 */
void ApplyUpstreamLimit(edge_state& state,
                        const placement::selection& from,
                        const platform::upstream_answer& answer,
                        mono_time sent_at);

/**
 * @brief Marks an upstream as leaving because another entry reported it.
 * @param origin Name of the reporting entry, for the log.
 */
void MarkLeaving(edge_state& state,
                 const std::string& incarnation,
                 std::string_view origin);

/** @brief Marks the upstreams as leaving that the registry lists as draining;
 * they stay so if the registry lists them as ready again. */
void RecordDrainingUpstreams(edge_state& state);

/**
 * @brief Returns leaving upstreams to report in one gossip message: those that
 * the registry still lists as ready.
 * @param round Number of the message; if not all fit into one, successive
 * numbers rotate through them.
 */
[[nodiscard]] std::vector<std::string> SelectLeavingUpstreams(
    const edge_state& state,
    std::uint64_t round);

/**
 * @brief Holds an upstream back because another entry saw its removal.
 * @param origin Name of the reporting entry, for the log.
 */
void HoldBackUpstream(edge_state& state,
                      const std::string& incarnation,
                      std::string_view origin);

/** @brief Returns the upstreams that are held back, to report in one gossip
 * message; see SelectLeavingUpstreams(). */
[[nodiscard]] std::vector<std::string> SelectHeldBackUpstreams(
    const edge_state& state,
    std::uint64_t round);

/**
 * @brief Applies the limit of an upstream as another entry observed it.
 * @param origin Name of the reporting entry, for the log.
 */
void MergeUpstreamLimit(edge_state& state,
                        const wire::upstream_limit& observed,
                        std::string_view origin);

/**
 * @brief Returns the limits to report in one gossip message, with those that
 * ended recently.
 * @param round Number of the message, as for SelectLeavingUpstreams().
 */
[[nodiscard]] std::vector<wire::upstream_limit> SelectUpstreamLimits(
    const edge_state& state,
    std::uint64_t round);

/** @brief Updates the entries among which limits are divided. */
void RefreshParticipants(edge_state& state);

/** @brief Issues this entry's permits for limited upstreams. */
void RefreshPermits(edge_state& state);

/** @brief Copies the recorded availability of upstreams to all pools. */
void ApplyAvailability(edge_state& state);

/** @brief Drops availability records of upstreams that left the registry long
 * ago. */
void ForgetGoneUpstreams(edge_state& state);

}  // namespace mimosadeck::edge

#endif  // APPS_MIMOSADECKD_EDGE_UPSTREAM_SIGNS_H_
