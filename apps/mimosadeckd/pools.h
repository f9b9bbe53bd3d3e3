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

/** @brief A request for a slot of an upstream. */
struct slot_request {
  /** Model or service to run on. */
  std::string name;
  std::string account;
  std::string class_name;
  double weight{1};
  int tier{};
  std::uint32_t expected_tokens{};
  std::chrono::milliseconds max_wait{};
  std::string fingerprint;
  /** Hash of the start of the prompt; 0 if unknown. */
  std::uint64_t prefix{};
  /** The request can continue on another upstream. */
  bool resumable{};
  /** The request continues after an earlier attempt. */
  bool resumed{};
  /** An attempt after a failure; charged to the retry budget. */
  bool retry{};
  /** Upstreams on which the request has failed. */
  std::set<std::string> avoid;
  std::string key_hash;
  std::string traceparent;
};

/**
 * @brief A slot that this entry holds: the right to run one request on an
 * upstream.
 */
struct slot {
  std::uint64_t request{};
  /** Number that the owner of the pool gave to the grant. */
  std::uint64_t grant{};
  std::string pool;
  /** Entry that owns the pool. */
  std::string owner;
  std::string upstream;
  std::string address;
  /** Set once the pool's owner has preempted the request. */
  std::shared_ptr<std::atomic<bool>> preempted;
};

/** @brief Reason why no slot was granted; the request was not run. */
struct slot_refusal {
  result_code code{result_code::no_upstream};
  std::chrono::milliseconds retry_after{};
};

/** @brief The granted slot, or the reason for the refusal. */
using slot_result = std::variant<slot, slot_refusal>;

/** @brief How the request in a slot ended. */
struct slot_ending {
  dispatch::ending how{dispatch::ending::finished};
  /** Tokens that the upstream produced. */
  std::uint32_t tokens{};
};

/**
 * @brief Acquires slots for this entry's requests, and grants the slots of the
 * pools that this entry owns.
 *
 * A pool holds the upstreams of one model or service in one data centre. One
 * entry owns it and grants its slots to all entries.
 */
class pools {
 public:
  pools(control_state& state, peers& peers, opentracing::Tracer& tracer);

  /** @brief Starts the dispatch, reconciliation and load polling loops. */
  void Start();

  /**
   * @brief Waits until a slot is granted or refused.
   * @param wanted The slot needed.
   * @param cancelled Set once the caller has disconnected.
   */
  [[nodiscard]] asio::awaitable<slot_result> Acquire(
      slot_request wanted,
      std::shared_ptr<std::atomic<bool>> cancelled);

  /** @brief Returns a slot to the owner of its pool. */
  void Release(const slot& held, slot_ending ending);

  /** @brief Refuses waiting requests whose keys were withdrawn. */
  void OnConfigChange();

  /**
   * @brief Records the crash of an upstream.
   *
   * Requests known to have run there become suspects and may be condemned.
   * @param held Slot at the upstream.
   * @param fingerprint Fingerprint of the request in that slot.
   */
  void OnCrash(const slot& held, const std::string& fingerprint);

  /** @brief Clears the suspicion against a request that ran to its end. */
  void OnFinished(const std::string& fingerprint);

  /** @brief Returns the state of the owned pools as JSON, for operators. */
  [[nodiscard]] std::string Describe() const;

 private:
  /** A pool whose slots this entry grants. */
  struct owned_pool {
    dispatch::pool pool;
    std::string data_centre;
  };
  /** A request of this entry that awaits a slot. */
  struct pending_acquire {
    std::shared_ptr<net::one_shot<slot_result>> answer;
    slot_request wanted;
    std::string pool;
  };
  /** A pool to request a slot from, and the entry that owns it. */
  struct pool_owner {
    std::string pool;
    std::string data_centre;
    std::string owner;
  };

  asio::awaitable<void> TickLoop();
  asio::awaitable<void> ReconcileLoop();
  asio::awaitable<void> PollLoadLoop();
  asio::awaitable<void> PollLoad(std::string pool,
                                 std::string upstream,
                                 std::string address);
  asio::awaitable<slot_result> AcquireFromAny(
      slot_request wanted,
      mono_time deadline,
      std::shared_ptr<std::atomic<bool>> cancelled);
  asio::awaitable<slot_result> AcquireFrom(
      pool_owner target,
      slot_request wanted,
      std::shared_ptr<std::atomic<bool>> cancelled);
  void UpdateOwned();
  [[nodiscard]] std::vector<pool_owner> RankPools(
      const std::string& name) const;
  [[nodiscard]] owned_pool& FindOrAddOwned(const std::string& name);
  void OnGrantRequest(const wire::envelope& call);
  void OnGrantRelease(const wire::envelope& message);
  void OnGrantsInUse(const wire::envelope& message);
  void OnSuspicion(const wire::envelope& message);
  void Perform(const std::string& pool,
               const std::vector<dispatch::action>& actions);
  void SendResult(const std::string& entry,
                  const std::string& pool,
                  std::uint64_t request,
                  const slot_result& answer);
  void CompleteWait(std::uint64_t request, const slot_result& answer);
  void OnGrantReply(const wire::envelope& message);
  void Preempt(std::uint64_t request);
  [[nodiscard]] bool IsKeyValid(const std::string& key_hash) const;
  void SendSuspicion(const std::vector<std::string>& fingerprints);

  control_state& state_;
  peers& peers_;
  opentracing::Tracer& tracer_;
  dispatch::options options_;
  std::map<std::string, answer::retry_budget> retry_budgets_;
  /** Spans of waiting requests, by entry and request. */
  std::map<std::pair<std::string, std::uint64_t>,
           std::unique_ptr<opentracing::Span>>
      spans_;
  quarantine::options quarantine_options_;
  quarantine::suspect_table quarantine_;
  std::map<std::string, owned_pool> owned_;
  std::map<std::uint64_t, pending_acquire> pending_;
  /** Slots held by this entry, by request. */
  std::map<std::uint64_t, slot> held_;
  std::map<std::uint64_t, std::string> held_fingerprints_;
  /** Wait that each pool gave with its last refusal. */
  std::map<std::string, std::chrono::milliseconds> reported_waits_;
  net::http_client load_client_;
  std::uint64_t next_request_{1};
};

}  // namespace mimosadeck::daemon

#endif  // APPS_MIMOSADECKD_POOLS_H_
