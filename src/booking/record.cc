#include "booking/record.h"

#include <boost/json.hpp>

#include "base/digest.h"

namespace mimosadeck::booking {
namespace internal {
namespace {

namespace json = boost::json;

json::array EncodeStrings(const std::vector<std::string>& values) {
  json::array out;
  for (const auto& value : values) {
    out.emplace_back(value);
  }
  return out;
}

std::vector<std::string> DecodeStrings(const json::value& value) {
  return json::value_to<std::vector<std::string>>(value);
}

}  // namespace
}  // namespace internal

namespace json = boost::json;

std::string RecordKey(std::string_view account,
                      std::string_view idempotency_key) {
  std::string out(account);
  out.push_back('/');
  out.append(Sha256Hex(idempotency_key));
  return out;
}

std::uint32_t ShardOf(std::string_view record_key) {
  return static_cast<std::uint32_t>(Hash64(record_key) % kShardCount);
}

std::string ShardRowKey(std::uint32_t shard) {
  return "booking/shard/" + std::to_string(shard);
}

std::string RecordPrefix(std::uint32_t shard) {
  return "booking/record/" + std::to_string(shard) + "/";
}

std::string EncodeRecord(const record& value) {
  return json::serialize(json::object{{"key", value.key},
                                      {"digest", value.digest},
                                      {"nonce", value.nonce},
                                      {"executor", value.executor},
                                      {"state", static_cast<int>(value.state)},
                                      {"answer", value.answer}});
}

std::optional<record> DecodeRecord(std::string_view text) {
  try {
    const json::value parsed = json::parse(text);
    record out;
    out.key = json::value_to<std::string>(parsed.at("key"));
    out.digest = json::value_to<std::string>(parsed.at("digest"));
    out.nonce = json::value_to<std::string>(parsed.at("nonce"));
    out.executor = json::value_to<std::string>(parsed.at("executor"));
    out.state = static_cast<record_state>(parsed.at("state").to_number<int>());
    out.answer = json::value_to<std::string>(parsed.at("answer"));
    return out;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::string EncodeShardRow(const shard_row& value) {
  return json::serialize(
      json::object{{"owner", value.owner},
                   {"epoch", value.epoch},
                   {"holders", internal::EncodeStrings(value.holders)},
                   {"former", internal::EncodeStrings(value.former_holders)},
                   {"former_epoch", value.former_epoch},
                   {"recovering", value.recovering},
                   {"uncertain", value.uncertain},
                   {"released", value.released}});
}

std::optional<shard_row> DecodeShardRow(std::string_view text) {
  try {
    const json::value parsed = json::parse(text);
    shard_row out;
    out.owner = json::value_to<std::string>(parsed.at("owner"));
    out.epoch = parsed.at("epoch").to_number<std::uint64_t>();
    out.holders = internal::DecodeStrings(parsed.at("holders"));
    out.former_holders = internal::DecodeStrings(parsed.at("former"));
    out.former_epoch = parsed.at("former_epoch").to_number<std::uint64_t>();
    out.recovering = parsed.at("recovering").as_bool();
    out.uncertain = parsed.at("uncertain").as_bool();
    out.released = parsed.at("released").as_bool();
    return out;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace mimosadeck::booking
