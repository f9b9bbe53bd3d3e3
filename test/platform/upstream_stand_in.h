#ifndef TEST_PLATFORM_UPSTREAM_STAND_IN_H_
#define TEST_PLATFORM_UPSTREAM_STAND_IN_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "net/net.h"

namespace mimosadeck::platform_test {

/** @brief Scripted way in which an upstream answers a request. */
enum class scripted_answer {
  /** Runs the request and responds 200. */
  good,
  /** Runs the request and responds 500. */
  failure,
  /** Responds 503 with the statement that the request was not run. */
  not_run,
  /** Runs the request and responds 429. */
  busy,
  /** Runs the request and closes the connection without a response. */
  broken,
  /** Responds with a whole event stream. */
  stream,
  /** Closes the connection inside the fourth event; a resumed stream is
   * complete. */
  broken_stream,
  /** A stream that waits for `slow_pause` after each event. */
  slow_stream,
  /** Sends two events, then single bytes of a third event that never ends; a
   * resumed stream is complete. */
  stalled_stream,
  /** Sends bytes of one event until the caller closes the connection. */
  endless_event,
  /** Runs the request, then behaves like a crashed process: closes the listener
   * and the connections. */
  crash,
  /** Runs the request, then behaves like a lost VM: closes the listener and
   * sends nothing on the open connection. */
  vanish,
};

/** @brief A request that an upstream ran. */
struct upstream_run {
  net::http_request request;
  /** Signature that the upstream adds to its response. */
  std::string stamp;
  scripted_answer answer{};
  /** Pause after each event of a slow stream. */
  std::chrono::milliseconds pause{};
};

/** @brief Number of events in a whole stream. */
inline constexpr int kStreamEvents = 6;

/** @brief Returns an event of the stream that answers a request. */
[[nodiscard]] std::string StreamEvent(const std::string& request_id,
                                      int number);

/** @brief Returns all events of the stream that answers a request. */
[[nodiscard]] std::string WholeStream(const std::string& request_id);

/** @brief Returns the body of a good response that is not a stream. */
[[nodiscard]] std::string WholeBody(const std::string& request_id,
                                    const std::string& stamp);

/**
 * @brief Stand-in for an upstream of the platform, with scripted answers behind
 * an HTTP server.
 */
class upstream_stand_in {
 public:
  upstream_stand_in(boost::asio::io_context& io, std::string id);

  /** @brief Returns the value of the store row that registers the upstream. */
  [[nodiscard]] std::string Entry(const std::string& state) const;

  /** @brief Returns the `IP:PORT` that the server listens on. */
  [[nodiscard]] std::string Address() const { return address_; }

  /** @brief Returns whether the simulated process is running. */
  [[nodiscard]] bool IsRunning() const { return server_ != nullptr; }

  /** @brief Starts the simulated process again with the same id and address. */
  void Restart();

  /** @brief Simulates another start of the process under the same id. */
  void BeginNextIncarnation() { ++started_at_ms_; }

  /** @brief Simulates another upstream at the same address. */
  void ChangeId(std::string id);

  /** Answer to requests. */
  scripted_answer next{scripted_answer::good};
  /** Chooses the answer to a request; overrides `next` if set. */
  std::function<scripted_answer(const net::http_request&)> choose;
  /** Called when a request begins to run. */
  std::function<void(const upstream_run&)> on_run;
  /** Called when a run ends; false if the caller of its stream left. */
  std::function<void(const upstream_run&, bool is_finished)> on_end;
  /** Time before a response that is not a stream. */
  std::chrono::milliseconds work_time{0};
  /** Pause between the events of a slow stream. */
  std::chrono::milliseconds slow_pause{150};
  /** Factor on the pauses of slow streams, also of those that run. */
  double slowdown{1};
  /** Number of requests that the registration says it runs at once. */
  int slots{4};
  /** Responses announce that the upstream is shutting down. */
  bool leaving{};
  /** Limit that responses state, in requests per second; empty for none. */
  std::string stated_limit;
  /** `retry-after` of `not_run` responses, in seconds; empty for none. */
  std::string refusal_retry_after;
  /** Responses lack the id of their request. */
  bool omits_request_id{};
  /** Number of requests received, run or not. */
  int arrivals{};
  /** When each of these requests arrived. */
  std::vector<std::chrono::steady_clock::time_point> arrived_at;
  std::vector<upstream_run> runs;
  /** A caller closed the connection during a stream. */
  bool caller_left{};
  /** Number of bytes of endless events that were sent. */
  std::size_t endless_bytes{};
  /** Address to register instead of the real one, if not empty. */
  std::string advertised;
  std::string data_centre{"a"};
  /** Time for which the registration says that the upstream stays cold. */
  std::chrono::milliseconds cold_for{0};

 private:
  boost::asio::awaitable<void> Answer(net::http_request request,
                                      net::exchange& exchange);
  static boost::asio::awaitable<void> WriteByteByByte(
      std::shared_ptr<bool> caller_gone,
      net::exchange& exchange);
  boost::asio::awaitable<void> WriteEndlessEvent(
      std::shared_ptr<bool> caller_gone,
      net::exchange& exchange);
  boost::asio::awaitable<void> Stream(upstream_run run,
                                      net::http_fields fields,
                                      net::exchange& exchange);

  void Listen();
  void ReportEnd(const upstream_run& run, bool is_finished) const;
  [[nodiscard]] std::chrono::milliseconds SlowPause(
      const upstream_run& run) const;

  boost::asio::io_context& io_;
  std::string id_;
  std::string address_{"127.0.0.1:0"};
  std::uint64_t started_at_ms_{5};
  std::uint64_t runs_begun_{};
  std::unique_ptr<net::http_server> server_;
};

}  // namespace mimosadeck::platform_test

#endif  // TEST_PLATFORM_UPSTREAM_STAND_IN_H_
