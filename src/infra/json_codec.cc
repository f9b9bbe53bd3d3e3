#include "infra/json_codec.h"

#include <boost/json.hpp>

namespace mimosadeck::infra {
namespace internal {
namespace {

namespace json = boost::json;

std::string Text(const json::object& object, std::string_view name) {
  return json::value_to<std::string>(object.at(name));
}

std::uint64_t Number(const json::object& object, std::string_view name) {
  return object.at(name).to_number<std::uint64_t>();
}

bool Flag(const json::object& object, std::string_view name) {
  return object.at(name).as_bool();
}

json::object Encode(const read_row& value) {
  return {{"op", "read_row"}, {"key", value.key}};
}

json::object Encode(const scan_rows& value) {
  return {{"op", "scan_rows"},
          {"prefix", value.prefix},
          {"after", value.after},
          {"limit", value.limit}};
}

json::object Encode(const commit& value) {
  json::array conditions;
  for (const auto& entry : value.conditions) {
    conditions.push_back(
        json::object{{"key", entry.key}, {"version", entry.version}});
  }
  json::array writes;
  for (const auto& entry : value.writes) {
    json::object item{{"key", entry.key}};
    if (entry.value) {
      item["value"] = *entry.value;
    }
    writes.push_back(std::move(item));
  }
  return {{"op", "commit"},
          {"conditions", std::move(conditions)},
          {"writes", std::move(writes)}};
}

json::object Encode(const put_object& value) {
  return {{"op", "put_object"}, {"name", value.name}, {"bytes", value.bytes}};
}

json::object Encode(const get_object& value) {
  return {{"op", "get_object"}, {"name", value.name}};
}

json::object Encode(const list_vms&) {
  return {{"op", "list_vms"}};
}

json::object Encode(const place_order& value) {
  return {{"op", "place_order"},
          {"data_centre", value.data_centre},
          {"order_id", value.order_id},
          {"fencing", value.fencing},
          {"kind", value.kind == order_kind::start ? "start" : "stop"},
          {"pool", value.pool},
          {"count", value.count},
          {"cheaper", value.cheaper}};
}

json::object Encode(const report_usage& value) {
  return {{"op", "report_usage"},
          {"window", value.window},
          {"fencing", value.fencing},
          {"body", value.body}};
}

commit DecodeCommit(const json::object& object) {
  commit out;
  for (const auto& item : object.at("conditions").as_array()) {
    const auto& entry = item.as_object();
    out.conditions.push_back({Text(entry, "key"), Number(entry, "version")});
  }
  for (const auto& item : object.at("writes").as_array()) {
    const auto& entry = item.as_object();
    write change{Text(entry, "key"), std::nullopt};
    if (entry.contains("value")) {
      change.value = Text(entry, "value");
    }
    out.writes.push_back(std::move(change));
  }
  return out;
}

place_order DecodeOrder(const json::object& object) {
  place_order out;
  out.data_centre = Text(object, "data_centre");
  out.order_id = Text(object, "order_id");
  out.fencing = Number(object, "fencing");
  out.kind =
      Text(object, "kind") == "start" ? order_kind::start : order_kind::stop;
  out.pool = Text(object, "pool");
  out.count = static_cast<std::uint32_t>(Number(object, "count"));
  out.cheaper = Flag(object, "cheaper");
  return out;
}

result<request> DecodeRequestObject(const json::object& object) {
  const std::string op = Text(object, "op");
  if (op == "read_row") {
    return request{read_row{Text(object, "key")}};
  }
  if (op == "scan_rows") {
    return request{
        scan_rows{Text(object, "prefix"), Text(object, "after"),
                  static_cast<std::uint32_t>(Number(object, "limit"))}};
  }
  if (op == "commit") {
    return request{DecodeCommit(object)};
  }
  if (op == "put_object") {
    return request{put_object{Text(object, "name"), Text(object, "bytes")}};
  }
  if (op == "get_object") {
    return request{get_object{Text(object, "name")}};
  }
  if (op == "list_vms") {
    return request{list_vms{}};
  }
  if (op == "place_order") {
    return request{DecodeOrder(object)};
  }
  if (op == "report_usage") {
    return request{report_usage{Text(object, "window"),
                                Number(object, "fencing"),
                                Text(object, "body")}};
  }
  return error{result_code::malformed_json, "unknown request '" + op + "'"};
}

std::string_view RoleName(vm_role role) {
  switch (role) {
    case vm_role::entry:
      return "entry";
    case vm_role::engine:
      return "engine";
    case vm_role::service:
      return "service";
  }
  return "entry";
}

vm_role RoleOf(std::string_view name) {
  if (name == "engine") {
    return vm_role::engine;
  }
  return name == "service" ? vm_role::service : vm_role::entry;
}

json::object EncodeRow(const row& value) {
  return {
      {"key", value.key}, {"value", value.value}, {"version", value.version}};
}

row DecodeRow(const json::object& object) {
  return {Text(object, "key"), Text(object, "value"),
          Number(object, "version")};
}

json::object EncodeVm(const vm& value) {
  return {{"id", value.id},
          {"role", RoleName(value.role)},
          {"state", value.state == vm_state::live ? "live" : "leaving"},
          {"address", value.address},
          {"data_centre", value.data_centre},
          {"pool", value.pool},
          {"slots", value.slots},
          {"cheaper", value.cheaper}};
}

vm DecodeVm(const json::object& object) {
  vm out;
  out.id = Text(object, "id");
  out.role = RoleOf(Text(object, "role"));
  out.state =
      Text(object, "state") == "live" ? vm_state::live : vm_state::leaving;
  out.address = Text(object, "address");
  out.data_centre = Text(object, "data_centre");
  out.pool = Text(object, "pool");
  out.slots = static_cast<std::uint32_t>(Number(object, "slots"));
  out.cheaper = Flag(object, "cheaper");
  return out;
}

json::object Encode(const row_found& value) {
  return {{"kind", "row_found"}, {"row", EncodeRow(value.found)}};
}
json::object Encode(const row_absent&) {
  return {{"kind", "row_absent"}};
}
json::object Encode(const rows_page& value) {
  json::array rows;
  for (const auto& entry : value.rows) {
    rows.push_back(EncodeRow(entry));
  }
  return {
      {"kind", "rows_page"}, {"rows", std::move(rows)}, {"more", value.more}};
}
json::object Encode(const committed& value) {
  return {{"kind", "committed"}, {"version", value.version}};
}
json::object Encode(const conflict& value) {
  return {{"kind", "conflict"}, {"key", value.key}, {"version", value.version}};
}
json::object Encode(const object_stored&) {
  return {{"kind", "object_stored"}};
}
json::object Encode(const object_found& value) {
  return {{"kind", "object_found"}, {"bytes", value.bytes}};
}
json::object Encode(const object_absent&) {
  return {{"kind", "object_absent"}};
}
json::object Encode(const vm_list& value) {
  json::array vms;
  for (const auto& entry : value.vms) {
    vms.push_back(EncodeVm(entry));
  }
  return {{"kind", "vm_list"}, {"vms", std::move(vms)}};
}
json::object Encode(const order_accepted&) {
  return {{"kind", "order_accepted"}};
}
json::object Encode(const order_refused& value) {
  return {{"kind", "order_refused"},
          {"reason", value.reason},
          {"fencing", value.fencing}};
}
json::object Encode(const report_accepted&) {
  return {{"kind", "report_accepted"}};
}
json::object Encode(const report_refused& value) {
  return {{"kind", "report_refused"}, {"reason", value.reason}};
}
json::object Encode(const unavailable&) {
  return {{"kind", "unavailable"}};
}
json::object Encode(const unknown_outcome&) {
  return {{"kind", "unknown_outcome"}};
}

rows_page DecodePage(const json::object& object) {
  rows_page page;
  for (const auto& item : object.at("rows").as_array()) {
    page.rows.push_back(DecodeRow(item.as_object()));
  }
  page.more = Flag(object, "more");
  return page;
}

vm_list DecodeVmList(const json::object& object) {
  vm_list list;
  for (const auto& item : object.at("vms").as_array()) {
    list.vms.push_back(DecodeVm(item.as_object()));
  }
  return list;
}

result<reply> DecodeReplyObject(const json::object& object) {
  const std::string kind = Text(object, "kind");
  if (kind == "row_found") {
    return reply{row_found{DecodeRow(object.at("row").as_object())}};
  }
  if (kind == "row_absent") {
    return reply{row_absent{}};
  }
  if (kind == "rows_page") {
    return reply{DecodePage(object)};
  }
  if (kind == "committed") {
    return reply{committed{Number(object, "version")}};
  }
  if (kind == "conflict") {
    return reply{conflict{Text(object, "key"), Number(object, "version")}};
  }
  if (kind == "object_stored") {
    return reply{object_stored{}};
  }
  if (kind == "object_found") {
    return reply{object_found{Text(object, "bytes")}};
  }
  if (kind == "object_absent") {
    return reply{object_absent{}};
  }
  if (kind == "vm_list") {
    return reply{DecodeVmList(object)};
  }
  if (kind == "order_accepted") {
    return reply{order_accepted{}};
  }
  if (kind == "order_refused") {
    return reply{
        order_refused{Text(object, "reason"), Number(object, "fencing")}};
  }
  if (kind == "report_accepted") {
    return reply{report_accepted{}};
  }
  if (kind == "report_refused") {
    return reply{report_refused{Text(object, "reason")}};
  }
  if (kind == "unavailable") {
    return reply{unavailable{}};
  }
  if (kind == "unknown_outcome") {
    return reply{unknown_outcome{}};
  }
  return error{result_code::malformed_json, "unknown reply '" + kind + "'"};
}

template <typename T, typename F>
result<T> Decode(std::string_view text, F decode) {
  try {
    return decode(json::parse(text).as_object());
  } catch (const std::exception& failure) {
    return error{result_code::malformed_json, failure.what()};
  }
}

}  // namespace
}  // namespace internal

std::string EncodeRequest(const request& value) {
  return boost::json::serialize(std::visit(
      [](const auto& item) { return internal::Encode(item); }, value));
}

result<request> DecodeRequest(std::string_view text) {
  return internal::Decode<request>(text, internal::DecodeRequestObject);
}

std::string EncodeReply(const reply& value) {
  return boost::json::serialize(std::visit(
      [](const auto& item) { return internal::Encode(item); }, value));
}

result<reply> DecodeReply(std::string_view text) {
  return internal::Decode<reply>(text, internal::DecodeReplyObject);
}

}  // namespace mimosadeck::infra
