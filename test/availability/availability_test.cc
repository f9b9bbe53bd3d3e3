#define BOOST_TEST_MODULE availability
#include <boost/test/included/unit_test.hpp>

#include "availability/availability.h"

namespace {

using namespace std::chrono_literals;
using mimosadeck::mono_time;
namespace availability = mimosadeck::availability;
using availability::signal;

/** One incarnation that the registry lists as ready. */
struct one_upstream {
  availability::record_table book;
  availability::options options;
  mono_time now{100s};
  const std::string name{"u1/5"};

  bool See(signal seen) {
    return availability::OnSignal(book, options, name, seen, now);
  }

  const availability::record& Record() {
    return book.by_incarnation.find(name)->second;
  }

  void Tick(bool is_listed) {
    availability::Tick(
        book, options, [is_listed](std::string_view) { return is_listed; },
        now);
  }
};

BOOST_FIXTURE_TEST_SUITE(leaving, one_upstream)

BOOST_AUTO_TEST_CASE(announced_leaving_is_news_once_and_for_good) {
  BOOST_TEST(See(signal::announced));
  BOOST_TEST(!See(signal::announced));
  BOOST_TEST(!See(signal::reported));
  now += 24h;
  availability::OnConnectionKeptOpen(book, name);
  Tick(true);
  BOOST_TEST(availability::IsLeaving(book, name));
}

BOOST_AUTO_TEST_CASE(next_incarnation_of_the_same_id_is_not_leaving) {
  See(signal::announced);
  BOOST_TEST(!availability::IsLeaving(book, "u1/6"));
}

BOOST_AUTO_TEST_CASE(gone_incarnation_is_forgotten_after_a_while) {
  See(signal::reported);
  Tick(false);
  BOOST_TEST(availability::Leaving(book).size() == 1U);
  now += options.memory + 1ms;
  Tick(false);
  BOOST_TEST(availability::Leaving(book).empty());
}

BOOST_AUTO_TEST_CASE(replaced_upstream_is_left_alone_but_may_return) {
  BOOST_TEST(!See(signal::replaced));
  BOOST_TEST(!availability::IsLeaving(book, name));
  BOOST_TEST((Record().closed_until == now + options.replaced_for));
}

BOOST_AUTO_TEST_CASE(single_closed_connection_means_nothing) {
  See(signal::connection_closed);
  BOOST_TEST((Record().avoided_until <= now));
  availability::OnConnectionKeptOpen(book, name);
  See(signal::connection_closed);
  BOOST_TEST((Record().avoided_until <= now));
}

BOOST_AUTO_TEST_CASE(upstream_that_closes_every_connection_is_avoided) {
  See(signal::connection_closed);
  See(signal::connection_closed);
  BOOST_TEST((Record().avoided_until == now + options.avoided_for));
  BOOST_TEST(!availability::IsLeaving(book, name));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(pauses, one_upstream)

BOOST_AUTO_TEST_CASE(pause_is_granted_as_asked) {
  const auto granted =
      availability::OnPauseRequested(book, options, name, 1500ms, now);
  BOOST_TEST((granted == 1500ms));
  BOOST_TEST((Record().closed_until == now + 1500ms));
}

BOOST_AUTO_TEST_CASE(absurd_pause_is_granted_in_parts) {
  const auto granted =
      availability::OnPauseRequested(book, options, name, 24h, now);
  BOOST_TEST((granted == options.longest_pause));
}

BOOST_AUTO_TEST_CASE(later_shorter_pause_does_not_end_a_longer_one) {
  availability::OnPauseRequested(book, options, name, 5s, now);
  availability::OnPauseRequested(book, options, name, 1s, now);
  BOOST_TEST((Record().closed_until == now + 5s));
}

BOOST_AUTO_TEST_CASE(pause_of_an_upstream_gone_for_now_is_kept_to_its_end) {
  options.memory = 1s;
  availability::OnPauseRequested(book, options, name, 5s, now);
  now += 2s;
  Tick(false);
  BOOST_TEST((Record().closed_until == now + 3s));
  now += 4s;
  Tick(false);
  BOOST_TEST(book.by_incarnation.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
