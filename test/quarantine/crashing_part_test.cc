#define BOOST_TEST_MODULE crashing_part
#include <boost/test/included/unit_test.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "quarantine/quarantine.h"

namespace {

using namespace std::chrono_literals;
using mimosadeck::mono_time;
using std::chrono::milliseconds;
namespace quarantine = mimosadeck::quarantine;

constexpr milliseconds kStep{10};
constexpr milliseconds kDigestInterval{750};
/** Grace after the fifth crash before further requests count. */
constexpr milliseconds kContactTime{3000};
constexpr std::size_t kCrashesBeforeGrace = 5;
/** Requests that may reach upstreams after that. */
constexpr int kMaxLaterRequests = 3;
/** An answer that has been running for longer is not that of a crashing part.
 */
constexpr milliseconds kMaxTimeToCrash{1000};
constexpr std::size_t kUpstreams = 12;
constexpr int kSubjects = 40;
/** First parts, one for each kind of request. */
constexpr int kKinds = 3;
const std::string kCrashing = quarantine::PartName(0xbad);

/** @brief A request in progress. */
struct request {
  std::size_t entry{};
  std::vector<std::string> parts;
  bool is_crashing{};
  mono_time sent_at;
  mono_time begins_at;
  mono_time ends_at;
};

struct upstream {
  std::uint64_t incarnation{1};
  mono_time down_until;
  std::vector<request> running;
};

struct entry {
  quarantine::suspect_table suspects;
  quarantine::crash_log crashes;
  mono_time cut_off_until;
  mono_time last_fault_at;
};

/** @brief Entries that serve requests in virtual time, some of which hold a
 * part on which upstreams crash, while upstreams and entries fail. */
struct fleet_model {
  std::mt19937_64 random;
  quarantine::options options;
  std::vector<entry> entries;
  std::vector<upstream> upstreams{kUpstreams};
  std::set<std::string> rows;
  mono_time now{1h};
  std::optional<mono_time> fifth_crash_at;
  std::size_t crashes{};
  int later_requests{};
  int sound_requests{};
  int sound_refused{};
  std::set<std::string> wrongly_condemned;
  std::size_t relays;
  /** The crashing part is requested from the start, with no other request
   * before it. */
  bool begins_cold{};

  fleet_model(std::size_t count, std::uint64_t seed)
      : random(seed), entries(count), relays(count > 16 ? 4 : count) {
    for (auto& each : entries) {
      each.last_fault_at = now - 1h;
      each.cut_off_until = now;
    }
  }

  bool Chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random) < probability;
  }

  milliseconds Between(milliseconds low, milliseconds high) {
    return milliseconds(std::uniform_int_distribution<std::int64_t>(
        low.count(), high.count())(random));
  }

  bool IsConnected(const entry& each) const {
    return now >= each.cut_off_until;
  }

  bool IsInContact(const entry& each) const {
    return now - std::max(each.last_fault_at, each.cut_off_until) >
           kContactTime;
  }

  // Requests.

  std::vector<std::string> SoundParts() {
    // The popular subjects get most of the requests.
    const auto subject = static_cast<std::uint64_t>(
        kSubjects *
        std::pow(std::uniform_real_distribution<double>(0, 1)(random), 3));
    return {quarantine::PartName(1 + random() % kKinds),
            quarantine::PartName(0x1000 + subject)};
  }

  void Send(request wanted) {
    auto& from = entries[wanted.entry];
    if (!IsConnected(from)) {
      return;
    }
    sound_requests += wanted.is_crashing ? 0 : 1;
    if (quarantine::FindCondemned(from.suspects, wanted.parts)) {
      sound_refused += wanted.is_crashing ? 0 : 1;
      return;
    }
    quarantine::OnPartsRequested(from.suspects, options, wanted.parts, now);
    std::vector<std::size_t> up;
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
      if (now >= upstreams[i].down_until) {
        up.push_back(i);
      }
    }
    if (up.empty()) {
      return;
    }
    if (wanted.is_crashing && fifth_crash_at &&
        now - *fifth_crash_at > kContactTime && IsInContact(from)) {
      ++later_requests;
    }
    wanted.sent_at = now;
    wanted.begins_at = now + Between(30ms, 600ms);
    constexpr std::array kDurations{300ms, 2000ms, 4000ms};
    wanted.ends_at =
        wanted.begins_at + (wanted.is_crashing
                                ? Between(40ms, 250ms)
                                : milliseconds(kDurations[random() % 3]));
    upstreams[up[random() % up.size()]].running.push_back(std::move(wanted));
  }

  void SendRequests(bool with_crashing) {
    for (std::size_t i = 0; i < entries.size(); ++i) {
      const double per_second = 120.0 / static_cast<double>(entries.size());
      if (!begins_cold && Chance(per_second * 0.01)) {
        Send({i, SoundParts(), false, {}, {}, {}});
      }
    }
    if (with_crashing && Chance(0.03)) {
      auto parts = SoundParts();
      parts.back() = kCrashing;
      Send({random() % entries.size(), parts, true, {}, {}, {}});
    }
  }

  // Upstreams.

  std::string NameOf(std::size_t number) const {
    return "u" + std::to_string(number) + '/' +
           std::to_string(upstreams[number].incarnation);
  }

  void Crash(std::size_t number) {
    auto& crashed = upstreams[number];
    const auto name = NameOf(number);
    for (const auto& each : crashed.running) {
      auto& at = entries[each.entry];
      if (!IsConnected(at)) {
        continue;
      }
      const bool is_lasting = now - each.begins_at >= kMaxTimeToCrash;
      const auto crash = quarantine::AssignCrashId(
          at.crashes, options, name, std::to_string(each.entry), now);
      quarantine::OnPartsCrash(
          at.suspects, options, crash,
          is_lasting ? std::vector<std::string>{} : each.parts, each.sent_at,
          now);
    }
    for (const auto& each : crashed.running) {
      Condemn(entries[each.entry]);
    }
    crashed.running.clear();
    ++crashed.incarnation;
    crashed.down_until = now + Between(2s, 5s);
  }

  void Condemn(entry& at) {
    for (const auto& part : quarantine::CondemnParts(at.suspects, options)) {
      if (quarantine::IsObservedLocally(at.suspects, part)) {
        rows.insert(part);
      }
      if (part != kCrashing) {
        wrongly_condemned.insert(part);
      }
    }
  }

  void RunUpstreams() {
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
      const bool crashes_now =
          std::any_of(upstreams[i].running.begin(), upstreams[i].running.end(),
                      [this](const auto& each) {
                        return each.is_crashing && now >= each.ends_at;
                      });
      if (crashes_now) {
        if (++crashes == kCrashesBeforeGrace) {
          fifth_crash_at = now;
        }
        Crash(i);
        continue;
      }
      Serve(upstreams[i]);
    }
    if (Chance(0.0005)) {
      // A rack is lost.
      const auto first = random() % kUpstreams;
      for (std::size_t i = 0; i < 3; ++i) {
        Crash((first + i) % kUpstreams);
      }
    }
    if (Chance(0.001)) {
      Crash(random() % kUpstreams);
    }
  }

  void Serve(upstream& at) {
    std::erase_if(at.running, [this](const auto& each) {
      if (each.is_crashing) {
        return false;
      }
      const bool is_served = now >= each.ends_at;
      const bool is_lasting = now - each.begins_at >= kMaxTimeToCrash &&
                              now - each.begins_at < kMaxTimeToCrash + kStep;
      if (is_served || is_lasting) {
        auto& entry = entries[each.entry];
        for (const auto& part : quarantine::OnPartsServed(
                 entry.suspects, options, each.parts, now)) {
          rows.erase(part);
        }
      }
      return is_served;
    });
  }

  // Entries.

  void SendDigests() {
    for (std::size_t from = 0; from < entries.size(); ++from) {
      const auto selection =
          quarantine::SelectSuspects(entries[from].suspects, options, now);
      for (std::size_t to = 0; to < entries.size(); ++to) {
        const bool is_sent = from < relays || to < relays;
        if (!is_sent || to == from || !IsConnected(entries[from]) ||
            !IsConnected(entries[to]) || Chance(0.05)) {
          continue;
        }
        for (const auto* each : selection.selected) {
          const auto [name, advertised] = *each;
          quarantine::Merge(entries[to].suspects, options, name, advertised,
                            now);
        }
        Condemn(entries[to]);
      }
    }
  }

  void DisturbEntries() {
    for (auto& each : entries) {
      quarantine::Tick(each.suspects, options, now);
      if (Chance(0.0002)) {
        each.cut_off_until = now + Between(200ms, 8s);
      }
      if (Chance(0.0002)) {
        Restart(each);
      }
    }
  }

  void Restart(entry& each) {
    each.suspects = {};
    each.crashes = {};
    each.last_fault_at = now;
    for (const auto& part : rows) {
      quarantine::suspect row;
      row.condemned = true;
      row.crashed_at = now;
      quarantine::Merge(each.suspects, options, part, row, now);
    }
  }

  void Run(milliseconds time, bool with_crashing, bool has_faults) {
    for (const auto end = now + time; now < end; now += kStep) {
      if (has_faults) {
        DisturbEntries();
      }
      SendRequests(with_crashing);
      RunUpstreams();
      if ((now - mono_time(1h)) % kDigestInterval == 0ms) {
        SendDigests();
      }
    }
  }

  double RefusedShare() const {
    return sound_requests == 0
               ? 0
               : static_cast<double>(sound_refused) / sound_requests;
  }
};

/** @brief Plays fleets of a size; checks the later requests of each seed and
 * the sound requests that were refused. */
void CheckFleets(std::size_t count,
                 std::uint64_t seeds,
                 bool with_crashing,
                 bool begins_cold) {
  // Half of the sound requests may be refused by the rule; many fewer are.
  constexpr double kMaxRefusedShare = 0.05;
  double most_refused = 0;
  std::size_t wrongly_condemned = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    fleet_model model(count, seed);
    if (begins_cold) {
      model.begins_cold = true;
      model.Run(5s, true, false);
      model.begins_cold = false;
    } else {
      model.Run(5s, false, false);
    }
    model.Run(40s, with_crashing, true);
    most_refused = std::max(most_refused, model.RefusedShare());
    wrongly_condemned += model.wrongly_condemned.size();
    BOOST_TEST_CONTEXT("seed " << seed << ", " << model.crashes << " crashes") {
      BOOST_TEST(model.later_requests <= kMaxLaterRequests);
      BOOST_TEST(model.RefusedShare() <= kMaxRefusedShare);
      BOOST_TEST((!with_crashing || model.fifth_crash_at || begins_cold ||
                  model.crashes < kCrashesBeforeGrace));
    }
  }
  BOOST_TEST_MESSAGE(count << " entries: sound requests refused at most "
                           << most_refused * 100 << " in 100, "
                           << wrongly_condemned << " parts wrongly condemned");
}

BOOST_AUTO_TEST_SUITE(crashing_parts)

// Guards against a part that crashes upstreams and is forwarded again and again
// by different entries, and against refusing requests that share other parts.
BOOST_AUTO_TEST_CASE(crashing_part_is_refused_and_sound_requests_are_served) {
  CheckFleets(8, 50, true, false);
  CheckFleets(40, 20, true, false);
}

// Guards against condemning the first part, when no sound request came before.
BOOST_AUTO_TEST_CASE(crashing_part_of_the_first_requests_is_told_from_others) {
  CheckFleets(8, 50, true, true);
}

// Guards against condemning parts because upstreams crash for other reasons.
BOOST_AUTO_TEST_CASE(crashes_for_other_reasons_condemn_no_frequent_part) {
  CheckFleets(8, 50, false, false);
  CheckFleets(40, 20, false, false);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
