#ifndef TEST_RATE_LIMIT_FLEET_MODEL_H_
#define TEST_RATE_LIMIT_FLEET_MODEL_H_

#include <boost/test/unit_test.hpp>

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

namespace mimosadeck::rate_limit_test {

using namespace std::chrono_literals;
using milliseconds = std::chrono::milliseconds;

inline constexpr auto kStep = 40ms;
inline constexpr auto kDuration = 50s;
/** Interval of digests up to this number of entries; beyond, it grows with
 * it. */
inline constexpr std::size_t kScalingSize = 64;
inline const std::string kUpstream = "u1/5";

/** @brief What is played: a limit, and how its observance is measured. */
struct limited_upstream {
  /** Requests per second for which permits are issued. */
  double limit{};
  /** Window in which the requests at the upstream are counted. */
  milliseconds window{};
  /** Requests that are allowed in any window. */
  double allowed{};
  /** Requests per second that each entry could send to the upstream. */
  double demand_per_entry{12};
  rate_limit::options settings{};
};

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

  fleet(std::size_t size, const limited_upstream& played, std::uint64_t seed)
      : played_(played), random_(seed), entries_(size) {
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

  /** @brief Returns the most requests in a window as a fraction of those that
   * are allowed. */
  [[nodiscard]] double LargestShare() const {
    std::size_t most = 0;
    auto first = sent_at_.begin();
    for (auto last = sent_at_.begin(); last != sent_at_.end(); ++last) {
      while (*last - *first >= played_.window) {
        ++first;
      }
      most = std::max<std::size_t>(most, last - first + 1);
    }
    return static_cast<double>(most) / played_.allowed;
  }

  /** @brief Returns the used fraction of the limit from a time on. */
  [[nodiscard]] double Use(milliseconds since) const {
    const auto used = std::count_if(sent_at_.begin(), sent_at_.end(),
                                    [since](auto at) { return at >= since; });
    const std::chrono::duration<double> time = kDuration - since;
    return static_cast<double>(used) / (played_.limit * time.count());
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
      rate_limit::UpdateParticipants(receiver.fleet, played_.settings, heard,
                                     At(now));
    }
  }

  void Step(entry& sender, milliseconds now) {
    if (!sender.running || sender.frozen || now < sender.learns_limit_at) {
      return;
    }
    if (sender.limits.by_incarnation.empty()) {
      static_cast<void>(rate_limit::OnStated(sender.limits, kUpstream,
                                             played_.limit, At(now)));
    }
    const wall_time fleet_time(1782618168s + now + sender.clock_offset);
    rate_limit::IssuePermits(sender.permits, played_.settings, sender.limits,
                             sender.fleet, fleet_time, At(now));
    const double demand =
        played_.demand_per_entry * std::chrono::duration<double>(kStep).count();
    while (Chance(demand) && rate_limit::HasPermit(sender.permits, kUpstream)) {
      BOOST_REQUIRE(rate_limit::TakePermit(sender.permits, kUpstream));
      if (now >= 0ms) {
        sent_at_.push_back(now);
      }
    }
  }

  limited_upstream played_;
  std::mt19937_64 random_;
  milliseconds interval_{};
  std::vector<entry> entries_;
  std::vector<milliseconds> sent_at_;
};

/** @brief Returns true once, at the first step from a time on. */
inline bool IsAt(milliseconds now, milliseconds time) {
  return now >= time && now < time + kStep;
}

}  // namespace mimosadeck::rate_limit_test

#endif  // TEST_RATE_LIMIT_FLEET_MODEL_H_
