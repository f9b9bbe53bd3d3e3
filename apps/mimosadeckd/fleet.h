#ifndef APPS_MIMOSADECKD_FLEET_H_
#define APPS_MIMOSADECKD_FLEET_H_

#include <functional>
#include <vector>

#include "mimosadeckd/peers.h"

namespace mimosadeck::daemon {

/**
 * @brief Maintains this entry's view of the members and its replica of the
 * configuration.
 *
 * Members gossip heartbeats; the configuration and the VM list are polled from
 * the platform.
 */
class fleet {
 public:
  fleet(control_state& state, peers& peers);

  /** @brief Adds this entry to its own member list, with its addresses. */
  void Join(const std::string& caller_address,
            const std::string& operator_address);

  /** @brief Starts the gossip and polling loops. */
  void Start();

  /** @brief Adds a handler called after each change of the configuration. */
  void AddConfigHandler(std::function<void()> handler);

  /** @brief Marks this entry as draining and leaving, and announces it. */
  void Leave();

  /**
   * @brief Removes this entry's registry row and announces its departure.
   *
   * The last step of a planned stop.
   */
  [[nodiscard]] asio::awaitable<void> Unregister();

  /**
   * @brief Commits a change of the configuration to the store.
   * @return The new version. Errors: `not_ready` without contact to a majority
   * of the entries, `version_conflict`, `store_unavailable` if nothing was
   * changed, `outcome_unknown`.
   */
  [[nodiscard]] asio::awaitable<result<std::uint64_t>> Edit(
      config::change_set proposed);

  /** @brief Publishes a new snapshot for the traffic threads. */
  void PublishSnapshot();

 private:
  asio::awaitable<void> GossipLoop();
  asio::awaitable<void> PollConfigLoop();
  asio::awaitable<void> PollVmListLoop();
  asio::awaitable<void> RegistryLoop();
  asio::awaitable<void> Probe(std::string member);
  asio::awaitable<void> FetchConfigFrom(std::string member);
  asio::awaitable<void> PollConfig();
  asio::awaitable<void> Register();
  asio::awaitable<void> ReadRegistry();
  asio::awaitable<void> WriteSnapshotIfDue();
  void FillHeartbeat(wire::heartbeat& out);
  void OnHeartbeat(const wire::envelope& from,
                   const wire::heartbeat& heartbeat,
                   std::optional<mono_time> probe_sent_at);
  void SendHeartbeats();
  void NotifyConfigChanged();

  control_state& state_;
  peers& peers_;
  std::vector<std::function<void()>> config_handlers_;
  bool registered_{false};
  bool fetching_config_{false};
  std::uint64_t snapshot_version_{};
};

}  // namespace mimosadeck::daemon

#endif  // APPS_MIMOSADECKD_FLEET_H_
