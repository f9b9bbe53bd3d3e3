#ifndef APPS_MIMOSADECKD_POOLS_H_
#define APPS_MIMOSADECKD_POOLS_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "answer/answer.h"
#include "dispatch/dispatch.h"
#include "mimosadeckd/peers.h"
#include "quarantine/quarantine.h"

namespace mimosadeck::daemon {

/** @brief What a request needs of an upstream. */
struct slot_request {
  std::string name;
  std::string account;
  std::string class_name;
  double weight{1};
  int tier{};
  std::uint32_t expected_tokens{};
  std::chrono::milliseconds max_wait{};
  std::string fingerprint;
  std::uint64_t prefix{};
  bool resumable{};
  bool resumed{};
  /** True for another attempt after a failure; taken from the retry budget. */
  bool retry{};
  std::set<std::string> avoid;
  std::string key_hash;
  std::string traceparent;
};

/** @brief A slot that this entry holds. */
struct slot {
  std::uint64_t request{};
  std::uint64_t grant{};
  std::string pool;
  std::string owner;
  std::string upstream;
  std::string address;
  /** Set when the pool's owner wants the slot back. */
  std::shared_ptr<std::atomic<bool>> preempted;
};

/** @brief Why there is no slot; the request was not run for want of one. */
struct slot_refusal {
  result_code code{result_code::no_upstream};
  std::chrono::milliseconds retry_after{};
};

/** @brief A slot or a refusal. */
using slot_result = std::variant<slot, slot_refusal>;

/** @brief How the work in a slot ended. */
struct slot_ending {
  dispatch::ending how{dispatch::ending::finished};
  std::uint32_t tokens{};
};

/**
 * @brief Gives out slots of the pools this entry owns, and asks the owners of
 * other pools for theirs.
 */
class pools {
 public:
  pools(control& state, peers& links, opentracing::Tracer& tracer);

  /** @brief Starts the periodic work. */
  void Start();

  /**
   * @brief Waits for a slot.
   * @param wanted What is needed.
   * @param cancelled Set by the caller of the request when it is gone.
   */
  [[nodiscard]] asio::awaitable<slot_result> Acquire(
      slot_request wanted,
      std::shared_ptr<std::atomic<bool>> cancelled);

  /** @brief Gives a slot back. */
  void Release(const slot& held, slot_ending ending);

  /** @brief Refuses what waits under keys that are no longer good. */
  void OnConfiguration();

  /** @brief Takes note of a crash; it may condemn what ran there. */
  void OnCrash(const slot& held, const std::string& fingerprint);

  /** @brief Clears a request that ran to its end. */
  void OnFinished(const std::string& fingerprint);

  /** @brief Writes what operators may see. */
  [[nodiscard]] std::string Describe() const;

 private:
  struct owned {
    dispatch::pool pool;
    std::string data_centre;
  };
  struct local_wait {
    std::shared_ptr<net::one_shot<slot_result>> answer;
    slot_request wanted;
    std::string pool;
  };
  struct choice {
    std::string pool;
    std::string data_centre;
    std::string owner;
  };

  asio::awaitable<void> TickLoop();
  asio::awaitable<void> ReconcileLoop();
  asio::awaitable<void> LoadLoop();
  asio::awaitable<void> ReadLoad(std::string pool,
                                 std::string upstream,
                                 std::string address);
  asio::awaitable<slot_result> AcquireFromAny(
      slot_request wanted,
      mono_time deadline,
      std::shared_ptr<std::atomic<bool>> cancelled);
  asio::awaitable<slot_result> AcquireFrom(
      choice target,
      slot_request wanted,
      std::shared_ptr<std::atomic<bool>> cancelled);
  void UpdateOwned();
  [[nodiscard]] std::vector<choice> Choices(const std::string& name) const;
  [[nodiscard]] owned& OwnedPool(const std::string& name);
  void TakeRequest(const wire::envelope& call);
  void TakeRelease(const wire::envelope& message);
  void TakeInUse(const wire::envelope& message);
  void TakeSuspicion(const wire::envelope& message);
  void Perform(const std::string& pool,
               const std::vector<dispatch::action>& actions);
  void AnswerEntry(const std::string& entry,
                   const std::string& pool,
                   std::uint64_t request,
                   const slot_result& answer);
  void AnswerLocal(std::uint64_t request, const slot_result& answer);
  void TakeGrantReply(const wire::envelope& message);
  void Preempt(std::uint64_t request);
  [[nodiscard]] bool IsKeyGood(const std::string& key_hash) const;
  void ShareSuspicion(const std::vector<std::string>& fingerprints);

  control& state_;
  peers& links_;
  opentracing::Tracer& tracer_;
  dispatch::options options_;
  std::map<std::string, answer::retry_budget> retry_budgets_;
  std::map<std::pair<std::string, std::uint64_t>,
           std::unique_ptr<opentracing::Span>>
      spans_;
  quarantine::options quarantine_options_;
  quarantine::suspect_table ward_;
  std::map<std::string, owned> owned_;
  std::map<std::uint64_t, local_wait> waits_;
  std::map<std::uint64_t, slot> held_;
  std::map<std::uint64_t, std::string> held_fingerprints_;
  std::map<std::string, std::chrono::milliseconds> known_waits_;
  net::http_client load_client_;
  std::uint64_t next_request_{1};
};

}  // namespace mimosadeck::daemon

#endif  // APPS_MIMOSADECKD_POOLS_H_
