#include "net/receive_budget.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace mimosadeck::net {

struct receive_budget::impl {
  receive_options options;
  mutable std::mutex mutex;
  receive_memory memory;
  std::map<receive_id, std::function<void()>> cuts;

  /** @brief Applies Hold() and cuts other requests. @return False if this
   * request must be cut. */
  bool Hold(receive_id id, std::uint64_t bytes) {
    std::vector<std::function<void()>> to_call;
    bool is_kept = true;
    {
      const std::lock_guard lock(mutex);
      for (const auto victim :
           net::Hold(memory, options, id, bytes, SuspendAwareNow())) {
        is_kept = is_kept && victim != id;
        auto found = cuts.extract(victim);
        if (victim != id && !found.empty()) {
          to_call.push_back(std::move(found.mapped()));
        }
      }
    }
    for (const auto& cut : to_call) {
      cut();
    }
    return is_kept;
  }
};

receive_budget::receive_budget(receive_options options)
    : impl_(std::make_shared<impl>()) {
  impl_->options = options;
}

receive_budget::~receive_budget() = default;

std::uint64_t receive_budget::UsedBytes() const {
  const std::lock_guard lock(impl_->mutex);
  return impl_->memory.used;
}

struct receive_claim::impl {
  std::shared_ptr<receive_budget::impl> budget;
  std::string owner;
  std::function<void()> cut;
  /** Unset while the request is within its reserve. */
  std::optional<receive_id> id;
};

receive_claim::receive_claim(const receive_budget* budget,
                             std::string owner,
                             std::function<void()> cut)
    : impl_(std::make_unique<impl>()) {
  if (budget) {
    impl_->budget = budget->impl_;
  }
  impl_->owner = std::move(owner);
  impl_->cut = std::move(cut);
}

receive_claim::~receive_claim() {
  if (impl_->id) {
    const std::lock_guard lock(impl_->budget->mutex);
    End(impl_->budget->memory, *impl_->id);
    impl_->budget->cuts.erase(*impl_->id);
  }
}

void receive_claim::SetOwner(std::string owner) {
  if (impl_->id) {
    const std::lock_guard lock(impl_->budget->mutex);
    net::SetOwner(impl_->budget->memory, *impl_->id, owner);
  }
  impl_->owner = std::move(owner);
}

bool receive_claim::Hold(std::uint64_t bytes) {
  if (!impl_->budget ||
      (!impl_->id && bytes <= impl_->budget->options.reserve_bytes)) {
    return true;
  }
  if (!impl_->id) {
    const std::lock_guard lock(impl_->budget->mutex);
    impl_->id = Begin(impl_->budget->memory, impl_->owner, SuspendAwareNow());
    impl_->budget->cuts[*impl_->id] = impl_->cut;
  }
  return impl_->budget->Hold(*impl_->id, bytes);
}

void receive_claim::SetWhole(std::uint64_t bytes) {
  if (impl_->id) {
    const std::lock_guard lock(impl_->budget->mutex);
    net::SetWhole(impl_->budget->memory, *impl_->id, bytes);
  }
}

}  // namespace mimosadeck::net
