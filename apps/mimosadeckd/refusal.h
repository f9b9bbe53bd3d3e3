#ifndef APPS_MIMOSADECKD_REFUSAL_H_
#define APPS_MIMOSADECKD_REFUSAL_H_

#include <chrono>
#include <string>

#include "base/base.h"
#include "net/http_types.h"

namespace mimosadeck::daemon {

/** @brief An error response to a caller or an operator. */
struct refusal {
  result_code code{result_code::ok};
  /** Whether the request may have run. */
  executed run{executed::no};
  std::chrono::milliseconds retry_after{};
  /** Empty: the name of the code is used. */
  std::string message;
};

/** @brief Builds the HTTP response for a refusal, with a JSON body. */
[[nodiscard]] net::http_response RefusalResponse(const refusal& reason);

}  // namespace mimosadeck::daemon

#endif  // APPS_MIMOSADECKD_REFUSAL_H_
