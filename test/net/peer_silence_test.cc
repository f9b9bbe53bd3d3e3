#define BOOST_TEST_MODULE peer_silence
#include <boost/test/included/unit_test.hpp>

#include "net/net.h"

namespace {

using namespace std::chrono_literals;
using namespace mimosadeck::net;
using mimosadeck::mono_time;
using std::chrono::milliseconds;

/** Samples one connection at a regular interval. */
struct sampled_connection {
  silence_options options;
  peer_silence silence;
  mono_time now{1h};
  mono_time acknowledged_at{now};
  std::uint64_t acknowledged_bytes{};

  bool Sample(bool awaits) {
    const auto since =
        std::chrono::duration_cast<milliseconds>(now - acknowledged_at);
    return OnOutputSample(silence, options,
                          {awaits, acknowledged_bytes, since, 1}, now);
  }

  /** Samples while nothing is acknowledged. @return Time until the peer is
   * lost, or nothing if it is not lost after a minute. */
  std::optional<milliseconds> TimeToLoss(milliseconds interval) {
    const auto start = now;
    for (; now - start < 1min; now += interval) {
      if (Sample(true)) {
        return std::chrono::duration_cast<milliseconds>(now - start);
      }
    }
    return std::nullopt;
  }
};

BOOST_FIXTURE_TEST_SUITE(silences, sampled_connection)

// Guards against connections to lost peers that stay open.
BOOST_AUTO_TEST_CASE(peer_that_acknowledges_nothing_is_lost_at_the_limit) {
  BOOST_TEST((TimeToLoss(options.sample_interval) == options.limit));
}

// Guards against resets of slow readers: the probes of a closed window become
// rarer, so that the last acknowledgement is far longer ago than the limit.
BOOST_AUTO_TEST_CASE(peer_that_answers_each_window_probe_is_never_lost) {
  constexpr auto kAnswerTime = 700ms;
  for (auto pause = 200ms; pause < 60s; pause *= 2) {
    for (const auto probe_at = now + pause; now < probe_at;
         now += options.sample_interval) {
      BOOST_REQUIRE(!Sample(false));
    }
    const auto answer_at = now + kAnswerTime;
    for (; now < answer_at; now += options.sample_interval) {
      BOOST_REQUIRE(!Sample(true));
    }
    acknowledged_at = now - 1ms;
  }
}

// Guards against resets of peers that acknowledge a steady flow, of which
// something always awaits an acknowledgement.
BOOST_AUTO_TEST_CASE(peer_that_acknowledges_part_of_the_bytes_is_not_lost) {
  for (int i = 0; i < 100; ++i) {
    now += options.sample_interval;
    acknowledged_at = now - 10ms;
    BOOST_REQUIRE(!Sample(true));
  }
  const auto lost_after = TimeToLoss(options.sample_interval);
  BOOST_REQUIRE(lost_after.has_value());
  BOOST_TEST((*lost_after <= options.limit + options.sample_interval));
}

// Guards against the same on systems that do not tell when the last
// acknowledgement came.
BOOST_AUTO_TEST_CASE(peer_whose_acknowledged_bytes_grow_is_not_lost) {
  for (int i = 0; i < 100; ++i) {
    now += options.sample_interval;
    acknowledged_at = now;
    ++acknowledged_bytes;
    BOOST_REQUIRE(!Sample(true));
  }
  bool is_lost = false;
  for (int i = 0; i < 6; ++i) {
    now += options.sample_interval;
    acknowledged_at = now;
    is_lost = Sample(true);
  }
  BOOST_TEST(is_lost);
}

// Guards against taking the process's own pause for that of its peers.
BOOST_AUTO_TEST_CASE(first_sample_after_a_pause_of_the_process_loses_nobody) {
  BOOST_TEST(!Sample(true));
  now += 30s;
  BOOST_TEST(!Sample(true));
  acknowledged_at = now + 1ms;
  now += options.sample_interval;
  BOOST_TEST(!Sample(true));
  BOOST_TEST(silence.unanswered.count() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
