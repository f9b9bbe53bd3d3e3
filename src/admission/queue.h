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

/** @brief Number of tiers, the priority levels; tier 0 is served first. */
inline constexpr int kTierCount = 5;

/** @brief Settings of a queue. */
struct options {
  /** Maximum number of queued requests. */
  std::size_t capacity{256};
  /** Waiting time after which a request counts as starving. */
  std::chrono::milliseconds starvation_threshold{4000};
  /** One in this many requests taken is the one that has been starving longest,
   * regardless of its tier. */
  std::uint32_t starvation_interval{8};
};

/** @brief A request queued for a slot of an upstream. */
struct queued_request {
  std::uint64_t id{};
  /** Client account. */
  std::string account;
  /** Weight of the account in fair sharing. */
  double weight{1};
  int tier{};
  /** Expected length of the answer, in tokens. */
  double expected_tokens{};
  mono_time arrived;
  /** The request is refused if it is still queued at this time. */
  mono_time deadline;
};

/** @brief Queued requests of one account in one tier, oldest first. */
struct account_backlog {
  std::deque<queued_request> requests;
  /** Sum over the requests. */
  double expected_tokens{};
};

/** @brief Service that one account received in one tier. */
struct account_service {
  double weight{1};
  /** Tokens served, divided by the weight. */
  double virtual_time{};
  mono_time charged_at;
};

/** @brief Queue of one tier with weighted fair sharing between accounts. */
struct tier_queue {
  /** Accounts that have queued requests. */
  std::map<std::string, account_backlog> backlogs;
  /** Accounts served recently or queued. */
  std::map<std::string, account_service> service;
  /** Greatest virtual time at which an account was served. An account that
   * returns after a pause starts here, so it saves up no share. */
  double virtual_clock{};
  /** Number of queued requests. */
  std::size_t size{};
  /** Sum over the queued requests. */
  double expected_tokens{};
};

/**
 * @brief Queue of one pool, ordered by tier and by fair share within a tier.
 *
 * Within a tier, the account that received the least service for its weight is
 * served first. An account is charged the expected tokens when a request is
 * taken; the charge is corrected to the produced tokens when the request ends.
 */
struct queue {
  std::array<tier_queue, kTierCount> tiers;
  /** Number of queued requests. */
  std::size_t size{};
  /** Number of requests taken so far. */
  std::uint32_t taken_count{};
};

/** @brief Outcome of an offer to the queue. */
struct offer_outcome {
  bool accepted{};
  /** A request removed to make room, which must be refused. */
  std::optional<queued_request> displaced;
};

/**
 * @brief Offers a request to the queue.
 *
 * A full queue displaces a request from its lowest tier in use: the newest one
 * of the account with the most requests for its weight. It does so only if that
 * tier is below the new request's, or is the same and that account has more
 * requests for its weight than the new request's account would have. Requests
 * of tier 0 are never displaced.
 */
[[nodiscard]] offer_outcome Offer(queue& state,
                                  const options& settings,
                                  const queued_request& request);

/**
 * @brief Removes and returns the next request to serve.
 * @param lowest_tier Tiers with a greater number are not served.
 * @return Nothing if no request is queued in the served tiers.
 */
[[nodiscard]] std::optional<queued_request> Take(queue& state,
                                                 const options& settings,
                                                 mono_time now,
                                                 int lowest_tier);

/** @brief Returns the highest tier with a queued request, which has the
 * smallest number. */
[[nodiscard]] std::optional<int> HighestWaitingTier(const queue& state);

/** @brief Removes and returns every request whose deadline has passed. */
[[nodiscard]] std::vector<queued_request> RemoveExpired(queue& state,
                                                        mono_time now);

/** @brief Removes a request. @return True if it was queued. */
bool Remove(queue& state, std::uint64_t id);

/** @brief Removes and returns every request of one account. */
[[nodiscard]] std::vector<queued_request> RemoveAccount(
    queue& state,
    const std::string& account);

/**
 * @brief Corrects an account's service when the length of an answer is known.
 * @param tokens Produced tokens minus expected tokens.
 */
void CorrectService(queue& state,
                    int tier,
                    const std::string& account,
                    double tokens,
                    mono_time now);

/**
 * @brief Returns the expected tokens that are served before a new request.
 *
 * Counts all higher tiers, but of the same tier only what fair sharing serves
 * before the account's newest request, so that the backlog of one account
 * doesn't lengthen the predicted wait of another.
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
