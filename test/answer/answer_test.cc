#define BOOST_TEST_MODULE answer
#include <rapidcheck.h>
#include <boost/test/included/unit_test.hpp>

#include "answer/answer.h"

namespace {

namespace answer = mimosadeck::answer;
using mimosadeck::executed;

struct assembled_answer {
  answer::assembly state;
  std::string text;

  void Token(std::uint64_t attempt, std::uint64_t offset) {
    if (answer::OnToken(state, attempt, {offset, {}}) ==
        answer::verdict::deliver) {
      text += std::to_string(offset) + " ";
    }
  }
};

BOOST_FIXTURE_TEST_SUITE(assembly, assembled_answer)

BOOST_AUTO_TEST_CASE(late_tokens_of_abandoned_attempt_are_dropped) {
  const auto first = answer::BeginAttempt(state);
  Token(first, 0);
  const auto second = answer::BeginAttempt(state);
  BOOST_TEST((answer::OnToken(state, first, {1, {}}) == answer::verdict::drop));
  Token(first, 1);
  Token(second, 1);
  Token(first, 2);
  Token(second, 2);
  BOOST_TEST(text == "0 1 2 ");
  BOOST_TEST((answer::OnFinish(state, first, {1, 3, "stop"}) ==
              answer::verdict::drop));
  BOOST_TEST(!answer::IsComplete(state));
}

BOOST_AUTO_TEST_CASE(resumed_attempt_repeating_tokens_delivers_each_once) {
  const auto first = answer::BeginAttempt(state);
  Token(first, 0);
  Token(first, 1);
  const auto second = answer::BeginAttempt(state);
  for (std::uint64_t i = 0; i < 4; ++i) {
    Token(second, i);
  }
  BOOST_TEST(text == "0 1 2 3 ");
}

BOOST_AUTO_TEST_CASE(token_missing_is_a_gap) {
  const auto attempt = answer::BeginAttempt(state);
  Token(attempt, 0);
  BOOST_TEST(
      (answer::OnToken(state, attempt, {2, {}}) == answer::verdict::gap));
}

BOOST_AUTO_TEST_CASE(end_with_other_token_count_is_not_complete) {
  const auto attempt = answer::BeginAttempt(state);
  Token(attempt, 0);
  BOOST_TEST((answer::OnFinish(state, attempt, {1, 2, "stop"}) ==
              answer::verdict::gap));
  BOOST_TEST(!answer::IsComplete(state));
  BOOST_TEST((answer::OnFinish(state, attempt, {1, 1, "stop"}) ==
              answer::verdict::deliver));
  BOOST_TEST(answer::IsComplete(state));
}

BOOST_AUTO_TEST_CASE(any_interleaving_of_attempts_gives_prefix_in_order) {
  const bool held = rc::check(
      "delivered tokens are 0..n-1 in order",
      [](const std::vector<std::uint8_t>& events) {
        assembled_answer fresh;
        std::uint64_t attempts = 0;
        for (const auto event : events) {
          if (event % 8 == 0 || attempts == 0) {
            attempts = answer::BeginAttempt(fresh.state);
          }
          const std::uint64_t attempt =
              attempts - std::min<std::uint64_t>(attempts - 1, event % 3);
          fresh.Token(attempt,
                      event % 5 + fresh.state.delivered -
                          std::min<std::uint64_t>(fresh.state.delivered, 2));
        }
        std::string expected;
        for (std::uint64_t i = 0; i < fresh.state.delivered; ++i) {
          expected += std::to_string(i) + " ";
        }
        RC_ASSERT(fresh.text == expected);
      });
  BOOST_TEST(held);
}

BOOST_AUTO_TEST_CASE(events_split_at_any_byte_are_joined) {
  const std::string stream = "data: one\n\ndata: two\n\ndata: [DONE]\n\n";
  for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
    answer::event_splitter splitter;
    auto events = answer::Split(splitter, stream.substr(0, cut));
    const auto rest = answer::Split(splitter, stream.substr(cut));
    events.insert(events.end(), rest.begin(), rest.end());
    BOOST_TEST(events == (std::vector<std::string>{"one", "two", "[DONE]"}));
  }
}

// Guards against keeping an event without end.
BOOST_AUTO_TEST_CASE(event_beyond_the_limit_is_oversized) {
  const std::string bytes(answer::kMaxEventBytes, 'x');
  answer::event_splitter splitter;
  BOOST_TEST(answer::Split(splitter, bytes).empty());
  BOOST_TEST(!answer::IsOversized(splitter));
  BOOST_TEST(answer::Split(splitter, "x").empty());
  BOOST_TEST(answer::IsOversized(splitter));
}

BOOST_AUTO_TEST_CASE(not_run_is_reported_only_if_nothing_was_started) {
  BOOST_TEST((answer::ExecutionState(answer::send_progress::nothing_sent) ==
              executed::no));
  BOOST_TEST(
      (answer::ExecutionState(answer::send_progress::refused_before_start) ==
       executed::no));
  BOOST_TEST((answer::ExecutionState(answer::send_progress::sent) ==
              executed::unknown));
}

BOOST_AUTO_TEST_CASE(retries_beyond_budget_are_refused_until_earned) {
  answer::retry_budget budget;
  int retries = 0;
  while (answer::TryRetry(budget)) {
    ++retries;
  }
  BOOST_TEST(retries == 10);
  for (int i = 0; i < 100; ++i) {
    answer::OnFirstAttempt(budget);
  }
  retries = 0;
  while (answer::TryRetry(budget)) {
    ++retries;
  }
  BOOST_TEST(retries <= 10);
  BOOST_TEST(retries >= 9);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
