#include "mimosadeckd/accounts.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace mimosadeck::daemon {
namespace internal {
namespace {

constexpr std::chrono::milliseconds kSharesInterval{500};
constexpr std::chrono::milliseconds kDemandValid{2000};
constexpr std::chrono::milliseconds kShareLimit{400};
constexpr std::chrono::milliseconds kCopyLimit{100};
constexpr std::chrono::milliseconds kBusyRetry{200};
constexpr std::chrono::milliseconds kFlushRetry{200};
constexpr std::size_t kHolders = 2;
constexpr double kDemandSmoothing = 0.5;

std::string AccountWork(const std::string& account) {
  return "account/" + account;
}

void ToWire(const usage::totals& in, wire::usage_copy& out) {
  for (const auto& [account, used] : in) {
    auto* one = out.add_totals();
    one->set_account(account);
    one->set_requests(used.requests);
    one->set_prompt_tokens(used.prompt_tokens);
    one->set_completion_tokens(used.completion_tokens);
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
  ToWire(in.changed, out);
}

usage::ledger FromWire(const wire::usage_copy& in) {
  usage::ledger out;
  out.incarnation = in.incarnation();
  out.sequence = in.sequence();
  for (const auto& one : in.totals()) {
    out.used[one.account()] = {one.requests(), one.prompt_tokens(),
                               one.completion_tokens()};
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
    answer.mutable_acknowledgement()->set_accepted(TakeCopy(call.usage_copy()));
    peers_.Reply(call, std::move(answer));
  });
  peers_.SetHandler(wire::envelope::kLimitDemand,
            [this](const auto& call) { TakeDemand(call); });
}

bool accounts::TakeCopy(const wire::usage_copy& copy) {
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
  asio::co_spawn(state_.io, SharesLoop(), asio::detached);
}

double accounts::PartWithoutOwner() const {
  std::size_t known = 0;
  for (const auto& [unused, member] : state_.view.members) {
    if (!member.off_list) {
      ++known;
    }
  }
  return 1.0 / static_cast<double>(std::max<std::size_t>(1, known));
}

std::chrono::milliseconds accounts::Admit(
    const settings::account_settings& account,
    std::uint32_t expected_tokens) {
  auto& entry = limits_[account.name];
  const auto now = Now();
  entry.requests_wanted += 1;
  entry.tokens_wanted += expected_tokens;
  const auto apply = [&](admission::bucket& bucket, double& known,
                         double limit) {
    if (known != limit) {
      known = limit;
      admission::SetRate(
          bucket, limit > 0 ? limit * PartWithoutOwner() : admission::kNoLimit,
          now);
    }
  };
  apply(entry.requests, entry.requests_limit, account.requests_per_second);
  apply(entry.tokens, entry.tokens_limit, account.tokens_per_second);
  if (account.concurrency > 0 && entry.running >= account.concurrency) {
    return internal::kBusyRetry;
  }
  const auto tokens_wait =
      admission::TryTake(entry.tokens, expected_tokens, now);
  if (tokens_wait.count() > 0) {
    return tokens_wait;
  }
  const auto requests_wait = admission::TryTake(entry.requests, 1, now);
  if (requests_wait.count() > 0) {
    admission::ForceTake(entry.tokens, -static_cast<double>(expected_tokens),
                         now);
    return requests_wait;
  }
  ++entry.running;
  return std::chrono::milliseconds::zero();
}

void accounts::Leave(const std::string& account) {
  auto& entry = limits_[account];
  if (entry.running > 0) {
    --entry.running;
  }
}

asio::awaitable<bool> accounts::SendCopy(std::string member,
                                         wire::envelope message) {
  const auto answer =
      co_await peers_.Call(member, std::move(message), internal::kCopyLimit);
  co_return answer && answer->has_acknowledgement() &&
      answer->acknowledgement().accepted();
}

asio::awaitable<void> accounts::CopyTo(
    std::string member,
    usage::ledger_delta delta,
    std::shared_ptr<net::one_shot<bool>> done,
    std::shared_ptr<std::size_t> missing) {
  const auto holder =
      IncarnationName(member, state_.view.members.at(member).incarnation);
  auto& held = holder_sequence_[holder];
  bool accepted = false;
  if (held == delta.base && held > 0) {
    held = delta.sequence;
    wire::envelope change;
    internal::ToWire(delta, *change.mutable_usage_copy());
    accepted = co_await SendCopy(member, std::move(change));
  }
  if (!accepted) {
    const auto sequence = ledger_.sequence;
    wire::envelope whole;
    internal::ToWire(ledger_, *whole.mutable_usage_copy());
    accepted = co_await SendCopy(member, std::move(whole));
    holder_sequence_[holder] = accepted ? sequence : 0;
  }
  if (accepted && --*missing == 0) {
    done->Set(true);
  }
}

asio::awaitable<void> accounts::Record(std::string account,
                                       usage::amounts used,
                                       std::uint32_t expected_tokens) {
  usage::Record(ledger_, account, used);
  const auto delta = usage::LastChange(ledger_, account);
  auto& entry = limits_[account];
  if (entry.tokens.rate > 0) {
    admission::ForceTake(entry.tokens,
                         static_cast<double>(used.completion_tokens) -
                             static_cast<double>(expected_tokens),
                         Now());
  }
  const auto holders = ownership::SpreadHolders(
      "usage/" + state_.settings.id, state_.settings.id, OwnerCandidates(state_),
      internal::kHolders);
  if (holders.empty()) {
    co_return;
  }
  const auto done =
      std::make_shared<net::one_shot<bool>>(state_.io.get_executor());
  const auto missing = std::make_shared<std::size_t>(holders.size());
  for (const auto& id : holders) {
    asio::co_spawn(state_.io, CopyTo(id, delta, done, missing), asio::detached);
  }
  co_await done->Wait(internal::kCopyLimit);
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
      co_await Sleep(internal::kFlushRetry);
    }
  }
}

asio::awaitable<void> accounts::SharesLoop() {
  while (!state_.stopping) {
    co_await Sleep(internal::kSharesInterval);
    const auto candidates = OwnerCandidates(state_);
    std::map<std::string, wire::envelope> demands;
    constexpr double kIntervalsPerSecond =
        std::chrono::milliseconds(std::chrono::seconds(1)) /
        internal::kSharesInterval;
    for (auto& [account, entry] : limits_) {
      if (entry.requests_limit <= 0 && entry.tokens_limit <= 0) {
        continue;
      }
      const auto owner =
          ownership::Rank(internal::AccountWork(account), candidates, 1);
      if (owner.empty()) {
        continue;
      }
      auto* one = demands[owner.front()].mutable_limit_demand()->add_accounts();
      one->set_account(account);
      one->set_requests_per_second(entry.requests_wanted * kIntervalsPerSecond);
      one->set_tokens_per_second(entry.tokens_wanted * kIntervalsPerSecond);
      entry.requests_wanted *= internal::kDemandSmoothing;
      entry.tokens_wanted *= internal::kDemandSmoothing;
    }
    for (auto& [owner, message] : demands) {
      const auto answer = co_await peers_.Call(owner, std::move(message),
                                               internal::kShareLimit);
      if (answer && answer->has_limit_share()) {
        TakeShares(answer->limit_share());
      }
    }
  }
}

void accounts::TakeDemand(const wire::envelope& call) {
  wire::envelope answer;
  auto* out = answer.mutable_limit_share();
  for (const auto& one : call.limit_demand().accounts()) {
    const auto account =
        settings::FindAccount(state_.replica.current, one.account());
    if (!account) {
      continue;
    }
    auto* share = out->add_accounts();
    share->set_account(one.account());
    share->set_requests_per_second(admission::UpdateShare(
        divided_requests_[one.account()], account->requests_per_second,
        call.from(), one.requests_per_second(), Now(), internal::kDemandValid));
    share->set_tokens_per_second(admission::UpdateShare(
        divided_tokens_[one.account()], account->tokens_per_second, call.from(),
        one.tokens_per_second(), Now(), internal::kDemandValid));
  }
  peers_.Reply(call, std::move(answer));
}

void accounts::TakeShares(const wire::limit_share& shares) {
  const auto now = Now();
  for (const auto& one : shares.accounts()) {
    auto& entry = limits_[one.account()];
    if (entry.requests_limit > 0) {
      admission::SetRate(entry.requests, one.requests_per_second(), now);
    }
    if (entry.tokens_limit > 0) {
      admission::SetRate(entry.tokens, one.tokens_per_second(), now);
    }
  }
}

}  // namespace mimosadeck::daemon
