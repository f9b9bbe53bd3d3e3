#ifndef APPS_MIMOSADECKD_ACCOUNTS_H_
#define APPS_MIMOSADECKD_ACCOUNTS_H_

#include <map>
#include <string>

#include "admission/admission.h"
#include "mimosadeckd/peers.h"
#include "usage/usage.h"

namespace mimosadeck::daemon {

/**
 * @brief Limits and usage of client accounts on one entry.
 */
class accounts {
 public:
  accounts(control_state& state, peers& peers);

  /** @brief Starts the periodic work. */
  void Start();

  /**
   * @brief Takes one request from an account's limits.
   * @return Zero if it may run; else when to come back.
   */
  [[nodiscard]] std::chrono::milliseconds Admit(
      const settings::account_settings& account,
      std::uint32_t expected_tokens);

  /** @brief Ends what Admit began. */
  void Leave(const std::string& account);

  /**
   * @brief Records usage and copies it to other entries.
   *
   * Returns once two others have the copy, or after a short time.
   */
  [[nodiscard]] asio::awaitable<void> Record(std::string account,
                                             usage::amounts used,
                                             std::uint32_t expected_tokens);

  /** @brief Writes this entry's ledger until the store has all of it. */
  [[nodiscard]] asio::awaitable<void> FlushAll();

 private:
  struct account_limits {
    admission::bucket requests;
    admission::bucket tokens;
    std::uint32_t running{};
    double requests_wanted{};
    double tokens_wanted{};
    double requests_limit{};
    double tokens_limit{};
  };

  asio::awaitable<void> FlushLoop();
  asio::awaitable<void> SharesLoop();
  asio::awaitable<bool> Flush(usage::ledger source, usage::flush& flush);
  asio::awaitable<void> FlushOrphans();
  asio::awaitable<bool> SendCopy(std::string member, wire::envelope message);
  asio::awaitable<void> CopyTo(std::string member,
                               usage::ledger_delta delta,
                               std::shared_ptr<net::one_shot<bool>> done,
                               std::shared_ptr<std::size_t> missing);
  [[nodiscard]] bool TakeCopy(const wire::usage_copy& copy);
  void TakeDemand(const wire::envelope& call);
  void TakeShares(const wire::limit_share& shares);
  [[nodiscard]] double PartWithoutOwner() const;

  control_state& state_;
  peers& peers_;
  usage::ledger ledger_;
  usage::flush flush_;
  std::uint64_t flushed_sequence_{};
  usage::copy_store copies_;
  /** Sequence that each holder has, as far as is known. */
  std::map<std::string, std::uint64_t> holder_sequence_;
  std::map<std::string, account_limits> limits_;
  std::map<std::string, admission::divided_limit> divided_requests_;
  std::map<std::string, admission::divided_limit> divided_tokens_;
};

}  // namespace mimosadeck::daemon

#endif  // APPS_MIMOSADECKD_ACCOUNTS_H_
