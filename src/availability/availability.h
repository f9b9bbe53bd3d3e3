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

/** @brief What shows that an upstream leaves, or is no longer there. */
enum class signal {
  /** An answer of the upstream says that it leaves. */
  announced,
  /** Another entry saw such an answer. */
  reported,
  /** Another upstream answers at its address. */
  replaced,
  /** It closes the connection after an answer, as sound ones do at times. */
  connection_closed,
};

/** @brief Settings of the book. */
struct options {
  /**
   * An upstream at whose address another one answers is left alone for so long:
   * the registry has dropped it by then, or the answer was wrong.
   */
  std::chrono::milliseconds replaced_for{10000};
  /** Answers in a row that close their connection before the upstream is
   * avoided; a single one is usual. */
  std::uint32_t closings_to_avoid{2};
  /** Others are preferred for so long after the last of these answers. */
  std::chrono::milliseconds avoided_for{1000};
  /** Longest pause that is granted at once; afterwards one request asks anew.
   */
  std::chrono::milliseconds longest_pause{60000};
  /** An incarnation that the registry no longer lists is forgotten after this
   * time without a sign. */
  std::chrono::milliseconds memory{120000};
};

/** @brief What one entry knows of one incarnation of an upstream. */
struct record {
  /** It takes no new work, and never will again. */
  bool leaving{};
  /** It takes no work before this time. */
  mono_time closed_until;
  /** Others are preferred before this time. */
  mono_time avoided_until;
  std::uint32_t closings_in_row{};
  mono_time last_sign;
};

/**
 * @brief Upstreams that do not take work though the registry lists them as
 * ready, by incarnation.
 *
 * Only incarnations with a sign against them have a record.
 */
struct record_table {
  std::map<std::string, record, std::less<>> by_incarnation;
};

/**
 * @brief Takes a sign against an upstream.
 * @return True if the upstream was not known to leave before, and now is.
 */
bool OnSignal(record_table& state,
              const options& settings,
              std::string_view incarnation,
              signal seen,
              mono_time now);

/** @brief Takes note of an answer that leaves its connection open. */
void OnConnectionKeptOpen(record_table& state, std::string_view incarnation);

/**
 * @brief Takes note that an upstream turned a request away and wants none from
 * this entry for a while.
 * @param pause Time that it asked for.
 * @return Time that is granted.
 */
std::chrono::milliseconds OnPauseRequested(record_table& state,
                                           const options& settings,
                                           std::string_view incarnation,
                                           std::chrono::milliseconds pause,
                                           mono_time now);

/** @brief Tells whether an upstream is known to leave. */
[[nodiscard]] bool IsLeaving(const record_table& state,
                             std::string_view incarnation);

/** @brief Returns the incarnations that are known to leave. */
[[nodiscard]] std::vector<std::string> Leaving(const record_table& state);

/**
 * @brief Forgets incarnations that the registry dropped long ago.
 * @param is_listed Tells whether the registry lists an incarnation.
 */
void Tick(record_table& state,
          const options& settings,
          const std::function<bool(std::string_view)>& is_listed,
          mono_time now);

}  // namespace mimosadeck::availability

#endif  // AVAILABILITY_AVAILABILITY_H_
