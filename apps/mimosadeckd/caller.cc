#include "mimosadeckd/caller.h"

#include <algorithm>

#include <boost/json.hpp>
#include <boost/url/decode_view.hpp>

#include "mimosadeckd/call.h"

namespace mimosadeck::daemon {
namespace internal {
namespace {

namespace json = boost::json;

constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::string_view kClassHeader = "x-request-class";
constexpr std::string_view kServicesPrefix = "/services/";
constexpr std::size_t kMaxEntriesForAccount = 3;
constexpr std::size_t kMaxEntriesWithoutKey = 8;
constexpr std::array<std::string_view, 6> kRefusedAccountHeaders{
    "x-account", "x-account-id", "x-client-account",
    "x-tenant",  "x-tenant-id",  "x-mimosadeck-account"};
constexpr std::array<std::string_view, 10> kForwardedBodyMembers{
    "messages", "max_tokens", "temperature", "top_p",           "stop",
    "seed",     "tools",      "tool_choice", "response_format", "logit_bias"};
constexpr std::array<std::string_view, 3> kForwardedHeaders{
    "content-type", "accept", "accept-language"};

std::string DecodePercent(std::string_view text) {
  const auto view = boost::urls::make_pct_string_view(text);
  if (!view) {
    return std::string(text);
  }
  std::string out;
  for (const char c : **view) {
    out.push_back(c);
  }
  return out;
}

bool ContainsKey(std::string_view text, std::string_view key) {
  return !key.empty() && text.find(key) != std::string_view::npos;
}

/** @brief Hashes the first message, whose prefix engines may have cached. */
std::uint64_t HashPromptPrefix(const json::object& body) {
  const auto* messages = body.if_contains("messages");
  if (!messages || !messages->is_array() || messages->as_array().empty()) {
    return 0;
  }
  return Hash64(json::serialize(messages->as_array().front()));
}

/** @brief Builds the engine's request body; only listed members are passed. */
std::string MakeUpstreamBody(const json::object& body, std::string_view model) {
  json::object out;
  out["model"] = model;
  out["stream"] = true;
  for (const auto name : kForwardedBodyMembers) {
    if (const auto* member = body.if_contains(name)) {
      out[name] = *member;
    }
  }
  return json::serialize(out);
}

error ValidateChat(const json::object* body, const config::document& document) {
  if (!body) {
    return {result_code::malformed_json, "the body is no JSON object"};
  }
  const auto* model = body->if_contains("model");
  if (!model || !model->is_string()) {
    return {result_code::missing_field, "`model` must be a text"};
  }
  const auto* messages = body->if_contains("messages");
  if (!messages || !messages->is_array() || messages->as_array().empty()) {
    return {result_code::missing_field, "`messages` must be a list"};
  }
  const auto* limit = body->if_contains("max_tokens");
  if (limit && !(limit->is_int64() && limit->as_int64() > 0)) {
    return {result_code::missing_field, "`max_tokens` must be above 0"};
  }
  const auto models = settings::ListModels(document);
  if (std::find(models.begin(), models.end(),
                std::string_view(model->as_string())) == models.end()) {
    return {result_code::unknown_model, "no such model"};
  }
  return {};
}

refusal ToRefusal(const error& reason) {
  refusal out;
  out.code = reason.code;
  out.message = reason.message;
  return out;
}

net::http_response JsonResponse(const json::object& body) {
  net::http_response out;
  out.fields["content-type"] = "application/json";
  out.body = json::serialize(body);
  return out;
}

bool IsIdempotent(const settings::service_settings& service,
                  const std::string& method) {
  return std::find(service.idempotent_methods.begin(),
                   service.idempotent_methods.end(),
                   method) != service.idempotent_methods.end();
}

}  // namespace
}  // namespace internal

caller_handler::caller_handler(control_state& state,
                               pools& pools,
                               bookings& bookings,
                               accounts& accounts,
                               opentracing::Tracer& tracer)
    : state_(state),
      pools_(pools),
      bookings_(bookings),
      accounts_(accounts),
      tracer_(tracer) {}

result<std::shared_ptr<call>> caller_handler::Authenticate(
    const net::http_request& request,
    const snapshot& current) const {
  auto work = std::make_shared<call>();
  work->arrived_at = Now();
  for (const auto name : internal::kRefusedAccountHeaders) {
    if (request.fields.contains(name)) {
      return error{result_code::account_header_refused,
                   "the client account comes from the key alone"};
    }
  }
  const auto authorization = net::FieldOf(request.fields, "authorization");
  if (!authorization.starts_with(internal::kBearerPrefix)) {
    return error{result_code::key_missing, "send `Authorization: Bearer KEY`"};
  }
  work->key = authorization.substr(internal::kBearerPrefix.size());
  work->key_hash = Sha256Hex(work->key);
  if (current.freshness == config::freshness::stale) {
    return error{current.document->version == 0
                     ? result_code::not_ready
                     : result_code::configuration_stale,
                 "this entry does not know which keys are good"};
  }
  const auto key = settings::FindKey(*current.document, work->key_hash);
  if (!key) {
    return error{result_code::key_unknown, "no such key"};
  }
  if (key->withdrawn) {
    return error{result_code::key_withdrawn, "the key was withdrawn"};
  }
  const auto account = settings::FindAccount(*current.document, key->account);
  if (!account) {
    return error{result_code::key_unknown, "the key's account is gone"};
  }
  work->account = *account;
  std::string class_name(net::FieldOf(request.fields, internal::kClassHeader));
  if (class_name.empty()) {
    class_name = account->default_class;
  }
  if (std::find(account->classes.begin(), account->classes.end(), class_name) ==
      account->classes.end()) {
    return error{result_code::class_not_allowed,
                 "the account may not use class " + class_name};
  }
  work->service_class =
      settings::FindClass(*current.document, *account, class_name);
  return work;
}

asio::awaitable<void> caller_handler::Handle(net::http_request request,
                                             net::exchange& exchange) {
  const auto current = state_.published.load();
  const std::string path(net::PathOf(request.target));
  const call_context context{state_, pools_, bookings_, accounts_, tracer_};
  if (path == "/v1/entries" && request.method == "GET") {
    auto response = EntriesResponse(request, *current);
    co_await exchange.Respond(std::move(response));
    co_return;
  }
  const bool is_chat =
      path == "/v1/chat/completions" && request.method == "POST";
  const bool is_models = path == "/v1/models" && request.method == "GET";
  const bool is_service = path.starts_with(internal::kServicesPrefix);
  if (!is_chat && !is_models && !is_service) {
    refusal reason;
    reason.code = result_code::unknown_route;
    co_await Refuse(context, std::move(reason), exchange);
    co_return;
  }
  auto work = std::make_shared<call>();
  bool is_open = false;
  if (is_service) {
    const auto name = path.substr(internal::kServicesPrefix.size());
    const auto service = settings::FindService(*current->document,
                                               name.substr(0, name.find('/')));
    is_open = service && service->open_to_all &&
              internal::IsIdempotent(*service, request.method);
  }
  if (is_open) {
    work->arrived_at = Now();
    work->service_class = settings::FindClass(
        *current->document, settings::account_settings{}, "open");
  } else {
    auto authenticated = Authenticate(request, *current);
    if (!IsOk(authenticated)) {
      auto reason = internal::ToRefusal(std::get<error>(authenticated));
      if (reason.code == result_code::configuration_stale ||
          reason.code == result_code::not_ready) {
        reason.retry_after = state_.settings.poll_interval;
      }
      co_await Refuse(context, std::move(reason), exchange);
      co_return;
    }
    work = std::get<std::shared_ptr<call>>(std::move(authenticated));
  }
  work->span = telemetry::StartSpan(
      tracer_, "entry.request", net::FieldOf(request.fields, "traceparent"));
  work->span->SetTag("path", path);
  work->span->SetTag("class", work->service_class.name);
  work->traceparent = telemetry::TraceparentOf(*work->span);
  if (is_models) {
    auto response = ModelsResponse(*current);
    co_await exchange.Respond(std::move(response));
  } else if (is_chat) {
    co_await HandleChat(std::move(request), exchange, work);
  } else {
    co_await HandleService(std::move(request), exchange, work);
  }
}

net::http_response caller_handler::EntriesResponse(
    const net::http_request& request,
    const snapshot& current) const {
  std::vector<ownership::candidate> candidates;
  std::map<std::string, const membership::member*> members;
  for (const auto& member : current.entries) {
    candidates.push_back({member.id, member.data_centre});
    members[member.id] = &member;
  }
  std::string rank_key = "callers";
  std::size_t limit = internal::kMaxEntriesWithoutKey;
  const auto authorization = net::FieldOf(request.fields, "authorization");
  if (authorization.starts_with(internal::kBearerPrefix) && current.document) {
    const auto key = settings::FindKey(
        *current.document,
        Sha256Hex(authorization.substr(internal::kBearerPrefix.size())));
    if (key && !key->withdrawn) {
      rank_key = "account/" + key->account;
      limit = internal::kMaxEntriesForAccount;
    }
  }
  boost::json::array entries;
  for (const auto& id : ownership::Rank(rank_key, candidates, limit)) {
    entries.push_back(
        boost::json::object{{"address", members[id]->caller_address},
                            {"data_centre", members[id]->data_centre}});
  }
  return internal::JsonResponse(
      {{"entries", std::move(entries)},
       {"ttl_ms", state_.settings.entries_time_to_live.count()}});
}

net::http_response caller_handler::ModelsResponse(
    const snapshot& current) const {
  boost::json::array models;
  for (const auto& name : settings::ListModels(*current.document)) {
    models.push_back(boost::json::object{{"id", name}, {"object", "model"}});
  }
  return internal::JsonResponse(
      {{"object", "list"}, {"data", std::move(models)}});
}

asio::awaitable<void> caller_handler::HandleChat(net::http_request request,
                                                 net::exchange& exchange,
                                                 std::shared_ptr<call> work) {
  const call_context context{state_, pools_, bookings_, accounts_, tracer_};
  const auto current = state_.published.load();
  boost::system::error_code failure;
  const auto parsed = boost::json::parse(request.body, failure);
  const auto* body = failure ? nullptr : parsed.if_object();
  error problem = internal::ValidateChat(body, *current->document);
  std::string upstream_body;
  if (problem.code == result_code::ok) {
    const std::string model(body->at("model").as_string());
    upstream_body = internal::MakeUpstreamBody(*body, model);
    work->wanted.name = model;
    if (internal::ContainsKey(upstream_body, work->key)) {
      problem = error{result_code::key_in_request,
                      "the request repeats the key in its body"};
    }
  }
  if (problem.code != result_code::ok) {
    auto reason = internal::ToRefusal(problem);
    co_await Refuse(context, std::move(reason), exchange);
    co_return;
  }
  work->wanted.prefix = internal::HashPromptPrefix(*body);
  work->wanted.resumable = true;
  work->wanted.fingerprint =
      quarantine::Fingerprint(work->account.name, upstream_body);
  const auto* stream = body->if_contains("stream");
  const bool streamed = stream && stream->is_bool() && stream->as_bool();
  co_await RunChat(context, work, std::move(upstream_body), streamed, exchange);
}

asio::awaitable<void> caller_handler::HandleService(
    net::http_request request,
    net::exchange& exchange,
    std::shared_ptr<call> work) {
  const call_context context{state_, pools_, bookings_, accounts_, tracer_};
  const auto current = state_.published.load();
  const auto service_path =
      request.target.substr(internal::kServicesPrefix.size());
  const auto name = service_path.substr(0, service_path.find_first_of("/?"));
  const auto service = settings::FindService(*current->document, name);
  refusal reason;
  if (!service) {
    reason.code = result_code::unknown_service;
    co_await Refuse(context, std::move(reason), exchange);
    co_return;
  }
  net::http_request upstream;
  upstream.method = request.method;
  upstream.target = service_path.substr(name.size());
  if (upstream.target.empty() || upstream.target.front() != '/') {
    upstream.target.insert(0, "/");
  }
  for (const auto field : internal::kForwardedHeaders) {
    if (request.fields.contains(field)) {
      upstream.fields[std::string(field)] = net::FieldOf(request.fields, field);
    }
  }
  upstream.body = std::move(request.body);
  bool contains_key =
      internal::ContainsKey(internal::DecodePercent(upstream.target),
                            work->key) ||
      internal::ContainsKey(upstream.target, work->key) ||
      internal::ContainsKey(upstream.body, work->key);
  for (const auto& [unused, value] : upstream.fields) {
    contains_key = contains_key || internal::ContainsKey(value, work->key);
  }
  const std::string idempotency_key(
      net::FieldOf(request.fields, "idempotency-key"));
  const bool idempotent = internal::IsIdempotent(*service, request.method);
  if (contains_key || internal::ContainsKey(idempotency_key, work->key)) {
    reason.code = result_code::key_in_request;
  } else if (!idempotent && idempotency_key.empty()) {
    reason.code = result_code::missing_idempotency_key;
  }
  if (reason.code != result_code::ok) {
    co_await Refuse(context, std::move(reason), exchange);
    co_return;
  }
  work->wanted.name = name;
  if (idempotent) {
    co_await RunIdempotent(context, work, std::move(upstream), exchange);
  } else {
    co_await RunBooking(context, work, std::move(upstream), idempotency_key,
                        exchange);
  }
}

}  // namespace mimosadeck::daemon
