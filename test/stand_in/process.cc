#include "stand_in/process.h"

#include <csignal>
#include <iostream>

#include <boost/asio/signal_set.hpp>

namespace mimosadeck::stand_in {

net::http_response JsonResponse(int status, const boost::json::value& body) {
  return JsonTextResponse(status, boost::json::serialize(body));
}

net::http_response JsonTextResponse(int status, std::string text) {
  net::http_response out;
  out.status = status;
  out.fields["content-type"] = "application/json";
  out.body = std::move(text);
  return out;
}

void Serve(boost::asio::io_context& context,
           const std::string& address,
           net::http_handler handler,
           std::function<void(const std::string&)> on_ready) {
  net::server_options options;
  options.limits.body_limit_bytes = 64ULL * 1024 * 1024;
  net::http_server server({&context}, address, options, std::move(handler));
  std::cout << "ADDRESS=" << server.Address() << std::endl;
  on_ready(server.Address());
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&context](auto, auto) { context.stop(); });
  context.run();
}

boost::asio::awaitable<void> RegisterVm(std::string platform,
                                        boost::json::object vm) {
  net::http_request request;
  request.method = "POST";
  request.target = "/control/vm";
  request.body = boost::json::serialize(vm);
  co_await net::CallOnce(std::move(platform), std::move(request), {});
}

}  // namespace mimosadeck::stand_in
