#define BOOST_TEST_MODULE config
#include <boost/test/included/unit_test.hpp>

#include <random>

#include "config/config.h"
#include "stand_in/memory_platform.h"

namespace {

using namespace std::chrono_literals;
using mimosadeck::mono_time;
namespace config = mimosadeck::config;
namespace infra = mimosadeck::infra;

struct configured_store {
  mimosadeck::stand_in::memory_platform store;
  mono_time now{1h};

  static config::edit MakeEdit(std::uint64_t expected,
                               const std::string& nonce,
                               const std::string& value = "1") {
    config::edit out;
    out.proposed.version = expected + 1;
    out.proposed.author = "operator";
    out.proposed.nonce = nonce;
    out.proposed.changes = {{"path", value}};
    return out;
  }

  /** @brief Runs an edit to its result; stops after 50 replies. */
  config::edit_step RunEdit(config::edit& edit) {
    auto request = config::BeginEdit(edit);
    for (int i = 0; i < 50; ++i) {
      auto step = config::OnEditReply(edit, Handle(store, request));
      if (auto* next = std::get_if<infra::request>(&step)) {
        request = *next;
      } else if (auto* retry = std::get_if<config::edit_retry>(&step)) {
        request = retry->request;
      } else {
        return step;
      }
    }
    return config::edit_retry{};
  }

  bool PollStore(config::replica& replica) {
    config::poll poll;
    auto request = config::BeginPoll(poll, now);
    while (true) {
      auto step = config::OnPollReply(replica, poll, Handle(store, request));
      if (auto* done = std::get_if<config::poll_done>(&step)) {
        return done->store_answered;
      }
      request = std::get<infra::request>(step);
    }
  }

  void AcceptEdits(int count) {
    config::replica replica;
    PollStore(replica);
    for (int i = 0; i < count; ++i) {
      auto edit = MakeEdit(replica.current.version + static_cast<unsigned>(i),
                           "n" + std::to_string(i), std::to_string(i));
      BOOST_REQUIRE(
          std::holds_alternative<config::edit_accepted>(RunEdit(edit)));
    }
  }
};

BOOST_FIXTURE_TEST_SUITE(configuration, configured_store)

BOOST_AUTO_TEST_CASE(two_operators_racing_one_wins_other_learns_version) {
  auto first = MakeEdit(0, "a");
  auto second = MakeEdit(0, "b");
  auto first_request = config::BeginEdit(first);
  auto second_request = config::BeginEdit(second);
  auto first_step = config::OnEditReply(first, Handle(store, first_request));
  auto second_step = config::OnEditReply(second, Handle(store, second_request));
  first_step = config::OnEditReply(
      first, Handle(store, std::get<infra::request>(first_step)));
  second_step = config::OnEditReply(
      second, Handle(store, std::get<infra::request>(second_step)));
  BOOST_TEST(std::holds_alternative<config::edit_accepted>(first_step));
  while (std::holds_alternative<infra::request>(second_step)) {
    second_step = config::OnEditReply(
        second, Handle(store, std::get<infra::request>(second_step)));
  }
  BOOST_REQUIRE(std::holds_alternative<config::edit_conflict>(second_step));
  BOOST_TEST(std::get<config::edit_conflict>(second_step).newest_version == 1);
}

BOOST_AUTO_TEST_CASE(reply_lost_edit_is_accepted_once) {
  for (std::uint32_t lost = 1; lost <= 3; ++lost) {
    configured_store fresh;
    fresh.store.faults.lost_replies = lost;
    auto edit = MakeEdit(0, "a");
    BOOST_TEST(
        std::holds_alternative<config::edit_accepted>(fresh.RunEdit(edit)));
    config::replica replica;
    fresh.PollStore(replica);
    BOOST_TEST(replica.current.version == 1);
  }
}

BOOST_AUTO_TEST_CASE(reply_lost_and_other_wins_edit_is_not_accepted) {
  auto first = MakeEdit(0, "a");
  auto request = config::BeginEdit(first);
  auto step = config::OnEditReply(first, Handle(store, request));
  auto second = MakeEdit(0, "b");
  BOOST_REQUIRE(std::holds_alternative<config::edit_accepted>(RunEdit(second)));
  step = config::OnEditReply(first, infra::unknown_outcome{});
  while (!std::holds_alternative<config::edit_conflict>(step) &&
         !std::holds_alternative<config::edit_accepted>(step)) {
    const auto next = std::holds_alternative<infra::request>(step)
                          ? std::get<infra::request>(step)
                          : std::get<config::edit_retry>(step).request;
    step = config::OnEditReply(first, Handle(store, next));
  }
  BOOST_TEST(std::holds_alternative<config::edit_conflict>(step));
}

BOOST_AUTO_TEST_CASE(fresh_replica_takes_snapshot_and_newer_changes) {
  AcceptEdits(5);
  config::replica old;
  PollStore(old);
  store.objects[std::string(config::kSnapshotObject)] =
      config::EncodeDocument(old.current);
  AcceptEdits(3);
  for (int i = 1; i <= 5; ++i) {
    store.rows.erase(config::ChangeRow(static_cast<std::uint64_t>(i)));
  }
  config::replica fresh;
  BOOST_TEST(PollStore(fresh));
  BOOST_TEST(fresh.current.version == 8);
  BOOST_TEST(fresh.up_to_date_at.has_value());
}

BOOST_AUTO_TEST_CASE(replica_offered_older_state_keeps_its_version) {
  AcceptEdits(4);
  config::replica replica;
  PollStore(replica);
  config::document old;
  old.version = 2;
  BOOST_TEST(!config::ApplyPeerDocument(replica, old));
  config::change_set late;
  late.version = 3;
  BOOST_TEST(!config::ApplyPeerChanges(replica, {late}));
  store.rows.clear();
  PollStore(replica);
  BOOST_TEST(replica.current.version == 4);
}

BOOST_AUTO_TEST_CASE(peer_ahead_replica_catches_up_by_difference) {
  AcceptEdits(6);
  config::replica ahead;
  PollStore(ahead);
  config::replica behind;
  const auto all = config::ChangesSince(ahead, 0);
  BOOST_REQUIRE(all);
  BOOST_TEST(config::ApplyPeerChanges(behind, *all));
  BOOST_TEST((behind.current == ahead.current));
  BOOST_TEST(config::ChangesSince(ahead, 6)->empty());
}

BOOST_AUTO_TEST_CASE(peer_freshness_counts_from_probe_sending) {
  config::replica replica;
  config::OnPeerFreshness(replica, 0, 300ms, now);
  BOOST_REQUIRE(replica.up_to_date_at);
  BOOST_TEST((*replica.up_to_date_at == now - 300ms));
  config::OnPeerFreshness(replica, 5, 0ms, now + 1s);
  BOOST_TEST((*replica.up_to_date_at == now - 300ms));
}

BOOST_AUTO_TEST_CASE(random_edits_and_polls_versions_only_rise) {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    configured_store fresh;
    std::mt19937 random(seed);
    std::array<config::replica, 3> replicas;
    std::map<std::string, std::string> accepted;
    std::array<std::uint64_t, 3> last{};
    for (int step = 0; step < 80; ++step) {
      const auto index = random() % replicas.size();
      switch (random() % 6) {
        case 0: {
          auto edit = MakeEdit(replicas[index].current.version,
                               std::to_string(step), std::to_string(step));
          fresh.store.faults.lost_replies = random() % 3;
          static_cast<void>(fresh.RunEdit(edit));
          break;
        }
        case 1:
          fresh.store.faults.down = !fresh.store.faults.down;
          break;
        case 2: {
          const auto other = random() % replicas.size();
          const auto changes = config::ChangesSince(
              replicas[other], replicas[index].current.version);
          if (changes) {
            config::ApplyPeerChanges(replicas[index], *changes);
          }
          break;
        }
        default:
          fresh.now += 100ms;
          fresh.PollStore(replicas[index]);
      }
      for (std::size_t i = 0; i < replicas.size(); ++i) {
        BOOST_TEST(replicas[i].current.version >= last[i], "seed " << seed);
        last[i] = replicas[i].current.version;
      }
    }
    fresh.store.faults.down = false;
    for (auto& replica : replicas) {
      fresh.PollStore(replica);
    }
    BOOST_TEST((replicas[0].current == replicas[1].current), "seed " << seed);
    BOOST_TEST((replicas[1].current == replicas[2].current), "seed " << seed);
  }
}

struct freshness_case {
  std::string name;
  std::chrono::milliseconds copy_age;
  std::optional<std::chrono::milliseconds> store_age;
  bool majority_reachable;
  bool behind;
  config::freshness expected;
};

BOOST_AUTO_TEST_CASE(freshness_by_age_and_contact_follows_table) {
  const std::vector<freshness_case> table{
      {"young copy", 100ms, 100ms, true, false, config::freshness::fresh},
      {"young copy, no majority reachable", 100ms, 100ms, false, false,
       config::freshness::fresh},
      {"old copy, another entry reached the store", 9s, 100ms, true, false,
       config::freshness::stale},
      {"old copy, no entry reached the store, majority reachable", 9s, 8s, true,
       false, config::freshness::store_lost_by_all},
      {"old copy, store never reached, majority reachable", 9s, std::nullopt,
       true, false, config::freshness::store_lost_by_all},
      {"old copy, no majority reachable", 9s, 8s, false, false,
       config::freshness::stale},
      {"young copy, newer version known", 100ms, 100ms, true, true,
       config::freshness::stale},
  };
  for (const auto& expected_case : table) {
    BOOST_TEST_CONTEXT(expected_case.name) {
      config::replica replica;
      replica.current.version = 3;
      replica.newest_version = expected_case.behind ? 4 : 3;
      replica.up_to_date_at = now - expected_case.copy_age;
      config::fleet_contact contact;
      contact.majority_reachable = expected_case.majority_reachable;
      if (expected_case.store_age) {
        config::OnStoreContact(contact, now - *expected_case.store_age);
      }
      BOOST_TEST((config::EvaluateFreshness(replica, contact, 4s, now) ==
                  expected_case.expected));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
