#include "rate_limit/limits.h"

namespace mimosadeck::rate_limit {
namespace internal {
namespace {

change Replace(limit& known, const limit& observed) {
  const auto before = known.requests_per_second;
  known = observed;
  if (known.requests_per_second == before) {
    return change::none;
  }
  return known.requests_per_second ? change::set : change::ended;
}

}  // namespace
}  // namespace internal

change OnStated(limit_table& state,
                std::string_view incarnation,
                double requests_per_second,
                mono_time now) {
  auto& known = state.by_incarnation[std::string(incarnation)];
  return internal::Replace(known, {requests_per_second, now});
}

change OnNotStated(limit_table& state,
                   std::string_view incarnation,
                   mono_time sent_at,
                   mono_time now) {
  const auto found = state.by_incarnation.find(incarnation);
  if (found == state.by_incarnation.end() ||
      !found->second.requests_per_second ||
      sent_at <= found->second.observed_at) {
    return change::none;
  }
  return internal::Replace(found->second, {std::nullopt, now});
}

change Merge(limit_table& state,
             std::string_view incarnation,
             const limit& observed) {
  const auto found = state.by_incarnation.find(incarnation);
  if (found == state.by_incarnation.end()) {
    if (!observed.requests_per_second) {
      return change::none;
    }
    state.by_incarnation.emplace(incarnation, observed);
    return change::set;
  }
  if (observed.observed_at <= found->second.observed_at) {
    return change::none;
  }
  return internal::Replace(found->second, observed);
}

void Tick(limit_table& state,
          const std::function<bool(std::string_view)>& is_listed,
          std::chrono::milliseconds retention,
          mono_time now) {
  std::erase_if(state.by_incarnation, [&](const auto& item) {
    const auto& [incarnation, known] = item;
    const bool is_expired = now - known.observed_at > retention;
    return is_expired &&
           (!known.requests_per_second || !is_listed(incarnation));
  });
}

std::optional<double> LimitOf(const limit_table& state,
                              std::string_view incarnation) {
  const auto found = state.by_incarnation.find(incarnation);
  return found == state.by_incarnation.end()
             ? std::nullopt
             : found->second.requests_per_second;
}

std::vector<std::string> Limited(const limit_table& state) {
  std::vector<std::string> out;
  for (const auto& [incarnation, known] : state.by_incarnation) {
    if (known.requests_per_second) {
      out.push_back(incarnation);
    }
  }
  return out;
}

}  // namespace mimosadeck::rate_limit
