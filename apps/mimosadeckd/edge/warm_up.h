#ifndef APPS_MIMOSADECKD_EDGE_WARM_UP_H_
#define APPS_MIMOSADECKD_EDGE_WARM_UP_H_

#include "mimosadeckd/edge/state.h"

namespace mimosadeck::edge {

/** @brief Updates the limits of cold upstreams from the registry and the
 * manifest. */
void RefreshWarmUp(edge_state& state);

/** @brief Issues this entry's permits for cold upstreams. */
void RefreshWarmUpPermits(edge_state& state);

}  // namespace mimosadeck::edge

#endif  // APPS_MIMOSADECKD_EDGE_WARM_UP_H_
