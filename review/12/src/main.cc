// Clients on kept connections stop reading for a while in the middle of an
// answer, while the daemon reads its settings again. The answer must arrive all
// the same.

#include <atomic>
#include <csignal>
#include <thread>

#include "../../11/src/bed.h"

namespace mimosadeck::review {
namespace {

constexpr const char* kIp = "127.0.12.1";
constexpr int kClients = 8;
constexpr milliseconds kTimeLimit{10000};
/** Time for which a client does not read, within its time limit. */
constexpr milliseconds kReadPause{4000};
/** An answer of the sheet's largest size. */
constexpr int kEvents = 95;
constexpr std::size_t kEventBytes = 480;
constexpr std::size_t kAnswerBytes = kEvents * kEventBytes;
/** Receive buffer of a client. */
constexpr int kReceiveBytes = 4 * 1024;
/** LOST allows three such answers at any time, and none beside a SIGHUP. */
constexpr int kMaxLost = 3;
constexpr milliseconds kPollInterval{10};

int Run(record& log) {
  store platform(kIp);
  std::atomic<int> runs{0};
  const server worker(kIp, [&](channel& peer) {
    while (const auto request = peer.ReadRequest()) {
      ++runs;
      const bool is_long = request->Target().ends_with("/long");
      peer.Write(
          StreamResponse(*request, "w-1", is_long ? kEvents : 1, kEventBytes));
      log.Write("worker ran " + request->Field("x-request-id") +
                " and answered whole");
    }
  });
  platform.Put("op", "", "config",
               Manifest(1, {{"/summary/", "stream", "pool", kTimeLimit}}));
  platform.Put("servers", "", "w-1", WorkerEntry("pool", worker.Address()));
  const daemon_process daemon(kIp, platform.Address());
  std::atomic<int> ready_clients{0};
  std::atomic<bool> is_reloaded{false};
  std::atomic<int> lost{0};
  std::atomic<int> whole{0};
  std::vector<std::thread> clients;
  clients.reserve(kClients);
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      const auto id = "client-" + std::to_string(i);
      const auto link = channel::Connect(daemon.Callers(), kReceiveBytes);
      if (!link) {
        return;
      }
      link->SetReadTimeout(kTimeLimit);
      link->Write(RequestHead("POST", "/summary/short", id + "-short",
                              kTimeLimit, "Content-Length: 0\r\n\r\n"));
      const auto first = link->ReadResponse();
      if (!first || first->Status() != 200) {
        log.Write(id + ": no first answer");
        return;
      }
      ++ready_clients;
      while (!is_reloaded) {
        Sleep(kPollInterval);
      }
      log.Write(id + "-long: sent");
      link->Write(RequestHead("POST", "/summary/long", id + "-long", kTimeLimit,
                              "Content-Length: 0\r\n\r\n"));
      if (HasTrouble()) {
        Sleep(kReadPause);
      }
      const auto second = link->ReadResponse();
      const bool is_whole =
          second && second->is_complete && second->body.size() == kAnswerBytes;
      ++(is_whole ? whole : lost);
      log.Write(
          id +
          "-long: " + (second ? std::to_string(second->body.size()) : "no") +
          " bytes of " + std::to_string(kAnswerBytes) + ", " +
          (is_whole ? "whole" : "connection ended: " + link->LastError()));
    });
  }
  const auto end = steady::now() + kTimeLimit;
  while (ready_clients < kClients && steady::now() < end) {
    Sleep(kPollInterval);
  }
  log.Write("SIGHUP to the daemon");
  daemon.Signal(SIGHUP);
  is_reloaded = true;
  for (auto& client : clients) {
    client.join();
  }
  log.Write("runs: " + std::to_string(runs) + ", whole answers: " +
            std::to_string(whole) + ", lost: " + std::to_string(lost));
  if (whole + lost < kClients) {
    return kNotRun;
  }
  return lost > kMaxLost ? kBroken : kHeld;
}

}  // namespace
}  // namespace mimosadeck::review

int main(int argc, char** argv) {
  return mimosadeck::review::RunCase(argc, argv, mimosadeck::review::Run);
}
