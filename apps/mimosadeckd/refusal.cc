#include "mimosadeckd/refusal.h"

#include <boost/json.hpp>

namespace mimosadeck::daemon {

net::http_response RefusalResponse(const refusal& reason) {
  constexpr std::chrono::milliseconds kSecond{1000};
  boost::json::object body{
      {"code", static_cast<int>(reason.code)},
      {"name", ResultCodeName(reason.code)},
      {"message", reason.message.empty()
                      ? std::string(ResultCodeName(reason.code))
                      : reason.message},
      {"executed", reason.run == executed::no ? "no" : "unknown"}};
  net::http_response out;
  out.status = HttpStatusOf(reason.code);
  out.fields["content-type"] = "application/json";
  if (reason.retry_after.count() > 0) {
    body["retry_after_ms"] = reason.retry_after.count();
    out.fields["retry-after"] = std::to_string(
        (reason.retry_after + kSecond - std::chrono::milliseconds(1)) /
        kSecond);
  }
  out.body = boost::json::serialize(boost::json::object{{"error", body}});
  return out;
}

}  // namespace mimosadeck::daemon
