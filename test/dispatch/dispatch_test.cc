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
  std::uint64_t next_id{1};

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

  dispatch::request MakeRequest(int tier, const std::string& account = "a") {
    dispatch::request out;
    out.id = next_id++;
    out.entry = "e";
    out.account = account;
    out.tier = tier;
    out.expected_tokens = 20;
    out.max_wait = 60s;
    out.resumable = tier >= 3;
    return out;
  }

  std::vector<dispatch::action> SendRequest(const dispatch::request& wanted) {
    return dispatch::OnRequest(pool, options, wanted, now);
  }

  static std::optional<dispatch::granted> Granted(
      const std::vector<dispatch::action>& actions) {
    for (const auto& action : actions) {
      if (const auto* granted = std::get_if<dispatch::granted>(&action)) {
        return *granted;
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

BOOST_AUTO_TEST_CASE(burst_of_all_classes_bookings_are_never_refused) {
  AddUpstream("u1", 10);
  AddUpstream("u2", 10);
  std::mt19937 random(3);
  std::vector<std::pair<mono_time, std::uint64_t>> running;
  int bookings = 0;
  int served = 0;
  std::chrono::milliseconds longest_wait{0};
  std::map<std::uint64_t, mono_time> requested_at;
  const auto apply = [&](const std::vector<dispatch::action>& actions) {
    for (const auto& action : actions) {
      if (const auto* granted = std::get_if<dispatch::granted>(&action)) {
        const bool booking = granted->grant.request.tier == 0;
        running.push_back({now + (booking ? 20ms : 1000ms), granted->grant.id});
        if (booking) {
          ++served;
          longest_wait =
              std::max(longest_wait,
                       std::chrono::duration_cast<std::chrono::milliseconds>(
                           now - requested_at.at(granted->grant.request.id)));
        }
      } else if (const auto* refusal =
                     std::get_if<dispatch::refused>(&action)) {
        BOOST_TEST(refusal->request.tier != 0);
      } else {
        BOOST_TEST(std::get<dispatch::preempt>(action).grant.request.tier != 0);
      }
    }
  };
  for (int step = 0; step < 3000; ++step, now += 10ms) {
    for (int i = 0; i < 2; ++i) {
      apply(SendRequest(MakeRequest(1 + static_cast<int>(random() % 4))));
    }
    if (step % 10 == 0) {
      ++bookings;
      const auto wanted = MakeRequest(0);
      requested_at[wanted.id] = now;
      apply(SendRequest(wanted));
    }
    for (auto it = running.begin(); it != running.end();) {
      if (it->first <= now) {
        const auto grant = it->second;
        it = running.erase(it);
        apply(Release(grant));
        it = running.begin();
      } else {
        ++it;
      }
    }
    apply(dispatch::Tick(pool, options, now));
  }
  BOOST_TEST(served >= bookings - 1);
  BOOST_TEST(longest_wait.count() <= 500);
}

BOOST_AUTO_TEST_CASE(slots_full_urgent_request_preempts_resumable_only) {
  AddUpstream("u", 2);
  options.reserved_fraction = 0;
  const auto lookup = Granted(SendRequest(MakeRequest(2)));
  const auto draft = Granted(SendRequest(MakeRequest(4)));
  BOOST_REQUIRE(lookup);
  BOOST_REQUIRE(draft);
  const auto actions = SendRequest(MakeRequest(1));
  BOOST_REQUIRE(actions.size() == 1);
  const auto* victim = std::get_if<dispatch::preempt>(&actions.front());
  BOOST_REQUIRE(victim);
  BOOST_TEST(victim->grant.id == draft->grant.id);
  const auto granted =
      Granted(Release(draft->grant.id, dispatch::ending::preempted));
  BOOST_REQUIRE(granted);
  BOOST_TEST(granted->grant.request.tier == 1);
}

BOOST_AUTO_TEST_CASE(running_booking_is_never_preempted) {
  AddUpstream("u", 1);
  BOOST_REQUIRE(Granted(SendRequest(MakeRequest(0))));
  for (int i = 0; i < 10; ++i) {
    for (const auto& action : SendRequest(MakeRequest(i % 5))) {
      BOOST_TEST(!std::holds_alternative<dispatch::preempt>(action));
    }
  }
}

BOOST_AUTO_TEST_CASE(predicted_wait_too_long_refused_at_once_with_retry_after) {
  AddUpstream("u", 1);
  options.reserved_fraction = 0;
  options.tokens_per_slot_second = 10;
  BOOST_REQUIRE(Granted(SendRequest(MakeRequest(2))));
  auto patient = MakeRequest(2);
  patient.expected_tokens = 100;
  BOOST_TEST(SendRequest(patient).empty());
  auto hasty = MakeRequest(2);
  hasty.max_wait = 2s;
  const auto refusal = Refused(SendRequest(hasty));
  BOOST_REQUIRE(refusal);
  BOOST_TEST((refusal->code == result_code::wait_too_long));
  BOOST_TEST(refusal->retry_after.count() == 8000);
}

BOOST_AUTO_TEST_CASE(deadline_passed_in_queue_request_is_refused) {
  AddUpstream("u", 1);
  options.reserved_fraction = 0;
  options.predict_wait = false;
  BOOST_REQUIRE(Granted(SendRequest(MakeRequest(2))));
  auto wanted = MakeRequest(2);
  wanted.max_wait = 1s;
  BOOST_TEST(SendRequest(wanted).empty());
  BOOST_TEST(dispatch::Tick(pool, options, now + 999ms).empty());
  const auto refusal = Refused(dispatch::Tick(pool, options, now + 1s));
  BOOST_REQUIRE(refusal);
  BOOST_TEST((refusal->code == result_code::deadline_passed));
}

BOOST_AUTO_TEST_CASE(leaving_upstream_gets_no_new_requests) {
  AddUpstream("u1", 4);
  AddUpstream("u2", 4);
  const auto running = Granted(SendRequest(MakeRequest(1)));
  dispatch::RetainUpstreams(pool, {"u2"});
  for (int i = 0; i < 3; ++i) {
    const auto granted = Granted(SendRequest(MakeRequest(1)));
    BOOST_REQUIRE(granted);
    BOOST_TEST(granted->grant.upstream_id == "u2");
  }
  static_cast<void>(running);
}

BOOST_AUTO_TEST_CASE(failed_upstream_gets_no_requests_during_its_pause) {
  AddUpstream("u1", 4);
  AddUpstream("u2", 4);
  const auto granted = Granted(SendRequest(MakeRequest(1)));
  Release(granted->grant.id, dispatch::ending::upstream_failed);
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(Granted(SendRequest(MakeRequest(1)))->grant.upstream_id !=
               granted->grant.upstream_id);
  }
  now += options.failure_pause;
  bool used = false;
  for (int i = 0; i < 4; ++i) {
    const auto again = Granted(SendRequest(MakeRequest(1)));
    used = used ||
           (again && again->grant.upstream_id == granted->grant.upstream_id);
  }
  BOOST_TEST(used);
}

BOOST_AUTO_TEST_CASE(all_upstreams_avoided_request_is_refused_at_once) {
  AddUpstream("u", 4);
  for (int tier = 0; tier < 5; ++tier) {
    auto wanted = MakeRequest(tier);
    wanted.avoid = {"u"};
    const auto refusal = Refused(SendRequest(wanted));
    BOOST_REQUIRE(refusal);
    BOOST_TEST((refusal->code == result_code::no_upstream));
  }
}

BOOST_AUTO_TEST_CASE(suspect_request_runs_alone_on_its_upstream) {
  AddUpstream("u1", 4);
  AddUpstream("u2", 4);
  auto suspect = MakeRequest(1);
  suspect.run_alone = true;
  const auto granted = Granted(SendRequest(suspect));
  BOOST_REQUIRE(granted);
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(Granted(SendRequest(MakeRequest(1)))->grant.upstream_id !=
               granted->grant.upstream_id);
  }
}

BOOST_AUTO_TEST_CASE(entry_gone_its_slots_are_released) {
  AddUpstream("u", 2);
  options.reserved_fraction = 0;
  BOOST_REQUIRE(Granted(SendRequest(MakeRequest(1))));
  BOOST_REQUIRE(Granted(SendRequest(MakeRequest(1))));
  auto other = MakeRequest(1);
  other.entry = "f";
  BOOST_TEST(!Granted(SendRequest(other)));
  const auto granted = Granted(dispatch::OnEntryGone(pool, options, "e", now));
  BOOST_REQUIRE(granted);
  BOOST_TEST(granted->grant.request.entry == "f");
  BOOST_TEST(pool.upstreams.at("u").in_flight == 1);
}

BOOST_AUTO_TEST_CASE(outdated_reports_granted_slots_decide) {
  AddUpstream("u1", 4);
  AddUpstream("u2", 4);
  dispatch::OnLoadReport(pool, "u1", 0.0, now);
  dispatch::OnLoadReport(pool, "u2", 0.0, now);
  std::map<std::string, int> granted;
  for (int i = 0; i < 6; ++i) {
    ++granted[Granted(SendRequest(MakeRequest(1)))->grant.upstream_id];
  }
  BOOST_TEST(granted["u1"] == 3);
  BOOST_TEST(granted["u2"] == 3);
}

BOOST_AUTO_TEST_CASE(report_of_external_load_diverts_requests_then_decays) {
  AddUpstream("u1", 8);
  AddUpstream("u2", 8);
  dispatch::OnLoadReport(pool, "u1", 1.0, now);
  BOOST_TEST(Granted(SendRequest(MakeRequest(1)))->grant.upstream_id == "u2");
  BOOST_TEST(Granted(SendRequest(MakeRequest(1)))->grant.upstream_id == "u2");
  now += 20 * options.load_report_half_life;
  BOOST_TEST(Granted(SendRequest(MakeRequest(1)))->grant.upstream_id == "u1");
}

BOOST_AUTO_TEST_CASE(same_prefix_in_parallel_spreads_over_upstreams) {
  for (int i = 0; i < 4; ++i) {
    AddUpstream("u" + std::to_string(i), 8);
  }
  std::map<std::string, int> granted;
  for (int i = 0; i < 24; ++i) {
    auto wanted = MakeRequest(1);
    wanted.prefix = 42;
    const auto slot = Granted(SendRequest(wanted));
    BOOST_REQUIRE(slot);
    ++granted[slot->grant.upstream_id];
  }
  int most = 0;
  for (const auto& [unused, count] : granted) {
    most = std::max(most, count);
  }
  BOOST_TEST(most < 12);
  const auto first = Granted(SendRequest(MakeRequest(1)));
  static_cast<void>(first);
}

BOOST_AUTO_TEST_CASE(same_prefix_in_sequence_stays_on_one_upstream) {
  for (int i = 0; i < 4; ++i) {
    AddUpstream("u" + std::to_string(i), 8);
  }
  std::set<std::string> used;
  for (int i = 0; i < 20; ++i) {
    auto wanted = MakeRequest(1);
    wanted.prefix = 42;
    const auto slot = Granted(SendRequest(wanted));
    used.insert(slot->grant.upstream_id);
    Release(slot->grant.id);
  }
  BOOST_TEST(used.size() == 1);
}

BOOST_AUTO_TEST_CASE(resumable_requests_prefer_cheaper_bookings_standard) {
  AddUpstream("cheap", 4, true);
  AddUpstream("standard", 4, false);
  BOOST_TEST(Granted(SendRequest(MakeRequest(3)))->grant.upstream_id ==
             "cheap");
  BOOST_TEST(Granted(SendRequest(MakeRequest(0)))->grant.upstream_id ==
             "standard");
  BOOST_TEST(Granted(SendRequest(MakeRequest(1)))->grant.upstream_id ==
             "standard");
}

BOOST_AUTO_TEST_CASE(repeated_release_counts_once) {
  AddUpstream("u", 4);
  const auto one = Granted(SendRequest(MakeRequest(1)));
  const auto two = Granted(SendRequest(MakeRequest(1)));
  Release(one->grant.id);
  Release(one->grant.id);
  BOOST_TEST(pool.upstreams.at("u").in_flight == 1);
  Release(two->grant.id);
  BOOST_TEST(pool.upstreams.at("u").in_flight == 0);
}

BOOST_AUTO_TEST_CASE(new_owner_counts_adopted_grants) {
  AddUpstream("u", 2);
  options.reserved_fraction = 0;
  dispatch::grant adopted;
  adopted.id = 900;
  adopted.request.entry = "e";
  adopted.upstream_id = "u";
  dispatch::AdoptGrant(pool, adopted);
  dispatch::AdoptGrant(pool, adopted);
  BOOST_TEST(pool.upstreams.at("u").in_flight == 1);
  BOOST_TEST(Granted(SendRequest(MakeRequest(1))).has_value());
  BOOST_TEST(!Granted(SendRequest(MakeRequest(1))).has_value());
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
