#include "mimosadeckd/bookings.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace mimosadeck::daemon {
namespace internal {
namespace {

constexpr std::chrono::milliseconds kTickInterval{50};
constexpr std::chrono::milliseconds kMinOwnersReadInterval{1000};
constexpr std::chrono::seconds kMaxOwnersReadInterval{10};
constexpr std::chrono::milliseconds kClaimTimeout{1500};
constexpr std::chrono::milliseconds kClaimRetryTimeout{3000};
constexpr std::size_t kMaxOwnersTried = 3;
constexpr std::chrono::milliseconds kCopyTimeout{1000};
constexpr std::chrono::milliseconds kFetchTimeout{500};
constexpr std::chrono::milliseconds kSettleTimeout{500};
constexpr std::chrono::milliseconds kHandOverTimeout{15000};
constexpr std::size_t kHolderCount = 2;
constexpr std::string_view kShardRowPrefix = "booking/shard/";

void ToWire(const booking::record& in, wire::booking_record& out) {
  out.set_key(in.key);
  out.set_digest(in.digest);
  out.set_nonce(in.nonce);
  out.set_executor(in.executor);
  out.set_state(static_cast<std::uint32_t>(in.state));
  out.set_answer(in.answer);
}

booking::record FromWire(const wire::booking_record& in) {
  return {in.key(),
          in.digest(),
          in.nonce(),
          in.executor(),
          static_cast<booking::record_state>(in.state()),
          in.answer()};
}

std::vector<booking::record> FromWire(
    const google::protobuf::RepeatedPtrField<wire::booking_record>& in) {
  std::vector<booking::record> out;
  for (const auto& item : in) {
    out.push_back(FromWire(item));
  }
  return out;
}

}  // namespace
}  // namespace internal

bookings::bookings(control_state& state, peers& peers)
    : state_(state), peers_(peers) {
  for (std::uint32_t i = 0; i < booking::kShardCount; ++i) {
    shards_[i].number = i;
    shards_[i].self = state.incarnation;
  }
  peers_.SetHandler(wire::envelope::kBookingClaim,
                    [this](const auto& call) { OnClaimCall(call); });
  peers_.SetHandler(wire::envelope::kBookingSettle,
                    [this](const auto& call) { OnSettleCall(call); });
  peers_.SetHandler(wire::envelope::kBookingCopy, [this](const auto& call) {
    const auto& in = call.booking_copy();
    const bool accepted = booking::OnCopy(
        copies_, in.shard(), in.epoch(), internal::FromWire(in.records()),
        {in.saved_keys().begin(), in.saved_keys().end()});
    wire::envelope answer;
    answer.mutable_booking_copy_reply()->set_accepted(accepted);
    peers_.Reply(call, std::move(answer));
  });
  peers_.SetHandler(wire::envelope::kBookingFetch, [this](const auto& call) {
    const auto& in = call.booking_fetch();
    wire::envelope answer;
    auto* out = answer.mutable_booking_fetch_reply();
    for (const auto& item :
         booking::OnFetch(copies_, in.shard(), in.former_epoch(), in.epoch())) {
      internal::ToWire(item, *out->add_records());
    }
    peers_.Reply(call, std::move(answer));
  });
}

void bookings::Start() {
  asio::co_spawn(state_.io, TickLoop(), asio::detached);
  asio::co_spawn(state_.io, ReadOwnersLoop(), asio::detached);
}

booking::departed_predicate bookings::MakeDepartedTest() const {
  return [this](const std::string& incarnation) {
    return IsDeparted(state_, incarnation);
  };
}

std::vector<std::string> bookings::SelectHolders(std::uint32_t shard) const {
  std::vector<std::string> out;
  for (const auto& id : ownership::ChooseReplicaHolders(
           booking::ShardRowKey(shard), state_.settings.id,
           OwnerCandidates(state_), internal::kHolderCount)) {
    out.push_back(IncarnationName(id, state_.view.members.at(id).incarnation));
  }
  return out;
}

asio::awaitable<void> bookings::TickLoop() {
  while (!state_.stopping) {
    for (auto& [number, shard] : shards_) {
      Perform(number, booking::Tick(shard, options_, Now()));
      const bool lost_holder =
          booking::IsServing(shard) &&
          (shard.row.holders.size() < internal::kHolderCount ||
           std::any_of(shard.row.holders.begin(), shard.row.holders.end(),
                       MakeDepartedTest()));
      if (lost_holder) {
        Perform(number, booking::ReplaceHolders(shard, SelectHolders(number)));
      }
    }
    TakeOverOrphanedShards();
    co_await Sleep(internal::kTickInterval);
  }
}

asio::awaitable<void> bookings::ReadOwnersLoop() {
  while (!state_.stopping) {
    infra::scan_rows scan;
    scan.prefix = internal::kShardRowPrefix;
    scan.after = scan.prefix;
    scan.limit = booking::kShardCount;
    infra::request request = std::move(scan);
    const auto reply = co_await state_.platform.Send(std::move(request));
    if (const auto* page = std::get_if<infra::rows_page>(&reply)) {
      owners_.clear();
      owners_loaded_ = true;
      for (const auto& row : page->rows) {
        const auto decoded = booking::DecodeShardRow(row.value);
        const auto number =
            std::stoul(row.key.substr(internal::kShardRowPrefix.size()));
        if (decoded && !decoded->released) {
          owners_[static_cast<std::uint32_t>(number)] = decoded->owner;
        }
      }
    }
    const auto next = Now() + internal::kMaxOwnersReadInterval;
    do {
      co_await Sleep(internal::kMinOwnersReadInterval);
    } while (Now() < next && !IsAnyOwnerMissing() && !state_.stopping);
  }
}

bool bookings::IsAnyOwnerMissing() const {
  if (owners_.size() < booking::kShardCount) {
    return true;
  }
  return std::any_of(owners_.begin(), owners_.end(), [this](const auto& item) {
    const auto* member = FindMember(state_, item.second);
    return !member || member->leaving ||
           member->state == membership::member_state::dead;
  });
}

void bookings::TakeOverOrphanedShards() {
  const bool membership_settled =
      Now() - state_.started_at >= state_.membership_options.suspicion_timeout;
  if (!owners_loaded_ || state_.draining || !membership_settled) {
    return;
  }
  const auto candidates = OwnerCandidates(state_);
  for (auto& [number, shard] : shards_) {
    const auto owner = owners_.find(number);
    const bool orphaned = owner == owners_.end() ||
                          owner->second == state_.incarnation ||
                          IsDeparted(state_, owner->second);
    if (!orphaned || shard.phase != booking::shard_phase::idle) {
      continue;
    }
    const auto ranked =
        ownership::Rank(booking::ShardRowKey(number), candidates, 1);
    if (!ranked.empty() && ranked.front() == state_.settings.id) {
      Perform(number, booking::TakeOver(shard, SelectHolders(number), Now()));
    }
  }
}

void bookings::Perform(std::uint32_t shard,
                       const std::vector<booking::action>& actions) {
  for (const auto& action : actions) {
    if (const auto* answer = std::get_if<booking::claim_answer>(&action)) {
      const auto found = pending_claims_.find({shard, answer->ticket});
      if (found != pending_claims_.end()) {
        const auto waiter = found->second;
        waiter->Set({answer->outcome, answer->answer});
      }
    } else if (const auto* copies =
                   std::get_if<booking::send_copies>(&action)) {
      asio::co_spawn(state_.io, SendCopies(shard, *copies), asio::detached);
    } else if (const auto* fetch =
                   std::get_if<booking::fetch_copies>(&action)) {
      asio::co_spawn(state_.io, FetchCopies(shard, *fetch), asio::detached);
    } else if (const auto* store =
                   std::get_if<booking::store_request>(&action)) {
      asio::co_spawn(state_.io, SendToStore(shard, store->request),
                     asio::detached);
    }
  }
}

asio::awaitable<void> bookings::SendToStore(std::uint32_t shard,
                                            infra::request request) {
  const auto reply = co_await state_.platform.Send(std::move(request));
  auto& state = shards_.at(shard);
  Perform(shard, booking::OnStoreReply(state, options_, reply,
                                       MakeDepartedTest(), Now()));
  if (booking::IsServing(state)) {
    owners_[shard] = state_.incarnation;
  }
}

asio::awaitable<void> bookings::SendCopies(std::uint32_t shard,
                                           booking::send_copies copies) {
  const auto* member = FindMember(state_, copies.holder);
  if (!member) {
    co_return;
  }
  wire::envelope message;
  auto* out = message.mutable_booking_copy();
  out->set_shard(shard);
  out->set_epoch(copies.epoch);
  out->set_sequence(copies.sequence);
  for (const auto& item : copies.records) {
    internal::ToWire(item, *out->add_records());
  }
  for (const auto& key : copies.saved) {
    out->add_saved_keys(key);
  }
  const auto answer = co_await peers_.Call(member->id, std::move(message),
                                           internal::kCopyTimeout);
  if (!answer || !answer->has_booking_copy_reply() ||
      IncarnationName(answer->from(), answer->incarnation()) != copies.holder) {
    co_return;
  }
  Perform(shard, booking::OnCopyReply(shards_.at(shard), copies.holder,
                                      copies.epoch, copies.sequence,
                                      answer->booking_copy_reply().accepted()));
}

asio::awaitable<void> bookings::FetchCopies(std::uint32_t shard,
                                            booking::fetch_copies wanted) {
  auto& state = shards_.at(shard);
  while (state.phase == booking::shard_phase::collecting &&
         state.row.epoch == wanted.epoch) {
    std::vector<booking::record> records;
    bool answered = wanted.holder == state_.incarnation;
    if (answered) {
      records =
          booking::OnFetch(copies_, shard, wanted.former_epoch, wanted.epoch);
    } else if (const auto* member = FindMember(state_, wanted.holder)) {
      wire::envelope message;
      auto* out = message.mutable_booking_fetch();
      out->set_shard(shard);
      out->set_former_epoch(wanted.former_epoch);
      out->set_epoch(wanted.epoch);
      const auto answer = co_await peers_.Call(member->id, std::move(message),
                                               internal::kFetchTimeout);
      answered = answer && answer->has_booking_fetch_reply() &&
                 IncarnationName(answer->from(), answer->incarnation()) ==
                     wanted.holder;
      if (answered) {
        records = internal::FromWire(answer->booking_fetch_reply().records());
      }
    }
    if (answered) {
      Perform(shard, booking::OnFetchReply(state, options_, wanted.holder,
                                           records, Now()));
      co_return;
    }
    co_await Sleep(internal::kTickInterval);
  }
}

asio::awaitable<claim_result> bookings::ClaimLocally(std::uint32_t shard,
                                                     booking::record wanted) {
  std::uint64_t ticket = 0;
  const auto actions = booking::OnClaim(shards_.at(shard), options_, wanted,
                                        MakeDepartedTest(), Now(), ticket);
  const auto waiter =
      std::make_shared<net::one_shot<claim_result>>(state_.io.get_executor());
  pending_claims_[{shard, ticket}] = waiter;
  Perform(shard, actions);
  const auto answer = co_await waiter->Wait(internal::kClaimTimeout);
  pending_claims_.erase({shard, ticket});
  co_return answer.value_or(claim_result{});
}

std::string bookings::LikelyOwner(std::uint32_t shard,
                                  std::size_t attempt) const {
  const auto owner = owners_.find(shard);
  if (owner != owners_.end() && attempt % internal::kMaxOwnersTried == 0) {
    const auto* member = FindMember(state_, owner->second);
    if (member && member->state != membership::member_state::dead) {
      return member->id;
    }
  }
  const auto ranked =
      ownership::Rank(booking::ShardRowKey(shard), OwnerCandidates(state_),
                      internal::kMaxOwnersTried);
  return ranked.empty() ? std::string{} : ranked[attempt % ranked.size()];
}

asio::awaitable<std::optional<claim_result>> bookings::TryClaim(
    std::uint32_t shard,
    const booking::record& wanted,
    std::size_t attempt) {
  const auto id = LikelyOwner(shard, attempt);
  if (id == state_.settings.id) {
    const auto claimed = co_await ClaimLocally(shard, wanted);
    co_return claimed;
  }
  wire::envelope message;
  message.mutable_booking_claim()->set_shard(shard);
  internal::ToWire(wanted, *message.mutable_booking_claim()->mutable_record());
  const auto answer =
      co_await peers_.Call(id, std::move(message), internal::kClaimTimeout);
  if (!answer || !answer->has_booking_claim_reply()) {
    co_return std::nullopt;
  }
  const auto& in = answer->booking_claim_reply();
  co_return claim_result{static_cast<booking::claim_outcome>(in.outcome()),
                         in.answer()};
}

asio::awaitable<claim_result> bookings::Claim(booking::record wanted) {
  const auto shard = booking::ShardOf(wanted.key);
  const auto deadline = Now() + internal::kClaimRetryTimeout;
  for (std::size_t attempt = 0;; ++attempt) {
    const auto outcome = co_await TryClaim(shard, wanted, attempt);
    if (!outcome) {
      Settle(std::move(wanted), true);
      co_return claim_result{};
    }
    if (outcome->outcome != booking::claim_outcome::refused ||
        Now() >= deadline) {
      co_return *outcome;
    }
    co_await Sleep(internal::kTickInterval);
  }
}

void bookings::OnClaimCall(const wire::envelope& call) {
  asio::co_spawn(state_.io, AnswerClaim(call), asio::detached);
}

asio::awaitable<void> bookings::AnswerClaim(wire::envelope call) {
  const auto& in = call.booking_claim();
  claim_result outcome;
  if (in.shard() < booking::kShardCount) {
    outcome =
        co_await ClaimLocally(in.shard(), internal::FromWire(in.record()));
  }
  wire::envelope answer;
  auto* out = answer.mutable_booking_claim_reply();
  out->set_outcome(static_cast<std::uint32_t>(outcome.outcome));
  out->set_answer(outcome.answer);
  peers_.Reply(call, std::move(answer));
}

void bookings::Settle(booking::record outcome, bool never_sent) {
  asio::co_spawn(state_.io,
                 SettleUntilAcknowledged(std::move(outcome), never_sent),
                 asio::detached);
}

asio::awaitable<void> bookings::SettleUntilAcknowledged(booking::record outcome,
                                                        bool never_sent) {
  ++pending_settlements_;
  const auto shard = booking::ShardOf(outcome.key);
  constexpr std::size_t kMaxAttempts = 1000;
  for (std::size_t attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const auto id = LikelyOwner(shard, attempt);
    if (id == state_.settings.id) {
      if (shards_.at(shard).phase == booking::shard_phase::active) {
        Perform(shard,
                booking::OnSettle(shards_.at(shard), outcome, never_sent));
        break;
      }
    } else {
      wire::envelope message;
      auto* out = message.mutable_booking_settle();
      out->set_shard(shard);
      out->set_never_sent(never_sent);
      internal::ToWire(outcome, *out->mutable_record());
      const auto answer = co_await peers_.Call(id, std::move(message),
                                               internal::kSettleTimeout);
      if (answer && answer->has_acknowledgement() &&
          answer->acknowledgement().accepted()) {
        break;
      }
    }
    co_await Sleep(internal::kTickInterval);
  }
  --pending_settlements_;
}

void bookings::OnSettleCall(const wire::envelope& call) {
  const auto& in = call.booking_settle();
  if (in.shard() >= booking::kShardCount) {
    return;
  }
  auto& shard = shards_.at(in.shard());
  const bool is_active = shard.phase == booking::shard_phase::active;
  Perform(in.shard(), booking::OnSettle(shard, internal::FromWire(in.record()),
                                        in.never_sent()));
  wire::envelope answer;
  answer.mutable_acknowledgement()->set_accepted(is_active);
  peers_.Reply(call, std::move(answer));
}

asio::awaitable<void> bookings::HandOver() {
  const auto deadline = Now() + internal::kHandOverTimeout;
  while (pending_settlements_ > 0 && Now() < deadline) {
    co_await Sleep(internal::kTickInterval);
  }
  for (auto& [unused, shard] : shards_) {
    booking::Release(shard);
  }
  const auto is_active = [](const auto& item) {
    return item.second.phase != booking::shard_phase::idle;
  };
  while (Now() < deadline &&
         std::any_of(shards_.begin(), shards_.end(), is_active)) {
    co_await Sleep(internal::kTickInterval);
  }
}

std::size_t bookings::CountServedShards() const {
  return static_cast<std::size_t>(std::count_if(
      shards_.begin(), shards_.end(),
      [](const auto& item) { return booking::IsServing(item.second); }));
}

}  // namespace mimosadeck::daemon
