#define BOOST_TEST_MODULE membership
#include <boost/test/included/unit_test.hpp>

#include "membership/membership.h"

namespace {

using namespace std::chrono_literals;
using mimosadeck::mono_time;
namespace membership = mimosadeck::membership;

/** @brief Entries that gossip in rounds. */
struct gossip_fixture {
  mono_time now{1h};
  membership::options options;
  std::map<std::string, membership::view> views;
  std::set<std::string> dead;
  /** Pairs of sender and receiver whose messages are lost. */
  std::set<std::pair<std::string, std::string>> cuts;
  std::mt19937_64 random{11};

  void AddMember(const std::string& id, std::uint64_t incarnation = 1) {
    membership::member self;
    self.id = id;
    self.incarnation = incarnation;
    views[id] = {};
    membership::Join(views[id], self, now);
    dead.erase(id);
  }

  void Fill(int count) {
    for (int i = 0; i < count; ++i) {
      AddMember("e" + std::to_string(i));
    }
    Introduce();
  }

  void Introduce() {
    for (auto& [id, view] : views) {
      for (const auto& [other, other_view] : views) {
        if (id != other) {
          membership::OnUpdate(view, options, other_view.members.at(other),
                               now);
        }
      }
    }
  }

  /** @brief Delivers one message. @return False if it was lost. */
  bool Deliver(const std::string& from, const std::string& to) {
    const auto updates = membership::SelectUpdates(views[from], options);
    if (dead.contains(to) || dead.contains(from) || cuts.contains({from, to})) {
      return false;
    }
    for (const auto& update : updates) {
      membership::OnUpdate(views[to], options, update, now);
    }
    return true;
  }

  void Probe(const std::string& from, const std::string& to) {
    if (Deliver(from, to) && Deliver(to, from)) {
      membership::OnProbeAnswered(views[from], options, to, now);
    } else {
      membership::OnProbeFailed(views[from], options, to, now);
    }
  }

  void Run(std::chrono::milliseconds time) {
    for (const auto end = now + time; now < end; now += options.interval) {
      for (auto& [id, view] : views) {
        if (dead.contains(id)) {
          continue;
        }
        for (const auto& target :
             membership::Tick(view, options, now, random)) {
          Probe(id, target);
        }
      }
    }
  }

  membership::member_state State(const std::string& seen_by,
                                 const std::string& id) {
    return membership::StateOf(views[seen_by], id);
  }
};

BOOST_FIXTURE_TEST_SUITE(gossip, gossip_fixture)

BOOST_AUTO_TEST_CASE(members_gossiping_all_are_alive) {
  Fill(9);
  Run(5s);
  for (const auto& [id, view] : views) {
    BOOST_TEST(membership::Eligible(view).size() == 9);
    BOOST_TEST(membership::ReachesMajority(view));
  }
}

BOOST_AUTO_TEST_CASE(member_killed_is_dead_within_bound_everywhere) {
  Fill(9);
  Run(3s);
  dead.insert("e3");
  Run(options.suspicion_timeout + 4s);
  for (const auto& [id, view] : views) {
    if (id != "e3") {
      BOOST_TEST((State(id, "e3") == membership::member_state::dead));
      BOOST_TEST(membership::Eligible(view).size() == 8);
    }
  }
}

BOOST_AUTO_TEST_CASE(one_direction_cut_member_stays_alive) {
  Fill(5);
  cuts.insert({"e0", "e1"});
  Run(10s);
  BOOST_TEST((State("e1", "e0") == membership::member_state::alive));
  BOOST_TEST((State("e0", "e1") == membership::member_state::alive));
}

BOOST_AUTO_TEST_CASE(cut_off_minority_reaches_no_majority) {
  Fill(5);
  Run(2s);
  for (int i = 1; i < 5; ++i) {
    cuts.insert({"e0", "e" + std::to_string(i)});
    cuts.insert({"e" + std::to_string(i), "e0"});
  }
  Run(options.suspicion_timeout + 2s);
  BOOST_TEST(!membership::ReachesMajority(views["e0"]));
  BOOST_TEST(membership::ReachesMajority(views["e1"]));
}

BOOST_AUTO_TEST_CASE(member_restarted_newer_incarnation_replaces_older) {
  AddMember("a");
  AddMember("b", 1);
  Introduce();
  auto old = views["b"].members.at("b");
  old.heartbeat = 1000;
  membership::OnUpdate(views["a"], options, old, now);
  AddMember("b", 2);
  BOOST_TEST(membership::OnUpdate(views["a"], options,
                                  views["b"].members.at("b"), now));
  BOOST_TEST(!membership::OnUpdate(views["a"], options, old, now));
  BOOST_TEST(views["a"].members.at("b").incarnation == 2);
}

BOOST_AUTO_TEST_CASE(member_leaving_gets_no_work_and_stays_leaving) {
  AddMember("a");
  AddMember("b");
  Introduce();
  auto leaving = views["b"].members.at("b");
  leaving.leaving = true;
  leaving.heartbeat = 5;
  membership::OnUpdate(views["a"], options, leaving, now);
  auto late = leaving;
  late.leaving = false;
  late.heartbeat = 6;
  membership::OnUpdate(views["a"], options, late, now);
  BOOST_TEST(membership::Eligible(views["a"]).size() == 1);
}

BOOST_AUTO_TEST_CASE(vm_list_without_member_or_with_leaving_member_is_applied) {
  AddMember("a");
  AddMember("b");
  AddMember("c");
  Introduce();
  membership::OnVmList(views["a"], {"a", "b"}, {"c"}, now);
  BOOST_TEST(views["a"].members.at("c").leaving);
  membership::OnVmList(views["a"], {"a", "b"}, {}, now);
  BOOST_TEST(views["a"].members.at("c").off_list);
}

BOOST_AUTO_TEST_CASE(large_fleet_sees_every_member_with_bounded_messages) {
  Fill(100);
  Run(60s);
  for (const auto& [id, view] : views) {
    BOOST_TEST(membership::Eligible(view).size() == 100);
  }
  BOOST_TEST(membership::SelectUpdates(views["e0"], options).size() <=
             options.updates_per_message + 1);
}

BOOST_AUTO_TEST_CASE(large_fleet_member_killed_is_dead_everywhere) {
  Fill(100);
  Run(10s);
  dead.insert("e42");
  Run(15s);
  for (const auto& [id, unused] : views) {
    if (id != "e42") {
      BOOST_TEST((State(id, "e42") == membership::member_state::dead), id);
    }
  }
}

BOOST_AUTO_TEST_CASE(large_fleet_member_leaving_is_seen_within_seconds) {
  Fill(100);
  Run(10s);
  membership::Leave(views["e42"], options);
  Run(4s);
  for (const auto& [id, view] : views) {
    BOOST_TEST(membership::Eligible(view).size() == 99, id);
  }
}

BOOST_AUTO_TEST_CASE(member_suspected_wrongly_refutes_and_is_alive) {
  Fill(9);
  Run(2s);
  for (int i = 1; i < 4; ++i) {
    for (int failure = 0; failure < 2; ++failure) {
      membership::OnProbeFailed(views["e" + std::to_string(i)], options, "e0",
                                now);
    }
    BOOST_TEST((State("e" + std::to_string(i), "e0") ==
                membership::member_state::suspect));
  }
  Run(5s);
  for (const auto& [id, unused] : views) {
    BOOST_TEST((State(id, "e0") == membership::member_state::alive), id);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
