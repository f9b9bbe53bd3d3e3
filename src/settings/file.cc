#include "settings/file.h"

#include <fstream>
#include <functional>
#include <iterator>
#include <limits>
#include <sstream>

#include <boost/json.hpp>

#include "settings/tree.h"

namespace mimosadeck::settings {
namespace internal {
namespace {

namespace json = boost::json;

constexpr double kMinSecretBytes = 16;
constexpr double kMaxTextBytes = 4096;
constexpr double kMaxMillis = 24.0 * 3600 * 1000;
constexpr double kMaxThreads = 64;
constexpr double kMaxBodyBytes = 64.0 * 1024 * 1024;
constexpr double kMinReceiveBytes = 1024 * 1024;
constexpr double kMaxReceiveBytes = 1024.0 * 1024 * 1024 * 1024;

/** @brief Collects the errors of one file. */
struct error_collector {
  std::string file;
  std::vector<error> list;

  void Add(std::string_view path,
           std::string_view found,
           std::string_view allowed) {
    std::ostringstream text;
    text << file << ": " << path << ": found " << found
         << ", allowed: " << allowed;
    list.push_back({result_code::bad_setting, text.str()});
  }
};

/** @brief Specification of one member of the `daemon` object. */
struct member_spec {
  std::string_view name;
  bool required{};
  double min_value{};
  double max_value{};
  std::function<void(daemon_settings&, const json::value&)> assign;
  value_kind kind{value_kind::text};
};

member_spec TextMember(std::string_view name,
                       std::string daemon_settings::*field,
                       bool required,
                       double min_value = 1) {
  return {name,
          required,
          min_value,
          kMaxTextBytes,
          [field](daemon_settings& out, const json::value& value) {
            out.*field = json::value_to<std::string>(value);
          },
          value_kind::text};
}

member_spec MillisMember(std::string_view name,
                         std::chrono::milliseconds daemon_settings::*field) {
  return {name,
          false,
          1,
          kMaxMillis,
          [field](daemon_settings& out, const json::value& value) {
            out.*field = std::chrono::milliseconds(value.as_int64());
          },
          value_kind::integer};
}

const std::vector<member_spec>& DaemonMembers() {
  static const std::vector<member_spec> members{
      TextMember("id", &daemon_settings::id, true),
      TextMember("data_centre", &daemon_settings::data_centre, true),
      TextMember("caller_address", &daemon_settings::caller_address, true),
      TextMember("operator_address", &daemon_settings::operator_address, true),
      TextMember("peer_address", &daemon_settings::peer_address, true),
      TextMember("platform_address", &daemon_settings::platform_address, true),
      TextMember("fleet_secret", &daemon_settings::fleet_secret, true,
                 kMinSecretBytes),
      TextMember("operator_key_sha256", &daemon_settings::operator_key_hash,
                 true, 64),
      TextMember("trace_file", &daemon_settings::trace_file, false),
      MillisMember("caller_timeout_ms", &daemon_settings::caller_timeout),
      MillisMember("silence_limit_ms", &daemon_settings::silence_limit),
      MillisMember("entries_time_to_live_ms",
                   &daemon_settings::entries_time_to_live),
      MillisMember("heartbeat_interval_ms",
                   &daemon_settings::heartbeat_interval),
      MillisMember("poll_interval_ms", &daemon_settings::poll_interval),
      MillisMember("max_config_age_ms", &daemon_settings::max_config_age),
      MillisMember("lease_term_ms", &daemon_settings::lease_term),
      MillisMember("usage_flush_interval_ms",
                   &daemon_settings::usage_flush_interval),
      MillisMember("billing_window_ms", &daemon_settings::billing_window),
      MillisMember("load_poll_interval_ms",
                   &daemon_settings::load_poll_interval),
      {"traffic_threads", false, 1, kMaxThreads,
       [](daemon_settings& out, const json::value& value) {
         out.traffic_threads = value.to_number<std::uint32_t>();
       },
       value_kind::integer},
      {"body_limit_bytes", false, 1, kMaxBodyBytes,
       [](daemon_settings& out, const json::value& value) {
         out.body_limit_bytes = value.to_number<std::uint64_t>();
       },
       value_kind::integer},
      {"receive_memory_bytes", false, kMinReceiveBytes, kMaxReceiveBytes,
       [](daemon_settings& out, const json::value& value) {
         out.receive_memory_bytes = value.to_number<std::uint64_t>();
       },
       value_kind::integer},
      {"targets_check_fencing", false, 0, 1,
       [](daemon_settings& out, const json::value& value) {
         out.targets_check_fencing = value.as_bool();
       },
       value_kind::boolean},
  };
  return members;
}

std::string DescribeAllowed(const member_spec& spec) {
  std::ostringstream out;
  switch (spec.kind) {
    case value_kind::text:
      out << "a text of " << spec.min_value << " to " << spec.max_value
          << " bytes";
      break;
    case value_kind::boolean:
      out << "true or false";
      break;
    default:
      out << "a whole number from " << spec.min_value << " to "
          << spec.max_value;
  }
  return out.str();
}

bool MatchesSpec(const member_spec& spec, const json::value& value) {
  switch (spec.kind) {
    case value_kind::text: {
      const auto* text = value.if_string();
      return text && static_cast<double>(text->size()) >= spec.min_value &&
             static_cast<double>(text->size()) <= spec.max_value;
    }
    case value_kind::boolean:
      return value.is_bool();
    default:
      return value.is_int64() && value.to_number<double>() >= spec.min_value &&
             value.to_number<double>() <= spec.max_value;
  }
}

void ReadDaemon(error_collector& errors,
                const json::value& value,
                daemon_settings& out) {
  const auto* object = value.if_object();
  if (!object) {
    errors.Add("daemon", json::serialize(value), "an object");
    return;
  }
  for (const auto& member : *object) {
    const std::string_view name = member.key();
    const auto& specs = DaemonMembers();
    const bool is_known =
        std::any_of(specs.begin(), specs.end(),
                    [&](const member_spec& spec) { return spec.name == name; });
    if (!is_known) {
      errors.Add("daemon." + std::string(name), "an unknown member",
                 "a member of docs/SETTINGS.md");
    }
  }
  for (const auto& spec : DaemonMembers()) {
    const std::string path = "daemon." + std::string(spec.name);
    const auto* member = object->if_contains(spec.name);
    if (!member) {
      if (spec.required) {
        errors.Add(path, "nothing", DescribeAllowed(spec));
      }
      continue;
    }
    if (!MatchesSpec(spec, *member)) {
      errors.Add(path, json::serialize(*member), DescribeAllowed(spec));
      continue;
    }
    spec.assign(out, *member);
  }
}

void FlattenNode(error_collector& errors,
                 const std::string& node,
                 const json::value& value,
                 std::vector<config::change>& out) {
  const auto* object = value.if_object();
  if (!object) {
    errors.Add("fleet.tree." + node, json::serialize(value), "an object");
    return;
  }
  for (const auto& [name, member] : *object) {
    if (name == "settings" && member.is_object()) {
      for (const auto& [key, setting] : member.as_object()) {
        out.push_back({SettingPath(node, key), json::serialize(setting)});
      }
    } else if (name == "children" && member.is_object()) {
      for (const auto& [child, content] : member.as_object()) {
        FlattenNode(errors, node + "/" + std::string(child), content, out);
      }
    } else {
      errors.Add("fleet.tree." + node + "." + std::string(name),
                 json::serialize(member), "`settings` and `children` objects");
    }
  }
}

void FlattenMap(error_collector& errors,
                std::string_view section,
                const json::value& value,
                std::vector<config::change>& out) {
  const auto* object = value.if_object();
  if (!object) {
    errors.Add("fleet." + std::string(section), json::serialize(value),
               "an object");
    return;
  }
  for (const auto& [name, member] : *object) {
    out.push_back({std::string(section) + "/" + std::string(name),
                   json::serialize(member)});
  }
}

void ReadFleet(error_collector& errors,
               const json::value& value,
               std::vector<config::change>& out) {
  const auto* object = value.if_object();
  if (!object) {
    errors.Add("fleet", json::serialize(value), "an object");
    return;
  }
  for (const auto& [name, member] : *object) {
    if (name == "tree" && member.is_object()) {
      for (const auto& [node, content] : member.as_object()) {
        FlattenNode(errors, node, content, out);
      }
    } else if (name == "accounts" || name == "keys" || name == "models" ||
               name == "services" || name == "upstreams") {
      FlattenMap(errors, name, member, out);
    } else {
      errors.Add("fleet." + std::string(name), json::serialize(member),
                 "tree, accounts, keys, models, services, upstreams");
    }
  }
  const config::document empty;
  for (const auto& candidate : out) {
    for (const auto& found : CheckChange(empty, candidate)) {
      errors.list.push_back(
          {found.code, errors.file + ": fleet: " + found.message});
    }
  }
}

}  // namespace
}  // namespace internal

std::variant<settings_file, std::vector<error>> ParseSettings(
    std::string_view name,
    std::string_view text) {
  internal::error_collector errors{std::string(name), {}};
  boost::json::parse_options options;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  boost::system::error_code failure;
  const auto root = boost::json::parse(text, failure, {}, options);
  if (failure || !root.is_object()) {
    errors.Add("$", failure ? failure.message() : "no object",
               "a JSON object, comments allowed");
    return errors.list;
  }
  settings_file out;
  for (const auto& [member, value] : root.as_object()) {
    if (member == "daemon") {
      out.has_daemon = true;
      internal::ReadDaemon(errors, value, out.daemon);
    } else if (member == "fleet") {
      internal::ReadFleet(errors, value, out.fleet);
    } else {
      errors.Add(std::string(member), boost::json::serialize(value),
                 "`daemon` and `fleet`");
    }
  }
  if (!errors.list.empty()) {
    return errors.list;
  }
  return out;
}

std::variant<settings_file, std::vector<error>> LoadSettings(
    const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return std::vector<error>{
        {result_code::file_unreadable, path + ": cannot be read"}};
  }
  const std::string text{std::istreambuf_iterator<char>(file),
                         std::istreambuf_iterator<char>()};
  return ParseSettings(path, text);
}

}  // namespace mimosadeck::settings
