#include "scenario.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>

#include "../test/platform/wait.h"

namespace mimosadeck::review {

namespace asio = boost::asio;
using platform_test::Wait;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kPoll{5};
constexpr int kFirstCommandWord = 3;

int Run(int argc,
        char** argv,
        const scenario_options& settings,
        const scenario& play) {
  if (argc <= kFirstCommandWord) {
    std::cerr << "usage: " << argv[0] << " RECORD DIRECTORY COMMAND...\n";
    return kNotRun;
  }
  asio::io_context io{1};
  fleet_options options;
  options.entries = settings.entries;
  options.upstreams = settings.upstreams;
  options.record = argv[1];
  options.directory = argv[2];
  options.command.assign(argv + kFirstCommandWord, argv + argc);
  fleet system(io, options);
  for (std::size_t i = 0; i < settings.entries; ++i) {
    system.Start(i);
  }
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble = !trouble || std::string_view(trouble) != "0";
  int out = kNotRun;
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](boost::system::error_code, int) { io.stop(); });
  if (settings.sends_requests) {
    asio::co_spawn(io, system.SendRequests(), asio::detached);
  }
  asio::co_spawn(io, system.SendHeartbeats(), asio::detached);
  asio::co_spawn(io, system.RecordReports(), asio::detached);
  asio::co_spawn(io, play(system, has_trouble),
                 [&](const std::exception_ptr& thrown, int result) {
                   out = thrown ? kNotRun : result;
                   io.stop();
                 });
  io.run();
  system.RecordTotals();
  system.Record("exit " + std::to_string(out));
  return out;
}

}  // namespace

int RunScenario(int argc,
                char** argv,
                const scenario_options& settings,
                const scenario& play) {
  try {
    return Run(argc, argv, settings, play);
  } catch (const std::exception& failure) {
    std::cerr << failure.what() << '\n';
    return kNotRun;
  }
}

asio::awaitable<bool> WaitForReports(fleet& system,
                                     std::size_t count,
                                     milliseconds timeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (system.duties.reports.size() < count) {
    if (std::chrono::steady_clock::now() > end) {
      co_return false;
    }
    co_await Wait(kPoll);
  }
  co_return true;
}

asio::awaitable<void> WaitUntil(std::chrono::system_clock::time_point when) {
  while (std::chrono::system_clock::now() < when) {
    co_await Wait(kPoll);
  }
}

}  // namespace mimosadeck::review
