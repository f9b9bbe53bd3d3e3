#ifndef QUARANTINE_QUARANTINE_H_
#define QUARANTINE_QUARANTINE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace mimosadeck::quarantine {

/** @brief The crashes of one upstream, as one observer counts them. */
struct crash_count {
  std::uint64_t crashes{};
  mono_time last_at;
};

/** @brief Crashes that one observer has established, by upstream. */
struct crash_log {
  std::map<std::string, crash_count> by_upstream;
};

/** @brief Settings of the quarantine. */
struct options {
  /** Crashes as the only suspect on an upstream that condemn a request. */
  std::uint32_t crashes_alone_to_condemn{2};
  /** Crashes in whatever company that condemn a request. */
  std::uint32_t crashes_to_condemn{4};
  /** A suspect or condemned request is forgotten so long after its last crash.
   */
  std::chrono::milliseconds forget_after{600000};
  /**
   * Other entries are told of a suspect for so long after something new was
   * learned of it: several digests, since one may be lost. Condemned requests
   * are told of as long as they are known, for entries that come later.
   */
  std::chrono::milliseconds advertise_for{5000};
  /** Attempts that break off at one upstream within this time were ended by
   * one crash: an upstream takes seconds to start again. */
  std::chrono::milliseconds same_crash_window{1000};
  /** Suspects told at once, which take 1.5 KB of a datagram. */
  std::size_t max_advertised{16};
};

/** @brief What is known of one request's fingerprint. */
struct suspect {
  std::set<std::string> crashes;
  std::set<std::string> crashes_alone;
  /** Crashes that the request did not cause: it ran to its end afterwards. */
  std::set<std::string> cleared;
  bool condemned{};
  /** This entry has seen one of the crashes itself. */
  bool observed_locally{};
  /** Time of the newest crash. */
  mono_time crashed_at;
  /** When this entry last learned something new. */
  mono_time updated_at;
  /** Times that this entry has told of it since. */
  std::uint32_t times_advertised{};
};

/** @brief Suspects of all upstreams that one entry knows of. */
struct suspect_table {
  std::map<std::string, suspect> suspects;
};

/**
 * @brief Computes the fingerprint of a request.
 * @param account Client account that sends it.
 * @param body Body as sent.
 */
[[nodiscard]] std::string Fingerprint(std::string_view account,
                                      std::string_view body);

/**
 * @brief Computes the fingerprint of an HTTP request.
 *
 * A request with a body is the same whatever its query says; without one the
 * query tells requests apart.
 */
[[nodiscard]] std::string Fingerprint(std::string_view account,
                                      std::string_view method,
                                      std::string_view target,
                                      std::string_view body);

/**
 * @brief Names a crash by its upstream, its observer and its number.
 *
 * An upstream may start again under its name while nobody can tell the two
 * lives apart, so its name alone would count many crashes as one.
 *
 * @param at When the attempt broke off.
 */
[[nodiscard]] std::string AssignCrashId(crash_log& state,
                                        const options& settings,
                                        const std::string& upstream,
                                        std::string_view observer,
                                        mono_time at);

/**
 * @brief Takes note that an upstream crashed.
 * @param crash Identity of the crash; one that is reported again counts once.
 * @param running Fingerprints of the requests that ran on the upstream.
 * @return Fingerprints whose standing changed, to tell other entries.
 */
[[nodiscard]] std::vector<std::string> OnCrash(
    suspect_table& state,
    const options& settings,
    const std::string& crash,
    const std::set<std::string>& running,
    mono_time now);

/**
 * @brief Clears a suspect whose request ran to its end.
 *
 * Crashes known so far no longer count here, also if others tell of them again.
 */
void OnFinished(suspect_table& state, const std::string& fingerprint);

/**
 * @brief Takes over what another entry knows; crashes are counted once.
 *
 * What is known already is no news: it is not told again on this account, and
 * the suspect is not kept any longer.
 *
 * @param known Its `crashed_at` is in this entry's time.
 * @return True if the request is condemned now and was not before.
 */
bool Merge(suspect_table& state,
           const options& settings,
           const std::string& fingerprint,
           const suspect& known,
           mono_time now);

/** @brief A suspect with its fingerprint. */
using suspect_entry = std::map<std::string, suspect>::value_type;

/** @brief What an entry tells the others at one time. */
struct suspect_selection {
  std::vector<const suspect_entry*> selected;
  /** Suspects for which there was no room. */
  std::size_t omitted{};
};

/**
 * @brief Chooses the suspects to tell other entries of.
 *
 * Half of the room is for condemned requests, which are told of by turns, half
 * for suspects: those with the most crashes first, then those that this entry
 * has seen itself, then those told of least. What one half leaves the other
 * uses.
 */
[[nodiscard]] suspect_selection SelectSuspects(suspect_table& state,
                                               const options& settings,
                                               mono_time now);

/** @brief Returns the crashes that are put down to a request. */
[[nodiscard]] std::size_t CrashCount(const suspect_table& state,
                                     const std::string& fingerprint);

/** @brief Tells whether this entry itself has seen a crash of a request. */
[[nodiscard]] bool IsObservedLocally(const suspect_table& state,
                                     const std::string& fingerprint);

/** @brief Returns the number of requests that are refused. */
[[nodiscard]] std::size_t CondemnedCount(const suspect_table& state);

/** @brief Tells whether a request must be refused. */
[[nodiscard]] bool IsCondemned(const suspect_table& state,
                               const std::string& fingerprint);

/** @brief Returns the time for which a request is still refused; zero if it is
 * not. */
[[nodiscard]] std::chrono::milliseconds CondemnedTimeLeft(
    const suspect_table& state,
    const options& settings,
    const std::string& fingerprint,
    mono_time now);

/**
 * @brief Tells whether a request must run alone on its upstream, so that a
 * further crash shows whether it is the cause.
 */
[[nodiscard]] bool MustRunAlone(const suspect_table& state,
                                const std::string& fingerprint);

/** @brief Forgets old suspects. */
void Tick(suspect_table& state, const options& settings, mono_time now);

/** @brief Forgets upstreams whose last crash is long ago. */
void Tick(crash_log& state, const options& settings, mono_time now);

}  // namespace mimosadeck::quarantine

#endif  // QUARANTINE_QUARANTINE_H_
