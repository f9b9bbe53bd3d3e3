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

constexpr std::size_t kRememberedRequests = 500;
constexpr std::uint64_t kDefaultTokens = 16;

struct engine_process {
  std::string id;
  std::uint32_t slots{4};
  std::chrono::milliseconds token_time{10};
  std::string mode{"normal"};
  std::string crash_on;
  std::uint64_t cut_after{};
  std::uint64_t generation{};
  std::uint32_t running{};
  std::uint64_t crashes{};
  std::uint64_t tokens_made{};
  std::uint64_t highest_fencing{};
  bool checks_fencing{true};
  std::deque<std::string> seen;
};

struct work {
  std::uint64_t tokens{};
  std::uint64_t offset{};
  std::uint64_t prompt_tokens{};
  std::string seed;
};

asio::awaitable<void> Pause(std::chrono::milliseconds time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  co_await timer.async_wait(asio::use_awaitable);
}

std::string TokenText(const work& todo, std::uint64_t offset) {
  constexpr std::size_t kDigits = 6;
  return Sha256Hex(todo.seed + std::to_string(offset)).substr(0, kDigits) + " ";
}

std::string Event(const json::value& value) {
  return "data: " + json::serialize(value) + "\n\n";
}

std::string TokenEvent(const work& todo, std::uint64_t offset) {
  return Event(json::object{
      {"object", "chat.completion.chunk"},
      {"offset", offset},
      {"choices",
       json::array{json::object{
           {"index", 0},
           {"delta", json::object{{"content", TokenText(todo, offset)}}}}}}});
}

std::string FinishEvent(const work& todo) {
  return Event(json::object{
      {"object", "chat.completion.chunk"},
      {"choices", json::array{json::object{{"index", 0},
                                           {"delta", json::object{}},
                                           {"finish_reason", "stop"}}}},
      {"usage", json::object{{"prompt_tokens", todo.prompt_tokens},
                             {"completion_tokens", todo.tokens}}}});
}

work ReadWork(const net::http_request& request) {
  const json::value body = json::parse(request.body);
  work out;
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

void Remember(engine_process& engine, const net::http_request& request) {
  std::string text = request.method + " " + request.target + "\n";
  for (const auto& [name, value] : request.fields) {
    text += name + ": " + value + "\n";
  }
  engine.seen.push_back(text + "\n" + request.body);
  if (engine.seen.size() > kRememberedRequests) {
    engine.seen.pop_front();
  }
}

asio::awaitable<void> Generate(engine_process& engine,
                               const work& todo,
                               net::exchange& exchange) {
  const auto generation = engine.generation;
  net::http_fields fields;
  fields["content-type"] = "text/event-stream";
  const bool begun = co_await exchange.BeginStream(200, std::move(fields));
  if (!begun) {
    co_return;
  }
  std::uint64_t made = 0;
  for (std::uint64_t i = todo.offset; i < todo.tokens; ++i) {
    co_await Pause(engine.token_time);
    while (engine.mode == "stall" && engine.generation == generation) {
      co_await Pause(engine.token_time);
    }
    const bool cut = engine.cut_after != 0 && made >= engine.cut_after;
    if (engine.generation != generation || cut) {
      exchange.Abort();
      co_return;
    }
    auto chunk = TokenEvent(todo, i);
    const bool written = co_await exchange.WriteChunk(std::move(chunk));
    if (!written) {
      co_return;
    }
    ++made;
    ++engine.tokens_made;
  }
  auto last = FinishEvent(todo) + "data: [DONE]\n\n";
  co_await exchange.WriteChunk(std::move(last));
  co_await exchange.EndStream();
}

/** @brief Cuts every request that runs now, as a crash does. */
void Crash(engine_process& engine) {
  ++engine.generation;
  ++engine.crashes;
}

asio::awaitable<void> HandleChat(engine_process& engine,
                                 const net::http_request& request,
                                 net::exchange& exchange) {
  Remember(engine, request);
  if (!engine.crash_on.empty() &&
      request.body.find(engine.crash_on) != std::string::npos) {
    co_await Pause(engine.token_time);
    Crash(engine);
    exchange.Abort();
    co_return;
  }
  if (engine.mode == "refuse") {
    co_await exchange.Respond(JsonText(503, R"({"started":false})"));
    co_return;
  }
  ++engine.running;
  const auto todo = ReadWork(request);
  co_await Generate(engine, todo, exchange);
  --engine.running;
}

void Configure(engine_process& engine, const json::object& wanted) {
  if (const auto* mode = wanted.if_contains("mode")) {
    engine.mode = json::value_to<std::string>(*mode);
  }
  if (const auto* time = wanted.if_contains("token_ms")) {
    engine.token_time =
        std::chrono::milliseconds(time->to_number<std::int64_t>());
  }
  if (const auto* text = wanted.if_contains("crash_on")) {
    engine.crash_on = json::value_to<std::string>(*text);
  }
  if (const auto* count = wanted.if_contains("cut_after")) {
    engine.cut_after = count->to_number<std::uint64_t>();
  }
  if (wanted.if_contains("crash")) {
    Crash(engine);
  }
}

json::object Inspect(const engine_process& engine) {
  json::array seen;
  for (const auto& text : engine.seen) {
    seen.emplace_back(text);
  }
  return {{"seen", std::move(seen)},
          {"crashes", engine.crashes},
          {"tokens_made", engine.tokens_made},
          {"running", engine.running}};
}

json::object Load(const engine_process& engine) {
  return {{"running", engine.running}, {"slots", engine.slots}};
}

asio::awaitable<void> HandleAny(engine_process& engine,
                                net::http_request request,
                                net::exchange& exchange) {
  if (request.target == "/v1/chat/completions") {
    co_await HandleChat(engine, request, exchange);
    co_return;
  }
  json::object body;
  if (request.target == "/load") {
    body = Load(engine);
  } else if (request.target == "/inspect") {
    body = Inspect(engine);
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
  TCLAP::ValueArg<std::string> centre("", "data-centre", "Data centre", true,
                                      "", "NAME", line);
  TCLAP::ValueArg<std::string> pool("", "model", "Model served", true, "",
                                    "NAME", line);
  TCLAP::ValueArg<std::uint32_t> slots("", "slots", "Requests at a time", false,
                                       4, "N", line);
  TCLAP::ValueArg<std::int64_t> token("", "token-ms", "Time for a token", false,
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
        return mimosadeck::stand_in::internal::HandleAny(
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
                                      {"data_centre", centre.getValue()},
                                      {"pool", pool.getValue()},
                                      {"slots", slots.getValue()},
                                      {"cheaper", cheaper.getValue()}}),
            boost::asio::detached);
      });
  return 0;
}
