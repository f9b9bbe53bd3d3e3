#ifndef ADMISSION_QUEUE_H_
#define ADMISSION_QUEUE_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace mimosadeck::admission {

/** @brief Number of service tiers; tier 0 is served first. */
inline constexpr int kTiers = 5;

/** @brief Settings of a queue. */
struct options {
  std::size_t capacity{256};
  /** A request that waited this long counts as starving. */
  std::chrono::milliseconds starving_after{4000};
  /** One in this many choices goes to the longest starving request. */
  std::uint32_t starving_share{8};
};

/** @brief One request that waits for an upstream. */
struct waiting {
  std::uint64_t id{};
  std::string account;
  double weight{1};
  int tier{};
  double expected_tokens{};
  mono_time arrived;
  mono_time deadline;
};

/** @brief Requests of one account in one tier, oldest first. */
struct account_line {
  std::deque<waiting> requests;
  double expected_tokens{};
};

/** @brief Service that one account received in one tier. */
struct account_service {
  double weight{1};
  double virtual_time{};
  mono_time last_charge;
};

/** @brief Requests of one tier, fair between accounts. */
struct tier_lines {
  std::map<std::string, account_line> lines;
  std::map<std::string, account_service> service;
  double virtual_now{};
  std::size_t size{};
  double expected_tokens{};
};

/**
 * @brief Queue of one pool: tiers by priority, accounts by fair share.
 *
 * Inside a tier the account with the least service for its weight goes first.
 * Service is charged with the expected length when a request is taken, and
 * corrected to the tokens produced when it ends.
 */
struct queue {
  std::array<tier_lines, kTiers> tiers;
  std::size_t size{};
  std::uint32_t choices{};
};

/** @brief Outcome of an offer to the queue. */
struct offer_outcome {
  bool accepted{};
  /** A request of a lower tier that lost its place and must be refused. */
  std::optional<waiting> displaced;
};

/**
 * @brief Offers a request to the queue.
 *
 * A full queue gives up the newest request of the lowest tier, and there the
 * one of the account with the most requests waiting, if that tier is below the
 * offer's; or, in the same tier, if its account holds more places per weight.
 * A request of tier 0 is never displaced.
 */
[[nodiscard]] offer_outcome Offer(queue& state,
                                  const options& settings,
                                  const waiting& request);

/**
 * @brief Takes the request to serve next.
 * @param lowest_tier Tiers with a greater number are left waiting.
 * @return The request, or nothing if none may go.
 */
[[nodiscard]] std::optional<waiting> Take(queue& state,
                                          const options& settings,
                                          mono_time now,
                                          int lowest_tier);

/** @brief Returns the tier Take would serve first by priority alone. */
[[nodiscard]] std::optional<int> HighestWaitingTier(const queue& state);

/** @brief Removes and returns every request whose deadline has passed. */
[[nodiscard]] std::vector<waiting> Expire(queue& state, mono_time now);

/** @brief Removes one request. @return True if it was waiting. */
bool Remove(queue& state, std::uint64_t id);

/** @brief Removes and returns every request of one account. */
[[nodiscard]] std::vector<waiting> RemoveAccount(queue& state,
                                                 const std::string& account);

/**
 * @brief Corrects an account's service once an answer's length is known.
 * @param tokens Tokens produced beyond the expected ones; may be negative.
 */
void Correct(queue& state,
             int tier,
             const std::string& account,
             double tokens,
             mono_time now);

/**
 * @brief Returns the expected tokens that go before a new request.
 *
 * All of higher tiers counts; of the same tier only what fair sharing serves
 * before the account's newest request, so that one account's backlog does not
 * count against another.
 *
 * @param account Account of the new request.
 * @param weight Weight of that account.
 */
[[nodiscard]] double TokensAhead(const queue& state,
                                 int tier,
                                 const std::string& account,
                                 double weight);

}  // namespace mimosadeck::admission

#endif  // ADMISSION_QUEUE_H_
