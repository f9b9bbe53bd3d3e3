#define BOOST_TEST_MODULE shared_limit
#include <boost/test/included/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/digest.h"
#include "rate_limit/rate_limit.h"

namespace {

using namespace std::chrono_literals;
namespace rate_limit = mimosadeck::rate_limit;
using mimosadeck::mono_time;
using mimosadeck::wall_time;
using milliseconds = std::chrono::milliseconds;

constexpr auto kStep = 40ms;
constexpr auto kDuration = 50s;
/** Window in which the requests at the upstream are counted. */
constexpr auto kWindow = 4s;
/** Requests per second that each entry could send to the upstream. */
constexpr double kDemandPerEntry = 12;
/** Fraction of the limit to be in use. */
constexpr double kWantedUse = 0.8;
/** Interval of digests up to this number of entries; beyond, it grows with
 * it. */
constexpr std::size_t kScalingSize = 64;
const std::string kUpstream = "u1/5";

/** @brief Returns the requests allowed in kWindow: one and a half times the
 * limit, and five. */
double Allowed(double limit) {
  return 1.5 * std::chrono::duration<double>(kWindow).count() * limit + 5;
}

/** One entry, with its own clock and its own view of the others. */
struct entry {
  std::string name;
  bool running{true};
  bool frozen{};
  std::optional<milliseconds> started_at;
  milliseconds learns_limit_at{};
  milliseconds clock_offset{};
  /** When it last heard each other entry. */
  std::vector<std::optional<milliseconds>> heard_at;
  rate_limit::limit_table limits;
  rate_limit::participants fleet;
  rate_limit::permit_table permits;
};

/** A fleet before one upstream with a limit, in virtual time. */
class fleet {
 public:
  /** Changes the fleet at a time. */
  using script = std::function<void(fleet&, milliseconds)>;

  fleet(std::size_t size, double limit, std::uint64_t seed)
      : limit_(limit), random_(seed), entries_(size) {
    interval_ = 150ms * std::max(size, kScalingSize) / kScalingSize;
    for (std::size_t i = 0; i < size; ++i) {
      entries_[i].name = "entry-" + std::to_string(i);
      entries_[i].clock_offset = milliseconds(Pick(300)) - 150ms;
      Start(i, -60s);
      // The first seconds after the limit is stated are counted, too.
      entries_[i].learns_limit_at = milliseconds(Pick(1000));
    }
  }

  [[nodiscard]] std::size_t Size() const { return entries_.size(); }

  std::size_t Pick(std::size_t below) { return random_() % below; }

  bool Chance(double probability) {
    return std::uniform_real_distribution<>(0, 1)(random_) < probability;
  }

  /** Starts or restarts an entry with no knowledge of the others. */
  void Start(std::size_t index, milliseconds now) {
    auto& started = entries_[index];
    started.running = true;
    started.started_at = now;
    started.learns_limit_at = now + milliseconds(Pick(1000));
    started.heard_at.assign(entries_.size(), std::nullopt);
    started.limits = {};
    started.permits = {};
    started.fleet = {};
    started.fleet.self = started.name;
    started.fleet.started_at = At(now);
  }

  void Kill(std::size_t index) { entries_[index].running = false; }
  void Freeze(std::size_t index, bool frozen) {
    entries_[index].frozen = frozen;
  }

  /** Decides whether digests of one entry reach another. */
  std::function<bool(std::size_t, std::size_t)> reaches;

  void Run(const script& change) {
    for (milliseconds now = -5s; now < kDuration; now += kStep) {
      if (now >= 0ms) {
        change(*this, now);
      }
      if ((now + 5s) % interval_ < kStep) {
        ExchangeDigests(now);
      }
      for (auto& sender : entries_) {
        Step(sender, now);
      }
    }
  }

  /** @brief Returns the most requests in kWindow as a fraction of those that
   * are allowed. */
  [[nodiscard]] double LargestShare() const {
    std::size_t most = 0;
    auto first = sent_at_.begin();
    for (auto last = sent_at_.begin(); last != sent_at_.end(); ++last) {
      while (*last - *first >= kWindow) {
        ++first;
      }
      most = std::max<std::size_t>(most, last - first + 1);
    }
    return static_cast<double>(most) / Allowed(limit_);
  }

  /** @brief Returns the used fraction of the limit from a time on. */
  [[nodiscard]] double Use(milliseconds since) const {
    const auto used = std::count_if(sent_at_.begin(), sent_at_.end(),
                                    [since](auto at) { return at >= since; });
    const std::chrono::duration<double> time = kDuration - since;
    return static_cast<double>(used) / (limit_ * time.count());
  }

 private:
  static mono_time At(milliseconds now) { return mono_time(1h + now); }

  void ExchangeDigests(milliseconds now) {
    std::vector<rate_limit::heard_entry> heard;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      auto& receiver = entries_[i];
      if (!receiver.running || receiver.frozen) {
        continue;
      }
      heard.clear();
      for (std::size_t j = 0; j < entries_.size(); ++j) {
        const auto& sender = entries_[j];
        if (i != j && sender.running && !sender.frozen &&
            (!reaches || reaches(j, i))) {
          receiver.heard_at[j] = now;
        }
        if (receiver.heard_at[j]) {
          heard.push_back({sender.name, At(*receiver.heard_at[j]), false,
                           sender.fleet.others.size()});
        }
      }
      rate_limit::UpdateParticipants(receiver.fleet, settings_, heard, At(now));
    }
  }

  void Step(entry& sender, milliseconds now) {
    if (!sender.running || sender.frozen || now < sender.learns_limit_at) {
      return;
    }
    if (sender.limits.by_incarnation.empty()) {
      static_cast<void>(
          rate_limit::OnStated(sender.limits, kUpstream, limit_, At(now)));
    }
    const wall_time fleet_time(1782618168s + now + sender.clock_offset);
    rate_limit::IssuePermits(sender.permits, settings_, sender.limits,
                             sender.fleet, fleet_time, At(now));
    double demand =
        kDemandPerEntry * std::chrono::duration<double>(kStep).count();
    while (Chance(demand) && rate_limit::HasPermit(sender.permits, kUpstream)) {
      BOOST_REQUIRE(rate_limit::TakePermit(sender.permits, kUpstream));
      if (now >= 0ms) {
        sent_at_.push_back(now);
      }
    }
  }

  double limit_;
  std::mt19937_64 random_;
  rate_limit::options settings_;
  milliseconds interval_{};
  std::vector<entry> entries_;
  std::vector<milliseconds> sent_at_;
};

/** Size of a fleet, limit and number of seeds. */
struct run {
  std::size_t entries{};
  double limit{};
  std::uint64_t seeds{};
};

const std::vector<run> kRuns{{8, 0.2, 10}, {8, 1, 10},  {8, 1.3, 10},
                             {8, 10, 5},   {8, 50, 3},  {40, 0.2, 5},
                             {40, 1, 5},   {40, 10, 2}, {40, 50, 2},
                             {410, 1, 1},  {410, 50, 1}};

/** Plays a script at all sizes and limits. */
struct all_sizes {
  /** Time from which the use of the limit is checked; none: not checked. */
  std::optional<milliseconds> use_since{0ms};

  void Play(const std::function<fleet::script(fleet&)>& make_script) const {
    for (const auto& [entries, limit, seeds] : kRuns) {
      double largest = 0;
      double use = 0;
      for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        fleet tested(entries, limit, seed);
        tested.Run(make_script(tested));
        largest = std::max(largest, tested.LargestShare());
        use += tested.Use(use_since.value_or(0ms)) / seeds;
      }
      BOOST_TEST_MESSAGE(entries << " entries, limit " << limit << ": "
                                 << largest << " of what is allowed, use "
                                 << use);
      BOOST_TEST(largest <= 1, entries << " entries, limit " << limit);
      if (use_since) {
        BOOST_TEST(use >= kWantedUse, entries << " entries, limit " << limit);
      }
    }
  }
};

/** @brief Returns true once, at the first step from a time on. */
bool IsAt(milliseconds now, milliseconds time) {
  return now >= time && now < time + kStep;
}

BOOST_FIXTURE_TEST_SUITE(limits, all_sizes)

// Guards against entries that each send the whole limit, or whose shares are
// rounded up or down.
BOOST_AUTO_TEST_CASE(calm_fleet_sends_the_limit_together) {
  Play([](fleet&) { return [](fleet&, milliseconds) {}; });
}

// Guards against entries that divide the limit by those that they hear at the
// moment: digests of a third of all pairs are lost for 2 or 10 s.
BOOST_AUTO_TEST_CASE(fleet_whose_views_differ_keeps_the_limit) {
  for (const auto time : {2s, 10s}) {
    Play([time](fleet&) {
      return [time](fleet& tested, milliseconds now) {
        if (IsAt(now, 10s)) {
          const auto salt = tested.Pick(1000);
          tested.reaches = [salt](std::size_t from, std::size_t to) {
            return mimosadeck::MixBits(from * 1000003 + to + salt) % 3 != 0;
          };
        }
        if (IsAt(now, 10s + time)) {
          tested.reaches = nullptr;
        }
      };
    });
  }
}

// Guards against entries that start with a share of their own before the others
// know them: the fleet doubles at once, and digests of a third of all pairs are
// lost for 10 s.
BOOST_AUTO_TEST_CASE(fleet_that_doubles_keeps_the_limit) {
  Play([](fleet& tested) {
    for (std::size_t i = 0; i < tested.Size(); i += 2) {
      tested.Kill(i);
    }
    return [](fleet& changed, milliseconds now) {
      if (!IsAt(now, 20s)) {
        if (IsAt(now, 30s)) {
          changed.reaches = nullptr;
        }
        return;
      }
      for (std::size_t i = 0; i < changed.Size(); i += 2) {
        changed.Start(i, now);
      }
      changed.reaches = [](std::size_t from, std::size_t to) {
        return mimosadeck::MixBits(from * 1000003 + to) % 3 != 0;
      };
    };
  });
}

// Guards against permits of a process that are used again by its successor, and
// against successors that know too few entries.
BOOST_AUTO_TEST_CASE(restarts_in_series_keep_the_limit) {
  Play([](fleet&) {
    return [](fleet& tested, milliseconds now) {
      const auto period = 40000ms / tested.Size();
      if (now < 40s && now % std::max<milliseconds>(period, kStep) < kStep) {
        tested.Start(tested.Pick(tested.Size()), now);
      }
    };
  });
}

BOOST_AUTO_TEST_CASE(restart_of_all_entries_keeps_the_limit) {
  use_since = 20s;
  Play([](fleet&) {
    return [](fleet& tested, milliseconds now) {
      if (IsAt(now, 15s)) {
        for (std::size_t i = 0; i < tested.Size(); ++i) {
          tested.Start(i, now);
        }
      }
    };
  });
}

// Guards against both sides of a cut using the whole limit.
BOOST_AUTO_TEST_CASE(cut_between_entries_keeps_the_limit) {
  for (const std::size_t percent : {45, 50}) {
    Play([percent](fleet&) {
      return [percent](fleet& tested, milliseconds now) {
        if (IsAt(now, 5s)) {
          const auto minority = tested.Size() * percent / 100;
          tested.reaches = [minority](std::size_t from, std::size_t to) {
            return (from < minority) == (to < minority);
          };
        }
      };
    });
  }
}

// Guards against entries that use up the permits of a time in which they did
// not run.
BOOST_AUTO_TEST_CASE(frozen_entries_use_no_expired_permits) {
  Play([](fleet&) {
    return [](fleet& tested, milliseconds now) {
      for (std::size_t i = 0; i < tested.Size(); i += 8) {
        tested.Freeze(i, now >= 10s && now < 18s);
      }
    };
  });
}

// Guards against permits that nobody uses after entries are lost for good.
BOOST_AUTO_TEST_CASE(permits_of_lost_entries_go_to_the_others) {
  use_since = 25s;
  Play([](fleet&) {
    return [](fleet& tested, milliseconds now) {
      if (IsAt(now, 5s)) {
        for (std::size_t i = 0; i < tested.Size(); i += 3) {
          tested.Kill(i);
        }
      }
    };
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
