#ifndef TEST_SYSTEM_CRASHING_UPSTREAMS_H_
#define TEST_SYSTEM_CRASHING_UPSTREAMS_H_

#include <functional>
#include <string>

#include "system/one_entry.h"

namespace mimosadeck::system_test {

/** Delay before crashed upstreams restart; real upstreams take longer. */
inline constexpr auto kRestartTime = 1200ms;

/** @brief Fixture with one entry and three upstreams that may crash. */
struct crashing_upstreams : one_entry {
  upstream_stand_in third{io, "u3"};

  crashing_upstreams() {
    store.Put("servers", "u3", third.Entry("ready"));
    BOOST_REQUIRE(
        Eventually([this] { return Shows("mimosadeck_upstreams", 3); }));
  }

  /** @brief Sets how all upstreams answer a request. */
  void ChooseAnswer(
      const std::function<answer(const net::http_request&)>& choose) {
    for (auto* upstream : {&first, &second, &third}) {
      upstream->choose = choose;
    }
  }

  /** @brief Waits for a crash, then restarts the upstreams. */
  void RestartUpstreams() {
    Eventually([this] {
      return !first.IsRunning() || !second.IsRunning() || !third.IsRunning();
    });
    io.restart();
    io.run_for(kRestartTime);
    for (auto* upstream : {&first, &second, &third}) {
      upstream->Restart();
    }
  }

  std::size_t TotalRunCount() const { return RunCount() + third.runs.size(); }

  /** @brief Returns whether the first sample of a metric has a value. */
  bool Shows(const std::string& name, std::size_t value) {
    const auto text = Get(control, "/metrics").body;
    const auto at = text.find('\n' + name + '{');
    const auto end = text.find('\n', at + 1);
    return at != std::string::npos &&
           text.substr(at, end - at).ends_with("} " + std::to_string(value));
  }
};

}  // namespace mimosadeck::system_test

#endif  // TEST_SYSTEM_CRASHING_UPSTREAMS_H_
