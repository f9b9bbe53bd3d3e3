#define BOOST_TEST_MODULE soak_judge
#include <boost/test/included/unit_test.hpp>

#include "platform/upstream_stand_in.h"
#include "soak/judge.h"
#include "soak/stop_judge.h"

namespace {

using namespace std::chrono_literals;
using mimosadeck::mono_time;
using mimosadeck::platform_test::WholeBody;
using mimosadeck::platform_test::WholeStream;
using mimosadeck::soak::judge;
using mimosadeck::soak::judge_options;
using mimosadeck::soak::judged_request;
using mimosadeck::soak::observed_run;
using mimosadeck::soak::planned_stop;
using mimosadeck::soak::promise;
using mimosadeck::soak::request_kind;
using mimosadeck::soak::response;
using mimosadeck::soak::sent_request;
using mimosadeck::soak::stop_outcome;
using mimosadeck::soak::stop_rule;

/** A judge, and events that keep every promise unless a test changes them. */
struct judge_fixture {
  judge checks{judge_options{}};
  mono_time now{mono_time{} + 1h};

  judge_fixture() { checks.OnManifest(1, now - 30min); }

  sent_request Sent(const std::string& id, request_kind kind) const {
    sent_request out;
    out.id = id;
    out.kind = kind;
    out.account = "parish";
    out.entry = "entry-1";
    out.process = "entry-1#1";
    out.at = now;
    return out;
  }

  observed_run Run(const std::string& id, const std::string& upstream) const {
    observed_run out;
    out.request = id;
    out.upstream = upstream;
    out.stamp = upstream + "/1";
    out.account = "parish";
    out.at = now;
    return out;
  }

  response Answer(const std::string& id, int status) const {
    response out;
    out.request = id;
    out.status = status;
    out.is_complete = true;
    out.at = now;
    return out;
  }

  response Success(const std::string& id, const std::string& upstream) const {
    auto out = Answer(id, 200);
    out.stamp = upstream + "/1";
    out.body = WholeBody(id, out.stamp);
    return out;
  }

  /** Sends a request and runs it at `u1`; it has no answer yet. */
  void SendAndRun(const std::string& id, request_kind kind) {
    checks.OnSent(Sent(id, kind));
    checks.OnRun(Run(id, "u1"));
  }

  void CheckBroken(promise expected) const {
    BOOST_REQUIRE(checks.Violations().size() == 1);
    BOOST_TEST(NameOf(checks.Violations().front().broken) == NameOf(expected));
  }

  void CheckNoneBroken() const {
    for (const auto& violation : checks.Violations()) {
      BOOST_TEST_MESSAGE(NameOf(violation.broken) << ' ' << violation.detail);
    }
    BOOST_TEST(checks.Violations().empty());
  }
};

BOOST_FIXTURE_TEST_SUITE(runs, judge_fixture)

BOOST_AUTO_TEST_CASE(booking_that_ran_once_keeps_the_promise) {
  SendAndRun("r1", request_kind::booking);
  checks.OnAnswer(Success("r1", "u1"));
  CheckNoneBroken();
  BOOST_TEST(checks.Counts().answers.at("served") == 1);
}

BOOST_AUTO_TEST_CASE(booking_that_ran_twice_is_found) {
  SendAndRun("r1", request_kind::booking);
  checks.OnRun(Run("r1", "u2"));
  CheckBroken(promise::at_most_once);
}

BOOST_AUTO_TEST_CASE(single_stream_that_ran_twice_is_found) {
  SendAndRun("r1", request_kind::single_stream);
  checks.OnRun(Run("r1", "u2"));
  CheckBroken(promise::at_most_once);
}

BOOST_AUTO_TEST_CASE(idempotent_request_may_run_twice) {
  SendAndRun("r1", request_kind::idempotent);
  checks.OnRun(Run("r1", "u2"));
  checks.OnAnswer(Success("r1", "u2"));
  CheckNoneBroken();
}

BOOST_AUTO_TEST_CASE(run_of_a_request_that_was_never_sent_is_found) {
  checks.OnRun(Run("r9", "u1"));
  CheckBroken(promise::right_account);
}

BOOST_AUTO_TEST_CASE(wrong_account_is_found) {
  checks.OnSent(Sent("r1", request_kind::idempotent));
  auto run = Run("r1", "u1");
  run.account = "forged";
  checks.OnRun(run);
  CheckBroken(promise::right_account);
}

BOOST_AUTO_TEST_CASE(key_that_reaches_an_upstream_is_found) {
  checks.OnSent(Sent("r1", request_kind::idempotent));
  auto run = Run("r1", "u1");
  run.has_key = true;
  checks.OnRun(run);
  CheckBroken(promise::right_account);
}

BOOST_AUTO_TEST_CASE(request_with_an_unknown_key_that_runs_is_found) {
  auto sent = Sent("r1", request_kind::idempotent);
  sent.account.clear();
  checks.OnSent(std::move(sent));
  checks.OnRun(Run("r1", "u1"));
  CheckBroken(promise::right_account);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(answers, judge_fixture)

BOOST_AUTO_TEST_CASE(refusal_of_a_request_that_ran_is_found) {
  SendAndRun("r1", request_kind::booking);
  checks.OnAnswer(Answer("r1", 503));
  CheckBroken(promise::truthful_refusal);
}

BOOST_AUTO_TEST_CASE(run_after_a_refusal_is_found) {
  checks.OnSent(Sent("r1", request_kind::booking));
  checks.OnAnswer(Answer("r1", 503));
  checks.OnRun(Run("r1", "u1"));
  CheckBroken(promise::truthful_refusal);
}

BOOST_AUTO_TEST_CASE(bad_gateway_after_a_run_is_allowed) {
  SendAndRun("r1", request_kind::booking);
  checks.OnAnswer(Answer("r1", 502));
  CheckNoneBroken();
}

BOOST_AUTO_TEST_CASE(success_without_a_run_is_found) {
  checks.OnSent(Sent("r1", request_kind::idempotent));
  checks.OnAnswer(Success("r1", "u1"));
  CheckBroken(promise::whole_answer);
}

BOOST_AUTO_TEST_CASE(answer_to_another_request_is_found) {
  SendAndRun("r1", request_kind::idempotent);
  auto answer = Success("r1", "u1");
  answer.body = WholeBody("r2", "u1/1");
  checks.OnAnswer(answer);
  CheckBroken(promise::whole_answer);
}

BOOST_AUTO_TEST_CASE(failure_of_an_upstream_shown_as_success_is_found) {
  checks.OnSent(Sent("r1", request_kind::idempotent));
  auto run = Run("r1", "u1");
  run.status = 500;
  checks.OnRun(run);
  checks.OnAnswer(Success("r1", "u1"));
  CheckBroken(promise::whole_answer);
}

BOOST_AUTO_TEST_CASE(other_status_than_the_upstreams_is_found) {
  checks.OnSent(Sent("r1", request_kind::idempotent));
  auto run = Run("r1", "u1");
  run.status = 500;
  checks.OnRun(run);
  auto answer = Answer("r1", 502);
  answer.stamp = "u1/1";
  checks.OnAnswer(answer);
  CheckBroken(promise::whole_answer);
}

BOOST_AUTO_TEST_CASE(stream_that_lacks_an_event_is_found) {
  SendAndRun("r1", request_kind::single_stream);
  auto answer = Success("r1", "u1");
  answer.body = WholeStream("r1");
  answer.body.erase(0, answer.body.find("id: 2"));
  checks.OnAnswer(answer);
  CheckBroken(promise::whole_answer);
}

BOOST_AUTO_TEST_CASE(stream_that_ends_early_as_complete_is_found) {
  SendAndRun("r1", request_kind::single_stream);
  auto answer = Success("r1", "u1");
  answer.body = WholeStream("r1");
  answer.body.resize(answer.body.find("id: 5"));
  checks.OnAnswer(answer);
  CheckBroken(promise::whole_answer);
}

BOOST_AUTO_TEST_CASE(stream_broken_by_its_upstream_is_allowed) {
  checks.OnSent(Sent("r1", request_kind::single_stream));
  auto run = Run("r1", "u1");
  run.aborts = true;
  checks.OnRun(run);
  auto answer = Success("r1", "u1");
  answer.body = WholeStream("r1");
  answer.body.resize(answer.body.find("id: 5"));
  answer.is_complete = false;
  checks.OnAnswer(answer);
  CheckNoneBroken();
}

BOOST_AUTO_TEST_CASE(connection_closed_while_the_upstream_works_is_found) {
  SendAndRun("r1", request_kind::booking);
  checks.OnAnswer(Answer("r1", 0));
  CheckBroken(promise::answered);
}

BOOST_AUTO_TEST_CASE(broken_answer_during_a_planned_stop_is_found) {
  checks.OnFaultBegan("entry-1", true, now - 1s);
  SendAndRun("r1", request_kind::booking);
  checks.OnAnswer(Answer("r1", 0));
  CheckBroken(promise::answered);
}

BOOST_AUTO_TEST_CASE(connection_of_a_killed_entry_may_end) {
  SendAndRun("r1", request_kind::booking);
  checks.OnFaultBegan("entry-1", false, now);
  checks.OnAnswer(Answer("r1", 0));
  CheckNoneBroken();
}

BOOST_AUTO_TEST_CASE(request_that_was_always_allowed_and_forbidden_is_found) {
  checks.OnSent(Sent("r1", request_kind::idempotent));
  checks.OnAnswer(Answer("r1", 401));
  CheckBroken(promise::allowed_request);
}

BOOST_AUTO_TEST_SUITE_END()

/** Manifest 2 added a route that manifest 4 dropped. */
struct dropped_route_fixture : judge_fixture {
  dropped_route_fixture() {
    checks.OnManifest(2, now - 20min);
    checks.OnManifest(4, now - 3s);
  }

  sent_request SentTo(const std::string& id,
                      std::uint64_t first,
                      std::uint64_t last) const {
    auto out = Sent(id, request_kind::idempotent);
    out.first_manifest = first;
    out.last_manifest = last;
    return out;
  }

  void SendAndRunOn(const std::string& id,
                    std::uint64_t first,
                    std::uint64_t last) {
    checks.OnSent(SentTo(id, first, last));
    checks.OnRun(Run(id, "u1"));
  }
};

BOOST_FIXTURE_TEST_SUITE(manifests, dropped_route_fixture)

BOOST_AUTO_TEST_CASE(dropped_route_that_runs_after_the_bound_is_found) {
  SendAndRunOn("r1", 2, 3);
  CheckBroken(promise::withdrawn_right);
}

BOOST_AUTO_TEST_CASE(dropped_route_of_an_entry_with_a_fault_is_allowed) {
  checks.OnFaultBegan("entry-1", false, now - 2s);
  checks.OnFaultEnded("entry-1", false, now - 1s);
  SendAndRunOn("r1", 2, 3);
  CheckNoneBroken();
}

BOOST_AUTO_TEST_CASE(dropped_route_before_the_bound_is_allowed) {
  now -= 2s;
  SendAndRunOn("r1", 2, 3);
  CheckNoneBroken();
}

BOOST_AUTO_TEST_CASE(process_that_returns_to_an_older_manifest_is_found) {
  now -= 2500ms;
  SendAndRunOn("r1", 4, 5);
  now += 400ms;
  SendAndRunOn("r2", 2, 3);
  CheckBroken(promise::manifest_order);
}

BOOST_AUTO_TEST_CASE(restarted_process_may_begin_with_an_older_manifest) {
  now -= 2500ms;
  SendAndRunOn("r1", 4, 5);
  now += 400ms;
  auto sent = SentTo("r2", 2, 3);
  sent.process = "entry-1#2";
  checks.OnSent(std::move(sent));
  checks.OnRun(Run("r2", "u1"));
  CheckNoneBroken();
}

BOOST_AUTO_TEST_CASE(process_that_refuses_a_route_it_served_is_found) {
  SendAndRunOn("r1", 4, 5);
  now += 400ms;
  checks.OnSent(SentTo("r2", 4, 5));
  checks.OnAnswer(Answer("r2", 404));
  CheckBroken(promise::manifest_order);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(leaving_upstreams, judge_fixture)

BOOST_AUTO_TEST_CASE(request_to_a_leaving_upstream_after_the_bound_is_found) {
  checks.OnLeaving("u1", now - 3s);
  SendAndRun("r1", request_kind::idempotent);
  CheckBroken(promise::leaving_upstream);
}

BOOST_AUTO_TEST_CASE(
    request_to_a_leaving_upstream_before_the_bound_is_allowed) {
  checks.OnLeaving("u1", now - 1s);
  SendAndRun("r1", request_kind::idempotent);
  CheckNoneBroken();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(duties, judge_fixture)

BOOST_AUTO_TEST_CASE(exact_repeat_of_a_report_is_allowed) {
  checks.OnReport({"7", R"({"a":1})", "entry-1", 3, true});
  checks.OnReport({"7", R"({"a":1})", "entry-2", 4, true});
  CheckNoneBroken();
}

BOOST_AUTO_TEST_CASE(two_accepted_counts_for_a_window_are_found) {
  checks.OnReport({"7", R"({"a":1})", "entry-1", 3, true});
  checks.OnReport({"7", R"({"a":2})", "entry-1", 3, true});
  CheckBroken(promise::one_report);
}

BOOST_AUTO_TEST_CASE(refused_report_with_other_counts_is_allowed) {
  checks.OnReport({"7", R"({"a":1})", "entry-1", 3, true});
  checks.OnReport({"7", R"({"a":2})", "entry-2", 2, false});
  CheckNoneBroken();
}

BOOST_AUTO_TEST_CASE(two_holders_of_a_fencing_number_are_found) {
  checks.OnReport({"7", R"({"a":1})", "entry-1", 3, true});
  checks.OnReport({"8", R"({"a":1})", "entry-2", 3, true});
  CheckBroken(promise::one_holder);
}

BOOST_AUTO_TEST_CASE(entry_that_does_not_serve_again_is_found) {
  checks.OnRecovery("entry-1", true);
  checks.OnRecovery("entry-2", false);
  CheckBroken(promise::recovery);
}

BOOST_AUTO_TEST_SUITE_END()

/** A stop with a grace period of 8 s, and a stream that it cuts at its end. */
struct stop_fixture : judge_fixture {
  stop_rule rule;
  planned_stop stop;
  judged_request stream;

  stop_fixture() {
    stop.at = now;
    stop.grace = 8s;
    stop.exited = now + 7640ms;
    stream.sent = Sent("r1", request_kind::single_stream);
    stream.sent.limit = 15s;
    stream.answer = Answer("r1", 200);
    stream.answer->is_complete = false;
    stream.answer->failure = "partial message";
    stream.answer->at = now + 7600ms;
    stream.runs = {Run("r1", "u1")};
    SendAt(3200ms);
  }

  void SendAt(std::chrono::milliseconds time) {
    stream.sent.at = now + time;
    stream.runs.front().at = now + time + 10ms;
  }

  void CutAt(std::chrono::milliseconds time) {
    stream.answer->at = now + time;
    stream.runs.front().ended = now + time;
  }

  void CheckOutcome(stop_outcome expected) const {
    BOOST_TEST(NameOf(Judge(rule, stream, stop)) == NameOf(expected));
  }
};

BOOST_FIXTURE_TEST_SUITE(stops, stop_fixture)

BOOST_AUTO_TEST_CASE(stream_sent_after_notice_and_cut_counts) {
  CheckOutcome(stop_outcome::cut);
  BOOST_TEST(IsCounted(stop_outcome::cut));
}

BOOST_AUTO_TEST_CASE(stream_sent_in_notice_may_outlast_the_stop) {
  SendAt(3000ms);
  CheckOutcome(stop_outcome::outlasted_stop);
  SendAt(-2s);
  CheckOutcome(stop_outcome::outlasted_stop);
}

BOOST_AUTO_TEST_CASE(stream_cut_before_the_last_sixth_counts) {
  SendAt(1s);
  CutAt(6660ms);
  stop.exited = now + 6700ms;
  CheckOutcome(stop_outcome::cut);
  stop.exited = now + 7640ms;
  CheckOutcome(stop_outcome::cut_early);
}

BOOST_AUTO_TEST_CASE(stream_whose_upstream_was_done_before_the_cut_counts) {
  SendAt(1s);
  stream.runs.front().ended = now + 6s;
  CheckOutcome(stop_outcome::cut);
}

BOOST_AUTO_TEST_CASE(stream_that_reached_its_limit_does_not_count) {
  stream.sent.limit = 4400ms;
  CheckOutcome(stop_outcome::limit_reached);
  stream.sent.limit = 4401ms;
  CheckOutcome(stop_outcome::cut);
}

BOOST_AUTO_TEST_CASE(stream_that_its_last_upstream_broke_off_does_not_count) {
  stream.runs.front().aborts = true;
  CheckOutcome(stop_outcome::upstream_broke_off);
  stream.runs.push_back(Run("r1", "u2"));
  CheckOutcome(stop_outcome::cut);
  stream.runs.back().is_finished = true;
  CheckOutcome(stop_outcome::upstream_broke_off);
}

BOOST_AUTO_TEST_CASE(request_held_without_a_run_counts_only_if_it_was_read) {
  stream.runs.clear();
  stream.answer->failure = "end of stream";
  CheckOutcome(stop_outcome::cut);
  stream.answer->failure = "Connection reset by peer";
  CheckOutcome(stop_outcome::unread);
  stream.answer->failure = "end of stream";
  stream.answer->at = stream.sent.at + rule.loss_slack;
  CheckOutcome(stop_outcome::unread);
}

BOOST_AUTO_TEST_CASE(refused_repeat_is_refused_for_good) {
  stream.answer = Answer("r1", 503);
  CheckOutcome(stop_outcome::refused);
  stream.sent.is_repeat = true;
  CheckOutcome(stop_outcome::refused_for_good);
}

BOOST_AUTO_TEST_CASE(slow_machine_judges_only_cuts_before_the_last_sixth) {
  rule.timed = false;
  CheckOutcome(stop_outcome::outlasted_stop);
  SendAt(1s);
  CutAt(5s);
  CheckOutcome(stop_outcome::cut_early);
  CutAt(-1s);
  CheckOutcome(stop_outcome::beside_no_stop);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
