#ifndef APPS_MIMOSADECKCTL_CLIENT_H_
#define APPS_MIMOSADECKCTL_CLIENT_H_

#include <string>
#include <string_view>
#include <vector>

#include <boost/json.hpp>

#include "base/base.h"

namespace mimosadeck::ctl {

/** @brief Exit codes of the program. */
enum class exit_code : int {
  ok = 0,
  failed = 1,
  bad_usage = 2,
  version_conflict = 3,
  outcome_unknown = 4,
  unreachable = 5,
};

/** @brief How to reach an entry's operator interface. */
struct connection {
  std::string address;
  std::string key;
};

/** @brief An answer of an entry. */
struct reply {
  int status{};
  boost::json::value body;
};

/** @brief Sends one request; owner_unreachable if no answer came. */
[[nodiscard]] result<reply> Call(const connection& to,
                                 const std::string& method,
                                 const std::string& target,
                                 const std::string& body);

/** @brief One change, its value as JSON; null removes the entry. */
struct change {
  std::string path;
  boost::json::value value;
};

/**
 * @brief Sends changes as one version.
 * @param expected Version that the changes apply to; -1 takes the present one.
 */
[[nodiscard]] result<reply> SendChanges(const connection& to,
                                        const std::string& author,
                                        std::int64_t expected,
                                        const std::vector<change>& changes);

/** @brief Returns the exit code that tells a script of an answer. */
[[nodiscard]] exit_code ExitCodeOf(const reply& answer);

}  // namespace mimosadeck::ctl

#endif  // APPS_MIMOSADECKCTL_CLIENT_H_
