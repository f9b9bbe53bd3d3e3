#ifndef CONFIG_DOCUMENT_H_
#define CONFIG_DOCUMENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace mimosadeck::config {

/**
 * @brief Sets one entry of the configuration, or removes it.
 */
struct change {
  std::string path;
  std::optional<std::string> value;

  friend bool operator==(const change&, const change&) = default;
};

/**
 * @brief Changes that take effect together as one version.
 *
 * `nonce` is unique to one attempt of one operator, so that a lost reply can
 * be resolved by reading the row back.
 */
struct change_set {
  std::uint64_t version{};
  std::string author;
  std::string nonce;
  std::vector<change> changes;

  friend bool operator==(const change_set&, const change_set&) = default;
};

/**
 * @brief The whole configuration at one version.
 *
 * Entries map a path to JSON text.
 */
struct document {
  std::uint64_t version{};
  std::map<std::string, std::string, std::less<>> values;

  friend bool operator==(const document&, const document&) = default;
};

/**
 * @brief Applies the next version to a document.
 * @param target Document to change.
 * @param changes Changes whose version is the document's version plus one.
 * @return True if applied; false if the version is not the next one, in which
 * case the document is unchanged.
 */
[[nodiscard]] bool ApplyNext(document& target, const change_set& changes);

/**
 * @brief Looks up one entry.
 * @return The JSON text, or nullptr if the path is not set.
 */
[[nodiscard]] const std::string* FindValue(const document& source,
                                           std::string_view path);

/** @brief Writes a change set as JSON text. */
[[nodiscard]] std::string EncodeChangeSet(const change_set& value);

/** @brief Reads a change set; fails with malformed_json. */
[[nodiscard]] result<change_set> DecodeChangeSet(std::string_view text);

/** @brief Writes a document as JSON text, for snapshots. */
[[nodiscard]] std::string EncodeDocument(const document& value);

/** @brief Reads a document; fails with malformed_json. */
[[nodiscard]] result<document> DecodeDocument(std::string_view text);

}  // namespace mimosadeck::config

#endif  // CONFIG_DOCUMENT_H_
