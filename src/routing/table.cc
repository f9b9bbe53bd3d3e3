#include <algorithm>
#include <cctype>
#include <functional>
#include <set>
#include <unordered_map>

#include "base/base.h"
#include "routing/routing.h"

namespace mimosadeck::routing {
namespace internal {
namespace {

struct text_hash {
  using is_transparent = void;
  std::size_t operator()(std::string_view text) const {
    return std::hash<std::string_view>{}(text);
  }
};

template <typename T>
using text_map = std::unordered_map<std::string, T, text_hash, std::equal_to<>>;

std::string NormalizeHost(std::string_view host) {
  std::string out(host.substr(0, host.find(':')));
  std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return out;
}

/** @brief Priority of the account, then of the route. */
using urgency = std::pair<int, int>;

int LeastUrgentAccount(const manifest& content) {
  int least = 0;
  if (content.accounts) {
    for (const auto& account : *content.accounts) {
      least = std::max(least, account.priority.value_or(0));
    }
  }
  return least;
}

std::vector<urgency> UrgenciesOf(const manifest& content, int least) {
  std::set<int> accounts{least};
  if (content.accounts) {
    for (const auto& account : *content.accounts) {
      accounts.insert(account.priority.value_or(least));
    }
  }
  std::set<int> routes;
  for (const auto& found : content.routes) {
    routes.insert(found.priority);
  }
  std::vector<urgency> out;
  for (const int account : accounts) {
    for (const int route : routes) {
      out.emplace_back(account, route);
    }
  }
  return out;
}

}  // namespace
}  // namespace internal

struct table::impl {
  manifest content;
  internal::text_map<internal::text_map<const route*>> routes;
  internal::text_map<const client_account*> accounts;
  internal::text_map<const service*> services;
  internal::text_map<std::chrono::milliseconds> pause_goals;
  int least_urgent_account{};
  /** Every combination of priorities, the most urgent first. */
  std::vector<internal::urgency> urgencies;
};

table::table(manifest content) : impl_(std::make_unique<impl>()) {
  impl_->content = std::move(content);
  impl_->least_urgent_account = internal::LeastUrgentAccount(impl_->content);
  impl_->urgencies =
      internal::UrgenciesOf(impl_->content, impl_->least_urgent_account);
  for (const auto& found : impl_->content.services) {
    impl_->services[found.name] = &found;
  }
  for (const auto& found : impl_->content.routes) {
    impl_->routes[internal::NormalizeHost(found.host)][found.prefix] = &found;
    if (!found.pause_goal) {
      continue;
    }
    for (const auto& target : found.services) {
      const auto [at, added] =
          impl_->pause_goals.try_emplace(target.service, *found.pause_goal);
      at->second = std::min(at->second, *found.pause_goal);
    }
  }
  if (!impl_->content.accounts) {
    return;
  }
  for (const auto& account : *impl_->content.accounts) {
    for (const auto& key : account.keys) {
      impl_->accounts[key] = &account;
    }
  }
}

table::~table() = default;

std::uint64_t table::Version() const {
  return impl_->content.version;
}

const caller_limits& table::Limits() const {
  return impl_->content.limits;
}

const route* table::Match(std::string_view host,
                          std::string_view target) const {
  const auto found = impl_->routes.find(internal::NormalizeHost(host));
  if (found == impl_->routes.end()) {
    return nullptr;
  }
  auto path = target.substr(0, target.find('?'));
  for (auto slash = path.rfind('/'); slash != std::string_view::npos;
       slash = path.rfind('/')) {
    const auto match = found->second.find(path.substr(0, slash + 1));
    if (match != found->second.end()) {
      return match->second;
    }
    path = path.substr(0, slash);
  }
  return nullptr;
}

bool table::NeedsKeys() const {
  return impl_->content.accounts.has_value();
}

const client_account* table::AccountOf(std::string_view key) const {
  const auto found = impl_->accounts.find(key);
  return found == impl_->accounts.end() ? nullptr : found->second;
}

int table::UrgencyOf(const route& route, const client_account* account) const {
  const int account_urgency =
      account ? account->priority.value_or(impl_->least_urgent_account)
              : impl_->least_urgent_account;
  const auto& all = impl_->urgencies;
  const auto rank = static_cast<int>(
      std::lower_bound(all.begin(), all.end(),
                       internal::urgency{account_urgency, route.priority}) -
      all.begin());
  const auto last = static_cast<int>(all.size()) - 1;
  return last <= kLeastUrgent ? rank : rank * kLeastUrgent / last;
}

const service* table::FindService(std::string_view name) const {
  const auto found = impl_->services.find(name);
  return found == impl_->services.end() ? nullptr : found->second;
}

const std::vector<service>& table::Services() const {
  return impl_->content.services;
}

std::optional<std::chrono::milliseconds> table::TightestPauseGoal(
    std::string_view service) const {
  const auto found = impl_->pause_goals.find(service);
  if (found == impl_->pause_goals.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::string_view PickService(const route& route, std::string_view request_id) {
  if (route.services.empty()) {
    return {};
  }
  double total = 0;
  for (const auto& target : route.services) {
    total += target.weight;
  }
  constexpr std::uint64_t kResolution = 1U << 20U;
  double point = total * static_cast<double>(Hash64(request_id) % kResolution) /
                 static_cast<double>(kResolution);
  for (const auto& target : route.services) {
    if (point < target.weight) {
      return target.service;
    }
    point -= target.weight;
  }
  return route.services.back().service;
}

}  // namespace mimosadeck::routing
