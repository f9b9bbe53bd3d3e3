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
 * @brief When a contender may take over a lease that its holder did not
 * release.
 */
enum class takeover_rule {
  /** After the counter of the lease row has not changed for term and margin. */
  after_expiry,
  /**
   * As after_expiry, and only once the holder's VM is off the VM list or an
   * operator has declared it gone. For targets that ignore fencing numbers.
   */
  after_vm_removal,
};

/** @brief Settings of one lease. */
struct options {
  std::string name;
  /** Time for which a renewal extends the lease, from when it was sent. */
  std::chrono::milliseconds term{3000};
  /** Time that a contender waits after the term before it takes over. */
  std::chrono::milliseconds margin{1000};
  /** Interval at which the holder renews the lease. */
  std::chrono::milliseconds renew_interval{1000};
  /** Interval at which a follower reads the lease row or retries. */
  std::chrono::milliseconds retry_interval{500};
  takeover_rule rule{takeover_rule::after_expiry};
};

/** @brief Value of the lease row in the table service. */
struct record {
  std::string holder;
  /** Fencing number of the holder; until its first renewal, that of the former
   * holder, since the store determines the number of a takeover. */
  std::uint64_t fencing{};
  /** Increases with each renewal. */
  std::uint64_t counter{};
  /** The holder gave up the lease. */
  bool released{};

  friend bool operator==(const record&, const record&) = default;
};

/** @brief Role of this process for one lease. */
enum class role { follower, holder };

/**
 * @brief State of one contender for one lease.
 *
 * A contender does not compare clocks with the holder: the holder's term starts
 * before it sends the renewal, and the contender measures on its own clock how
 * long the row has not changed.
 */
struct contender {
  /** Name of this contender in the lease row. */
  std::string self;
  role current{role::follower};
  /**
   * Fencing number of the lease that this process acquired last: the version of
   * the write that acquired it. No other takeover has the same version, and
   * each one has a higher version than those before it, whatever has become of
   * the lease row in between, so that targets can reject calls of former
   * holders.
   */
  std::uint64_t fencing{};
  /** The lease row existed when this process acquired the lease. */
  bool has_predecessor{};
  std::uint64_t row_version{};
  /** End of the term; only set for the holder. */
  mono_time held_until;
  /** The lease row, or its absence, was read since the last conflict. */
  bool has_read_row{};
  /** The lease row as last read or written; unset if it does not exist. */
  std::optional<record> last_record;
  /** Start of the time for which this contender saw the row unchanged. */
  mono_time unchanged_since;
  mono_time next_request_at;
  /** When the outstanding or last request was sent. */
  mono_time sent_at;
  /** Value that the outstanding request writes. */
  std::optional<record> proposed;
  bool awaits_reply{};
  bool wants_release{};
  /** The release is complete; the contender sends no more requests. */
  bool stopped{};
};

/**
 * @brief Advances the contender to the current time.
 * @param state Contender.
 * @param settings Lease settings.
 * @param now Current time.
 * @param is_holder_gone True if the VM of the last known holder is off the VM
 * list, or an operator has declared it gone.
 * @return A request to send, if one is due and none is outstanding.
 */
[[nodiscard]] std::optional<infra::request> Tick(contender& state,
                                                 const options& settings,
                                                 mono_time now,
                                                 bool is_holder_gone);

/**
 * @brief Processes the reply to the last request that Tick returned.
 * @param now Current time.
 */
void OnReply(contender& state,
             const options& settings,
             const infra::reply& reply,
             mono_time now);

/**
 * @brief Tells whether this process may act under the lease now.
 *
 * Call it immediately before each action.
 */
[[nodiscard]] bool IsHeld(const contender& state, mono_time now);

/**
 * @brief Returns a condition that makes a write fail once the lease is lost.
 * @return Condition on the lease row; it fails after another holder's takeover.
 */
[[nodiscard]] infra::condition FencingCondition(const contender& state,
                                                const options& settings);

/**
 * @brief Requests that the lease be released and not be contended for again.
 */
void Release(contender& state);

/** @brief Tells whether a requested release is complete. */
[[nodiscard]] bool IsReleased(const contender& state);

/** @brief Settings for calls that a holder makes for the whole fleet. */
struct acting_options {
  /**
   * Last part of the term, in which no call is started. Together with the
   * takeover margin it covers the longest duration of a call, its timeout of
   * two seconds, so that no call arrives after one of the next holder.
   */
  std::chrono::milliseconds reserve{1000};
  /**
   * Time for which a holder that lost the lease does not act again: the term
   * and the longest duration of its last call.
   */
  std::chrono::milliseconds cooldown{5000};
};

/**
 * @brief Decides when a contender may call targets that do not check fencing
 * numbers.
 *
 * Such a target would take a late call of a former holder for the newest one.
 * Only time can keep the calls of two holders apart.
 */
struct acting_guard {
  /** Initially covers a former process on this VM, which may have acted until
   * this one started. */
  mono_time cooldown_until;
  bool was_held{};
};

/** @brief Returns the guard of a process that starts now. */
[[nodiscard]] acting_guard StartGuard(const acting_options& settings,
                                      mono_time now);

/**
 * @brief Gives the lease up after the store has returned from an older copy,
 * which may lack this process's takeover or that of another one.
 *
 * Call it whether or not the lease is held: no contender acts until the term of
 * every former holder has ended.
 */
void OnStoreReturned(contender& state,
                     acting_guard& guard,
                     const acting_options& settings,
                     mono_time now);

/** @brief Change of the lease since the last call of UpdateGuard. */
enum class lease_transition { none, acquired, lost };

/** @brief Updates the guard; call it after each change of the lease. */
lease_transition UpdateGuard(acting_guard& state,
                             const acting_options& settings,
                             const contender& lease,
                             mono_time now);

/** @brief Tells whether a call may be started now; check immediately before
 * it. */
[[nodiscard]] bool MayAct(const acting_guard& state,
                          const acting_options& settings,
                          const contender& lease,
                          mono_time now);

/** @brief Returns the key of a lease's row. */
[[nodiscard]] std::string RowKey(std::string_view name);

/** @brief Encodes the value of a lease row as JSON. */
[[nodiscard]] std::string EncodeRecord(const record& value);

/** @brief Decodes the value of a lease row; returns nothing if it is not a JSON
 * object. */
[[nodiscard]] std::optional<record> DecodeRecord(std::string_view text);

}  // namespace mimosadeck::lease

#endif  // LEASE_LEASE_H_
