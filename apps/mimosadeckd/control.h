#ifndef APPS_MIMOSADECKD_CONTROL_H_
#define APPS_MIMOSADECKD_CONTROL_H_

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/base.h"
#include "config/config.h"
#include "infra/infra.h"
#include "membership/membership.h"
#include "net/net.h"
#include "ownership/ownership.h"
#include "settings/settings.h"
#include "telemetry/telemetry.h"

namespace mimosadeck::daemon {

namespace asio = boost::asio;

/** @brief Returns the current time of the monotonic clock. */
[[nodiscard]] inline mono_time Now() {
  return std::chrono::steady_clock::now();
}

/**
 * @brief Immutable state that the control thread publishes for the traffic
 * threads.
 */
struct snapshot {
  std::shared_ptr<const config::document> document;
  config::freshness freshness{config::freshness::stale};
  bool draining{};
  /** Entries that may own work: alive, listed and not leaving. */
  std::vector<membership::member> entries;
};

/**
 * @brief Sends requests to the platform over HTTP.
 *
 * Not thread-safe: used on the control thread only.
 */
class platform_client {
 public:
  explicit platform_client(std::string address);

  /**
   * @brief Sends one request and waits for its reply.
   * @return The platform's reply. If there is none: `unavailable` for a read or
   * a request that was not sent, else `unknown_outcome`.
   */
  [[nodiscard]] asio::awaitable<infra::reply> Send(infra::request request);

  /**
   * @brief Returns when the last request that the table service answered was
   * sent; unset if none was.
   */
  [[nodiscard]] std::optional<mono_time> LastReplyAt() const {
    return last_reply_at_;
  }

 private:
  std::string address_;
  net::http_client client_;
  std::optional<mono_time> last_reply_at_;
};

/**
 * @brief State shared by the components on the control thread.
 *
 * Other threads read `published` only.
 */
struct control_state {
  control_state(asio::io_context& io,
                const settings::daemon_settings& settings,
                telemetry::metrics& metrics)
      : io(io),
        settings(settings),
        metrics(metrics),
        platform(settings.platform_address),
        random(std::random_device{}()) {}

  asio::io_context& io;
  const settings::daemon_settings& settings;
  telemetry::metrics& metrics;
  platform_client platform;
  std::mt19937_64 random;
  /** Number of this run of the entry; higher after each restart. */
  std::uint64_t incarnation_number{};
  /** Identifies this run of the entry, see `IncarnationName`. */
  std::string incarnation;
  mono_time started_at;
  membership::view view;
  membership::options membership_options;
  config::replica replica;
  /** Contact with the store and with the majority of the entries. */
  config::fleet_contact contact;
  /** Last VM list received from the platform. */
  std::vector<infra::vm> vms;
  /** A planned stop has begun; no new duties are taken over. */
  bool draining{};
  /** The periodic loops end. */
  bool stopping{};
  std::atomic<std::shared_ptr<const snapshot>> published;
};

/** @brief Formats the name of an incarnation, one run of an entry: `ID#NUMBER`.
 */
[[nodiscard]] std::string IncarnationName(const std::string& id,
                                          std::uint64_t number);

/**
 * @brief Returns whether an entry incarnation has left the fleet.
 *
 * False until this entry has run for `dead_after`, since its view of the
 * members is incomplete before.
 */
[[nodiscard]] bool IsDeparted(const control_state& state,
                              const std::string& incarnation);

/**
 * @brief Finds the member with an incarnation.
 * @return Null if the member is unknown or has another incarnation now.
 */
[[nodiscard]] const membership::member* FindMember(
    const control_state& state,
    const std::string& incarnation);

/** @brief Lists the entries that ownership of work may be assigned to. */
[[nodiscard]] std::vector<ownership::candidate> OwnerCandidates(
    const control_state& state);

/** @brief Suspends the calling coroutine for a time. */
[[nodiscard]] asio::awaitable<void> Sleep(std::chrono::milliseconds time);

}  // namespace mimosadeck::daemon

#endif  // APPS_MIMOSADECKD_CONTROL_H_
