#ifndef APPS_MIMOSADECKD_EDGE_STATE_H_
#define APPS_MIMOSADECKD_EDGE_STATE_H_

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "availability/availability.h"
#include "base/base.h"
#include "evacuation/evacuation.h"
#include "fleet/fleet.h"
#include "forwarding/forwarding.h"
#include "lease/lease.h"
#include "metering/metering.h"
#include "net/net.h"
#include "placement/placement.h"
#include "platform/platform.h"
#include "quarantine/quarantine.h"
#include "rate_limit/rate_limit.h"
#include "registry/registry.h"
#include "retry/retry.h"
#include "revision/revision.h"
#include "routing/routing.h"
#include "telemetry/telemetry.h"

namespace mimosadeck::edge {

namespace asio = boost::asio;

/** Time-to-live of directory answers. */
inline constexpr std::chrono::milliseconds kDirectoryTtl{1000};
/** Callers cache a directory answer for up to three times its TTL. */
inline constexpr int kDirectoryTtlFactor = 3;

/** @brief An attempt that broke off, possibly because its upstream crashed. */
struct broken_attempt {
  std::string request_id;
  /** Fingerprint of the request; see FingerprintOf(). */
  std::string fingerprint;
  std::string service;
  /** Incarnation of the upstream: one run of its process. */
  std::string upstream;
  std::string address;
  /** Description of the failure, for the log. */
  std::string reason;
  /** The connection stayed open, but nothing arrived before the timeout. */
  bool timed_out{};
  /** Prompt parts that may have crashed the upstream; empty if the answer had
   * run on for too long. */
  std::vector<std::string> suspect_parts;
  /** Time for which the answer had been running; unset if it had not begun. */
  std::optional<std::chrono::milliseconds> begun_for;
  mono_time sent_at;
  mono_time ended_at;
};

/** @brief A planned stop of this entry. */
struct planned_stop {
  mono_time began_at;
  /** When requests that are still in progress are cut off. */
  mono_time ends_at;
};

/** @brief State of a caller's request; see work.h. */
struct request_context;

/**
 * @brief State shared by all components of an entry's daemon.
 *
 * It is accessed from one thread only.
 */
struct edge_state {
  edge_state(asio::io_context& io, platform::machine_settings machine);

  asio::io_context& io;
  platform::machine_settings machine;
  telemetry::metrics metrics;
  platform::client platform;
  /** Idle connections to upstreams and other entries, for reuse. */
  net::connection_cache upstream_connections;
  mono_time started_at;
  /** Start time of this process in ms since 1970; identifies this run of the
   * entry. */
  std::uint64_t incarnation{};

  /** Routing table of the current manifest; null before the first one. */
  std::shared_ptr<const routing::table> table;
  /** Texts of the most recently adopted manifests. */
  revision::history manifest_history;
  revision::options manifest_options;

  registry::upstream_set upstreams;
  registry::options registry_options;
  /** When the registry was last confirmed to be complete, by the store or by a
   * copy from another entry; unset before the first time. */
  std::optional<mono_time> registry_synced_at;
  /** What this entry has read from the store itself. */
  fleet::feed_records store_reads;

  /** Upstreams and load of each service, by service name. */
  std::map<std::string, placement::pool, std::less<>> pools;
  placement::options placement_options;
  availability::record_table availability;
  availability::options availability_options;
  /** Limits that upstreams state for the requests of all entries. */
  rate_limit::limit_table limits;
  rate_limit::options rate_limit_options;
  /** The entries among which these limits are divided. */
  rate_limit::participants participants;
  /** This entry's part of the limits. */
  rate_limit::permit_table permits;
  /** Limits of the upstreams that are cold, and this entry's part of them. */
  rate_limit::limit_table warm_up_limits;
  rate_limit::options warm_up_options;
  rate_limit::permit_table warm_up_permits;
  /** Data centres that the operators evacuated. */
  evacuation::evacuation_table evacuations;
  evacuation::options evacuation_options;
  /** Retry budgets by service name. */
  std::map<std::string, retry::budget, std::less<>> retry_budgets;
  /** Service times by route name. */
  std::map<std::string, forwarding::service_times, std::less<>> service_times;
  forwarding::service_time_options service_time_options;
  /** Memory for responses on their way to callers; shared because they may
   * outlive the event loop. */
  std::shared_ptr<forwarding::response_memory> response_memory{
      std::make_shared<forwarding::response_memory>()};
  /** Memory for requests on their way from callers, at all listeners. */
  std::shared_ptr<net::receive_budget> receive_budget;
  /** Requests suspected of, or condemned for, crashing upstreams. */
  quarantine::suspect_table quarantine;
  quarantine::options quarantine_options;
  /** Upstream crashes that this entry observed. */
  quarantine::crash_log crashes;
  /** Broken attempts whose upstream is being probed, by incarnation. */
  std::map<std::string, std::vector<broken_attempt>> investigations;

  /** The other entries of the fleet. */
  fleet::members members;
  fleet::options fleet_options;
  fleet::disciplined_clock clock;
  fleet::clock_options clock_options;
  /** Billing counts by process and window. */
  metering::tally tally;
  /** The lease for tasks that only one entry may perform. */
  lease::contender lease;

  /** Requests of callers that are in progress, for the log of a stop; shared
   * because requests may outlive the event loop. */
  std::shared_ptr<std::set<request_context*>> running_requests{
      std::make_shared<std::set<request_context*>>()};
  /** Unset while the entry serves normally. */
  std::optional<planned_stop> stop;
  /** The event loop is about to end; background loops return. */
  bool stopping{};
};

/**
 * @brief Returns whether this entry accepts callers: it has a manifest and a
 * registry and is not draining.
 */
[[nodiscard]] bool IsReady(const edge_state& state);

/** @brief Returns the wall-clock time, ignoring short-lived clock steps. */
[[nodiscard]] wall_time LocalTime(edge_state& state);

/** @brief Returns LocalTime() corrected to the fleet's median clock. */
[[nodiscard]] wall_time FleetTime(edge_state& state);

/**
 * @brief Returns an identifier of one process, unique across restarts.
 * @param name Name of the entry.
 * @param incarnation Incarnation of the entry's process.
 * @return `NAME/INCARNATION`, used as billing source, lease holder and crash
 * observer.
 */
[[nodiscard]] std::string ProcessIdentity(const std::string& name,
                                          std::uint64_t incarnation);

/** @brief Rebuilds the pools from the current manifest and registry. */
void RefreshPools(edge_state& state);

/** @brief Updates the pools with the load reported by other entries. */
void RefreshRemoteLoad(edge_state& state);

/** @brief Returns this entry's properties, for decisions by the fleet module.
 */
[[nodiscard]] fleet::self_status SelfInfo(const edge_state& state);

/** @brief Returns whether this entry should read a feed directly from the store
 * instead of copying it from other entries. */
[[nodiscard]] bool FollowsStore(const edge_state& state,
                                fleet::store_feed feed);

/** @brief Returns whether the registry is as recent as that of an entry which
 * reads the store. */
[[nodiscard]] bool IsRegistryCurrent(const edge_state& state);

/** @brief Returns the number of entries, including this one, that share the
 * retry limits. */
[[nodiscard]] std::uint32_t EntryCount(const edge_state& state);

/** @brief Returns the number of sockets that the process may open. */
[[nodiscard]] std::size_t MaxSockets(const platform::machine_settings& machine);

/** @brief Suspends the calling coroutine for the given time. */
[[nodiscard]] asio::awaitable<void> Sleep(std::chrono::milliseconds time);

}  // namespace mimosadeck::edge

#endif  // APPS_MIMOSADECKD_EDGE_STATE_H_
