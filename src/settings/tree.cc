#include "settings/tree.h"

#include <algorithm>
#include <cctype>
#include <sstream>

#include <boost/json.hpp>

namespace mimosadeck::settings {
namespace internal {
namespace {

namespace json = boost::json;

constexpr std::string_view kTree = "tree/";
constexpr std::string_view kAccounts = "accounts/";
constexpr std::string_view kKeys = "keys/";
constexpr std::string_view kModels = "models/";
constexpr std::string_view kServices = "services/";
constexpr std::string_view kUpstreams = "upstreams/";
constexpr std::string_view kClassPrefix = "classes.";
constexpr std::size_t kHashDigits = 64;
constexpr double kMaxUpstreams = 10000;

const std::vector<setting_spec> kSettings{
    {"classes.*.tier", value_kind::integer, 0, 4, "2", "tier",
     "Tier of the class; 0 is served first."},
    {"classes.*.first_token_ms", value_kind::integer, 1, 3600000, "820", "ms",
     "Target for the first token."},
    {"classes.*.token_gap_ms", value_kind::integer, 1, 60000, "47", "ms",
     "Target between two tokens."},
    {"classes.*.max_wait_ms", value_kind::integer, 1, 3600000, "5000", "ms",
     "Longest wait for an upstream before an honest refusal."},
    {"classes.*.expected_tokens", value_kind::integer, 1, 1000000, "200",
     "tokens", "Length assumed for an answer until it is known."},
    {"account.classes", value_kind::text_list, 0, 64, "[\"lookup\"]", "",
     "Classes that the account may ask for."},
    {"account.default_class", value_kind::text, 1, 64, "\"lookup\"", "",
     "Class of a request that names none."},
    {"account.weight", value_kind::number, 0.01, 1000, "1", "",
     "Share of the account among the accounts of its class."},
    {"limits.requests_per_second", value_kind::number, 0, 1000000, "0",
     "requests/s", "Requests of the account; 0 sets no limit."},
    {"limits.tokens_per_second", value_kind::number, 0, 100000000, "0",
     "tokens/s", "Tokens of the account; 0 sets no limit."},
    {"limits.concurrency", value_kind::integer, 0, 1000000, "0", "requests",
     "Requests of the account at a time at one entry; 0 sets no limit."},
};

bool IsName(std::string_view text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::islower(c) || std::isdigit(c) || c == '-' || c == '_' ||
                  c == '.';
         });
}

bool IsNodePath(std::string_view node) {
  while (true) {
    const auto slash = node.find('/');
    if (!IsName(node.substr(0, slash))) {
      return false;
    }
    if (slash == std::string_view::npos) {
      return true;
    }
    node.remove_prefix(slash + 1);
  }
}

bool KeyMatches(std::string_view pattern, std::string_view key) {
  const auto star = pattern.find('*');
  if (star == std::string_view::npos) {
    return pattern == key;
  }
  const auto head = pattern.substr(0, star);
  const auto tail = pattern.substr(star + 1);
  if (key.size() <= head.size() + tail.size() || !key.starts_with(head) ||
      !key.ends_with(tail)) {
    return false;
  }
  const auto name =
      key.substr(head.size(), key.size() - head.size() - tail.size());
  return IsName(name) && name.find('.') == std::string_view::npos;
}

error BadSetting(std::string_view path,
                 std::string_view found,
                 std::string_view allowed) {
  std::ostringstream text;
  text << path << ": found " << found << ", allowed: " << allowed;
  return {result_code::bad_setting, text.str()};
}

json::value ParseOrNull(const std::string* text) {
  if (!text) {
    return nullptr;
  }
  boost::system::error_code failure;
  json::value value = json::parse(*text, failure);
  return failure ? json::value{} : value;
}

std::vector<std::string> ParseTextList(const json::value& value) {
  std::vector<std::string> out;
  if (const auto* list = value.if_array()) {
    for (const auto& item : *list) {
      if (const auto* text = item.if_string()) {
        out.emplace_back(*text);
      }
    }
  }
  return out;
}

double ResolveNumber(const config::document& source,
                     std::string_view node,
                     std::string_view key) {
  return json::parse(Resolve(source, node, key)).to_number<double>();
}

std::chrono::milliseconds ResolveMillis(const config::document& source,
                                        std::string_view node,
                                        const std::string& key) {
  return std::chrono::milliseconds(
      static_cast<std::int64_t>(ResolveNumber(source, node, key)));
}

std::string DescribeAllowed(const setting_spec& spec) {
  std::ostringstream out;
  switch (spec.kind) {
    case value_kind::integer:
      out << "a whole number from " << spec.min_value << " to "
          << spec.max_value;
      break;
    case value_kind::number:
      out << "a number from " << spec.min_value << " to " << spec.max_value;
      break;
    case value_kind::boolean:
      out << "true or false";
      break;
    case value_kind::text:
      out << "a text of 1 to " << spec.max_value << " bytes";
      break;
    case value_kind::text_list:
      out << "a list of at most " << spec.max_value << " texts";
      break;
  }
  if (!spec.unit.empty()) {
    out << " (" << spec.unit << ")";
  }
  return out.str();
}

bool InRange(const setting_spec& spec, double value) {
  return value >= spec.min_value && value <= spec.max_value;
}

bool MatchesSpec(const setting_spec& spec, const json::value& value) {
  switch (spec.kind) {
    case value_kind::integer:
      return (value.is_int64() || value.is_uint64()) &&
             InRange(spec, value.to_number<double>());
    case value_kind::number:
      return value.is_number() && InRange(spec, value.to_number<double>());
    case value_kind::boolean:
      return value.is_bool();
    case value_kind::text:
      return value.is_string() &&
             InRange(spec, static_cast<double>(value.as_string().size()));
    case value_kind::text_list:
      return value.is_array() && value.as_array().size() <= spec.max_value &&
             ParseTextList(value).size() == value.as_array().size();
  }
  return false;
}

std::vector<error> CheckTree(const config::change& candidate,
                             const json::value& value) {
  const std::string_view rest =
      std::string_view(candidate.path).substr(kTree.size());
  const auto colon = rest.find(':');
  if (colon == std::string_view::npos || !IsNodePath(rest.substr(0, colon))) {
    return {BadSetting(candidate.path, "this path", "tree/NODE/NODE:KEY")};
  }
  const auto* spec = FindSpec(rest.substr(colon + 1));
  if (!spec) {
    return {BadSetting(candidate.path, "an unknown setting",
                       "a key of `mimosadeckctl settings keys`")};
  }
  if (candidate.value && !MatchesSpec(*spec, value)) {
    return {
        BadSetting(candidate.path, *candidate.value, DescribeAllowed(*spec))};
  }
  return {};
}

std::vector<error> CheckAccount(const config::change& candidate,
                                const json::value& value) {
  const std::string_view name =
      std::string_view(candidate.path).substr(kAccounts.size());
  if (!IsName(name)) {
    return {BadSetting(candidate.path, "this name",
                       "lower-case letters, digits, '-', '_' and '.'")};
  }
  if (!candidate.value) {
    return {};
  }
  const auto* object = value.if_object();
  const auto* node = object ? object->if_contains("node") : nullptr;
  if (!node || !node->is_string() || !IsNodePath(node->as_string())) {
    return {BadSetting(candidate.path, *candidate.value,
                       "{\"node\": \"firm/...\"}")};
  }
  return {};
}

std::vector<error> CheckKey(const config::document& source,
                            const config::change& candidate,
                            const json::value& value) {
  const std::string_view hash =
      std::string_view(candidate.path).substr(kKeys.size());
  if (hash.size() != kHashDigits) {
    return {
        BadSetting(candidate.path, "this path", "keys/ and a SHA-256 in hex")};
  }
  const auto existing = FindKey(source, hash);
  if (!candidate.value) {
    return {
        BadSetting(candidate.path, "a removal", "withdrawn: true, for good")};
  }
  const auto* object = value.if_object();
  const auto* account = object ? object->if_contains("account") : nullptr;
  const auto* withdrawn = object ? object->if_contains("withdrawn") : nullptr;
  if (!account || !account->is_string() || !withdrawn ||
      !withdrawn->is_bool()) {
    return {BadSetting(candidate.path, *candidate.value,
                       "{\"account\": \"...\", \"withdrawn\": true or false}")};
  }
  if (existing && existing->withdrawn && !withdrawn->as_bool()) {
    return {BadSetting(candidate.path, "a withdrawn key brought back",
                       "a new key instead")};
  }
  if (existing && existing->account != account->as_string()) {
    return {BadSetting(candidate.path, "another client account",
                       "the account the key was issued for")};
  }
  return {};
}

std::vector<error> CheckUpstreams(const config::change& candidate,
                                  const json::value& value) {
  const std::string_view rest =
      std::string_view(candidate.path).substr(kUpstreams.size());
  const auto slash = rest.find('/');
  if (slash == std::string_view::npos || !IsName(rest.substr(0, slash)) ||
      !IsName(rest.substr(slash + 1))) {
    return {
        BadSetting(candidate.path, "this path", "upstreams/DATA-CENTRE/POOL")};
  }
  if (!candidate.value) {
    return {};
  }
  constexpr std::string_view kAllowed =
      "{\"standard\": 0 to 10000, \"cheaper\": 0 to 10000}";
  const auto* object = value.if_object();
  if (!object) {
    return {BadSetting(candidate.path, *candidate.value, kAllowed)};
  }
  for (const std::string_view name : {"standard", "cheaper"}) {
    const auto* count = object->if_contains(name);
    if (count && !(count->is_int64() && count->as_int64() >= 0 &&
                   count->to_number<double>() <= kMaxUpstreams)) {
      return {BadSetting(candidate.path, *candidate.value, kAllowed)};
    }
  }
  return {};
}

std::vector<error> CheckNamed(const config::change& candidate,
                              std::string_view prefix,
                              const json::value& value) {
  if (!IsName(std::string_view(candidate.path).substr(prefix.size()))) {
    return {BadSetting(candidate.path, "this name",
                       "lower-case letters, digits, '-', '_' and '.'")};
  }
  if (candidate.value && !value.is_object()) {
    return {BadSetting(candidate.path, *candidate.value, "an object")};
  }
  return {};
}

std::uint32_t CountOrZero(const json::object& object, std::string_view name) {
  const auto* count = object.if_contains(name);
  return count ? count->to_number<std::uint32_t>() : 0;
}

}  // namespace
}  // namespace internal

const std::vector<setting_spec>& AllSettings() {
  return internal::kSettings;
}

const setting_spec* FindSpec(std::string_view key) {
  const auto found = std::find_if(
      internal::kSettings.begin(), internal::kSettings.end(),
      [key](const auto& spec) { return internal::KeyMatches(spec.key, key); });
  return found == internal::kSettings.end() ? nullptr : &*found;
}

std::string SettingPath(std::string_view node, std::string_view key) {
  std::string path(internal::kTree);
  path.append(node).append(":").append(key);
  return path;
}

std::string Resolve(const config::document& source,
                    std::string_view node,
                    std::string_view key) {
  while (!node.empty()) {
    if (const auto* text = config::FindValue(source, SettingPath(node, key))) {
      return *text;
    }
    const auto slash = node.rfind('/');
    node = slash == std::string_view::npos ? std::string_view{}
                                           : node.substr(0, slash);
  }
  const auto* spec = FindSpec(key);
  return spec ? std::string(spec->default_value) : std::string{};
}

std::string KeyPath(std::string_view key_hash) {
  return std::string(internal::kKeys).append(key_hash);
}

std::optional<key_entry> FindKey(const config::document& source,
                                 std::string_view key_hash) {
  const auto value =
      internal::ParseOrNull(config::FindValue(source, KeyPath(key_hash)));
  if (!value.is_object()) {
    return std::nullopt;
  }
  return key_entry{boost::json::value_to<std::string>(value.at("account")),
                   value.at("withdrawn").as_bool()};
}

std::optional<account_settings> FindAccount(const config::document& source,
                                            std::string_view account) {
  const auto value = internal::ParseOrNull(config::FindValue(
      source, std::string(internal::kAccounts).append(account)));
  if (!value.is_object()) {
    return std::nullopt;
  }
  account_settings out;
  out.name = account;
  out.node = boost::json::value_to<std::string>(value.at("node"));
  out.classes = internal::ParseTextList(
      boost::json::parse(Resolve(source, out.node, "account.classes")));
  out.default_class = boost::json::value_to<std::string>(
      boost::json::parse(Resolve(source, out.node, "account.default_class")));
  out.weight = internal::ResolveNumber(source, out.node, "account.weight");
  out.requests_per_second =
      internal::ResolveNumber(source, out.node, "limits.requests_per_second");
  out.tokens_per_second =
      internal::ResolveNumber(source, out.node, "limits.tokens_per_second");
  out.concurrency = static_cast<std::uint32_t>(
      internal::ResolveNumber(source, out.node, "limits.concurrency"));
  return out;
}

class_settings FindClass(const config::document& source,
                         const account_settings& account,
                         std::string_view class_name) {
  const std::string prefix =
      std::string(internal::kClassPrefix).append(class_name);
  class_settings out;
  out.name = class_name;
  out.tier = static_cast<int>(
      internal::ResolveNumber(source, account.node, prefix + ".tier"));
  out.first_token =
      internal::ResolveMillis(source, account.node, prefix + ".first_token_ms");
  out.token_gap =
      internal::ResolveMillis(source, account.node, prefix + ".token_gap_ms");
  out.max_wait =
      internal::ResolveMillis(source, account.node, prefix + ".max_wait_ms");
  out.expected_tokens = static_cast<std::uint32_t>(internal::ResolveNumber(
      source, account.node, prefix + ".expected_tokens"));
  return out;
}

std::chrono::milliseconds MaxQueueWait(const class_settings& service_class) {
  if (service_class.tier == 0) {
    return service_class.max_wait;
  }
  const auto first_token_allowance = 2 * service_class.token_gap;
  const auto wait_within_target =
      service_class.first_token > 2 * first_token_allowance
          ? service_class.first_token - first_token_allowance
          : service_class.first_token / 2;
  return std::min(service_class.max_wait, wait_within_target);
}

std::vector<std::string> ListModels(const config::document& source) {
  std::vector<std::string> out;
  for (auto it = source.values.lower_bound(internal::kModels);
       it != source.values.end() && it->first.starts_with(internal::kModels);
       ++it) {
    out.push_back(it->first.substr(internal::kModels.size()));
  }
  return out;
}

std::optional<service_settings> FindService(const config::document& source,
                                            std::string_view name) {
  const auto value = internal::ParseOrNull(
      config::FindValue(source, std::string(internal::kServices).append(name)));
  const auto* object = value.if_object();
  if (!object) {
    return std::nullopt;
  }
  service_settings out;
  out.name = name;
  const auto* open = object->if_contains("open_to_all");
  out.open_to_all = open && open->is_bool() && open->as_bool();
  if (const auto* methods = object->if_contains("idempotent_methods")) {
    out.idempotent_methods = internal::ParseTextList(*methods);
  }
  return out;
}

std::vector<upstream_target> ListUpstreamTargets(
    const config::document& source) {
  std::vector<upstream_target> out;
  for (auto it = source.values.lower_bound(internal::kUpstreams);
       it != source.values.end() && it->first.starts_with(internal::kUpstreams);
       ++it) {
    const std::string rest = it->first.substr(internal::kUpstreams.size());
    const auto slash = rest.find('/');
    const auto value = internal::ParseOrNull(&it->second);
    if (slash == std::string::npos || !value.is_object()) {
      continue;
    }
    out.push_back({rest.substr(0, slash), rest.substr(slash + 1),
                   internal::CountOrZero(value.as_object(), "standard"),
                   internal::CountOrZero(value.as_object(), "cheaper")});
  }
  return out;
}

std::vector<error> CheckChange(const config::document& source,
                               const config::change& candidate) {
  boost::json::value value;
  if (candidate.value) {
    boost::system::error_code failure;
    value = boost::json::parse(*candidate.value, failure);
    if (failure) {
      return {internal::BadSetting(candidate.path, *candidate.value, "JSON")};
    }
  }
  const std::string_view path = candidate.path;
  if (path.starts_with(internal::kTree)) {
    return internal::CheckTree(candidate, value);
  }
  if (path.starts_with(internal::kAccounts)) {
    return internal::CheckAccount(candidate, value);
  }
  if (path.starts_with(internal::kKeys)) {
    return internal::CheckKey(source, candidate, value);
  }
  if (path.starts_with(internal::kUpstreams)) {
    return internal::CheckUpstreams(candidate, value);
  }
  for (const auto prefix : {internal::kModels, internal::kServices}) {
    if (path.starts_with(prefix)) {
      return internal::CheckNamed(candidate, prefix, value);
    }
  }
  return {internal::BadSetting(candidate.path, "an unknown path",
                               "tree/, accounts/, keys/, models/, services/ or "
                               "upstreams/")};
}

}  // namespace mimosadeck::settings
