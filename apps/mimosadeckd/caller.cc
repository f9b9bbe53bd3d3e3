#include "mimosadeckd/caller.h"

#include <algorithm>

#include <boost/json.hpp>
#include <boost/url/decode_view.hpp>

#include "mimosadeckd/call.h"

namespace mimosadeck::daemon {
namespace internal {
namespace {

namespace json = boost::json;

constexpr std::string_view kBearer = "Bearer ";
constexpr std::string_view kClassHeader = "x-request-class";
constexpr std::string_view kServices = "/services/";
constexpr std::size_t kEntriesForAccount = 3;
constexpr std::size_t kEntriesForAll = 8;
constexpr std::array<std::string_view, 6> kAccountHeaders{
    "x-account", "x-account-id", "x-client-account",
    "x-tenant",  "x-tenant-id",  "x-mimosadeck-account"};
constexpr std::array<std::string_view, 10> kForwardedMembers{
    "messages", "max_tokens", "temperature", "top_p",           "stop",
    "seed",     "tools",      "tool_choice", "response_format", "logit_bias"};
constexpr std::array<std::string_view, 3> kForwardedFields{
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

bool Contains(std::string_view text, std::string_view key) {
  return !key.empty() && text.find(key) != std::string_view::npos;
}

/** @brief Hashes the start of a prompt, which engines may have cached. */
std::uint64_t PrefixOf(const json::object& body) {
  const auto* messages = body.if_contains("messages");
  if (!messages || !messages->is_array() || messages->as_array().empty()) {
    return 0;
  }
  return Hash64(json::serialize(messages->as_array().front()));
}

/** @brief Builds the body for an engine from the members it may see. */
std::string UpstreamBody(const json::object& body, std::string_view model) {
  json::object out;
  out["model"] = model;
  out["stream"] = true;
  for (const auto name : kForwardedMembers) {
    if (const auto* member = body.if_contains(name)) {
      out[name] = *member;
    }
  }
  return json::serialize(out);
}

error CheckChat(const json::object* body, const config::document& document) {
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
    const snapshot& now) const {
  auto work = std::make_shared<call>();
  work->arrived = Now();
  for (const auto name : internal::kAccountHeaders) {
    if (request.fields.contains(name)) {
      return error{result_code::account_header_refused,
                   "the client account comes from the key alone"};
    }
  }
  const auto authorization = net::FieldOf(request.fields, "authorization");
  if (!authorization.starts_with(internal::kBearer)) {
    return error{result_code::key_missing, "send `Authorization: Bearer KEY`"};
  }
  work->key = authorization.substr(internal::kBearer.size());
  work->key_hash = Sha256Hex(work->key);
  if (now.freshness == config::freshness::stale) {
    return error{now.document->version == 0 ? result_code::not_ready
                                            : result_code::configuration_stale,
                 "this entry does not know which keys are good"};
  }
  const auto key = settings::FindKey(*now.document, work->key_hash);
  if (!key) {
    return error{result_code::key_unknown, "no such key"};
  }
  if (key->withdrawn) {
    return error{result_code::key_withdrawn, "the key was withdrawn"};
  }
  const auto account = settings::FindAccount(*now.document, key->account);
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
      settings::FindClass(*now.document, *account, class_name);
  return work;
}

asio::awaitable<void> caller_handler::Handle(net::http_request request,
                                             net::exchange& exchange) {
  const auto now = state_.published.load();
  const std::string path(net::PathOf(request.target));
  const call_context context{state_, pools_, bookings_, accounts_, tracer_};
  if (path == "/v1/entries" && request.method == "GET") {
    auto response = Entries(request, *now);
    co_await exchange.Respond(std::move(response));
    co_return;
  }
  const bool is_chat =
      path == "/v1/chat/completions" && request.method == "POST";
  const bool is_models = path == "/v1/models" && request.method == "GET";
  const bool is_service = path.starts_with(internal::kServices);
  if (!is_chat && !is_models && !is_service) {
    refusal reason;
    reason.code = result_code::unknown_route;
    co_await Refuse(context, std::move(reason), exchange);
    co_return;
  }
  auto work = std::make_shared<call>();
  bool open_route = false;
  if (is_service) {
    const auto name = path.substr(internal::kServices.size());
    const auto service =
        settings::FindService(*now->document, name.substr(0, name.find('/')));
    open_route = service && service->open_to_all &&
                 internal::IsIdempotent(*service, request.method);
  }
  if (open_route) {
    work->arrived = Now();
    work->service_class = settings::FindClass(
        *now->document, settings::account_settings{}, "open");
  } else {
    auto authenticated = Authenticate(request, *now);
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
    auto response = Models(*now);
    co_await exchange.Respond(std::move(response));
  } else if (is_chat) {
    co_await Chat(std::move(request), exchange, work);
  } else {
    co_await Service(std::move(request), exchange, work);
  }
}

net::http_response caller_handler::Entries(const net::http_request& request,
                                           const snapshot& now) const {
  std::vector<ownership::candidate> candidates;
  std::map<std::string, const membership::member*> known;
  for (const auto& member : now.entries) {
    candidates.push_back({member.id, member.data_centre});
    known[member.id] = &member;
  }
  std::string work = "callers";
  std::size_t wanted = internal::kEntriesForAll;
  const auto authorization = net::FieldOf(request.fields, "authorization");
  if (authorization.starts_with(internal::kBearer) && now.document) {
    const auto key = settings::FindKey(
        *now.document,
        Sha256Hex(authorization.substr(internal::kBearer.size())));
    if (key && !key->withdrawn) {
      work = "account/" + key->account;
      wanted = internal::kEntriesForAccount;
    }
  }
  boost::json::array entries;
  for (const auto& id : ownership::Rank(work, candidates, wanted)) {
    entries.push_back(
        boost::json::object{{"address", known[id]->caller_address},
                            {"data_centre", known[id]->data_centre}});
  }
  return internal::JsonResponse(
      {{"entries", std::move(entries)},
       {"ttl_ms", state_.settings.entries_time_to_live.count()}});
}

net::http_response caller_handler::Models(const snapshot& now) const {
  boost::json::array models;
  for (const auto& name : settings::ListModels(*now.document)) {
    models.push_back(boost::json::object{{"id", name}, {"object", "model"}});
  }
  return internal::JsonResponse(
      {{"object", "list"}, {"data", std::move(models)}});
}

asio::awaitable<void> caller_handler::Chat(net::http_request request,
                                           net::exchange& exchange,
                                           std::shared_ptr<call> work) {
  const call_context context{state_, pools_, bookings_, accounts_, tracer_};
  const auto now = state_.published.load();
  boost::system::error_code failure;
  const auto parsed = boost::json::parse(request.body, failure);
  const auto* body = failure ? nullptr : parsed.if_object();
  error found = internal::CheckChat(body, *now->document);
  std::string upstream_body;
  if (found.code == result_code::ok) {
    const std::string model(body->at("model").as_string());
    upstream_body = internal::UpstreamBody(*body, model);
    work->wanted.name = model;
    if (internal::Contains(upstream_body, work->key)) {
      found = error{result_code::key_in_request,
                    "the request repeats the key in its body"};
    }
  }
  if (found.code != result_code::ok) {
    auto reason = internal::ToRefusal(found);
    co_await Refuse(context, std::move(reason), exchange);
    co_return;
  }
  work->wanted.prefix = internal::PrefixOf(*body);
  work->wanted.resumable = true;
  work->wanted.fingerprint =
      quarantine::Fingerprint(work->account.name, upstream_body);
  const auto* stream = body->if_contains("stream");
  const bool streamed = stream && stream->is_bool() && stream->as_bool();
  co_await RunChat(context, work, std::move(upstream_body), streamed, exchange);
}

asio::awaitable<void> caller_handler::Service(net::http_request request,
                                              net::exchange& exchange,
                                              std::shared_ptr<call> work) {
  const call_context context{state_, pools_, bookings_, accounts_, tracer_};
  const auto now = state_.published.load();
  const auto rest = request.target.substr(internal::kServices.size());
  const auto name = rest.substr(0, rest.find_first_of("/?"));
  const auto service = settings::FindService(*now->document, name);
  refusal reason;
  if (!service) {
    reason.code = result_code::unknown_service;
    co_await Refuse(context, std::move(reason), exchange);
    co_return;
  }
  net::http_request upstream;
  upstream.method = request.method;
  upstream.target = rest.substr(name.size());
  if (upstream.target.empty() || upstream.target.front() != '/') {
    upstream.target.insert(0, "/");
  }
  for (const auto field : internal::kForwardedFields) {
    if (request.fields.contains(field)) {
      upstream.fields[std::string(field)] = net::FieldOf(request.fields, field);
    }
  }
  upstream.body = std::move(request.body);
  bool leaks =
      internal::Contains(internal::DecodePercent(upstream.target), work->key) ||
      internal::Contains(upstream.target, work->key) ||
      internal::Contains(upstream.body, work->key);
  for (const auto& [unused, value] : upstream.fields) {
    leaks = leaks || internal::Contains(value, work->key);
  }
  const std::string idempotency_key(
      net::FieldOf(request.fields, "idempotency-key"));
  const bool idempotent = internal::IsIdempotent(*service, request.method);
  if (leaks || internal::Contains(idempotency_key, work->key)) {
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
    co_await RunLookup(context, work, std::move(upstream), exchange);
  } else {
    co_await RunBooking(context, work, std::move(upstream), idempotency_key,
                        exchange);
  }
}

}  // namespace mimosadeck::daemon
