#ifndef QUARANTINE_PROMPT_PARTS_H_
#define QUARANTINE_PROMPT_PARTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "quarantine/fwd.h"

namespace mimosadeck::quarantine {

/** @brief What one entry knows of a prompt part from its own requests. */
struct part_record {
  /** Requests of callers that held the part. */
  std::uint64_t requests{};
  /** Number of parts before it in the prompt, as last seen. */
  std::size_t depth{};
  /** When an upstream last served a request with it; unset if none did. */
  std::optional<mono_time> served_at;
  mono_time seen_at;
};

/**
 * @brief Returns the name of a prompt part among the suspects, which differs
 * from every fingerprint of a request.
 */
[[nodiscard]] std::string PartName(std::uint64_t part);

/** @brief Returns whether a suspect is a prompt part. */
[[nodiscard]] bool IsPart(std::string_view suspect);

/**
 * @brief Records that a request with these parts arrived.
 * @param parts Parts of its prompt in order.
 */
void OnPartsRequested(suspect_table& state,
                      const options& settings,
                      const std::vector<std::string>& parts,
                      mono_time now);

/**
 * @brief Records that an upstream served a request, or went on serving it for
 * longer than a crashing part would let it.
 *
 * Crashes known so far no longer count against these parts. A part that was
 * condemned is acquitted; other entries are told.
 *
 * @return The parts that were condemned.
 */
std::vector<std::string> OnPartsServed(suspect_table& state,
                                       const options& settings,
                                       const std::vector<std::string>& parts,
                                       mono_time now);

/**
 * @brief Records that an upstream crashed under a request with these parts.
 *
 * A part that a request since served is not blamed. If one of the parts is
 * condemned, it explains the crash and no other is blamed.
 *
 * @param crash Id of the crash, from AssignCrashId().
 * @param sent_at When the request was sent to the upstream.
 */
void OnPartsCrash(suspect_table& state,
                  const options& settings,
                  const std::string& crash,
                  const std::vector<std::string>& parts,
                  mono_time sent_at,
                  mono_time now);

/**
 * @brief Condemns the parts that enough crashes are attributed to.
 *
 * Of several at once the one with most crashes is condemned first, then the
 * deepest, then the rarest, and its crashes no longer count against any other
 * suspect: a part that most requests share was merely present. Parts of which
 * this entry knows nothing but the crashes are left to the entries that know
 * more.
 *
 * @return The parts condemned now.
 */
std::vector<std::string> CondemnParts(suspect_table& state,
                                      const options& settings);

/** @brief Clears all other suspects of the crashes of a condemned part. */
void ClearExplainedCrashes(suspect_table& state, const std::string& part);

/** @brief Returns whether a condemned part explains a crash. */
[[nodiscard]] bool IsExplained(const suspect_table& state,
                               std::string_view crash);

/** @brief Returns the first of some suspects that is condemned; nullptr if none
 * is. */
[[nodiscard]] const std::string* FindCondemned(
    const suspect_table& state,
    const std::vector<std::string>& suspects);

}  // namespace mimosadeck::quarantine

#endif  // QUARANTINE_PROMPT_PARTS_H_
