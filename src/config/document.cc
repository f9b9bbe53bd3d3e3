#include "config/document.h"

#include <boost/json.hpp>

namespace mimosadeck::config {

namespace json = boost::json;

bool ApplyNext(document& target, const change_set& changes) {
  if (changes.version != target.version + 1) {
    return false;
  }
  for (const auto& item : changes.changes) {
    if (item.value) {
      target.values[item.path] = *item.value;
    } else {
      target.values.erase(item.path);
    }
  }
  target.version = changes.version;
  return true;
}

const std::string* FindValue(const document& source, std::string_view path) {
  const auto found = source.values.find(path);
  return found == source.values.end() ? nullptr : &found->second;
}

std::string EncodeChangeSet(const change_set& value) {
  json::array changes;
  for (const auto& item : value.changes) {
    json::object entry{{"path", item.path}};
    if (item.value) {
      entry["value"] = *item.value;
    }
    changes.push_back(std::move(entry));
  }
  return json::serialize(json::object{{"version", value.version},
                                      {"author", value.author},
                                      {"nonce", value.nonce},
                                      {"changes", std::move(changes)}});
}

result<change_set> DecodeChangeSet(std::string_view text) {
  try {
    const json::value parsed = json::parse(text);
    const json::object& object = parsed.as_object();
    change_set out;
    out.version = object.at("version").to_number<std::uint64_t>();
    out.author = json::value_to<std::string>(object.at("author"));
    out.nonce = json::value_to<std::string>(object.at("nonce"));
    for (const auto& item : object.at("changes").as_array()) {
      const json::object& entry = item.as_object();
      change next{json::value_to<std::string>(entry.at("path")), std::nullopt};
      if (const auto* text_value = entry.if_contains("value")) {
        next.value = json::value_to<std::string>(*text_value);
      }
      out.changes.push_back(std::move(next));
    }
    return out;
  } catch (const std::exception& failure) {
    return error{result_code::malformed_json, failure.what()};
  }
}

std::string EncodeDocument(const document& value) {
  json::object entries;
  for (const auto& [path, text] : value.values) {
    entries[path] = text;
  }
  return json::serialize(json::object{{"version", value.version},
                                      {"entries", std::move(entries)}});
}

result<document> DecodeDocument(std::string_view text) {
  try {
    const json::value parsed = json::parse(text);
    document out;
    out.version = parsed.at("version").to_number<std::uint64_t>();
    for (const auto& [path, value] : parsed.at("entries").as_object()) {
      out.values[path] = json::value_to<std::string>(value);
    }
    return out;
  } catch (const std::exception& failure) {
    return error{result_code::malformed_json, failure.what()};
  }
}

}  // namespace mimosadeck::config
