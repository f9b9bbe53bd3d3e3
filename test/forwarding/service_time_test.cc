#define BOOST_TEST_MODULE service_time
#include <boost/test/included/unit_test.hpp>

#include <random>

#include "forwarding/service_time.h"

namespace {

using namespace std::chrono_literals;
using mimosadeck::mono_time;
using std::chrono::milliseconds;
namespace forwarding = mimosadeck::forwarding;
using mimosadeck::routing::request_kind;

constexpr auto kWhole = 7600ms;
/** Time for which callers keep an answer of the directory at most. */
constexpr auto kUnheard = 3000ms;

/** A stopping entry and streams of one route, in virtual time. */
struct planned_stop {
  forwarding::service_times times;
  forwarding::service_time_options options;
  mono_time now{1h};
  std::mt19937 random{11};

  /** Lengths as of the sites' streams: a few take three times the median. */
  milliseconds Length(milliseconds median) {
    std::lognormal_distribution<double> spread(0, 0.44);
    return milliseconds(static_cast<long>(static_cast<double>(median.count()) *
                                          spread(random)));
  }

  void Serve(milliseconds length) {
    const auto began = now;
    forwarding::OnStarted(times, began);
    now += length;
    forwarding::OnEnded(times, options, began, true, now);
  }

  void Learn(milliseconds median) {
    for (int i = 0; i < 100; ++i) {
      Serve(Length(median));
    }
  }

  bool IsTaken(milliseconds since_stop, request_kind kind) const {
    return forwarding::CanFinishBeforeStop(
        times, options, kind, {kWhole, kWhole - since_stop, kUnheard}, now);
  }

  struct outcome {
    int taken{};
    int cut{};
  };

  /** Streams that arrive through the whole stop; some must not be cut. */
  outcome Stop(milliseconds median, milliseconds from) {
    outcome out;
    for (auto at = from; at < kWhole; at += 20ms) {
      if (IsTaken(at, request_kind::stream)) {
        ++out.taken;
        out.cut += at + Length(median) > kWhole ? 1 : 0;
      }
    }
    return out;
  }
};

BOOST_FIXTURE_TEST_SUITE(stops, planned_stop)

// Streams taken in a planned stop were cut at its end, since a fixed part of
// its time decided whether one was taken, however long such streams last.
BOOST_AUTO_TEST_CASE(stream_taken_in_a_stop_ends_before_it) {
  for (const auto median : {300ms, 1000ms, 2500ms, 4000ms, 6000ms}) {
    times = {};
    Learn(median);
    const auto seen = Stop(median, kUnheard + 1ms);
    BOOST_TEST_CONTEXT(median.count()) {
      BOOST_TEST(seen.cut == 0);
    }
  }
}

// Short streams were refused in vain for half of the stop.
BOOST_AUTO_TEST_CASE(short_stream_is_taken_until_late_in_a_stop) {
  Learn(300ms);
  BOOST_TEST(IsTaken(5000ms, request_kind::stream));
}

// Refusing whatever might outlast the stop cost callers that could not know of
// it their only retry.
BOOST_AUTO_TEST_CASE(caller_that_cannot_know_of_the_stop_is_served) {
  Learn(2500ms);
  BOOST_TEST(IsTaken(0ms, request_kind::stream));
  BOOST_TEST(IsTaken(kUnheard, request_kind::stream));
  BOOST_TEST(!IsTaken(kUnheard + 1ms, request_kind::stream));
}

BOOST_AUTO_TEST_CASE(streams_that_run_long_by_now_count_before_they_end) {
  Learn(300ms);
  for (int i = 0; i < 10; ++i) {
    forwarding::OnStarted(times, now);
  }
  now += 5000ms;
  BOOST_TEST(!IsTaken(kUnheard + 1ms, request_kind::stream));
}

BOOST_AUTO_TEST_CASE(request_of_unknown_length_is_taken_by_kind) {
  BOOST_TEST(IsTaken(3000ms, request_kind::stream));
  BOOST_TEST(!IsTaken(4000ms, request_kind::stream));
  BOOST_TEST(IsTaken(6000ms, request_kind::non_idempotent));
  BOOST_TEST(!IsTaken(6500ms, request_kind::non_idempotent));
}

BOOST_AUTO_TEST_CASE(request_that_was_not_served_teaches_nothing) {
  for (int i = 0; i < 100; ++i) {
    const auto began = now;
    forwarding::OnStarted(times, began);
    forwarding::OnEnded(times, options, began, false, now + 1ms);
  }
  BOOST_TEST(!forwarding::RecentTimes(times, options, now));
  BOOST_TEST(times.running.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
