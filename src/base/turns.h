#ifndef BASE_TURNS_H_
#define BASE_TURNS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace mimosadeck {

/**
 * @brief Selects the items of one message in round-robin order, so that
 * successive rounds cover all items.
 * @param max_items Number of items that fit into one message.
 * @param round Number of the message.
 * @return All items if they fit, else `max_items` of them.
 */
template <typename T>
[[nodiscard]] std::vector<T> SelectRoundRobin(std::vector<T> items,
                                              std::size_t max_items,
                                              std::uint64_t round) {
  if (items.size() <= max_items) {
    return items;
  }
  const auto first =
      static_cast<std::ptrdiff_t>(round * max_items % items.size());
  std::rotate(items.begin(), items.begin() + first, items.end());
  items.resize(max_items);
  return items;
}

}  // namespace mimosadeck

#endif  // BASE_TURNS_H_
