#define BOOST_TEST_MODULE edge_tasks
#include <boost/test/included/unit_test.hpp>

#include <chrono>
#include <stdexcept>

#include "mimosadeckd/edge/tasks.h"

namespace {

using namespace std::chrono_literals;
using boost::asio::awaitable;
namespace edge = mimosadeck::edge;

/** Longer than a few pauses between restarts. */
constexpr auto kWaitTime = 5s;

struct event_loop {
  boost::asio::io_context io{1};
  int starts{};

  /** @brief Counts a start; throws before the third one. */
  awaitable<void> FailTwice() {
    if (++starts < 3) {
      throw std::runtime_error("odd input");
    }
    co_return;
  }

  awaitable<void> ThrowNumber() {
    ++starts;
    throw 7;
    co_return;
  }
};

BOOST_FIXTURE_TEST_SUITE(tasks, event_loop)

// Guards against a loop that ends without a word when it throws.
BOOST_AUTO_TEST_CASE(loop_that_throws_starts_again_until_it_returns) {
  edge::KeepRunning(io, "loop", [this] { return FailTwice(); });
  io.run_for(kWaitTime);
  BOOST_TEST(starts == 3);
  BOOST_TEST(io.stopped());
}

BOOST_AUTO_TEST_CASE(loop_that_throws_does_not_keep_the_process_busy) {
  edge::KeepRunning(io, "loop", [this] { return ThrowNumber(); });
  io.run_for(200ms);
  BOOST_TEST(starts == 1);
}

BOOST_AUTO_TEST_CASE(task_that_throws_leaves_others_running) {
  edge::Spawn(io, "odd", ThrowNumber());
  edge::Spawn(io, "fails", FailTwice());
  edge::Spawn(io, "returns", FailTwice());
  io.run_for(kWaitTime);
  BOOST_TEST(starts == 3);
  BOOST_TEST(io.stopped());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
