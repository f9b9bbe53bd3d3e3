#include "mimosadeckctl/client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include "net/net.h"

namespace mimosadeck::ctl {
namespace internal {
namespace {

constexpr int kFirstErrorStatus = 400;
constexpr net::call_limits kLimits{std::chrono::milliseconds(2000),
                                   std::chrono::milliseconds(15000)};

}  // namespace
}  // namespace internal

result<reply> Call(const connection& to,
                   const std::string& method,
                   const std::string& target,
                   const std::string& body) {
  net::http_request request;
  request.method = method;
  request.target = target;
  request.fields["authorization"] = "Bearer " + to.key;
  request.fields["content-type"] = "application/json";
  request.body = body;
  boost::asio::io_context context;
  auto future = boost::asio::co_spawn(
      context, net::CallOnce(to.address, std::move(request), internal::kLimits),
      boost::asio::use_future);
  context.run();
  const auto outcome = future.get();
  if (const auto* failure = std::get_if<net::call_failure>(&outcome)) {
    return error{failure->progress == net::call_progress::sent
                     ? result_code::outcome_unknown
                     : result_code::owner_unreachable,
                 to.address + ": " + failure->message};
  }
  const auto& response = std::get<net::http_response>(outcome);
  boost::system::error_code unparsed;
  auto parsed = boost::json::parse(response.body, unparsed);
  return reply{response.status,
               unparsed ? boost::json::value(response.body) : parsed};
}

result<reply> SendChanges(const connection& to,
                          const std::string& author,
                          std::int64_t expected,
                          const std::vector<change>& changes) {
  if (expected < 0) {
    const auto present = Call(to, "GET", "/admin/v1/config", "");
    if (!IsOk(present)) {
      return present;
    }
    const auto& answer = std::get<reply>(present);
    if (answer.status >= internal::kFirstErrorStatus) {
      return present;
    }
    expected = answer.body.at("version").to_number<std::int64_t>();
  }
  boost::json::array list;
  for (const auto& item : changes) {
    list.push_back(
        boost::json::object{{"path", item.path}, {"value", item.value}});
  }
  return Call(to, "POST", "/admin/v1/changes",
              boost::json::serialize(
                  boost::json::object{{"expected_version", expected},
                                      {"author", author},
                                      {"changes", std::move(list)}}));
}

exit_code ExitCodeOf(const reply& answer) {
  if (answer.status < internal::kFirstErrorStatus) {
    return exit_code::ok;
  }
  const auto* object = answer.body.if_object();
  const auto* problem = object ? object->if_contains("error") : nullptr;
  if (!problem) {
    return exit_code::failed;
  }
  switch (static_cast<result_code>(problem->at("code").to_number<int>())) {
    case result_code::version_conflict:
      return exit_code::version_conflict;
    case result_code::outcome_unknown:
      return exit_code::outcome_unknown;
    case result_code::store_unavailable:
    case result_code::not_ready:
      return exit_code::unreachable;
    default:
      return exit_code::failed;
  }
}

}  // namespace mimosadeck::ctl
