#ifndef APPS_MIMOSADECKD_EDGE_GOSSIP_H_
#define APPS_MIMOSADECKD_EDGE_GOSSIP_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>

#include "mimosadeckd/edge/state.h"

namespace mimosadeck::edge {

/**
 * @brief Sends this entry's digest to the others and takes theirs.
 *
 * Datagrams rather than ZeroMQ: a digest replaces the one before it, so a late
 * one is worthless and must not wait in a queue behind a dead connection.
 */
class gossip {
 public:
  explicit gossip(edge_state& state);

  /** @brief Starts to send and receive. */
  void Start();

  /** @brief Sends a digest at once, with all counts. */
  void Announce();

 private:
  asio::awaitable<void> Receive();
  asio::awaitable<void> SendLoop();
  /** @brief Writes this entry's row and learns of the others. */
  asio::awaitable<void> JoinFleet();
  void Take(const std::string& bytes, const std::string& sender);
  void TakeDigest(wire::digest received, const std::string& sender);
  void TakeSuspect(const wire::suspect& told, std::string_view origin);
  void AddPeer(const std::string& address);
  [[nodiscard]] wire::digest MakeDigest();
  void Send(const wire::datagram& content, const std::string& address);
  void SendDigests(bool is_full);
  /** @brief Returns addresses of other entries, others in each round. */
  [[nodiscard]] std::vector<std::string> PeersToTell() const;
  void SendSummaries(bool is_full);
  void SendRecords(const std::vector<const fleet::member*>& followers,
                   const wire::digest& own);
  [[nodiscard]] std::vector<wire::relayed_member> MakeRecords(
      const wire::digest& own,
      mono_time now) const;
  [[nodiscard]] std::vector<wire::datagram> MakeRecordDatagrams(
      const std::vector<wire::relayed_member>& records,
      const std::vector<wire::relayed_member>& heard) const;
  [[nodiscard]] bool IsKnown(const std::string& address) const;
  [[nodiscard]] bool IsKnownLive(const std::string& address,
                                 mono_time now) const;

  edge_state& state_;
  asio::ip::udp::socket socket_;
  std::string own_address_;
  /** Addresses of other entries, with the time at which each was heard of. */
  std::map<std::string, mono_time> peers_;
  std::uint64_t sequence_{};
  /** Digests sent with suspects, leaving upstreams and peers. */
  std::uint64_t full_rounds_{};
  /** Rounds of records sent, and the record of each entry passed on last. */
  std::uint64_t round_{};
  std::map<std::string, wire::digest> passed_on_;
};

}  // namespace mimosadeck::edge

#endif  // APPS_MIMOSADECKD_EDGE_GOSSIP_H_
