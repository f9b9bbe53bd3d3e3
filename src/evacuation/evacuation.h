#ifndef EVACUATION_EVACUATION_H_
#define EVACUATION_EVACUATION_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "evacuation/fwd.h"
#include "registry/store_version.h"

namespace mimosadeck::evacuation {

/** @brief Settings of the table. */
struct options {
  /** Time after the store's return from an older copy within which the
   * operators write again what the copy lacks. */
  std::chrono::milliseconds rewrite_time{2200};
  /** Data centres of which a record is kept. Bounds the memory, since any name
   * may be evacuated. */
  std::size_t max_records{64};
};

/** @brief Whether a data centre is evacuated, as of one version of the store.
 */
struct record {
  registry::store_version version{};
  bool active{};
  /** Set if the store returned from a copy that lacks the evacuation: it ends
   * at this time unless it is written again. */
  std::optional<mono_time> ends_at;
  /** Version at which it then ended. */
  registry::store_version ended_version{};
};

/**
 * @brief The evacuations that operators requested, by data centre.
 *
 * No new work is sent to the upstreams of an evacuated data centre. Of two
 * statements about a data centre the one with the higher version of the store
 * holds, so that they may arrive late, twice and in any order. Ended
 * evacuations are remembered; otherwise a late statement would begin them
 * again.
 */
struct evacuation_table {
  std::map<std::string, record, std::less<>> by_data_centre;
  /** The latest listing of the store, which begins an era if it is of a later
   * one. */
  registry::store_version listed_at{};
};

/** @brief A statement about one data centre. */
struct statement {
  std::string data_centre;
  registry::store_version version{};
  bool active{};
};

/**
 * @brief Applies a change of the store, or a statement of another entry.
 * @return True if it began or ended an evacuation.
 */
bool Apply(evacuation_table& state,
           const options& settings,
           const statement& received);

/**
 * @brief Applies a complete listing of the store. An evacuation that it lacks
 * has ended, at once or, in the first listing of a new era, after
 * options::rewrite_time.
 * @param version Version of the store at which the listing was read.
 * @return Data centres whose evacuation began or ended.
 */
std::vector<std::string> ApplyListing(evacuation_table& state,
                                      const options& settings,
                                      const std::vector<statement>& listing,
                                      registry::store_version version,
                                      mono_time now);

/** @brief Ends the evacuations that were not written again in time.
 * @return Their data centres. */
std::vector<std::string> Tick(evacuation_table& state, mono_time now);

/** @brief Returns true if no new work may be sent to a data centre. */
[[nodiscard]] bool IsEvacuated(const evacuation_table& state,
                               std::string_view data_centre);

/** @brief Returns the evacuated data centres. */
[[nodiscard]] std::vector<std::string> Evacuated(const evacuation_table& state);

/** @brief Returns what other entries have to be told. */
[[nodiscard]] std::vector<statement> Statements(const evacuation_table& state);

}  // namespace mimosadeck::evacuation

#endif  // EVACUATION_EVACUATION_H_
