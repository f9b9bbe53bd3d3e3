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

/** @brief Kind of value that a setting takes. */
enum class value_kind { integer, number, boolean, text, text_list };

/**
 * @brief One setting that a node of the tree may carry.
 *
 * A key such as `classes.*.tier` stands for one setting in every class.
 */
struct setting_spec {
  std::string_view key;
  value_kind kind{value_kind::integer};
  double lowest{};
  double highest{};
  std::string_view fallback;
  std::string_view unit;
  std::string_view help;
};

/** @brief Returns every setting that a node may carry. */
[[nodiscard]] const std::vector<setting_spec>& AllSettings();

/**
 * @brief Finds the specification of a key, for instance of
 * `classes.lookup.tier`.
 * @return The specification, or nullptr for an unknown key.
 */
[[nodiscard]] const setting_spec* FindSpec(std::string_view key);

/** @brief Returns the configuration path of one setting of one node. */
[[nodiscard]] std::string SettingPath(std::string_view node,
                                      std::string_view key);

/**
 * @brief Finds the value of a setting for a node.
 *
 * The nearest node on the way to the root that carries the key decides;
 * without one, the setting's default does.
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
 * @brief Settings of one class as they hold for one client account.
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

/** @brief A key as the configuration knows it: by hash only. */
struct key_entry {
  std::string account;
  bool withdrawn{};
};

/** @brief Returns the path of a key, given its SHA-256 in hexadecimal. */
[[nodiscard]] std::string KeyPath(std::string_view key_hash);

/** @brief Looks a key up by its SHA-256 in hexadecimal. */
[[nodiscard]] std::optional<key_entry> FindKey(const config::document& source,
                                               std::string_view key_hash);

/** @brief Reads the settings of one client account. */
[[nodiscard]] std::optional<account_settings> FindAccount(
    const config::document& source,
    std::string_view account);

/**
 * @brief Returns how long a request of a class may wait for an upstream.
 *
 * Work that could only start past its target is refused instead; tier 0 is
 * kept for its whole longest wait, since it is never shed.
 */
[[nodiscard]] std::chrono::milliseconds LongestWait(
    const class_settings& service_class);

/** @brief Reads the settings of one class for one client account. */
[[nodiscard]] class_settings FindClass(const config::document& source,
                                       const account_settings& account,
                                       std::string_view class_name);

/** @brief Names every model that the configuration lists. */
[[nodiscard]] std::vector<std::string> ListModels(
    const config::document& source);

/** @brief How calls of one plain service may be treated. */
struct service_settings {
  std::string name;
  bool open_to_all{};
  std::vector<std::string> idempotent_methods;
};

/** @brief Reads the settings of one plain service. */
[[nodiscard]] std::optional<service_settings> FindService(
    const config::document& source,
    std::string_view name);

/** @brief Upstreams that one data centre should run for one pool. */
struct upstream_target {
  std::string data_centre;
  std::string pool;
  std::uint32_t standard{};
  std::uint32_t cheaper{};

  friend bool operator==(const upstream_target&,
                         const upstream_target&) = default;
};

/** @brief Lists the upstreams that every data centre should run. */
[[nodiscard]] std::vector<upstream_target> ListUpstreamTargets(
    const config::document& source);

/**
 * @brief Checks one change before it may be accepted.
 * @param source Configuration that the change would apply to.
 * @param candidate Change to check.
 * @return Every error found; each names path, what was found and what is
 * allowed. Empty if the change is good.
 */
[[nodiscard]] std::vector<error> CheckChange(const config::document& source,
                                             const config::change& candidate);

}  // namespace mimosadeck::settings

#endif  // SETTINGS_TREE_H_
