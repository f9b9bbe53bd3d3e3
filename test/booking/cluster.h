#ifndef TEST_BOOKING_CLUSTER_H_
#define TEST_BOOKING_CLUSTER_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "booking/booking.h"
#include "stand_in/memory_platform.h"

namespace mimosadeck::booking_test {

inline constexpr std::uint32_t kShard = 0;

/** @brief Entries of one shard, with lost, delayed and reordered messages. */
class cluster {
 public:
  explicit cluster(std::size_t size) : entries_(size) {
    for (std::size_t i = 0; i < size; ++i) {
      Boot(i);
    }
  }

  stand_in::memory_platform store;

  /** @brief Runs for 2 s, in which one entry takes the shard over. */
  void Start() { Run(std::chrono::seconds(2)); }

  void Run(std::chrono::milliseconds time) {
    for (const auto end = now_ + time; now_ < end;
         now_ += std::chrono::milliseconds(20)) {
      Step();
    }
  }

  /** @brief Ticks every active entry and delivers the due messages. */
  void Step() {
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      if (IsActive(i)) {
        TickEntry(i);
      }
    }
    DeliverDue();
  }

  void Advance(std::chrono::milliseconds time) { now_ += time; }

  void Claim(std::size_t executor,
             const std::string& key,
             const std::string& digest = "request") {
    ClaimAt(executor, OwnerOrFirst(), key, digest);
  }

  /** @brief Sends a claim to a given entry, even if it is not the owner. */
  void ClaimAt(std::size_t executor,
               std::size_t owner,
               const std::string& key,
               const std::string& digest = "request") {
    if (!IsActive(executor)) {
      return;
    }
    booking::record claim;
    claim.key = key;
    claim.digest = digest;
    claim.nonce = "n" + std::to_string(next_nonce_++);
    claim.executor = Incarnation(executor);
    calls_[claim.nonce] = {executor, entries_[executor].generation, claim,
                           now_ + std::chrono::milliseconds(1500), false};
    Post(owner, executor, [this, owner, claim] { HandleClaim(owner, claim); });
  }

  /** @brief Delivers the abandonment of a claim before the claim itself. */
  void AbandonBeforeClaim(std::size_t executor, const std::string& key) {
    booking::record claim;
    claim.key = key;
    claim.digest = "request";
    claim.nonce = "given-up";
    claim.executor = Incarnation(executor);
    const auto owner = OwnerOrFirst();
    Perform(owner, booking::OnSettle(entries_[owner].shard, claim, true));
    HandleClaim(owner, claim);
  }

  /** @brief Reports the answers of the sent calls of a key to the owner. */
  void Finish(const std::string& key) {
    for (auto& [unused, call] : calls_) {
      if (call.claim.key == key && call.sent && IsExecutorRunning(call)) {
        auto done = call.claim;
        done.state = booking::record_state::done;
        done.answer = "answer";
        const auto owner = OwnerOrFirst();
        Post(owner, call.executor, [this, owner, done] {
          Perform(owner, booking::OnSettle(entries_[owner].shard, done, false));
        });
      }
    }
  }

  void Kill(std::size_t index) {
    entries_[index].alive = false;
    ++entries_[index].generation;
  }

  void Restart(std::size_t index) {
    if (!entries_[index].alive) {
      Boot(index);
    }
  }

  void Pause(std::size_t index) { entries_[index].paused = true; }
  void Resume(std::size_t index) { entries_[index].paused = false; }
  void Leave(std::size_t index) { booking::Release(entries_[index].shard); }

  void KillAfterMessages(std::size_t index, int count) {
    kill_target_ = index;
    messages_until_kill_ = count;
  }

  /** @brief Delivers or drops one queued message, ahead of its due time. */
  void DeliverNow(std::size_t position, bool drop) {
    if (messages_.empty()) {
      return;
    }
    const auto at = static_cast<std::ptrdiff_t>(position % messages_.size());
    const auto message = messages_[static_cast<std::size_t>(at)];
    messages_.erase(messages_.begin() + at);
    if (!drop) {
      Deliver(message);
    }
  }

  [[nodiscard]] std::size_t Owner() const { return OwnerOrFirst(); }

  [[nodiscard]] std::vector<std::size_t> Holders() const {
    std::vector<std::size_t> out;
    for (const auto& id : entries_[OwnerOrFirst()].shard.row.holders) {
      out.push_back(IndexOf(id));
    }
    return out;
  }

  [[nodiscard]] int Sends(const std::string& key) const {
    const auto found = sends_.find(key);
    return found == sends_.end() ? 0 : found->second;
  }

  [[nodiscard]] int MaxSends() const {
    int max_sends = 0;
    for (const auto& [unused, count] : sends_) {
      max_sends = std::max(max_sends, count);
    }
    return max_sends;
  }

  [[nodiscard]] int Outcomes(const std::string& key,
                             booking::claim_outcome outcome) const {
    const auto found = outcomes_.find({key, outcome});
    return found == outcomes_.end() ? 0 : found->second;
  }

  [[nodiscard]] std::size_t Size() const { return entries_.size(); }

 private:
  struct entry {
    std::uint64_t generation{};
    bool alive{};
    bool paused{};
    booking::shard shard;
    booking::copy_store copies;
    std::map<std::uint64_t, booking::record> tickets;
  };
  struct call {
    std::size_t executor{};
    std::uint64_t generation{};
    booking::record claim;
    mono_time deadline;
    bool sent{};
  };
  struct message {
    std::size_t to{};
    std::uint64_t generation{};
    mono_time due;
    std::function<void()> deliver;
  };

  [[nodiscard]] std::string Incarnation(std::size_t index) const {
    return std::to_string(index) + "#" +
           std::to_string(entries_[index].generation);
  }

  [[nodiscard]] static std::size_t IndexOf(const std::string& incarnation) {
    return static_cast<std::size_t>(std::stoul(incarnation));
  }

  [[nodiscard]] bool IsActive(std::size_t index) const {
    return entries_[index].alive && !entries_[index].paused;
  }

  [[nodiscard]] bool IsExecutorRunning(const call& item) const {
    return IsActive(item.executor) &&
           entries_[item.executor].generation == item.generation;
  }

  /** @brief Returns a failure detector that takes paused entries for dead. */
  [[nodiscard]] booking::departed_predicate Departed() const {
    return [this](const std::string& incarnation) {
      const auto index = IndexOf(incarnation);
      return Incarnation(index) != incarnation || !IsActive(index);
    };
  }

  [[nodiscard]] std::size_t OwnerOrFirst() const {
    std::size_t best = 0;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      if (IsActive(i) && booking::IsServing(entries_[i].shard) &&
          (!booking::IsServing(entries_[best].shard) || !IsActive(best) ||
           entries_[i].shard.row.epoch > entries_[best].shard.row.epoch)) {
        best = i;
      }
    }
    return best;
  }

  void Boot(std::size_t index) {
    auto& state = entries_[index];
    ++state.generation;
    state.alive = true;
    state.paused = false;
    state.shard = {};
    state.shard.number = kShard;
    state.shard.self = Incarnation(index);
    state.copies = {};
    state.tickets.clear();
  }

  [[nodiscard]] std::vector<std::string> HoldersFor(std::size_t index) const {
    std::vector<std::string> out;
    for (std::size_t i = 1; i < entries_.size() && out.size() < 2; ++i) {
      const auto candidate = (index + i) % entries_.size();
      if (IsActive(candidate)) {
        out.push_back(Incarnation(candidate));
      }
    }
    return out;
  }

  void TickEntry(std::size_t index) {
    auto& shard = entries_[index].shard;
    Perform(index, booking::Tick(shard, options_, now_));
    const auto departed = Departed();
    if (booking::IsServing(shard) &&
        (shard.row.holders.size() < 2 ||
         std::any_of(shard.row.holders.begin(), shard.row.holders.end(),
                     departed))) {
      Perform(index, booking::ReplaceHolders(shard, HoldersFor(index)));
    }
    if (shard.phase == booking::shard_phase::idle) {
      Perform(index, booking::TakeOver(shard, HoldersFor(index), now_));
    }
    for (auto& [unused, item] : calls_) {
      if (item.executor == index && !item.sent &&
          item.deadline != mono_time{} && now_ >= item.deadline &&
          IsExecutorRunning(item)) {
        Abandon(item);
      }
    }
  }

  void Abandon(call& item) {
    item.deadline = {};
    const auto owner = OwnerOrFirst();
    const auto claim = item.claim;
    Post(owner, item.executor, [this, owner, claim] {
      Perform(owner, booking::OnSettle(entries_[owner].shard, claim, true));
    });
  }

  void Post(std::size_t to, std::size_t from, std::function<void()> deliver) {
    if (!entries_[from].alive) {
      return;
    }
    constexpr std::chrono::milliseconds kDelay{10};
    messages_.push_back(
        {to, entries_[to].generation, now_ + kDelay, std::move(deliver)});
  }

  void Deliver(const message& item) {
    if (!IsActive(item.to) || entries_[item.to].generation != item.generation) {
      return;
    }
    if (messages_until_kill_ == 0 && entries_[kill_target_].alive) {
      Kill(kill_target_);
    }
    messages_until_kill_ = std::max(-1, messages_until_kill_ - 1);
    if (IsActive(item.to)) {
      item.deliver();
    }
  }

  void DeliverDue() {
    std::deque<message> due;
    for (auto it = messages_.begin(); it != messages_.end();) {
      if (it->due <= now_) {
        due.push_back(*it);
        it = messages_.erase(it);
      } else {
        ++it;
      }
    }
    for (const auto& item : due) {
      Deliver(item);
    }
  }

  void HandleClaim(std::size_t owner, const booking::record& claim) {
    std::uint64_t ticket = 0;
    auto& state = entries_[owner];
    const auto actions = booking::OnClaim(state.shard, options_, claim,
                                          Departed(), now_, ticket);
    state.tickets[ticket] = claim;
    Perform(owner, actions);
  }

  void HandleAnswer(const booking::record& claim,
                    booking::claim_outcome outcome) {
    auto& item = calls_[claim.nonce];
    if (!IsExecutorRunning(item) || item.deadline == mono_time{}) {
      return;
    }
    ++outcomes_[{claim.key, outcome}];
    item.deadline = {};
    if (outcome == booking::claim_outcome::granted) {
      item.sent = true;
      ++sends_[claim.key];
    } else if (outcome == booking::claim_outcome::refused) {
      Abandon(item);
    }
  }

  void Perform(std::size_t index, const std::vector<booking::action>& actions) {
    for (const auto& action : actions) {
      if (const auto* answer = std::get_if<booking::claim_answer>(&action)) {
        const auto claim = entries_[index].tickets[answer->ticket];
        if (claim.nonce.empty() || !calls_.contains(claim.nonce)) {
          continue;
        }
        const auto outcome = answer->outcome;
        Post(calls_[claim.nonce].executor, index,
             [this, claim, outcome] { HandleAnswer(claim, outcome); });
      } else if (const auto* copies =
                     std::get_if<booking::send_copies>(&action)) {
        SendCopies(index, *copies);
      } else if (const auto* fetch =
                     std::get_if<booking::fetch_copies>(&action)) {
        SendFetch(index, *fetch);
      } else {
        const auto request = std::get<booking::store_request>(action).request;
        Post(index, index, [this, index, request] {
          const auto reply = Handle(store, request);
          Post(index, index, [this, index, reply] {
            Perform(index,
                    booking::OnStoreReply(entries_[index].shard, options_,
                                          reply, Departed(), now_));
          });
        });
      }
    }
  }

  void SendCopies(std::size_t index, const booking::send_copies& copies) {
    const auto holder = IndexOf(copies.holder);
    if (Incarnation(holder) != copies.holder) {
      return;
    }
    Post(holder, index, [this, index, holder, copies] {
      const bool accepted =
          booking::OnCopy(entries_[holder].copies, kShard, copies.epoch,
                          copies.records, copies.saved);
      Post(index, holder, [this, index, copies, accepted] {
        Perform(index,
                booking::OnCopyReply(entries_[index].shard, copies.holder,
                                     copies.epoch, copies.sequence, accepted));
      });
    });
  }

  void SendFetch(std::size_t index, const booking::fetch_copies& fetch) {
    const auto holder = IndexOf(fetch.holder);
    if (Incarnation(holder) != fetch.holder) {
      return;
    }
    Post(holder, index, [this, index, holder, fetch] {
      const auto records = booking::OnFetch(entries_[holder].copies, kShard,
                                            fetch.former_epoch, fetch.epoch);
      Post(index, holder, [this, index, fetch, records] {
        Perform(index, booking::OnFetchReply(entries_[index].shard, options_,
                                             fetch.holder, records, now_));
      });
    });
  }

  booking::options options_;
  mono_time now_{std::chrono::hours(1)};
  std::vector<entry> entries_;
  std::deque<message> messages_;
  std::map<std::string, call> calls_;
  std::map<std::string, int> sends_;
  std::map<std::pair<std::string, booking::claim_outcome>, int> outcomes_;
  std::uint64_t next_nonce_{1};
  std::size_t kill_target_{};
  int messages_until_kill_{-1};
};

/** @brief Runs a schedule; returns true if no call was ever sent twice. */
inline bool RunSchedule(const std::vector<std::uint16_t>& schedule) {
  constexpr std::size_t kEntries = 4;
  constexpr std::uint16_t kOperations = 16;
  cluster fleet(kEntries);
  fleet.Start();
  for (const auto item : schedule) {
    const auto operation = item % kOperations;
    const auto detail = static_cast<std::size_t>(item / kOperations);
    const auto index = detail % kEntries;
    const auto key = "k" + std::to_string(detail % 3);
    switch (operation) {
      case 0:
      case 1:
        fleet.Claim(index, key);
        break;
      case 2:
        fleet.ClaimAt(index, (detail / 4) % kEntries, key);
        break;
      case 3:
        fleet.Finish(key);
        break;
      case 4:
        fleet.DeliverNow(detail, true);
        break;
      case 5:
        fleet.DeliverNow(detail, false);
        break;
      case 6:
        fleet.Kill(index);
        break;
      case 7:
        fleet.Restart(index);
        break;
      case 8:
        fleet.Pause(index);
        break;
      case 9:
        fleet.Resume(index);
        break;
      case 10:
        fleet.store.faults.down = !fleet.store.faults.down;
        break;
      case 11:
        fleet.store.faults.lost_replies = 1;
        break;
      case 12:
        fleet.Run(std::chrono::milliseconds(400));
        break;
      case 13:
        fleet.Advance(std::chrono::seconds(4));
        break;
      default:
        fleet.Step();
        fleet.Advance(std::chrono::milliseconds(20));
    }
    if (fleet.MaxSends() > 1) {
      return false;
    }
  }
  return true;
}

/** @brief Removes the steps that a failing schedule does not need to fail. */
inline std::vector<std::uint16_t> Shrink(std::vector<std::uint16_t> schedule) {
  for (std::size_t size = schedule.size() / 2; size > 0; size /= 2) {
    for (std::size_t at = 0; at + size <= schedule.size();) {
      auto shorter = schedule;
      const auto begin = shorter.begin() + static_cast<std::ptrdiff_t>(at);
      shorter.erase(begin, begin + static_cast<std::ptrdiff_t>(size));
      if (RunSchedule(shorter)) {
        at += size;
      } else {
        schedule = shorter;
      }
    }
  }
  return schedule;
}

/** @brief Returns the operations of a schedule as text. */
inline std::string Describe(const std::vector<std::uint16_t>& schedule) {
  constexpr std::array kNames{"claim", "claim",   "claim-at", "finish",
                              "drop",  "deliver", "kill",     "restart",
                              "pause", "resume",  "store",    "lose-reply",
                              "run",   "advance", "step",     "step"};
  std::string out;
  for (const auto item : schedule) {
    out += kNames[item % kNames.size()];
    out += "(" + std::to_string(item / kNames.size()) + ") ";
  }
  return out;
}

}  // namespace mimosadeck::booking_test

#endif  // TEST_BOOKING_CLUSTER_H_
