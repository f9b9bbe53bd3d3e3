#ifndef REVISION_REVISION_H_
#define REVISION_REVISION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "base/result.h"
#include "revision/fwd.h"

namespace mimosadeck::revision {

/** @brief Settings of a history. */
struct options {
  /** Revisions kept besides the newest one. A receiver that is further behind
   * gets the whole text. */
  std::size_t max_revisions{8};
  /** Total size, in bytes, of the revisions kept besides the newest one: 1/40
   * of the memory of the smallest VM, 160 MB. */
  std::size_t max_bytes{4U << 20U};
  /** Largest text, in bytes, that a change may produce. It equals the limit for
   * answers that entries read from each other. */
  std::size_t max_text_bytes{16U << 20U};
};

/**
 * @brief The newest revisions of one text.
 *
 * Consecutive revisions of a large text differ little, so that a change is much
 * smaller than the whole text.
 */
struct history {
  /** Texts by version. */
  std::map<std::uint64_t, std::string> texts;
  /** Cache of compressed changes to the newest text, by the version to which
   * they apply. */
  std::map<std::uint64_t, std::string> compressed;
};

/** @brief Difference between a revision and a newer one. */
struct change {
  /** Version to which the change applies; 0 if it holds the whole text. */
  std::uint64_t since{};
  /** Version that it produces. */
  std::uint64_t version{};
  /** A zstd frame that uses the text of version `since` as its prefix. */
  std::string content;
};

/** @brief Returns the newest version; 0 if there is none. */
[[nodiscard]] std::uint64_t NewestVersion(const history& state);

/** @brief Adds the newest revision; does nothing if it is not newer than the
 * stored ones. */
void Add(history& state,
         const options& settings,
         std::uint64_t version,
         std::string text);

/**
 * @brief Returns the change from a version to the newest one.
 *
 * If the history does not have that version, the change holds the whole text.
 * Results are cached until the next revision is added, since many members
 * request the same change.
 *
 * @return The change, or change_unreadable if the history is empty or the
 * change cannot be compressed.
 */
[[nodiscard]] result<change> ChangeSince(history& state, std::uint64_t since);

/**
 * @brief Returns the text that a change produces.
 * @return The text, or change_unreadable if the change is damaged, too large,
 * or applies to a version that the history does not have.
 */
[[nodiscard]] result<std::string> Apply(const history& state,
                                        const options& settings,
                                        const change& received);

}  // namespace mimosadeck::revision

#endif  // REVISION_REVISION_H_
