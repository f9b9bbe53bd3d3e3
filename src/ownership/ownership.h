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
 * @brief Ranks candidates for a work item by rendezvous hashing.
 *
 * Every process with the same candidates computes the same order, and the
 * removal of a candidate moves only the work that it owned.
 *
 * @param work Name of the work item.
 * @param candidates Candidates in any order.
 * @param count Maximum number of candidates to return.
 * @return Ids of the candidates, the highest ranked first.
 */
[[nodiscard]] std::vector<std::string> Rank(
    std::string_view work,
    std::span<const candidate> candidates,
    std::size_t count);

/**
 * @brief Chooses the owner of a work item, preferably in a given data centre.
 * @param work Name of the work item.
 * @param data_centre Candidates in this data centre rank before all others.
 * @param candidates Candidates in any order.
 * @return Id of the owner; empty if there are no candidates.
 */
[[nodiscard]] std::string OwnerNear(std::string_view work,
                                    std::string_view data_centre,
                                    std::span<const candidate> candidates);

/**
 * @brief Chooses the holders of copies of a work item's data, each in a
 * different data centre if possible.
 * @param work Name of the work item.
 * @param owner Id of the owner, which is never chosen; its data centre is
 * avoided if possible.
 * @param candidates Candidates in any order, including the owner.
 * @param count Maximum number of holders to choose.
 * @return Ids of the holders.
 */
[[nodiscard]] std::vector<std::string> ChooseReplicaHolders(
    std::string_view work,
    std::string_view owner,
    std::span<const candidate> candidates,
    std::size_t count);

}  // namespace mimosadeck::ownership

#endif  // OWNERSHIP_OWNERSHIP_H_
