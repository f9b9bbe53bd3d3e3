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

/** @brief Number of urgencies that an engine tells apart, less one. */
inline constexpr int kLeastUrgent = 9;

/** @brief What may be repeated, and how the answer arrives. */
enum class request_kind {
  /** May run any number of times. */
  idempotent,
  /** Runs at most once for each attempt of the caller. */
  non_idempotent,
  /** A stream of events; at most once unless the route is resumable. */
  stream,
};

/** @brief One of the services that share the requests of a route. */
struct weighted_service {
  std::string service;
  double weight{1};
};

/** @brief Where requests of one host and path prefix go, and their targets. */
struct route {
  std::string name;
  std::string host;
  /** Begins and ends with a slash. */
  std::string prefix;
  request_kind kind{request_kind::non_idempotent};
  /** A stream that broke off may go on at another upstream. */
  bool resumable{};
  /** Longest time that a caller is kept waiting for the whole answer. */
  std::chrono::milliseconds timeout{};
  /** Time to the answer, or to a stream's first event, that is on time. */
  std::chrono::milliseconds goal{};
  /** Longest pause between a stream's events that is on time. */
  std::optional<std::chrono::milliseconds> pause_goal;
  /** Urgency; 0 is the most urgent. */
  int priority{};
  /** Most upstreams that may run one attempt of the caller. */
  int max_attempts{1};
  /** Needs no key. */
  bool open{};
  /** The requests carry a prompt whose parts upstreams cache. */
  bool caches_prompts{};
  std::vector<weighted_service> services;
};

/** @brief Published size of a model engine. */
struct engine_size {
  std::uint32_t slots{};
  std::uint64_t cache_tokens{};
  std::uint32_t tokens_per_event{1};
};

/** @brief Bounds of the number of upstreams in each data centre. */
struct scaling_bounds {
  std::uint32_t min_upstreams{};
  std::uint32_t max_upstreams{};
  std::chrono::milliseconds boot_time{};
  /** Price of an evictable upstream as a part of the full one. */
  double evictable_price{1};
  std::map<std::string, double> price_by_data_centre;
};

/** @brief A group of equal upstreams. */
struct service {
  std::string name;
  std::uint32_t max_connections{};
  std::optional<engine_size> engine;
  std::optional<scaling_bounds> scaling;
};

/** @brief A client account and its keys. */
struct client_account {
  std::string name;
  std::vector<std::string> keys;
  /** Compared before the urgency of the routes; 0 is the most urgent. */
  std::optional<int> priority;
};

/** @brief What a caller may send, and how long it may take. */
struct caller_limits {
  std::uint32_t header_bytes{16384};
  std::uint64_t body_bytes{4194304};
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

/** @brief One version of everything the operators set. */
struct manifest {
  std::uint64_t version{};
  std::vector<route> routes;
  std::vector<service> services;
  /** Absent where no request needs a key. */
  std::optional<std::vector<client_account>> accounts;
  caller_limits limits;
};

/**
 * @brief Immutable index over one manifest; one snapshot serves a request from
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

  /** @brief Tells whether requests of closed routes need a key. */
  [[nodiscard]] bool NeedsKeys() const;

  /** @brief Finds the client account that holds a key, or null. */
  [[nodiscard]] const client_account* AccountOf(std::string_view key) const;

  /**
   * @brief Returns the place of a request among all kinds of requests.
   *
   * Accounts are compared first and routes next. Requests without an account
   * stand beside the least urgent account.
   *
   * @param account Null on open routes.
   * @return 0 for the most urgent, up to `kLeastUrgent`.
   */
  [[nodiscard]] int UrgencyOf(const route& of,
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
[[nodiscard]] std::string_view PickService(const route& from,
                                           std::string_view request_id);

}  // namespace mimosadeck::routing

#endif  // ROUTING_ROUTING_H_
