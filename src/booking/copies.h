#ifndef BOOKING_COPIES_H_
#define BOOKING_COPIES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "booking/record.h"

namespace mimosadeck::booking {

/** @brief Copies of those records of one shard that may not be saved yet. */
struct shard_copies {
  /** Copies from owners of lower epochs are refused. */
  std::uint64_t min_epoch{};
  /** Epoch of the owner that sent the records. */
  std::uint64_t epoch{};
  /** Records by record key. */
  std::map<std::string, record> records;
};

/** @brief Copies that one entry holds for shard owners, by shard number. */
struct copy_store {
  std::map<std::uint32_t, shard_copies> shards;
};

/**
 * @brief Stores copies received from the owner of a shard.
 * @param epoch Epoch of the sender. An epoch above that of the held copies
 * discards them: the takeover has already collected those records.
 * @param records Records to hold.
 * @param saved Keys of records that the store now holds; their copies are
 * removed.
 * @return False if a later epoch has been seen: the sender has been superseded
 * and must not act on these records.
 */
[[nodiscard]] bool OnCopy(copy_store& state,
                          std::uint32_t shard,
                          std::uint64_t epoch,
                          const std::vector<record>& records,
                          const std::vector<std::string>& saved);

/**
 * @brief Returns the copies of a former epoch to the owner of a later one.
 *
 * Copies of epochs before `epoch` are refused from then on. A claim that is not
 * in the store is granted only after every holder has acknowledged it, so the
 * reply of one holder covers all such claims of the former epoch, even if it
 * holds no records.
 *
 * @param former_epoch Epoch whose records are requested.
 * @param epoch Epoch of the requesting owner.
 * @return The records held for the former epoch.
 */
[[nodiscard]] std::vector<record> OnFetch(copy_store& state,
                                          std::uint32_t shard,
                                          std::uint64_t former_epoch,
                                          std::uint64_t epoch);

}  // namespace mimosadeck::booking

#endif  // BOOKING_COPIES_H_
