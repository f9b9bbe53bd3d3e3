#ifndef APPS_MIMOSADECKD_BOOKINGS_H_
#define APPS_MIMOSADECKD_BOOKINGS_H_

#include <map>
#include <string>

#include "booking/booking.h"
#include "mimosadeckd/peers.h"

namespace mimosadeck::daemon {

/** @brief Outcome of a claim. */
struct claim_result {
  booking::claim_outcome outcome{booking::claim_outcome::refused};
  /** Recorded response of the call; set if the outcome is `answered`. */
  std::string answer;
};

/**
 * @brief Runs bookings at most once.
 *
 * A booking is a non-idempotent call of a plain service. Its idempotency key
 * belongs to a shard; the owner of the shard grants each key to one executor.
 * This class claims the calls of this entry at the owners, serves the shards
 * that this entry owns, and stores copies for the owners of other shards.
 */
class bookings {
 public:
  bookings(control_state& state, peers& peers);

  /** @brief Starts the shard and owner-lookup loops. */
  void Start();

  /** @brief Claims a call at the owner of its shard; `refused`: not run. */
  [[nodiscard]] asio::awaitable<claim_result> Claim(booking::record wanted);

  /**
   * @brief Reports the outcome of a claimed call to the owner of its shard.
   *
   * Returns at once; the report is repeated until an owner acknowledges it.
   * @param outcome The record, with its final state.
   * @param never_sent The call was not sent to any upstream.
   */
  void Settle(booking::record outcome, bool never_sent);

  /**
   * @brief Waits for outstanding outcome reports, releases every shard, and
   * waits until that is done; 15 s in total at most.
   */
  [[nodiscard]] asio::awaitable<void> HandOver();

  /** @brief Returns the number of shards that this entry serves. */
  [[nodiscard]] std::size_t CountServedShards() const;

 private:
  asio::awaitable<void> TickLoop();
  asio::awaitable<void> ReadOwnersLoop();
  asio::awaitable<void> SendToStore(std::uint32_t shard,
                                    infra::request request);
  asio::awaitable<void> SendCopies(std::uint32_t shard,
                                   booking::send_copies copies);
  asio::awaitable<void> FetchCopies(std::uint32_t shard,
                                    booking::fetch_copies wanted);
  asio::awaitable<void> SettleUntilAcknowledged(booking::record outcome,
                                                bool never_sent);
  void Perform(std::uint32_t shard,
               const std::vector<booking::action>& actions);
  void TakeOverOrphanedShards();
  [[nodiscard]] bool IsAnyOwnerMissing() const;
  asio::awaitable<std::optional<claim_result>> TryClaim(
      std::uint32_t shard,
      const booking::record& wanted,
      std::size_t attempt);
  [[nodiscard]] std::string LikelyOwner(std::uint32_t shard,
                                        std::size_t attempt) const;
  asio::awaitable<claim_result> ClaimLocally(std::uint32_t shard,
                                             booking::record wanted);
  void OnClaimCall(const wire::envelope& call);
  void OnSettleCall(const wire::envelope& call);
  asio::awaitable<void> AnswerClaim(wire::envelope call);
  [[nodiscard]] std::vector<std::string> SelectHolders(
      std::uint32_t shard) const;
  [[nodiscard]] booking::departed_predicate MakeDepartedTest() const;

  control_state& state_;
  peers& peers_;
  booking::options options_;
  std::map<std::uint32_t, booking::shard> shards_;
  /** Incarnation of the owner of each shard, as last read from the store. */
  std::map<std::uint32_t, std::string> owners_;
  /** Copies of records of shards that other entries own. */
  booking::copy_store copies_;
  /** Claims at own shards that await a decision, by shard and ticket. */
  std::map<std::pair<std::uint32_t, std::uint64_t>,
           std::shared_ptr<net::one_shot<claim_result>>>
      pending_claims_;
  bool owners_loaded_{false};
  std::size_t pending_settlements_{0};
};

}  // namespace mimosadeck::daemon

#endif  // APPS_MIMOSADECKD_BOOKINGS_H_
