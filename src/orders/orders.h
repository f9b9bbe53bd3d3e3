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

/** @brief Settings of the orders of one data centre. */
struct options {
  /** Pause after a failed request, and between orders. */
  std::chrono::milliseconds retry_interval{500};
  /**
   * Time after an order was answered in which its pool gets no other, as the VM
   * list may not show the effect yet.
   */
  std::chrono::milliseconds settle_time{10000};
  std::uint32_t intents_per_scan{200};
};

/** @brief Number of upstreams wanted and running of one kind. */
struct pool_count {
  std::uint32_t wanted{};
  std::uint32_t running{};
};

/** @brief Kind of upstream: its pool, and whether it is a cheaper one. */
struct upstream_kind {
  std::string pool;
  bool cheaper{};

  friend bool operator<(const upstream_kind& a, const upstream_kind& b) {
    return a.pool != b.pool ? a.pool < b.pool : a.cheaper < b.cheaper;
  }
};

/** @brief Upstreams wanted and running in one data centre, by kind. */
using upstream_counts = std::map<upstream_kind, pool_count>;

/** @brief Request whose reply is awaited; idle if there is none. */
enum class phase {
  idle,
  scanning_intents,
  writing_intent,
  sending_order,
  deleting_intent,
};

/**
 * @brief State of the orders that the lease holder of a data centre places.
 *
 * Every order is written to the store as an intent, on condition of the lease
 * row, before it is sent; the intent is deleted once the order is answered. A
 * new holder repeats the intents that it finds, with the same order ids, before
 * it places orders of its own.
 */
struct order_state {
  std::string data_centre;
  phase step{phase::idle};
  bool intents_scanned{};
  /** Fencing number of the lease in this term. */
  std::uint64_t fencing{};
  std::uint64_t last_order_number{};
  /** Orders whose intents were found in the store and must be repeated. */
  std::vector<infra::place_order> open_orders;
  std::optional<infra::place_order> current;
  /** The intent of `current` is in the store. */
  bool intent_written{};
  /** End of the settle time by kind; see options. */
  std::map<upstream_kind, mono_time> settling_until;
  mono_time next_action_at;
  /** Set at the start of a term that follows that of another holder. */
  mono_time no_new_orders_before;
};

/**
 * @brief The order to send next.
 *
 * The caller must check, right before it sends, that it still holds the lease,
 * and call OnOrderNotSent otherwise.
 */
struct send_order {
  infra::place_order order;
};

/** @brief Next request or order; monostate if there is none now. */
using action = std::variant<std::monostate, infra::request, send_order>;

/**
 * @brief Resets the state when the lease has been acquired.
 *
 * A successor places no orders of its own until the settle time has passed, so
 * that those of its predecessor appear in the VM list.
 *
 * @param fencing Fencing number of the lease.
 * @param has_predecessor Another holder may have placed orders before.
 */
void BeginTerm(order_state& state,
               const options& settings,
               std::uint64_t fencing,
               bool has_predecessor,
               mono_time now);

/**
 * @brief Starts the next request if one is due; called while holding the lease.
 * @param lease Condition on the lease row.
 * @param upstreams Upstreams wanted and running, by kind.
 */
[[nodiscard]] action Tick(order_state& state,
                          const options& settings,
                          const infra::condition& lease,
                          const upstream_counts& upstreams,
                          mono_time now);

/** @brief Handles the reply to the last request or order. */
[[nodiscard]] action OnReply(order_state& state,
                             const options& settings,
                             const infra::reply& reply,
                             const infra::condition& lease,
                             mono_time now);

/** @brief Records that the order was not sent, as the lease had expired. */
void OnOrderNotSent(order_state& state);

/** @brief Encodes an order as JSON for its intent row. */
[[nodiscard]] std::string EncodeIntent(const infra::place_order& value);

/** @brief Decodes an intent; returns nullopt if the text is invalid. */
[[nodiscard]] std::optional<infra::place_order> DecodeIntent(
    std::string_view text);

/** @brief Returns the key prefix of a data centre's intent rows. */
[[nodiscard]] std::string IntentPrefix(std::string_view data_centre);

}  // namespace mimosadeck::orders

#endif  // ORDERS_ORDERS_H_
