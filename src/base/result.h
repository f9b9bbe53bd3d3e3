#ifndef BASE_RESULT_H_
#define BASE_RESULT_H_

#include <string>
#include <string_view>
#include <variant>

namespace mimosadeck {

/**
 * @brief Result codes that are reported to callers, to operators and in logs.
 *
 * The numbers never change; docs/ERRORS.md lists them.
 */
enum class result_code : int {
  ok = 0,

  malformed_http = 1001,
  malformed_json = 1002,
  body_too_large = 1003,
  unknown_route = 1004,
  missing_field = 1005,
  account_header_refused = 1006,
  key_in_request = 1007,
  missing_idempotency_key = 1008,
  idempotency_key_reused = 1009,
  caller_too_slow = 1010,
  receive_memory_full = 1011,

  key_missing = 1101,
  key_unknown = 1102,
  key_withdrawn = 1103,
  class_not_allowed = 1104,
  operator_key_refused = 1105,

  unknown_model = 1201,
  unknown_service = 1202,

  account_over_limit = 1301,
  queue_full = 1302,
  wait_too_long = 1303,
  displaced = 1304,
  deadline_passed = 1305,
  no_upstream = 1306,
  quarantined = 1307,
  retry_budget_spent = 1308,

  upstream_failed = 1401,
  upstream_cut_off = 1402,
  booking_outcome_unknown = 1403,
  booking_in_progress = 1404,

  configuration_stale = 1501,
  not_ready = 1502,
  draining = 1503,
  store_unavailable = 1504,
  outcome_unknown = 1505,
  owner_unreachable = 1506,

  bad_setting = 1601,
  version_conflict = 1602,
  not_found = 1603,
  already_exists = 1604,
  file_unreadable = 1605,
  bad_argument = 1606,
  change_unreadable = 1607,
};

/**
 * @brief Whether a request that was refused or failed may have been executed.
 */
enum class executed : int {
  no = 0,
  unknown = 1,
};

/**
 * @brief A result code with a message for people.
 */
struct error {
  result_code code{result_code::ok};
  std::string message;

  friend bool operator==(const error&, const error&) = default;
};

/**
 * @brief Either a value or an error.
 * @tparam T Type of the value.
 */
template <typename T>
using result = std::variant<T, error>;

/**
 * @brief Returns true if a result holds a value, false if it holds an error.
 */
template <typename T>
[[nodiscard]] bool IsOk(const result<T>& value) {
  return std::holds_alternative<T>(value);
}

/**
 * @brief Returns the name of a result code, as docs/ERRORS.md lists it.
 * @param code Code to name.
 * @return The name, or "unlisted" for a number that is not a result
 * code.
 */
[[nodiscard]] std::string_view ResultCodeName(result_code code);

/**
 * @brief Returns the HTTP status of responses with a result code.
 * @param code Code to map.
 * @return An HTTP status between 200 and 599; 500 for an unlisted code.
 */
[[nodiscard]] int HttpStatusOf(result_code code);

}  // namespace mimosadeck

#endif  // BASE_RESULT_H_
