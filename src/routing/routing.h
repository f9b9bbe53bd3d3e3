#ifndef ROUTING_ROUTING_H_
#define ROUTING_ROUTING_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "routing/fwd.h"

namespace mimosadeck::routing {

/** @brief Least urgent level that engines distinguish; 0 is the most urgent. */
inline constexpr int kLeastUrgent = 9;

/** @brief Whether a request may be repeated, and how its answer arrives. */
enum class request_kind {
  /** May run any number of times. */
  idempotent,
  /** Runs at most once per attempt of the caller. */
  non_idempotent,
  /** Answered by a stream of events; runs at most once unless the route is
   * resumable. */
  stream,
};

/** @brief One of the services that share the requests of a route. */
struct weighted_service {
  std::string service;
  /** Share of the requests, relative to the sum of all weights. */
  double weight{1};
};

/** @brief Services, kind and latency targets of the requests with one host and
 * path prefix. */
struct route {
  std::string name;
  std::string host;
  /** Begins and ends with a slash. */
  std::string prefix;
  request_kind kind{request_kind::non_idempotent};
  /** A stream that broke off may be resumed at another upstream. */
  bool resumable{};
  /** Time limit for the complete answer. */
  std::chrono::milliseconds timeout{};
  /** Target for the time to the answer, or to the first event of a stream. */
  std::chrono::milliseconds goal{};
  /** Target for the time between the events of a stream. */
  std::optional<std::chrono::milliseconds> pause_goal;
  /** Urgency; 0 is the most urgent. */
  int priority{};
  /** Maximum number of upstreams that may run one attempt of the caller. */
  int max_attempts{1};
  /** Requests need no key. */
  bool open{};
  /** Requests carry a prompt, whose prefixes upstreams cache. */
  bool caches_prompts{};
  std::vector<weighted_service> services;
};

/** @brief Published capacity of a model engine. */
struct engine_size {
  /** Requests that run at the same time. */
  std::uint32_t slots{};
  /** Capacity of the KV cache in tokens. */
  std::uint64_t cache_tokens{};
  std::uint32_t tokens_per_event{1};
};

/** @brief Limits on the number of upstreams in each data centre. */
struct scaling_bounds {
  std::uint32_t min_upstreams{};
  std::uint32_t max_upstreams{};
  /** Time until a new upstream is ready. */
  std::chrono::milliseconds boot_time{};
  /** Price of an evictable upstream relative to a lasting one. */
  double evictable_price{1};
  std::map<std::string, double> price_by_data_centre;
};

/** @brief A group of interchangeable upstreams. */
struct service {
  std::string name;
  std::uint32_t max_connections{};
  /** Unset if the upstreams are not model engines. */
  std::optional<engine_size> engine;
  std::optional<scaling_bounds> scaling;
  /** Requests per second that an upstream bears while it is cold; unset if it
   * bears any rate. */
  std::optional<double> cold_requests_per_second;
};

/** @brief A client account and its keys. */
struct client_account {
  std::string name;
  std::vector<std::string> keys;
  /** Takes precedence over the urgency of routes; 0 is the most urgent. */
  std::optional<int> priority;
};

/** @brief Limits on the requests of a caller and on the time to send them. */
struct caller_limits {
  std::uint32_t header_bytes{16384};
  std::uint64_t body_bytes{4194304};
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

/** @brief One version of the operators' configuration. */
struct manifest {
  std::uint64_t version{};
  std::vector<route> routes;
  std::vector<service> services;
  /** Unset if no request needs a key. */
  std::optional<std::vector<client_account>> accounts;
  caller_limits limits;
};

/**
 * @brief Immutable index over one manifest. A request uses the same table from
 * its start to its end.
 */
class table {
 public:
  explicit table(manifest content);
  ~table();
  table(const table&) = delete;
  table& operator=(const table&) = delete;

  [[nodiscard]] std::uint64_t Version() const;
  [[nodiscard]] const caller_limits& Limits() const;

  /**
   * @brief Finds the route with the longest prefix of a path.
   * @param host Host field; letter case and a port are ignored.
   * @param target Request target; a query is ignored.
   * @return The route, or null.
   */
  [[nodiscard]] const route* Match(std::string_view host,
                                   std::string_view target) const;

  /** @brief Returns true if requests of routes that are not open need a key. */
  [[nodiscard]] bool NeedsKeys() const;

  /** @brief Finds the client account that holds a key, or null. */
  [[nodiscard]] const client_account* AccountOf(std::string_view key) const;

  /**
   * @brief Returns the urgency level of a request.
   *
   * Accounts are compared first and routes next. Requests without an account
   * rank with the least urgent account.
   *
   * @param account Null on open routes.
   * @return 0 for the most urgent, up to `kLeastUrgent`.
   */
  [[nodiscard]] int UrgencyOf(const route& route,
                              const client_account* account) const;

  /** @brief Finds a service by name, or null. */
  [[nodiscard]] const service* FindService(std::string_view name) const;

  [[nodiscard]] const std::vector<service>& Services() const;

  /** @brief Returns the shortest pause goal of a service's streams. */
  [[nodiscard]] std::optional<std::chrono::milliseconds> TightestPauseGoal(
      std::string_view service) const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

/**
 * @brief Picks one of a route's services by weight.
 * @param request_id Equal ids pick the same service.
 * @return The service's name; empty if the route has none.
 */
[[nodiscard]] std::string_view PickService(const route& route,
                                           std::string_view request_id);

}  // namespace mimosadeck::routing

#endif  // ROUTING_ROUTING_H_
