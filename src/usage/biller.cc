#include "usage/biller.h"

#include <boost/json.hpp>

namespace mimosadeck::usage {
namespace internal {
namespace {

namespace json = boost::json;

std::string EncodeHead(const billing_head& value) {
  return json::serialize(
      json::object{{"frozen", value.frozen}, {"reported", value.reported}});
}

billing_head DecodeHead(std::string_view text) {
  const json::value parsed = json::parse(text);
  return {parsed.at("frozen").to_number<std::uint64_t>(),
          parsed.at("reported").to_number<std::uint64_t>()};
}

json::object EncodeTotals(const totals& value) {
  json::object out;
  for (const auto& [account, item] : value) {
    out[account] = json::object{{"requests", item.requests},
                                {"prompt_tokens", item.prompt_tokens},
                                {"completion_tokens", item.completion_tokens}};
  }
  return out;
}

totals DecodeTotals(const json::value& value) {
  totals out;
  for (const auto& [account, item] : value.as_object()) {
    out[account] = {item.at("requests").to_number<std::uint64_t>(),
                    item.at("prompt_tokens").to_number<std::uint64_t>(),
                    item.at("completion_tokens").to_number<std::uint64_t>()};
  }
  return out;
}

infra::request ScanNextLedgers(const biller& state) {
  return infra::scan_rows{std::string(kLedgerPrefix), state.scan_after,
                          state.ledgers_per_scan};
}

billing_action OnHead(biller& state,
                      const infra::reply& reply,
                      bool window_due) {
  state.head = {};
  state.head_version = 0;
  if (const auto* found = std::get_if<infra::row_found>(&reply)) {
    state.head = DecodeHead(found->found.value);
    state.head_version = found->found.version;
  } else if (!std::holds_alternative<infra::row_absent>(reply)) {
    return billing_done{};
  }
  if (state.head.reported < state.head.frozen) {
    state.step = billing_step::read_window;
    state.window = state.head.reported + 1;
    return infra::request{infra::read_row{WindowRow(state.window)}};
  }
  if (!window_due) {
    return billing_done{};
  }
  state.step = billing_step::scan_ledgers;
  state.ledgers.clear();
  state.scan_after = kLedgerPrefix;
  return ScanNextLedgers(state);
}

billing_action OnLedgers(biller& state, const infra::reply& reply) {
  const auto* page = std::get_if<infra::rows_page>(&reply);
  if (!page) {
    return billing_done{};
  }
  for (const auto& row : page->rows) {
    state.scan_after = row.key;
    if (auto decoded = DecodeLedger(row.value)) {
      state.ledgers.push_back(std::move(*decoded));
    }
  }
  if (page->more) {
    return ScanNextLedgers(state);
  }
  state.step = billing_step::read_watermarks;
  return infra::request{infra::read_row{std::string(kWatermarksRow)}};
}

billing_action OnWatermarks(biller& state,
                            const infra::reply& reply,
                            const infra::condition& lease) {
  billing_watermarks watermarks;
  if (const auto* found = std::get_if<infra::row_found>(&reply)) {
    const auto decoded = DecodeWatermarks(found->found.value);
    if (!decoded) {
      return billing_done{};
    }
    watermarks = *decoded;
  } else if (!std::holds_alternative<infra::row_absent>(reply)) {
    return billing_done{};
  }
  const totals window_totals = ComputeNextWindow(state.ledgers, watermarks);
  if (window_totals.empty()) {
    return billing_done{};
  }
  billing_head next = state.head;
  ++next.frozen;
  state.step = billing_step::freeze;
  infra::commit out;
  out.conditions = {lease, {std::string(kHeadRow), state.head_version}};
  out.writes = {
      {std::string(kHeadRow), EncodeHead(next)},
      {std::string(kWatermarksRow), EncodeWatermarks(watermarks)},
      {WindowRow(next.frozen), EncodeReport(next.frozen, window_totals)}};
  return infra::request{out};
}

billing_action OnWindow(biller& state,
                        const infra::reply& reply,
                        std::uint64_t fencing) {
  const auto* found = std::get_if<infra::row_found>(&reply);
  if (!found) {
    return billing_done{};
  }
  state.step = billing_step::report;
  state.report = found->found.value;
  return billing_report{{WindowName(state.window), fencing, state.report}};
}

billing_action OnReported(biller& state,
                          const infra::reply& reply,
                          const infra::condition& lease) {
  if (const auto* refusal = std::get_if<infra::report_refused>(&reply)) {
    return billing_refused{WindowName(state.window), refusal->reason};
  }
  if (!std::holds_alternative<infra::report_accepted>(reply)) {
    return billing_done{};
  }
  billing_head next = state.head;
  next.reported = state.window;
  state.step = billing_step::mark_reported;
  infra::commit out;
  out.conditions = {lease, {std::string(kHeadRow), state.head_version}};
  out.writes = {{std::string(kHeadRow), EncodeHead(next)}};
  return infra::request{out};
}

}  // namespace
}  // namespace internal

namespace json = boost::json;

std::string WindowRow(std::uint64_t window) {
  constexpr std::size_t kDigits = 20;
  const std::string digits = std::to_string(window);
  return std::string(kWindowPrefix) +
         std::string(kDigits - digits.size(), '0') + digits;
}

std::string WindowName(std::uint64_t window) {
  return "window-" + std::to_string(window);
}

totals ComputeNextWindow(const std::vector<ledger>& ledgers,
                         billing_watermarks& watermarks) {
  totals window_totals;
  for (const auto& item : ledgers) {
    auto& billed_totals = watermarks[item.incarnation];
    for (const auto& [account, used] : item.used) {
      auto& watermark = billed_totals[account];
      if (watermark == used) {
        continue;
      }
      auto& total = window_totals[account];
      total.requests += used.requests - watermark.requests;
      total.prompt_tokens += used.prompt_tokens - watermark.prompt_tokens;
      total.completion_tokens +=
          used.completion_tokens - watermark.completion_tokens;
      watermark = used;
    }
  }
  return window_totals;
}

std::string EncodeReport(std::uint64_t window, const totals& window_totals) {
  return json::serialize(
      json::object{{"window", WindowName(window)},
                   {"accounts", internal::EncodeTotals(window_totals)}});
}

std::string EncodeWatermarks(const billing_watermarks& value) {
  json::object out;
  for (const auto& [incarnation, item] : value) {
    out[incarnation] = internal::EncodeTotals(item);
  }
  return json::serialize(out);
}

std::optional<billing_watermarks> DecodeWatermarks(std::string_view text) {
  try {
    billing_watermarks out;
    const json::value parsed = json::parse(text);
    for (const auto& [incarnation, item] : parsed.as_object()) {
      out[incarnation] = internal::DecodeTotals(item);
    }
    return out;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

infra::request BeginBilling(biller& state) {
  state.step = billing_step::read_head;
  return infra::read_row{std::string(kHeadRow)};
}

billing_action OnBillingReply(biller& state,
                              const infra::reply& reply,
                              const infra::condition& lease,
                              std::uint64_t fencing,
                              bool window_due) {
  switch (state.step) {
    case billing_step::read_head:
      return internal::OnHead(state, reply, window_due);
    case billing_step::scan_ledgers:
      return internal::OnLedgers(state, reply);
    case billing_step::read_watermarks:
      return internal::OnWatermarks(state, reply, lease);
    case billing_step::read_window:
      return internal::OnWindow(state, reply, fencing);
    case billing_step::report:
      return internal::OnReported(state, reply, lease);
    case billing_step::freeze:
    case billing_step::mark_reported:
      return billing_done{std::holds_alternative<infra::committed>(reply)};
  }
  return billing_done{};
}

}  // namespace mimosadeck::usage
