#include "usage/ledger.h"

#include <boost/json.hpp>

namespace mimosadeck::usage {
namespace internal {
namespace {

flush_step ReadRow(const flush& state) {
  return infra::request{infra::read_row{LedgerRow(state.snapshot.incarnation)}};
}

flush_step WriteRow(const flush& state) {
  const std::string key = LedgerRow(state.snapshot.incarnation);
  infra::commit out;
  out.conditions.push_back({key, state.row_version});
  out.writes.push_back({key, EncodeLedger(state.snapshot)});
  return infra::request{out};
}

}  // namespace
}  // namespace internal

namespace json = boost::json;

void Record(ledger& state, const std::string& account, const amounts& used) {
  auto& total = state.used[account];
  total.requests += used.requests;
  total.prompt_tokens += used.prompt_tokens;
  total.completion_tokens += used.completion_tokens;
  ++state.sequence;
}

void OnCopy(copy_store& state, const ledger& copy) {
  auto& held = state.copies[copy.incarnation];
  if (copy.sequence >= held.sequence) {
    held = copy;
  }
}

ledger_delta LastDelta(const ledger& source, const std::string& account) {
  return {source.incarnation,
          source.sequence - 1,
          source.sequence,
          {{account, source.used.at(account)}}};
}

bool OnDelta(copy_store& state, const ledger_delta& delta) {
  const auto held = state.copies.find(delta.incarnation);
  if (held == state.copies.end()) {
    return false;
  }
  if (held->second.sequence >= delta.sequence) {
    return true;
  }
  if (held->second.sequence != delta.base) {
    return false;
  }
  for (const auto& [account, used] : delta.changed_totals) {
    held->second.used[account] = used;
  }
  held->second.sequence = delta.sequence;
  return true;
}

std::string LedgerRow(std::string_view incarnation) {
  return std::string(kLedgerPrefix).append(incarnation);
}

std::string EncodeLedger(const ledger& value) {
  json::object used;
  for (const auto& [account, item] : value.used) {
    used[account] =
        json::array{item.requests, item.prompt_tokens, item.completion_tokens};
  }
  return json::serialize(json::object{{"incarnation", value.incarnation},
                                      {"sequence", value.sequence},
                                      {"used", std::move(used)}});
}

std::optional<ledger> DecodeLedger(std::string_view text) {
  try {
    const json::value parsed = json::parse(text);
    ledger out;
    out.incarnation = json::value_to<std::string>(parsed.at("incarnation"));
    out.sequence = parsed.at("sequence").to_number<std::uint64_t>();
    for (const auto& [account, item] : parsed.at("used").as_object()) {
      const auto& fields = item.as_array();
      out.used[account] = {fields.at(0).to_number<std::uint64_t>(),
                           fields.at(1).to_number<std::uint64_t>(),
                           fields.at(2).to_number<std::uint64_t>()};
    }
    return out;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

flush_step BeginFlush(flush& state, const ledger& source) {
  state.snapshot = source;
  return state.has_row_version ? internal::WriteRow(state)
                               : internal::ReadRow(state);
}

flush_step OnFlushReply(flush& state, const infra::reply& reply) {
  if (const auto* done = std::get_if<infra::committed>(&reply)) {
    state.row_version = done->version;
    return flush_done{state.snapshot.sequence};
  }
  if (const auto* found = std::get_if<infra::row_found>(&reply)) {
    state.has_row_version = true;
    state.row_version = found->found.version;
    const auto stored = DecodeLedger(found->found.value);
    if (stored && stored->sequence >= state.snapshot.sequence) {
      return flush_done{stored->sequence};
    }
    return internal::WriteRow(state);
  }
  if (std::holds_alternative<infra::row_absent>(reply)) {
    state.has_row_version = true;
    state.row_version = 0;
    return internal::WriteRow(state);
  }
  state.has_row_version = false;
  if (std::holds_alternative<infra::conflict>(reply)) {
    return internal::ReadRow(state);
  }
  return flush_failed{};
}

}  // namespace mimosadeck::usage
