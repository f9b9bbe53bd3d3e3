#define BOOST_TEST_MODULE endless_request_own_system
#include <boost/test/included/unit_test.hpp>

#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

#include "system/deployment.h"
#include "system/endless_requests.h"

namespace {

using namespace std::chrono_literals;
using namespace mimosadeck::system_test;
namespace data = boost::unit_test::data;

/** Memory that a daemon may use for all but its traffic. */
constexpr std::uint64_t kMemoryBytes = std::uint64_t{256} << 20U;
/** The limits of this interface are larger, and so are the crowds. */
constexpr int kCrowdFactor = 3;

/** @brief Fixture with the product's own interface. */
struct own_interface {
  asio::io_context io{1};
  deployment fleet;
  std::string key = fleet.IssueKey("saint-louis");
  std::string entry = fleet.Entries().front();
  std::string address = fleet.CallerAddress(entry);
  process& daemon = fleet.EntryProcess(entry);
};

// Guards against a daemon that ends, or serves nobody else, because it keeps
// what callers send without end.
BOOST_DATA_TEST_CASE_F(own_interface,
                       requests_without_end_leave_memory_and_other_callers,
                       data::make(EndlessRequests()),
                       form) {
  auto large = form;
  large.callers *= kCrowdFactor;
  const auto head =
      "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n"
      "Authorization: Bearer " +
      key + "\r\n";
  {
    endless_crowd crowd(io, address, head, large);
    crowd.Run();
    BOOST_REQUIRE(daemon.IsRunning());
    BOOST_TEST(daemon.PeakMemory() < kMemoryBytes);
  }
  BOOST_TEST_MESSAGE(form.name << ": peak " << (daemon.PeakMemory() >> 20U)
                               << " MB");
  BOOST_TEST(fleet.Chat(entry, key, 3).status == 200);
}

}  // namespace
