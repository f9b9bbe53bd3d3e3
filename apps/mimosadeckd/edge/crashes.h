#ifndef APPS_MIMOSADECKD_EDGE_CRASHES_H_
#define APPS_MIMOSADECKD_EDGE_CRASHES_H_

#include <string_view>

#include "mimosadeckd/edge/state.h"
#include "wire/digest.pb.h"

namespace mimosadeck::edge {

/**
 * @brief Checks whether an attempt broke off because its upstream crashed.
 *
 * Healthy upstreams also lose responses and reset connections. A crash is
 * attributed to the request only if the upstream no longer accepts connections
 * or was replaced by a new incarnation.
 */
void InvestigateBrokenAttempt(edge_state& state, broken_attempt broken);

/** @brief Records that an upstream served a request, which speaks for the parts
 * of its prompt; see quarantine::OnPartsServed(). */
void RecordServedParts(edge_state& state,
                       const std::vector<std::string>& parts);

/** @brief Adds the suspects that are due to a gossip message. */
void AdvertiseSuspects(edge_state& state, wire::digest& out);

/**
 * @brief Merges the suspects of a gossip message.
 * @param origin Name of the reporting entry, for the log.
 */
void MergeSuspects(
    edge_state& state,
    const google::protobuf::RepeatedPtrField<wire::suspect>& reports,
    std::string_view origin);

}  // namespace mimosadeck::edge

#endif  // APPS_MIMOSADECKD_EDGE_CRASHES_H_
