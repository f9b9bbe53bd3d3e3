#ifndef TEST_STAND_IN_PROCESS_H_
#define TEST_STAND_IN_PROCESS_H_

#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include "net/net.h"

namespace mimosadeck::stand_in {

/** @brief Builds a response with a JSON value. */
[[nodiscard]] net::http_response JsonResponse(int status,
                                              const boost::json::value& body);

/** @brief Builds a response with serialized JSON. */
[[nodiscard]] net::http_response JsonTextResponse(int status, std::string text);

/**
 * @brief Serves HTTP until SIGTERM or SIGINT.
 *
 * Prints `ADDRESS=IP:PORT` once it listens.
 * @param address `IP:PORT` to listen on; port 0 chooses a free one.
 * @param handler Called for each request.
 * @param on_ready Called with the `IP:PORT` that the server listens on.
 */
void Serve(boost::asio::io_context& context,
           const std::string& address,
           net::http_handler handler,
           std::function<void(const std::string&)> on_ready);

/**
 * @brief Registers a VM with the platform stand-in.
 * @param platform `IP:PORT` of the platform stand-in.
 * @param vm Description of the VM, as `/control/vm` takes it.
 */
[[nodiscard]] boost::asio::awaitable<void> RegisterVm(std::string platform,
                                                      boost::json::object vm);

}  // namespace mimosadeck::stand_in

#endif  // TEST_STAND_IN_PROCESS_H_
