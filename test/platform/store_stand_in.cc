#include "platform/store_stand_in.h"

#include <algorithm>

#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <boost/url.hpp>

#include "base/base.h"
#include "platform/wait.h"

namespace mimosadeck::platform_test {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds kFeedPollInterval{5};
/** Longer than any call waits. */
constexpr std::chrono::hours kSilence{1};

std::string QueryParameter(const std::string& target, std::string_view name) {
  const auto url = boost::urls::parse_origin_form(target);
  const auto found = url->params().find(name);
  return found == url->params().end() ? std::string{} : (*found).value;
}

net::http_response JsonResponse(int status, const json::object& body) {
  net::http_response out;
  out.status = status;
  out.body = json::serialize(body);
  return out;
}

json::object EncodeRow(const std::string& table,
                       const std::string& key,
                       const std::string& value,
                       std::uint64_t version) {
  return {{"table", table},
          {"part", ""},
          {"key", key},
          {"value", EncodeBase64(value)},
          {"ver", version}};
}

std::string StringMember(const json::object& row, std::string_view member) {
  return json::value_to<std::string>(row.at(member));
}

}  // namespace

store_stand_in::store_stand_in(asio::io_context& io) {
  server_ = std::make_unique<net::http_server>(
      std::vector<asio::io_context*>{&io}, "127.0.0.1:0", net::server_options{},
      [this](auto request, auto& exchange) {
        return Answer(std::move(request), exchange);
      });
}

std::string store_stand_in::Address() const {
  return server_->Address();
}

void store_stand_in::Put(const std::string& table,
                         const std::string& key,
                         const std::string& value) {
  rows_[{table, key}] = {value, ++version_, false};
}

bool store_stand_in::HasRow(std::string_view prefix) const {
  return std::any_of(rows_.begin(), rows_.end(), [prefix](const auto& row) {
    return !row.second.removed && row.first.first != "op" &&
           row.first.first != "servers" && row.first.second.starts_with(prefix);
  });
}

void store_stand_in::Drop(const std::string& table, const std::string& key) {
  rows_[{table, key}] = {"", ++version_, true};
}

void store_stand_in::TakeCopy() {
  copied_version_ = version_;
  copied_rows_ = rows_;
}

void store_stand_in::ReturnFromCopy() {
  version_ = copied_version_;
  rows_ = copied_rows_;
  ++era_;
}

asio::awaitable<void> store_stand_in::Answer(net::http_request request,
                                             net::exchange& exchange) {
  calls.push_back(request.target);
  net::http_response response;
  switch (fault) {
    case store_fault::none:
      break;
    case store_fault::busy:
      response.status = 503;
      co_await exchange.Respond(std::move(response));
      co_return;
    case store_fault::too_many:
      response.status = 429;
      co_await exchange.Respond(std::move(response));
      co_return;
    case store_fault::reset:
      exchange.Abort();
      co_return;
    case store_fault::answer_lost:
      static_cast<void>(Execute(request));
      exchange.Abort();
      co_return;
    case store_fault::silent:
      co_await Wait(kSilence);
      co_return;
    case store_fault::garbage:
      response.body = "{\"rows\":[{\"key";
      co_await exchange.Respond(std::move(response));
      co_return;
  }
  response = co_await Respond(request);
  response.fields["store-era"] = stated_era.value_or(std::to_string(era_));
  co_await exchange.Respond(std::move(response));
}

asio::awaitable<net::http_response> store_stand_in::Respond(
    const net::http_request& request) {
  if (!request.target.starts_with("/v1/rows-feed")) {
    co_return Execute(request);
  }
  auto target = request.target;
  auto response = co_await Feed(std::move(target));
  co_return response;
}

net::http_response store_stand_in::Execute(const net::http_request& request) {
  if (request.target == "/v1/rows-tx") {
    return Commit(request);
  }
  if (request.target == "/usage") {
    return Report(request);
  }
  return Get(request.target);
}

net::http_response store_stand_in::Commit(const net::http_request& request) {
  const auto body = json::parse(request.body).as_object();
  json::array present;
  bool conditions_hold = true;
  for (const auto& value : body.at("expected_rev").as_array()) {
    const auto& row = value.as_object();
    const auto table = StringMember(row, "table");
    const auto key = StringMember(row, "key");
    const auto found = rows_.find({table, key});
    const bool exists = found != rows_.end() && !found->second.removed;
    const auto version = exists ? found->second.version : 0;
    conditions_hold =
        conditions_hold && version == row.at("ver").to_number<std::uint64_t>();
    if (exists) {
      present.push_back(EncodeRow(table, key, found->second.value, version));
    }
  }
  if (!conditions_hold) {
    return JsonResponse(412, {{"rows", present}, {"ver", version_}});
  }
  ++version_;
  for (const auto& value : body.at("puts").as_array()) {
    const auto& row = value.as_object();
    rows_[{StringMember(row, "table"), StringMember(row, "key")}] = {
        *DecodeBase64(StringMember(row, "value")), version_, false};
  }
  for (const auto& value : body.at("remove").as_array()) {
    const auto& row = value.as_object();
    rows_[{StringMember(row, "table"), StringMember(row, "key")}] = {
        "", version_, true};
  }
  return JsonResponse(200, {{"ver", version_}, {"now_ms", 1}});
}

net::http_response store_stand_in::Get(const std::string& target) {
  const auto table = QueryParameter(target, "table");
  const auto from = QueryParameter(target, "from");
  const auto to = QueryParameter(target, "to");
  const auto limit = QueryParameter(target, "limit");
  const std::size_t max_rows = limit.empty() ? 500 : std::stoul(limit);
  json::array rows;
  bool more = false;
  for (const auto& [name, row] : rows_) {
    if (name.first != table || row.removed || name.second < from ||
        (!to.empty() && name.second >= to)) {
      continue;
    }
    if (rows.size() == max_rows) {
      more = true;
      break;
    }
    rows.push_back(EncodeRow(table, name.second, row.value, row.version));
  }
  return JsonResponse(
      200, {{"rows", rows}, {"more_pages", more}, {"ver", version_}});
}

net::http_response store_stand_in::Report(const net::http_request& request) {
  usage_report report;
  report.holder = net::FieldOf(request.fields, "x-duty-holder");
  report.fencing =
      std::stoull(std::string(net::FieldOf(request.fields, "x-fencing-token")));
  report.body = request.body;
  report.accepted = report.fencing >= highest_fencing;
  highest_fencing = std::max(highest_fencing, report.fencing);
  reports.push_back(report);
  return JsonResponse(report.accepted ? 200 : 409, {});
}

std::int64_t store_stand_in::ClockMs() const {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now +
                                                               clock_offset)
      .count();
}

asio::awaitable<net::http_response> store_stand_in::Feed(std::string target) {
  const auto table = QueryParameter(target, "table");
  const auto since = std::stoull(QueryParameter(target, "since_rev"));
  std::chrono::milliseconds remaining(
      std::stoll(QueryParameter(target, "wait_ms")));
  const auto era = era_;
  if (since < oldest_version_ || since > version_) {
    co_return JsonResponse(410, {});
  }
  while (true) {
    if (era_ != era) {
      co_return JsonResponse(410, {});
    }
    json::array rows;
    for (const auto& [name, row] : rows_) {
      if (name.first == table && row.version > since) {
        auto changed = EncodeRow(table, name.second, row.value, row.version);
        if (row.removed) {
          changed["tombstone"] = true;
        }
        rows.push_back(std::move(changed));
      }
    }
    if (!rows.empty() || remaining <= std::chrono::milliseconds(0)) {
      co_return JsonResponse(
          200, {{"rows", rows}, {"ver", version_}, {"now_ms", ClockMs()}});
    }
    co_await Wait(kFeedPollInterval);
    remaining -= kFeedPollInterval;
  }
}

}  // namespace mimosadeck::platform_test
