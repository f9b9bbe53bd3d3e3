#ifndef APPS_MIMOSADECKD_ACCOUNTS_H_
#define APPS_MIMOSADECKD_ACCOUNTS_H_

#include <map>
#include <string>

#include "admission/admission.h"
#include "mimosadeckd/peers.h"
#include "usage/usage.h"

namespace mimosadeck::daemon {

/**
 * @brief Enforces the limits of client accounts and records their usage.
 *
 * The rate limits of an account hold for the whole fleet: the account's owner
 * divides them among the entries by demand. The concurrency limit holds for
 * each entry. The usage ledger of this entry is copied to other entries and
 * flushed to the store; the holders of a copy flush it once its entry has
 * departed.
 */
class accounts {
 public:
  accounts(control_state& state, peers& peers);

  /** @brief Starts the flush and share update loops. */
  void Start();

  /**
   * @brief Charges one request to an account's limits.
   * @return Zero if the request is admitted, else the time to wait before a
   * retry.
   */
  [[nodiscard]] std::chrono::milliseconds Admit(
      const settings::account_settings& account,
      std::uint32_t expected_tokens);

  /** @brief Ends an admitted request, for the concurrency limit. */
  void EndRequest(const std::string& account);

  /**
   * @brief Records usage and copies the ledger to other entries.
   *
   * Returns once two other entries have the copy, or after 100 ms.
   * @param account Name of the account.
   * @param used Usage of one request.
   * @param expected_tokens Tokens charged on admission; the token limit is
   * corrected by the difference.
   */
  [[nodiscard]] asio::awaitable<void> Record(std::string account,
                                             usage::amounts used,
                                             std::uint32_t expected_tokens);

  /** @brief Flushes this entry's ledger until all of it is in the store. */
  [[nodiscard]] asio::awaitable<void> FlushAll();

 private:
  struct account_limits {
    admission::bucket requests;
    admission::bucket tokens;
    /** Admitted requests in progress. */
    std::uint32_t running{};
    /** Smoothed demand at this entry, per update interval. */
    double requests_demand{};
    double tokens_demand{};
    /** Configured fleet-wide limits per second; 0: none. */
    double requests_limit{};
    double tokens_limit{};
  };

  asio::awaitable<void> FlushLoop();
  asio::awaitable<void> UpdateSharesLoop();
  asio::awaitable<bool> Flush(usage::ledger source, usage::flush& flush);
  asio::awaitable<void> FlushOrphans();
  asio::awaitable<bool> SendCopy(std::string member, wire::envelope message);
  asio::awaitable<void> CopyTo(std::string member,
                               usage::ledger_delta delta,
                               std::shared_ptr<net::one_shot<bool>> done,
                               std::shared_ptr<std::size_t> pending_copies);
  [[nodiscard]] bool OnCopy(const wire::usage_copy& copy);
  void OnDemand(const wire::envelope& call);
  void ApplyShares(const wire::limit_share& shares);
  [[nodiscard]] double EqualShare() const;

  control_state& state_;
  peers& peers_;
  usage::ledger ledger_;
  usage::flush flush_;
  std::uint64_t flushed_sequence_{};
  /** Copies of other entries' ledgers. */
  usage::copy_store copies_;
  /** Sequence last copied to each holder, by incarnation. */
  std::map<std::string, std::uint64_t> copied_sequences_;
  std::map<std::string, account_limits> limits_;
  /** Limits divided by this entry as the owner of the account. */
  std::map<std::string, admission::divided_limit> divided_requests_;
  std::map<std::string, admission::divided_limit> divided_tokens_;
};

}  // namespace mimosadeck::daemon

#endif  // APPS_MIMOSADECKD_ACCOUNTS_H_
