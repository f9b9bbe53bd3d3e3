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

/**
 * @brief A few entries that share one shard, with messages that can be lost,
 * delayed and reordered; no network beyond that.
 */
class cluster {
 public:
  explicit cluster(std::size_t size) : entries_(size) {
    for (std::size_t i = 0; i < size; ++i) {
      Boot(i);
    }
  }

  stand_in::memory_platform store;

  /** @brief Runs until some entry serves. */
  void Start() { Run(std::chrono::seconds(2)); }

  void Run(std::chrono::milliseconds time) {
    for (const auto end = now_ + time; now_ < end;
         now_ += std::chrono::milliseconds(20)) {
      Step();
    }
  }

  /** @brief One tick of every entry and the delivery of due messages. */
  void Step() {
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      if (IsActive(i)) {
        TickEntry(i);
      }
    }
    DeliverDue();
  }

  void Advance(std::chrono::milliseconds time) { now_ += time; }

  void Claim(std::size_t at,
             const std::string& key,
             const std::string& digest = "request") {
    ClaimAt(at, OwnerOrFirst(), key, digest);
  }

  /** @brief Claims at a given entry, whether it is the owner or not. */
  void ClaimAt(std::size_t at,
               std::size_t owner,
               const std::string& key,
               const std::string& digest = "request") {
    if (!IsActive(at)) {
      return;
    }
    booking::record wanted;
    wanted.key = key;
    wanted.digest = digest;
    wanted.nonce = "n" + std::to_string(next_nonce_++);
    wanted.executor = Incarnation(at);
    calls_[wanted.nonce] = {at, entries_[at].generation, wanted,
                            now_ + std::chrono::milliseconds(1500), false};
    Post(owner, at, [this, owner, wanted] { TakeClaim(owner, wanted); });
  }

  /** @brief The executor gives up, and its word overtakes the claim. */
  void GiveUpThenDeliver(std::size_t at, const std::string& key) {
    booking::record wanted;
    wanted.key = key;
    wanted.digest = "request";
    wanted.nonce = "given-up";
    wanted.executor = Incarnation(at);
    const auto owner = OwnerOrFirst();
    Perform(owner, booking::OnSettle(entries_[owner].shard, wanted, true));
    TakeClaim(owner, wanted);
  }

  /** @brief The executor of a sent call reports its answer. */
  void Finish(const std::string& key) {
    for (auto& [unused, call] : calls_) {
      if (call.wanted.key == key && call.sent && IsSame(call)) {
        auto done = call.wanted;
        done.state = booking::record_state::done;
        done.answer = "answer";
        const auto owner = OwnerOrFirst();
        Post(owner, call.at, [this, owner, done] {
          Perform(owner, booking::OnSettle(entries_[owner].shard, done, false));
        });
      }
    }
  }

  void Kill(std::size_t who) {
    entries_[who].alive = false;
    ++entries_[who].generation;
  }

  void Restart(std::size_t who) {
    if (!entries_[who].alive) {
      Boot(who);
    }
  }

  void Pause(std::size_t who) { entries_[who].paused = true; }
  void Resume(std::size_t who) { entries_[who].paused = false; }
  void Leave(std::size_t who) { booking::Release(entries_[who].shard); }

  void KillAfterMessages(std::size_t who, int count) {
    doomed_ = who;
    messages_left_ = count;
  }

  /** @brief Delivers or drops the oldest message at once. */
  void Jump(std::size_t which, bool drop) {
    if (messages_.empty()) {
      return;
    }
    const auto at = static_cast<std::ptrdiff_t>(which % messages_.size());
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

  [[nodiscard]] int MostSends() const {
    int most = 0;
    for (const auto& [unused, count] : sends_) {
      most = std::max(most, count);
    }
    return most;
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
    std::size_t at{};
    std::uint64_t generation{};
    booking::record wanted;
    mono_time deadline;
    bool sent{};
  };
  struct message {
    std::size_t to{};
    std::uint64_t generation{};
    mono_time due;
    std::function<void()> act;
  };

  [[nodiscard]] std::string Incarnation(std::size_t who) const {
    return std::to_string(who) + "#" + std::to_string(entries_[who].generation);
  }

  [[nodiscard]] static std::size_t IndexOf(const std::string& incarnation) {
    return static_cast<std::size_t>(std::stoul(incarnation));
  }

  [[nodiscard]] bool IsActive(std::size_t who) const {
    return entries_[who].alive && !entries_[who].paused;
  }

  [[nodiscard]] bool IsSame(const call& item) const {
    return IsActive(item.at) && entries_[item.at].generation == item.generation;
  }

  /** @brief What the failure detector says: not quite the truth. */
  [[nodiscard]] booking::departed_predicate Departed() const {
    return [this](const std::string& incarnation) {
      const auto who = IndexOf(incarnation);
      return Incarnation(who) != incarnation || !IsActive(who);
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

  void Boot(std::size_t who) {
    auto& state = entries_[who];
    ++state.generation;
    state.alive = true;
    state.paused = false;
    state.shard = {};
    state.shard.number = kShard;
    state.shard.self = Incarnation(who);
    state.copies = {};
    state.tickets.clear();
  }

  [[nodiscard]] std::vector<std::string> HoldersFor(std::size_t who) const {
    std::vector<std::string> out;
    for (std::size_t i = 1; i < entries_.size() && out.size() < 2; ++i) {
      const auto candidate = (who + i) % entries_.size();
      if (IsActive(candidate)) {
        out.push_back(Incarnation(candidate));
      }
    }
    return out;
  }

  void TickEntry(std::size_t who) {
    auto& shard = entries_[who].shard;
    Perform(who, booking::Tick(shard, options_, now_));
    const auto departed = Departed();
    if (booking::IsServing(shard) &&
        (shard.row.holders.size() < 2 ||
         std::any_of(shard.row.holders.begin(), shard.row.holders.end(),
                     departed))) {
      Perform(who, booking::ReplaceHolders(shard, HoldersFor(who)));
    }
    if (shard.phase == booking::shard_phase::idle) {
      Perform(who, booking::TakeOver(shard, HoldersFor(who), now_));
    }
    for (auto& [unused, item] : calls_) {
      if (item.at == who && !item.sent && item.deadline != mono_time{} &&
          now_ >= item.deadline && IsSame(item)) {
        GiveUp(item);
      }
    }
  }

  void GiveUp(call& item) {
    item.deadline = {};
    const auto owner = OwnerOrFirst();
    const auto wanted = item.wanted;
    Post(owner, item.at, [this, owner, wanted] {
      Perform(owner, booking::OnSettle(entries_[owner].shard, wanted, true));
    });
  }

  void Post(std::size_t to, std::size_t from, std::function<void()> act) {
    if (!entries_[from].alive) {
      return;
    }
    constexpr std::chrono::milliseconds kDelay{10};
    messages_.push_back(
        {to, entries_[to].generation, now_ + kDelay, std::move(act)});
  }

  void Deliver(const message& item) {
    if (!IsActive(item.to) || entries_[item.to].generation != item.generation) {
      return;
    }
    if (messages_left_ == 0 && entries_[doomed_].alive) {
      Kill(doomed_);
    }
    messages_left_ = std::max(-1, messages_left_ - 1);
    if (IsActive(item.to)) {
      item.act();
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

  void TakeClaim(std::size_t owner, const booking::record& wanted) {
    std::uint64_t ticket = 0;
    auto& state = entries_[owner];
    const auto actions = booking::OnClaim(state.shard, options_, wanted,
                                          Departed(), now_, ticket);
    state.tickets[ticket] = wanted;
    Perform(owner, actions);
  }

  void TakeAnswer(const booking::record& wanted,
                  booking::claim_outcome outcome) {
    auto& item = calls_[wanted.nonce];
    if (!IsSame(item) || item.deadline == mono_time{}) {
      return;
    }
    ++outcomes_[{wanted.key, outcome}];
    item.deadline = {};
    if (outcome == booking::claim_outcome::granted) {
      item.sent = true;
      ++sends_[wanted.key];
    } else if (outcome == booking::claim_outcome::refused) {
      GiveUp(item);
    }
  }

  void Perform(std::size_t who, const std::vector<booking::action>& actions) {
    for (const auto& action : actions) {
      if (const auto* answer = std::get_if<booking::claim_answer>(&action)) {
        const auto wanted = entries_[who].tickets[answer->ticket];
        if (wanted.nonce.empty() || !calls_.contains(wanted.nonce)) {
          continue;
        }
        const auto outcome = answer->outcome;
        Post(calls_[wanted.nonce].at, who,
             [this, wanted, outcome] { TakeAnswer(wanted, outcome); });
      } else if (const auto* copies =
                     std::get_if<booking::send_copies>(&action)) {
        SendCopies(who, *copies);
      } else if (const auto* fetch =
                     std::get_if<booking::fetch_copies>(&action)) {
        SendFetch(who, *fetch);
      } else {
        const auto request = std::get<booking::store_request>(action).request;
        Post(who, who, [this, who, request] {
          const auto reply = Handle(store, request);
          Post(who, who, [this, who, reply] {
            Perform(who, booking::OnStoreReply(entries_[who].shard, options_,
                                               reply, Departed(), now_));
          });
        });
      }
    }
  }

  void SendCopies(std::size_t who, const booking::send_copies& copies) {
    const auto holder = IndexOf(copies.holder);
    if (Incarnation(holder) != copies.holder) {
      return;
    }
    Post(holder, who, [this, who, holder, copies] {
      const bool accepted =
          booking::OnCopy(entries_[holder].copies, kShard, copies.epoch,
                          copies.records, copies.saved);
      Post(who, holder, [this, who, copies, accepted] {
        Perform(who,
                booking::OnCopyReply(entries_[who].shard, copies.holder,
                                     copies.epoch, copies.sequence, accepted));
      });
    });
  }

  void SendFetch(std::size_t who, const booking::fetch_copies& fetch) {
    const auto holder = IndexOf(fetch.holder);
    if (Incarnation(holder) != fetch.holder) {
      return;
    }
    Post(holder, who, [this, who, holder, fetch] {
      const auto records = booking::OnFetch(entries_[holder].copies, kShard,
                                            fetch.former_epoch, fetch.epoch);
      Post(who, holder, [this, who, fetch, records] {
        Perform(who, booking::OnFetchReply(entries_[who].shard, options_,
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
  std::size_t doomed_{};
  int messages_left_{-1};
};

/**
 * @brief Runs a schedule of faults and claims.
 * @return True if no call was sent twice at any step.
 */
inline bool RunSchedule(const std::vector<std::uint16_t>& schedule) {
  constexpr std::size_t kEntries = 4;
  constexpr std::uint16_t kOperations = 16;
  cluster fleet(kEntries);
  fleet.Start();
  for (const auto item : schedule) {
    const auto operation = item % kOperations;
    const auto detail = static_cast<std::size_t>(item / kOperations);
    const auto who = detail % kEntries;
    const auto key = "k" + std::to_string(detail % 3);
    switch (operation) {
      case 0:
      case 1:
        fleet.Claim(who, key);
        break;
      case 2:
        fleet.ClaimAt(who, (detail / 4) % kEntries, key);
        break;
      case 3:
        fleet.Finish(key);
        break;
      case 4:
        fleet.Jump(detail, true);
        break;
      case 5:
        fleet.Jump(detail, false);
        break;
      case 6:
        fleet.Kill(who);
        break;
      case 7:
        fleet.Restart(who);
        break;
      case 8:
        fleet.Pause(who);
        break;
      case 9:
        fleet.Resume(who);
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
    if (fleet.MostSends() > 1) {
      return false;
    }
  }
  return true;
}

/** @brief Drops what a failing schedule does not need to fail. */
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

/** @brief Names the operations of a schedule. */
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
