#define BOOST_TEST_MODULE dispatch
#include <boost/test/included/unit_test.hpp>

#include <random>

#include "dispatch/dispatch.h"

namespace {

using namespace std::chrono_literals;
using mimosadeck::mono_time;
using mimosadeck::result_code;
namespace dispatch = mimosadeck::dispatch;

struct pool_fixture {
  dispatch::pool pool;
  dispatch::options options;
  mono_time now{1h};
  std::uint64_t next{1};

  void AddUpstream(const std::string& id,
                   std::uint32_t slots,
                   bool cheaper = false) {
    dispatch::upstream known;
    known.id = id;
    known.address = id;
    known.slots = slots;
    known.cheaper = cheaper;
    dispatch::SetUpstream(pool, known);
  }

  dispatch::request Make(int tier, const std::string& account = "a") {
    dispatch::request out;
    out.id = next++;
    out.entry = "e";
    out.account = account;
    out.tier = tier;
    out.expected_tokens = 20;
    out.max_wait = 60s;
    out.resumable = tier >= 3;
    return out;
  }

  std::vector<dispatch::action> Ask(const dispatch::request& wanted) {
    return dispatch::OnRequest(pool, options, wanted, now);
  }

  static std::optional<dispatch::granted> Granted(
      const std::vector<dispatch::action>& actions) {
    for (const auto& action : actions) {
      if (const auto* given = std::get_if<dispatch::granted>(&action)) {
        return *given;
      }
    }
    return std::nullopt;
  }

  static std::optional<dispatch::refused> Refused(
      const std::vector<dispatch::action>& actions) {
    for (const auto& action : actions) {
      if (const auto* refusal = std::get_if<dispatch::refused>(&action)) {
        return *refusal;
      }
    }
    return std::nullopt;
  }

  std::vector<dispatch::action> Release(
      std::uint64_t grant,
      dispatch::ending how = dispatch::ending::finished) {
    return dispatch::OnRelease(pool, options, grant, how, 20, now);
  }
};

BOOST_FIXTURE_TEST_SUITE(slots, pool_fixture)

BOOST_AUTO_TEST_CASE(burst_of_all_classes_bookings_get_slots_never_refused) {
  AddUpstream("u1", 10);
  AddUpstream("u2", 10);
  std::mt19937 random(3);
  std::vector<std::pair<mono_time, std::uint64_t>> running;
  int bookings = 0;
  int served = 0;
  std::chrono::milliseconds worst{0};
  std::map<std::uint64_t, mono_time> asked;
  const auto take = [&](const std::vector<dispatch::action>& actions) {
    for (const auto& action : actions) {
      if (const auto* given = std::get_if<dispatch::granted>(&action)) {
        const bool booking = given->given.work.tier == 0;
        running.push_back({now + (booking ? 20ms : 1000ms), given->given.id});
        if (booking) {
          ++served;
          worst = std::max(
              worst, std::chrono::duration_cast<std::chrono::milliseconds>(
                         now - asked.at(given->given.work.id)));
        }
      } else if (const auto* refusal =
                     std::get_if<dispatch::refused>(&action)) {
        BOOST_TEST(refusal->work.tier != 0);
      } else {
        BOOST_TEST(std::get<dispatch::preempt>(action).given.work.tier != 0);
      }
    }
  };
  for (int step = 0; step < 3000; ++step, now += 10ms) {
    for (int i = 0; i < 2; ++i) {
      take(Ask(Make(1 + static_cast<int>(random() % 4))));
    }
    if (step % 10 == 0) {
      ++bookings;
      const auto wanted = Make(0);
      asked[wanted.id] = now;
      take(Ask(wanted));
    }
    for (auto it = running.begin(); it != running.end();) {
      if (it->first <= now) {
        const auto grant = it->second;
        it = running.erase(it);
        take(Release(grant));
        it = running.begin();
      } else {
        ++it;
      }
    }
    take(dispatch::Tick(pool, options, now));
  }
  BOOST_TEST(served >= bookings - 1);
  BOOST_TEST(worst.count() <= 500);
}

BOOST_AUTO_TEST_CASE(slots_full_urgent_request_interrupts_resumable_only) {
  AddUpstream("u", 2);
  options.reserved_part = 0;
  const auto lookup = Granted(Ask(Make(2)));
  const auto draft = Granted(Ask(Make(4)));
  BOOST_REQUIRE(lookup);
  BOOST_REQUIRE(draft);
  const auto actions = Ask(Make(1));
  BOOST_REQUIRE(actions.size() == 1);
  const auto* victim = std::get_if<dispatch::preempt>(&actions.front());
  BOOST_REQUIRE(victim);
  BOOST_TEST(victim->given.id == draft->given.id);
  const auto given =
      Granted(Release(draft->given.id, dispatch::ending::preempted));
  BOOST_REQUIRE(given);
  BOOST_TEST(given->given.work.tier == 1);
}

BOOST_AUTO_TEST_CASE(booking_running_is_never_interrupted) {
  AddUpstream("u", 1);
  BOOST_REQUIRE(Granted(Ask(Make(0))));
  for (int i = 0; i < 10; ++i) {
    for (const auto& action : Ask(Make(i % 5))) {
      BOOST_TEST(!std::holds_alternative<dispatch::preempt>(action));
    }
  }
}

BOOST_AUTO_TEST_CASE(wait_predicted_too_long_is_refused_at_once_with_hint) {
  AddUpstream("u", 1);
  options.reserved_part = 0;
  options.tokens_per_slot_second = 10;
  BOOST_REQUIRE(Granted(Ask(Make(2))));
  auto patient = Make(2);
  patient.expected_tokens = 100;
  BOOST_TEST(Ask(patient).empty());
  auto hasty = Make(2);
  hasty.max_wait = 2s;
  const auto refusal = Refused(Ask(hasty));
  BOOST_REQUIRE(refusal);
  BOOST_TEST((refusal->code == result_code::wait_too_long));
  BOOST_TEST(refusal->retry_after.count() == 8000);
}

BOOST_AUTO_TEST_CASE(deadline_passes_in_queue_request_is_refused_then) {
  AddUpstream("u", 1);
  options.reserved_part = 0;
  options.predict_wait = false;
  BOOST_REQUIRE(Granted(Ask(Make(2))));
  auto wanted = Make(2);
  wanted.max_wait = 1s;
  BOOST_TEST(Ask(wanted).empty());
  BOOST_TEST(dispatch::Tick(pool, options, now + 999ms).empty());
  const auto refusal = Refused(dispatch::Tick(pool, options, now + 1s));
  BOOST_REQUIRE(refusal);
  BOOST_TEST((refusal->code == result_code::deadline_passed));
}

BOOST_AUTO_TEST_CASE(upstream_leaving_gets_no_new_work) {
  AddUpstream("u1", 4);
  AddUpstream("u2", 4);
  const auto running = Granted(Ask(Make(1)));
  dispatch::KeepUpstreams(pool, {"u2"});
  for (int i = 0; i < 3; ++i) {
    const auto given = Granted(Ask(Make(1)));
    BOOST_REQUIRE(given);
    BOOST_TEST(given->given.upstream_id == "u2");
  }
  static_cast<void>(running);
}

BOOST_AUTO_TEST_CASE(upstream_failed_gets_no_work_for_a_while) {
  AddUpstream("u1", 4);
  AddUpstream("u2", 4);
  const auto given = Granted(Ask(Make(1)));
  Release(given->given.id, dispatch::ending::upstream_failed);
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(Granted(Ask(Make(1)))->given.upstream_id !=
               given->given.upstream_id);
  }
  now += options.failure_pause;
  bool used = false;
  for (int i = 0; i < 4; ++i) {
    const auto again = Granted(Ask(Make(1)));
    used =
        used || (again && again->given.upstream_id == given->given.upstream_id);
  }
  BOOST_TEST(used);
}

BOOST_AUTO_TEST_CASE(every_upstream_to_avoid_request_is_refused_at_once) {
  AddUpstream("u", 4);
  for (int tier = 0; tier < 5; ++tier) {
    auto wanted = Make(tier);
    wanted.avoid = {"u"};
    const auto refusal = Refused(Ask(wanted));
    BOOST_REQUIRE(refusal);
    BOOST_TEST((refusal->code == result_code::no_upstream));
  }
}

BOOST_AUTO_TEST_CASE(suspect_request_runs_alone_on_its_upstream) {
  AddUpstream("u1", 4);
  AddUpstream("u2", 4);
  auto suspect = Make(1);
  suspect.isolate = true;
  const auto given = Granted(Ask(suspect));
  BOOST_REQUIRE(given);
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(Granted(Ask(Make(1)))->given.upstream_id !=
               given->given.upstream_id);
  }
}

BOOST_AUTO_TEST_CASE(entry_gone_its_slots_are_free_again) {
  AddUpstream("u", 2);
  options.reserved_part = 0;
  BOOST_REQUIRE(Granted(Ask(Make(1))));
  BOOST_REQUIRE(Granted(Ask(Make(1))));
  auto other = Make(1);
  other.entry = "f";
  BOOST_TEST(!Granted(Ask(other)));
  const auto given = Granted(dispatch::OnEntryGone(pool, options, "e", now));
  BOOST_REQUIRE(given);
  BOOST_TEST(given->given.work.entry == "f");
  BOOST_TEST(pool.upstreams.at("u").in_flight == 1);
}

BOOST_AUTO_TEST_CASE(report_stale_own_count_still_decides) {
  AddUpstream("u1", 4);
  AddUpstream("u2", 4);
  dispatch::OnLoadReport(pool, "u1", 0.0, now);
  dispatch::OnLoadReport(pool, "u2", 0.0, now);
  std::map<std::string, int> given;
  for (int i = 0; i < 6; ++i) {
    ++given[Granted(Ask(Make(1)))->given.upstream_id];
  }
  BOOST_TEST(given["u1"] == 3);
  BOOST_TEST(given["u2"] == 3);
}

BOOST_AUTO_TEST_CASE(report_of_foreign_load_steers_work_away_then_fades) {
  AddUpstream("u1", 8);
  AddUpstream("u2", 8);
  dispatch::OnLoadReport(pool, "u1", 1.0, now);
  BOOST_TEST(Granted(Ask(Make(1)))->given.upstream_id == "u2");
  BOOST_TEST(Granted(Ask(Make(1)))->given.upstream_id == "u2");
  now += 20 * options.report_half_life;
  BOOST_TEST(Granted(Ask(Make(1)))->given.upstream_id == "u1");
}

BOOST_AUTO_TEST_CASE(same_prefix_goes_to_one_upstream_until_it_is_loaded) {
  for (int i = 0; i < 4; ++i) {
    AddUpstream("u" + std::to_string(i), 8);
  }
  std::map<std::string, int> given;
  for (int i = 0; i < 24; ++i) {
    auto wanted = Make(1);
    wanted.prefix = 42;
    const auto slot = Granted(Ask(wanted));
    BOOST_REQUIRE(slot);
    ++given[slot->given.upstream_id];
  }
  int most = 0;
  for (const auto& [unused, count] : given) {
    most = std::max(most, count);
  }
  BOOST_TEST(most < 12);
  const auto first = Granted(Ask(Make(1)));
  static_cast<void>(first);
}

BOOST_AUTO_TEST_CASE(same_prefix_one_at_a_time_stays_on_one_upstream) {
  for (int i = 0; i < 4; ++i) {
    AddUpstream("u" + std::to_string(i), 8);
  }
  std::set<std::string> used;
  for (int i = 0; i < 20; ++i) {
    auto wanted = Make(1);
    wanted.prefix = 42;
    const auto slot = Granted(Ask(wanted));
    used.insert(slot->given.upstream_id);
    Release(slot->given.id);
  }
  BOOST_TEST(used.size() == 1);
}

BOOST_AUTO_TEST_CASE(resumable_work_prefers_cheaper_bookings_standard) {
  AddUpstream("cheap", 4, true);
  AddUpstream("standard", 4, false);
  BOOST_TEST(Granted(Ask(Make(3)))->given.upstream_id == "cheap");
  BOOST_TEST(Granted(Ask(Make(0)))->given.upstream_id == "standard");
  BOOST_TEST(Granted(Ask(Make(1)))->given.upstream_id == "standard");
}

BOOST_AUTO_TEST_CASE(release_repeated_counts_once) {
  AddUpstream("u", 4);
  const auto one = Granted(Ask(Make(1)));
  const auto two = Granted(Ask(Make(1)));
  Release(one->given.id);
  Release(one->given.id);
  BOOST_TEST(pool.upstreams.at("u").in_flight == 1);
  Release(two->given.id);
  BOOST_TEST(pool.upstreams.at("u").in_flight == 0);
}

BOOST_AUTO_TEST_CASE(new_owner_told_of_grants_counts_them) {
  AddUpstream("u", 2);
  options.reserved_part = 0;
  dispatch::grant former;
  former.id = 900;
  former.work.entry = "e";
  former.upstream_id = "u";
  dispatch::AdoptGrant(pool, former);
  dispatch::AdoptGrant(pool, former);
  BOOST_TEST(pool.upstreams.at("u").in_flight == 1);
  BOOST_TEST(Granted(Ask(Make(1))).has_value());
  BOOST_TEST(!Granted(Ask(Make(1))).has_value());
}

BOOST_AUTO_TEST_CASE(pools_ordered_local_first_unless_wait_is_longer) {
  std::vector<dispatch::pool_choice> choices(3);
  choices[0] = {"far", false, 0ms, 0};
  choices[1] = {"near", true, 10ms, 0};
  choices[2] = {"busy", true, 500ms, 0};
  dispatch::OrderPools(choices, 20ms);
  BOOST_TEST(choices[0].pool == "near");
  BOOST_TEST(choices[1].pool == "far");
  BOOST_TEST(choices[2].pool == "busy");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
