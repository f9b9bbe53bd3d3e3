#include <map>

#include <tclap/CmdLine.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "stand_in/process.h"

namespace mimosadeck::stand_in {
namespace internal {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

/** @brief State of the simulated service; requests to `/control` change it. */
struct service_process {
  /** `normal`, `cut_after_run` (closes the connection once a booking ran) or
   * `silent` (never responds to a booking). */
  std::string mode{"normal"};
  /** Time that a call takes. */
  std::chrono::milliseconds work_time{5};
  /** Number of runs of each booking, by request body. */
  std::map<std::string, std::uint64_t> runs;
  /** Every call received, as text. */
  std::string seen;
};

json::object EncodeLookup(const std::string& target) {
  return {{"looked_up", target}};
}

json::object EncodeBooking(const std::string& body, std::uint64_t run) {
  return {{"booked", body}, {"run", run}};
}

json::object EncodeState(const service_process& service) {
  json::object runs;
  for (const auto& [body, count] : service.runs) {
    runs[body] = count;
  }
  return {{"runs", std::move(runs)}, {"seen", service.seen}};
}

asio::awaitable<void> HandleCall(service_process& service,
                                 const net::http_request& request,
                                 net::exchange& exchange) {
  for (const auto& [name, value] : request.fields) {
    service.seen += name + ": " + value + "\n";
  }
  service.seen += request.target + "\n" + request.body + "\n";
  asio::steady_timer timer(co_await asio::this_coro::executor,
                           service.work_time);
  co_await timer.async_wait(asio::use_awaitable);
  if (request.method == "GET") {
    co_await exchange.Respond(JsonResponse(200, EncodeLookup(request.target)));
    co_return;
  }
  const auto run = ++service.runs[request.body];
  if (service.mode == "cut_after_run") {
    exchange.Abort();
    co_return;
  }
  while (service.mode == "silent") {
    timer.expires_after(service.work_time);
    co_await timer.async_wait(asio::use_awaitable);
  }
  co_await exchange.Respond(
      JsonResponse(200, EncodeBooking(request.body, run)));
}

asio::awaitable<void> HandleRequest(service_process& service,
                                    net::http_request request,
                                    net::exchange& exchange) {
  if (request.target == "/inspect") {
    co_await exchange.Respond(JsonResponse(200, EncodeState(service)));
    co_return;
  }
  if (request.target == "/control") {
    const auto settings = json::parse(request.body).as_object();
    if (const auto* mode = settings.if_contains("mode")) {
      service.mode = json::value_to<std::string>(*mode);
    }
    if (const auto* time = settings.if_contains("work_ms")) {
      service.work_time =
          std::chrono::milliseconds(time->to_number<std::int64_t>());
    }
    co_await exchange.Respond(JsonTextResponse(200, "{}"));
    co_return;
  }
  if (request.target == "/load") {
    co_await exchange.Respond(JsonTextResponse(200, R"({"running":0})"));
    co_return;
  }
  co_await HandleCall(service, request, exchange);
}

}  // namespace
}  // namespace internal
}  // namespace mimosadeck::stand_in

int main(int argc, char** argv) {
  TCLAP::CmdLine line("Stand-in for a plain service");
  TCLAP::ValueArg<std::string> address("", "listen", "IP:PORT to listen on",
                                       false, "127.0.0.1:0", "IP:PORT", line);
  TCLAP::ValueArg<std::string> id("", "id", "VM id", true, "", "ID", line);
  TCLAP::ValueArg<std::string> data_centre("", "data-centre", "Data centre",
                                           true, "", "NAME", line);
  TCLAP::ValueArg<std::string> pool("", "service", "Service offered", true, "",
                                    "NAME", line);
  TCLAP::ValueArg<std::uint32_t> slots("", "slots", "Concurrent calls", false,
                                       8, "N", line);
  TCLAP::ValueArg<std::string> platform("", "platform", "Platform's address",
                                        false, "", "IP:PORT", line);
  line.parse(argc, argv);
  boost::asio::io_context context;
  mimosadeck::stand_in::internal::service_process service;
  mimosadeck::stand_in::Serve(
      context, address.getValue(),
      [&service](auto request, auto& exchange) {
        return mimosadeck::stand_in::internal::HandleRequest(
            service, std::move(request), exchange);
      },
      [&](const std::string& bound) {
        if (platform.getValue().empty()) {
          return;
        }
        boost::asio::co_spawn(
            context,
            mimosadeck::stand_in::RegisterVm(
                platform.getValue(), {{"id", id.getValue()},
                                      {"role", "service"},
                                      {"state", "live"},
                                      {"address", bound},
                                      {"data_centre", data_centre.getValue()},
                                      {"pool", pool.getValue()},
                                      {"slots", slots.getValue()}}),
            boost::asio::detached);
      });
  return 0;
}
