#include "bench/slopes.h"

#include <ctime>
#include <functional>
#include <iomanip>
#include <iostream>
#include <random>

#include <boost/json.hpp>

#include "answer/answer.h"
#include "base/base.h"
#include "booking/booking.h"
#include "config/config.h"
#include "dispatch/dispatch.h"
#include "membership/membership.h"
#include "ownership/ownership.h"
#include "settings/settings.h"
#include "usage/usage.h"
#include "wire/wire.h"

namespace mimosadeck::bench {
namespace internal {
namespace {

constexpr double kNanosPerSecond = 1e9;
constexpr double kMicrosPerSecond = 1e6;

double CpuSeconds() {
  std::timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) / kNanosPerSecond;
}

/** @brief Returns the processor time of one call, in microseconds. */
double MicrosEach(int count, const std::function<void(int)>& work) {
  const double begin = CpuSeconds();
  for (int i = 0; i < count; ++i) {
    work(i);
  }
  return (CpuSeconds() - begin) * kMicrosPerSecond / count;
}

void Row(const std::string& what,
         const std::string& size,
         double value,
         const std::string& unit) {
  std::cout << std::left << std::setw(44) << what << std::setw(20) << size
            << std::right << std::setw(12) << std::fixed << std::setprecision(2)
            << value << ' ' << unit << '\n';
}

dispatch::request MakeRequest(std::uint64_t id, int accounts) {
  dispatch::request out;
  out.id = id;
  out.entry = "e";
  out.account =
      "account-" + std::to_string(id % static_cast<unsigned>(accounts));
  out.tier = 2;
  out.expected_tokens = 200;
  out.max_wait = std::chrono::seconds(30);
  out.prefix = id % 50;
  return out;
}

void MeasureDispatch() {
  constexpr int kRequests = 20000;
  for (const int upstreams : {8, 32, 128, 512}) {
    dispatch::pool pool;
    dispatch::options options;
    for (int i = 0; i < upstreams; ++i) {
      dispatch::upstream known;
      known.id = "upstream-" + std::to_string(i);
      known.slots = 16;
      dispatch::SetUpstream(pool, known);
    }
    mono_time now{std::chrono::hours(1)};
    const double micros = MicrosEach(kRequests, [&](int i) {
      now += std::chrono::microseconds(100);
      const auto actions = dispatch::OnRequest(
          pool, options, MakeRequest(static_cast<std::uint64_t>(i), 9), now);
      const auto* given = std::get_if<dispatch::granted>(&actions.front());
      static_cast<void>(dispatch::OnRelease(pool, options, given->grant.id,
                                            dispatch::ending::finished, 200,
                                            now));
    });
    Row("pool: grant and release", std::to_string(upstreams) + " upstreams",
        micros, "us");
  }
  for (const int accounts : {10, 100, 1000, 3500}) {
    admission::queue queue;
    admission::options options;
    options.capacity = 100000;
    mono_time now{std::chrono::hours(1)};
    const double micros = MicrosEach(accounts * 2, [&](int i) {
      admission::queued_request one;
      one.id = static_cast<std::uint64_t>(i);
      one.account = "account-" + std::to_string(i % accounts);
      one.expected_tokens = 200;
      one.tier = 2;
      one.arrived = now;
      one.deadline = now + std::chrono::hours(1);
      static_cast<void>(admission::Offer(queue, options, one));
    });
    Row("queue: offer", std::to_string(accounts) + " accounts", micros, "us");
    const double take = MicrosEach(accounts, [&](int) {
      static_cast<void>(admission::Take(queue, options, now, 4));
    });
    Row("queue: take", std::to_string(accounts) + " accounts", take, "us");
  }
}

membership::member MakeMember(int i) {
  membership::member out;
  out.id = "entry-" + std::to_string(i);
  out.incarnation = 116965212336128ULL + static_cast<unsigned>(i);
  out.data_centre = "data-centre-" + std::to_string(i % 19);
  out.peer_address = "10.0.0.1:40001";
  out.caller_address = "10.0.0.1:40002";
  out.operator_address = "10.0.0.1:40003";
  return out;
}

std::size_t HeartbeatBytes(const std::vector<membership::member>& updates) {
  wire::envelope message;
  message.set_from("entry-100");
  message.set_incarnation(116965212336128ULL);
  message.set_correlation(100000);
  message.set_reply_address("10.0.0.1:40001");
  auto* beat = message.mutable_probe();
  for (const auto& update : updates) {
    auto* out = beat->add_members();
    out->set_id(update.id);
    out->set_incarnation(update.incarnation);
    out->set_heartbeat(update.heartbeat);
    out->set_data_centre(update.data_centre);
    out->set_peer_address(update.peer_address);
    out->set_caller_address(update.caller_address);
    out->set_operator_address(update.operator_address);
  }
  beat->set_config_version(21000);
  beat->set_config_known(true);
  beat->set_config_age_ms(500);
  beat->set_store_known(true);
  beat->set_store_age_ms(500);
  const auto sealed = wire::Seal(message, "secret of the fleet");
  return sealed.payload.size() + sealed.code.size();
}

void MeasureMembership() {
  for (const int members : {9, 50, 150, 410}) {
    membership::view view;
    membership::options options;
    options.interval = std::chrono::milliseconds(1000);
    std::mt19937_64 random(1);
    mono_time now{std::chrono::hours(1)};
    membership::Join(view, MakeMember(0), now);
    for (int i = 1; i < members; ++i) {
      membership::OnUpdate(view, options, MakeMember(i), now);
    }
    const auto size = std::to_string(members) + " members";
    std::size_t busiest =
        HeartbeatBytes(membership::SelectUpdates(view, options));
    for (int i = 0; i < members * 50; ++i) {
      static_cast<void>(membership::SelectUpdates(view, options));
    }
    const double micros = MicrosEach(2000, [&](int) {
      now += options.interval;
      for (const auto& id : membership::Tick(view, options, now, random)) {
        membership::OnProbeAnswered(view, options, id, now);
        static_cast<void>(
            HeartbeatBytes(membership::SelectUpdates(view, options)));
      }
    });
    Row("membership: one round of 2 probes", size, micros, "us");
    Row("membership: quiet message", size,
        static_cast<double>(
            HeartbeatBytes(membership::SelectUpdates(view, options))),
        "bytes");
    Row("membership: message full of news", size, static_cast<double>(busiest),
        "bytes");
    std::vector<ownership::candidate> candidates;
    for (int i = 0; i < members; ++i) {
      candidates.push_back({"entry-" + std::to_string(i),
                            "data-centre-" + std::to_string(i % 19)});
    }
    const double rank = MicrosEach(2000, [&](int i) {
      static_cast<void>(ownership::OwnerNear("model-" + std::to_string(i),
                                             "data-centre-3", candidates));
    });
    Row("ownership: find one owner", size, rank, "us");
  }
}

config::document MakeDocument(int accounts) {
  config::document out;
  out.version = 1;
  for (int i = 0; i < accounts; ++i) {
    const auto name = std::to_string(i);
    out.values["accounts/account-" + name] =
        R"({"node":"firm/region/account-)" + name + "\"}";
    out.values["tree/firm/region/account-" + name +
               ":limits.requests_per_second"] = "10";
    for (const char* key : {"a", "b"}) {
      out.values[settings::KeyPath(Sha256Hex(name + key))] =
          R"({"account":"account-)" + name + R"(","withdrawn":false})";
    }
  }
  return out;
}

std::size_t DocumentBytes(const config::document& source) {
  constexpr std::size_t kNodeOverhead = 112;
  std::size_t total = 0;
  for (const auto& [path, text] : source.values) {
    total += path.capacity() + text.capacity() + kNodeOverhead;
  }
  return total;
}

void MeasureConfiguration() {
  for (const int accounts : {10, 350, 1000, 3500}) {
    config::replica replica;
    replica.current = MakeDocument(accounts);
    const auto size = std::to_string(accounts) + " accounts";
    Row("configuration: state", size,
        static_cast<double>(DocumentBytes(replica.current)) / 1024, "KiB");
    config::change_set change;
    change.version = 2;
    change.author = "operator";
    change.nonce = std::string(32, 'a');
    change.changes = {{settings::KeyPath(std::string(64, 'c')),
                       R"({"account":"account-1","withdrawn":true})"}};
    Row("configuration: one change", size,
        static_cast<double>(config::EncodeChangeSet(change).size()), "bytes");
    const double apply = MicrosEach(2000, [&](int) {
      const auto text = config::EncodeChangeSet(change);
      const auto decoded = config::DecodeChangeSet(text);
      config::ApplyPeerChanges(replica,
                               {std::get<config::change_set>(decoded)});
      ++change.version;
    });
    Row("configuration: apply a change", size, apply, "us");
    const double publish = MicrosEach(20, [&](int) {
      const auto copy =
          std::make_shared<const config::document>(replica.current);
      static_cast<void>(copy);
    });
    Row("configuration: publish a copy", size, publish, "us");
    const double authenticate = MicrosEach(5000, [&](int i) {
      const auto hash = Sha256Hex(std::to_string(i % accounts) + "a");
      const auto key = settings::FindKey(replica.current, hash);
      const auto account = settings::FindAccount(replica.current, key->account);
      static_cast<void>(
          settings::FindClass(replica.current, *account, "lookup"));
    });
    Row("caller: authenticate and read class", size, authenticate, "us");
  }
}

std::size_t UsageCopyBytes(const usage::ledger& source, bool whole) {
  wire::envelope message;
  message.set_from("entry-100");
  message.set_incarnation(116965212336128ULL);
  message.set_correlation(100000);
  message.set_reply_address("10.0.0.1:40001");
  auto* copy = message.mutable_usage_copy();
  copy->set_incarnation(source.incarnation);
  copy->set_sequence(source.sequence);
  for (const auto& [account, used] : source.used) {
    auto* one = copy->add_totals();
    one->set_account(account);
    one->set_requests(used.requests);
    one->set_prompt_tokens(used.prompt_tokens);
    one->set_completion_tokens(used.completion_tokens);
    if (!whole) {
      break;
    }
  }
  const auto sealed = wire::Seal(message, "secret of the fleet");
  return sealed.payload.size() + sealed.code.size();
}

void MeasureUsage() {
  for (const int accounts : {3, 9, 30, 100}) {
    usage::ledger ledger;
    ledger.incarnation = "entry-100#116965212336128";
    for (int i = 0; i < accounts; ++i) {
      usage::Record(ledger, "account-" + std::to_string(i),
                    {1000000, 100000000, 100000000});
    }
    const auto size = std::to_string(accounts) + " accounts";
    const auto text = usage::EncodeLedger(ledger);
    Row("usage: ledger row", size, static_cast<double>(text.size()), "bytes");
    Row("usage: copy of the whole ledger", size,
        static_cast<double>(UsageCopyBytes(ledger, true)), "bytes");
    Row("usage: copy of one change", size,
        static_cast<double>(UsageCopyBytes(ledger, false)), "bytes");
    const double micros = MicrosEach(2000, [&](int) {
      static_cast<void>(usage::DecodeLedger(usage::EncodeLedger(ledger)));
    });
    Row("usage: write and read a ledger", size, micros, "us");
  }
  for (const int entries : {9, 100, 410}) {
    std::vector<usage::ledger> ledgers;
    for (int e = 0; e < entries; ++e) {
      usage::ledger ledger;
      ledger.incarnation = "entry-" + std::to_string(e) + "#1";
      for (int i = 0; i < 27; ++i) {
        usage::Record(ledger, "account-" + std::to_string((e * 9 + i) % 3500),
                      {1, 100, 100});
      }
      ledgers.push_back(ledger);
    }
    usage::billing_watermarks marks;
    const double micros = MicrosEach(1, [&](int) {
      const auto figures = usage::ComputeNextWindow(ledgers, marks);
      static_cast<void>(usage::EncodeReport(1, figures));
      Row("billing: marks row", std::to_string(entries) + " ledgers",
          static_cast<double>(usage::EncodeWatermarks(marks).size()) / 1024,
          "KiB");
    });
    Row("billing: freeze a window", std::to_string(entries) + " ledgers",
        micros, "us");
  }
}

void MeasureBooking() {
  for (const int records : {1000, 10000, 50000}) {
    booking::shard shard;
    shard.self = "e#1";
    shard.phase = booking::shard_phase::active;
    shard.row.holders = {"f#1", "g#1"};
    booking::options options;
    mono_time now{std::chrono::hours(1)};
    const auto departed = [](const std::string&) { return false; };
    std::size_t bytes = 0;
    const double micros = MicrosEach(records, [&](int i) {
      booking::record one;
      one.key = booking::RecordKey("account-1", std::to_string(i));
      one.digest = std::string(64, 'd');
      one.nonce = std::string(32, 'n');
      one.executor = "entry-100#116965212336128";
      std::uint64_t ticket = 0;
      static_cast<void>(
          booking::OnClaim(shard, options, one, departed, now, ticket));
      static_cast<void>(booking::OnCopyReply(shard, "f#1", 0, ticket, true));
      static_cast<void>(booking::OnCopyReply(shard, "g#1", 0, ticket, true));
      one.state = booking::record_state::done;
      one.answer = std::string(200, 'x');
      static_cast<void>(booking::OnSettle(shard, one, false));
      bytes = booking::EncodeRecord(one).size();
    });
    Row("booking: claim, copies and settling",
        std::to_string(records) + " records", micros, "us");
    Row("booking: record", std::to_string(records) + " records",
        static_cast<double>(bytes), "bytes");
  }
}

void MeasureTokens() {
  for (const int batch : {1, 4, 16}) {
    std::string bytes;
    for (int i = 0; i < batch; ++i) {
      bytes +=
          R"(data: {"object":"chat.completion.chunk","offset":0,"choices":)"
          R"([{"index":0,"delta":{"content":"919aef "}}]})"
          "\n\n";
    }
    answer::event_splitter splitter;
    const double micros = MicrosEach(20000, [&](int) {
      for (const auto& data : answer::Split(splitter, bytes)) {
        const auto parsed = boost::json::parse(data);
        static_cast<void>(parsed.at("offset").to_number<std::uint64_t>());
      }
    });
    Row("traffic: split and read a token",
        std::to_string(batch) + " in a piece", micros / batch, "us");
  }
}

}  // namespace
}  // namespace internal

void PrintSlopes() {
  internal::MeasureDispatch();
  internal::MeasureMembership();
  internal::MeasureConfiguration();
  internal::MeasureUsage();
  internal::MeasureBooking();
  internal::MeasureTokens();
}

}  // namespace mimosadeck::bench
