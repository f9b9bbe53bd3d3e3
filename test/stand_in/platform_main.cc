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

/** @brief The simulated platform. */
struct platform_process {
  memory_platform state;
  /** Delay before each reply. */
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
    co_await exchange.Respond(
        JsonTextResponse(400, R"({"error":"malformed"})"));
    co_return;
  }
  const auto reply = Handle(process.state, std::get<infra::request>(decoded));
  if (std::holds_alternative<infra::unknown_outcome>(reply)) {
    exchange.Abort();
    co_return;
  }
  co_await exchange.Respond(JsonTextResponse(200, infra::EncodeReply(reply)));
}

/** @brief Sets the faults given in a request to `/control`. */
void SetFaults(platform_process& process, const json::object& settings) {
  if (const auto* down = settings.if_contains("down")) {
    process.state.faults.down = down->as_bool();
  }
  if (const auto* lost = settings.if_contains("lost_replies")) {
    process.state.faults.lost_replies = lost->to_number<std::uint32_t>();
  }
  if (const auto* delay = settings.if_contains("delay_ms")) {
    process.delay = std::chrono::milliseconds(delay->to_number<std::int64_t>());
  }
  if (const auto* fencing = settings.if_contains("checks_fencing")) {
    process.state.checks_fencing = fencing->as_bool();
  }
}

/**
 * @brief Adds, changes or removes the VM given in a request to `/control/vm`.
 *
 * Its state is `live`, `leaving`, `parked` (not running) or `gone` (removed).
 */
void SetVm(platform_process& process, const json::object& fields) {
  infra::vm vm;
  vm.id = json::value_to<std::string>(fields.at("id"));
  const auto text = [&](std::string_view name) {
    const auto* value = fields.if_contains(name);
    return value ? json::value_to<std::string>(*value) : std::string{};
  };
  const std::string role = text("role");
  vm.role = role == "engine"    ? infra::vm_role::engine
            : role == "service" ? infra::vm_role::service
                                : infra::vm_role::entry;
  vm.address = text("address");
  vm.data_centre = text("data_centre");
  vm.pool = text("pool");
  if (const auto* slots = fields.if_contains("slots")) {
    vm.slots = slots->to_number<std::uint32_t>();
  }
  if (const auto* cheaper = fields.if_contains("cheaper")) {
    vm.cheaper = cheaper->as_bool();
  }
  const std::string state = text("state");
  process.state.parked.erase(vm.id);
  process.state.vms.erase(vm.id);
  if (state == "gone") {
    return;
  }
  if (state == "leaving") {
    vm.state = infra::vm_state::leaving;
  }
  auto& list = state == "parked" ? process.state.parked : process.state.vms;
  list[vm.id] = vm;
}

json::object EncodeState(const platform_process& process) {
  json::array reports;
  for (const auto& report : process.state.reports) {
    reports.push_back(json::object{{"window", report.window},
                                   {"fencing", report.fencing},
                                   {"body", report.body}});
  }
  json::array orders;
  for (const auto& received : process.state.orders) {
    orders.push_back(
        json::object{{"data_centre", received.order.data_centre},
                     {"order_id", received.order.order_id},
                     {"fencing", received.order.fencing},
                     {"pool", received.order.pool},
                     {"count", received.order.count},
                     {"start", received.order.kind == infra::order_kind::start},
                     {"accepted", received.accepted}});
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

asio::awaitable<void> HandleRequest(platform_process& process,
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
    co_await exchange.Respond(JsonResponse(200, EncodeState(process)));
    co_return;
  }
  co_await exchange.Respond(JsonTextResponse(200, "{}"));
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
        return mimosadeck::stand_in::internal::HandleRequest(
            process, std::move(request), exchange);
      },
      [](const std::string&) {});
  return 0;
}
