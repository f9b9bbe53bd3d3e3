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
/** @brief How often faults strike; each seed leaves some out, so that rare
 * combinations of the others come up. */
struct fault_rates {
  /** Chances in each step. */
  double outages{0.001};
  double freezes{0.0005};
  double kills{0.0005};
  /** The store turns one contender away and serves the others. */
  double rejections{0.0005};
  double releases{0.002};
  /** Chances of each call. */
  double lost{0.03};
  double slow{0.2};
};

/** @brief Guards that keep the calls of two holders apart. */
struct guards {
  lease::acting_options acting;
  milliseconds margin{1000};
};

/** @brief A call as the target, which checks no numbers, took it. */
struct arrival {
  mono_time at;
  std::size_t holder{};
  std::uint64_t fencing{};
};

/** @brief A message on its way. */
template <typename T>
struct in_flight {
  mono_time at;
  T content;
};

/** @brief One contender, whose steps are cut by freezes at any point. */
struct process {
  enum class stage { idle, at_store, checked, calling };

  lease::contender contender;
  lease::acting_guard guard;
  stage now_at{stage::idle};
  mono_time next_step;
  mono_time frozen_until;
  mono_time rejected_until;
  mono_time gives_up_at;
  /** What the store will answer, and when; unset if nothing comes. */
  std::optional<in_flight<infra::reply>> reply;
};

/**
 * @brief Contenders, a store and a target in virtual time.
 *
 * Each of the choices (delays, freezes, lost answers, writes that take effect
 * seconds later, planned releases) is drawn from one seed.
 */
class fleet_of_contenders {
 public:
  fleet_of_contenders(unsigned seed, const guards& used)
      : random_(seed), acting_(used.acting) {
    options_.name = "duties";
    options_.term = kTerm;
    options_.margin = used.margin;
    constexpr std::array kFactors{0.0, 1.0, 4.0};
    for (auto* rate :
         {&rates_.outages, &rates_.freezes, &rates_.kills, &rates_.rejections,
          &rates_.releases, &rates_.lost, &rates_.slow}) {
      *rate *= kFactors[random_() % kFactors.size()];
    }
    for (std::size_t i = 0; i < 3; ++i) {
      Start(i);
    }
  }

  /** @brief Runs for a while. @return What broke; empty if nothing did. */
  std::string Run(std::chrono::seconds time) {
    for (const auto end = now_ + time; now_ < end; now_ += kStep) {
      DrawFaults();
      CarryOutLateWrites();
      for (std::size_t i = 0; i < all_.size(); ++i) {
        if (now_ >= all_[i].frozen_until) {
          Advance(i);
        }
      }
      TakeArrivals();
      if (!broken_.empty()) {
        return broken_;
      }
    }
    return {};
  }

  /** @brief Contenders whose calls have arrived. */
  [[nodiscard]] std::size_t Holders() const { return holders_.size(); }

 private:
  bool Chance(double part) {
    return std::uniform_real_distribution<>(0, 1)(random_) < part;
  }

  milliseconds Between(milliseconds least, milliseconds most) {
    return milliseconds(std::uniform_int_distribution<std::int64_t>(
        least.count(), most.count())(random_));
  }

  void Start(std::size_t i) {
    auto& each = all_[i];
    each = process{};
    each.contender.self = std::to_string(i) + '/' +
                          std::to_string(now_.time_since_epoch().count());
    each.guard = lease::StartGuard(acting_, now_);
    each.next_step = now_ + Between(0ms, kCycle);
  }

  void DrawFaults() {
    if (Chance(rates_.outages)) {
      store_back_at_ = now_ + Between(500ms, 5s);
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

  void CarryOutLateWrites() {
    std::erase_if(late_, [this](const auto& each) {
      const bool is_due = each.at <= now_;
      if (is_due) {
        static_cast<void>(Handle(store_, each.content));
      }
      return is_due;
    });
  }

  void Advance(std::size_t i) {
    auto& self = all_[i];
    switch (self.now_at) {
      case process::stage::idle:
        return BeginCycle(self);
      case process::stage::at_store:
        return AwaitStore(self);
      case process::stage::checked:
        return Send(i);
      case process::stage::calling:
        if (now_ >= self.next_step) {
          Rest(self);
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
    self.now_at = process::stage::at_store;
    self.gives_up_at = now_ + kCallTimeout;
    self.reply.reset();
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
    if (!answered && now_ < self.gives_up_at) {
      return;
    }
    const infra::reply reply =
        answered ? self.reply->content : infra::reply{infra::unknown_outcome{}};
    lease::OnReply(self.contender, options_, reply, now_);
    static_cast<void>(
        lease::UpdateGuard(self.guard, acting_, self.contender, now_));
    Check(self);
  }

  void Check(process& self) {
    if (!lease::MayAct(self.guard, acting_, self.contender, now_)) {
      return Rest(self);
    }
    self.now_at = process::stage::checked;
    self.next_step = now_;
  }

  /** A freeze between the check and the sending is noticed by nobody; what
   * arrives just after it is excused by the platform's rules. */
  void Send(std::size_t i) {
    auto& self = all_[i];
    const bool thawed = now_ - self.next_step > kStep;
    const auto way = Chance(rates_.slow) ? Between(1800ms, kCallTimeout)
                                         : Between(0ms, 20ms);
    if (!thawed) {
      calls_.push_back({now_ + way, {now_ + way, i, self.contender.fencing}});
    }
    self.now_at = process::stage::calling;
    self.next_step = now_ + way;
  }

  void Rest(process& self) {
    self.now_at = process::stage::idle;
    self.next_step = now_ + kCycle;
  }

  void TakeArrivals() {
    std::erase_if(calls_, [this](const auto& each) {
      const bool is_due = each.at <= now_;
      if (is_due) {
        Judge(each.content);
        holders_.insert(each.content.holder);
        taken_.push_back(each.content);
      }
      return is_due;
    });
    while (!taken_.empty() && now_ - taken_.front().at > 2 * kTerm) {
      highest_ = std::max(highest_, taken_.front().fencing);
      taken_.pop_front();
    }
  }

  void Judge(const arrival& call) {
    if (call.fencing < highest_) {
      broken_ = "a lower number than was seen";
    }
    for (auto other = taken_.begin(); other != taken_.end(); ++other) {
      if (other->fencing > call.fencing) {
        broken_ = "a lower number than was seen";
      }
      if (other->fencing == call.fencing && other->holder != call.holder) {
        broken_ = "one number of two holders";
      }
      if (other->holder == call.holder || call.at - other->at >= kTerm) {
        continue;
      }
      const bool acted_before =
          std::any_of(taken_.begin(), other, [&call](const auto& each) {
            return each.holder == call.holder && call.at - each.at < kTerm;
          });
      if (acted_before) {
        broken_ = "two holders by turns within a term";
      }
    }
  }

  std::mt19937 random_;
  fault_rates rates_;
  lease::options options_;
  lease::acting_options acting_;
  mimosadeck::stand_in::memory_platform store_;
  mono_time now_{1h};
  mono_time store_back_at_;
  std::array<process, 3> all_;
  std::vector<in_flight<infra::request>> late_;
  std::vector<in_flight<arrival>> calls_;
  std::deque<arrival> taken_;
  std::set<std::size_t> holders_;
  std::uint64_t highest_{};
  std::string broken_;
};

constexpr unsigned kSeeds = 2000;
constexpr auto kDay = 120s;

struct many_schedules {
  guards used;

  /** @brief Returns the first seed that breaks, and how. */
  std::string FirstBroken() const {
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
      fleet_of_contenders fleet(seed, used);
      if (const auto broken = fleet.Run(kDay); !broken.empty()) {
        return "seed " + std::to_string(seed) + ": " + broken;
      }
    }
    return {};
  }
};

BOOST_FIXTURE_TEST_SUITE(targets_without_fencing, many_schedules)

BOOST_AUTO_TEST_CASE(calls_of_two_holders_never_mix) {
  BOOST_TEST(FirstBroken() == "");
}

BOOST_AUTO_TEST_CASE(lease_changes_hands_in_many_schedules) {
  std::size_t changed = 0;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    fleet_of_contenders fleet(seed, used);
    static_cast<void>(fleet.Run(kDay));
    changed += fleet.Holders() > 1 ? 1 : 0;
  }
  BOOST_TEST(changed > kSeeds / 3);
}

BOOST_AUTO_TEST_CASE(checker_fails_without_the_reserve) {
  used.acting.reserve = 0ms;
  BOOST_TEST(FirstBroken() != "");
}

BOOST_AUTO_TEST_CASE(checker_fails_without_the_margin) {
  used.margin = 0ms;
  BOOST_TEST(FirstBroken() != "");
}

BOOST_AUTO_TEST_CASE(checker_fails_without_the_rest) {
  used.acting.cooldown = 0ms;
  BOOST_TEST(FirstBroken() != "");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
