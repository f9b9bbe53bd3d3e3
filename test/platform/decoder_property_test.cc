#define BOOST_TEST_MODULE decoder_property
#include <boost/test/included/unit_test.hpp>

#include <cmath>
#include <string>
#include <string_view>
#include <vector>

#include <rapidcheck.h>

#include "net/address.h"
#include "platform/platform.h"
#include "platform/store_codec.h"
#include "platform/upstream_entry.h"

namespace {

using namespace std::chrono_literals;
using mimosadeck::IsOk;
namespace net = mimosadeck::net;
namespace platform = mimosadeck::platform;
namespace routing = mimosadeck::routing;

constexpr std::size_t kMaxIdBytes = 200;
constexpr std::size_t kMaxChanges = 3;
/** Longest time that is read. */
constexpr std::chrono::milliseconds kMaxTime{1'000'000'000'000};

constexpr std::string_view kManifest = R"({"version":7,
  "routes":[
   {"name":"chat","host":"h.example","prefix":"/c/","kind":"stream",
    "timeout_ms":12000,"goal_ms":300,"priority":0,"service":"pool",
    "max_attempts":2,"public":false,"sticky":true,"can_resume":true,
    "gap_target_ms":200},
   {"name":"split","host":"h.example","prefix":"/s/","kind":"unsafe",
    "timeout_ms":800,"traffic_split":[{"service":"pool","weight":90}]}],
  "services":[{"name":"pool","max_conns":370,
    "engine":{"slots":64,"kv_capacity":803576,"stride":5},
    "autoscale":{"min":1,"max":8,"boot_s":4.0,"spot_price":0.22,
                 "zone_prices":{"a":0.85,"b":1.2}}}],
  "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
            "header_timeout_ms":3000,"idle_timeout_ms":15000},
  "tenants":[{"name":"parish","api_keys":["k1"],"priority":1}]})";

constexpr std::string_view kEntry =
    R"({"service":"pool","address":"10.0.0.1:80","zone":"a","version":"v1",)"
    R"("slots":64,"state":"ready","cold_left_ms":0,"seq":4,"born":17,)"
    R"("spot":true})";

constexpr std::string_view kPage =
    R"({"rows":[{"table":"servers","part":"","key":"i-\ud83d\ude00","value":)"
    R"("eyJhIjoxfQ==","ver":7},{"key":"b","tombstone":true,"ver":8}],)"
    R"("more_pages":true,"ver":9,"now_ms":5})";

constexpr std::string_view kSettings = R"({"node_name":"n","ip":"10.0.0.2",
  "zone":"a","listen":{"front":"10.0.0.2:1","ready":"10.0.0.2:2",
  "directory":"10.0.0.2:3","control":"10.0.0.2:4"},"port_range":[5,9],
  "seeds":["10.0.0.3:5"],"bounds":{"contact_ms":5000,"grace_s":10,
  "config_apply_ms":4000,"drain_ms":3000,
  "retry_budget_ratio":0.1,"budget_window_s":10,"lease_ms":5000},
  "limits":{"memory_mb":512,"link_mbps":100},
  "provider":{"address":"10.0.0.9:1"},
  "cloud_api":{"address":"10.0.0.9:2","duties":["usage"]}})";

/** @brief Returns texts that replace a value or are put between characters. */
std::vector<std::string> OddTokens() {
  constexpr std::size_t kDepth = 5000;
  return {"1e400",
          "-1e400",
          "-1",
          "0",
          "1e18",
          "1.5",
          "65536",
          "4294967296",
          "9223372036854775808",
          "18446744073709551615",
          "18446744073709551616",
          "null",
          "true",
          "{}",
          "[]",
          "\"\"",
          "\"\\ud800\"",
          "\"\\u0000\"",
          "\"0.0.0.0:80\"",
          "\"10.0.0.1:-65456\"",
          std::string(kDepth, '['),
          std::string(kDepth, '[') + std::string(kDepth, ']'),
          std::string("\xff\0\xfe", 3),
          "\"",
          "\\",
          "\\u",
          ","};
}

/** @brief Returns any number below a limit; unlike a plain generator's, it does
 * not grow with the number of tests. */
std::size_t Below(std::size_t limit) {
  return *rc::gen::resize(rc::kNominalSize,
                          rc::gen::inRange<std::size_t>(0, limit));
}

/** @brief Replaces the value of one member. */
std::string ReplaceValue(const std::string& text, const std::string& token) {
  std::vector<std::size_t> colons;
  for (std::size_t i = 0; i + 1 < text.size(); ++i) {
    if (text[i] == ':' && text[i - 1] == '"') {
      colons.push_back(i);
    }
  }
  if (colons.empty()) {
    return text;
  }
  const auto at = colons[Below(colons.size())] + 1;
  const auto end = text.find_first_of(",}]", at);
  return text.substr(0, at) + token +
         (end == std::string::npos ? "" : text.substr(end));
}

/** @brief Changes a valid text in a few places. */
std::string Mutate(std::string_view valid) {
  static const auto tokens = OddTokens();
  std::string out(valid);
  const auto changes = Below(kMaxChanges + 1);
  for (std::size_t i = 0; i < changes && !out.empty(); ++i) {
    const auto at = Below(out.size());
    const auto& token = tokens[Below(tokens.size())];
    switch (Below(6)) {
      case 0:
        out[at] = *rc::gen::arbitrary<char>();
        break;
      case 1:
        out.insert(at, token);
        break;
      case 2:
        out.erase(at, 1 + Below(20));
        break;
      default:
        out = ReplaceValue(out, token);
    }
  }
  return out;
}

bool IsTime(std::chrono::milliseconds time) {
  return time >= 0ms && time <= kMaxTime;
}

void CheckManifest(const routing::manifest& read) {
  for (const auto& route : read.routes) {
    RC_ASSERT(IsTime(route.timeout));
    RC_ASSERT(IsTime(route.goal));
    RC_ASSERT(!route.pause_goal || IsTime(*route.pause_goal));
    RC_ASSERT(route.priority >= 0);
    RC_ASSERT(route.max_attempts >= 0);
    for (const auto& share : route.services) {
      RC_ASSERT(std::isfinite(share.weight));
    }
  }
  for (const auto& service : read.services) {
    if (service.scaling) {
      RC_ASSERT(IsTime(service.scaling->boot_time));
      RC_ASSERT(std::isfinite(service.scaling->evictable_price));
      for (const auto& [name, price] : service.scaling->price_by_data_centre) {
        RC_ASSERT(std::isfinite(price));
      }
    }
  }
  RC_ASSERT(IsTime(read.limits.header_timeout));
  RC_ASSERT(IsTime(read.limits.idle_timeout));
}

BOOST_AUTO_TEST_SUITE(decoders)

BOOST_AUTO_TEST_CASE(mutated_upstream_row_is_refused_or_in_range) {
  BOOST_TEST(platform::DecodeUpstream("i-1", kEntry).has_value());
  BOOST_TEST(rc::check([] {
    const auto id = *rc::gen::oneOf(rc::gen::just(std::string("i-1")),
                                    rc::gen::arbitrary<std::string>());
    const auto read = platform::DecodeUpstream(id, Mutate(kEntry));
    RC_CLASSIFY(read.has_value());
    if (read) {
      RC_ASSERT(!read->id.empty() && read->id.size() <= kMaxIdBytes);
      RC_ASSERT(read->id.find('\n') == std::string::npos);
      RC_ASSERT(read->slots > 0U);
      RC_ASSERT(net::IsRemoteEndpoint(read->address));
    }
  }));
}

BOOST_AUTO_TEST_CASE(mutated_manifest_is_refused_or_in_range) {
  BOOST_TEST(IsOk(platform::DecodeManifest(kManifest)));
  BOOST_TEST(rc::check([] {
    const auto read = platform::DecodeManifest(Mutate(kManifest));
    RC_CLASSIFY(IsOk(read));
    if (IsOk(read)) {
      CheckManifest(std::get<routing::manifest>(read));
    }
  }));
}

BOOST_AUTO_TEST_CASE(mutated_page_is_refused_or_decoded) {
  BOOST_TEST(platform::DecodePage(kPage).has_value());
  BOOST_TEST(rc::check([] {
    const auto read = platform::DecodePage(Mutate(kPage));
    RC_ASSERT(!read || read->rows.size() <= 2U);
  }));
}

BOOST_AUTO_TEST_CASE(mutated_settings_are_refused_or_in_range) {
  using settings = platform::machine_settings;
  BOOST_TEST(
      std::holds_alternative<settings>(platform::ReadSettings(kSettings)));
  BOOST_TEST(rc::check([] {
    const auto read = platform::ReadSettings(Mutate(kSettings));
    RC_CLASSIFY(std::holds_alternative<settings>(read));
    if (const auto* found = std::get_if<settings>(&read)) {
      const auto& bounds = found->bounds;
      RC_ASSERT(IsTime(bounds.contact_recovery_time));
      RC_ASSERT(IsTime(bounds.apply_time));
      RC_ASSERT(IsTime(bounds.stop_grace));
      RC_ASSERT(IsTime(bounds.lease));
      RC_ASSERT(std::isfinite(bounds.retry_budget_ratio));
    }
  }));
}

BOOST_AUTO_TEST_CASE(mutated_fields_of_messages_are_refused_or_in_range) {
  const net::http_fields valid{{"host", "h.example"},
                               {"x-request-id", "9c41"},
                               {"x-request-deadline-ms", "12000"},
                               {"x-token-usage", "1460,80"},
                               {"x-prompt-prefix", "5c1e07a2:800,91bd3f06:410"},
                               {"x-length-hint", "7"},
                               {"retry-after", "1.5"},
                               {"server-limit", "40.5"},
                               {"connection", "keep-alive, X-Private"}};
  BOOST_TEST(rc::check([&valid] {
    auto fields = valid;
    for (auto& [name, value] : fields) {
      value = Mutate(value);
    }
    static_cast<void>(platform::DecodeCallerRequest(fields));
    const auto answer = platform::DecodeAnswer(200, fields);
    RC_ASSERT(!answer.pause || IsTime(*answer.pause));
    RC_ASSERT(!answer.requests_per_second ||
              std::isfinite(*answer.requests_per_second));
  }));
}

BOOST_AUTO_TEST_CASE(address_is_refused_or_written_as_it_was_read) {
  BOOST_TEST(rc::check([] {
    const auto text = Mutate("10.0.0.1:80");
    const auto read = net::ReadEndpoint(text);
    if (read) {
      RC_ASSERT(net::ReadEndpoint(net::FormatEndpoint(*read)) == read);
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
