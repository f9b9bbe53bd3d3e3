#ifndef AVAILABILITY_AVAILABILITY_H_
#define AVAILABILITY_AVAILABILITY_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "availability/fwd.h"
#include "base/time.h"

namespace mimosadeck::availability {

/** @brief Evidence that an upstream is leaving or no longer at its address. */
enum class signal {
  /** An answer of the upstream announces that it is leaving. */
  announced,
  /** Another entry reported that it is leaving. */
  reported,
  /** Its registration says that it is leaving. */
  registered,
  /** Another upstream answered at its address. */
  replaced,
  /** It closed the connection after an answer, which healthy upstreams also do
   * occasionally. */
  connection_closed,
};

/** @brief Pauses, limits and retention of availability records. */
struct options {
  /**
   * Pause of an upstream after another one answered at its address. By its end
   * the registry has dropped the upstream, or the answer was wrong.
   */
  std::chrono::milliseconds replaced_pause{10000};
  /** Consecutive answers that close their connection before the upstream is
   * avoided; a single one is normal. */
  std::uint32_t closings_to_avoid{2};
  /** How long other upstreams are preferred after the last such answer. */
  std::chrono::milliseconds avoid_period{1000};
  /** Longest pause granted to one answer; then a request tries the upstream
   * again. */
  std::chrono::milliseconds max_pause{60000};
  /** Time after the last signal at which the record of an incarnation that the
   * registry no longer lists is removed. */
  std::chrono::milliseconds retention{120000};
};

/** @brief Availability of one incarnation of an upstream, as seen by one
 * entry. */
struct record {
  /** It accepts no new work and never will again, whatever later answers or
   * registrations say: they may be old. */
  bool leaving{};
  /** It accepts no work before this time. */
  mono_time closed_until;
  /** Other upstreams are preferred before this time. */
  mono_time avoided_until;
  std::uint32_t consecutive_closings{};
  mono_time last_signal_at;
};

/**
 * @brief Availability of upstreams by incarnation, for those that may not
 * accept work although the registry lists them as ready.
 *
 * An incarnation has a record only after a signal or pause request.
 */
struct record_table {
  std::map<std::string, record, std::less<>> by_incarnation;
};

/**
 * @brief Records a signal about an upstream.
 * @return True if the signal marked the upstream as leaving for the first time.
 */
bool OnSignal(record_table& state,
              const options& settings,
              std::string_view incarnation,
              signal received,
              mono_time now);

/** @brief Records an answer that left its connection open, which ends a series
 * of closed connections. */
void OnConnectionKeptOpen(record_table& state, std::string_view incarnation);

/**
 * @brief Records that an upstream refused a request and asked this entry for a
 * pause.
 * @param pause Requested pause.
 * @return Granted pause, at most `max_pause`.
 */
std::chrono::milliseconds OnPauseRequested(record_table& state,
                                           const options& settings,
                                           std::string_view incarnation,
                                           std::chrono::milliseconds pause,
                                           mono_time now);

/** @brief Returns true if an upstream is leaving. */
[[nodiscard]] bool IsLeaving(const record_table& state,
                             std::string_view incarnation);

/** @brief Returns the incarnations that are leaving. */
[[nodiscard]] std::vector<std::string> Leaving(const record_table& state);

/**
 * @brief Removes expired records of incarnations that the registry no longer
 * lists.
 * @param is_listed Returns true if the registry lists an incarnation.
 */
void Tick(record_table& state,
          const options& settings,
          const std::function<bool(std::string_view)>& is_listed,
          mono_time now);

}  // namespace mimosadeck::availability

#endif  // AVAILABILITY_AVAILABILITY_H_
