#ifndef REVIEW_6_FLEET_H_
#define REVIEW_6_FLEET_H_

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include "../../soak/link_proxy.h"
#include "../../test/platform/store_stand_in.h"
#include "../../test/platform/upstream_stand_in.h"
#include "../../test/system/deployment.h"
#include "net/net.h"

namespace mimosadeck::review {

using steady = std::chrono::steady_clock;

/** @brief Exit status of a case. */
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

/** @brief Size of a deployment, and its bounds. */
struct fleet_options {
  std::size_t entries{3};
  std::size_t upstreams{3};
  /** Members of `bounds` in the settings of the entries. */
  boost::json::object bounds;
  /** Links of the first two entries of each zone, and of the others. */
  double fast_mbps{1000};
  double slow_mbps{1000};
};

/** @brief A daemon with its link to the store. */
struct entry {
  std::string name;
  std::string ip;
  std::string zone;
  bool has_fast_link{};
  std::string callers;
  std::string ready;
  std::unique_ptr<soak::link_proxy> store_link;
  std::filesystem::path settings;
  std::unique_ptr<system_test::process> process;
  bool is_ready{};
};

/** @brief A caller's request and what became of it. */
struct exchange_record {
  std::string id;
  std::string entry;
  std::string key;
  steady::time_point sent_at;
  /** 0 if no answer came. */
  int status{};
  std::string stamp;
  bool complete{};
  std::string body;
};

/** @brief Options of a request. */
struct request_options {
  std::string target{"/safe/x"};
  std::string key{"key-a"};
  std::chrono::milliseconds timeout{2500};
};

/**
 * @brief Runs daemons as processes with the command of the deploy file; the
 * store, the upstreams and the links to the store run in this process.
 */
class fleet {
 public:
  fleet(boost::asio::io_context& io, fleet_options options);
  ~fleet();
  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;

  /** @brief Starts all daemons and waits until they are ready. */
  [[nodiscard]] bool Start();

  /** @brief Serves the store and the upstreams for a time. */
  void Run(std::chrono::milliseconds time);

  /** @brief Starts a request whose record is stored when it has ended. */
  void Send(const entry& target,
            const request_options& options,
            std::vector<exchange_record>& records);

  /** @brief Waits until all requests have ended. */
  void Finish(std::chrono::milliseconds timeout);

  /** @brief Adds a line with the time since the start to `record.txt`. */
  void Note(const std::string& line);

  /** @brief Writes a line for each request that an upstream ran. */
  void NoteRuns();

  /** @brief Writes the state of an upstream, which its heartbeats repeat. */
  void Register(std::size_t upstream, const std::string& state);

  /** @brief Removes an upstream's registration and ends its heartbeats. */
  void Deregister(std::size_t upstream);

  platform_test::store_stand_in store;
  std::vector<std::unique_ptr<entry>> entries;
  std::vector<std::unique_ptr<platform_test::upstream_stand_in>> upstreams;

 private:
  void StartProcess(entry& target);
  boost::asio::awaitable<void> Beat();
  boost::asio::awaitable<void> WatchReady(entry& target);
  boost::asio::awaitable<void> Exchange(std::string address,
                                        request_options options,
                                        exchange_record record,
                                        std::vector<exchange_record>& records);

  boost::asio::io_context& io_;
  fleet_options options_;
  std::filesystem::path directory_;
  std::ofstream record_;
  steady::time_point started_at_;
  net::connection_cache connections_{4, 16};
  std::vector<std::string> states_;
  std::uint64_t last_request_{};
  std::size_t open_requests_{};
  bool is_ending_{};
};

/** @brief Returns a route of a manifest. */
[[nodiscard]] boost::json::object Route(const std::string& prefix,
                                        const std::string& kind,
                                        int attempts,
                                        bool resumable);

/** @brief Returns a manifest; each account has the keys given. */
[[nodiscard]] std::string Manifest(
    int version,
    const boost::json::array& routes,
    const std::vector<std::pair<std::string, std::vector<std::string>>>&
        accounts);

/** @brief Returns whether the case runs with its disruption. */
[[nodiscard]] bool HasTrouble();

}  // namespace mimosadeck::review

#endif  // REVIEW_6_FLEET_H_
