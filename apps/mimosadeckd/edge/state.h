#ifndef APPS_MIMOSADECKD_EDGE_STATE_H_
#define APPS_MIMOSADECKD_EDGE_STATE_H_

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "availability/availability.h"
#include "base/base.h"
#include "fleet/fleet.h"
#include "forwarding/forwarding.h"
#include "lease/lease.h"
#include "metering/metering.h"
#include "net/net.h"
#include "placement/placement.h"
#include "platform/platform.h"
#include "quarantine/quarantine.h"
#include "registry/registry.h"
#include "retry/retry.h"
#include "revision/revision.h"
#include "routing/routing.h"
#include "telemetry/telemetry.h"

namespace mimosadeck::edge {

namespace asio = boost::asio;

/** Time for which callers keep an answer of the directory. */
inline constexpr std::chrono::milliseconds kDirectoryTtl{1000};
/** Callers keep an answer for up to three times as long. */
inline constexpr int kDirectoryTtlFactor = 3;
/** Part of a planned stop's time that is left when the process ends by itself.
 */
inline constexpr std::chrono::milliseconds kStopReserve{400};

/** @brief An attempt that ended as if its upstream had. */
struct broken_attempt {
  std::string request;
  std::string fingerprint;
  std::string service;
  /** The upstream's incarnation. */
  std::string upstream;
  std::string address;
  std::string reason;
  /** The upstream sent nothing until the attempt's time was over. */
  bool silent{};
  mono_time at;
};

/** @brief State that all parts of an edge daemon share, on one thread. */
struct edge_state {
  edge_state(asio::io_context& io, platform::machine_settings machine);

  asio::io_context& io;
  platform::machine_settings machine;
  telemetry::metrics metrics;
  platform::client platform;
  /** Connections to upstreams. */
  net::connection_cache upstream_connections;
  mono_time started_at;
  std::uint64_t incarnation{};

  std::shared_ptr<const routing::table> table;
  /** Texts of the manifests adopted last. */
  revision::history manifests;
  revision::options manifest_options;

  registry::upstream_set upstreams;
  registry::options registry_options;
  /** When the registry was last known to be complete; unset before. */
  std::optional<mono_time> registry_fresh_at;
  /** This entry follows the store itself, and the store answers. */
  bool store_followed{};
  /** Since when; meaningless while it is not followed. */
  mono_time store_followed_since;

  std::map<std::string, placement::pool, std::less<>> pools;
  placement::options placement_options;
  availability::book availability;
  availability::options availability_options;
  std::map<std::string, retry::budget, std::less<>> budgets;
  /** By route; requests that outlive the event loop hold theirs. */
  std::map<std::string, std::shared_ptr<forwarding::service_times>, std::less<>>
      service_times;
  forwarding::service_time_options service_time_options;
  /** Bytes of answers that are read but not passed on yet. */
  std::shared_ptr<std::uint64_t> answer_bytes{
      std::make_shared<std::uint64_t>(0)};
  quarantine::ward ward;
  quarantine::options quarantine_options;
  quarantine::crash_log crashes;
  /** Broken attempts at upstreams that are being probed, by incarnation. */
  std::map<std::string, std::vector<broken_attempt>> investigations;

  fleet::members members;
  fleet::options fleet_options;
  fleet::disciplined_clock clock;
  fleet::clock_options clock_options;
  metering::tally tally;
  lease::contender lease;

  std::optional<mono_time> draining_since;
  bool stopping{};
};

/** @brief Tells whether callers can be served. */
[[nodiscard]] bool IsReady(const edge_state& state);

/** @brief Returns this entry's calendar time, without steps of its clock. */
[[nodiscard]] wall_time LocalTime(edge_state& state);

/** @brief Returns the calendar time, corrected by the other entries' clocks. */
[[nodiscard]] wall_time FleetTime(edge_state& state);

/** @brief Names this process among the sources of billing counts. */
[[nodiscard]] std::string SourceName(const std::string& name,
                                     std::uint64_t incarnation);

/** @brief Brings the pools up to date with the manifest and the registry. */
void RefreshPools(edge_state& state);

/** @brief Tells the pools what the other entries have sent. */
void RefreshOthersLoad(edge_state& state);

/** @brief Returns this entry's place in the fleet. */
[[nodiscard]] fleet::self_status PlaceOf(const edge_state& state);

/** @brief Tells whether this entry follows the store itself. */
[[nodiscard]] bool FollowsStore(const edge_state& state);

/** @brief Tells whether the registry is as new as the fleet's. */
[[nodiscard]] bool IsRegistryCurrent(const edge_state& state);

/** @brief Returns the number of entries that share the retry limits. */
[[nodiscard]] std::uint32_t EntryCount(const edge_state& state);

/** @brief Waits. */
[[nodiscard]] asio::awaitable<void> Sleep(std::chrono::milliseconds time);

}  // namespace mimosadeck::edge

#endif  // APPS_MIMOSADECKD_EDGE_STATE_H_
