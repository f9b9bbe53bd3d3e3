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
 * @brief Exchanges gossip messages with the other entries over UDP.
 *
 * A digest describes one entry; a summary aggregates the digests that a relay
 * received. UDP is used instead of ZeroMQ because each digest supersedes the
 * previous one: a late digest is worthless and must not wait in a queue behind
 * a dead connection.
 */
class gossip {
 public:
  explicit gossip(edge_state& state);

  /** @brief Starts sending and receiving. */
  void Start();

  /** @brief Sends a full digest, including billing counts, immediately. */
  void Announce();

 private:
  asio::awaitable<void> Receive();
  asio::awaitable<void> SendLoop();
  /** @brief Registers this entry in the store and discovers the others. */
  asio::awaitable<void> JoinFleet();
  void OnDatagram(const std::string& bytes, const std::string& sender);
  void OnDigest(wire::digest received, const std::string& sender);
  /** @param origin Who named the address, for the log. */
  void AddPeer(const std::string& address, std::string_view origin);
  void OnSummary(wire::summary received);
  /** @brief Builds this entry's digest without the fields of full rounds. */
  [[nodiscard]] wire::digest MakeDigest();
  void Send(const wire::datagram& content, const std::string& address);
  /** @param is_full Includes suspects, leaving upstreams, peers and counts. */
  void SendDigests(bool is_full);
  /** @brief Returns peer addresses for one digest, rotating through all. */
  [[nodiscard]] std::vector<std::string> SelectKnownPeers() const;
  void SendSummaries(bool is_full);
  /** @brief Sends the members' records to all followers of this relay. */
  void SendRecords(const std::vector<const fleet::member*>& followers,
                   const wire::digest& own);
  [[nodiscard]] std::vector<wire::relayed_member> MakeRecords(
      const wire::digest& own,
      mono_time now) const;
  /**
   * @brief Packs member records into datagrams.
   * @param records Members whose whole record is sent.
   * @param unchanged Members of which only the age is sent.
   */
  [[nodiscard]] std::vector<wire::datagram> MakeRecordDatagrams(
      const std::vector<wire::relayed_member>& records,
      const std::vector<wire::relayed_member>& unchanged) const;
  [[nodiscard]] bool IsMember(const std::string& address) const;
  [[nodiscard]] bool IsLiveMember(const std::string& address,
                                  mono_time now) const;

  edge_state& state_;
  asio::ip::udp::socket socket_;
  std::string own_address_;
  /** Addresses of other entries, with the time of the last digest from each or,
   * before the first one, the time at which the address was learned. */
  std::map<std::string, mono_time> peers_;
  std::uint64_t sequence_{};
  /** Number of full rounds, in which digests include suspects, leaving
   * upstreams and peers. */
  std::uint64_t full_rounds_{};
  /** Number of rounds in which this relay sent records. */
  std::uint64_t record_round_{};
  /** Last relayed record of each entry, by name. */
  std::map<std::string, wire::digest> last_relayed_;
};

}  // namespace mimosadeck::edge

#endif  // APPS_MIMOSADECKD_EDGE_GOSSIP_H_
