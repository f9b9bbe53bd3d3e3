#ifndef APPS_MIMOSADECKCTL_OUTPUT_H_
#define APPS_MIMOSADECKCTL_OUTPUT_H_

#include <functional>
#include <string>
#include <vector>

#include <boost/json.hpp>

#include "mimosadeckctl/client.h"

namespace mimosadeck::ctl {

/** @brief Prints an error of this program's own. */
exit_code PrintProblem(const error& found);

/** @brief Prints an entry's refusal. */
exit_code PrintRefusal(const reply& answer);

/** @brief Prints an answer: as JSON, or by `print`. */
exit_code Show(const result<reply>& outcome,
               bool as_json,
               const std::function<void(const boost::json::value&)>& print);

/** @brief Prints rows as columns as wide as their widest cell. */
void PrintTable(const std::vector<std::vector<std::string>>& rows);

/** @brief Returns a value as text without quotes. */
[[nodiscard]] std::string Cell(const boost::json::value& value);

}  // namespace mimosadeck::ctl

#endif  // APPS_MIMOSADECKCTL_OUTPUT_H_
