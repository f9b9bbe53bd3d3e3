#include <deque>
#include <set>

#include <tclap/CmdLine.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/digest.h"
#include "stand_in/process.h"

namespace mimosadeck::stand_in {
namespace internal {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::size_t kMaxRecordedRequests = 500;
constexpr std::uint64_t kDefaultTokens = 16;

/** @brief State of the simulated engine; requests to `/control` change it. */
struct engine_process {
  std::string id;
  std::uint32_t slots{4};
  std::chrono::milliseconds token_time{10};
  /** `normal`, `stall` (streams pause) or `refuse` (503). */
  std::string mode{"normal"};
  /** A request whose body has this text crashes the engine; empty for none. */
  std::string crash_on;
  /** Number of tokens after which a stream is cut off; 0 for never. */
  std::uint64_t cut_after{};
  /** Incremented by a crash; cuts off requests of an earlier generation. */
  std::uint64_t generation{};
  /** Number of requests being processed. */
  std::uint32_t running{};
  std::uint64_t crashes{};
  std::uint64_t tokens_made{};
  std::uint64_t highest_fencing{};
  bool checks_fencing{true};
  /** The last requests received, as text. */
  std::deque<std::string> seen;
};

/** @brief A chat request: what to generate. */
struct generation_job {
  std::uint64_t tokens{};
  /** Index of the first token to send; above 0 for a resumed stream. */
  std::uint64_t offset{};
  std::uint64_t prompt_tokens{};
  /** The request's messages, from which the token texts are derived. */
  std::string seed;
};

asio::awaitable<void> Wait(std::chrono::milliseconds time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  co_await timer.async_wait(asio::use_awaitable);
}

std::string TokenText(const generation_job& job, std::uint64_t offset) {
  constexpr std::size_t kDigits = 6;
  return Sha256Hex(job.seed + std::to_string(offset)).substr(0, kDigits) + " ";
}

std::string Event(const json::value& value) {
  return "data: " + json::serialize(value) + "\n\n";
}

std::string TokenEvent(const generation_job& job, std::uint64_t offset) {
  return Event(json::object{
      {"object", "chat.completion.chunk"},
      {"offset", offset},
      {"choices",
       json::array{json::object{
           {"index", 0},
           {"delta", json::object{{"content", TokenText(job, offset)}}}}}}});
}

std::string FinishEvent(const generation_job& job) {
  return Event(json::object{
      {"object", "chat.completion.chunk"},
      {"choices", json::array{json::object{{"index", 0},
                                           {"delta", json::object{}},
                                           {"finish_reason", "stop"}}}},
      {"usage", json::object{{"prompt_tokens", job.prompt_tokens},
                             {"completion_tokens", job.tokens}}}});
}

generation_job DecodeJob(const net::http_request& request) {
  const json::value body = json::parse(request.body);
  generation_job out;
  const auto* limit = body.as_object().if_contains("max_tokens");
  out.tokens = limit ? limit->to_number<std::uint64_t>() : kDefaultTokens;
  out.seed = json::serialize(body.at("messages"));
  constexpr std::uint64_t kBytesPerToken = 4;
  out.prompt_tokens = out.seed.size() / kBytesPerToken;
  const auto offset = net::FieldOf(request.fields, "x-resume-offset");
  if (!offset.empty()) {
    out.offset = std::stoull(std::string(offset));
  }
  return out;
}

void RecordRequest(engine_process& engine, const net::http_request& request) {
  std::string text = request.method + " " + request.target + "\n";
  for (const auto& [name, value] : request.fields) {
    text += name + ": " + value + "\n";
  }
  engine.seen.push_back(text + "\n" + request.body);
  if (engine.seen.size() > kMaxRecordedRequests) {
    engine.seen.pop_front();
  }
}

asio::awaitable<void> Generate(engine_process& engine,
                               const generation_job& job,
                               net::exchange& exchange) {
  const auto generation = engine.generation;
  net::http_fields fields;
  fields["content-type"] = "text/event-stream";
  const bool is_begun = co_await exchange.BeginStream(200, std::move(fields));
  if (!is_begun) {
    co_return;
  }
  std::uint64_t sent = 0;
  for (std::uint64_t i = job.offset; i < job.tokens; ++i) {
    co_await Wait(engine.token_time);
    while (engine.mode == "stall" && engine.generation == generation) {
      co_await Wait(engine.token_time);
    }
    const bool is_cut_off = engine.cut_after != 0 && sent >= engine.cut_after;
    if (engine.generation != generation || is_cut_off) {
      exchange.Abort();
      co_return;
    }
    auto chunk = TokenEvent(job, i);
    const bool is_written = co_await exchange.WriteChunk(std::move(chunk));
    if (!is_written) {
      co_return;
    }
    ++sent;
    ++engine.tokens_made;
  }
  auto last = FinishEvent(job) + "data: [DONE]\n\n";
  co_await exchange.WriteChunk(std::move(last));
  co_await exchange.EndStream();
}

/** @brief Simulates a crash: cuts off every running request. */
void Crash(engine_process& engine) {
  ++engine.generation;
  ++engine.crashes;
}

asio::awaitable<void> HandleChat(engine_process& engine,
                                 const net::http_request& request,
                                 net::exchange& exchange) {
  RecordRequest(engine, request);
  if (!engine.crash_on.empty() &&
      request.body.find(engine.crash_on) != std::string::npos) {
    co_await Wait(engine.token_time);
    Crash(engine);
    exchange.Abort();
    co_return;
  }
  if (engine.mode == "refuse") {
    co_await exchange.Respond(JsonTextResponse(503, R"({"started":false})"));
    co_return;
  }
  ++engine.running;
  const auto job = DecodeJob(request);
  co_await Generate(engine, job, exchange);
  --engine.running;
}

void Configure(engine_process& engine, const json::object& settings) {
  if (const auto* mode = settings.if_contains("mode")) {
    engine.mode = json::value_to<std::string>(*mode);
  }
  if (const auto* time = settings.if_contains("token_ms")) {
    engine.token_time =
        std::chrono::milliseconds(time->to_number<std::int64_t>());
  }
  if (const auto* text = settings.if_contains("crash_on")) {
    engine.crash_on = json::value_to<std::string>(*text);
  }
  if (const auto* count = settings.if_contains("cut_after")) {
    engine.cut_after = count->to_number<std::uint64_t>();
  }
  if (settings.if_contains("crash")) {
    Crash(engine);
  }
}

json::object EncodeState(const engine_process& engine) {
  json::array seen;
  for (const auto& text : engine.seen) {
    seen.emplace_back(text);
  }
  return {{"seen", std::move(seen)},
          {"crashes", engine.crashes},
          {"tokens_made", engine.tokens_made},
          {"running", engine.running}};
}

json::object EncodeLoad(const engine_process& engine) {
  return {{"running", engine.running}, {"slots", engine.slots}};
}

asio::awaitable<void> HandleRequest(engine_process& engine,
                                    net::http_request request,
                                    net::exchange& exchange) {
  if (request.target == "/v1/chat/completions") {
    co_await HandleChat(engine, request, exchange);
    co_return;
  }
  json::object body;
  if (request.target == "/load") {
    body = EncodeLoad(engine);
  } else if (request.target == "/inspect") {
    body = EncodeState(engine);
  } else if (request.target == "/control") {
    Configure(engine, json::parse(request.body).as_object());
  }
  co_await exchange.Respond(JsonResponse(200, body));
}

}  // namespace
}  // namespace internal
}  // namespace mimosadeck::stand_in

int main(int argc, char** argv) {
  TCLAP::CmdLine line("Stand-in for a model engine");
  TCLAP::ValueArg<std::string> address("", "listen", "IP:PORT to listen on",
                                       false, "127.0.0.1:0", "IP:PORT", line);
  TCLAP::ValueArg<std::string> id("", "id", "VM id", true, "", "ID", line);
  TCLAP::ValueArg<std::string> data_centre("", "data-centre", "Data centre",
                                           true, "", "NAME", line);
  TCLAP::ValueArg<std::string> pool("", "model", "Model served", true, "",
                                    "NAME", line);
  TCLAP::ValueArg<std::uint32_t> slots("", "slots", "Concurrent requests",
                                       false, 4, "N", line);
  TCLAP::ValueArg<std::int64_t> token("", "token-ms", "Time per token", false,
                                      10, "MS", line);
  TCLAP::ValueArg<std::string> platform("", "platform", "Platform's address",
                                        false, "", "IP:PORT", line);
  TCLAP::ValueArg<std::string> state("", "state", "live or parked", false,
                                     "live", "STATE", line);
  TCLAP::SwitchArg cheaper("", "cheaper", "May be evicted", line);
  line.parse(argc, argv);
  boost::asio::io_context context;
  mimosadeck::stand_in::internal::engine_process engine;
  engine.id = id.getValue();
  engine.slots = slots.getValue();
  engine.token_time = std::chrono::milliseconds(token.getValue());
  mimosadeck::stand_in::Serve(
      context, address.getValue(),
      [&engine](auto request, auto& exchange) {
        return mimosadeck::stand_in::internal::HandleRequest(
            engine, std::move(request), exchange);
      },
      [&](const std::string& bound) {
        if (platform.getValue().empty()) {
          return;
        }
        boost::asio::co_spawn(
            context,
            mimosadeck::stand_in::RegisterVm(
                platform.getValue(), {{"id", id.getValue()},
                                      {"role", "engine"},
                                      {"state", state.getValue()},
                                      {"address", bound},
                                      {"data_centre", data_centre.getValue()},
                                      {"pool", pool.getValue()},
                                      {"slots", slots.getValue()},
                                      {"cheaper", cheaper.getValue()}}),
            boost::asio::detached);
      });
  return 0;
}
