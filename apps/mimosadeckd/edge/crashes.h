#ifndef APPS_MIMOSADECKD_EDGE_CRASHES_H_
#define APPS_MIMOSADECKD_EDGE_CRASHES_H_

#include "mimosadeckd/edge/state.h"

namespace mimosadeck::edge {

/**
 * @brief Checks whether an attempt broke off because its upstream crashed.
 *
 * Healthy upstreams also lose responses and reset connections. A crash is
 * attributed to the request only if the upstream no longer accepts connections
 * or was replaced by a new incarnation.
 */
void InvestigateBrokenAttempt(edge_state& state, broken_attempt broken);

}  // namespace mimosadeck::edge

#endif  // APPS_MIMOSADECKD_EDGE_CRASHES_H_
