#ifndef QUARANTINE_QUARANTINE_H_
#define QUARANTINE_QUARANTINE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "quarantine/fwd.h"
#include "quarantine/prompt_parts.h"

namespace mimosadeck::quarantine {

/** @brief Crashes of one upstream, as counted by one observing entry. */
struct crash_count {
  std::uint64_t crashes{};
  /** Time of the first failure attributed to the newest crash. */
  mono_time last_at;
};

/** @brief Crashes that one observing entry has confirmed, by upstream. */
struct crash_log {
  std::map<std::string, crash_count> by_upstream;
};

/** @brief Limits and intervals of the quarantine. */
struct options {
  /** Crashes with no other request on the upstream that condemn a request. */
  std::uint32_t crashes_alone_to_condemn{2};
  /** Crashes that condemn a request, whatever else was running. */
  std::uint32_t crashes_to_condemn{4};
  /** Crashes that condemn a prompt part of which no request was served. */
  std::uint32_t crashes_to_condemn_part{4};
  /** The same for a part that was served before: crashes since then. */
  std::uint32_t crashes_to_condemn_served_part{5};
  /** The verdict of another entry on a part that was served here so shortly
   * before its last crash is not yet taken over. */
  std::chrono::milliseconds recent_service{2000};
  /** Prompt parts whose service is remembered. */
  std::size_t max_parts{8192};
  /** Retention of a suspect or condemned request after its last crash. */
  std::chrono::milliseconds forget_after{600000};
  /**
   * How long a suspect is advertised to other entries after its record last
   * changed. Spans several digests, since one may be lost. Condemned requests
   * are advertised for their whole retention, for entries that join later.
   */
  std::chrono::milliseconds advertise_for{5000};
  /** Attempts that fail at one upstream within this time are attributed to one
   * crash: an upstream takes seconds to restart. */
  std::chrono::milliseconds same_crash_window{1000};
  /** Suspects in one digest; they take 1.5 KB of a datagram. */
  std::size_t max_advertised{16};
};

/** @brief A request, or a prompt part of requests, that was running when an
 * upstream crashed. */
struct suspect {
  /** Ids of the crashes attributed to the request. */
  std::set<std::string> crashes;
  /** Those of them at which no other request was running. */
  std::set<std::string> crashes_alone;
  /** Crashes that the request did not cause: it completed afterwards. */
  std::set<std::string> cleared;
  /** Refused, because it crashes upstreams. */
  bool condemned{};
  /** An upstream served a request with this part after those crashes, which is
   * advertised like a suspicion. */
  std::optional<mono_time> acquitted_at;
  /** This entry observed one of the crashes, or the service that acquits,
   * itself. */
  bool observed_locally{};
  /** Time of the newest crash. */
  mono_time crashed_at;
  /** When this record last changed at this entry. */
  mono_time updated_at;
  /** Digests that included the suspect since `updated_at`. */
  std::uint32_t times_advertised{};
};

/** @brief Suspects that one entry holds, by fingerprint of the request or name
 * of the prompt part. */
struct suspect_table {
  std::map<std::string, suspect> suspects;
  /** Prompt parts of this entry's requests, by name. */
  std::map<std::string, part_record> parts;
};

/**
 * @brief Clears a suspect of the crashes known so far, and advertises it.
 * @param served_at When an upstream served a request with it.
 */
void Acquit(suspect& record, mono_time served_at, mono_time now);

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
 * The query of the target is ignored for requests with a body, and included
 * for those without one.
 *
 * @param target Request target with its query.
 */
[[nodiscard]] std::string Fingerprint(std::string_view account,
                                      std::string_view method,
                                      std::string_view target,
                                      std::string_view body);

/**
 * @brief Returns the id of a crash: its upstream, number and observing entry.
 *
 * An upstream may restart under the same name without a way to distinguish its
 * incarnations, so the name alone would count many crashes as one.
 *
 * @param observer Entry that observed the crash.
 * @param at When the attempt failed.
 */
[[nodiscard]] std::string AssignCrashId(crash_log& state,
                                        const options& settings,
                                        const std::string& upstream,
                                        std::string_view observer,
                                        mono_time at);

/**
 * @brief Records that an upstream crashed.
 * @param crash Id of the crash; repeated reports of it count once.
 * @param running Fingerprints of the requests that ran on the upstream.
 * @return Fingerprints of the changed suspects, to advertise to other entries.
 */
[[nodiscard]] std::vector<std::string> OnCrash(
    suspect_table& state,
    const options& settings,
    const std::string& crash,
    const std::set<std::string>& running,
    mono_time now);

/**
 * @brief Clears a suspect whose request completed.
 *
 * Crashes recorded so far no longer count at this entry, even if other entries
 * advertise them again. Has no effect on a condemned request.
 */
void OnFinished(suspect_table& state, const std::string& fingerprint);

/**
 * @brief Merges a suspect received from another entry; a crash counts once.
 *
 * A prompt part that was served after its last crash, here or at the sender, is
 * acquitted. Parts are condemned by CondemnParts(), since the crashes of one
 * must be compared with those of others.
 *
 * Receiving crashes that are already recorded neither restarts advertising of
 * the suspect nor extends its retention.
 *
 * @param received Its `crashed_at` is converted to this entry's clock.
 * @return True if this condemned the request.
 */
bool Merge(suspect_table& state,
           const options& settings,
           const std::string& fingerprint,
           const suspect& received,
           mono_time now);

/** @brief A suspect with its fingerprint. */
using suspect_entry = std::map<std::string, suspect>::value_type;

/** @brief Suspects chosen for one digest. */
struct suspect_selection {
  std::vector<const suspect_entry*> selected;
  /** Number of suspects left out because the digest was full. */
  std::size_t omitted{};
};

/**
 * @brief Selects the suspects to advertise in the next digest and counts the
 * advertisement in each.
 *
 * Half of the places are for condemned requests, half for other suspects;
 * either half uses places that the other leaves free. Suspects observed at this
 * entry come first, then the least advertised; among those not condemned, the
 * number of crashes takes precedence over both.
 */
[[nodiscard]] suspect_selection SelectSuspects(suspect_table& state,
                                               const options& settings,
                                               mono_time now);

/** @brief Returns the number of crashes attributed to a request. */
[[nodiscard]] std::size_t CrashCount(const suspect_table& state,
                                     const std::string& fingerprint);

/** @brief Returns true if this entry itself observed a crash of a request. */
[[nodiscard]] bool IsObservedLocally(const suspect_table& state,
                                     const std::string& fingerprint);

/** @brief Returns the number of condemned requests, without prompt parts. */
[[nodiscard]] std::size_t CondemnedCount(const suspect_table& state);

/** @brief Returns the number of condemned prompt parts. */
[[nodiscard]] std::size_t CondemnedPartCount(const suspect_table& state);

/** @brief Returns true if a request must be refused. */
[[nodiscard]] bool IsCondemned(const suspect_table& state,
                               const std::string& fingerprint);

/** @brief Returns how long a request remains condemned; zero if it is not. */
[[nodiscard]] std::chrono::milliseconds CondemnedTimeLeft(
    const suspect_table& state,
    const options& settings,
    const std::string& fingerprint,
    mono_time now);

/**
 * @brief Returns true if a request must run alone on its upstream, so that
 * another crash can be attributed to it.
 */
[[nodiscard]] bool MustRunAlone(const suspect_table& state,
                                const std::string& fingerprint);

/** @brief Removes suspects whose retention has expired. */
void Tick(suspect_table& state, const options& settings, mono_time now);

/** @brief Removes upstreams without a crash for `forget_after`. */
void Tick(crash_log& state, const options& settings, mono_time now);

}  // namespace mimosadeck::quarantine

#endif  // QUARANTINE_QUARANTINE_H_
