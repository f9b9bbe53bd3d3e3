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

/** Crashes that condemn, and what the platform's rules allow afterwards. */
constexpr int kCrashesToCondemn = 3;
constexpr int kMostLaterRuns = 3;
/** Time after the last needed crash from which on runs count. */
constexpr auto kContactTime = 3000ms;
constexpr auto kDigestInterval = 750ms;
constexpr auto kStep = 250ms;
/** Above every fingerprint of `Innocent`. */
const std::string kPoison = "f0f0";

/** Entries that tell each other of suspects, in virtual time. */
struct fleet {
  struct entry {
    quarantine::suspect_table suspect_table;
    bool runs{true};
  };

  quarantine::options options;
  std::vector<entry> entries{8};
  mono_time now{1h};
  int crashes{};
  int later_runs{};
  std::optional<mono_time> third_crash_at;
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

  /** Sends the poison to an entry. @return False if it is refused there. */
  bool Send(entry& at) {
    if (quarantine::IsCondemned(at.suspect_table, kPoison)) {
      return false;
    }
    Crash(at, kPoison);
    if (third_crash_at && now - *third_crash_at > kContactTime) {
      ++later_runs;
    }
    if (++poison_runs == kCrashesToCondemn) {
      third_crash_at = now;
    }
    return true;
  }

  void Tell() {
    for (auto& from : entries) {
      if (!from.runs) {
        continue;
      }
      for (const auto* each :
           quarantine::SelectSuspects(from.suspect_table, options, now)
               .selected) {
        // A copy: what is told outlives what the receivers make of it.
        const auto [fingerprint, known] = *each;
        for (auto& to : entries) {
          if (&to != &from && to.runs) {
            quarantine::Merge(to.suspect_table, options, fingerprint, known,
                              now);
          }
        }
      }
    }
  }

  /** Lets time pass, with so many broken answers a second at each entry. */
  void Pass(std::chrono::milliseconds time, int broken_per_s = 0) {
    const auto end = now + time;
    while (now < end) {
      now += kStep;
      for (auto& each : entries) {
        quarantine::Tick(each.suspect_table, options, now);
        for (int i = 0; i < broken_per_s && each.runs; ++i) {
          if (random() % (1s / kStep) == 0) {
            Crash(each, Innocent());
          }
        }
      }
      if ((now - mono_time(1h)) % kDigestInterval == 0ms) {
        Tell();
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

BOOST_FIXTURE_TEST_SUITE(told_suspects, fleet)

// Broken answers of other requests crowded a crashing request out of the
// digests, so that each entry let it crash three upstreams of its own.
BOOST_AUTO_TEST_CASE(poison_amid_broken_answers_is_refused_by_all_entries) {
  Pass(5s, 4);
  for (int round = 0; round < 4; ++round) {
    for (auto& each : entries) {
      Send(each);
      Pass(1s, 4);
    }
  }
  BOOST_TEST(later_runs <= kMostLaterRuns);
  BOOST_TEST(IsCondemnedEverywhere());
}

// An entry that started after the crashes learned of them only by chance.
BOOST_AUTO_TEST_CASE(entry_started_after_crashes_refuses_condemned_request) {
  while (Send(entries.front())) {
    Pass(1s, 4);
  }
  Pass(30s, 4);
  entries.back() = {};
  Pass(kContactTime, 4);
  BOOST_TEST(!Send(entries.back()));
}

// An entry that was paused or cut off hears what was found meanwhile.
BOOST_AUTO_TEST_CASE(entry_away_during_crashes_refuses_condemned_request) {
  entries.back().runs = false;
  while (Send(entries.front())) {
    Pass(1s, 4);
  }
  Pass(20s, 4);
  entries.back().runs = true;
  Pass(kContactTime, 4);
  BOOST_TEST(!Send(entries.back()));
}

// Entries told each other of the same suspects for ever, since hearing of one
// made it news again.
BOOST_AUTO_TEST_CASE(suspect_without_further_crash_is_told_no_more) {
  Crash(entries.front(), kPoison);
  Pass(3 * options.advertise_for);
  for (auto& each : entries) {
    BOOST_TEST(quarantine::SelectSuspects(each.suspect_table, options, now)
                   .selected.empty());
  }
}

// For the same reason a request once condemned was never tried again.
BOOST_AUTO_TEST_CASE(condemned_request_without_crash_is_forgotten_in_time) {
  while (Send(entries.front())) {
    Pass(1s);
  }
  Pass(options.forget_after + 2 * kDigestInterval);
  for (const auto& each : entries) {
    BOOST_TEST(!quarantine::IsCondemned(each.suspect_table, kPoison));
  }
}

// A read that many send was running at three crashes that it did not cause.
BOOST_AUTO_TEST_CASE(request_served_between_unrelated_crashes_is_not_refused) {
  const std::string read = "b0b0";
  for (int i = 0; i < 2 * kCrashesToCondemn; ++i) {
    for (auto& each : entries) {
      BOOST_TEST(!quarantine::IsCondemned(each.suspect_table, read));
      quarantine::OnFinished(each.suspect_table, read);
    }
    Crash(entries[static_cast<std::size_t>(i)], read);
    Pass(2s);
  }
}

// A crash that the request did not cause counted again when others told of it.
BOOST_AUTO_TEST_CASE(cleared_crash_that_others_tell_of_again_does_not_count) {
  Crash(entries.back(), kPoison);
  Pass(kDigestInterval);
  auto& served = entries.front().suspect_table;
  BOOST_TEST(quarantine::CrashCount(served, kPoison) == 1);
  quarantine::OnFinished(served, kPoison);
  Pass(2 * kDigestInterval);
  BOOST_TEST(quarantine::CrashCount(served, kPoison) == 0);
}

// An upstream that restarts under its id is another one to each request that
// ends it; the requests that one crash ended share its name.
BOOST_AUTO_TEST_CASE(crashes_of_one_name_are_told_apart_by_time) {
  quarantine::crash_log log;
  const auto name = [&](std::chrono::milliseconds at) {
    return quarantine::AssignCrashId(log, options, "u1", "entry", now + at);
  };
  const auto first = name(0ms);
  BOOST_TEST(name(200ms) == first);
  const auto second = name(options.same_crash_window + 100ms);
  BOOST_TEST(second != first);
  BOOST_TEST(name(options.same_crash_window + 200ms) == second);
}

BOOST_AUTO_TEST_SUITE_END()

/** A fleet with relays, whose entries are cut off and restarted. */
struct troubled_fleet : fleet {
  static constexpr std::size_t kEntries = 40;
  static constexpr std::size_t kRelays = 4;
  static constexpr std::size_t kSeeds = 50;

  struct trouble {
    mono_time cut_until;
    /** In touch again the contact time after this. */
    mono_time troubled_at;
  };
  std::vector<trouble> troubles;
  bool is_row_written{};

  void Begin(std::uint64_t seed) {
    entries.assign(kEntries, {});
    troubles.assign(kEntries, {now - 1h, now - 1h});
    random.seed(static_cast<std::mt19937::result_type>(seed));
    poison_runs = later_runs = 0;
    third_crash_at.reset();
    is_row_written = false;
  }

  bool Chance(double part) {
    return std::uniform_real_distribution<double>(0, 1)(random) < part;
  }

  bool IsInTouch(std::size_t number) const {
    return now - troubles[number].troubled_at > kContactTime;
  }

  /** Entries tell the relays, and these everyone; datagrams may be lost. */
  void TellByRelays() {
    for (std::size_t from = 0; from < kEntries; ++from) {
      const auto news =
          quarantine::SelectSuspects(entries[from].suspect_table, options, now);
      for (std::size_t to = 0; to < kEntries; ++to) {
        const bool is_told = from < kRelays || to < kRelays;
        if (!is_told || to == from || !entries[from].runs ||
            !entries[to].runs || Chance(0.05)) {
          continue;
        }
        for (const auto* each : news.selected) {
          const auto [fingerprint, known] = *each;
          quarantine::Merge(entries[to].suspect_table, options, fingerprint,
                            known, now);
        }
      }
    }
  }

  void Disturb(std::size_t number) {
    auto& at = entries[number];
    auto& known = troubles[number];
    if (!at.runs && now >= known.cut_until) {
      at.runs = true;
      known.troubled_at = now;
    }
    if (at.runs && Chance(0.002)) {
      at.runs = false;
      known.cut_until = now + std::chrono::milliseconds(random() % 8000);
    }
    if (Chance(0.002)) {
      at.suspect_table = {};
      known.troubled_at = now;
      if (is_row_written) {
        quarantine::suspect row;
        row.condemned = true;
        row.crashed_at = now;
        quarantine::Merge(at.suspect_table, options, kPoison, row, now);
      }
    }
    if (!at.runs) {
      known.troubled_at = now;
    }
  }

  void KillAll() {
    for (std::size_t i = 0; i < kEntries; ++i) {
      entries[i] = {};
      troubles[i] = {now, now};
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
    if (!IsInTouch(number)) {
      later_runs = later_before;
    }
  }

  /** A minute with a burst of broken answers and the poison twice a second. */
  void Play() {
    const auto begin = now;
    const auto kill_at = begin + std::chrono::milliseconds(random() % 60000);
    while (now - begin < 60s) {
      now += kStep;
      if (now - kill_at >= 0ms && now - kill_at < kStep) {
        KillAll();
      }
      for (std::size_t i = 0; i < kEntries; ++i) {
        quarantine::Tick(entries[i].suspect_table, options, now);
        Disturb(i);
        if (Chance(0.5)) {
          Crash(entries[i], Innocent());
        }
      }
      if ((now - mono_time(1h)) % kDigestInterval == 0ms) {
        TellByRelays();
      }
      if (Chance(0.5)) {
        SendPoison(random() % kEntries);
      }
    }
  }
};

BOOST_FIXTURE_TEST_SUITE(told_through_relays, troubled_fleet)

// With relays between them, entries that restart, are cut off and lose
// datagrams beside a burst of broken answers sent a crashing request on again
// and again.
BOOST_AUTO_TEST_CASE(poison_in_a_troubled_fleet_is_refused_in_time) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Begin(seed);
    Play();
    BOOST_TEST_CONTEXT("seed " << seed) {
      BOOST_TEST(later_runs <= kMostLaterRuns);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
