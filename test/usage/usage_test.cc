#define BOOST_TEST_MODULE usage
#include <boost/test/included/unit_test.hpp>

#include <random>

#include <boost/json.hpp>

#include "lease/lease.h"
#include "stand_in/memory_platform.h"
#include "usage/usage.h"

namespace {

using namespace std::chrono_literals;
using mimosadeck::mono_time;
namespace lease = mimosadeck::lease;
namespace infra = mimosadeck::infra;
namespace usage = mimosadeck::usage;

/** @brief A process that runs billing rounds while it holds the lease. */
struct billing_process {
  lease::contender contender;
  usage::biller biller;
  std::optional<infra::request> next;
  bool is_report{};
};

struct billing_fleet {
  mimosadeck::stand_in::memory_platform store;
  mono_time now{1h};
  lease::options options;
  std::array<billing_process, 2> processes;

  billing_fleet() {
    options.name = "billing";
    processes[0].contender.self = "a#1";
    processes[1].contender.self = "b#1";
  }

  void TickLease(billing_process& process) {
    auto request = lease::Tick(process.contender, options, now, false);
    if (request) {
      lease::OnReply(process.contender, options, Handle(store, *request), now);
    }
  }

  /**
   * @brief Prepares the next request of a round without sending it.
   * @param reply Reply to the last request; none starts a round.
   * @return False if the round is over.
   */
  bool PrepareNext(billing_process& process,
                   const std::optional<infra::reply>& reply) {
    if (!reply) {
      process.next = usage::BeginBilling(process.biller);
      process.is_report = false;
      return true;
    }
    auto step = usage::OnBillingReply(
        process.biller, *reply,
        lease::FencingCondition(process.contender, options),
        process.contender.fencing, true);
    process.is_report = std::holds_alternative<usage::billing_report>(step);
    if (process.is_report) {
      process.next = std::get<usage::billing_report>(step).report;
      return lease::IsHeld(process.contender, now);
    }
    if (auto* request = std::get_if<infra::request>(&step)) {
      process.next = *request;
      return true;
    }
    process.next.reset();
    return false;
  }

  /** @brief Runs a round of at most `max_requests`; returns their number. */
  int RunRound(billing_process& process, int max_requests = 1000) {
    int count = 0;
    std::optional<infra::reply> reply;
    while (PrepareNext(process, reply) && count < max_requests) {
      reply = Handle(store, *process.next);
      ++count;
    }
    return count;
  }

  void Flush(const usage::ledger& source) {
    usage::flush flush;
    auto step = usage::BeginFlush(flush, source);
    for (int i = 0; i < 10; ++i) {
      const auto* request = std::get_if<infra::request>(&step);
      if (!request) {
        return;
      }
      step = usage::OnFlushReply(flush, Handle(store, *request));
    }
  }

  /** @brief Sums the reported completion tokens, each window once. */
  [[nodiscard]] std::uint64_t SumReported(const std::string& account) const {
    std::uint64_t total = 0;
    for (const auto& [unused, body] : store.reported) {
      const auto parsed = boost::json::parse(body);
      const auto* used = parsed.at("accounts").as_object().if_contains(account);
      total +=
          used ? used->at("completion_tokens").to_number<std::uint64_t>() : 0;
    }
    return total;
  }

  /** @brief Checks that all reports of a window have the same body. */
  void CheckWindowBodies() const {
    std::map<std::string, std::string> first;
    for (const auto& report : store.reports) {
      const auto body = first.try_emplace(report.window, report.body).first;
      BOOST_TEST(body->second == report.body);
    }
  }

  void TakeLease(std::size_t process) {
    TickLease(processes[process]);
    TickLease(processes[process]);
    BOOST_REQUIRE(lease::IsHeld(processes[process].contender, now));
  }
};

usage::amounts Tokens(std::uint64_t count) {
  return {1, 2, count};
}

BOOST_FIXTURE_TEST_SUITE(usage_reports, billing_fleet)

BOOST_AUTO_TEST_CASE(ledger_written_twice_is_billed_once) {
  usage::ledger ledger;
  ledger.incarnation = "e#1";
  usage::Record(ledger, "x", Tokens(7));
  Flush(ledger);
  Flush(ledger);
  TakeLease(0);
  RunRound(processes[0]);
  RunRound(processes[0]);
  RunRound(processes[0]);
  BOOST_TEST(SumReported("x") == 7);
}

BOOST_AUTO_TEST_CASE(older_copy_written_after_newer_changes_nothing) {
  usage::ledger ledger;
  ledger.incarnation = "e#1";
  usage::Record(ledger, "x", Tokens(7));
  const auto copy = ledger;
  usage::Record(ledger, "x", Tokens(5));
  Flush(ledger);
  Flush(copy);
  TakeLease(0);
  for (int i = 0; i < 4; ++i) {
    RunRound(processes[0]);
  }
  BOOST_TEST(SumReported("x") == 12);
}

BOOST_AUTO_TEST_CASE(deltas_lost_or_late_copy_equals_a_past_ledger) {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    usage::ledger ledger;
    ledger.incarnation = "e#1";
    std::map<std::uint64_t, usage::ledger> past;
    usage::copy_store holder;
    std::vector<usage::ledger_delta> late;
    for (int step = 0; step < 60; ++step) {
      const std::string account = "acc" + std::to_string(random() % 4);
      usage::Record(ledger, account, Tokens(random() % 9));
      past[ledger.sequence] = ledger;
      const auto delta = usage::LastDelta(ledger, account);
      if (random() % 4 == 0) {
        late.push_back(delta);
      } else if (!usage::OnDelta(holder, delta) && random() % 2 == 0) {
        usage::OnCopy(holder, ledger);
      }
      if (!late.empty() && random() % 5 == 0) {
        static_cast<void>(usage::OnDelta(holder, late.back()));
        late.pop_back();
      }
      if (holder.copies.contains("e#1")) {
        const auto& copy = holder.copies.at("e#1");
        BOOST_TEST((copy == past.at(copy.sequence)), "seed " << seed);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(window_rows_sort_by_number) {
  BOOST_TEST(usage::WindowRow(9) < usage::WindowRow(10));
  BOOST_TEST(usage::WindowRow(99) < usage::WindowRow(1000));
}

BOOST_AUTO_TEST_CASE(owner_dead_copy_flushed_by_holder_is_billed) {
  usage::ledger ledger;
  ledger.incarnation = "e#1";
  usage::Record(ledger, "x", Tokens(7));
  Flush(ledger);
  usage::Record(ledger, "x", Tokens(5));
  usage::copy_store holder;
  usage::OnCopy(holder, ledger);
  Flush(holder.copies.at("e#1"));
  TakeLease(0);
  for (int i = 0; i < 4; ++i) {
    RunRound(processes[0]);
  }
  BOOST_TEST(SumReported("x") == 12);
}

BOOST_AUTO_TEST_CASE(flush_replies_lost_ledger_is_billed_once) {
  usage::ledger ledger;
  ledger.incarnation = "e#1";
  usage::Record(ledger, "x", Tokens(7));
  store.faults.lost_replies = 3;
  for (int i = 0; i < 6; ++i) {
    Flush(ledger);
  }
  store.faults.lost_replies = 0;
  TakeLease(0);
  for (int i = 0; i < 4; ++i) {
    RunRound(processes[0]);
  }
  BOOST_TEST(SumReported("x") == 7);
}

BOOST_AUTO_TEST_CASE(
    biller_killed_before_each_request_successor_repeats_report) {
  for (int at = 0; at < 12; ++at) {
    BOOST_TEST_CONTEXT("killed before request " << at) {
      billing_fleet fresh;
      usage::ledger ledger;
      ledger.incarnation = "e#1";
      usage::Record(ledger, "x", Tokens(7));
      fresh.Flush(ledger);
      fresh.TakeLease(0);
      int requests_left = at;
      for (int round = 0; round < 3; ++round) {
        requests_left -=
            fresh.RunRound(fresh.processes[0], std::max(0, requests_left));
      }
      usage::Record(ledger, "x", Tokens(4));
      fresh.Flush(ledger);
      fresh.TickLease(fresh.processes[1]);
      fresh.now += 10s;
      fresh.TakeLease(1);
      for (int round = 0; round < 5; ++round) {
        fresh.RunRound(fresh.processes[1]);
      }
      fresh.CheckWindowBodies();
      BOOST_TEST(fresh.SumReported("x") == 11);
    }
  }
}

BOOST_AUTO_TEST_CASE(reply_lost_at_each_write_window_has_one_body) {
  for (std::uint32_t lost = 1; lost <= 6; ++lost) {
    billing_fleet fresh;
    usage::ledger ledger;
    ledger.incarnation = "e#1";
    usage::Record(ledger, "x", Tokens(7));
    fresh.Flush(ledger);
    fresh.TakeLease(0);
    fresh.store.faults.lost_replies = lost;
    for (int round = 0; round < 12; ++round) {
      fresh.now += 500ms;
      fresh.TickLease(fresh.processes[0]);
      if (lease::IsHeld(fresh.processes[0].contender, fresh.now)) {
        fresh.RunRound(fresh.processes[0]);
      }
      if (round == 4) {
        usage::Record(ledger, "x", Tokens(2));
        fresh.Flush(ledger);
      }
    }
    for (int round = 0; round < 40; ++round) {
      fresh.now += 500ms;
      fresh.TickLease(fresh.processes[0]);
      fresh.RunRound(fresh.processes[0]);
    }
    fresh.CheckWindowBodies();
    BOOST_TEST(fresh.SumReported("x") == 9);
  }
}

BOOST_AUTO_TEST_CASE(biller_paused_at_each_request_reports_stay_the_same) {
  for (int at = 0; at < 12; ++at) {
    BOOST_TEST_CONTEXT("paused before request " << at) {
      billing_fleet fresh;
      usage::ledger ledger;
      ledger.incarnation = "e#1";
      usage::Record(ledger, "x", Tokens(7));
      fresh.Flush(ledger);
      fresh.TakeLease(0);
      auto& paused = fresh.processes[0];
      int requests_left = at;
      std::optional<infra::reply> reply;
      while (fresh.PrepareNext(paused, reply) && requests_left > 0) {
        reply = Handle(fresh.store, *paused.next);
        --requests_left;
      }
      fresh.TickLease(fresh.processes[1]);
      fresh.now += 10s;
      fresh.TakeLease(1);
      fresh.RunRound(fresh.processes[1]);
      usage::Record(ledger, "x", Tokens(4));
      fresh.Flush(ledger);
      fresh.RunRound(fresh.processes[1]);
      const bool was_report = paused.is_report;
      if (paused.next &&
          (!was_report || lease::IsHeld(paused.contender, fresh.now))) {
        reply = Handle(fresh.store, *paused.next);
        while (fresh.PrepareNext(paused, reply)) {
          reply = Handle(fresh.store, *paused.next);
        }
      }
      for (int round = 0; round < 4; ++round) {
        fresh.RunRound(fresh.processes[1]);
      }
      fresh.CheckWindowBodies();
      BOOST_TEST(fresh.SumReported("x") == 11);
    }
  }
}

BOOST_AUTO_TEST_CASE(totals_random_work_equal_naive_sum) {
  for (unsigned seed = 1; seed <= 100; ++seed) {
    billing_fleet fresh;
    std::mt19937 random(seed);
    std::map<std::string, std::uint64_t> expected;
    std::vector<usage::ledger> ledgers(4);
    for (std::size_t i = 0; i < ledgers.size(); ++i) {
      ledgers[i].incarnation = std::to_string(i) + "#1";
    }
    fresh.TakeLease(0);
    for (int step = 0; step < 60; ++step) {
      auto& ledger = ledgers[random() % ledgers.size()];
      const std::string account = "acc" + std::to_string(random() % 5);
      const auto tokens = random() % 100;
      usage::Record(ledger, account, Tokens(tokens));
      expected[account] += tokens;
      if (random() % 3 == 0) {
        fresh.store.faults.lost_replies = random() % 2;
        fresh.Flush(ledger);
      }
      if (random() % 4 == 0) {
        fresh.RunRound(fresh.processes[0]);
      }
    }
    fresh.store.faults.lost_replies = 0;
    for (const auto& ledger : ledgers) {
      fresh.Flush(ledger);
    }
    for (int round = 0; round < 100; ++round) {
      fresh.RunRound(fresh.processes[0]);
    }
    for (const auto& [account, tokens] : expected) {
      BOOST_TEST(fresh.SumReported(account) == tokens, "seed " << seed);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
