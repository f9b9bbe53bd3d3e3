#include "fleet/work_table.h"

#include <algorithm>

namespace mimosadeck::fleet {
namespace internal {
namespace {

/** Engines read so many tokens in well under a millisecond. */
constexpr std::uint32_t kTokensPerUnit = 64;

std::uint32_t Units(std::uint32_t tokens) {
  return tokens / kTokensPerUnit + (tokens % kTokensPerUnit > 0 ? 1 : 0);
}

std::uint32_t Less(std::uint32_t from, std::uint32_t amount) {
  return from > amount ? from - amount : 0;
}

/** Calls a function for each upstream of a message. */
template <typename Take>
void ForEachUpstream(const wire::work& told, const Take& take) {
  const auto count = std::min({told.upstream_size(), told.running_size(),
                               told.unread_size(), told.held_size()});
  for (int i = 0; i < count; ++i) {
    take(told.upstream(i),
         upstream_work{told.running(i), told.unread(i) * kTokensPerUnit,
                       told.held(i) * kTokensPerUnit});
  }
}

/** Calls a function for each service of a message. */
template <typename Take>
void ForEachService(const wire::work& told, const Take& take) {
  const auto count = std::min(
      {told.service_size(), told.short_work_size(), told.long_work_size()});
  for (int i = 0; i < count; ++i) {
    take(told.service(i), service_work{told.short_work(i), told.long_work(i)});
  }
}

}  // namespace
}  // namespace internal

std::uint32_t UpstreamKey(std::uint64_t incarnation) {
  return static_cast<std::uint32_t>(incarnation);
}

void Add(work_table& sum, const wire::work& told) {
  internal::ForEachUpstream(told, [&sum](auto key, const auto& work) {
    auto& slot = sum.upstreams[key];
    slot.running += work.running;
    slot.unread_tokens += work.unread_tokens;
    slot.held_tokens += work.held_tokens;
  });
  internal::ForEachService(told, [&sum](auto key, const auto& work) {
    auto& slot = sum.services[key];
    slot.short_work += work.short_work;
    slot.long_work += work.long_work;
  });
}

void Subtract(work_table& sum, const wire::work& told) {
  internal::ForEachUpstream(told, [&sum](auto key, const auto& work) {
    auto& slot = sum.upstreams[key];
    slot.running = internal::Less(slot.running, work.running);
    slot.unread_tokens = internal::Less(slot.unread_tokens, work.unread_tokens);
    slot.held_tokens = internal::Less(slot.held_tokens, work.held_tokens);
  });
  internal::ForEachService(told, [&sum](auto key, const auto& work) {
    auto& slot = sum.services[key];
    slot.short_work = std::max(0.0, slot.short_work - work.short_work);
    slot.long_work = std::max(0.0, slot.long_work - work.long_work);
  });
}

wire::work Encode(const work_table& from) {
  wire::work out;
  for (const auto& [key, work] : from.upstreams) {
    if (work.running == 0 && work.held_tokens == 0) {
      continue;
    }
    out.add_upstream(key);
    out.add_running(work.running);
    out.add_unread(internal::Units(work.unread_tokens));
    out.add_held(internal::Units(work.held_tokens));
  }
  for (const auto& [key, work] : from.services) {
    out.add_service(key);
    out.add_short_work(static_cast<float>(work.short_work));
    out.add_long_work(static_cast<float>(work.long_work));
  }
  return out;
}

}  // namespace mimosadeck::fleet
