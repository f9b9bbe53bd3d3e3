#ifndef ORDERS_ORDERS_H_
#define ORDERS_ORDERS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/time.h"
#include "infra/infra.h"

namespace mimosadeck::orders {

/** @brief Settings of one data centre's orders. */
struct options {
  std::chrono::milliseconds retry_interval{500};
  /** Time that an accepted order gets before it shows in the VM list. */
  std::chrono::milliseconds settle_time{10000};
  std::uint32_t intents_per_scan{200};
};

/** @brief Upstreams wanted and running of one kind in one pool. */
struct pool_count {
  std::uint32_t wanted{};
  std::uint32_t running{};
};

/** @brief Names one kind of upstream: the pool and whether it is cheaper. */
struct kind_key {
  std::string pool;
  bool cheaper{};

  friend bool operator<(const kind_key& a, const kind_key& b) {
    return a.pool != b.pool ? a.pool < b.pool : a.cheaper < b.cheaper;
  }
};

/** @brief What the holder of a data centre's lease sees. */
using upstream_counts = std::map<kind_key, pool_count>;

/** @brief Steps of one round of orders. */
enum class phase {
  idle,
  scanning,
  intending,
  ordering,
  finishing,
};

/**
 * @brief Orders for one data centre, made by the holder of its lease.
 *
 * Every order is written as an intent under the lease row's condition before
 * it is sent, and struck out after. A successor repeats the intents it finds,
 * under the same order ids, before it makes orders of its own.
 */
struct order_state {
  std::string data_centre;
  phase step{phase::idle};
  bool scanned{};
  std::uint64_t fencing{};
  std::uint64_t next_number{};
  std::vector<infra::place_order> open;
  std::optional<infra::place_order> current;
  bool current_is_written{};
  std::map<kind_key, mono_time> settled_until;
  mono_time next_action;
  mono_time quiet_until;
};

/** @brief An order may be sent only while the lease is held: check now. */
struct send_order {
  infra::place_order order;
};

/** @brief The next request of a round; nothing if there is none now. */
using action = std::variant<std::monostate, infra::request, send_order>;

/**
 * @brief Starts over under a new holding of the lease.
 *
 * A successor makes no orders of its own until its predecessor's had time to
 * show in the VM list.
 */
void BeginTerm(order_state& state,
               const options& settings,
               std::uint64_t fencing,
               mono_time now);

/**
 * @brief Takes note of time while the lease is held.
 * @param lease Condition on the lease row.
 * @param seen Upstreams wanted and running.
 */
[[nodiscard]] action Tick(order_state& state,
                          const options& settings,
                          const infra::condition& lease,
                          const upstream_counts& seen,
                          mono_time now);

/** @brief Takes the reply to the last request. */
[[nodiscard]] action OnReply(order_state& state,
                             const options& settings,
                             const infra::reply& reply,
                             const infra::condition& lease,
                             mono_time now);

/** @brief Takes note that an order was not sent, as the lease had lapsed. */
void OnOrderNotSent(order_state& state);

/** @brief Writes an order as JSON, for its intent row. */
[[nodiscard]] std::string EncodeIntent(const infra::place_order& value);

/** @brief Reads an intent; nothing if the text is not one. */
[[nodiscard]] std::optional<infra::place_order> DecodeIntent(
    std::string_view text);

/** @brief Returns the prefix of a data centre's intent rows. */
[[nodiscard]] std::string IntentPrefix(std::string_view data_centre);

}  // namespace mimosadeck::orders

#endif  // ORDERS_ORDERS_H_
