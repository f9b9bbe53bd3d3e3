#define BOOST_TEST_MODULE handover
#include <boost/test/included/unit_test.hpp>

#include <array>
#include <deque>
#include <random>
#include <set>

#include "lease/lease.h"
#include "stand_in/memory_platform.h"

namespace {

using namespace std::chrono_literals;
using mimosadeck::mono_time;
namespace lease = mimosadeck::lease;
namespace infra = mimosadeck::infra;
using std::chrono::milliseconds;

constexpr auto kStep = 10ms;
constexpr auto kCycle = 200ms;
constexpr auto kCallTimeout = 2s;
constexpr auto kTerm = 3s;
/** Age of the oldest copy from which the store returns, in copies. */
constexpr std::size_t kCopies = 12;
constexpr auto kCopyInterval = 500ms;
/** Probability that all contenders restart when the store returns, so that none
 * remembers its former numbers. */
constexpr double kRestartOfAll = 0.3;
/** @brief Probabilities of faults. Each seed disables some of them, so that
 * rare combinations of the others occur. */
struct fault_rates {
  /** Probabilities per step. */
  double outages{0.001};
  double freezes{0.0005};
  double kills{0.0005};
  /** The store rejects one contender and serves the others. */
  double rejections{0.0005};
  double releases{0.002};
  /** The store is away for a moment and returns from an older copy. */
  double returns{0.0005};
  /** Probabilities per call. */
  double lost{0.03};
  double slow{0.2};
};

/** @brief Settings that keep the calls of two holders apart. */
struct guards {
  lease::acting_options acting;
  milliseconds margin{1000};
  /** Contenders give the lease up when the store begins another era. */
  bool leaves_on_return{true};
};

/** @brief A call received by the target, which checks no fencing numbers. */
struct arrival {
  mono_time at;
  std::size_t holder{};
  std::uint64_t fencing{};
};

/** @brief A message in transit. */
template <typename T>
struct in_flight {
  mono_time at;
  T content;
};

/** @brief One contender, which may be frozen between any two steps. */
struct process {
  enum class stage { idle, at_store, checked, calling };

  lease::contender contender;
  lease::acting_guard guard;
  stage current_stage{stage::idle};
  mono_time next_step;
  mono_time frozen_until;
  mono_time rejected_until;
  mono_time times_out_at;
  /** Reply of the store and its arrival time; unset if it is lost. */
  std::optional<in_flight<infra::reply>> reply;
  /** Era that the reply states. */
  std::uint64_t reply_era{};
  /** Highest era that a reply has stated; unset before the first one. */
  std::optional<std::uint64_t> era;
};

/**
 * @brief Contenders, a store and a target in virtual time.
 *
 * Delays, freezes, lost replies, writes that take effect seconds later and
 * planned releases are drawn from one seed.
 */
class fleet_of_contenders {
 public:
  fleet_of_contenders(unsigned seed, const guards& used)
      : random_(seed), guards_(used), acting_(used.acting) {
    options_.name = "duties";
    options_.term = kTerm;
    options_.margin = used.margin;
    constexpr std::array kFactors{0.0, 1.0, 4.0};
    for (auto* rate :
         {&rates_.outages, &rates_.freezes, &rates_.kills, &rates_.rejections,
          &rates_.releases, &rates_.returns, &rates_.lost, &rates_.slow}) {
      *rate *= kFactors[random_() % kFactors.size()];
    }
    for (std::size_t i = 0; i < 3; ++i) {
      Start(i);
    }
  }

  /** @brief Runs for a time. @return The violated rule; empty if none was. */
  std::string Run(std::chrono::seconds time) {
    for (const auto end = now_ + time; now_ < end; now_ += kStep) {
      DrawFaults();
      ExecuteLateWrites();
      for (std::size_t i = 0; i < all_.size(); ++i) {
        if (now_ >= all_[i].frozen_until) {
          Advance(i);
        }
      }
      ReceiveCalls();
      if (!violation_.empty()) {
        return violation_;
      }
    }
    return {};
  }

  /** @brief Number of contenders whose calls have arrived. */
  [[nodiscard]] std::size_t Holders() const { return holders_.size(); }

 private:
  bool Chance(double probability) {
    return std::uniform_real_distribution<>(0, 1)(random_) < probability;
  }

  milliseconds Between(milliseconds min, milliseconds max) {
    return milliseconds(std::uniform_int_distribution<std::int64_t>(
        min.count(), max.count())(random_));
  }

  void Start(std::size_t i) {
    auto& started = all_[i];
    started = process{};
    started.contender.self = std::to_string(i) + '/' +
                             std::to_string(now_.time_since_epoch().count());
    started.guard = lease::StartGuard(acting_, now_);
    started.next_step = now_ + Between(0ms, kCycle);
  }

  void TakeCopies() {
    if (now_ < next_copy_at_ || now_ < store_back_at_) {
      return;
    }
    next_copy_at_ = now_ + kCopyInterval;
    copies_.push_back(TakeCopy(store_));
    if (copies_.size() > kCopies) {
      copies_.pop_front();
    }
  }

  void ReturnStore() {
    if (!returns_from_copy_ || now_ < store_back_at_) {
      return;
    }
    ReturnFromCopy(store_, copies_[random_() % copies_.size()]);
    if (Chance(kRestartOfAll)) {
      for (std::size_t i = 0; i < all_.size(); ++i) {
        Start(i);
      }
    }
    returns_from_copy_ = false;
    copies_.clear();
    next_copy_at_ = now_;
  }

  void DrawFaults() {
    ReturnStore();
    TakeCopies();
    if (Chance(rates_.outages)) {
      store_back_at_ = now_ + Between(500ms, 5s);
    }
    if (!copies_.empty() && Chance(rates_.returns)) {
      store_back_at_ = now_ + Between(500ms, 2s);
      returns_from_copy_ = true;
    }
    store_.faults.down = now_ < store_back_at_;
    for (std::size_t i = 0; i < all_.size(); ++i) {
      if (Chance(rates_.freezes)) {
        all_[i].frozen_until = now_ + Between(500ms, 8s);
      }
      if (Chance(rates_.rejections)) {
        all_[i].rejected_until = now_ + Between(500ms, 8s);
      }
      if (Chance(rates_.kills)) {
        Start(i);
      }
      if (Chance(rates_.releases)) {
        lease::Release(all_[i].contender);
      }
    }
  }

  void ExecuteLateWrites() {
    std::erase_if(late_, [this](const auto& item) {
      const bool is_due = item.at <= now_;
      if (is_due) {
        static_cast<void>(Handle(store_, item.content));
      }
      return is_due;
    });
  }

  void Advance(std::size_t i) {
    auto& self = all_[i];
    switch (self.current_stage) {
      case process::stage::idle:
        return BeginCycle(self);
      case process::stage::at_store:
        return AwaitStore(self);
      case process::stage::checked:
        return Send(i);
      case process::stage::calling:
        if (now_ >= self.next_step) {
          EndCycle(self);
        }
        return;
    }
  }

  void BeginCycle(process& self) {
    if (now_ < self.next_step) {
      return;
    }
    if (lease::IsReleased(self.contender)) {
      const auto name = self.contender.self;
      self.contender = lease::contender{};
      self.contender.self = name;
      self.guard = lease::StartGuard(acting_, now_);
    }
    auto request = lease::Tick(self.contender, options_, now_, true);
    if (!request) {
      return Check(self);
    }
    self.current_stage = process::stage::at_store;
    self.times_out_at = now_ + kCallTimeout;
    self.reply.reset();
    self.reply_era = Era(store_);
    if (now_ < self.rejected_until) {
      self.reply = {now_ + kStep, infra::unavailable{}};
      return;
    }
    const bool is_write = std::holds_alternative<infra::commit>(*request);
    if (is_write && Chance(rates_.lost)) {
      late_.push_back({now_ + Between(100ms, 6s), *request});
    } else if (!Chance(rates_.lost)) {
      const auto answer = Handle(store_, *request);
      if (!Chance(rates_.lost)) {
        self.reply = {now_ + Between(0ms, Chance(rates_.slow) ? 1500ms : 30ms),
                      answer};
      }
    }
  }

  void AwaitStore(process& self) {
    const bool answered = self.reply && now_ >= self.reply->at;
    if (!answered && now_ < self.times_out_at) {
      return;
    }
    const infra::reply reply =
        answered ? self.reply->content : infra::reply{infra::unknown_outcome{}};
    const bool states_era =
        answered && !std::holds_alternative<infra::unavailable>(reply);
    const bool is_other_era =
        states_era && std::exchange(self.era, self.reply_era) != self.reply_era;
    if (is_other_era && guards_.leaves_on_return) {
      lease::OnStoreReturned(self.contender, self.guard, acting_, now_);
      return EndCycle(self);
    }
    lease::OnReply(self.contender, options_, reply, now_);
    static_cast<void>(
        lease::UpdateGuard(self.guard, acting_, self.contender, now_));
    Check(self);
  }

  void Check(process& self) {
    if (!lease::MayAct(self.guard, acting_, self.contender, now_)) {
      return EndCycle(self);
    }
    self.current_stage = process::stage::checked;
    self.next_step = now_;
  }

  /** A freeze between the check and the sending cannot be detected. The
   * platform's rules allow calls that arrive right after it, so they are not
   * recorded. */
  void Send(std::size_t i) {
    auto& self = all_[i];
    const bool was_frozen = now_ - self.next_step > kStep;
    const auto transit_time = Chance(rates_.slow)
                                  ? Between(1800ms, kCallTimeout)
                                  : Between(0ms, 20ms);
    if (!was_frozen) {
      calls_.push_back({now_ + transit_time,
                        {now_ + transit_time, i, self.contender.fencing}});
    }
    self.current_stage = process::stage::calling;
    self.next_step = now_ + transit_time;
  }

  void EndCycle(process& self) {
    self.current_stage = process::stage::idle;
    self.next_step = now_ + kCycle;
  }

  void ReceiveCalls() {
    std::erase_if(calls_, [this](const auto& item) {
      const bool is_due = item.at <= now_;
      if (is_due) {
        CheckOrder(item.content);
        holders_.insert(item.content.holder);
        received_.push_back(item.content);
      }
      return is_due;
    });
    while (!received_.empty() && now_ - received_.front().at > 2 * kTerm) {
      highest_ = std::max(highest_, received_.front().fencing);
      received_.pop_front();
    }
  }

  void CheckOrder(const arrival& call) {
    if (call.fencing < highest_) {
      violation_ = "a lower fencing number than one received before";
    }
    for (auto other = received_.begin(); other != received_.end(); ++other) {
      if (other->fencing > call.fencing) {
        violation_ = "a lower fencing number than one received before";
      }
      if (other->fencing == call.fencing && other->holder != call.holder) {
        violation_ = "two holders with one fencing number";
      }
      if (other->holder == call.holder || call.at - other->at >= kTerm) {
        continue;
      }
      const bool acted_before =
          std::any_of(received_.begin(), other, [&call](const auto& item) {
            return item.holder == call.holder && call.at - item.at < kTerm;
          });
      if (acted_before) {
        violation_ = "calls of two holders alternate within a term";
      }
    }
  }

  std::mt19937 random_;
  guards guards_;
  fault_rates rates_;
  lease::options options_;
  lease::acting_options acting_;
  mimosadeck::stand_in::memory_platform store_;
  mono_time now_{1h};
  mono_time store_back_at_;
  /** The newest copies, oldest first. */
  std::deque<mimosadeck::stand_in::platform_copy> copies_;
  mono_time next_copy_at_;
  bool returns_from_copy_{};
  std::array<process, 3> all_;
  std::vector<in_flight<infra::request>> late_;
  std::vector<in_flight<arrival>> calls_;
  std::deque<arrival> received_;
  std::set<std::size_t> holders_;
  std::uint64_t highest_{};
  std::string violation_;
};

constexpr unsigned kSeeds = 2000;
constexpr auto kRunTime = 120s;

struct many_schedules {
  guards used;

  /** @brief Returns the first seed with a violation, and the violated rule. */
  std::string FirstViolation() const {
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
      fleet_of_contenders fleet(seed, used);
      if (const auto violation = fleet.Run(kRunTime); !violation.empty()) {
        return "seed " + std::to_string(seed) + ": " + violation;
      }
    }
    return {};
  }
};

BOOST_FIXTURE_TEST_SUITE(targets_without_fencing, many_schedules)

BOOST_AUTO_TEST_CASE(calls_of_two_holders_never_alternate) {
  BOOST_TEST(FirstViolation() == "");
}

BOOST_AUTO_TEST_CASE(lease_changes_holder_in_many_schedules) {
  std::size_t changed = 0;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    fleet_of_contenders fleet(seed, used);
    static_cast<void>(fleet.Run(kRunTime));
    changed += fleet.Holders() > 1 ? 1 : 0;
  }
  BOOST_TEST(changed > kSeeds / 3);
}

BOOST_AUTO_TEST_CASE(checker_fails_without_the_reserve) {
  used.acting.reserve = 0ms;
  BOOST_TEST(FirstViolation() != "");
}

BOOST_AUTO_TEST_CASE(checker_fails_without_the_margin) {
  used.margin = 0ms;
  BOOST_TEST(FirstViolation() != "");
}

BOOST_AUTO_TEST_CASE(checker_fails_without_the_cooldown) {
  used.acting.cooldown = 0ms;
  BOOST_TEST(FirstViolation() != "");
}

BOOST_AUTO_TEST_CASE(checker_fails_if_holders_stay_when_the_store_returns) {
  used.leaves_on_return = false;
  BOOST_TEST(FirstViolation() != "");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
