#ifndef APPS_MIMOSADECKD_REFUSAL_H_
#define APPS_MIMOSADECKD_REFUSAL_H_

#include <chrono>
#include <string>

#include "base/base.h"
#include "net/http_types.h"

namespace mimosadeck::daemon {

/** @brief A refusal, as callers see it. */
struct refusal {
  result_code code{result_code::ok};
  executed run{executed::no};
  std::chrono::milliseconds retry_after{};
  std::string message;
};

/** @brief Builds the response that carries a refusal. */
[[nodiscard]] net::http_response RefusalResponse(const refusal& reason);

}  // namespace mimosadeck::daemon

#endif  // APPS_MIMOSADECKD_REFUSAL_H_
