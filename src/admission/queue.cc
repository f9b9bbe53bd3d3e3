#include "admission/queue.h"

#include <algorithm>
#include <limits>

namespace mimosadeck::admission {
namespace internal {
namespace {

/** Time for which the service of an account without requests is kept. */
constexpr std::chrono::minutes kServiceRetention{10};

tier_queue& TierOf(queue& state, int tier) {
  return state.tiers.at(static_cast<std::size_t>(tier));
}

account_service& ServiceOf(tier_queue& tier, const queued_request& request) {
  auto& service = tier.service[request.account];
  service.weight = request.weight;
  return service;
}

void Insert(queue& state, const queued_request& request) {
  auto& tier = TierOf(state, request.tier);
  auto& backlog = tier.backlogs[request.account];
  if (backlog.requests.empty()) {
    auto& service = ServiceOf(tier, request);
    service.virtual_time = std::max(service.virtual_time, tier.virtual_clock);
  }
  backlog.requests.push_back(request);
  backlog.expected_tokens += request.expected_tokens;
  ++tier.size;
  ++state.size;
  tier.expected_tokens += request.expected_tokens;
}

template <typename Iterator>
queued_request Extract(queue& state,
                       tier_queue& tier,
                       std::map<std::string, account_backlog>::iterator backlog,
                       Iterator position) {
  queued_request taken = *position;
  backlog->second.requests.erase(position);
  backlog->second.expected_tokens -= taken.expected_tokens;
  if (backlog->second.requests.empty()) {
    tier.backlogs.erase(backlog);
  }
  --tier.size;
  --state.size;
  tier.expected_tokens -= taken.expected_tokens;
  return taken;
}

/** Returns the number of queued requests of an account divided by its weight.
 */
double QueuedPerWeight(const tier_queue& tier, const std::string& account) {
  const auto backlog = tier.backlogs.find(account);
  const auto service = tier.service.find(account);
  if (backlog == tier.backlogs.end() || service == tier.service.end()) {
    return 0;
  }
  return static_cast<double>(backlog->second.requests.size()) /
         service->second.weight;
}

std::map<std::string, account_backlog>::iterator FindLargestBacklog(
    tier_queue& tier) {
  return std::max_element(tier.backlogs.begin(), tier.backlogs.end(),
                          [&](const auto& a, const auto& b) {
                            return QueuedPerWeight(tier, a.first) <
                                   QueuedPerWeight(tier, b.first);
                          });
}

/** Removes and returns the request that must make room for a new one, if any.
 */
std::optional<queued_request> DisplaceFor(queue& state,
                                          const queued_request& request) {
  for (int number = kTierCount - 1; number > 0 && number >= request.tier;
       --number) {
    auto& tier = TierOf(state, number);
    if (tier.size == 0) {
      continue;
    }
    const auto backlog = FindLargestBacklog(tier);
    if (number == request.tier) {
      const double own =
          QueuedPerWeight(tier, request.account) + 1 / request.weight;
      if (backlog->first == request.account ||
          QueuedPerWeight(tier, backlog->first) <= own) {
        return std::nullopt;
      }
    }
    return Extract(state, tier, backlog,
                   std::prev(backlog->second.requests.end()));
  }
  return std::nullopt;
}

/** Charges an account for a taken request and drops accounts not charged within
 * the retention time. */
void Charge(tier_queue& tier, const queued_request& taken, mono_time now) {
  auto& service = ServiceOf(tier, taken);
  tier.virtual_clock = std::max(tier.virtual_clock, service.virtual_time);
  service.virtual_time += taken.expected_tokens / taken.weight;
  service.charged_at = now;
  std::erase_if(tier.service, [&](const auto& item) {
    return !tier.backlogs.contains(item.first) &&
           now - item.second.charged_at > kServiceRetention;
  });
}

queued_request TakeFrom(
    queue& state,
    tier_queue& tier,
    std::map<std::string, account_backlog>::iterator backlog,
    mono_time now) {
  queued_request taken =
      Extract(state, tier, backlog, backlog->second.requests.begin());
  Charge(tier, taken, now);
  return taken;
}

queued_request TakeFair(queue& state, tier_queue& tier, mono_time now) {
  const auto backlog =
      std::min_element(tier.backlogs.begin(), tier.backlogs.end(),
                       [&](const auto& a, const auto& b) {
                         return tier.service[a.first].virtual_time <
                                tier.service[b.first].virtual_time;
                       });
  return TakeFrom(state, tier, backlog, now);
}

std::optional<queued_request> TakeStarving(queue& state,
                                           const options& settings,
                                           mono_time now,
                                           int lowest_tier) {
  tier_queue* oldest_tier = nullptr;
  std::map<std::string, account_backlog>::iterator oldest;
  mono_time arrived = now - settings.starvation_threshold;
  for (int number = 0; number <= lowest_tier; ++number) {
    auto& tier = TierOf(state, number);
    for (auto backlog = tier.backlogs.begin(); backlog != tier.backlogs.end();
         ++backlog) {
      if (backlog->second.requests.front().arrived <= arrived) {
        arrived = backlog->second.requests.front().arrived;
        oldest = backlog;
        oldest_tier = &tier;
      }
    }
  }
  if (!oldest_tier) {
    return std::nullopt;
  }
  return TakeFrom(state, *oldest_tier, oldest, now);
}

template <typename Predicate>
std::vector<queued_request> ExtractIf(queue& state, Predicate predicate) {
  std::vector<queued_request> out;
  for (auto& tier : state.tiers) {
    for (auto backlog = tier.backlogs.begin();
         backlog != tier.backlogs.end();) {
      auto& requests = backlog->second.requests;
      for (auto it = requests.begin(); it != requests.end();) {
        if (!predicate(*it)) {
          ++it;
          continue;
        }
        out.push_back(*it);
        tier.expected_tokens -= it->expected_tokens;
        backlog->second.expected_tokens -= it->expected_tokens;
        --tier.size;
        --state.size;
        it = requests.erase(it);
      }
      backlog =
          requests.empty() ? tier.backlogs.erase(backlog) : std::next(backlog);
    }
  }
  return out;
}

}  // namespace
}  // namespace internal

offer_outcome Offer(queue& state,
                    const options& settings,
                    const queued_request& request) {
  offer_outcome outcome;
  if (state.size >= settings.capacity) {
    outcome.displaced = internal::DisplaceFor(state, request);
    if (!outcome.displaced) {
      return outcome;
    }
  }
  internal::Insert(state, request);
  outcome.accepted = true;
  return outcome;
}

std::optional<queued_request> Take(queue& state,
                                   const options& settings,
                                   mono_time now,
                                   int lowest_tier) {
  if (state.size == 0) {
    return std::nullopt;
  }
  if ((state.taken_count + 1) % settings.starvation_interval == 0) {
    auto starving = internal::TakeStarving(state, settings, now, lowest_tier);
    if (starving) {
      ++state.taken_count;
      return starving;
    }
  }
  for (int number = 0; number <= lowest_tier; ++number) {
    auto& tier = internal::TierOf(state, number);
    if (tier.size > 0) {
      ++state.taken_count;
      return internal::TakeFair(state, tier, now);
    }
  }
  return std::nullopt;
}

std::optional<int> HighestWaitingTier(const queue& state) {
  for (int number = 0; number < kTierCount; ++number) {
    if (state.tiers.at(static_cast<std::size_t>(number)).size > 0) {
      return number;
    }
  }
  return std::nullopt;
}

std::vector<queued_request> RemoveExpired(queue& state, mono_time now) {
  return internal::ExtractIf(state, [now](const queued_request& request) {
    return request.deadline <= now;
  });
}

bool Remove(queue& state, std::uint64_t id) {
  return !internal::ExtractIf(state, [id](const queued_request& request) {
            return request.id == id;
          }).empty();
}

std::vector<queued_request> RemoveAccount(queue& state,
                                          const std::string& account) {
  return internal::ExtractIf(state, [&account](const queued_request& request) {
    return request.account == account;
  });
}

void CorrectService(queue& state,
                    int tier,
                    const std::string& account,
                    double tokens,
                    mono_time now) {
  auto& tier_state = internal::TierOf(state, tier);
  const auto service = tier_state.service.find(account);
  if (service == tier_state.service.end()) {
    return;
  }
  service->second.virtual_time += tokens / service->second.weight;
  service->second.charged_at = now;
}

double TokensAhead(const queue& state,
                   int tier,
                   const std::string& account,
                   double weight) {
  double total = 0;
  for (int number = 0; number < tier; ++number) {
    total += state.tiers.at(static_cast<std::size_t>(number)).expected_tokens;
  }
  const auto& same_tier = state.tiers.at(static_cast<std::size_t>(tier));
  const auto own = same_tier.backlogs.find(account);
  const double own_tokens =
      own == same_tier.backlogs.end() ? 0 : own->second.expected_tokens;
  for (const auto& [other, backlog] : same_tier.backlogs) {
    const auto service = same_tier.service.find(other);
    const double other_weight =
        service == same_tier.service.end() ? 1 : service->second.weight;
    total += other == account ? own_tokens
                              : std::min(backlog.expected_tokens,
                                         own_tokens / weight * other_weight);
  }
  return total;
}

}  // namespace mimosadeck::admission
