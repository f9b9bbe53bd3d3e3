#include "ownership/ownership.h"

#include <algorithm>
#include <cstdint>
#include <set>

#include "base/digest.h"

namespace mimosadeck::ownership {
namespace internal {
namespace {

struct scored {
  std::uint64_t score{};
  const candidate* who{};
};

std::vector<scored> ScoreAll(std::string_view work,
                             std::span<const candidate> candidates) {
  const std::uint64_t seed = Hash64(work);
  std::vector<scored> out;
  out.reserve(candidates.size());
  for (const auto& item : candidates) {
    out.push_back({Hash64(item.id, seed), &item});
  }
  return out;
}

bool Better(const scored& a, const scored& b) {
  return a.score != b.score ? a.score > b.score : a.who->id < b.who->id;
}

}  // namespace
}  // namespace internal

std::vector<std::string> Rank(std::string_view work,
                              std::span<const candidate> candidates,
                              std::size_t count) {
  auto all = internal::ScoreAll(work, candidates);
  const auto wanted = std::min(count, all.size());
  std::partial_sort(all.begin(),
                    all.begin() + static_cast<std::ptrdiff_t>(wanted),
                    all.end(), internal::Better);
  std::vector<std::string> out;
  for (std::size_t i = 0; i < wanted; ++i) {
    out.push_back(all[i].who->id);
  }
  return out;
}

std::string OwnerNear(std::string_view work,
                      std::string_view data_centre,
                      std::span<const candidate> candidates) {
  const auto all = internal::ScoreAll(work, candidates);
  const auto best = std::min_element(
      all.begin(), all.end(), [&](const auto& a, const auto& b) {
        const bool a_near = a.who->data_centre == data_centre;
        const bool b_near = b.who->data_centre == data_centre;
        return a_near != b_near ? a_near : internal::Better(a, b);
      });
  return best == all.end() ? std::string{} : best->who->id;
}

std::vector<std::string> ChooseReplicaHolders(
    std::string_view work,
    std::string_view owner,
    std::span<const candidate> candidates,
    std::size_t count) {
  auto all = internal::ScoreAll(work, candidates);
  std::sort(all.begin(), all.end(), internal::Better);
  std::set<std::string_view> used;
  for (const auto& item : all) {
    if (item.who->id == owner) {
      used.insert(item.who->data_centre);
    }
  }
  std::vector<std::string> out;
  std::vector<std::string> spare;
  for (const auto& item : all) {
    if (item.who->id == owner) {
      continue;
    }
    if (used.insert(item.who->data_centre).second) {
      out.push_back(item.who->id);
    } else {
      spare.push_back(item.who->id);
    }
  }
  out.insert(out.end(), spare.begin(), spare.end());
  out.resize(std::min(out.size(), count));
  return out;
}

}  // namespace mimosadeck::ownership
