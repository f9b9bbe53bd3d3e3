#include "rate_limit/permits.h"

#include <algorithm>
#include <cmath>

#include "base/digest.h"

namespace mimosadeck::rate_limit {
namespace internal {
namespace {

/** Largest lead of the issued permits over the clock; a larger one means that
 * the clock was set back. */
constexpr std::chrono::seconds kMaxLead{5};

/** @brief Rate of the permits of one upstream, and what each one is good for.
 */
struct issue_rate {
  double permits_per_second{};
  std::uint32_t requests_per_permit{};
};

issue_rate IssueRate(const options& settings, double requests_per_second) {
  const double rate = std::max(requests_per_second, settings.min_rate);
  constexpr double kMaxRequests = 1e6;
  const double requests = std::clamp(
      std::ceil(rate / settings.max_permits_per_second), 1.0, kMaxRequests);
  return {std::min(rate / requests, settings.max_permits_per_second),
          static_cast<std::uint32_t>(requests)};
}

double SecondsSinceEpoch(wall_time time) {
  return std::chrono::duration<double>(time.time_since_epoch()).count();
}

wall_time IssuedAt(std::int64_t number, double permits_per_second) {
  const std::chrono::duration<double> since_epoch(static_cast<double>(number) /
                                                  permits_per_second);
  return wall_time(
      std::chrono::duration_cast<wall_time::duration>(since_epoch));
}

std::uint64_t PermitHash(std::uint64_t upstream, std::int64_t number) {
  return MixBits(upstream ^ MixBits(static_cast<std::uint64_t>(number)));
}

/**
 * Returns the fraction of its permits that an entry uses. One that started
 * recently and knows only a part of the fleet would be selected too often.
 */
double UsedFraction(const participants& fleet,
                    const options& settings,
                    mono_time now) {
  if (fleet.in_minority) {
    return settings.minority_fraction;
  }
  const auto known = fleet.others.size() + 1;
  if (now - fleet.started_at > settings.participant_retention ||
      fleet.reported_size <= known) {
    return 1;
  }
  return static_cast<double>(known) / static_cast<double>(fleet.reported_size);
}

/** @brief Selects the holders of permits. */
class holder_selection {
 public:
  holder_selection(const participants& fleet,
                   const options& settings,
                   mono_time now)
      : fleet_(fleet),
        own_hash_(Hash64(fleet.self)),
        may_hold_(!fleet.leaving &&
                  now - fleet.started_at >= settings.settle_time),
        used_fraction_(UsedFraction(fleet, settings, now)) {}

  [[nodiscard]] bool IsHeldBySelf(std::uint64_t permit) const {
    if (!may_hold_) {
      return false;
    }
    const auto own = MixBits(own_hash_ ^ permit);
    const bool is_first = std::all_of(
        fleet_.others.begin(), fleet_.others.end(), [&](const auto& other) {
          return MixBits(other.second.hash ^ permit) < own;
        });
    constexpr double kHashRange = 18446744073709551616.0;
    return is_first &&
           (used_fraction_ >= 1 ||
            static_cast<double>(MixBits(permit)) / kHashRange < used_fraction_);
  }

 private:
  const participants& fleet_;
  std::uint64_t own_hash_;
  bool may_hold_;
  double used_fraction_;
};

std::int64_t NumberAt(wall_time time, double permits_per_second) {
  return static_cast<std::int64_t>(
      std::floor(SecondsSinceEpoch(time) * permits_per_second));
}

/** Issues the permits up to `fleet_time` to this entry that it holds. */
void Issue(permits& state,
           const options& settings,
           std::string_view incarnation,
           const holder_selection& holders,
           wall_time fleet_time) {
  if (state.issued_until > fleet_time + kMaxLead) {
    state.issued_until = fleet_time;
  }
  const auto since =
      std::max(state.issued_until, fleet_time - settings.permit_lifetime);
  const auto rate = IssueRate(settings, state.requests_per_second);
  const auto upstream = Hash64(incarnation);
  const auto newest = NumberAt(fleet_time, rate.permits_per_second);
  for (auto number = NumberAt(since, rate.permits_per_second) + 1;
       number <= newest; ++number) {
    if (holders.IsHeldBySelf(PermitHash(upstream, number))) {
      state.available.emplace_back(
          IssuedAt(number, rate.permits_per_second) + settings.permit_lifetime,
          rate.requests_per_permit);
    }
  }
  state.issued_until = std::max(state.issued_until, fleet_time);
  std::erase_if(state.available, [fleet_time](const auto& permit) {
    return permit.first <= fleet_time;
  });
}

}  // namespace
}  // namespace internal

void UpdateParticipants(participants& state,
                        const options& settings,
                        const std::vector<heard_entry>& heard,
                        mono_time now) {
  std::vector<std::size_t> sizes;
  for (const auto& entry : heard) {
    if (entry.leaving) {
      const auto known = state.others.find(entry.name);
      if (known != state.others.end()) {
        state.others.erase(known);
      }
      continue;
    }
    auto known = state.others.find(entry.name);
    if (known == state.others.end()) {
      known =
          state.others.emplace(entry.name, participant{Hash64(entry.name), {}})
              .first;
    }
    known->second.heard_at = std::max(known->second.heard_at, entry.heard_at);
    sizes.push_back(entry.entries_known + 1);
  }
  state.reported_size = 0;
  if (!sizes.empty()) {
    const auto middle =
        sizes.begin() + static_cast<std::ptrdiff_t>(sizes.size() / 2);
    std::nth_element(sizes.begin(), middle, sizes.end());
    state.reported_size = *middle;
  }
  const auto live = std::count_if(
      state.others.begin(), state.others.end(), [&](const auto& other) {
        return now - other.second.heard_at <= settings.participant_retention;
      });
  const auto heard_twice = 2 * (static_cast<std::size_t>(live) + 1);
  const bool hears_most = heard_twice > state.others.size() + 1;
  state.in_minority = heard_twice < state.others.size() + 1;
  const auto retention =
      hears_most ? settings.participant_retention : settings.minority_retention;
  std::erase_if(state.others, [&](const auto& other) {
    return now - other.second.heard_at > retention;
  });
}

void IssuePermits(permit_table& state,
                  const options& settings,
                  const limit_table& limits,
                  const participants& fleet,
                  wall_time fleet_time,
                  mono_time now) {
  std::erase_if(state.by_incarnation, [&limits](const auto& item) {
    return !LimitOf(limits, item.first);
  });
  const internal::holder_selection holders(fleet, settings, now);
  for (const auto& [incarnation, known] : limits.by_incarnation) {
    if (!known.requests_per_second) {
      continue;
    }
    auto [item, is_new] = state.by_incarnation.try_emplace(incarnation);
    auto& own = item->second;
    if (is_new) {
      own.issued_until = fleet_time;
    }
    if (*known.requests_per_second < own.requests_per_second) {
      own.available.clear();
    }
    own.requests_per_second = *known.requests_per_second;
    internal::Issue(own, settings, incarnation, holders, fleet_time);
  }
}

std::set<std::string> WithoutPermit(const permit_table& state) {
  std::set<std::string> out;
  for (const auto& [incarnation, own] : state.by_incarnation) {
    if (own.available.empty()) {
      out.insert(incarnation);
    }
  }
  return out;
}

bool HasPermit(const permit_table& state, std::string_view incarnation) {
  const auto found = state.by_incarnation.find(incarnation);
  return found != state.by_incarnation.end() &&
         !found->second.available.empty();
}

bool TakePermit(permit_table& state, std::string_view incarnation) {
  const auto found = state.by_incarnation.find(incarnation);
  if (found == state.by_incarnation.end()) {
    return true;
  }
  auto& available = found->second.available;
  if (available.empty()) {
    return false;
  }
  if (--available.front().second == 0) {
    available.pop_front();
  }
  return true;
}

std::optional<std::chrono::milliseconds> PermitInterval(
    const permit_table& state,
    const options& settings,
    std::string_view incarnation) {
  const auto found = state.by_incarnation.find(incarnation);
  if (found == state.by_incarnation.end()) {
    return std::nullopt;
  }
  const auto rate =
      std::max(found->second.requests_per_second, settings.min_rate);
  return std::chrono::ceil<std::chrono::milliseconds>(
      std::chrono::duration<double>(1 / rate));
}

}  // namespace mimosadeck::rate_limit
