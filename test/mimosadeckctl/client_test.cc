#define BOOST_TEST_MODULE mimosadeckctl_client
#include <boost/test/included/unit_test.hpp>

#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "mimosadeckctl/client.h"

namespace {

namespace asio = boost::asio;
namespace ctl = mimosadeck::ctl;
using asio::ip::tcp;
using mimosadeck::result_code;

/** @brief Entry that sends fixed bytes as its response to one call. */
struct scripted_entry {
  asio::io_context io;
  tcp::acceptor acceptor{io, {asio::ip::make_address("127.0.0.1"), 0}};

  /** @brief Returns what a command gets. */
  mimosadeck::result<ctl::reply> Call(const std::string& response,
                                      bool resets = false) {
    std::thread server([&] {
      auto socket = acceptor.accept();
      std::string received;
      boost::system::error_code ignored;
      asio::read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n",
                       ignored);
      asio::write(socket, asio::buffer(response), ignored);
      if (resets) {
        socket.set_option(tcp::socket::linger(true, 0));
      }
      socket.close();
    });
    ctl::connection to;
    to.address =
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    auto out = ctl::Call(to, "GET", "/admin/v1/config", "");
    server.join();
    return out;
  }

  /** @brief Returns true if a command reports that its outcome is unknown. */
  bool IsUnknown(const std::string& response, bool resets = false) {
    const auto outcome = Call(response, resets);
    const auto* failed = std::get_if<mimosadeck::error>(&outcome);
    return failed && failed->code == result_code::outcome_unknown;
  }
};

BOOST_FIXTURE_TEST_SUITE(broken_responses, scripted_entry)

// Guards against a command that exits as successful after a response that was
// cut off, or that no entry sends.
BOOST_AUTO_TEST_CASE(command_with_a_broken_response_has_an_unknown_outcome) {
  BOOST_TEST(IsUnknown("HTTP/1.1 200 OK\r\n\r\n{}", true));
  BOOST_TEST(IsUnknown("HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}"));
  BOOST_TEST(
      IsUnknown("HTTP/1.1 200 OK\r\nDate: d\r\n Content-Length: 9\r\n\r\n{}"));
  BOOST_TEST(IsUnknown("HTTP/1.1 101 OK\r\n\r\n"));
  BOOST_TEST(IsUnknown("HTTP/1.1 100 Continue\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(command_with_a_sound_response_succeeds) {
  const auto outcome = Call("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
  const auto* got = std::get_if<ctl::reply>(&outcome);
  BOOST_REQUIRE(got);
  BOOST_TEST(got->status == 200);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
