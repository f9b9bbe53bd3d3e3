#define BOOST_TEST_MODULE shared_limit
#include <boost/test/included/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <optional>
#include <vector>

#include "rate_limit/fleet_model.h"

namespace {

using namespace mimosadeck::rate_limit_test;

/** Window in which the requests at the upstream are counted. */
constexpr auto kWindow = 4s;
/** Fraction of the limit to be in use. */
constexpr double kWantedUse = 0.8;

/** @brief Returns the requests allowed in kWindow: one and a half times the
 * limit, and five. */
double Allowed(double limit) {
  return 1.5 * std::chrono::duration<double>(kWindow).count() * limit + 5;
}

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
        fleet tested(entries, {limit, kWindow, Allowed(limit)}, seed);
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
