#ifndef APPS_MIMOSADECKD_EDGE_REQUESTS_H_
#define APPS_MIMOSADECKD_EDGE_REQUESTS_H_

#include <boost/asio/awaitable.hpp>

#include "mimosadeckd/edge/state.h"

namespace mimosadeck::edge {

/** @brief Authorizes a caller's request, then forwards or refuses it. */
[[nodiscard]] asio::awaitable<void> ServeCaller(edge_state& state,
                                                net::http_request request,
                                                net::exchange& exchange);

}  // namespace mimosadeck::edge

#endif  // APPS_MIMOSADECKD_EDGE_REQUESTS_H_
