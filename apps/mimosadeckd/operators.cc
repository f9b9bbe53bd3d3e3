#include "mimosadeckd/operators.h"

#include <charconv>

#include <boost/json.hpp>

#include "mimosadeckd/caller.h"

namespace mimosadeck::daemon {
namespace internal {
namespace {

namespace json = boost::json;

constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::size_t kNonceBytes = 16;
constexpr std::uint32_t kMaxRowsPerRead = 100;

net::http_response JsonResponse(const json::value& body) {
  net::http_response out;
  out.fields["content-type"] = "application/json";
  out.body = json::serialize(body);
  return out;
}

net::http_response ErrorResponse(result_code code, const std::string& message) {
  refusal reason;
  reason.code = code;
  reason.message = message;
  return RefusalResponse(reason);
}

result<config::change_set> ParseChange(const std::string& body) {
  boost::system::error_code failure;
  const auto parsed = json::parse(body, failure);
  if (failure || !parsed.is_object()) {
    return error{result_code::malformed_json, "the body is no JSON object"};
  }
  try {
    config::change_set out;
    const auto& object = parsed.as_object();
    out.version = object.at("expected_version").to_number<std::uint64_t>() + 1;
    out.author = json::value_to<std::string>(object.at("author"));
    for (const auto& item : object.at("changes").as_array()) {
      const auto& entry = item.as_object();
      config::change next;
      next.path = json::value_to<std::string>(entry.at("path"));
      const auto& value = entry.at("value");
      if (!value.is_null()) {
        next.value = json::serialize(value);
      }
      out.changes.push_back(std::move(next));
    }
    out.nonce = RandomHex(kNonceBytes);
    return out;
  } catch (const std::exception& problem) {
    return error{result_code::missing_field, problem.what()};
  }
}

/** @brief Parses the number in `?after=`; 0 if it is absent. */
std::uint64_t ParseAfter(std::string_view target) {
  constexpr std::string_view kAfter = "?after=";
  const auto start = target.find(kAfter);
  std::uint64_t number = 0;
  if (start != std::string_view::npos) {
    const auto digits = target.substr(start + kAfter.size());
    std::from_chars(digits.data(), digits.data() + digits.size(), number);
  }
  return number;
}

std::string JoinErrors(const config::document& source,
                       const config::change_set& proposed) {
  std::string out;
  for (const auto& item : proposed.changes) {
    for (const auto& problem : settings::CheckChange(source, item)) {
      out += (out.empty() ? "" : "; ") + problem.message;
    }
  }
  return out;
}

std::string_view FreshnessName(config::freshness value) {
  switch (value) {
    case config::freshness::fresh:
      return "fresh";
    case config::freshness::store_lost_by_all:
      return "store_lost_by_all";
    case config::freshness::stale:
      return "stale";
  }
  return "stale";
}

std::string_view MemberStateName(membership::member_state value) {
  switch (value) {
    case membership::member_state::alive:
      return "alive";
    case membership::member_state::suspect:
      return "suspect";
    case membership::member_state::dead:
      return "dead";
  }
  return "dead";
}

}  // namespace
}  // namespace internal

operator_handler::operator_handler(control_state& state,
                                   fleet& fleet,
                                   pools& pools,
                                   bookings& bookings,
                                   leases& leases,
                                   peers& peers,
                                   std::function<void()> drain)
    : state_(state),
      fleet_(fleet),
      pools_(pools),
      bookings_(bookings),
      leases_(leases),
      peers_(peers),
      drain_(std::move(drain)) {}

asio::awaitable<void> operator_handler::Handle(net::http_request request,
                                               net::exchange& exchange) {
  const std::string path(net::PathOf(request.target));
  if (path == "/metrics") {
    net::http_response out;
    out.fields["content-type"] = "text/plain; version=0.0.4";
    out.body = MetricsText();
    co_await exchange.Respond(std::move(out));
    co_return;
  }
  const auto authorization = net::FieldOf(request.fields, "authorization");
  const bool allowed =
      authorization.starts_with(internal::kBearerPrefix) &&
      ConstantTimeEqual(
          Sha256Hex(authorization.substr(internal::kBearerPrefix.size())),
          state_.settings.operator_key_hash);
  net::http_response out;
  if (!allowed) {
    out = internal::ErrorResponse(result_code::operator_key_refused, "");
  } else if (path == "/admin/v1/changes" && request.method == "POST") {
    out = co_await HandleChange(std::move(request.body));
  } else if (path == "/admin/v1/history") {
    std::string prefix(config::kChangePrefix);
    std::string after = config::ChangeRow(internal::ParseAfter(request.target));
    out = co_await ReadRows(std::move(prefix), std::move(after));
  } else if (path == "/admin/v1/usage") {
    std::string prefix(usage::kWindowPrefix);
    std::string after = usage::WindowRow(internal::ParseAfter(request.target));
    out = co_await ReadRows(std::move(prefix), std::move(after));
  } else if (path == "/admin/v1/config") {
    out = ConfigResponse();
  } else if (path == "/admin/v1/status") {
    out = StatusResponse();
  } else if (path == "/admin/v1/drain" && request.method == "POST") {
    drain_();
    out = StatusResponse();
  } else {
    out = internal::ErrorResponse(result_code::unknown_route, "");
  }
  co_await exchange.Respond(std::move(out));
}

asio::awaitable<net::http_response> operator_handler::HandleChange(
    std::string body) {
  auto proposed = internal::ParseChange(body);
  if (!IsOk(proposed)) {
    const auto& problem = std::get<error>(proposed);
    co_return internal::ErrorResponse(problem.code, problem.message);
  }
  auto& changes = std::get<config::change_set>(proposed);
  const auto errors = internal::JoinErrors(state_.replica.current, changes);
  if (!errors.empty()) {
    co_return internal::ErrorResponse(result_code::bad_setting, errors);
  }
  const auto outcome = co_await fleet_.Edit(std::move(changes));
  if (!IsOk(outcome)) {
    const auto& problem = std::get<error>(outcome);
    refusal reason;
    reason.code = problem.code;
    reason.message = problem.message;
    if (problem.code == result_code::outcome_unknown) {
      reason.run = executed::unknown;
    }
    co_return RefusalResponse(reason);
  }
  boost::json::object answer;
  answer["version"] = std::get<std::uint64_t>(outcome);
  co_return internal::JsonResponse(answer);
}

asio::awaitable<net::http_response> operator_handler::ReadRows(
    std::string prefix,
    std::string after) {
  infra::scan_rows scan;
  scan.prefix = std::move(prefix);
  scan.after = std::move(after);
  scan.limit = internal::kMaxRowsPerRead;
  infra::request request = std::move(scan);
  const auto reply = co_await state_.platform.Send(std::move(request));
  const auto* page = std::get_if<infra::rows_page>(&reply);
  if (!page) {
    co_return internal::ErrorResponse(result_code::store_unavailable, "");
  }
  boost::json::array rows;
  for (const auto& row : page->rows) {
    boost::system::error_code failure;
    rows.push_back(boost::json::parse(row.value, failure));
  }
  boost::json::object answer;
  answer["rows"] = std::move(rows);
  answer["more"] = page->more;
  co_return internal::JsonResponse(answer);
}

net::http_response operator_handler::ConfigResponse() const {
  boost::json::object entries;
  for (const auto& [path, text] : state_.replica.current.values) {
    boost::system::error_code failure;
    entries[path] = boost::json::parse(text, failure);
  }
  return internal::JsonResponse(
      boost::json::object{{"version", state_.replica.current.version},
                          {"entries", std::move(entries)}});
}

net::http_response operator_handler::StatusResponse() const {
  boost::json::array members;
  for (const auto& [id, member] : state_.view.members) {
    members.push_back(
        boost::json::object{{"id", id},
                            {"data_centre", member.data_centre},
                            {"state", internal::MemberStateName(member.state)},
                            {"leaving", member.leaving},
                            {"off_list", member.off_list},
                            {"address", member.caller_address}});
  }
  boost::json::array held;
  for (const auto& name : leases_.ListHeld()) {
    held.emplace_back(name);
  }
  const auto now = state_.published.load();
  return internal::JsonResponse(boost::json::object{
      {"id", state_.settings.id},
      {"data_centre", state_.settings.data_centre},
      {"version", state_.replica.current.version},
      {"freshness", internal::FreshnessName(now->freshness)},
      {"draining", state_.draining},
      {"booking_shards", bookings_.CountServedShards()},
      {"leases", std::move(held)},
      {"members", std::move(members)},
      {"pools", boost::json::parse(pools_.Describe())}});
}

std::string operator_handler::MetricsText() const {
  const auto traffic = peers_.Traffic();
  auto& metrics = state_.metrics;
  const auto set_counter = [&metrics](const char* kind, std::uint64_t value) {
    metrics.Set("mimosadeck_peer_link", "kind", kind,
                static_cast<double>(value));
  };
  set_counter("messages_sent", traffic.messages_sent);
  set_counter("bytes_sent", traffic.bytes_sent);
  set_counter("messages_received", traffic.messages_received);
  set_counter("bytes_received", traffic.bytes_received);
  set_counter("messages_refused", traffic.messages_refused);
  set_counter("messages_dropped", traffic.messages_dropped);
  return metrics.Text();
}

}  // namespace mimosadeck::daemon
