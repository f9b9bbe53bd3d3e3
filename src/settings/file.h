#ifndef SETTINGS_FILE_H_
#define SETTINGS_FILE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "config/config.h"

namespace mimosadeck::settings {

/**
 * @brief Settings of one daemon process, which it needs before it can read the
 * configuration from the store.
 *
 * Addresses are `IP:PORT`; port 0 selects a free port.
 */
struct daemon_settings {
  std::string id;
  std::string data_centre;
  std::string caller_address;
  std::string operator_address;
  std::string peer_address;
  std::string platform_address;
  std::string fleet_secret;
  std::string operator_key_hash;
  std::uint32_t traffic_threads{2};
  std::uint64_t body_limit_bytes{1U << 20U};
  std::uint64_t receive_memory_bytes{64U << 20U};
  std::chrono::milliseconds caller_timeout{10000};
  std::chrono::milliseconds silence_limit{2000};
  std::chrono::milliseconds entries_time_to_live{2000};
  std::chrono::milliseconds heartbeat_interval{200};
  std::chrono::milliseconds poll_interval{500};
  std::chrono::milliseconds max_config_age{4000};
  std::chrono::milliseconds lease_term{3000};
  std::chrono::milliseconds usage_flush_interval{1000};
  std::chrono::milliseconds billing_window{5000};
  std::chrono::milliseconds load_poll_interval{500};
  bool targets_check_fencing{true};
  std::string trace_file;
};

/**
 * @brief Content of a settings file: settings of a daemon and the initial
 * configuration of the fleet.
 *
 * `fleet` holds the changes that `mimosadeckctl import` sends as one version.
 */
struct settings_file {
  daemon_settings daemon;
  bool has_daemon{};
  std::vector<config::change> fleet;
};

/**
 * @brief Parses and validates settings in JSON with comments.
 * @param name Name of the file, for error messages.
 * @param text Content of the file.
 * @return The settings if all are valid, else every error, each with the file,
 * the path, the value found and the values allowed.
 */
[[nodiscard]] std::variant<settings_file, std::vector<error>> ParseSettings(
    std::string_view name,
    std::string_view text);

/**
 * @brief Reads and validates a settings file.
 * @return The result of ParseSettings, or the error file_unreadable if it
 * cannot be read.
 */
[[nodiscard]] std::variant<settings_file, std::vector<error>> LoadSettings(
    const std::string& path);

}  // namespace mimosadeck::settings

#endif  // SETTINGS_FILE_H_
