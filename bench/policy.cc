#include "bench/policy.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <optional>
#include <queue>
#include <random>

#include "dispatch/dispatch.h"

namespace mimosadeck::bench {
namespace internal {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kReportInterval{500};
constexpr milliseconds kTick{20};
constexpr milliseconds kDrainTime{300000};
constexpr double kSigma = 0.8;
constexpr double kLoadSlowdown = 0.5;
constexpr double kMillisPerHour = 3600.0 * 1000.0;

/** @brief One request, as the caller made it. */
struct job {
  std::uint64_t id{};
  std::size_t class_index{};
  std::size_t account_index{};
  mono_time arrived;
  std::uint64_t tokens{};
  std::uint64_t done{};
  bool first_token_counted{};
  bool ended{};
};

/** @brief One engine: slots that slow each other down. */
struct engine {
  std::string id;
  std::uint32_t slots{};
  milliseconds token_time{};
  bool cheaper{};
  double cost_per_hour{};
  bool present{true};
  double slowdown{1};
  std::uint32_t running{};
};

/** @brief An end of work to come; stale if the generation moved on. */
struct finish {
  mono_time at;
  std::uint64_t job{};
  std::uint64_t generation{};
  friend bool operator>(const finish& a, const finish& b) {
    return a.at != b.at ? a.at > b.at : a.job > b.job;
  }
};

/** @brief Work on an engine. */
struct running_work {
  std::uint64_t job{};
  std::size_t engine{};
  std::uint64_t grant{};
  mono_time started;
  double token_millis{};
  std::uint64_t generation{};
};

class experiment {
 public:
  experiment(const scenario& what, policy how, std::uint64_t seed)
      : what_(what), how_(how), random_(seed) {
    int number = 0;
    for (const auto& group : what.upstreams) {
      for (std::uint32_t i = 0; i < group.count; ++i) {
        engine one;
        one.id = "u" + std::to_string(number++);
        one.slots = group.slots;
        one.token_time = group.token_time;
        one.cheaper = group.cheaper;
        one.cost_per_hour = group.cost_per_hour;
        engines_.push_back(one);
      }
    }
    options_.queue.capacity = 64 * engines_.size();
    options_.tokens_per_slot_second =
        1000.0 / static_cast<double>(engines_.front().token_time.count());
  }

  run_result Run() {
    PlanArrivals();
    const auto end = start_ + what_.duration;
    mono_time next_report = start_;
    for (now_ = start_; now_ < end + kDrainTime; now_ += kTick) {
      Disturb();
      FinishDue();
      while (!arrivals_.empty() && arrivals_.front().arrived <= now_) {
        auto arrived = arrivals_.front();
        arrivals_.pop_front();
        jobs_[arrived.id] = arrived;
        Offer(arrived.id);
      }
      if (now_ >= next_report) {
        Report();
        next_report = now_ + kReportInterval;
      }
      if (how_ == policy::mimosadeck) {
        Perform(dispatch::Tick(pool_, options_, now_));
      }
      AddCost();
    }
    Conclude();
    return result_;
  }

 private:
  [[nodiscard]] const class_demand& ClassOf(const job& one) const {
    return what_.classes[one.class_index];
  }

  class_result& ResultOf(const job& one) {
    return result_.classes[ClassOf(one).name];
  }

  [[nodiscard]] double Factor(disturbance::kind kind,
                              const std::string& subject,
                              mono_time at) const {
    double factor = 1;
    for (const auto& item : what_.disturbances) {
      const bool now = at >= start_ + item.from && at < start_ + item.until;
      if (now && item.what == kind && item.subject == subject) {
        factor *= item.factor;
      }
    }
    return factor;
  }

  void PlanArrivals() {
    std::uint64_t next = 1;
    std::vector<job> all;
    for (std::size_t c = 0; c < what_.classes.size(); ++c) {
      for (std::size_t a = 0; a < what_.accounts.size(); ++a) {
        mono_time at = start_;
        while (at < start_ + what_.duration) {
          const auto& service = what_.classes[c];
          const auto& account = what_.accounts[a];
          const double rate =
              service.requests_per_second * account.part *
              Factor(disturbance::kind::burst, service.name, at) *
              Factor(disturbance::kind::crowd, account.name, at);
          std::exponential_distribution<double> gap(rate / 1000.0);
          at += std::chrono::microseconds(
              static_cast<std::int64_t>(gap(random_) * 1000.0));
          std::lognormal_distribution<double> length(
              std::log(service.mean_tokens) - kSigma * kSigma / 2, kSigma);
          job one;
          one.id = next++;
          one.class_index = c;
          one.account_index = a;
          one.arrived = at;
          one.tokens = static_cast<std::uint64_t>(
              std::max(1.0, std::round(length(random_))));
          all.push_back(one);
        }
      }
    }
    std::sort(all.begin(), all.end(), [](const job& a, const job& b) {
      return a.arrived != b.arrived ? a.arrived < b.arrived : a.id < b.id;
    });
    arrivals_.assign(all.begin(), all.end());
  }

  void Disturb() {
    bool evicted = false;
    double slow = 1;
    for (const auto& item : what_.disturbances) {
      const bool now = now_ >= start_ + item.from && now_ < start_ + item.until;
      evicted =
          evicted || (now && item.what == disturbance::kind::evict_cheaper);
      if (now && item.what == disturbance::kind::slow_one) {
        slow = item.factor;
      }
    }
    engines_.front().slowdown = slow;
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      auto& one = engines_[i];
      const bool present = !(one.cheaper && evicted);
      if (one.present && !present) {
        one.present = false;
        LoseEngine(i);
      }
      one.present = present;
    }
    UpdatePool();
  }

  void UpdatePool() {
    std::set<std::string> present;
    for (const auto& one : engines_) {
      dispatch::upstream known;
      known.id = one.id;
      known.address = one.id;
      known.slots = one.slots;
      known.cheaper = one.cheaper;
      known.leaving = !one.present;
      if (one.present) {
        present.insert(one.id);
      }
      dispatch::SetUpstream(pool_, known);
    }
    dispatch::RetainUpstreams(pool_, present);
  }

  void Offer(std::uint64_t id) {
    auto& one = jobs_.at(id);
    ++ResultOf(one).offered;
    if (how_ == policy::baseline) {
      fifo_.push_back(id);
      FillBaseline();
      return;
    }
    Ask(one, false);
  }

  void Ask(const job& one, bool resumed) {
    const auto& service = ClassOf(one);
    const auto& account = what_.accounts[one.account_index];
    dispatch::request wanted;
    wanted.id = one.id;
    wanted.entry = "e";
    wanted.account = account.name;
    wanted.class_name = service.name;
    wanted.weight = account.weight;
    wanted.tier = service.tier;
    wanted.expected_tokens = static_cast<std::uint32_t>(service.mean_tokens);
    wanted.max_wait = service.tier == 0
                          ? service.max_wait
                          : std::min(service.max_wait, service.first_token) -
                                engines_.front().token_time * 2;
    wanted.resumable = service.resumable;
    wanted.resumed = resumed;
    Perform(dispatch::OnRequest(pool_, options_, wanted, now_));
  }

  void Perform(const std::vector<dispatch::action>& actions) {
    for (const auto& action : actions) {
      if (const auto* given = std::get_if<dispatch::granted>(&action)) {
        for (std::size_t i = 0; i < engines_.size(); ++i) {
          if (engines_[i].id == given->grant.upstream_id) {
            Begin(given->grant.request.id, i, given->grant.id);
          }
        }
      } else if (const auto* refusal =
                     std::get_if<dispatch::refused>(&action)) {
        auto& one = jobs_.at(refusal->request.id);
        ++ResultOf(one).refused;
        ResultOf(one).wasted_tokens += one.done;
        one.ended = true;
      } else {
        Interrupt(std::get<dispatch::preempt>(action).grant.request.id);
      }
    }
  }

  void Interrupt(std::uint64_t id) {
    const auto found = work_.find(id);
    if (found != work_.end()) {
      Pause(id, dispatch::ending::preempted);
      Ask(jobs_.at(id), true);
    }
  }

  /** @brief Takes work off its engine; what was produced is kept. */
  void Pause(std::uint64_t id, dispatch::ending how) {
    const auto held = work_.at(id);
    work_.erase(id);
    --engines_[held.engine].running;
    auto& one = jobs_.at(id);
    const auto made = Made(held);
    CountTokens(one, held, std::min(made, one.tokens - one.done));
    one.done += std::min(made, one.tokens - one.done);
    Perform(dispatch::OnRelease(pool_, options_, held.grant, how,
                                static_cast<std::uint32_t>(made), now_));
  }

  [[nodiscard]] std::uint64_t Made(const running_work& held) const {
    const std::chrono::duration<double, std::milli> passed =
        now_ - held.started;
    return static_cast<std::uint64_t>(passed.count() / held.token_millis);
  }

  void LoseEngine(std::size_t index) {
    std::vector<std::uint64_t> lost;
    for (const auto& [id, held] : work_) {
      if (held.engine == index) {
        lost.push_back(id);
      }
    }
    for (const auto id : lost) {
      if (how_ == policy::baseline) {
        auto& one = jobs_.at(id);
        const auto held = work_.at(id);
        ResultOf(one).wasted_tokens += Made(held);
        work_.erase(id);
        --engines_[index].running;
        fifo_.push_front(id);
      } else {
        Pause(id, dispatch::ending::upstream_failed);
        Ask(jobs_.at(id), true);
      }
    }
  }

  void Begin(std::uint64_t id, std::size_t index, std::uint64_t grant) {
    auto& one = jobs_.at(id);
    auto& host = engines_[index];
    ++host.running;
    running_work held;
    held.job = id;
    held.engine = index;
    held.grant = grant;
    held.started = now_;
    const double crowding =
        1 + kLoadSlowdown * (host.running - 1) / std::max(1U, host.slots);
    held.token_millis =
        static_cast<double>(host.token_time.count()) * crowding * host.slowdown;
    held.generation = ++generation_;
    work_[id] = held;
    CountFirstToken(one, held);
    const double left = static_cast<double>(one.tokens - one.done);
    finishes_.push({now_ + std::chrono::microseconds(static_cast<std::int64_t>(
                               left * held.token_millis * 1000.0)),
                    id, held.generation});
  }

  void CountFirstToken(job& one, const running_work& held) {
    if (one.first_token_counted) {
      return;
    }
    one.first_token_counted = true;
    const std::chrono::duration<double, std::milli> waited = now_ - one.arrived;
    auto& result = ResultOf(one);
    result.longest_wait_ms = std::max(result.longest_wait_ms, waited.count());
    if (waited.count() + held.token_millis <=
        static_cast<double>(ClassOf(one).first_token.count())) {
      ++result.in_target;
    }
  }

  void FinishDue() {
    while (!finishes_.empty() && finishes_.top().at <= now_) {
      const auto next = finishes_.top();
      finishes_.pop();
      const auto found = work_.find(next.job);
      if (found == work_.end() || found->second.generation != next.generation) {
        continue;
      }
      End(next.job);
    }
  }

  void End(std::uint64_t id) {
    const auto held = work_.at(id);
    work_.erase(id);
    --engines_[held.engine].running;
    auto& one = jobs_.at(id);
    const auto left = one.tokens - one.done;
    CountTokens(one, held, left);
    one.done = one.tokens;
    one.ended = true;
    auto& result = ResultOf(one);
    ++result.served;
    result.tokens += one.tokens;
    account_tokens_[one.account_index] += static_cast<double>(one.tokens);
    if (how_ == policy::baseline) {
      FillBaseline();
      return;
    }
    Perform(dispatch::OnRelease(pool_, options_, held.grant,
                                dispatch::ending::finished,
                                static_cast<std::uint32_t>(left), now_));
  }

  void CountTokens(const job&, const running_work& held, std::uint64_t tokens) {
    all_tokens_ += static_cast<double>(tokens);
    if (engines_[held.engine].cheaper) {
      cheaper_tokens_ += static_cast<double>(tokens);
    }
  }

  /** @brief Round robin over the engines; the queue has no bound. */
  void FillBaseline() {
    while (!fifo_.empty()) {
      std::optional<std::size_t> chosen;
      for (std::size_t i = 0; i < engines_.size() && !chosen; ++i) {
        const auto index = round_robin_++ % engines_.size();
        if (engines_[index].present &&
            engines_[index].running < engines_[index].slots) {
          chosen = index;
        }
      }
      if (!chosen) {
        return;
      }
      const auto id = fifo_.front();
      fifo_.pop_front();
      Begin(id, *chosen, 0);
    }
  }

  void Report() {
    for (const auto& one : engines_) {
      if (one.present) {
        dispatch::OnLoadReport(
            pool_, one.id,
            static_cast<double>(one.running) / std::max(1U, one.slots), now_);
      }
    }
  }

  void AddCost() {
    if (now_ >= start_ + what_.duration) {
      return;
    }
    for (const auto& one : engines_) {
      if (one.present) {
        result_.cost += one.cost_per_hour * static_cast<double>(kTick.count()) /
                        kMillisPerHour;
      }
    }
  }

  /** @brief Compares each account with its share of what was served. */
  void Conclude() {
    double total = 0;
    std::vector<double> offered(what_.accounts.size());
    for (const auto& [unused, one] : jobs_) {
      offered[one.account_index] += static_cast<double>(one.tokens);
    }
    double weights = 0;
    for (std::size_t i = 0; i < what_.accounts.size(); ++i) {
      total += account_tokens_[i];
      weights += what_.accounts[i].weight;
    }
    for (std::size_t i = 0; i < what_.accounts.size(); ++i) {
      const double share =
          std::min(offered[i], total * what_.accounts[i].weight / weights);
      if (share > 0) {
        result_.worst_account =
            std::min(result_.worst_account, account_tokens_[i] / share);
      }
    }
    for (const auto& [unused, one] : result_.classes) {
      result_.tokens += one.tokens;
      result_.wasted_tokens += one.wasted_tokens;
    }
    result_.cheaper_part = all_tokens_ > 0 ? cheaper_tokens_ / all_tokens_ : 0;
  }

  const scenario& what_;
  policy how_;
  std::mt19937_64 random_;
  mono_time start_{std::chrono::hours(1)};
  mono_time now_;
  std::vector<engine> engines_;
  dispatch::pool pool_;
  dispatch::options options_;
  std::deque<job> arrivals_;
  std::map<std::uint64_t, job> jobs_;
  std::map<std::uint64_t, running_work> work_;
  std::priority_queue<finish, std::vector<finish>, std::greater<>> finishes_;
  std::deque<std::uint64_t> fifo_;
  std::size_t round_robin_{};
  std::uint64_t generation_{};
  std::map<std::size_t, double> account_tokens_;
  double all_tokens_{};
  double cheaper_tokens_{};
  run_result result_;
};

}  // namespace
}  // namespace internal

run_result RunScenario(const scenario& what, policy how, std::uint64_t seed) {
  return internal::experiment(what, how, seed).Run();
}

}  // namespace mimosadeck::bench
