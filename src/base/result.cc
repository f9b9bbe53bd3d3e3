#include "base/result.h"

#include <algorithm>
#include <array>

namespace mimosadeck {
namespace internal {
namespace {

struct code_entry {
  result_code code;
  std::string_view name;
  int http_status;
};

constexpr std::array kCodes{
    code_entry{result_code::ok, "ok", 200},
    code_entry{result_code::malformed_http, "malformed_http", 400},
    code_entry{result_code::malformed_json, "malformed_json", 400},
    code_entry{result_code::body_too_large, "body_too_large", 413},
    code_entry{result_code::unknown_route, "unknown_route", 404},
    code_entry{result_code::missing_field, "missing_field", 400},
    code_entry{result_code::account_header_refused, "account_header_refused",
               400},
    code_entry{result_code::key_in_request, "key_in_request", 400},
    code_entry{result_code::missing_idempotency_key, "missing_idempotency_key",
               400},
    code_entry{result_code::idempotency_key_reused, "idempotency_key_reused",
               422},
    code_entry{result_code::caller_too_slow, "caller_too_slow", 408},
    code_entry{result_code::receive_memory_full, "receive_memory_full", 503},
    code_entry{result_code::key_missing, "key_missing", 401},
    code_entry{result_code::key_unknown, "key_unknown", 401},
    code_entry{result_code::key_withdrawn, "key_withdrawn", 401},
    code_entry{result_code::class_not_allowed, "class_not_allowed", 403},
    code_entry{result_code::operator_key_refused, "operator_key_refused", 403},
    code_entry{result_code::unknown_model, "unknown_model", 404},
    code_entry{result_code::unknown_service, "unknown_service", 404},
    code_entry{result_code::account_over_limit, "account_over_limit", 429},
    code_entry{result_code::queue_full, "queue_full", 503},
    code_entry{result_code::wait_too_long, "wait_too_long", 503},
    code_entry{result_code::displaced, "displaced", 503},
    code_entry{result_code::deadline_passed, "deadline_passed", 503},
    code_entry{result_code::no_upstream, "no_upstream", 503},
    code_entry{result_code::quarantined, "quarantined", 422},
    code_entry{result_code::retry_budget_spent, "retry_budget_spent", 503},
    code_entry{result_code::upstream_failed, "upstream_failed", 502},
    code_entry{result_code::upstream_cut_off, "upstream_cut_off", 502},
    code_entry{result_code::booking_outcome_unknown, "booking_outcome_unknown",
               502},
    code_entry{result_code::booking_in_progress, "booking_in_progress", 409},
    code_entry{result_code::configuration_stale, "configuration_stale", 503},
    code_entry{result_code::not_ready, "not_ready", 503},
    code_entry{result_code::draining, "draining", 503},
    code_entry{result_code::store_unavailable, "store_unavailable", 503},
    code_entry{result_code::outcome_unknown, "outcome_unknown", 504},
    code_entry{result_code::owner_unreachable, "owner_unreachable", 503},
    code_entry{result_code::bad_setting, "bad_setting", 400},
    code_entry{result_code::version_conflict, "version_conflict", 409},
    code_entry{result_code::not_found, "not_found", 404},
    code_entry{result_code::already_exists, "already_exists", 409},
    code_entry{result_code::file_unreadable, "file_unreadable", 400},
    code_entry{result_code::bad_argument, "bad_argument", 400},
    code_entry{result_code::change_unreadable, "change_unreadable", 400},
};

const code_entry* Find(result_code code) {
  const auto* found = std::find_if(
      kCodes.begin(), kCodes.end(),
      [code](const code_entry& entry) { return entry.code == code; });
  return found == kCodes.end() ? nullptr : found;
}

}  // namespace
}  // namespace internal

std::string_view ResultCodeName(result_code code) {
  const auto* entry = internal::Find(code);
  return entry ? entry->name : "unlisted";
}

int HttpStatusOf(result_code code) {
  constexpr int kInternalError = 500;
  const auto* entry = internal::Find(code);
  return entry ? entry->http_status : kInternalError;
}

}  // namespace mimosadeck
