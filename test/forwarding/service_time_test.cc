#define BOOST_TEST_MODULE service_time
#include <boost/test/included/unit_test.hpp>

#include <algorithm>
#include <random>

#include "forwarding/service_time.h"

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;
namespace forwarding = mimosadeck::forwarding;
using mimosadeck::routing::request_kind;

constexpr auto kStopDuration = 7600ms;
/** Time in which callers may use a directory answer from before the stop. */
constexpr auto kNoticeDelay = 2500ms;
/** Time limit of a long stream, longer than a stop. */
constexpr auto kLongLimit = 15000ms;

/** An entry in a planned stop and streams of one route, in virtual time. */
struct planned_stop {
  forwarding::service_times times;
  forwarding::service_time_options options;
  std::mt19937 random{11};

  /** Lengths distributed as at the sites: a few take three times the median. */
  milliseconds Length(milliseconds median) {
    std::lognormal_distribution<double> spread(0, 0.44);
    return milliseconds(static_cast<long>(static_cast<double>(median.count()) *
                                          spread(random)));
  }

  void ServeMany(milliseconds median) {
    for (int i = 0; i < 100; ++i) {
      forwarding::OnServed(times, options, Length(median));
    }
  }

  bool IsAccepted(milliseconds since_stop,
                  request_kind kind,
                  milliseconds time_limit) const {
    return forwarding::CanFinishBeforeStop(
        times, options, kind, time_limit,
        {kStopDuration, kStopDuration - since_stop, kNoticeDelay});
  }

  /** Counts the streams that are accepted after the notice delay and then cut
   * off by the end of the stop. */
  int CountCutOff(milliseconds median, milliseconds time_limit) {
    int out = 0;
    for (auto at = kNoticeDelay + 1ms; at < kStopDuration; at += 20ms) {
      const auto length = std::min(Length(median), time_limit);
      const bool is_accepted = IsAccepted(at, request_kind::stream, time_limit);
      out += is_accepted && at + length > kStopDuration ? 1 : 0;
    }
    return out;
  }
};

BOOST_FIXTURE_TEST_SUITE(stops, planned_stop)

// Guards against streams that are cut off at the end of a planned stop because
// earlier streams were shorter, or there were none.
BOOST_AUTO_TEST_CASE(stream_accepted_in_a_stop_ends_before_it) {
  for (const auto earlier : {0ms, 300ms, 1000ms, 2500ms, 6000ms}) {
    for (const auto median : {300ms, 1000ms, 2500ms, 4000ms, 6000ms}) {
      for (const auto limit : {1500ms, 4000ms, kLongLimit}) {
        times = {};
        if (earlier > 0ms) {
          ServeMany(earlier);
        }
        BOOST_TEST_CONTEXT(earlier.count()
                           << ' ' << median.count() << ' ' << limit.count()) {
          BOOST_TEST(CountCutOff(median, limit) == 0);
        }
      }
    }
  }
}

// Guards against refusing requests without need until their time limit, though
// they are certain to end before the stop.
BOOST_AUTO_TEST_CASE(
    request_whose_limit_fits_is_accepted_until_late_in_a_stop) {
  for (const auto kind : {request_kind::idempotent, request_kind::stream,
                          request_kind::non_idempotent}) {
    BOOST_TEST(IsAccepted(6100ms, kind, 1500ms));
    BOOST_TEST(!IsAccepted(6101ms, kind, 1500ms));
  }
  ServeMany(6000ms);
  BOOST_TEST(IsAccepted(6100ms, request_kind::stream, 1500ms));
}

// Guards against refusing every request that might outlast the stop, which
// costs callers that cannot know of it their only retry.
BOOST_AUTO_TEST_CASE(caller_that_cannot_know_of_the_stop_is_served) {
  ServeMany(2500ms);
  const auto kind = request_kind::stream;
  BOOST_TEST(IsAccepted(0ms, kind, kLongLimit));
  BOOST_TEST(IsAccepted(kNoticeDelay, kind, kLongLimit));
  BOOST_TEST(!IsAccepted(kNoticeDelay + 1ms, kind, kLongLimit));
}

// Guards against accepting streams whose usual time exceeds the stop.
BOOST_AUTO_TEST_CASE(streams_that_usually_outlast_the_stop_are_refused) {
  ServeMany(6500ms);
  BOOST_TEST(!IsAccepted(0ms, request_kind::stream, kLongLimit));
}

BOOST_AUTO_TEST_CASE(request_of_unknown_length_is_accepted_by_kind) {
  const forwarding::stop_window late{kStopDuration, 3700ms, kStopDuration};
  const auto accepts = [&](request_kind kind) {
    return forwarding::CanFinishBeforeStop(times, options, kind, kLongLimit,
                                           late);
  };
  BOOST_TEST(IsAccepted(kNoticeDelay, request_kind::stream, kLongLimit));
  BOOST_TEST(!accepts(request_kind::stream));
  BOOST_TEST(accepts(request_kind::non_idempotent));
}

BOOST_AUTO_TEST_CASE(few_samples_give_no_median) {
  for (std::size_t i = 0; i + 1 < options.min_samples; ++i) {
    forwarding::OnServed(times, options, 100ms);
  }
  BOOST_TEST(!forwarding::MedianTime(times, options));
  forwarding::OnServed(times, options, 900ms);
  BOOST_TEST((forwarding::MedianTime(times, options) == 100ms));
}

// Guards against a process that ends its requests earlier than in the last
// sixth of a short grace period.
BOOST_AUTO_TEST_CASE(stop_uses_most_of_the_grace_period) {
  BOOST_TEST((forwarding::StopDuration(8s) == 7600ms));
  BOOST_TEST((forwarding::StopDuration(30s) == 29600ms));
  for (const milliseconds grace : {1s, 2s, 3s, 5s}) {
    BOOST_TEST((forwarding::StopDuration(grace) >= grace * 5 / 6));
    BOOST_TEST((forwarding::StopDuration(grace) < grace));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
