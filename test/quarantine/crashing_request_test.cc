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
    quarantine::ward ward;
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
    options.crashes_alone = options.crashes_in_all = kCrashesToCondemn;
  }

  std::string Innocent() { return "a" + std::to_string(random()); }

  void Crash(entry& at, const std::string& fingerprint) {
    static_cast<void>(quarantine::OnCrash(at.ward, options,
                                          "crash " + std::to_string(++crashes),
                                          {fingerprint}, now));
  }

  /** Sends the poison to an entry. @return False if it is refused there. */
  bool Send(entry& at) {
    if (quarantine::IsCondemned(at.ward, kPoison)) {
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
           quarantine::ToTell(from.ward, options, now).told) {
        // A copy: what is told outlives what the receivers make of it.
        const auto [fingerprint, known] = *each;
        for (auto& to : entries) {
          if (&to != &from && to.runs) {
            quarantine::Merge(to.ward, options, fingerprint, known, now);
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
        quarantine::Tick(each.ward, options, now);
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
      return quarantine::IsCondemned(each.ward, kPoison);
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
  Pass(3 * options.told_for);
  for (auto& each : entries) {
    BOOST_TEST(quarantine::ToTell(each.ward, options, now).told.empty());
  }
}

// For the same reason a request once condemned was never tried again.
BOOST_AUTO_TEST_CASE(condemned_request_without_crash_is_forgotten_in_time) {
  while (Send(entries.front())) {
    Pass(1s);
  }
  Pass(options.forget_after + 2 * kDigestInterval);
  for (const auto& each : entries) {
    BOOST_TEST(!quarantine::IsCondemned(each.ward, kPoison));
  }
}

// A read that many send was running at three crashes that it did not cause.
BOOST_AUTO_TEST_CASE(request_served_between_unrelated_crashes_is_not_refused) {
  const std::string read = "b0b0";
  for (int i = 0; i < 2 * kCrashesToCondemn; ++i) {
    for (auto& each : entries) {
      BOOST_TEST(!quarantine::IsCondemned(each.ward, read));
      quarantine::OnFinished(each.ward, read);
    }
    Crash(entries[static_cast<std::size_t>(i)], read);
    Pass(2s);
  }
}

// An upstream that restarts under its id is another one to each request that
// ends it; the requests that one crash ended share its name.
BOOST_AUTO_TEST_CASE(crashes_of_one_name_are_told_apart_by_time) {
  quarantine::crash_log log;
  const auto name = [&](std::chrono::milliseconds at) {
    return quarantine::NameCrash(log, options, "u1", "entry", now + at);
  };
  const auto first = name(0ms);
  BOOST_TEST(name(200ms) == first);
  const auto second = name(options.one_crash_within + 100ms);
  BOOST_TEST(second != first);
  BOOST_TEST(name(options.one_crash_within + 200ms) == second);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
