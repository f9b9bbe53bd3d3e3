#include <tclap/CmdLine.h>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "stand_in/memory_platform.h"
#include "stand_in/process.h"

namespace mimosadeck::stand_in {
namespace internal {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

struct platform_process {
  memory_platform state;
  std::chrono::milliseconds delay{0};
};

asio::awaitable<void> HandlePlatform(platform_process& process,
                                     const net::http_request& request,
                                     net::exchange& exchange) {
  if (process.delay.count() > 0) {
    asio::steady_timer timer(co_await asio::this_coro::executor, process.delay);
    co_await timer.async_wait(asio::use_awaitable);
  }
  const auto decoded = infra::DecodeRequest(request.body);
  if (!IsOk(decoded)) {
    co_await exchange.Respond(JsonText(400, R"({"error":"malformed"})"));
    co_return;
  }
  const auto reply = Handle(process.state, std::get<infra::request>(decoded));
  if (std::holds_alternative<infra::unknown_outcome>(reply)) {
    exchange.Abort();
    co_return;
  }
  co_await exchange.Respond(JsonText(200, infra::EncodeReply(reply)));
}

void SetFaults(platform_process& process, const json::object& wanted) {
  if (const auto* down = wanted.if_contains("down")) {
    process.state.faults.down = down->as_bool();
  }
  if (const auto* lost = wanted.if_contains("lost_replies")) {
    process.state.faults.lost_replies = lost->to_number<std::uint32_t>();
  }
  if (const auto* delay = wanted.if_contains("delay_ms")) {
    process.delay = std::chrono::milliseconds(delay->to_number<std::int64_t>());
  }
  if (const auto* fencing = wanted.if_contains("checks_fencing")) {
    process.state.checks_fencing = fencing->as_bool();
  }
}

void SetVm(platform_process& process, const json::object& wanted) {
  infra::vm item;
  item.id = json::value_to<std::string>(wanted.at("id"));
  const auto text = [&](std::string_view name) {
    const auto* value = wanted.if_contains(name);
    return value ? json::value_to<std::string>(*value) : std::string{};
  };
  const std::string role = text("role");
  item.role = role == "engine"    ? infra::vm_role::engine
              : role == "service" ? infra::vm_role::service
                                  : infra::vm_role::entry;
  item.address = text("address");
  item.data_centre = text("data_centre");
  item.pool = text("pool");
  if (const auto* slots = wanted.if_contains("slots")) {
    item.slots = slots->to_number<std::uint32_t>();
  }
  if (const auto* cheaper = wanted.if_contains("cheaper")) {
    item.cheaper = cheaper->as_bool();
  }
  const std::string state = text("state");
  process.state.parked.erase(item.id);
  process.state.vms.erase(item.id);
  if (state == "gone") {
    return;
  }
  if (state == "leaving") {
    item.state = infra::vm_state::leaving;
  }
  auto& list = state == "parked" ? process.state.parked : process.state.vms;
  list[item.id] = item;
}

json::object Inspect(const platform_process& process) {
  json::array reports;
  for (const auto& report : process.state.reports) {
    reports.push_back(json::object{{"window", report.window},
                                   {"fencing", report.fencing},
                                   {"body", report.body}});
  }
  json::array orders;
  for (const auto& taken : process.state.orders) {
    orders.push_back(
        json::object{{"data_centre", taken.order.data_centre},
                     {"order_id", taken.order.order_id},
                     {"fencing", taken.order.fencing},
                     {"pool", taken.order.pool},
                     {"count", taken.order.count},
                     {"start", taken.order.kind == infra::order_kind::start},
                     {"accepted", taken.accepted}});
  }
  json::object rows;
  for (const auto& [key, row] : process.state.rows) {
    rows[key] = row.value;
  }
  return {{"reports", std::move(reports)},
          {"orders", std::move(orders)},
          {"rows", std::move(rows)},
          {"reads", process.state.reads},
          {"writes", process.state.writes}};
}

asio::awaitable<void> HandleAny(platform_process& process,
                                net::http_request request,
                                net::exchange& exchange) {
  if (request.target == "/platform/v1") {
    co_await HandlePlatform(process, request, exchange);
    co_return;
  }
  if (request.target == "/control") {
    SetFaults(process, json::parse(request.body).as_object());
  } else if (request.target == "/control/vm") {
    SetVm(process, json::parse(request.body).as_object());
  } else if (request.target == "/inspect") {
    co_await exchange.Respond(JsonResponse(200, Inspect(process)));
    co_return;
  }
  co_await exchange.Respond(JsonText(200, "{}"));
}

}  // namespace
}  // namespace internal
}  // namespace mimosadeck::stand_in

int main(int argc, char** argv) {
  TCLAP::CmdLine line("Stand-in for the platform");
  TCLAP::ValueArg<std::string> address("", "listen", "IP:PORT to listen on",
                                       false, "127.0.0.1:0", "IP:PORT", line);
  line.parse(argc, argv);
  boost::asio::io_context context;
  mimosadeck::stand_in::internal::platform_process process;
  mimosadeck::stand_in::Serve(
      context, address.getValue(),
      [&process](auto request, auto& exchange) {
        return mimosadeck::stand_in::internal::HandleAny(
            process, std::move(request), exchange);
      },
      [](const std::string&) {});
  return 0;
}
