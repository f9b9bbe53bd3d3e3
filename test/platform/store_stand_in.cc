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

constexpr std::chrono::milliseconds kFeedPoll{5};
constexpr std::chrono::hours kSilence{1};

std::string Parameter(const std::string& target, std::string_view name) {
  const auto url = boost::urls::parse_origin_form(target);
  const auto found = url->params().find(name);
  return found == url->params().end() ? std::string{} : (*found).value;
}

net::http_response Json(int status, const json::object& body) {
  net::http_response out;
  out.status = status;
  out.body = json::serialize(body);
  return out;
}

json::object RowOf(const std::string& table,
                   const std::string& key,
                   const std::string& value,
                   std::uint64_t version) {
  return {{"table", table},
          {"part", ""},
          {"key", key},
          {"value", EncodeBase64(value)},
          {"ver", version}};
}

std::string NameOf(const json::object& row, std::string_view member) {
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
  return std::any_of(rows_.begin(), rows_.end(), [prefix](const auto& each) {
    return !each.second.removed && each.first.first != "op" &&
           each.first.first != "servers" &&
           each.first.second.starts_with(prefix);
  });
}

void store_stand_in::Drop(const std::string& table, const std::string& key) {
  rows_[{table, key}] = {"", ++version_, true};
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
      static_cast<void>(Carry(request));
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
  if (request.target.starts_with("/v1/rows-feed")) {
    auto target = request.target;
    response = co_await Feed(std::move(target));
  } else {
    response = Carry(request);
  }
  co_await exchange.Respond(std::move(response));
}

net::http_response store_stand_in::Carry(const net::http_request& request) {
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
  bool holds = true;
  for (const auto& each : body.at("expected_rev").as_array()) {
    const auto& row = each.as_object();
    const auto table = NameOf(row, "table");
    const auto key = NameOf(row, "key");
    const auto found = rows_.find({table, key});
    const bool exists = found != rows_.end() && !found->second.removed;
    const auto version = exists ? found->second.version : 0;
    holds = holds && version == row.at("ver").to_number<std::uint64_t>();
    if (exists) {
      present.push_back(RowOf(table, key, found->second.value, version));
    }
  }
  if (!holds) {
    return Json(412, {{"rows", present}, {"ver", version_}});
  }
  ++version_;
  for (const auto& each : body.at("puts").as_array()) {
    const auto& row = each.as_object();
    rows_[{NameOf(row, "table"), NameOf(row, "key")}] = {
        *DecodeBase64(NameOf(row, "value")), version_, false};
  }
  for (const auto& each : body.at("remove").as_array()) {
    const auto& row = each.as_object();
    rows_[{NameOf(row, "table"), NameOf(row, "key")}] = {"", version_, true};
  }
  return Json(200, {{"ver", version_}, {"now_ms", 1}});
}

net::http_response store_stand_in::Get(const std::string& target) {
  const auto table = Parameter(target, "table");
  const auto from = Parameter(target, "from");
  const auto to = Parameter(target, "to");
  const auto limit = Parameter(target, "limit");
  const std::size_t most = limit.empty() ? 500 : std::stoul(limit);
  json::array rows;
  bool more = false;
  for (const auto& [name, row] : rows_) {
    if (name.first != table || row.removed || name.second < from ||
        (!to.empty() && name.second >= to)) {
      continue;
    }
    if (rows.size() == most) {
      more = true;
      break;
    }
    rows.push_back(RowOf(table, name.second, row.value, row.version));
  }
  return Json(200, {{"rows", rows}, {"more_pages", more}, {"ver", version_}});
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
  return Json(report.accepted ? 200 : 409, {});
}

asio::awaitable<net::http_response> store_stand_in::Feed(std::string target) {
  const auto table = Parameter(target, "table");
  const auto since = std::stoull(Parameter(target, "since_rev"));
  std::chrono::milliseconds left(std::stoll(Parameter(target, "wait_ms")));
  if (since < oldest_) {
    co_return Json(410, {});
  }
  while (true) {
    json::array rows;
    for (const auto& [name, row] : rows_) {
      if (name.first == table && row.version > since) {
        auto changed = RowOf(table, name.second, row.value, row.version);
        if (row.removed) {
          changed["tombstone"] = true;
        }
        rows.push_back(std::move(changed));
      }
    }
    if (!rows.empty() || left <= std::chrono::milliseconds(0)) {
      co_return Json(200, {{"rows", rows}, {"ver", version_}});
    }
    co_await Wait(kFeedPoll);
    left -= kFeedPoll;
  }
}

}  // namespace mimosadeck::platform_test
