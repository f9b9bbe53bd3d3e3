#ifndef LEASE_LEASE_H_
#define LEASE_LEASE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/time.h"
#include "infra/infra.h"
#include "lease/fwd.h"

namespace mimosadeck::lease {

/**
 * @brief When a contender may take a lease that its holder did not release.
 */
enum class takeover_rule {
  /** After the holder's counter stood still for term and margin. */
  after_expiry,
  /**
   * Besides, the holder's VM must be off the VM list or an operator must say
   * that it is gone. For targets that ignore fencing numbers.
   */
  after_vm_removal,
};

/** @brief Settings of one lease. */
struct options {
  std::string name;
  std::chrono::milliseconds term{3000};
  std::chrono::milliseconds margin{1000};
  std::chrono::milliseconds renew_interval{1000};
  std::chrono::milliseconds retry_interval{500};
  takeover_rule rule{takeover_rule::after_expiry};
};

/** @brief The lease row as the table service holds it. */
struct record {
  std::string holder;
  std::uint64_t fencing{};
  std::uint64_t counter{};
  bool released{};

  friend bool operator==(const record&, const record&) = default;
};

/** @brief Role of this process for one lease. */
enum class role { follower, holder };

/**
 * @brief State of one contender for one lease.
 *
 * The holder's time counts from the moment before the renewal was sent; a
 * contender trusts only how long it saw the counter unchanged on its own
 * clock.
 */
struct contender {
  std::string self;
  role current{role::follower};
  std::uint64_t fencing{};
  std::uint64_t row_version{};
  mono_time held_until;
  bool observed{};
  std::optional<record> last_record;
  mono_time seen_since;
  mono_time next_action;
  mono_time sent_at;
  std::optional<record> proposed;
  bool awaits_reply{};
  bool wants_release{};
  bool stopped{};
};

/**
 * @brief Takes note of time.
 * @param state Contender.
 * @param settings Lease settings.
 * @param now Present time.
 * @param holder_departed True if the VM of the holder seen last is off the VM
 * list, or an operator said that it is gone.
 * @return A request to send, if one is due and none is outstanding.
 */
[[nodiscard]] std::optional<infra::request> Tick(contender& state,
                                                 const options& settings,
                                                 mono_time now,
                                                 bool holder_departed);

/**
 * @brief Takes the reply to the request that Tick returned last.
 * @param now Present time.
 */
void OnReply(contender& state,
             const options& settings,
             const infra::reply& reply,
             mono_time now);

/**
 * @brief Tells whether this process may act under the lease now.
 *
 * Call it directly before each act.
 */
[[nodiscard]] bool IsHeld(const contender& state, mono_time now);

/**
 * @brief Returns the condition that ties a write to this holding.
 * @return Condition on the lease row; it fails once another holder took over.
 */
[[nodiscard]] infra::condition FencingCondition(const contender& state,
                                                const options& settings);

/**
 * @brief Asks to give the lease up and not to contend again.
 */
void Release(contender& state);

/** @brief Tells whether a release, once asked for, is complete. */
[[nodiscard]] bool IsReleased(const contender& state);

/** @brief Settings of acting for the whole fleet under a lease. */
struct acting_options {
  /**
   * End of the term in which no call is started. With the margin before a
   * takeover it covers the longest way of a call, its timeout of two seconds:
   * none arrives after a successor's.
   */
  std::chrono::milliseconds reserve{1000};
  /**
   * A holder that lost the lease does not act again for so long: the term, and
   * the longest way of its last call.
   */
  std::chrono::milliseconds cooldown{5000};
};

/**
 * @brief Decides when a contender may call targets that do not check fencing
 * numbers.
 *
 * Such targets take a former holder's late call for the newest, so that time
 * alone must keep the calls of two holders apart.
 */
struct acting_guard {
  /** A former process on this VM may have acted until it started. */
  mono_time resting_until;
  bool was_held{};
};

/** @brief Returns the guard of a process that starts now. */
[[nodiscard]] acting_guard StartGuard(const acting_options& settings,
                                      mono_time now);

/** @brief What has changed since the lease was looked at last. */
enum class lease_transition { none, acquired, lost };

/** @brief Takes note of the lease's state; call it after each change. */
lease_transition UpdateGuard(acting_guard& state,
                             const acting_options& settings,
                             const contender& lease,
                             mono_time now);

/** @brief Tells whether a call may be started now; ask directly before it. */
[[nodiscard]] bool MayAct(const acting_guard& state,
                          const acting_options& settings,
                          const contender& lease,
                          mono_time now);

/** @brief Returns the key of a lease's row. */
[[nodiscard]] std::string RowKey(std::string_view name);

/** @brief Writes a lease row's value. */
[[nodiscard]] std::string EncodeRecord(const record& value);

/** @brief Reads a lease row's value; nothing if it is not one. */
[[nodiscard]] std::optional<record> DecodeRecord(std::string_view text);

}  // namespace mimosadeck::lease

#endif  // LEASE_LEASE_H_
