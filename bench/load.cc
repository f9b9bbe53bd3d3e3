#include <iomanip>
#include <iostream>
#include <random>

#include <tclap/CmdLine.h>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "answer/answer.h"
#include "base/base.h"
#include "net/net.h"

namespace mimosadeck::bench {
namespace internal {
namespace {

namespace asio = boost::asio;
namespace accumulators = boost::accumulators;

using quantiles = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::count,
                        accumulators::tag::tail_quantile<accumulators::right>>>;

/** @brief What was measured at one target. */
struct measurement {
  explicit measurement(std::size_t most)
      : first_token(accumulators::tag::tail<accumulators::right>::cache_size =
                        most),
        whole(accumulators::tag::tail<accumulators::right>::cache_size = most) {
  }

  quantiles first_token;
  quantiles whole;
  std::uint64_t tokens{};
  std::uint64_t failed{};
};

/** @brief Where and how to send. */
struct target {
  std::string name;
  std::string address;
  std::string key;
};

std::string Body(std::uint64_t tokens, std::uint64_t number) {
  return R"({"model":"notes-small","stream":true,"max_tokens":)" +
         std::to_string(tokens) +
         R"(,"messages":[{"role":"user","content":"request )" +
         std::to_string(number) + "\"}]}";
}

/** @brief Sends one request; its time counts from when it was due. */
asio::awaitable<void> Send(target to,
                           std::string body,
                           mono_time due,
                           measurement& out) {
  net::http_request request;
  request.method = "POST";
  request.target = "/v1/chat/completions";
  request.fields["content-type"] = "application/json";
  request.fields["authorization"] = "Bearer " + to.key;
  request.body = std::move(body);
  net::call_limits limits;
  limits.inactivity_timeout = std::chrono::milliseconds(10000);
  const auto opened =
      co_await net::OpenStream(to.address, std::move(request), limits);
  const auto* stream = std::get_if<std::shared_ptr<net::http_stream>>(&opened);
  constexpr int kHttpOk = 200;
  if (!stream || (*stream)->Status() != kHttpOk) {
    ++out.failed;
    co_return;
  }
  answer::event_splitter splitter;
  bool first = true;
  while (true) {
    auto piece = co_await (*stream)->ReadPiece();
    const auto* bytes = std::get_if<std::string>(&piece);
    if (!bytes) {
      ++out.failed;
      co_return;
    }
    const std::chrono::duration<double, std::milli> passed =
        std::chrono::steady_clock::now() - due;
    if (first) {
      first = false;
      out.first_token(passed.count());
    }
    if (bytes->empty()) {
      out.whole(passed.count());
      co_return;
    }
    out.tokens += answer::Split(splitter, *bytes).size();
  }
}

/** @brief Sends at a rate, whatever the answers do. */
asio::awaitable<void> OpenLoop(target to,
                               double rate,
                               std::chrono::seconds time,
                               std::uint64_t tokens,
                               std::uint64_t seed,
                               measurement& out) {
  std::mt19937_64 random(seed);
  std::exponential_distribution<double> gap(rate);
  const auto executor = co_await asio::this_coro::executor;
  asio::steady_timer timer(executor);
  auto due = std::chrono::steady_clock::now();
  const auto end = due + time;
  std::uint64_t number = 0;
  while (due < end) {
    timer.expires_at(due);
    co_await timer.async_wait(asio::use_awaitable);
    auto job = Send(to, Body(tokens, number++), due, out);
    asio::co_spawn(executor, std::move(job), asio::detached);
    due +=
        std::chrono::microseconds(static_cast<std::int64_t>(gap(random) * 1e6));
  }
}

void Print(const std::string& name, measurement& out) {
  const auto at = [](quantiles& values, double probability) {
    return accumulators::quantile(
        values, accumulators::quantile_probability = probability);
  };
  std::cout << std::left << std::setw(10) << name << std::right << std::fixed
            << std::setprecision(2) << " answers " << std::setw(7)
            << accumulators::count(out.whole) << "  failed " << std::setw(5)
            << out.failed << "  tokens " << std::setw(8) << out.tokens
            << "  first token ms p50 " << std::setw(7)
            << at(out.first_token, 0.50) << " p95 " << std::setw(7)
            << at(out.first_token, 0.95) << " p99 " << std::setw(7)
            << at(out.first_token, 0.99) << "  whole ms p95 " << std::setw(8)
            << at(out.whole, 0.95) << '\n';
}

}  // namespace
}  // namespace internal
}  // namespace mimosadeck::bench

int main(int argc, char** argv) {
  namespace bench = mimosadeck::bench::internal;
  constexpr int kExitFailure = 1;
  try {
    TCLAP::CmdLine line(
        "Sends streamed chat completions at a rate to an entry and, side by "
        "side, straight to an engine; times count from when each was due.");
    TCLAP::ValueArg<std::string> entry("e", "entry", "Entry", true, "",
                                       "IP:PORT", line);
    TCLAP::ValueArg<std::string> engine("d", "direct", "Engine", true, "",
                                        "IP:PORT", line);
    TCLAP::ValueArg<std::string> key("k", "key", "Key", true, "", "KEY", line);
    TCLAP::ValueArg<double> rate("r", "rate", "Requests a second to each",
                                 false, 50, "N", line);
    TCLAP::ValueArg<std::int64_t> seconds("t", "seconds", "Duration", false, 10,
                                          "S", line);
    TCLAP::ValueArg<std::uint64_t> tokens("n", "tokens", "Tokens an answer",
                                          false, 20, "N", line);
    line.parse(argc, argv);
    const auto most = static_cast<std::size_t>(
        rate.getValue() * static_cast<double>(seconds.getValue()) * 2 + 100);
    bench::measurement through(most);
    bench::measurement direct(most);
    boost::asio::io_context context;
    constexpr std::uint64_t kSeed = 1;
    const std::chrono::seconds time(seconds.getValue());
    boost::asio::co_spawn(
        context,
        bench::OpenLoop({"entry", entry.getValue(), key.getValue()},
                        rate.getValue(), time, tokens.getValue(), kSeed,
                        through),
        boost::asio::detached);
    boost::asio::co_spawn(
        context,
        bench::OpenLoop({"direct", engine.getValue(), "none"}, rate.getValue(),
                        time, tokens.getValue(), kSeed + 1, direct),
        boost::asio::detached);
    context.run();
    bench::Print("direct", direct);
    bench::Print("entry", through);
    return 0;
  } catch (const std::exception& failure) {
    std::cerr << "mimosadeck_load: " << failure.what() << '\n';
    return kExitFailure;
  }
}
