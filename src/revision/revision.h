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
  /** Revisions kept besides the newest one; who missed more copies the whole
   * text. */
  std::size_t most_kept{8};
  /** Bytes of all revisions kept besides the newest one: a fortieth of the
   * memory of the smallest VM, 160 MB. */
  std::size_t most_bytes{4U << 20U};
  /** Largest text, in bytes, that a change may produce: as much as an entry
   * reads of another one's answer. */
  std::size_t most_text_bytes{16U << 20U};
};

/**
 * @brief The newest revisions of one text.
 *
 * Large texts change little from one revision to the next, so that a change
 * takes a small part of the bytes of the whole text.
 */
struct history {
  /** Texts by version. */
  std::map<std::uint64_t, std::string> texts;
  /** Compressed changes that lead to the newest text, by the version to which
   * they apply. */
  std::map<std::uint64_t, std::string> compressed;
};

/** @brief What leads from one revision to a newer one. */
struct change {
  /** Version to which it applies; 0 if it holds the whole text. */
  std::uint64_t since{};
  std::uint64_t version{};
  /** A zstd frame whose prefix is the text to which the change applies. */
  std::string content;
};

/** @brief Returns the newest version; 0 if there is none. */
[[nodiscard]] std::uint64_t NewestVersion(const history& state);

/** @brief Adds the newest revision; one that is not newer is ignored. */
void Add(history& state,
         const options& settings,
         std::uint64_t version,
         std::string text);

/**
 * @brief Returns what leads from a version to the newest one.
 *
 * The whole text is told if that version is not held. Results are kept until
 * the next revision, since many members ask for the same change.
 *
 * @return The change, or change_unreadable if there is no revision or it cannot
 * be compressed.
 */
[[nodiscard]] result<change> ChangeSince(history& state, std::uint64_t since);

/**
 * @brief Returns the text that a change produces.
 * @return The text, or change_unreadable if the change is damaged, too large,
 * or applies to a version that is not held.
 */
[[nodiscard]] result<std::string> Apply(const history& state,
                                        const options& settings,
                                        const change& received);

}  // namespace mimosadeck::revision

#endif  // REVISION_REVISION_H_
