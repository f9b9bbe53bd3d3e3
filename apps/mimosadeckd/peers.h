#ifndef APPS_MIMOSADECKD_PEERS_H_
#define APPS_MIMOSADECKD_PEERS_H_

#include <functional>
#include <map>
#include <memory>

#include "mimosadeckd/control.h"

namespace mimosadeck::daemon {

/** @brief A message from another entry that is not a reply. */
struct peer_message {
  wire::envelope envelope;
};

/**
 * @brief Calls and one-way messages between entries.
 *
 * Matches replies to calls by a correlation number that is never reused, so a
 * reply that arrives after its call has timed out is dropped.
 */
class peers {
 public:
  peers(control_state& state, const std::string& address);

  /** @brief Returns the address that this entry listens on for peers. */
  [[nodiscard]] std::string Address() const;

  /** @brief Sets the handler of calls and one-way messages of one kind. */
  void SetHandler(wire::envelope::BodyCase kind,
                  std::function<void(const wire::envelope&)> handler);

  /** @brief Sends a one-way message; dropped if the member is unknown. */
  void Notify(const std::string& member, wire::envelope message);

  /** @brief Sends the reply to a call. */
  void Reply(const wire::envelope& call, wire::envelope answer);

  /**
   * @brief Calls a member and waits for the reply.
   * @return Unset if no reply arrived before the timeout.
   */
  [[nodiscard]] asio::awaitable<std::optional<wire::envelope>> Call(
      std::string member,
      wire::envelope message,
      std::chrono::milliseconds timeout);

  /** @brief Sends a one-way message to an address, without a member lookup. */
  void SendTo(const std::string& address, wire::envelope message);

  /** @brief Returns the message and byte counters of the link. */
  [[nodiscard]] net::link_traffic Traffic() const { return link_.Traffic(); }

 private:
  void OnMessage(wire::envelope message);
  void SetSender(wire::envelope& message) const;

  control_state& state_;
  std::uint64_t next_correlation_{1};
  std::map<std::uint64_t, std::shared_ptr<net::one_shot<wire::envelope>>>
      pending_calls_;
  std::map<int, std::function<void(const wire::envelope&)>> handlers_;
  net::peer_link link_;
};

}  // namespace mimosadeck::daemon

#endif  // APPS_MIMOSADECKD_PEERS_H_
