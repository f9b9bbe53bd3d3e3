#include "bench/scenario.h"

#include <fstream>
#include <iterator>
#include <stdexcept>

#include <boost/json.hpp>

namespace mimosadeck::bench {
namespace internal {
namespace {

namespace json = boost::json;

std::string Text(const json::value& value, std::string_view name) {
  return json::value_to<std::string>(value.at(name));
}

double Number(const json::value& value, std::string_view name) {
  return value.at(name).to_number<double>();
}

std::chrono::milliseconds Millis(const json::value& value,
                                 std::string_view name) {
  return std::chrono::milliseconds(
      static_cast<std::int64_t>(Number(value, name)));
}

disturbance::kind KindOf(const std::string& name) {
  if (name == "burst") {
    return disturbance::kind::burst;
  }
  if (name == "evict_cheaper") {
    return disturbance::kind::evict_cheaper;
  }
  if (name == "slow_one") {
    return disturbance::kind::slow_one;
  }
  if (name == "crowd") {
    return disturbance::kind::crowd;
  }
  throw std::invalid_argument("unknown disturbance " + name);
}

}  // namespace
}  // namespace internal

scenario LoadScenario(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw std::invalid_argument(path + ": cannot be read");
  }
  const std::string text{std::istreambuf_iterator<char>(file),
                         std::istreambuf_iterator<char>()};
  boost::json::parse_options options;
  options.allow_comments = true;
  const auto root = boost::json::parse(text, {}, options);
  scenario out;
  out.name = internal::Text(root, "name");
  out.duration = internal::Millis(root, "duration_ms");
  for (const auto& item : root.at("classes").as_array()) {
    out.classes.push_back({internal::Text(item, "name"),
                           static_cast<int>(internal::Number(item, "tier")),
                           internal::Number(item, "requests_per_second"),
                           internal::Millis(item, "first_token_ms"),
                           internal::Millis(item, "max_wait_ms"),
                           internal::Number(item, "mean_tokens"),
                           item.at("resumable").as_bool()});
  }
  for (const auto& item : root.at("accounts").as_array()) {
    out.accounts.push_back({internal::Text(item, "name"),
                            internal::Number(item, "part"),
                            internal::Number(item, "weight")});
  }
  for (const auto& item : root.at("upstreams").as_array()) {
    out.upstreams.push_back(
        {static_cast<std::uint32_t>(internal::Number(item, "count")),
         static_cast<std::uint32_t>(internal::Number(item, "slots")),
         internal::Millis(item, "token_ms"), item.at("cheaper").as_bool(),
         internal::Number(item, "cost_per_hour")});
  }
  for (const auto& item : root.at("disturbances").as_array()) {
    out.disturbances.push_back(
        {internal::KindOf(internal::Text(item, "kind")),
         internal::Millis(item, "from_ms"), internal::Millis(item, "until_ms"),
         internal::Text(item, "subject"), internal::Number(item, "factor")});
  }
  return out;
}

}  // namespace mimosadeck::bench
