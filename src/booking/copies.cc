#include "booking/copies.h"

#include <algorithm>

namespace mimosadeck::booking {

bool OnCopy(copy_store& state,
            std::uint32_t shard,
            std::uint64_t epoch,
            const std::vector<record>& records,
            const std::vector<std::string>& saved) {
  auto& copies = state.shards[shard];
  if (epoch < copies.min_epoch) {
    return false;
  }
  if (epoch > copies.epoch) {
    copies.records.clear();
    copies.epoch = epoch;
  }
  copies.min_epoch = epoch;
  for (const auto& key : saved) {
    copies.records.erase(key);
  }
  for (const auto& item : records) {
    copies.records[item.key] = item;
  }
  return true;
}

std::vector<record> OnFetch(copy_store& state,
                            std::uint32_t shard,
                            std::uint64_t former_epoch,
                            std::uint64_t epoch) {
  auto& copies = state.shards[shard];
  copies.min_epoch = std::max(copies.min_epoch, epoch);
  std::vector<record> out;
  if (copies.epoch != former_epoch) {
    return out;
  }
  for (const auto& [unused, item] : copies.records) {
    out.push_back(item);
  }
  return out;
}

}  // namespace mimosadeck::booking
