#ifndef NET_RECEIVE_MEMORY_H_
#define NET_RECEIVE_MEMORY_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace mimosadeck::net {

/** @brief Limits of the memory for requests. */
struct receive_options {
  /** Bytes that the requests of all callers may hold together. */
  std::uint64_t limit_bytes{std::uint64_t{64} << 20U};
  /** Bytes that each request may hold although the limit is reached, so that
   * ordinary requests get in. They are not counted. */
  std::uint64_t reserve_bytes{std::uint64_t{16} << 10U};
};

/** @brief Number of a request in a receive_memory. */
using receive_id = std::uint64_t;

/** @brief A request that holds more than its reserve. */
struct received {
  /** Client account or, while it is not known, address of the caller. */
  std::string owner;
  std::uint64_t bytes{};
  /** When its last bytes arrived. */
  mono_time progressed_at;
  /** It was received completely, and is being answered. */
  bool is_whole{};
};

/** @brief The requests that hold more than their reserve. */
struct receive_memory {
  std::map<receive_id, received> by_id;
  /** Bytes of the requests of each owner. */
  std::map<std::string, std::uint64_t, std::less<>> by_owner;
  std::uint64_t used{};
  receive_id last_id{};
};

/** @brief Adds a request that holds nothing yet. */
[[nodiscard]] receive_id Begin(receive_memory& state,
                               std::string owner,
                               mono_time now);

/** @brief Changes the owner of a request, once its account is known. */
void SetOwner(receive_memory& state, receive_id id, std::string owner);

/**
 * @brief Sets the bytes that a request holds.
 *
 * While the limit is exceeded, requests are cut: of the owner that holds most,
 * the one with the greatest product of its bytes and the time since they last
 * grew. A request that was received completely is never cut.
 *
 * @return Requests to cut, which are removed; may include this one.
 */
[[nodiscard]] std::vector<receive_id> Hold(receive_memory& state,
                                           const receive_options& settings,
                                           receive_id id,
                                           std::uint64_t bytes,
                                           mono_time now);

/**
 * @brief Marks a request as received completely.
 * @param bytes Bytes that it holds while it is answered.
 */
void SetWhole(receive_memory& state, receive_id id, std::uint64_t bytes);

/** @brief Removes a request. */
void End(receive_memory& state, receive_id id);

}  // namespace mimosadeck::net

#endif  // NET_RECEIVE_MEMORY_H_
