#include "admission/queue.h"

#include <algorithm>
#include <limits>

namespace mimosadeck::admission {
namespace internal {
namespace {

constexpr std::chrono::minutes kForgetServiceAfter{10};

tier_lines& LinesOf(queue& state, int tier) {
  return state.tiers.at(static_cast<std::size_t>(tier));
}

account_service& ServiceOf(tier_lines& tier, const waiting& request) {
  auto& service = tier.service[request.account];
  service.weight = request.weight;
  return service;
}

void Insert(queue& state, const waiting& request) {
  auto& tier = LinesOf(state, request.tier);
  auto& line = tier.lines[request.account];
  if (line.requests.empty()) {
    auto& service = ServiceOf(tier, request);
    service.virtual_time = std::max(service.virtual_time, tier.virtual_now);
  }
  line.requests.push_back(request);
  line.expected_tokens += request.expected_tokens;
  ++tier.size;
  ++state.size;
  tier.expected_tokens += request.expected_tokens;
}

template <typename Iterator>
waiting Extract(queue& state,
                tier_lines& tier,
                std::map<std::string, account_line>::iterator line,
                Iterator position) {
  waiting taken = *position;
  line->second.requests.erase(position);
  line->second.expected_tokens -= taken.expected_tokens;
  if (line->second.requests.empty()) {
    tier.lines.erase(line);
  }
  --tier.size;
  --state.size;
  tier.expected_tokens -= taken.expected_tokens;
  return taken;
}

double PlacesPerWeight(const tier_lines& tier, const std::string& account) {
  const auto line = tier.lines.find(account);
  const auto service = tier.service.find(account);
  if (line == tier.lines.end() || service == tier.service.end()) {
    return 0;
  }
  return static_cast<double>(line->second.requests.size()) /
         service->second.weight;
}

std::map<std::string, account_line>::iterator MostCrowded(tier_lines& tier) {
  return std::max_element(
      tier.lines.begin(), tier.lines.end(), [&](const auto& a, const auto& b) {
        return PlacesPerWeight(tier, a.first) < PlacesPerWeight(tier, b.first);
      });
}

std::optional<waiting> DisplaceFor(queue& state, const waiting& request) {
  for (int number = kTiers - 1; number > 0 && number >= request.tier;
       --number) {
    auto& tier = LinesOf(state, number);
    if (tier.size == 0) {
      continue;
    }
    const auto line = MostCrowded(tier);
    if (number == request.tier) {
      const double own =
          PlacesPerWeight(tier, request.account) + 1 / request.weight;
      if (line->first == request.account ||
          PlacesPerWeight(tier, line->first) <= own) {
        return std::nullopt;
      }
    }
    return Extract(state, tier, line, std::prev(line->second.requests.end()));
  }
  return std::nullopt;
}

void Charge(tier_lines& tier, const waiting& taken, mono_time now) {
  auto& service = ServiceOf(tier, taken);
  tier.virtual_now = std::max(tier.virtual_now, service.virtual_time);
  service.virtual_time += taken.expected_tokens / taken.weight;
  service.last_charge = now;
  std::erase_if(tier.service, [&](const auto& item) {
    return !tier.lines.contains(item.first) &&
           now - item.second.last_charge > kForgetServiceAfter;
  });
}

waiting TakeFrom(queue& state,
                 tier_lines& tier,
                 std::map<std::string, account_line>::iterator line,
                 mono_time now) {
  waiting taken = Extract(state, tier, line, line->second.requests.begin());
  Charge(tier, taken, now);
  return taken;
}

waiting TakeFair(queue& state, tier_lines& tier, mono_time now) {
  const auto line = std::min_element(
      tier.lines.begin(), tier.lines.end(), [&](const auto& a, const auto& b) {
        return tier.service[a.first].virtual_time <
               tier.service[b.first].virtual_time;
      });
  return TakeFrom(state, tier, line, now);
}

std::optional<waiting> TakeStarving(queue& state,
                                    const options& settings,
                                    mono_time now,
                                    int lowest_tier) {
  tier_lines* oldest_tier = nullptr;
  std::map<std::string, account_line>::iterator oldest;
  mono_time arrived = now - settings.starving_after;
  for (int number = 0; number <= lowest_tier; ++number) {
    auto& tier = LinesOf(state, number);
    for (auto line = tier.lines.begin(); line != tier.lines.end(); ++line) {
      if (line->second.requests.front().arrived <= arrived) {
        arrived = line->second.requests.front().arrived;
        oldest = line;
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
std::vector<waiting> ExtractIf(queue& state, Predicate predicate) {
  std::vector<waiting> out;
  for (auto& tier : state.tiers) {
    for (auto line = tier.lines.begin(); line != tier.lines.end();) {
      auto& requests = line->second.requests;
      for (auto it = requests.begin(); it != requests.end();) {
        if (!predicate(*it)) {
          ++it;
          continue;
        }
        out.push_back(*it);
        tier.expected_tokens -= it->expected_tokens;
        line->second.expected_tokens -= it->expected_tokens;
        --tier.size;
        --state.size;
        it = requests.erase(it);
      }
      line = requests.empty() ? tier.lines.erase(line) : std::next(line);
    }
  }
  return out;
}

}  // namespace
}  // namespace internal

offer_outcome Offer(queue& state,
                    const options& settings,
                    const waiting& request) {
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

std::optional<waiting> Take(queue& state,
                            const options& settings,
                            mono_time now,
                            int lowest_tier) {
  if (state.size == 0) {
    return std::nullopt;
  }
  if ((state.choices + 1) % settings.starving_share == 0) {
    auto starving = internal::TakeStarving(state, settings, now, lowest_tier);
    if (starving) {
      ++state.choices;
      return starving;
    }
  }
  for (int number = 0; number <= lowest_tier; ++number) {
    auto& tier = internal::LinesOf(state, number);
    if (tier.size > 0) {
      ++state.choices;
      return internal::TakeFair(state, tier, now);
    }
  }
  return std::nullopt;
}

std::optional<int> HighestWaitingTier(const queue& state) {
  for (int number = 0; number < kTiers; ++number) {
    if (state.tiers.at(static_cast<std::size_t>(number)).size > 0) {
      return number;
    }
  }
  return std::nullopt;
}

std::vector<waiting> Expire(queue& state, mono_time now) {
  return internal::ExtractIf(
      state, [now](const waiting& request) { return request.deadline <= now; });
}

bool Remove(queue& state, std::uint64_t id) {
  return !internal::ExtractIf(state, [id](const waiting& request) {
            return request.id == id;
          }).empty();
}

std::vector<waiting> RemoveAccount(queue& state, const std::string& account) {
  return internal::ExtractIf(state, [&account](const waiting& request) {
    return request.account == account;
  });
}

void Correct(queue& state,
             int tier,
             const std::string& account,
             double tokens,
             mono_time now) {
  auto& lines = internal::LinesOf(state, tier);
  const auto service = lines.service.find(account);
  if (service == lines.service.end()) {
    return;
  }
  service->second.virtual_time += tokens / service->second.weight;
  service->second.last_charge = now;
}

double TokensAhead(const queue& state,
                   int tier,
                   const std::string& account,
                   double weight) {
  double total = 0;
  for (int number = 0; number < tier; ++number) {
    total += state.tiers.at(static_cast<std::size_t>(number)).expected_tokens;
  }
  const auto& lines = state.tiers.at(static_cast<std::size_t>(tier));
  const auto own = lines.lines.find(account);
  const double own_tokens =
      own == lines.lines.end() ? 0 : own->second.expected_tokens;
  for (const auto& [other, line] : lines.lines) {
    const auto service = lines.service.find(other);
    const double other_weight =
        service == lines.service.end() ? 1 : service->second.weight;
    total += other == account ? own_tokens
                              : std::min(line.expected_tokens,
                                         own_tokens / weight * other_weight);
  }
  return total;
}

}  // namespace mimosadeck::admission
