#include "fleet/work_table.h"

#include <algorithm>

namespace mimosadeck::fleet {
namespace internal {
namespace {

/** Resolution of token counts; engines process this many prompt tokens in well
 * under a millisecond. */
constexpr std::uint32_t kTokensPerUnit = 64;

std::uint32_t ToUnits(std::uint32_t tokens) {
  return tokens / kTokensPerUnit + (tokens % kTokensPerUnit > 0 ? 1 : 0);
}

std::uint32_t SaturatingSubtract(std::uint32_t from, std::uint32_t amount) {
  return from > amount ? from - amount : 0;
}

/** Calls a function for each upstream of a message. */
template <typename Visitor>
void ForEachUpstream(const wire::work& message, const Visitor& visit) {
  const auto count = std::min({message.upstream_size(), message.running_size(),
                               message.unread_size(), message.held_size()});
  for (int i = 0; i < count; ++i) {
    visit(message.upstream(i),
          upstream_work{message.running(i), message.unread(i) * kTokensPerUnit,
                        message.held(i) * kTokensPerUnit});
  }
}

/** Calls a function for each service of a message. */
template <typename Visitor>
void ForEachService(const wire::work& message, const Visitor& visit) {
  const auto count =
      std::min({message.service_size(), message.short_work_size(),
                message.long_work_size()});
  for (int i = 0; i < count; ++i) {
    visit(message.service(i),
          service_work{message.short_work(i), message.long_work(i)});
  }
}

}  // namespace
}  // namespace internal

std::uint32_t UpstreamKey(std::uint64_t incarnation) {
  return static_cast<std::uint32_t>(incarnation);
}

void Add(work_table& sum, const wire::work& message) {
  internal::ForEachUpstream(message, [&sum](auto key, const auto& work) {
    auto& slot = sum.upstreams[key];
    slot.running += work.running;
    slot.unread_tokens += work.unread_tokens;
    slot.held_tokens += work.held_tokens;
  });
  internal::ForEachService(message, [&sum](auto key, const auto& work) {
    auto& slot = sum.services[key];
    slot.short_work += work.short_work;
    slot.long_work += work.long_work;
  });
}

void Subtract(work_table& sum, const wire::work& message) {
  internal::ForEachUpstream(message, [&sum](auto key, const auto& work) {
    auto& slot = sum.upstreams[key];
    slot.running = internal::SaturatingSubtract(slot.running, work.running);
    slot.unread_tokens =
        internal::SaturatingSubtract(slot.unread_tokens, work.unread_tokens);
    slot.held_tokens =
        internal::SaturatingSubtract(slot.held_tokens, work.held_tokens);
  });
  internal::ForEachService(message, [&sum](auto key, const auto& work) {
    auto& slot = sum.services[key];
    slot.short_work = std::max(0.0, slot.short_work - work.short_work);
    slot.long_work = std::max(0.0, slot.long_work - work.long_work);
  });
}

wire::work Encode(const work_table& table) {
  wire::work out;
  for (const auto& [key, work] : table.upstreams) {
    if (work.running == 0 && work.held_tokens == 0) {
      continue;
    }
    out.add_upstream(key);
    out.add_running(work.running);
    out.add_unread(internal::ToUnits(work.unread_tokens));
    out.add_held(internal::ToUnits(work.held_tokens));
  }
  for (const auto& [key, work] : table.services) {
    out.add_service(key);
    out.add_short_work(static_cast<float>(work.short_work));
    out.add_long_work(static_cast<float>(work.long_work));
  }
  return out;
}

}  // namespace mimosadeck::fleet
