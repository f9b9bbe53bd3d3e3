#define BOOST_TEST_MODULE event_framer
#include <rapidcheck.h>
#include <boost/test/included/unit_test.hpp>

#include "answer/answer.h"

namespace {

namespace answer = mimosadeck::answer;
using answer::event_position;

std::string Event(std::uint64_t id) {
  return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

/** @brief Fixture that collects what is delivered to the caller. */
struct framed_stream {
  answer::event_framer framer;
  std::string delivered;

  framed_stream() { answer::BeginRun(framer); }

  void Take(const std::string& bytes) {
    delivered += answer::TakeCompleteEvents(framer, bytes);
  }

  /** @brief Delivers events with these ids and begins another run. */
  void BreakAfter(const std::vector<std::uint64_t>& ids) {
    for (const auto id : ids) {
      Take(Event(id));
    }
    answer::BeginRun(framer);
    delivered.clear();
  }

  bool StoppedAs(event_position position) const {
    return framer.misplaced == position;
  }
};

BOOST_FIXTURE_TEST_SUITE(first_run, framed_stream)

BOOST_AUTO_TEST_CASE(bytes_are_unchanged_wherever_they_are_split) {
  const std::string stream =
      "id: 1\r\ndata: a\r\n\r\n:note\n\nversion: 2\nid: 2\ndata: b\n\n";
  for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
    framed_stream whole;
    whole.Take(stream.substr(0, cut));
    whole.Take(stream.substr(cut));
    BOOST_TEST(whole.delivered == stream);
    BOOST_TEST(whole.framer.events == 2U);
    BOOST_TEST(whole.framer.last_id == "2");
    BOOST_TEST(answer::CanEnd(whole.framer));
  }
}

BOOST_AUTO_TEST_CASE(order_of_ids_is_not_checked) {
  const auto stream = Event(5) + Event(5) + Event(9) + "data: x\n\n" + Event(1);
  Take(stream);
  BOOST_TEST(delivered == stream);
  BOOST_TEST(answer::CanEnd(framer));
}

BOOST_AUTO_TEST_CASE(text_that_is_no_event_is_not_delivered) {
  Take(Event(1) + "HTTP/1.1 503 Unavailable\r\nServer: x\r\n\r\n" + Event(2));
  BOOST_TEST(delivered == Event(1));
  BOOST_TEST(StoppedAs(event_position::not_an_event));
  BOOST_TEST(!answer::CanEnd(framer));
  Take(Event(2));
  BOOST_TEST(delivered == Event(1));
}

BOOST_AUTO_TEST_CASE(end_inside_an_event_is_no_end) {
  Take(Event(1) + "id: 2\n");
  BOOST_TEST(!answer::CanEnd(framer));
}

BOOST_AUTO_TEST_CASE(stream_without_usable_ids_cannot_be_resumed) {
  BOOST_TEST(answer::CanResume(framer));
  Take(":note\n\n");
  BOOST_TEST(answer::CanResume(framer));
  Take("data: x\n\n");
  BOOST_TEST(!answer::CanResume(framer));
  Take(Event(3));
  BOOST_TEST(answer::CanResume(framer));
  Take("id: four\ndata: x\n\n");
  BOOST_TEST(!answer::CanResume(framer));
  Take(Event(5));
  BOOST_TEST(answer::CanResume(framer));
  Take(Event(5));
  BOOST_TEST(!answer::CanResume(framer));
  Take(Event(6));
  BOOST_TEST(!answer::CanResume(framer));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(resumed_run, framed_stream)

BOOST_AUTO_TEST_CASE(next_event_continues_the_stream) {
  BreakAfter({1, 2});
  Take(Event(3) + Event(4));
  BOOST_TEST(delivered == Event(3) + Event(4));
  BOOST_TEST(answer::CanEnd(framer));
}

BOOST_AUTO_TEST_CASE(incomplete_event_of_the_run_before_is_discarded) {
  Take(Event(1) + "id: 2\ndata: ha");
  answer::BeginRun(framer);
  delivered.clear();
  Take(Event(2));
  BOOST_TEST(delivered == Event(2));
}

BOOST_AUTO_TEST_CASE(step_of_the_ids_is_learned) {
  BreakAfter({10, 20});
  Take(Event(30));
  BOOST_TEST(delivered == Event(30));
  answer::BeginRun(framer);
  Take(Event(50));
  BOOST_TEST(StoppedAs(event_position::after_gap));
}

BOOST_AUTO_TEST_CASE(repeated_event_stops_the_run) {
  BreakAfter({1, 2});
  Take(Event(2) + Event(3));
  BOOST_TEST(delivered == "");
  BOOST_TEST(StoppedAs(event_position::repeated));
  BOOST_TEST(framer.last_id == "2");
}

BOOST_AUTO_TEST_CASE(events_before_a_fault_are_delivered) {
  BreakAfter({1, 2});
  Take(Event(3) + Event(5) + Event(6));
  BOOST_TEST(delivered == Event(3));
  BOOST_TEST(StoppedAs(event_position::after_gap));
  BOOST_TEST(framer.last_id == "3");
}

BOOST_AUTO_TEST_CASE(another_run_continues_after_the_last_delivered_event) {
  BreakAfter({1, 2});
  Take(Event(1));
  answer::BeginRun(framer);
  Take(Event(3));
  BOOST_TEST(delivered == Event(3));
  BOOST_TEST(answer::CanEnd(framer));
}

BOOST_AUTO_TEST_CASE(first_event_that_cannot_be_placed_stops_the_run) {
  for (const auto* event : {"data: x\n\n", "id: four\ndata: x\n\n",
                            "id: 99999999999999999999\ndata: x\n\n"}) {
    framed_stream broken;
    broken.BreakAfter({1, 2});
    broken.Take(event);
    BOOST_TEST(broken.delivered == "");
    BOOST_TEST(broken.StoppedAs(event_position::unknown));
  }
}

BOOST_AUTO_TEST_CASE(gap_that_cannot_be_excluded_stops_the_run) {
  BreakAfter({10});
  Take(Event(20));
  BOOST_TEST(StoppedAs(event_position::unknown));
  framed_stream uneven;
  uneven.BreakAfter({1, 3, 4});
  uneven.Take(Event(6));
  BOOST_TEST(uneven.StoppedAs(event_position::unknown));
}

BOOST_AUTO_TEST_CASE(successive_numbers_leave_no_gap_whatever_the_step) {
  BreakAfter({7});
  Take(Event(8));
  BOOST_TEST(delivered == Event(8));
  framed_stream uneven;
  uneven.BreakAfter({1, 3, 4});
  uneven.Take(Event(5) + Event(8));
  BOOST_TEST(uneven.delivered == Event(5) + Event(8));
}

BOOST_AUTO_TEST_CASE(run_without_an_event_cannot_end) {
  BreakAfter({1, 2});
  BOOST_TEST(!answer::CanEnd(framer));
  Take(":note\n\n");
  BOOST_TEST(!answer::CanEnd(framer));
}

BOOST_AUTO_TEST_CASE(comment_before_the_first_event_is_not_delivered) {
  BreakAfter({1, 2});
  Take(":note\n\n" + Event(3) + ":note\n\n");
  BOOST_TEST(delivered == Event(3) + ":note\n\n");
}

// Plays runs that break off at any byte and are followed by one that starts at
// any event: what is delivered is a prefix of the stream.
BOOST_AUTO_TEST_CASE(any_runs_deliver_a_prefix_of_the_stream) {
  const bool held = rc::check(
      "delivered events are 1..n in order",
      [](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& runs) {
        constexpr std::uint64_t kEvents = 9;
        framed_stream fresh;
        for (const auto& [from, bytes] : runs) {
          const auto first =
              fresh.framer.events == 0 ? 1 : 1 + from % (kEvents + 1);
          std::string run;
          for (auto id = first; id <= kEvents; ++id) {
            run += Event(id);
          }
          answer::BeginRun(fresh.framer);
          fresh.Take(run.substr(0, bytes));
        }
        std::string expected;
        for (std::uint64_t id = 1; id <= fresh.framer.events; ++id) {
          expected += Event(id);
        }
        RC_ASSERT(fresh.delivered == expected);
      });
  BOOST_TEST(held);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
