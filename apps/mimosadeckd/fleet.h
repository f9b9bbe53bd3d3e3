#ifndef APPS_MIMOSADECKD_FLEET_H_
#define APPS_MIMOSADECKD_FLEET_H_

#include <functional>
#include <vector>

#include "mimosadeckd/peers.h"

namespace mimosadeck::daemon {

/**
 * @brief Membership and configuration of one entry.
 */
class fleet {
 public:
  fleet(control& state, peers& links);

  /** @brief Adds this entry to the fleet. */
  void Join(const std::string& caller_address,
            const std::string& operator_address);

  /** @brief Starts gossip and the polls of the store. */
  void Start();

  /** @brief Calls a function each time a new configuration is in force. */
  void OnConfiguration(std::function<void()> handler);

  /** @brief Tells the others that this entry is leaving. */
  void Leave();

  /** @brief Removes this entry's row and tells the others that it has ended;
   * the last act of a planned stop. */
  [[nodiscard]] asio::awaitable<void> Unregister();

  /** @brief Makes a change of the configuration durable. */
  [[nodiscard]] asio::awaitable<result<std::uint64_t>> Edit(
      config::change_set proposed);

  /** @brief Gives traffic threads the present state. */
  void Publish();

 private:
  asio::awaitable<void> GossipLoop();
  asio::awaitable<void> PollLoop();
  asio::awaitable<void> VmLoop();
  asio::awaitable<void> RegistryLoop();
  asio::awaitable<void> Probe(std::string member);
  asio::awaitable<void> FetchFrom(std::string member);
  asio::awaitable<void> PollOnce();
  asio::awaitable<void> Register();
  asio::awaitable<void> ReadRegistry();
  asio::awaitable<void> MaybeWriteSnapshot();
  void FillHeartbeat(wire::heartbeat& out);
  void TakeHeartbeat(const wire::envelope& from,
                     const wire::heartbeat& beat,
                     std::optional<mono_time> probe_sent_at);
  void Announce();
  void Changed();

  control& state_;
  peers& links_;
  std::vector<std::function<void()>> handlers_;
  bool registered_{false};
  bool fetching_{false};
  std::uint64_t snapshot_version_{};
};

}  // namespace mimosadeck::daemon

#endif  // APPS_MIMOSADECKD_FLEET_H_
