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

/** @brief How an upstream answers a request. */
enum class scripted_answer {
  good,
  /** 500 of the upstream's own. */
  failure,
  /** 503 that says the request was not run. */
  not_run,
  /** 429 although the request ran. */
  busy,
  /** Runs the request and closes the connection. */
  broken,
  stream,
  /** Breaks off inside the fourth event, unless it goes on after one. */
  broken_stream,
  slow_stream,
  /** Sends two events, then a byte now and then of one that never ends. */
  stalled_stream,
  /** Sends bytes of one event until its caller closes. */
  endless_event,
  /** Runs the request and ends the process: listener and connections
     close. */
  crash,
  /** Runs the request and ends without a word: nothing listens any more,
   * and the connection stays silent. */
  vanish,
};

/** @brief A request that an upstream ran. */
struct upstream_run {
  net::http_request request;
  /** Value of the field by which the upstream vouches for its answer. */
  std::string stamp;
  scripted_answer answer{};
};

/** @brief Events of a whole stream. */
inline constexpr int kStreamEvents = 6;

/** @brief Returns an event of the stream that answers a request. */
[[nodiscard]] std::string StreamEvent(const std::string& request_id,
                                      int number);

/** @brief Returns all events of the stream that answers a request. */
[[nodiscard]] std::string WholeStream(const std::string& request_id);

/** @brief Returns the body of a good answer that is no stream. */
[[nodiscard]] std::string WholeBody(const std::string& request_id,
                                    const std::string& stamp);

/**
 * @brief An upstream as the platform's pages describe it, whose answers are
 * scripted.
 */
class upstream_stand_in {
 public:
  upstream_stand_in(boost::asio::io_context& io, std::string id);

  /** @brief Returns the row by which it registers. */
  [[nodiscard]] std::string Entry(const std::string& state) const;

  [[nodiscard]] std::string Address() const { return address_; }

  /** @brief Tells whether its process runs. */
  [[nodiscard]] bool IsRunning() const { return server_ != nullptr; }

  /** @brief Starts the process again, under the same id and address. */
  void Restart();

  /** @brief Takes a new id, as another upstream at the same address. */
  void ChangeId(std::string id);

  scripted_answer next{scripted_answer::good};
  /** Replaces `next` if set. */
  std::function<scripted_answer(const net::http_request&)> choose;
  /** Called when a request begins to run. */
  std::function<void(const upstream_run&)> on_run;
  /** Time that an answer other than a stream takes. */
  std::chrono::milliseconds work_time{0};
  /** Time between the events of a slow stream. */
  std::chrono::milliseconds slow_pause{150};
  /** Every answer says that the upstream leaves. */
  bool leaving{};
  /** Refusals ask for this pause, in seconds; empty for none. */
  std::string refusal_retry_after;
  /** Answers do not say to which request they belong. */
  bool omits_request_id{};
  /** Requests that arrived, run or not. */
  int arrivals{};
  std::vector<upstream_run> runs;
  bool caller_left{};
  /** Bytes of endless events that were sent. */
  std::size_t endless_bytes{};
  /** Address under which it registers, if that is not its own. */
  std::string advertised;
  std::string data_centre{"a"};

 private:
  boost::asio::awaitable<void> Answer(net::http_request request,
                                      net::exchange& exchange);
  static boost::asio::awaitable<void> Trickle(std::shared_ptr<bool> gone,
                                              net::exchange& exchange);
  boost::asio::awaitable<void> Flood(std::shared_ptr<bool> gone,
                                     net::exchange& exchange);
  boost::asio::awaitable<void> Stream(upstream_run run,
                                      net::http_fields fields,
                                      net::exchange& exchange);

  void Listen();

  boost::asio::io_context& io_;
  std::string id_;
  std::string address_{"127.0.0.1:0"};
  std::uint64_t started_at_ms_{5};
  std::uint64_t runs_begun_{};
  std::unique_ptr<net::http_server> server_;
};

}  // namespace mimosadeck::platform_test

#endif  // TEST_PLATFORM_UPSTREAM_STAND_IN_H_
