#ifndef BASE_TURNS_H_
#define BASE_TURNS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace mimosadeck {

/**
 * @brief Keeps as many items as fit into one message, others in each round, so
 * that over the rounds none is left out.
 * @param round Counts the messages.
 */
template <typename T>
[[nodiscard]] std::vector<T> TakeTurn(std::vector<T> items,
                                      std::size_t most,
                                      std::uint64_t round) {
  if (items.size() <= most) {
    return items;
  }
  const auto first = static_cast<std::ptrdiff_t>(round * most % items.size());
  std::rotate(items.begin(), items.begin() + first, items.end());
  items.resize(most);
  return items;
}

}  // namespace mimosadeck

#endif  // BASE_TURNS_H_
