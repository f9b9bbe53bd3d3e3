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

/** @brief Returns the present time for decisions. */
[[nodiscard]] inline mono_time Now() {
  return std::chrono::steady_clock::now();
}

/** @brief What traffic threads may know, published as a whole. */
struct snapshot {
  std::shared_ptr<const config::document> document;
  config::freshness freshness{config::freshness::stale};
  bool draining{};
  std::vector<membership::member> entries;
};

/** @brief Asks the platform over HTTP; used on the control thread only. */
class platform_client {
 public:
  explicit platform_client(std::string address);

  /** @brief Sends one request and waits for its reply. */
  [[nodiscard]] asio::awaitable<infra::reply> Send(infra::request request);

  /** @brief When the table service last answered; unset if never. */
  [[nodiscard]] std::optional<mono_time> HeardAt() const { return heard_at_; }

 private:
  std::string address_;
  net::http_client client_;
  std::optional<mono_time> heard_at_;
};

/** @brief State that every part on the control thread shares. */
struct control {
  control(asio::io_context& io,
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
  std::uint64_t incarnation_number{};
  std::string incarnation;
  mono_time started_at;
  membership::view view;
  membership::options membership_options;
  config::replica replica;
  config::fleet_contact contact;
  std::vector<infra::vm> vms;
  bool draining{};
  bool stopping{};
  std::atomic<std::shared_ptr<const snapshot>> published;
};

/** @brief Names an incarnation of a member. */
[[nodiscard]] std::string IncarnationOf(const std::string& id,
                                        std::uint64_t number);

/** @brief Tells whether an entry incarnation is known to be gone. */
[[nodiscard]] bool IsDeparted(const control& state,
                              const std::string& incarnation);

/** @brief Returns the member of an incarnation if it is the present one. */
[[nodiscard]] const membership::member* FindMember(
    const control& state,
    const std::string& incarnation);

/** @brief Lists entries that may own work, for the ownership library. */
[[nodiscard]] std::vector<ownership::candidate> Candidates(
    const control& state);

/** @brief Waits on the control thread. */
[[nodiscard]] asio::awaitable<void> Sleep(std::chrono::milliseconds time);

}  // namespace mimosadeck::daemon

#endif  // APPS_MIMOSADECKD_CONTROL_H_
