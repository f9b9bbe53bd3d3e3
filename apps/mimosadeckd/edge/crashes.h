#ifndef APPS_MIMOSADECKD_EDGE_CRASHES_H_
#define APPS_MIMOSADECKD_EDGE_CRASHES_H_

#include "mimosadeckd/edge/state.h"

namespace mimosadeck::edge {

/**
 * @brief Finds out whether an upstream ended when an attempt broke off.
 *
 * Answers are lost and connections reset at sound upstreams too. The crash is
 * put down to the request only if the upstream takes no connections any more.
 */
void InvestigateBreak(edge_state& state, broken_attempt broken);

}  // namespace mimosadeck::edge

#endif  // APPS_MIMOSADECKD_EDGE_CRASHES_H_
