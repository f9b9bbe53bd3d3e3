#define BOOST_TEST_MODULE platform_codec
#include <boost/test/included/unit_test.hpp>

#include "platform/platform.h"
#include "platform/store_codec.h"

namespace {

using namespace std::chrono_literals;
using mimosadeck::IsOk;
using mimosadeck::result_code;
namespace net = mimosadeck::net;
namespace platform = mimosadeck::platform;
namespace routing = mimosadeck::routing;

constexpr auto kManifest = R"({"version":7,
  "routes":[
   {"name":"chat","host":"h.example","prefix":"/c/","kind":"stream",
    "timeout_ms":12000,"goal_ms":300,"priority":0,"service":"pool",
    "max_attempts":2,"public":false,"sticky":true,"can_resume":true,
    "gap_target_ms":200},
   {"name":"split","host":"h.example","prefix":"/s/","kind":"unsafe",
    "timeout_ms":800,"goal_ms":100,"priority":2,
    "traffic_split":[{"service":"pool","weight":90},
                     {"service":"other","weight":10}],
    "max_attempts":1,"public":true}],
  "services":[{"name":"pool","health_path":"/health","max_conns":370,
    "engine":{"slots":64,"kv_capacity":803576,"stride":5},
    "autoscale":{"min":1,"max":8,"boot_s":4.0,"spot_price":0.22,
                 "zone_prices":{"a":0.85,"b":1.2}}}],
  "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
            "header_timeout_ms":3000,"idle_timeout_ms":15000},
  "tenants":[{"name":"parish","api_keys":["k1","k2"],"priority":1}]})";

constexpr auto kEntry =
    R"({"service":"pool","address":"10.0.0.1:80","zone":"a","version":"v1",)"
    R"("slots":64,"state":"ready","cold_left_ms":0,"seq":4,"born":17})";

net::http_fields CallerFields() {
  return {{"host", "h.example"},
          {"x-request-id", "9c41"},
          {"x-request-deadline-ms", "12000"},
          {"x-api-key", "k1"},
          {"x-model", "m"},
          {"x-token-usage", "1460,80"},
          {"x-prompt-prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"},
          {"connection", "keep-alive, X-Private"},
          {"x-private", "1"},
          {"content-length", "5"}};
}

BOOST_AUTO_TEST_SUITE(manifests)

BOOST_AUTO_TEST_CASE(whole_manifest_is_decoded) {
  const auto read = platform::DecodeManifest(kManifest);
  BOOST_REQUIRE(IsOk(read));
  const auto& manifest = std::get<routing::manifest>(read);
  BOOST_TEST(manifest.version == 7);
  const auto& chat = manifest.routes.at(0);
  BOOST_TEST((chat.kind == routing::request_kind::stream));
  BOOST_TEST(chat.resumable);
  BOOST_TEST((chat.pause_goal == 200ms));
  BOOST_TEST(!chat.open);
  const auto& split = manifest.routes.at(1);
  BOOST_TEST((split.kind == routing::request_kind::non_idempotent));
  BOOST_TEST(split.services.size() == 2);
  BOOST_TEST(split.open);
  const auto& service = manifest.services.at(0);
  BOOST_TEST(service.engine->cache_tokens == 803576);
  BOOST_TEST((service.scaling->boot_time == 4s));
  BOOST_TEST(service.scaling->price_by_data_centre.at("b") == 1.2);
  BOOST_TEST(manifest.accounts->at(0).keys.size() == 2);
  BOOST_TEST(manifest.accounts->at(0).priority.value() == 1);
  BOOST_TEST((manifest.limits.idle_timeout == 15s));
}

// Guards against limits on cold upstreams of services that state none.
BOOST_AUTO_TEST_CASE(rate_of_cold_upstreams_is_read_where_it_is_stated) {
  const auto rate = [](const std::string& member) {
    const auto read = platform::DecodeManifest(
        R"({"version":1,"routes":[],"services":[{"name":"pool")" + member +
        "}]}");
    return std::get<routing::manifest>(read)
        .services.at(0)
        .cold_requests_per_second;
  };
  BOOST_TEST(rate(R"(,"cold_per_s":14.0)").value() == 14);
  BOOST_TEST(!rate(""));
  BOOST_TEST(!rate(R"(,"cold_per_s":0.0)"));
  BOOST_TEST(!rate(R"(,"cold_per_s":"14")"));
}

// Guards against a manifest that is refused because it names data centres or
// regions in which routes are at home: this release knows of none and sends
// requests to any upstream of the service.
BOOST_AUTO_TEST_CASE(homes_of_routes_and_accounts_are_ignored) {
  const auto read = platform::DecodeManifest(
      R"({"version":1,"routes":[{"host":"h","prefix":"/c/","kind":"safe",)"
      R"("homes":["a"]}],"tenants":[{"name":"t","homes":["a"]}]})");
  BOOST_REQUIRE(IsOk(read));
  BOOST_TEST(std::get<routing::manifest>(read).routes.size() == 1);
}

BOOST_AUTO_TEST_CASE(manifest_without_accounts_needs_no_keys) {
  const auto read = platform::DecodeManifest(R"({"version":1,"routes":[]})");
  BOOST_REQUIRE(IsOk(read));
  BOOST_TEST(!std::get<routing::manifest>(read).accounts);
}

BOOST_AUTO_TEST_CASE(invalid_manifests_are_rejected) {
  for (const auto* text :
       {"", "null", "[]", "{}", R"({"version":1})", R"({"routes":[]})",
        R"({"version":"1","routes":[]})",
        R"({"version":1,"routes":[{"host":"h","prefix":"/","kind":"odd"}]})",
        R"({"version":1,"routes":[7]})"}) {
    BOOST_TEST(!IsOk(platform::DecodeManifest(text)));
  }
}

BOOST_AUTO_TEST_SUITE_END()

/** @brief Returns a page with one row of the operators. */
platform::row_page OperatorRow(const std::string& key,
                               const std::string& value,
                               bool removed = false) {
  platform::row_page out;
  out.version = 12;
  out.era = 2;
  out.rows.push_back({key, value, 11, removed});
  return out;
}

BOOST_AUTO_TEST_SUITE(operator_rows)

BOOST_AUTO_TEST_CASE(evacuation_is_read_with_its_place_in_the_history) {
  const auto began =
      platform::DecodeOperatorRows(OperatorRow("evacuate/a", "{}"));
  BOOST_REQUIRE(began.evacuations.size() == 1);
  BOOST_TEST(began.evacuations[0].data_centre == "a");
  BOOST_TEST(began.evacuations[0].active);
  BOOST_TEST((began.evacuations[0].version ==
              *mimosadeck::registry::MakeStoreVersion(2, 11)));
  const auto ended =
      platform::DecodeOperatorRows(OperatorRow("evacuate/a", "", true));
  BOOST_TEST(!ended.evacuations.at(0).active);
}

// Guards against evacuations that are obeyed though nobody can have written
// them so.
BOOST_AUTO_TEST_CASE(unreadable_evacuations_are_named_and_not_obeyed) {
  for (const auto& [key, value] :
       std::vector<std::pair<std::string, std::string>>{
           {"evacuate/", "{}"},
           {"evacuate/a", "not json"},
           {"evacuate/a", "[]"},
           {"evacuate/\xff", "{}"}}) {
    const auto read = platform::DecodeOperatorRows(OperatorRow(key, value));
    BOOST_TEST(read.evacuations.empty(), key << ' ' << value);
    BOOST_TEST(read.unreadable.size() == 1, key << ' ' << value);
  }
}

BOOST_AUTO_TEST_CASE(manifest_and_other_rows_are_no_evacuations) {
  const auto manifest =
      platform::DecodeOperatorRows(OperatorRow("config", "one"));
  BOOST_TEST(*manifest.manifest == "one");
  const auto other = platform::DecodeOperatorRows(OperatorRow("other", "{}"));
  BOOST_TEST(!other.manifest);
  BOOST_TEST(other.evacuations.empty());
  BOOST_TEST(other.unreadable.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(upstream_entries)

BOOST_AUTO_TEST_CASE(valid_entry_is_decoded) {
  const auto read = platform::DecodeUpstream("i-1", kEntry);
  BOOST_REQUIRE(read);
  BOOST_TEST(read->id == "i-1");
  BOOST_TEST(read->slots == 64);
  BOOST_TEST(read->started_at_ms == 17);
  BOOST_TEST(!read->draining);
  BOOST_TEST(!read->evictable);
  BOOST_TEST((read->cold_for == 0ms));
}

BOOST_AUTO_TEST_CASE(cold_period_is_read_and_limited) {
  const auto cold_for = [](const std::string& value) {
    std::string entry = kEntry;
    const std::string zero = R"("cold_left_ms":0)";
    entry.replace(entry.find(zero), zero.size(), R"("cold_left_ms":)" + value);
    return platform::DecodeUpstream("i-1", entry)->cold_for;
  };
  BOOST_TEST((cold_for("2500") == 2500ms));
  BOOST_TEST((cold_for("-3") == 0ms));
  BOOST_TEST((cold_for(R"("soon")") == 0ms));
  BOOST_TEST((cold_for("1e300") == 600s));
}

BOOST_AUTO_TEST_CASE(malformed_entries_are_skipped) {
  const std::string good = kEntry;
  const auto with = [&good](const std::string& from, const std::string& to) {
    auto out = good;
    out.replace(out.find(from), from.size(), to);
    return out;
  };
  for (const auto& text :
       {std::string("not json"), std::string("{}"),
        with(R"("service":"pool")", R"("service":7)"),
        with(R"("10.0.0.1:80")", R"("somewhere")"),
        with(R"("10.0.0.1:80")", R"("10.0.0.1:99999")"),
        with(R"("slots":64)", R"("slots":0)"),
        with(R"("slots":64)", R"("slots":"64")"),
        with(R"("ready")", R"("sleepy")"), with(R"("seq":4)", R"("seq":null)"),
        with(R"("born":17)", R"("born":1.5)")}) {
    BOOST_TEST_CONTEXT(text) {
      BOOST_TEST(!platform::DecodeUpstream("i-1", text));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(pages)

// Guards against one key of another writer that makes all rows unreadable.
BOOST_AUTO_TEST_CASE(key_that_is_no_text_leaves_other_rows_readable) {
  for (const std::string key :
       {"\xff\xfe", "cut \xe2\x82", "\\ud800", "\\udc00", "\\ud800\\ud800",
        "\\uDBFFx", "\\\\\\uDfff", "\\ud83d\\ude00\\ude00"}) {
    const auto page = platform::DecodePage(
        R"({"ver":9,"rows":[{"key":")" + key +
        R"(","value":"YQ==","ver":8},{"key":"\ud83d\ude00\\ud800",)"
        R"("value":"Yg==","ver":9}]})");
    BOOST_TEST_CONTEXT(key) {
      BOOST_REQUIRE(page);
      BOOST_REQUIRE(page->rows.size() == 2);
      BOOST_TEST(page->rows[1].key == "\xf0\x9f\x98\x80\\ud800");
      BOOST_TEST(page->rows[1].value == "b");
    }
  }
}

BOOST_AUTO_TEST_CASE(response_that_is_no_page_is_unreadable) {
  for (const std::string text :
       {"", "{", "[]", "{}", R"({"ver":-1})", R"({"ver":1,"rows":[)", "\\ud800",
        R"({"ver":1,"rows":[{"key":"\)", R"({"ver":1e400})"}) {
    BOOST_TEST_CONTEXT(text) {
      BOOST_TEST(!platform::DecodePage(text));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(requests)

BOOST_AUTO_TEST_CASE(caller_fields_are_decoded) {
  const auto read = platform::DecodeCallerRequest(CallerFields());
  BOOST_REQUIRE(IsOk(read));
  const auto& request = std::get<platform::caller_request>(read);
  BOOST_TEST(request.id == "9c41");
  BOOST_TEST((request.time_limit == 12000ms));
  BOOST_TEST(request.key == "k1");
  BOOST_REQUIRE(request.prompt_parts.size() == 3);
  BOOST_TEST(request.prompt_parts[1].id == 0x91bd3f06U);
  BOOST_TEST(request.prompt_parts[1].tokens == 410);
  BOOST_TEST(request.prompt_tokens == 1460);
  BOOST_TEST(request.max_answer_tokens == 80);
}

BOOST_AUTO_TEST_CASE(malformed_caller_fields_are_rejected) {
  const std::vector<std::pair<std::string, std::string>> bad{
      {"x-request-id", ""},
      {"x-request-id", "a, b"},
      {"x-request-deadline-ms", "-5"},
      {"x-request-deadline-ms", "5x"},
      {"x-token-usage", "1460"},
      {"x-token-usage", "a,b"},
      {"x-prompt-prefix", "5c1e"},
      {"x-prompt-prefix", "5c1e:-1"}};
  for (const auto& [name, value] : bad) {
    auto fields = CallerFields();
    fields[name] = value;
    BOOST_TEST_CONTEXT(name << "=" << value) {
      BOOST_TEST(!IsOk(platform::DecodeCallerRequest(fields)));
    }
  }
}

BOOST_AUTO_TEST_CASE(upstream_gets_no_key_and_no_forged_router_fields) {
  net::http_request received;
  received.fields = CallerFields();
  for (const auto* name : {"x-tenant", "x-expect-instance",
                           "x-request-priority", "x-expect-version", "x-pin-ms",
                           "x-hold", "x-kv-backup", "kv-from", "kv-fetch"}) {
    received.fields[name] = "forged";
  }
  platform::forwarding_fields added;
  added.time_left = 900ms;
  added.upstream_id = "i-1";
  const auto sent = platform::EncodeForUpstream(received, added);
  for (const auto& [name, value] : sent.fields) {
    BOOST_TEST_CONTEXT(name) {
      BOOST_TEST(value != "forged");
      BOOST_TEST(value != "k1");
    }
  }
  BOOST_TEST(!sent.fields.contains("x-private"));
  BOOST_TEST(!sent.fields.contains("connection"));
  BOOST_TEST(sent.fields.at("x-request-deadline-ms") == "900");
  BOOST_TEST(sent.fields.at("x-expect-instance") == "i-1");
  BOOST_TEST(sent.fields.at("x-prompt-prefix") ==
             CallerFields().at("x-prompt-prefix"));
}

BOOST_AUTO_TEST_CASE(caller_cannot_remove_fields_that_the_upstream_needs) {
  net::http_request received;
  received.fields = CallerFields();
  received.fields["connection"] = "x-request-id, x-prompt-prefix, host";
  const auto sent = platform::EncodeForUpstream(received, {});
  BOOST_TEST(sent.fields.contains("x-request-id"));
  BOOST_TEST(sent.fields.contains("x-prompt-prefix"));
  BOOST_TEST(sent.fields.contains("host"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(answers)

BOOST_AUTO_TEST_CASE(only_statement_or_421_says_that_a_request_did_not_run) {
  BOOST_TEST(platform::DecodeAnswer(503, {{"x-not-executed", "1"}}).not_run);
  BOOST_TEST(platform::DecodeAnswer(421, {}).not_run);
  for (const int status : {200, 400, 408, 429, 500, 502, 503, 504}) {
    BOOST_TEST(!platform::DecodeAnswer(status, {}).not_run);
  }
}

BOOST_AUTO_TEST_CASE(caller_gets_the_signature_but_not_the_upstreams_load) {
  const auto fields = platform::FieldsForCaller({{"x-server-stamp", "s"},
                                                 {"x-server-load", "1,0,8"},
                                                 {"keep-alive", "timeout=5"},
                                                 {"x-request-id", "9c41"}});
  BOOST_TEST(fields.size() == 2);
  BOOST_TEST(fields.contains("x-server-stamp"));
}

BOOST_AUTO_TEST_CASE(leaving_upstream_is_detected_and_not_shown_to_callers) {
  const net::http_fields leaving{{"server-leaving", "1"},
                                 {"connection", "Close"}};
  const auto answer = platform::DecodeAnswer(200, leaving);
  BOOST_TEST(answer.is_leaving);
  BOOST_TEST(answer.closes_connection);
  BOOST_TEST(platform::FieldsForCaller(leaving).empty());
  for (const auto* other : {"0", "", "yes"}) {
    BOOST_TEST(
        !platform::DecodeAnswer(200, {{"server-leaving", other}}).is_leaving);
  }
}

BOOST_AUTO_TEST_CASE(limit_of_an_upstream_is_decoded_and_not_shown_to_callers) {
  const auto decode = [](const std::string& text) {
    return platform::DecodeAnswer(200, {{"server-limit", text}});
  };
  BOOST_TEST(*decode("1.3").requests_per_second == 1.3);
  BOOST_TEST(*decode(" 0 ").requests_per_second == 0);
  BOOST_TEST(*decode("0.001").requests_per_second == 0.001);
  for (const auto* bad : {"", "-1", "nan", "inf", "1e9", "1, 2", "x", "2s"}) {
    BOOST_TEST(!decode(bad).requests_per_second.has_value(), bad);
    BOOST_TEST(!decode(bad).unreadable_limit.empty(), bad);
  }
  const auto none = platform::DecodeAnswer(200, {});
  BOOST_TEST(!none.requests_per_second.has_value());
  BOOST_TEST(none.unreadable_limit.empty());
  BOOST_TEST(platform::FieldsForCaller({{"server-limit", "1"}}).empty());
}

BOOST_AUTO_TEST_CASE(status_421_means_wrong_upstream) {
  BOOST_TEST(platform::DecodeAnswer(421, {}).is_wrong_upstream);
  BOOST_TEST(!platform::DecodeAnswer(503, {}).is_wrong_upstream);
}

BOOST_AUTO_TEST_CASE(retry_after_of_503_is_decoded_as_pause) {
  const auto pause = [](int status, const std::string& text) {
    return platform::DecodeAnswer(status, {{"retry-after", text}}).pause;
  };
  BOOST_TEST((pause(503, "2") == 2000ms));
  BOOST_TEST((pause(503, " 0.0004 ") == 1ms));
  BOOST_TEST((pause(503, "1.5") == 1500ms));
  BOOST_TEST((pause(503, "99999999999999999999") == 24h));
  for (const auto* unreadable : {"", "-1", "soon", "1 2", "nan", "inf", "1e9",
                                 "Fri, 04 Dec 2026 10:00:00 GMT"}) {
    BOOST_TEST_CONTEXT(unreadable) {
      BOOST_TEST(!pause(503, unreadable));
    }
  }
  BOOST_TEST(!pause(429, "2"));
  BOOST_TEST(!pause(200, "2"));
}

BOOST_AUTO_TEST_CASE(retry_after_is_encoded_in_seconds_with_fractions) {
  BOOST_TEST(platform::EncodeRetryAfter(1050ms) == "1.050");
  BOOST_TEST(platform::EncodeRetryAfter(5ms) == "0.005");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(settings)

BOOST_AUTO_TEST_CASE(every_error_is_listed_with_its_path) {
  const auto read = platform::ReadSettings(R"({"ip":"10.0.0.1"})");
  const auto* errors = std::get_if<std::vector<mimosadeck::error>>(&read);
  BOOST_REQUIRE(errors);
  BOOST_TEST(errors->size() >= 4);
  for (const auto& each : *errors) {
    BOOST_TEST((each.code == result_code::bad_setting));
    BOOST_TEST(each.message.find(": must be ") != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(settings_are_read_and_unknown_ones_ignored) {
  const auto read = platform::ReadSettings(R"({"node_name":"e-1",
    "ip":"10.0.0.1","zone":"a","later":{"x":1},
    "listen":{"front":"10.0.0.1:1","ready":"10.0.0.1:2",
              "control":"10.0.0.1:3","directory":"10.0.0.1:4"},
    "port_range":[7340,7355],"seeds":["10.0.0.2:3"],
    "bounds":{"grace_s":8,"retry_budget_ratio":0.2,"lease_ms":3000,
              "config_apply_ms":4000,"drain_ms":3000,
              "cold_overrun":1.25,"cold_slack":3},
    "provider":{"address":"10.0.0.9:80"},
    "cloud_api":{"address":"10.0.0.8:80","duties":["usage"]}})");
  const auto* machine = std::get_if<platform::machine_settings>(&read);
  BOOST_REQUIRE(machine);
  BOOST_TEST(machine->peer_port == 7340);
  BOOST_TEST((machine->bounds.stop_grace == 8s));
  BOOST_TEST((machine->bounds.apply_time == 3s));
  BOOST_TEST(machine->bounds.cold_rate_factor == 1.25);
  BOOST_TEST(machine->bounds.cold_extra_requests == 3);
  BOOST_TEST(machine->duties.size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(directory)

BOOST_AUTO_TEST_CASE(directory_query_is_distinguished_from_other_requests) {
  net::http_request request;
  request.target = "/v1/resolve?name=h.example&region=r&zone=a";
  const auto query = platform::DecodeDirectoryQuery(request);
  BOOST_REQUIRE(query);
  BOOST_TEST(query->host == "h.example");
  BOOST_TEST(query->data_centre == "a");
  request.target = "/v1/other?zone=a";
  BOOST_TEST(!platform::DecodeDirectoryQuery(request));
  request.target = "bad target";
  BOOST_TEST(!platform::DecodeDirectoryQuery(request));
}

BOOST_AUTO_TEST_CASE(answer_without_addresses_is_a_failure) {
  BOOST_TEST(platform::EncodeDirectoryAnswer({}, 1s).status == 503);
  const auto answer = platform::EncodeDirectoryAnswer({"10.0.0.1:1"}, 1500ms);
  BOOST_TEST(answer.status == 200);
  BOOST_TEST(answer.body.find("10.0.0.1:1") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
