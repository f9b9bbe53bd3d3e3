#ifndef OWNERSHIP_OWNERSHIP_H_
#define OWNERSHIP_OWNERSHIP_H_

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mimosadeck::ownership {

/** @brief A process that can own work. */
struct candidate {
  std::string id;
  std::string data_centre;
};

/**
 * @brief Orders candidates for one piece of work by rendezvous hashing.
 *
 * Every process that knows the same candidates finds the same order, and a
 * candidate that leaves moves only the work it owned.
 *
 * @param work Name of the work.
 * @param candidates Candidates in any order.
 * @param count Number of candidates to return at most.
 * @return Best candidates first.
 */
[[nodiscard]] std::vector<std::string> Rank(
    std::string_view work,
    std::span<const candidate> candidates,
    std::size_t count);

/**
 * @brief Chooses the owner of work that belongs near a data centre.
 * @param work Name of the work.
 * @param data_centre Candidates there go before all others.
 * @param candidates Candidates in any order.
 * @return The owner, or an empty text without candidates.
 */
[[nodiscard]] std::string OwnerNear(std::string_view work,
                                    std::string_view data_centre,
                                    std::span<const candidate> candidates);

/**
 * @brief Chooses holders of copies, each in another data centre if possible.
 * @param work Name of the work.
 * @param owner Owner, which is never chosen; its data centre is avoided.
 * @param candidates Candidates in any order, the owner among them.
 * @param count Number of holders to choose at most.
 * @return Ids of the holders.
 */
[[nodiscard]] std::vector<std::string> ChooseReplicaHolders(
    std::string_view work,
    std::string_view owner,
    std::span<const candidate> candidates,
    std::size_t count);

}  // namespace mimosadeck::ownership

#endif  // OWNERSHIP_OWNERSHIP_H_
