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

/** @brief Random numbers from one seed. */
class random_source {
 public:
  explicit random_source(std::uint64_t seed) : engine_(seed) {}

  [[nodiscard]] std::size_t Below(std::size_t bound) {
    return bound == 0 ? 0 : engine_() % bound;
  }
  [[nodiscard]] bool Chance(double part) {
    constexpr std::uint64_t kSteps = 1U << 20U;
    return static_cast<double>(Below(kSteps)) <
           part * static_cast<double>(kSteps);
  }
  [[nodiscard]] std::chrono::milliseconds Between(
      std::chrono::milliseconds least,
      std::chrono::milliseconds most) {
    return least + std::chrono::milliseconds(
                       Below(static_cast<std::size_t>((most - least).count())));
  }

 private:
  std::mt19937_64 engine_;
};

/** @brief Size and files of a deployment. */
struct deployment_options {
  std::size_t entries{5};
  std::size_t upstreams{4};
  /** The daemon's program; its calendar clock is shifted by the milliseconds in
   * the file that MIMOSADECK_CLOCK_FILE names. */
  std::string daemon;
  /** Directory for settings and logs. */
  std::string directory;
};

/** @brief One daemon, its links, and the process that runs now. */
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
  /** Callers, ready, control and directory; fixed by the first start. */
  std::array<std::string, 4> listeners{"", "", "", ""};
  /** A fault is stopping or starting it. */
  bool busy{};

  [[nodiscard]] std::string ProcessName() const {
    return name + '#' + std::to_string(starts);
  }
  [[nodiscard]] bool Runs() const { return process && process->IsRunning(); }
  void Signal(int number) const;
};

/** @brief An upstream and the link that leads to it. */
struct upstream {
  std::string id;
  std::unique_ptr<platform_test::upstream_stand_in> server;
  std::unique_ptr<link_proxy> link;
  int generation{};
  bool failing{};
  bool busy{};
};

/**
 * @brief Daemons as processes, with the store, the upstreams and the links
 * between them in this process. Upstreams tell the judge what they run.
 */
class deployment {
 public:
  deployment(boost::asio::io_context& io,
             const deployment_options& options,
             judge& judge,
             random_source& random);

  /** @brief Writes a new manifest: the next version's route and key come, the
   * oldest ones go. */
  void WriteManifest();

  void StartProcess(entry& of);

  /** @brief Registers an upstream under a new id, or anew after a crash. */
  void RegisterAnew(upstream& of, bool new_id);

  /** @brief Passes new usage reports to the judge. */
  void TakeReports();

  /** @brief Returns the link that leads to a caller address, or nothing. */
  [[nodiscard]] entry* EntryAt(const std::string& caller_address);

  [[nodiscard]] std::uint64_t ManifestVersion() const { return version_; }

  platform_test::store_stand_in store;
  std::vector<std::unique_ptr<entry>> entries;
  std::vector<std::unique_ptr<upstream>> upstreams;

 private:
  void AddEntry(std::size_t number);
  void AddUpstream(std::size_t number);
  void OnRun(const upstream& at, const platform_test::upstream_run& run);
  [[nodiscard]] platform_test::scripted_answer AnswerOf(
      const upstream& at,
      const net::http_request& request);
  void WriteSettings(const entry& of) const;

  boost::asio::io_context& io_;
  deployment_options options_;
  judge& judge_;
  random_source& random_;
  std::uint64_t version_{};
  std::size_t reports_taken_{};
};

/** @brief Host of every route. */
inline constexpr std::string_view kHost = "soak.example";
/** @brief Account of the key that every manifest holds. */
inline constexpr std::string_view kLastingAccount = "parish";
inline constexpr std::string_view kLastingKey = "key-lasting";
/** @brief Account of the keys that come and go. */
inline constexpr std::string_view kChangingAccount = "choir";

/** @brief Key that is added by a manifest and withdrawn two later. */
[[nodiscard]] std::string ChangingKey(std::uint64_t version);

/** @brief Prefix of the route that comes and goes in the same way. */
[[nodiscard]] std::string ChangingRoute(std::uint64_t version);

/** @brief Manifests after the first that hold a key or route. */
inline constexpr std::uint64_t kManifestsHeld = 1;

}  // namespace mimosadeck::soak

#endif  // SOAK_DEPLOYMENT_H_
