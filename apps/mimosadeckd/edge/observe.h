#ifndef APPS_MIMOSADECKD_EDGE_OBSERVE_H_
#define APPS_MIMOSADECKD_EDGE_OBSERVE_H_

#include "mimosadeckd/edge/state.h"

namespace mimosadeck::edge {

/** @brief Updates the metrics gauges from the current state. */
void RefreshGauges(edge_state& state);

}  // namespace mimosadeck::edge

#endif  // APPS_MIMOSADECKD_EDGE_OBSERVE_H_
