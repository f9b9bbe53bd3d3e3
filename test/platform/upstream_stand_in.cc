#include "platform/upstream_stand_in.h"

#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include "platform/wait.h"

namespace mimosadeck::platform_test {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds kEventPause{5};
constexpr std::chrono::milliseconds kBytePause{50};
/** Number of whole events before a stalled stream stalls. */
constexpr int kEventsBeforeStall = 2;
/** Number of the event in which a broken stream breaks off. */
constexpr int kBrokenEvent = 4;
/** Number of bytes sent of that event. */
constexpr std::size_t kBrokenEventBytes = 7;
constexpr std::size_t kEndlessChunkBytes = 64U << 10U;
/** Ends an endless event if the caller never closes the connection. */
constexpr std::size_t kMaxEndlessBytes = 64U << 20U;
/** Longer than the timeout of any request. */
constexpr std::chrono::milliseconds kVanishTime{20000};
constexpr std::uint64_t kBodyLimitBytes = std::uint64_t{16} << 20U;
constexpr int kWrongUpstream = 421;

bool IsStream(scripted_answer answer) {
  return answer == scripted_answer::stream ||
         answer == scripted_answer::broken_stream ||
         answer == scripted_answer::slow_stream ||
         answer == scripted_answer::stalled_stream ||
         answer == scripted_answer::endless_event;
}

net::http_response NotRunResponse(int status, net::http_fields fields) {
  net::http_response out;
  out.status = status;
  out.fields = std::move(fields);
  out.fields["x-not-executed"] = "1";
  return out;
}

}  // namespace

std::string StreamEvent(const std::string& request_id, int number) {
  return "id: " + std::to_string(number) + "\ndata: " + request_id + "\n\n";
}

std::string WholeStream(const std::string& request_id) {
  std::string out;
  for (int i = 1; i <= kStreamEvents; ++i) {
    out += StreamEvent(request_id, i);
  }
  return out;
}

std::string WholeBody(const std::string& request_id, const std::string& stamp) {
  return "answer to " + request_id + " by " + stamp;
}

upstream_stand_in::upstream_stand_in(asio::io_context& io, std::string id)
    : io_(io), id_(std::move(id)) {
  Listen();
}

void upstream_stand_in::Listen() {
  net::server_options options;
  options.limits.body_limit_bytes = kBodyLimitBytes;
  server_ = std::make_unique<net::http_server>(
      std::vector<asio::io_context*>{&io_}, address_, options,
      [this](auto request, auto& exchange) {
        return Answer(std::move(request), exchange);
      });
  address_ = server_->Address();
}

void upstream_stand_in::Restart() {
  if (!IsRunning()) {
    Listen();
  }
}

std::string upstream_stand_in::Entry(const std::string& state) const {
  return json::serialize(
      json::object{{"service", "pool"},
                   {"address", advertised.empty() ? Address() : advertised},
                   {"zone", data_centre},
                   {"version", "v1"},
                   {"slots", slots},
                   {"state", state},
                   {"cold_left_ms", cold_for.count()},
                   {"seq", 1},
                   {"born", started_at_ms_}});
}

void upstream_stand_in::ChangeId(std::string id) {
  id_ = std::move(id);
  ++started_at_ms_;
}

asio::awaitable<void> upstream_stand_in::Answer(net::http_request request,
                                                net::exchange& exchange) {
  const std::string request_id(net::FieldOf(request.fields, "x-request-id"));
  net::http_fields fields;
  if (!omits_request_id) {
    fields["x-request-id"] = request_id;
  }
  if (leaving) {
    fields["server-leaving"] = "1";
  }
  if (!stated_limit.empty()) {
    fields["server-limit"] = stated_limit;
  }
  ++arrivals;
  arrived_at.push_back(std::chrono::steady_clock::now());
  const auto expected = net::FieldOf(request.fields, "x-expect-instance");
  if (!expected.empty() && expected != id_) {
    auto refused = NotRunResponse(kWrongUpstream, std::move(fields));
    co_await exchange.Respond(std::move(refused));
    co_return;
  }
  const auto answer = choose ? choose(request) : next;
  if (answer == scripted_answer::not_run) {
    auto refused = NotRunResponse(503, std::move(fields));
    if (!refusal_retry_after.empty()) {
      refused.fields["retry-after"] = refusal_retry_after;
    }
    co_await exchange.Respond(std::move(refused));
    co_return;
  }
  upstream_run run{std::move(request),
                   id_ + '/' + std::to_string(++runs_begun_), answer,
                   slow_pause};
  fields["x-server-stamp"] = run.stamp;
  runs.push_back(run);
  if (on_run) {
    on_run(run);
  }
  if (IsStream(answer)) {
    co_await Stream(std::move(run), std::move(fields), exchange);
    co_return;
  }
  if (answer == scripted_answer::crash || answer == scripted_answer::vanish) {
    server_.reset();
    if (answer == scripted_answer::vanish) {
      co_await Wait(kVanishTime);
    }
    exchange.Abort();
    co_return;
  }
  if (work_time.count() > 0) {
    co_await Wait(work_time);
  }
  ReportEnd(run, true);
  net::http_response response;
  response.fields = std::move(fields);
  switch (answer) {
    case scripted_answer::failure:
      response.status = 500;
      break;
    case scripted_answer::busy:
      response.status = 429;
      break;
    case scripted_answer::broken:
      exchange.Abort();
      co_return;
    default:
      response.body = WholeBody(request_id, run.stamp);
      break;
  }
  co_await exchange.Respond(std::move(response));
}

void upstream_stand_in::ReportEnd(const upstream_run& run,
                                  bool is_finished) const {
  if (on_end) {
    on_end(run, is_finished);
  }
}

std::chrono::milliseconds upstream_stand_in::SlowPause(
    const upstream_run& run) const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(run.pause *
                                                               slowdown);
}

asio::awaitable<void> upstream_stand_in::WriteByteByByte(
    std::shared_ptr<bool> caller_gone,
    net::exchange& exchange) {
  while (!*caller_gone) {
    std::string byte("d");
    co_await exchange.WriteChunk(std::move(byte));
    co_await Wait(kBytePause);
  }
}

asio::awaitable<void> upstream_stand_in::WriteEndlessEvent(
    std::shared_ptr<bool> caller_gone,
    net::exchange& exchange) {
  bool is_written = true;
  while (is_written && !*caller_gone && endless_bytes < kMaxEndlessBytes) {
    std::string bytes(kEndlessChunkBytes, 'd');
    is_written = co_await exchange.WriteChunk(std::move(bytes));
    endless_bytes += kEndlessChunkBytes;
  }
  exchange.Abort();
}

asio::awaitable<void> upstream_stand_in::Stream(upstream_run run,
                                                net::http_fields fields,
                                                net::exchange& exchange) {
  const auto caller_gone = std::make_shared<bool>(false);
  exchange.OnCallerDisconnect([this, caller_gone, run] {
    caller_left = *caller_gone = true;
    ReportEnd(run, false);
  });
  const std::string request_id(
      net::FieldOf(run.request.fields, "x-request-id"));
  fields["content-type"] = "text/event-stream";
  co_await exchange.BeginStream(200, std::move(fields));
  if (run.answer == scripted_answer::endless_event) {
    co_await WriteEndlessEvent(caller_gone, exchange);
    co_return;
  }
  const auto after = net::FieldOf(run.request.fields, "last-event-id");
  const int first = after.empty() ? 1 : std::stoi(std::string(after)) + 1;
  const bool breaks =
      run.answer == scripted_answer::broken_stream && first == 1;
  const bool stalls =
      run.answer == scripted_answer::stalled_stream && first == 1;
  const bool is_slow = run.answer == scripted_answer::slow_stream;
  for (int i = first; i <= kStreamEvents && !*caller_gone; ++i) {
    auto event = StreamEvent(request_id, i);
    if (breaks && i == kBrokenEvent) {
      auto half = event.substr(0, kBrokenEventBytes);
      co_await exchange.WriteChunk(std::move(half));
      exchange.Abort();
      co_return;
    }
    if (stalls && i > kEventsBeforeStall) {
      co_await WriteByteByByte(caller_gone, exchange);
      co_return;
    }
    co_await exchange.WriteChunk(std::move(event));
    const auto pause = is_slow ? SlowPause(run) : kEventPause;
    co_await Wait(pause);
  }
  if (!*caller_gone) {
    ReportEnd(run, true);
  }
  co_await exchange.EndStream();
}

}  // namespace mimosadeck::platform_test
