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

/** @brief Sets the value at one path, or removes it if `value` is unset. */
struct change {
  std::string path;
  std::optional<std::string> value;

  friend bool operator==(const change&, const change&) = default;
};

/**
 * @brief Changes that take effect together as one version.
 *
 * `nonce` is unique to one edit, so that after a lost reply the row can be read
 * back to tell whether this edit was written.
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
 * `values` maps each path to JSON text.
 */
struct document {
  std::uint64_t version{};
  std::map<std::string, std::string, std::less<>> values;

  friend bool operator==(const document&, const document&) = default;
};

/**
 * @brief Applies the change set that follows the version of a document.
 * @param target Document to change.
 * @param changes Changes whose version is the document's version plus one.
 * @return False if the version is not the next one; the document is then left
 * unchanged.
 */
[[nodiscard]] bool ApplyNext(document& target, const change_set& changes);

/**
 * @brief Looks up the value at a path.
 * @return The JSON text, or nullptr if the path is not set.
 */
[[nodiscard]] const std::string* FindValue(const document& source,
                                           std::string_view path);

/** @brief Encodes a change set as JSON. */
[[nodiscard]] std::string EncodeChangeSet(const change_set& value);

/** @brief Decodes a change set; fails with malformed_json. */
[[nodiscard]] result<change_set> DecodeChangeSet(std::string_view text);

/** @brief Encodes a document as JSON, for snapshots. */
[[nodiscard]] std::string EncodeDocument(const document& value);

/** @brief Decodes a document; fails with malformed_json. */
[[nodiscard]] result<document> DecodeDocument(std::string_view text);

}  // namespace mimosadeck::config

#endif  // CONFIG_DOCUMENT_H_
