#include "forwarding/response_memory.h"

#include <utility>

namespace mimosadeck::forwarding {

struct held_bytes::impl {
  std::shared_ptr<response_memory> memory;
  std::uint64_t bytes{};

  explicit impl(std::shared_ptr<response_memory> total)
      : memory(std::move(total)) {}
  ~impl() { memory->used -= bytes; }
  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;
};

held_bytes::held_bytes(std::shared_ptr<response_memory> memory)
    : impl_(std::make_unique<impl>(std::move(memory))) {}

held_bytes::~held_bytes() = default;
held_bytes::held_bytes(held_bytes&& other) noexcept = default;
held_bytes& held_bytes::operator=(held_bytes&& other) noexcept = default;

void held_bytes::Set(std::uint64_t bytes) {
  impl_->memory->used += bytes - impl_->bytes;
  impl_->bytes = bytes;
}

bool held_bytes::IsWithinLimit() const {
  return impl_->bytes <= kReservedResponseBytes ||
         impl_->memory->used <= impl_->memory->limit;
}

}  // namespace mimosadeck::forwarding
