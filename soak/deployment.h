#ifndef SOAK_DEPLOYMENT_H_
#define SOAK_DEPLOYMENT_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "platform/store_stand_in.h"
#include "platform/upstream_stand_in.h"
#include "platform/wait.h"
#include "soak/judge.h"
#include "soak/link_proxy.h"
#include "system/deployment.h"

namespace mimosadeck::soak {

using platform_test::Wait;

/** @brief Pseudo-random numbers, reproducible from a seed. */
class random_source {
 public:
  explicit random_source(std::uint64_t seed) : engine_(seed) {}

  [[nodiscard]] std::size_t Below(std::size_t bound) {
    return bound == 0 ? 0 : engine_() % bound;
  }
  [[nodiscard]] bool Chance(double probability) {
    constexpr std::uint64_t kSteps = 1U << 20U;
    return static_cast<double>(Below(kSteps)) <
           probability * static_cast<double>(kSteps);
  }
  [[nodiscard]] std::chrono::milliseconds Between(
      std::chrono::milliseconds min,
      std::chrono::milliseconds max) {
    return min + std::chrono::milliseconds(
                     Below(static_cast<std::size_t>((max - min).count())));
  }

 private:
  std::mt19937_64 engine_;
};

/** @brief Size of a deployment, and the files that it uses. */
struct deployment_options {
  std::size_t entries{5};
  std::size_t upstreams{4};
  /** Path of the daemon; its calendar clock must be shifted by the milliseconds
   * in the file that MIMOSADECK_CLOCK_FILE names. */
  std::string daemon;
  /** Directory for settings and logs. */
  std::string directory;
  /** First three numbers of the entries' loopback addresses. */
  std::string network{"127.0.9."};
  std::chrono::seconds stop_grace{5};
  std::chrono::milliseconds stream_timeout{3000};
  int max_connections{200};
  /** The routes that manifests add and withdraw carry single streams. */
  bool rotating_streams{};
};

/** @brief A daemon, its links and its current process. */
struct entry {
  std::string name;
  std::string data_centre;
  std::string ip;
  std::string settings_file;
  std::string clock_file;
  std::unique_ptr<link_proxy> store_link;
  std::unique_ptr<link_proxy> caller_link;
  std::unique_ptr<system_test::process> process;
  int starts{};
  std::chrono::seconds stop_grace{};
  /** Callers, ready, control and directory; ports persist across restarts. */
  std::array<std::string, 4> listeners{"", "", "", ""};
  /** A fault is stopping or restarting the entry. */
  bool busy{};

  [[nodiscard]] std::string ProcessName() const {
    return name + '#' + std::to_string(starts);
  }
  [[nodiscard]] bool Runs() const { return process && process->IsRunning(); }
  void Signal(int number) const;
};

/** @brief An upstream and the link through which entries reach it. */
struct upstream {
  std::string id;
  std::unique_ptr<platform_test::upstream_stand_in> server;
  std::unique_ptr<link_proxy> link;
  int generation{};
  bool failing{};
  /** Requests that run. */
  int running{};
  bool busy{};
};

/**
 * @brief Runs daemons as processes, and the store, the upstreams and the links
 * between them in this process. Upstreams report their runs to the judge.
 */
class deployment {
 public:
  deployment(boost::asio::io_context& io,
             const deployment_options& options,
             judge& judge,
             random_source& random);

  /** @brief Writes the next manifest version, which adds a route and a key and
   * drops the oldest ones. */
  void WriteManifest();

  /** @brief Writes the settings file of an entry. */
  void WriteSettings(const entry& target) const;

  void StartProcess(entry& target);

  /** @brief Registers an upstream after a crash, or under a new id. */
  void Reregister(upstream& target, bool new_id);

  /** @brief Passes usage reports received since the last call to the judge. */
  void ForwardReports();

  /** @brief Returns the entry that listens on a caller address, or null. */
  [[nodiscard]] entry* FindEntry(const std::string& caller_address);

  [[nodiscard]] std::uint64_t ManifestVersion() const { return version_; }

  platform_test::store_stand_in store;
  std::vector<std::unique_ptr<entry>> entries;
  std::vector<std::unique_ptr<upstream>> upstreams;

 private:
  void AddEntry(std::size_t number);
  void AddUpstream(std::size_t number);
  void OnRun(upstream& source, const platform_test::upstream_run& run);
  void OnEnd(upstream& source,
             const platform_test::upstream_run& run,
             bool is_finished);
  [[nodiscard]] platform_test::scripted_answer ChooseAnswer(
      const upstream& source,
      const net::http_request& request);

  boost::asio::io_context& io_;
  deployment_options options_;
  judge& judge_;
  random_source& random_;
  std::uint64_t version_{};
  std::size_t reports_forwarded_{};
};

/** @brief Host of every route. */
inline constexpr std::string_view kHost = "soak.example";
/** @brief Account of the key that is in every manifest. */
inline constexpr std::string_view kPermanentAccount = "parish";
inline constexpr std::string_view kPermanentKey = "key-lasting";
/** @brief Account of the keys that manifests add and withdraw. */
inline constexpr std::string_view kRotatingAccount = "choir";

/** @brief Key added by a manifest version and withdrawn two versions later. */
[[nodiscard]] std::string RotatingKey(std::uint64_t version);

/** @brief Prefix of the route added and withdrawn in the same way. */
[[nodiscard]] std::string RotatingRoute(std::uint64_t version);

/** @brief Further manifest versions that hold a rotating key or route. */
inline constexpr std::uint64_t kManifestOverlap = 1;

}  // namespace mimosadeck::soak

#endif  // SOAK_DEPLOYMENT_H_
