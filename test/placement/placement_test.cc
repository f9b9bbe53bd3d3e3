#define BOOST_TEST_MODULE placement
#include <boost/test/included/unit_test.hpp>

#include <set>

#include "base/base.h"
#include "placement/placement.h"

namespace {

using namespace std::chrono_literals;
using mimosadeck::mono_time;
namespace outlier = mimosadeck::outlier;
namespace placement = mimosadeck::placement;
namespace registry = mimosadeck::registry;

/** Twelve engines in three data centres, and a trained read time model. */
struct twelve_engines {
  placement::pool pool;
  placement::options settings;
  mono_time now{100s};

  twelve_engines() {
    pool.service = "pool";
    pool.cache_tokens = 800000;
    pool.tightest_pause_goal = 200ms;
    SetCount(12);
    for (int i = 0; i < 200; ++i) {
      const std::uint32_t tokens = 200 + 300 * (i % 30);
      placement::AddSample(pool.read_times, tokens,
                           std::chrono::microseconds(60000 + 10 * tokens));
    }
  }

  void SetCount(int count) {
    std::vector<std::shared_ptr<const registry::upstream>> usable;
    for (int i = 0; i < count; ++i) {
      registry::upstream entry;
      entry.id = "u" + std::to_string(i);
      entry.service = "pool";
      entry.data_centre = std::string(1, static_cast<char>('a' + i % 3));
      entry.slots = 64;
      usable.push_back(std::make_shared<const registry::upstream>(entry));
    }
    placement::SetUpstreams(pool, usable);
  }

  static placement::job Chat(std::uint64_t session) {
    placement::job out;
    out.parts = {{1, 120}, {1000 + session, 80}, {next_part_id++, 430}};
    out.prompt_tokens = 630;
    out.answer_tokens = 290;
    out.goal = 300ms;
    out.pause_goal = 200ms;
    return out;
  }

  static placement::job LongChat(std::uint64_t session) {
    auto out = Chat(session);
    out.parts.back().tokens = 3000;
    out.prompt_tokens = 3200;
    return out;
  }

  static placement::job Draft(std::uint64_t subject) {
    placement::job out;
    out.parts = {{2, 500}, {2000 + subject, 4900}, {next_part_id++, 6600}};
    out.prompt_tokens = 12000;
    out.answer_tokens = 380;
    out.goal = 1500ms;
    out.pause_goal = 800ms;
    return out;
  }

  placement::selection Send(const placement::job& wanted) {
    const auto chosen = placement::Choose(pool, settings, wanted, "a", {}, now);
    BOOST_REQUIRE(chosen);
    placement::OnSent(pool, settings, *chosen, wanted, now);
    return *chosen;
  }

  void End(const placement::selection& sent) {
    placement::OnAnswerStarted(
        pool, sent, std::chrono::microseconds(60000 + 10 * sent.unread_tokens));
    placement::OnEnded(pool, sent, true);
  }

  /** Sends chats and drafts in equal numbers, each ended at once. */
  void SendMixedTraffic(int rounds) {
    for (int i = 0; i < rounds; ++i) {
      now += 50ms;
      const auto chat = Send(Chat(i % 90));
      const auto draft = Send(Draft(i % 100));
      placement::Tick(pool, now);
      End(chat);
      End(draft);
    }
  }

  static inline std::uint64_t next_part_id = 1 << 20;
};

BOOST_FIXTURE_TEST_SUITE(long_prompts_and_streams_with_tight_pause_goals,
                         twelve_engines)

BOOST_AUTO_TEST_CASE(chats_and_drafts_use_separate_engines) {
  SendMixedTraffic(200);
  std::set<std::string> with_chats;
  std::set<std::string> with_drafts;
  for (int i = 0; i < 100; ++i) {
    const auto chat = Send(Chat(i));
    const auto draft = Send(Draft(i));
    with_chats.insert(chat.incarnation);
    with_drafts.insert(draft.incarnation);
    End(chat);
    End(draft);
  }
  for (const auto& name : with_chats) {
    BOOST_TEST(!with_drafts.contains(name));
  }
}

BOOST_AUTO_TEST_CASE(long_prompt_with_tight_pause_goal_joins_short_prompts) {
  SendMixedTraffic(200);
  for (int i = 0; i < 100; ++i) {
    const auto sent = Send(LongChat(i));
    BOOST_TEST(!sent.beside_long);
    End(sent);
  }
}

BOOST_AUTO_TEST_CASE(split_follows_the_load) {
  SendMixedTraffic(200);
  const auto mixed = pool.short_prompt_upstreams;
  for (int i = 0; i < 400; ++i) {
    now += 50ms;
    End(Send(Draft(i % 100)));
    placement::Tick(pool, now);
  }
  BOOST_TEST(pool.short_prompt_upstreams < mixed);
}

BOOST_AUTO_TEST_CASE(drafts_alone_use_every_engine) {
  std::set<std::string> used;
  for (int i = 0; i < 300; ++i) {
    now += 20ms;
    const auto sent = Send(Draft(i));
    placement::Tick(pool, now);
    used.insert(sent.incarnation);
  }
  BOOST_TEST(used.size() == 12);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(prompts_that_share_parts, twelve_engines)

BOOST_AUTO_TEST_CASE(same_subject_returns_to_the_engine_that_read_it) {
  SendMixedTraffic(200);
  for (int subject = 0; subject < 50; ++subject) {
    const auto first = Send(Draft(subject));
    End(first);
    const auto second = Send(Draft(subject));
    End(second);
    BOOST_TEST(first.incarnation == second.incarnation);
    BOOST_TEST(second.unread_tokens == 6600);
  }
}

BOOST_AUTO_TEST_CASE(added_engine_moves_few_subjects) {
  std::map<int, std::string> before;
  for (int subject = 0; subject < 200; ++subject) {
    const auto sent = Send(Draft(subject));
    before[subject] = sent.incarnation;
    End(sent);
  }
  now += 1min;
  SetCount(13);
  int moved = 0;
  for (int subject = 0; subject < 200; ++subject) {
    const auto sent = Send(Draft(subject));
    moved += sent.incarnation != before[subject];
    End(sent);
  }
  BOOST_TEST(moved > 0);
  BOOST_TEST(moved < 200 / 13 * 2);
}

BOOST_AUTO_TEST_CASE(hot_subject_spreads_before_its_engine_is_overloaded) {
  std::map<std::string, int> by_engine;
  for (int i = 0; i < 60; ++i) {
    ++by_engine[Send(Draft(7)).incarnation];
  }
  BOOST_TEST(by_engine.size() >= 4);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(unavailable_engines, twelve_engines)

BOOST_AUTO_TEST_CASE(ejected_engine_is_used_only_if_all_are) {
  const auto first = Send(Chat(1));
  placement::OnOutcome(pool, settings, first, outlier::outcome::unreachable,
                       1ms, now);
  BOOST_TEST(Send(Chat(1)).incarnation != first.incarnation);
  for (auto& [name, found] : pool.candidates) {
    found.health.ejected_until = now + 1s;
  }
  BOOST_TEST(
      placement::Choose(pool, settings, Chat(1), "a", {}, now).has_value());
}

BOOST_AUTO_TEST_CASE(engine_that_fails_often_is_not_chosen) {
  const auto first = Send(Chat(1));
  End(first);
  for (int i = 0; i < 10; ++i) {
    placement::OnOutcome(pool, settings, first, outlier::outcome::failed, 1ms,
                         now);
  }
  BOOST_TEST(Send(Chat(1)).incarnation != first.incarnation);
}

BOOST_AUTO_TEST_CASE(load_from_other_entries_counts) {
  const auto first = Send(Chat(1));
  End(first);
  placement::SetRemoteLoads(pool, {{first.incarnation, {64, 200000, 700000}}},
                            {});
  BOOST_TEST(Send(Chat(1)).incarnation != first.incarnation);
}

BOOST_AUTO_TEST_CASE(tried_engines_are_excluded_until_none_is_left) {
  std::set<std::string> tried;
  for (int i = 0; i < 12; ++i) {
    const auto chosen =
        placement::Choose(pool, settings, Chat(1), "a", tried, now);
    BOOST_REQUIRE(chosen);
    BOOST_TEST(tried.insert(chosen->incarnation).second);
  }
  BOOST_TEST(!placement::Choose(pool, settings, Chat(1), "a", tried, now));
}

BOOST_AUTO_TEST_CASE(closed_engine_gets_no_requests) {
  const auto before = Send(Draft(1));
  placement::SetAvailability(pool, before.incarnation, now + 2s, {});
  for (int i = 0; i < 50; ++i) {
    BOOST_TEST(Send(Draft(1)).incarnation != before.incarnation);
  }
  BOOST_TEST(!placement::TimeUntilAvailable(pool, now));
}

BOOST_AUTO_TEST_CASE(all_engines_closed_none_is_chosen_until_one_reopens) {
  auto pause = 2s;
  for (const auto& [name, found] : pool.candidates) {
    placement::SetAvailability(pool, name, now + pause++, {});
  }
  BOOST_TEST(!placement::Choose(pool, settings, Draft(1), "a", {}, now));
  BOOST_TEST((placement::TimeUntilAvailable(pool, now) == 2s));
  now += 2s;
  BOOST_TEST(
      placement::Choose(pool, settings, Draft(1), "a", {}, now).has_value());
  BOOST_TEST(!placement::TimeUntilAvailable(pool, now));
}

BOOST_AUTO_TEST_CASE(all_engines_closed_retry_times_are_spread) {
  for (const auto& [name, found] : pool.candidates) {
    placement::SetAvailability(pool, name, now + 4s, {});
  }
  std::set<std::chrono::milliseconds> returns;
  auto wanted = Draft(1);
  for (wanted.sampling_key = 0; wanted.sampling_key < 64;
       ++wanted.sampling_key) {
    returns.insert(*placement::RetryAfter(pool, wanted, now));
  }
  BOOST_TEST(returns.size() > 32U);
  BOOST_TEST((*returns.begin() == 4s));
  BOOST_TEST((*returns.rbegin() < 5s));
  BOOST_TEST(!placement::RetryAfter(pool, wanted, now + 4s));
}

BOOST_AUTO_TEST_CASE(avoided_engine_is_used_only_if_all_are) {
  const auto before = Send(Draft(1));
  placement::SetAvailability(pool, before.incarnation, {}, now + 1s);
  BOOST_TEST(Send(Draft(1)).incarnation != before.incarnation);
  for (const auto& [name, found] : pool.candidates) {
    placement::SetAvailability(pool, name, {}, now + 1s);
  }
  BOOST_TEST(
      placement::Choose(pool, settings, Draft(1), "a", {}, now).has_value());
}

BOOST_AUTO_TEST_CASE(restarted_engine_starts_without_load_or_cached_parts) {
  const auto sent = Send(Chat(1));
  registry::upstream again = *sent.upstream;
  again.started_at_ms = 99;
  placement::SetUpstreams(pool,
                          {std::make_shared<const registry::upstream>(again)});
  BOOST_REQUIRE(pool.candidates.size() == 1);
  BOOST_TEST(pool.candidates.begin()->second.own_load.running == 0);
  BOOST_TEST(pool.candidates.begin()->second.parts.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(plain_services)

BOOST_AUTO_TEST_CASE(own_data_centre_is_preferred_until_it_is_busy) {
  placement::pool pool;
  std::vector<std::shared_ptr<const registry::upstream>> usable;
  for (const auto* name : {"a", "b", "c"}) {
    registry::upstream entry;
    entry.id = name;
    entry.data_centre = name;
    entry.slots = 6;
    usable.push_back(std::make_shared<const registry::upstream>(entry));
  }
  placement::SetUpstreams(pool, usable);
  placement::options settings;
  placement::job wanted;
  wanted.goal = 100ms;
  const mono_time now{100s};
  std::map<std::string, int> sent;
  for (int i = 0; i < 12; ++i) {
    const auto chosen = placement::Choose(pool, settings, wanted, "b", {}, now);
    placement::OnSent(pool, settings, *chosen, wanted, now);
    ++sent[chosen->upstream->id];
  }
  BOOST_TEST(sent["b"] >= 4);
  BOOST_TEST(sent["b"] <= 7);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(reading_time)

BOOST_AUTO_TEST_CASE(speed_of_another_engine_is_learned) {
  placement::read_time_model state;
  for (int i = 0; i < 300; ++i) {
    const std::uint32_t tokens = 100 + 100 * (i % 80);
    placement::AddSample(state, tokens,
                         std::chrono::microseconds(30000 + 40 * tokens));
  }
  BOOST_TEST(placement::MsPerToken(state) == 0.04,
             boost::test_tools::tolerance(0.1));
  BOOST_TEST(placement::BaseMs(state) == 30.0,
             boost::test_tools::tolerance(0.5));
}

BOOST_AUTO_TEST_CASE(equal_prompts_leave_the_assumed_speed_in_bounds) {
  placement::read_time_model state;
  for (int i = 0; i < 300; ++i) {
    placement::AddSample(state, 500, 80ms);
  }
  BOOST_TEST(placement::MsPerToken(state) > 0);
  BOOST_TEST(placement::MsPerToken(state) < 0.1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(many_entries_with_stale_loads, twelve_engines)

BOOST_AUTO_TEST_CASE(requests_sample_upstreams_and_spread) {
  SetCount(100);
  settings.sample_size = 8;
  std::map<std::string, int> chosen;
  for (std::uint64_t i = 0; i < 2000; ++i) {
    auto chat = Chat(i);
    chat.parts.clear();
    chat.sampling_key = mimosadeck::Hash64(std::to_string(i));
    const auto found = placement::Choose(pool, settings, chat, "a", {}, now);
    BOOST_REQUIRE(found);
    ++chosen[found->incarnation];
  }
  BOOST_TEST(chosen.size() > 50);
  for (const auto& [name, count] : chosen) {
    BOOST_TEST(count < 200);
  }
}

// Guards against permits of limited upstreams that expire since no request
// happens to sample the upstream.
BOOST_AUTO_TEST_CASE(upstream_that_is_always_sampled_is_compared_each_time) {
  SetCount(100);
  settings.sample_size = 8;
  for (auto& [name, candidate] : pool.candidates) {
    candidate.own_load.running = 10;
  }
  auto& idle = pool.candidates.begin()->second;
  idle.own_load.running = 0;
  const auto idle_name = pool.candidates.begin()->first;
  const auto count = [&] {
    int chosen = 0;
    for (std::uint64_t i = 0; i < 200; ++i) {
      auto chat = Chat(i);
      chat.parts.clear();
      chat.sampling_key = mimosadeck::Hash64(std::to_string(i));
      const auto found = placement::Choose(pool, settings, chat, "a", {}, now);
      BOOST_REQUIRE(found);
      chosen += found->incarnation == idle_name ? 1 : 0;
    }
    return chosen;
  };
  BOOST_TEST(count() < 60);
  placement::SetAlwaysSampled(pool, idle_name, true);
  BOOST_TEST(count() == 200);
  placement::SetAlwaysSampled(pool, idle_name, false);
  BOOST_TEST(count() < 60);
}

BOOST_AUTO_TEST_CASE(sampled_upstream_already_tried_another_is_chosen) {
  SetCount(20);
  settings.sample_size = 1;
  std::set<std::string> tried;
  auto chat = Chat(1);
  for (int i = 0; i < 20; ++i) {
    const auto found = placement::Choose(pool, settings, chat, "a", tried, now);
    BOOST_REQUIRE(found);
    BOOST_TEST(tried.insert(found->incarnation).second);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
