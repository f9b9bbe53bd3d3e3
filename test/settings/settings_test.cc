#define BOOST_TEST_MODULE settings
#include <boost/test/included/unit_test.hpp>

#include <random>

#include "settings/settings.h"

namespace {

namespace config = mimosadeck::config;
namespace settings = mimosadeck::settings;
using mimosadeck::error;

struct tree_fixture {
  config::document document;

  void Set(const std::string& path, const std::string& value) {
    document.values[path] = value;
  }

  static std::size_t Errors(const config::document& source,
                            const std::string& path,
                            std::optional<std::string> value) {
    return settings::CheckChange(source, {path, std::move(value)}).size();
  }
};

/** @brief Reference implementation: walks from the root and overrides the value
 * at each node. */
std::string ReferenceResolve(const config::document& document,
                             const std::string& node,
                             const std::string& key,
                             const std::string& default_value) {
  std::string value = default_value;
  for (std::size_t end = 0; end != std::string::npos;) {
    end = node.find('/', end + 1);
    const auto found =
        document.values.find("tree/" + node.substr(0, end) + ":" + key);
    if (found != document.values.end()) {
      value = found->second;
    }
  }
  return value;
}

BOOST_FIXTURE_TEST_SUITE(tree, tree_fixture)

BOOST_AUTO_TEST_CASE(random_trees_resolve_like_the_reference) {
  const std::vector<std::string> nodes{"firm", "firm/a", "firm/a/b",
                                       "firm/a/b/c", "firm/ab"};
  std::mt19937 random(2);
  for (int round = 0; round < 300; ++round) {
    config::document fresh;
    for (const auto& node : nodes) {
      if (random() % 2 == 0) {
        fresh.values[settings::SettingPath(node, "classes.x.tier")] =
            std::to_string(random() % 5);
      }
    }
    for (const auto& node : nodes) {
      BOOST_TEST(settings::Resolve(fresh, node, "classes.x.tier") ==
                 ReferenceResolve(fresh, node, "classes.x.tier", "2"));
    }
  }
}

struct change_case {
  std::string path;
  std::optional<std::string> value;
  bool is_valid;
};

BOOST_AUTO_TEST_CASE(changes_checked_by_table) {
  const std::string hash(64, 'a');
  Set("keys/" + hash, R"({"account":"x","withdrawn":true})");
  const std::vector<change_case> table{
      {"tree/firm:classes.lookup.tier", "0", true},
      {"tree/firm:classes.lookup.tier", "5", false},
      {"tree/firm:classes.lookup.tier", "\"0\"", false},
      {"tree/firm:classes.lookup.tier", "0.5", false},
      {"tree/firm:classes.lookup.colour", "1", false},
      {"tree/firm/Parish:classes.lookup.tier", "1", false},
      {"tree/firm/parish:account.weight", "2.5", true},
      {"tree/firm/parish:account.weight", "0", false},
      {"tree/firm/parish:account.classes", R"(["a"])", true},
      {"tree/firm/parish:account.classes", R"([1])", false},
      {"tree/firm:classes.lookup.tier", std::nullopt, true},
      {"accounts/x", R"({"node":"firm"})", true},
      {"accounts/x", R"({"node":""})", false},
      {"accounts/X", R"({"node":"firm"})", false},
      {"accounts/x", "{", false},
      {"keys/short", R"({"account":"x","withdrawn":false})", false},
      {"keys/" + std::string(64, 'b'), R"({"account":"x","withdrawn":false})",
       true},
      {"keys/" + hash, R"({"account":"x","withdrawn":false})", false},
      {"keys/" + hash, std::nullopt, false},
      {"keys/" + hash, R"({"account":"y","withdrawn":true})", false},
      {"upstreams/dc/m", R"({"standard":2})", true},
      {"upstreams/dc/m", R"({"standard":-2})", false},
      {"upstreams/dc", R"({"standard":2})", false},
      {"models/m", "{}", true},
      {"models/m", "1", false},
      {"elsewhere", "1", false},
  };
  for (const auto& row : table) {
    BOOST_TEST((Errors(document, row.path, row.value) == 0) == row.is_valid,
               row.path << " = " << row.value.value_or("(removed)"));
  }
}

BOOST_AUTO_TEST_CASE(file_with_many_errors_reports_each_and_applies_nothing) {
  const auto outcome = settings::ParseSettings("f.jsonc", R"({
    // a comment
    "daemon": {"id": 7, "colour": "red"},
    "fleet": {"tree": {"firm": {"settings": {"classes.x.tier": 9}}}},
    "other": 1
  })");
  const auto* errors = std::get_if<std::vector<error>>(&outcome);
  BOOST_REQUIRE(errors);
  BOOST_TEST(errors->size() >= 9);
  const auto mentions = [&](const std::string& text) {
    return std::any_of(errors->begin(), errors->end(), [&](const auto& item) {
      return item.message.find(text) != std::string::npos;
    });
  };
  BOOST_TEST(mentions("f.jsonc: daemon.id: found 7"));
  BOOST_TEST(mentions("daemon.colour"));
  BOOST_TEST(mentions("daemon.peer_address: found nothing"));
  BOOST_TEST(mentions("classes.x.tier"));
  BOOST_TEST(mentions("other"));
}

BOOST_AUTO_TEST_CASE(both_examples_are_valid) {
  const std::string source = std::getenv("MIMOSADECK_SOURCE");
  for (const std::string name : {"tamxaritu", "sinterworks"}) {
    const auto outcome =
        settings::LoadSettings(source + "/examples/" + name + ".jsonc");
    BOOST_TEST(std::holds_alternative<settings::settings_file>(outcome), name);
  }
}

BOOST_AUTO_TEST_CASE(queue_wait_ends_before_target_except_for_tier_zero) {
  settings::class_settings lookup;
  lookup.tier = 1;
  lookup.first_token = std::chrono::milliseconds(820);
  lookup.token_gap = std::chrono::milliseconds(47);
  lookup.max_wait = std::chrono::milliseconds(1500);
  BOOST_TEST(settings::MaxQueueWait(lookup).count() == 726);
  lookup.tier = 0;
  BOOST_TEST(settings::MaxQueueWait(lookup).count() == 1500);
  lookup.tier = 1;
  lookup.max_wait = std::chrono::milliseconds(300);
  BOOST_TEST(settings::MaxQueueWait(lookup).count() == 300);
}

BOOST_AUTO_TEST_CASE(account_reads_limits_of_its_node) {
  Set("accounts/x", R"({"node":"firm/parish"})");
  Set("tree/firm:limits.requests_per_second", "10");
  Set("tree/firm/parish:account.weight", "3");
  const auto account = settings::FindAccount(document, "x");
  BOOST_REQUIRE(account);
  BOOST_TEST(account->requests_per_second == 10);
  BOOST_TEST(account->weight == 3);
  BOOST_TEST(!settings::FindAccount(document, "y").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
