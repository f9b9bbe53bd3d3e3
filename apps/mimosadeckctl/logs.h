#ifndef APPS_MIMOSADECKCTL_LOGS_H_
#define APPS_MIMOSADECKCTL_LOGS_H_

#include <istream>
#include <string>

#include "mimosadeckctl/client.h"

namespace mimosadeck::ctl {

/**
 * @brief Prints what daemons' logs say of one request.
 * @return `failed` with error not_found if no line names the request.
 */
exit_code ExplainRequest(std::istream& logs,
                         const std::string& request,
                         bool as_json);

/** @brief Prints how often what happened in daemons' logs. */
exit_code SummarizeLogs(std::istream& logs, bool as_json);

}  // namespace mimosadeck::ctl

#endif  // APPS_MIMOSADECKCTL_LOGS_H_
