#include "ownership/ownership.h"

#include <algorithm>
#include <cstdint>
#include <set>

#include "base/digest.h"

namespace mimosadeck::ownership {
namespace internal {
namespace {

struct scored_candidate {
  std::uint64_t score{};
  const candidate* source{};
};

std::vector<scored_candidate> ScoreAll(std::string_view work,
                                       std::span<const candidate> candidates) {
  const std::uint64_t seed = Hash64(work);
  std::vector<scored_candidate> out;
  out.reserve(candidates.size());
  for (const auto& item : candidates) {
    out.push_back({Hash64(item.id, seed), &item});
  }
  return out;
}

bool RanksBefore(const scored_candidate& a, const scored_candidate& b) {
  return a.score != b.score ? a.score > b.score : a.source->id < b.source->id;
}

}  // namespace
}  // namespace internal

std::vector<std::string> Rank(std::string_view work,
                              std::span<const candidate> candidates,
                              std::size_t count) {
  auto all = internal::ScoreAll(work, candidates);
  const auto result_size = std::min(count, all.size());
  std::partial_sort(all.begin(),
                    all.begin() + static_cast<std::ptrdiff_t>(result_size),
                    all.end(), internal::RanksBefore);
  std::vector<std::string> out;
  for (std::size_t i = 0; i < result_size; ++i) {
    out.push_back(all[i].source->id);
  }
  return out;
}

std::string OwnerNear(std::string_view work,
                      std::string_view data_centre,
                      std::span<const candidate> candidates) {
  const auto all = internal::ScoreAll(work, candidates);
  const auto best = std::min_element(
      all.begin(), all.end(), [&](const auto& a, const auto& b) {
        const bool is_a_near = a.source->data_centre == data_centre;
        const bool is_b_near = b.source->data_centre == data_centre;
        return is_a_near != is_b_near ? is_a_near : internal::RanksBefore(a, b);
      });
  return best == all.end() ? std::string{} : best->source->id;
}

std::vector<std::string> ChooseReplicaHolders(
    std::string_view work,
    std::string_view owner,
    std::span<const candidate> candidates,
    std::size_t count) {
  auto all = internal::ScoreAll(work, candidates);
  std::sort(all.begin(), all.end(), internal::RanksBefore);
  std::set<std::string_view> used_data_centres;
  for (const auto& item : all) {
    if (item.source->id == owner) {
      used_data_centres.insert(item.source->data_centre);
    }
  }
  std::vector<std::string> out;
  std::vector<std::string> fallback;
  for (const auto& item : all) {
    if (item.source->id == owner) {
      continue;
    }
    if (used_data_centres.insert(item.source->data_centre).second) {
      out.push_back(item.source->id);
    } else {
      fallback.push_back(item.source->id);
    }
  }
  out.insert(out.end(), fallback.begin(), fallback.end());
  out.resize(std::min(out.size(), count));
  return out;
}

}  // namespace mimosadeck::ownership
