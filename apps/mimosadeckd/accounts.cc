#include "mimosadeckd/accounts.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace mimosadeck::daemon {
namespace internal {
namespace {

constexpr std::chrono::milliseconds kShareUpdateInterval{500};
constexpr std::chrono::milliseconds kDemandLifetime{2000};
constexpr std::chrono::milliseconds kShareCallTimeout{400};
constexpr std::chrono::milliseconds kCopyTimeout{100};
constexpr std::chrono::milliseconds kConcurrencyRetryAfter{200};
constexpr std::chrono::milliseconds kFlushRetryInterval{200};
constexpr std::size_t kHolderCount = 2;
constexpr double kDemandSmoothing = 0.5;

std::string AccountOwnershipKey(const std::string& account) {
  return "account/" + account;
}

void ToWire(const usage::totals& in, wire::usage_copy& out) {
  for (const auto& [account, used] : in) {
    auto* total = out.add_totals();
    total->set_account(account);
    total->set_requests(used.requests);
    total->set_prompt_tokens(used.prompt_tokens);
    total->set_completion_tokens(used.completion_tokens);
  }
}

void ToWire(const usage::ledger& in, wire::usage_copy& out) {
  out.set_incarnation(in.incarnation);
  out.set_sequence(in.sequence);
  ToWire(in.used, out);
}

void ToWire(const usage::ledger_delta& in, wire::usage_copy& out) {
  out.set_incarnation(in.incarnation);
  out.set_sequence(in.sequence);
  out.set_is_delta(true);
  out.set_base(in.base);
  ToWire(in.changed_totals, out);
}

usage::ledger FromWire(const wire::usage_copy& in) {
  usage::ledger out;
  out.incarnation = in.incarnation();
  out.sequence = in.sequence();
  for (const auto& total : in.totals()) {
    out.used[total.account()] = {total.requests(), total.prompt_tokens(),
                                 total.completion_tokens()};
  }
  return out;
}

}  // namespace
}  // namespace internal

accounts::accounts(control_state& state, peers& peers)
    : state_(state), peers_(peers) {
  ledger_.incarnation = state.incarnation;
  peers_.SetHandler(wire::envelope::kUsageCopy, [this](const auto& call) {
    wire::envelope answer;
    answer.mutable_acknowledgement()->set_accepted(OnCopy(call.usage_copy()));
    peers_.Reply(call, std::move(answer));
  });
  peers_.SetHandler(wire::envelope::kLimitDemand,
                    [this](const auto& call) { OnDemand(call); });
}

bool accounts::OnCopy(const wire::usage_copy& copy) {
  auto ledger = internal::FromWire(copy);
  if (!copy.is_delta()) {
    usage::OnCopy(copies_, ledger);
    return true;
  }
  return usage::OnDelta(copies_, {std::move(ledger.incarnation), copy.base(),
                                  ledger.sequence, std::move(ledger.used)});
}

void accounts::Start() {
  asio::co_spawn(state_.io, FlushLoop(), asio::detached);
  asio::co_spawn(state_.io, UpdateSharesLoop(), asio::detached);
}

double accounts::EqualShare() const {
  std::size_t members = 0;
  for (const auto& [unused, member] : state_.view.members) {
    if (!member.off_list) {
      ++members;
    }
  }
  return 1.0 / static_cast<double>(std::max<std::size_t>(1, members));
}

std::chrono::milliseconds accounts::Admit(
    const settings::account_settings& account,
    std::uint32_t expected_tokens) {
  auto& limits = limits_[account.name];
  const auto now = Now();
  limits.requests_demand += 1;
  limits.tokens_demand += expected_tokens;
  const auto apply = [&](admission::bucket& bucket, double& configured,
                         double limit) {
    if (configured != limit) {
      configured = limit;
      admission::SetRate(
          bucket, limit > 0 ? limit * EqualShare() : admission::kNoLimit, now);
    }
  };
  apply(limits.requests, limits.requests_limit, account.requests_per_second);
  apply(limits.tokens, limits.tokens_limit, account.tokens_per_second);
  if (account.concurrency > 0 && limits.running >= account.concurrency) {
    return internal::kConcurrencyRetryAfter;
  }
  const auto tokens_wait =
      admission::TryTake(limits.tokens, expected_tokens, now);
  if (tokens_wait.count() > 0) {
    return tokens_wait;
  }
  const auto requests_wait = admission::TryTake(limits.requests, 1, now);
  if (requests_wait.count() > 0) {
    admission::ForceTake(limits.tokens, -static_cast<double>(expected_tokens),
                         now);
    return requests_wait;
  }
  ++limits.running;
  return std::chrono::milliseconds::zero();
}

void accounts::EndRequest(const std::string& account) {
  auto& limits = limits_[account];
  if (limits.running > 0) {
    --limits.running;
  }
}

asio::awaitable<bool> accounts::SendCopy(std::string member,
                                         wire::envelope message) {
  const auto answer =
      co_await peers_.Call(member, std::move(message), internal::kCopyTimeout);
  co_return answer && answer->has_acknowledgement() &&
      answer->acknowledgement().accepted();
}

asio::awaitable<void> accounts::CopyTo(
    std::string member,
    usage::ledger_delta delta,
    std::shared_ptr<net::one_shot<bool>> done,
    std::shared_ptr<std::size_t> pending_copies) {
  const auto holder =
      IncarnationName(member, state_.view.members.at(member).incarnation);
  auto& copied_sequence = copied_sequences_[holder];
  bool accepted = false;
  if (copied_sequence == delta.base && copied_sequence > 0) {
    copied_sequence = delta.sequence;
    wire::envelope change;
    internal::ToWire(delta, *change.mutable_usage_copy());
    accepted = co_await SendCopy(member, std::move(change));
  }
  if (!accepted) {
    const auto sequence = ledger_.sequence;
    wire::envelope whole;
    internal::ToWire(ledger_, *whole.mutable_usage_copy());
    accepted = co_await SendCopy(member, std::move(whole));
    copied_sequences_[holder] = accepted ? sequence : 0;
  }
  if (accepted && --*pending_copies == 0) {
    done->Set(true);
  }
}

asio::awaitable<void> accounts::Record(std::string account,
                                       usage::amounts used,
                                       std::uint32_t expected_tokens) {
  usage::Record(ledger_, account, used);
  const auto delta = usage::LastDelta(ledger_, account);
  auto& limits = limits_[account];
  if (limits.tokens.rate > 0) {
    admission::ForceTake(limits.tokens,
                         static_cast<double>(used.completion_tokens) -
                             static_cast<double>(expected_tokens),
                         Now());
  }
  const auto holders = ownership::ChooseReplicaHolders(
      "usage/" + state_.settings.id, state_.settings.id,
      OwnerCandidates(state_), internal::kHolderCount);
  if (holders.empty()) {
    co_return;
  }
  const auto done =
      std::make_shared<net::one_shot<bool>>(state_.io.get_executor());
  const auto pending_copies = std::make_shared<std::size_t>(holders.size());
  for (const auto& id : holders) {
    asio::co_spawn(state_.io, CopyTo(id, delta, done, pending_copies),
                   asio::detached);
  }
  co_await done->Wait(internal::kCopyTimeout);
}

asio::awaitable<bool> accounts::Flush(usage::ledger source,
                                      usage::flush& flush) {
  auto step = usage::BeginFlush(flush, source);
  while (auto* request = std::get_if<infra::request>(&step)) {
    const auto reply = co_await state_.platform.Send(std::move(*request));
    step = usage::OnFlushReply(flush, reply);
  }
  co_return std::holds_alternative<usage::flush_done>(step);
}

asio::awaitable<void> accounts::FlushLoop() {
  while (!state_.stopping) {
    co_await Sleep(state_.settings.usage_flush_interval);
    const auto sequence = ledger_.sequence;
    if (sequence > flushed_sequence_) {
      const bool flushed = co_await Flush(ledger_, flush_);
      flushed_sequence_ = flushed ? sequence : flushed_sequence_;
    }
    co_await FlushOrphans();
  }
}

asio::awaitable<void> accounts::FlushOrphans() {
  std::vector<usage::ledger> orphans;
  for (const auto& [incarnation, copy] : copies_.copies) {
    if (IsDeparted(state_, incarnation)) {
      orphans.push_back(copy);
    }
  }
  for (const auto& copy : orphans) {
    usage::flush flush;
    const bool flushed = co_await Flush(copy, flush);
    if (flushed) {
      const auto found = copies_.copies.find(copy.incarnation);
      if (found != copies_.copies.end() &&
          found->second.sequence == copy.sequence) {
        copies_.copies.erase(found);
      }
    }
  }
}

asio::awaitable<void> accounts::FlushAll() {
  while (ledger_.sequence > flushed_sequence_) {
    const auto sequence = ledger_.sequence;
    const bool flushed = co_await Flush(ledger_, flush_);
    if (flushed) {
      flushed_sequence_ = sequence;
    } else {
      co_await Sleep(internal::kFlushRetryInterval);
    }
  }
}

asio::awaitable<void> accounts::UpdateSharesLoop() {
  while (!state_.stopping) {
    co_await Sleep(internal::kShareUpdateInterval);
    const auto candidates = OwnerCandidates(state_);
    std::map<std::string, wire::envelope> demands;
    constexpr double kIntervalsPerSecond =
        std::chrono::milliseconds(std::chrono::seconds(1)) /
        internal::kShareUpdateInterval;
    for (auto& [account, limits] : limits_) {
      if (limits.requests_limit <= 0 && limits.tokens_limit <= 0) {
        continue;
      }
      const auto owner = ownership::Rank(internal::AccountOwnershipKey(account),
                                         candidates, 1);
      if (owner.empty()) {
        continue;
      }
      auto* demand =
          demands[owner.front()].mutable_limit_demand()->add_accounts();
      demand->set_account(account);
      demand->set_requests_per_second(limits.requests_demand *
                                      kIntervalsPerSecond);
      demand->set_tokens_per_second(limits.tokens_demand * kIntervalsPerSecond);
      limits.requests_demand *= internal::kDemandSmoothing;
      limits.tokens_demand *= internal::kDemandSmoothing;
    }
    for (auto& [owner, message] : demands) {
      const auto answer = co_await peers_.Call(owner, std::move(message),
                                               internal::kShareCallTimeout);
      if (answer && answer->has_limit_share()) {
        ApplyShares(answer->limit_share());
      }
    }
  }
}

void accounts::OnDemand(const wire::envelope& call) {
  wire::envelope answer;
  auto* out = answer.mutable_limit_share();
  for (const auto& demand : call.limit_demand().accounts()) {
    const auto account =
        settings::FindAccount(state_.replica.current, demand.account());
    if (!account) {
      continue;
    }
    auto* share = out->add_accounts();
    share->set_account(demand.account());
    share->set_requests_per_second(admission::UpdateShare(
        divided_requests_[demand.account()], account->requests_per_second,
        call.from(), demand.requests_per_second(), Now(),
        internal::kDemandLifetime));
    share->set_tokens_per_second(admission::UpdateShare(
        divided_tokens_[demand.account()], account->tokens_per_second,
        call.from(), demand.tokens_per_second(), Now(),
        internal::kDemandLifetime));
  }
  peers_.Reply(call, std::move(answer));
}

void accounts::ApplyShares(const wire::limit_share& shares) {
  const auto now = Now();
  for (const auto& share : shares.accounts()) {
    auto& limits = limits_[share.account()];
    if (limits.requests_limit > 0) {
      admission::SetRate(limits.requests, share.requests_per_second(), now);
    }
    if (limits.tokens_limit > 0) {
      admission::SetRate(limits.tokens, share.tokens_per_second(), now);
    }
  }
}

}  // namespace mimosadeck::daemon
