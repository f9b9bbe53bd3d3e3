#ifndef SETTINGS_TREE_H_
#define SETTINGS_TREE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "config/config.h"

namespace mimosadeck::settings {

/** @brief Type of the value of a setting. */
enum class value_kind { integer, number, boolean, text, text_list };

/**
 * @brief Specification of a setting of the tree's nodes.
 *
 * In a key such as `classes.*.tier`, `*` matches the name of any class. The
 * range limits numbers, the bytes of a text and the items of a list.
 */
struct setting_spec {
  std::string_view key;
  value_kind kind{value_kind::integer};
  double min_value{};
  double max_value{};
  std::string_view default_value;
  std::string_view unit;
  std::string_view help;
};

/** @brief Returns the specifications of all settings. */
[[nodiscard]] const std::vector<setting_spec>& AllSettings();

/**
 * @brief Finds the specification of a key such as `classes.lookup.tier`.
 * @return The specification, or nullptr for an unknown key.
 */
[[nodiscard]] const setting_spec* FindSpec(std::string_view key);

/** @brief Returns the configuration path of a setting of a node. */
[[nodiscard]] std::string SettingPath(std::string_view node,
                                      std::string_view key);

/**
 * @brief Finds the value of a setting for a node.
 *
 * The value is inherited from the nearest node on the path to the root that
 * sets the key; if none does, the setting's default applies.
 *
 * @param source Configuration to read.
 * @param node Node path such as `firm/parish`.
 * @param key Key such as `classes.lookup.tier`.
 * @return JSON text; empty for an unknown key.
 */
[[nodiscard]] std::string Resolve(const config::document& source,
                                  std::string_view node,
                                  std::string_view key);

/**
 * @brief Effective settings of one service class for one client account.
 */
struct class_settings {
  std::string name;
  int tier{};
  std::chrono::milliseconds first_token{};
  std::chrono::milliseconds token_gap{};
  std::chrono::milliseconds max_wait{};
  std::uint32_t expected_tokens{};
};

/**
 * @brief Settings of one client account.
 *
 * A limit of 0 means no limit.
 */
struct account_settings {
  std::string name;
  std::string node;
  std::vector<std::string> classes;
  std::string default_class;
  double weight{};
  double requests_per_second{};
  double tokens_per_second{};
  std::uint32_t concurrency{};
};

/** @brief A key of a client account; the configuration stores its hash only. */
struct key_entry {
  std::string account;
  bool withdrawn{};
};

/** @brief Returns the configuration path of a key, given its SHA-256 in
 * hexadecimal. */
[[nodiscard]] std::string KeyPath(std::string_view key_hash);

/** @brief Finds a key by its SHA-256 in hexadecimal. */
[[nodiscard]] std::optional<key_entry> FindKey(const config::document& source,
                                               std::string_view key_hash);

/** @brief Reads the settings of one client account. */
[[nodiscard]] std::optional<account_settings> FindAccount(
    const config::document& source,
    std::string_view account);

/**
 * @brief Returns the longest time that a request may queue for an upstream.
 *
 * A request that could only start after its first-token target is refused
 * instead. Tier 0 is never shed, so its limit is `max_wait`.
 */
[[nodiscard]] std::chrono::milliseconds MaxQueueWait(
    const class_settings& service_class);

/** @brief Reads the settings of one class for one client account. */
[[nodiscard]] class_settings FindClass(const config::document& source,
                                       const account_settings& account,
                                       std::string_view class_name);

/** @brief Returns the names of all configured models. */
[[nodiscard]] std::vector<std::string> ListModels(
    const config::document& source);

/** @brief Settings of one plain service. */
struct service_settings {
  std::string name;
  /** Requests need no key. */
  bool open_to_all{};
  std::vector<std::string> idempotent_methods;
};

/** @brief Reads the settings of one plain service. */
[[nodiscard]] std::optional<service_settings> FindService(
    const config::document& source,
    std::string_view name);

/** @brief Number of upstreams that one data centre should run for one pool. */
struct upstream_target {
  std::string data_centre;
  std::string pool;
  std::uint32_t standard{};
  std::uint32_t cheaper{};

  friend bool operator==(const upstream_target&,
                         const upstream_target&) = default;
};

/** @brief Returns the configured number of upstreams for each data centre and
 * pool. */
[[nodiscard]] std::vector<upstream_target> ListUpstreamTargets(
    const config::document& source);

/**
 * @brief Validates one change.
 * @param source Configuration that the change would apply to.
 * @param candidate Change to check.
 * @return Every error, each with the path, the value found and the values
 * allowed; empty if the change is valid.
 */
[[nodiscard]] std::vector<error> CheckChange(const config::document& source,
                                             const config::change& candidate);

}  // namespace mimosadeck::settings

#endif  // SETTINGS_TREE_H_
