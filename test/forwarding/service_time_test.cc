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

constexpr auto kStopDuration = 7600ms;
/** Longest time for which callers cache a directory answer. */
constexpr auto kNoticeDelay = 3000ms;

/** An entry in a planned stop and streams of one route, in virtual time. */
struct planned_stop {
  forwarding::service_times times;
  forwarding::service_time_options options;
  mono_time now{1h};
  std::mt19937 random{11};

  /** Lengths distributed as at the sites: a few take three times the median. */
  milliseconds Length(milliseconds median) {
    std::lognormal_distribution<double> spread(0, 0.44);
    return milliseconds(static_cast<long>(static_cast<double>(median.count()) *
                                          spread(random)));
  }

  void Serve(milliseconds length) {
    const auto started = now;
    forwarding::OnStarted(times, started);
    now += length;
    forwarding::OnEnded(times, options, started, true, now);
  }

  void ServeMany(milliseconds median) {
    for (int i = 0; i < 100; ++i) {
      Serve(Length(median));
    }
  }

  bool IsAccepted(milliseconds since_stop, request_kind kind) const {
    return forwarding::CanFinishBeforeStop(
        times, options, kind,
        {kStopDuration, kStopDuration - since_stop, kNoticeDelay}, now);
  }

  struct outcome {
    int accepted{};
    int cut_off{};
  };

  /** Counts the accepted streams that arrive from a time of the stop on, and
   * those of them that its end cuts off. */
  outcome Stop(milliseconds median, milliseconds from) {
    outcome out;
    for (auto at = from; at < kStopDuration; at += 20ms) {
      if (IsAccepted(at, request_kind::stream)) {
        ++out.accepted;
        out.cut_off += at + Length(median) > kStopDuration ? 1 : 0;
      }
    }
    return out;
  }
};

BOOST_FIXTURE_TEST_SUITE(stops, planned_stop)

// Guards against streams that are cut off at the end of a planned stop because
// a fixed fraction of it, rather than their length, decides on acceptance.
BOOST_AUTO_TEST_CASE(stream_accepted_in_a_stop_ends_before_it) {
  for (const auto median : {300ms, 1000ms, 2500ms, 4000ms, 6000ms}) {
    times = {};
    ServeMany(median);
    const auto stopped = Stop(median, kNoticeDelay + 1ms);
    BOOST_TEST_CONTEXT(median.count()) {
      BOOST_TEST(stopped.cut_off == 0);
    }
  }
}

// Guards against refusing short streams for half of the stop without need.
BOOST_AUTO_TEST_CASE(short_stream_is_accepted_until_late_in_a_stop) {
  ServeMany(300ms);
  BOOST_TEST(IsAccepted(5000ms, request_kind::stream));
}

// Guards against refusing every request that might outlast the stop, which
// costs callers that cannot know of it their only retry.
BOOST_AUTO_TEST_CASE(caller_that_cannot_know_of_the_stop_is_served) {
  ServeMany(2500ms);
  BOOST_TEST(IsAccepted(0ms, request_kind::stream));
  BOOST_TEST(IsAccepted(kNoticeDelay, request_kind::stream));
  BOOST_TEST(!IsAccepted(kNoticeDelay + 1ms, request_kind::stream));
}

BOOST_AUTO_TEST_CASE(age_of_running_streams_counts_before_they_end) {
  ServeMany(300ms);
  for (int i = 0; i < 10; ++i) {
    forwarding::OnStarted(times, now);
  }
  now += 5000ms;
  BOOST_TEST(!IsAccepted(kNoticeDelay + 1ms, request_kind::stream));
}

BOOST_AUTO_TEST_CASE(request_of_unknown_length_is_accepted_by_kind) {
  BOOST_TEST(IsAccepted(3000ms, request_kind::stream));
  BOOST_TEST(!IsAccepted(4000ms, request_kind::stream));
  BOOST_TEST(IsAccepted(6000ms, request_kind::non_idempotent));
  BOOST_TEST(!IsAccepted(6500ms, request_kind::non_idempotent));
}

BOOST_AUTO_TEST_CASE(request_that_was_not_served_gives_no_sample) {
  for (int i = 0; i < 100; ++i) {
    const auto started = now;
    forwarding::OnStarted(times, started);
    forwarding::OnEnded(times, options, started, false, now + 1ms);
  }
  BOOST_TEST(!forwarding::RecentTimes(times, options, now));
  BOOST_TEST(times.running.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
