#ifndef REVIEW_FLEET_H_
#define REVIEW_FLEET_H_

#include <chrono>
#include <cstdint>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "../test/platform/store_stand_in.h"
#include "../test/platform/upstream_stand_in.h"
#include "../test/system/deployment.h"
#include "net/net.h"

namespace mimosadeck::review {

/** @brief Size of a fleet, and the files that it uses. */
struct fleet_options {
  std::size_t entries{3};
  std::size_t upstreams{3};
  /** Command that starts an entry. */
  std::vector<std::string> command;
  /** Directory for settings and logs. */
  std::string directory;
  /** File that receives what was sent, answered and run. */
  std::string record;
};

/** @brief One entry and its current process. */
struct entry {
  std::string name;
  std::string ip;
  std::string settings_file;
  std::unique_ptr<system_test::process> process;
  /** Callers still open requests on it. */
  bool is_used{};
};

/** @brief Requests of callers, by outcome, and their runs at upstreams. */
struct request_counts {
  std::uint64_t sent{};
  std::uint64_t run{};
  std::uint64_t succeeded{};
  std::uint64_t refused{};
  std::uint64_t failed{};
};

/**
 * @brief Entries as processes of their own; the platform's store, its duty
 * interface, the upstreams and the callers in this process.
 */
class fleet {
 public:
  fleet(boost::asio::io_context& io, fleet_options options);
  ~fleet();
  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;

  /** @brief Starts an entry and waits until it listens. */
  void Start(std::size_t number);

  /** @brief Sends SIGTERM, and starts the entry again once it has ended. */
  boost::asio::awaitable<void> Restart(std::size_t number);

  /** @brief Waits until all entries are ready. @return False on timeout. */
  boost::asio::awaitable<bool> WaitUntilReady();

  /** @brief Sends requests through the entries in use until the end. */
  boost::asio::awaitable<void> SendRequests();

  /** @brief Writes the rows of the upstreams about once a heartbeat. */
  boost::asio::awaitable<void> SendHeartbeats();

  /** @brief Records the usage reports as they arrive. */
  boost::asio::awaitable<void> RecordReports();

  /**
   * @brief Takes the store away for a time, and brings it back from the copy
   * that was taken last. The operator and the upstreams write their rows again.
   */
  boost::asio::awaitable<void> ReturnStoreFromCopy(
      std::chrono::milliseconds away);

  /** @brief Returns the number of the entry with a name. */
  [[nodiscard]] std::size_t NumberOf(const std::string& name) const;

  /** @brief Writes a line with the time since the start to the record. */
  void Record(const std::string& line);

  /** @brief Records how many requests were sent, answered and run. */
  void RecordTotals();

  platform_test::store_stand_in store;
  /** Receives usage reports. */
  platform_test::store_stand_in duties;
  std::vector<std::unique_ptr<entry>> entries;
  std::vector<std::unique_ptr<platform_test::upstream_stand_in>> upstreams;
  request_counts counts;

 private:
  boost::asio::awaitable<void> SendRequest(std::size_t number,
                                           std::uint64_t sequence);
  boost::asio::awaitable<int> Get(std::string address, std::string target);
  void WriteSettings(const entry& target) const;
  void RegisterUpstreams();
  void WriteManifest();

  boost::asio::io_context& io_;
  fleet_options options_;
  std::string network_;
  std::ofstream record_;
  std::chrono::steady_clock::time_point started_;
  net::connection_cache connections_;
};

}  // namespace mimosadeck::review

#endif  // REVIEW_FLEET_H_
