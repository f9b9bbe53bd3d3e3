#ifndef APPS_MIMOSADECKD_BOOKINGS_H_
#define APPS_MIMOSADECKD_BOOKINGS_H_

#include <map>
#include <string>

#include "booking/booking.h"
#include "mimosadeckd/peers.h"

namespace mimosadeck::daemon {

/** @brief Answer to a claim, with the record that was claimed. */
struct claim_result {
  booking::claim_outcome outcome{booking::claim_outcome::refused};
  std::string answer;
};

/**
 * @brief Claims non-idempotent calls at the owners of their shards, and owns
 * shards.
 */
class bookings {
 public:
  bookings(control& state, peers& links);

  /** @brief Starts the periodic work. */
  void Start();

  /** @brief Claims a call; `refused` means that it was not run. */
  [[nodiscard]] asio::awaitable<claim_result> Claim(booking::record wanted);

  /** @brief Tells the owner how a claimed call ended, until it knows. */
  void Settle(booking::record outcome, bool never_sent);

  /** @brief Hands every shard over. @return When all are handed over. */
  [[nodiscard]] asio::awaitable<void> HandOver();

  /** @brief Returns the number of shards this entry serves. */
  [[nodiscard]] std::size_t Serving() const;

 private:
  asio::awaitable<void> TickLoop();
  asio::awaitable<void> OwnersLoop();
  asio::awaitable<void> SendToStore(std::uint32_t shard,
                                    infra::request request);
  asio::awaitable<void> SendCopies(std::uint32_t shard,
                                   booking::send_copies copies);
  asio::awaitable<void> Fetch(std::uint32_t shard,
                              booking::fetch_copies wanted);
  asio::awaitable<void> SettleUntilKnown(booking::record outcome,
                                         bool never_sent);
  void Perform(std::uint32_t shard,
               const std::vector<booking::action>& actions);
  void TakeOverOrphans();
  [[nodiscard]] bool IsOwnerMissing() const;
  asio::awaitable<std::optional<claim_result>> TryClaim(
      std::uint32_t shard,
      const booking::record& wanted,
      std::size_t attempt);
  [[nodiscard]] std::string LikelyOwner(std::uint32_t shard,
                                        std::size_t attempt) const;
  asio::awaitable<claim_result> ClaimHere(std::uint32_t shard,
                                          booking::record wanted);
  void TakeClaim(const wire::envelope& call);
  void TakeSettle(const wire::envelope& call);
  asio::awaitable<void> AnswerClaim(wire::envelope call);
  [[nodiscard]] std::vector<std::string> HoldersFor(std::uint32_t shard) const;
  [[nodiscard]] booking::departed_predicate Departed() const;

  control& state_;
  peers& links_;
  booking::options options_;
  std::map<std::uint32_t, booking::shard> shards_;
  std::map<std::uint32_t, std::string> owners_;
  booking::copy_store copies_;
  std::map<std::pair<std::uint32_t, std::uint64_t>,
           std::shared_ptr<net::one_shot<claim_result>>>
      claims_;
  bool owners_known_{false};
  std::size_t unsettled_{0};
};

}  // namespace mimosadeck::daemon

#endif  // APPS_MIMOSADECKD_BOOKINGS_H_
