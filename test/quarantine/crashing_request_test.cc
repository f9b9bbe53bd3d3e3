#define BOOST_TEST_MODULE crashing_request
#include <boost/test/included/unit_test.hpp>

#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "quarantine/quarantine.h"

namespace {

using namespace std::chrono_literals;
using mimosadeck::mono_time;
namespace quarantine = mimosadeck::quarantine;

constexpr int kCrashesToCondemn = 3;
/** Runs that the platform allows after a request must be condemned. */
constexpr int kMaxLaterRuns = 3;
/** Grace after the condemning crash before further runs count. */
constexpr auto kContactTime = 3000ms;
constexpr auto kDigestInterval = 750ms;
constexpr auto kStep = 250ms;
/** Sorts after every fingerprint of `Innocent`. */
const std::string kPoison = "f0f0";

/** Entries that advertise suspects to each other, in virtual time. */
struct fleet {
  struct entry {
    quarantine::suspect_table suspect_table;
    /** False while the entry is paused or partitioned. */
    bool is_connected{true};
  };

  quarantine::options options;
  std::vector<entry> entries{8};
  mono_time now{1h};
  int crashes{};
  int later_runs{};
  /** Time of the crash that must condemn the request. */
  std::optional<mono_time> condemning_crash_at;
  std::mt19937 random{7};

  fleet() {
    options.crashes_alone_to_condemn = options.crashes_to_condemn =
        kCrashesToCondemn;
  }

  std::string Innocent() { return "a" + std::to_string(random()); }

  void Crash(entry& at, const std::string& fingerprint) {
    static_cast<void>(quarantine::OnCrash(at.suspect_table, options,
                                          "crash " + std::to_string(++crashes),
                                          {fingerprint}, now));
  }

  /** Sends the crashing request to an entry. @return False if refused. */
  bool Send(entry& at) {
    if (quarantine::IsCondemned(at.suspect_table, kPoison)) {
      return false;
    }
    Crash(at, kPoison);
    if (condemning_crash_at && now - *condemning_crash_at > kContactTime) {
      ++later_runs;
    }
    if (++poison_runs == kCrashesToCondemn) {
      condemning_crash_at = now;
    }
    return true;
  }

  void BroadcastDigests() {
    for (auto& from : entries) {
      if (!from.is_connected) {
        continue;
      }
      for (const auto* each :
           quarantine::SelectSuspects(from.suspect_table, options, now)
               .selected) {
        // A copy, since merging changes the suspects of the receivers.
        const auto [fingerprint, advertised] = *each;
        for (auto& to : entries) {
          if (&to != &from && to.is_connected) {
            quarantine::Merge(to.suspect_table, options, fingerprint,
                              advertised, now);
          }
        }
      }
    }
  }

  /** Advances time, with a rate of broken answers at each entry. */
  void Advance(std::chrono::milliseconds time, int broken_per_s = 0) {
    const auto end = now + time;
    while (now < end) {
      now += kStep;
      for (auto& each : entries) {
        quarantine::Tick(each.suspect_table, options, now);
        for (int i = 0; i < broken_per_s && each.is_connected; ++i) {
          if (random() % (1s / kStep) == 0) {
            Crash(each, Innocent());
          }
        }
      }
      if ((now - mono_time(1h)) % kDigestInterval == 0ms) {
        BroadcastDigests();
      }
    }
  }

  bool IsCondemnedEverywhere() const {
    return std::all_of(entries.begin(), entries.end(), [](const auto& each) {
      return quarantine::IsCondemned(each.suspect_table, kPoison);
    });
  }

  int poison_runs{};
};

BOOST_FIXTURE_TEST_SUITE(advertised_suspects, fleet)

// Guards against a crashing request that is displaced from the digests by
// broken answers of other requests, so that every entry lets it crash three
// upstreams until its own count condemns it.
BOOST_AUTO_TEST_CASE(poison_amid_broken_answers_is_refused_by_all_entries) {
  Advance(5s, 4);
  for (int round = 0; round < 4; ++round) {
    for (auto& each : entries) {
      Send(each);
      Advance(1s, 4);
    }
  }
  BOOST_TEST(later_runs <= kMaxLaterRuns);
  BOOST_TEST(IsCondemnedEverywhere());
}

// Guards against an entry that starts after the crashes and is not sent the
// condemned request, since its advertising has ended.
BOOST_AUTO_TEST_CASE(entry_started_after_crashes_refuses_condemned_request) {
  while (Send(entries.front())) {
    Advance(1s, 4);
  }
  Advance(30s, 4);
  entries.back() = {};
  Advance(kContactTime, 4);
  BOOST_TEST(!Send(entries.back()));
}

// An entry that was paused or partitioned receives what it missed.
BOOST_AUTO_TEST_CASE(entry_away_during_crashes_refuses_condemned_request) {
  entries.back().is_connected = false;
  while (Send(entries.front())) {
    Advance(1s, 4);
  }
  Advance(20s, 4);
  entries.back().is_connected = true;
  Advance(kContactTime, 4);
  BOOST_TEST(!Send(entries.back()));
}

// Guards against endless advertising: receiving a known suspect must not
// restart its advertising.
BOOST_AUTO_TEST_CASE(suspect_without_further_crash_is_advertised_no_more) {
  Crash(entries.front(), kPoison);
  Advance(3 * options.advertise_for);
  for (auto& each : entries) {
    BOOST_TEST(quarantine::SelectSuspects(each.suspect_table, options, now)
                   .selected.empty());
  }
}

// Guards against endless retention: entries that advertise a condemned request
// to each other must not extend its retention.
BOOST_AUTO_TEST_CASE(condemned_request_without_crash_is_forgotten_in_time) {
  while (Send(entries.front())) {
    Advance(1s);
  }
  Advance(options.forget_after + 2 * kDigestInterval);
  for (const auto& each : entries) {
    BOOST_TEST(!quarantine::IsCondemned(each.suspect_table, kPoison));
  }
}

// Guards against condemning a frequent request that was running at crashes of
// other requests and completes between them.
BOOST_AUTO_TEST_CASE(request_served_between_unrelated_crashes_is_not_refused) {
  const std::string read = "b0b0";
  for (int i = 0; i < 2 * kCrashesToCondemn; ++i) {
    for (auto& each : entries) {
      BOOST_TEST(!quarantine::IsCondemned(each.suspect_table, read));
      quarantine::OnFinished(each.suspect_table, read);
    }
    Crash(entries[static_cast<std::size_t>(i)], read);
    Advance(2s);
  }
}

// Guards against counting a cleared crash again when other entries still
// advertise it.
BOOST_AUTO_TEST_CASE(cleared_crash_advertised_again_does_not_count) {
  Crash(entries.back(), kPoison);
  Advance(kDigestInterval);
  auto& served = entries.front().suspect_table;
  BOOST_TEST(quarantine::CrashCount(served, kPoison) == 1);
  quarantine::OnFinished(served, kPoison);
  Advance(2 * kDigestInterval);
  BOOST_TEST(quarantine::CrashCount(served, kPoison) == 0);
}

// Failures within the window share the id of one crash; a later failure of the
// same upstream, which may have restarted under its id, is another crash.
BOOST_AUTO_TEST_CASE(crashes_of_one_upstream_differ_after_the_window) {
  quarantine::crash_log log;
  const auto crash_id = [&](std::chrono::milliseconds at) {
    return quarantine::AssignCrashId(log, options, "u1", "entry", now + at);
  };
  const auto first = crash_id(0ms);
  BOOST_TEST(crash_id(200ms) == first);
  const auto second = crash_id(options.same_crash_window + 100ms);
  BOOST_TEST(second != first);
  BOOST_TEST(crash_id(options.same_crash_window + 200ms) == second);
}

BOOST_AUTO_TEST_SUITE_END()

/** A fleet with relays, whose entries are partitioned and restarted. */
struct faulty_fleet : fleet {
  static constexpr std::size_t kEntries = 40;
  static constexpr std::size_t kRelays = 4;
  static constexpr std::size_t kSeeds = 50;

  struct fault {
    mono_time partitioned_until;
    /** In contact again `kContactTime` after this. */
    mono_time last_fault_at;
  };
  std::vector<fault> faults;
  bool is_row_written{};

  void Begin(std::uint64_t seed) {
    entries.assign(kEntries, {});
    faults.assign(kEntries, {now - 1h, now - 1h});
    random.seed(static_cast<std::mt19937::result_type>(seed));
    poison_runs = later_runs = 0;
    condemning_crash_at.reset();
    is_row_written = false;
  }

  bool Chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random) < probability;
  }

  bool IsInContact(std::size_t number) const {
    return now - faults[number].last_fault_at > kContactTime;
  }

  /** Sends digests to and from the relays; 5 % of the datagrams are lost. */
  void BroadcastByRelays() {
    for (std::size_t from = 0; from < kEntries; ++from) {
      const auto selection =
          quarantine::SelectSuspects(entries[from].suspect_table, options, now);
      for (std::size_t to = 0; to < kEntries; ++to) {
        const bool is_sent = from < kRelays || to < kRelays;
        if (!is_sent || to == from || !entries[from].is_connected ||
            !entries[to].is_connected || Chance(0.05)) {
          continue;
        }
        for (const auto* each : selection.selected) {
          const auto [fingerprint, advertised] = *each;
          quarantine::Merge(entries[to].suspect_table, options, fingerprint,
                            advertised, now);
        }
      }
    }
  }

  /** Partitions or restarts an entry at random. */
  void InjectFaults(std::size_t number) {
    auto& at = entries[number];
    auto& current = faults[number];
    if (!at.is_connected && now >= current.partitioned_until) {
      at.is_connected = true;
      current.last_fault_at = now;
    }
    if (at.is_connected && Chance(0.002)) {
      at.is_connected = false;
      current.partitioned_until =
          now + std::chrono::milliseconds(random() % 8000);
    }
    if (Chance(0.002)) {
      at.suspect_table = {};
      current.last_fault_at = now;
      if (is_row_written) {
        quarantine::suspect row;
        row.condemned = true;
        row.crashed_at = now;
        quarantine::Merge(at.suspect_table, options, kPoison, row, now);
      }
    }
    if (!at.is_connected) {
      current.last_fault_at = now;
    }
  }

  /** Restarts every entry; one reads the condemned request from the store. */
  void KillAll() {
    for (std::size_t i = 0; i < kEntries; ++i) {
      entries[i] = {};
      faults[i] = {now, now};
    }
    if (is_row_written) {
      quarantine::suspect row;
      row.condemned = true;
      row.crashed_at = now;
      quarantine::Merge(entries.back().suspect_table, options, kPoison, row,
                        now);
    }
  }

  void SendPoison(std::size_t number) {
    auto& at = entries[number].suspect_table;
    const auto later_before = later_runs;
    Send(entries[number]);
    is_row_written = is_row_written || quarantine::IsCondemned(at, kPoison);
    if (!IsInContact(number)) {
      later_runs = later_before;
    }
  }

  /** Simulates a minute with broken answers at all entries and the crashing
   * request twice a second. */
  void Run() {
    const auto begin = now;
    const auto kill_at = begin + std::chrono::milliseconds(random() % 60000);
    while (now - begin < 60s) {
      now += kStep;
      if (now - kill_at >= 0ms && now - kill_at < kStep) {
        KillAll();
      }
      for (std::size_t i = 0; i < kEntries; ++i) {
        quarantine::Tick(entries[i].suspect_table, options, now);
        InjectFaults(i);
        if (Chance(0.5)) {
          Crash(entries[i], Innocent());
        }
      }
      if ((now - mono_time(1h)) % kDigestInterval == 0ms) {
        BroadcastByRelays();
      }
      if (Chance(0.5)) {
        SendPoison(random() % kEntries);
      }
    }
  }
};

BOOST_FIXTURE_TEST_SUITE(advertised_through_relays, faulty_fleet)

// Guards against a crashing request that is forwarded repeatedly while entries
// restart, are partitioned and lose datagrams between relays, and many answers
// of other requests break.
BOOST_AUTO_TEST_CASE(poison_in_a_faulty_fleet_is_refused_in_time) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Begin(seed);
    Run();
    BOOST_TEST_CONTEXT("seed " << seed) {
      BOOST_TEST(later_runs <= kMaxLaterRuns);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
