#include "soak/judge.h"

#include <algorithm>
#include <array>

#include "platform/upstream_stand_in.h"

namespace mimosadeck::soak {
namespace internal {
namespace {

constexpr std::string_view kEverything = "everything";
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kFirstErrorStatus = 400;

struct fault_interval {
  std::string scope;
  bool planned{};
  mono_time began;
  std::optional<mono_time> ended;
};

/** A manifest version that a process is seen to use, and since when. */
struct manifest_use {
  mono_time at;
  std::uint64_t version{};
};

bool IsNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

bool IsRepeatable(request_kind kind) {
  return kind == request_kind::idempotent ||
         kind == request_kind::resumable_stream;
}

}  // namespace
}  // namespace internal

std::string_view NameOf(promise kind) {
  constexpr std::array<std::string_view, 12> kNames{
      "at_most_once",   "truthful_refusal", "whole_answer",
      "right_account",  "withdrawn_right",  "leaving_upstream",
      "manifest_order", "allowed_request",  "one_report",
      "one_holder",     "answered",         "recovery"};
  return kNames.at(static_cast<std::size_t>(kind));
}

bool IsStream(request_kind kind) {
  return kind == request_kind::resumable_stream ||
         kind == request_kind::single_stream;
}

struct judge::impl {
  explicit impl(const judge_options& options) : options(options) {}

  void Fail(promise broken, const std::string& request, std::string detail) {
    violations.push_back({broken, request, std::move(detail)});
  }

  /** Returns whether no fault affected a scope from `fault_margin` before
   * `from` until `to`; planned ones count only if `with_planned`. */
  [[nodiscard]] bool IsStable(const std::string& scope,
                              mono_time from,
                              mono_time to,
                              bool with_planned) const {
    return std::none_of(faults.begin(), faults.end(), [&](const auto& fault) {
      const bool affects_scope =
          fault.scope == scope || fault.scope == internal::kEverything;
      return affects_scope && (with_planned || !fault.planned) &&
             fault.began <= to &&
             (!fault.ended || *fault.ended + options.fault_margin >= from);
    });
  }

  [[nodiscard]] bool IsEntryStable(const sent_request& sent,
                                   mono_time to) const {
    return IsStable(sent.entry, sent.at, to, true);
  }

  /** Returns the oldest manifest that the process may use for a request. */
  [[nodiscard]] std::uint64_t MinManifest(const sent_request& sent) const {
    const auto found = uses.find(sent.process);
    if (found == uses.end()) {
      return 0;
    }
    const auto slack = IsEntryStable(sent, sent.at)
                           ? options.order_slack
                           : options.order_slack_after_fault;
    std::uint64_t version = 0;
    for (const auto& observed : found->second) {
      if (observed.at + slack <= sent.at) {
        version = observed.version;
      }
    }
    return version;
  }

  void RecordManifestUse(const sent_request& sent, mono_time at) {
    auto& history = uses[sent.process];
    if (history.empty() || history.back().version < sent.first_manifest) {
      history.push_back({at, sent.first_manifest});
    }
  }

  void CheckAuth(const sent_request& sent, const observed_run& run) {
    if (sent.account.empty() || run.account != sent.account || run.has_key) {
      Fail(promise::right_account, sent.id,
           run.upstream + " received account '" + run.account +
               "' instead of '" + sent.account + "'" +
               (run.has_key ? " and the key" : ""));
    }
    if (sent.last_manifest < MinManifest(sent)) {
      Fail(promise::manifest_order, sent.id,
           sent.process + " forwarded a request that manifest " +
               std::to_string(MinManifest(sent)) + " no longer allows");
    }
    if (!options.timed) {
      return;
    }
    const auto replaced = manifests.upper_bound(sent.last_manifest);
    if (replaced != manifests.end() &&
        sent.at > replaced->second + options.manifest_bound &&
        IsEntryStable(sent, run.at)) {
      Fail(promise::withdrawn_right, sent.id,
           sent.process + " forwarded a request that manifest " +
               std::to_string(replaced->first) + " had withdrawn");
    }
    const auto leaving_since = leaving.find(run.upstream);
    if (leaving_since != leaving.end() && sent.at > leaving_since->second &&
        run.at > leaving_since->second + options.leaving_bound &&
        IsEntryStable(sent, run.at)) {
      Fail(promise::leaving_upstream, sent.id,
           sent.process + " forwarded to draining " + run.upstream);
    }
  }

  void CheckSuccess(const judged_request& found, const response& answer) {
    const auto by_stamp = [&answer](const auto& run) {
      return run.stamp == answer.stamp;
    };
    const auto run =
        std::find_if(found.runs.begin(), found.runs.end(), by_stamp);
    if (run == found.runs.end()) {
      Fail(promise::whole_answer, answer.request,
           "no run has the stamp '" + answer.stamp + "'");
      return;
    }
    if (run->status != answer.status) {
      Fail(promise::whole_answer, answer.request,
           "the upstream answered " + std::to_string(run->status));
    }
    const auto expected =
        IsStream(found.sent.kind)
            ? platform_test::WholeStream(answer.request)
            : platform_test::WholeBody(answer.request, answer.stamp);
    const bool matches = answer.is_complete ? answer.body == expected
                                            : expected.starts_with(answer.body);
    if (!matches) {
      Fail(promise::whole_answer, answer.request,
           std::string(answer.is_complete ? "complete" : "partial") +
               " body differs: " + answer.body);
    }
  }

  void CheckFailure(const judged_request& found, const response& answer) {
    if (internal::IsNotRun(answer.status) && !found.runs.empty()) {
      Fail(promise::truthful_refusal, answer.request,
           "answered " + std::to_string(answer.status) + ", ran at " +
               found.runs.front().upstream);
    }
    if (!answer.stamp.empty()) {
      const bool has_run = std::any_of(
          found.runs.begin(), found.runs.end(), [&answer](const auto& run) {
            return run.stamp == answer.stamp && run.status == answer.status;
          });
      if (!has_run) {
        Fail(promise::whole_answer, answer.request,
             "no run with stamp " + answer.stamp + " ended with " +
                 std::to_string(answer.status));
      }
    }
    const bool forbidden = answer.status == internal::kUnauthorized ||
                           answer.status == internal::kNotFound;
    if (forbidden && !found.sent.account.empty()) {
      CheckForbidden(found.sent, answer);
    }
  }

  void CheckForbidden(const sent_request& sent, const response& answer) {
    const auto newest = manifests.empty() ? 0 : manifests.rbegin()->first;
    const bool allowed = sent.first_manifest == 0 &&
                         sent.last_manifest >= newest && !manifests.empty();
    const bool went_back = sent.first_manifest > 0 &&
                           MinManifest(sent) >= sent.first_manifest &&
                           newest <= sent.last_manifest;
    if (allowed || went_back) {
      Fail(allowed ? promise::allowed_request : promise::manifest_order,
           sent.id,
           sent.process + " answered " + std::to_string(answer.status) +
               " with manifest " + std::to_string(newest));
    }
  }

  void CheckInterrupted(const judged_request& found, const response& answer) {
    const bool excused =
        std::any_of(found.runs.begin(), found.runs.end(), [&](const auto& run) {
          return run.aborts ||
                 !IsStable(run.upstream, found.sent.at, answer.at, false);
        });
    if (found.runs.empty() || excused ||
        !IsStable(found.sent.entry, found.sent.at, answer.at, false)) {
      return;
    }
    Fail(promise::answered, answer.request,
         found.sent.process + " closed the connection while " +
             found.runs.back().upstream + " was running");
  }

  judge_options options;
  std::map<std::string, judged_request> records;
  std::map<std::uint64_t, mono_time> manifests;
  std::map<std::string, mono_time> leaving;
  std::map<std::string, std::vector<internal::manifest_use>> uses;
  std::vector<internal::fault_interval> faults;
  std::map<std::string, std::string> accepted_counts;
  std::map<std::uint64_t, std::string> holders;
  std::vector<violation> violations;
  judged_counts counts;
};

judge::judge(const judge_options& options)
    : impl_(std::make_unique<impl>(options)) {}

judge::~judge() = default;

void judge::OnSent(sent_request request) {
  const auto id = request.id;
  impl_->records[id].sent = std::move(request);
}

void judge::OnRun(const observed_run& run) {
  ++impl_->counts.runs;
  const auto found = impl_->records.find(run.request);
  if (found == impl_->records.end()) {
    impl_->Fail(promise::right_account, run.request, "no caller sent it");
    return;
  }
  auto& known = found->second;
  if (!known.runs.empty() && !internal::IsRepeatable(known.sent.kind)) {
    impl_->Fail(
        promise::at_most_once, run.request,
        "ran at " + known.runs.front().upstream + " and at " + run.upstream);
  }
  if (known.answer && internal::IsNotRun(known.answer->status)) {
    impl_->Fail(promise::truthful_refusal, run.request,
                "ran at " + run.upstream + " after the answer " +
                    std::to_string(known.answer->status));
  }
  impl_->CheckAuth(known.sent, run);
  impl_->RecordManifestUse(known.sent, run.at);
  known.runs.push_back(run);
}

void judge::OnRunEnded(const std::string& request,
                       const std::string& stamp,
                       bool is_finished,
                       bool broke_off) {
  const auto found = impl_->records.find(request);
  if (found == impl_->records.end()) {
    return;
  }
  for (auto& run : found->second.runs) {
    if (run.stamp == stamp && !run.ended) {
      run.ended = SuspendAwareNow();
      run.is_finished = is_finished;
      run.aborts = run.aborts || broke_off;
    }
  }
}

const std::map<std::string, judged_request>& judge::Requests() const {
  return impl_->records;
}

void judge::OnAnswer(const response& answer) {
  const auto found = impl_->records.find(answer.request);
  if (found == impl_->records.end()) {
    impl_->Fail(promise::whole_answer, answer.request, "no caller sent it");
    return;
  }
  ++impl_->counts.requests;
  auto& known = found->second;
  known.answer = answer;
  if (answer.caller_left) {
    ++impl_->counts.answers["left"];
    return;
  }
  const bool success = internal::IsSuccess(answer.status);
  if (success) {
    impl_->CheckSuccess(known, answer);
  } else if (answer.status >= internal::kFirstErrorStatus) {
    impl_->CheckFailure(known, answer);
  }
  if (!answer.is_complete || answer.status == 0) {
    impl_->CheckInterrupted(known, answer);
    ++impl_->counts.answers["broken"];
  } else if (success) {
    ++impl_->counts.answers["served"];
  } else {
    ++impl_->counts
          .answers[internal::IsNotRun(answer.status) ? "refused" : "failed"];
  }
}

void judge::OnManifest(std::uint64_t version, mono_time at) {
  impl_->manifests.emplace(version, at);
}

void judge::OnLeaving(const std::string& upstream, mono_time at) {
  impl_->leaving[upstream] = at;
}

void judge::OnReport(const observed_report& report) {
  ++impl_->counts.reports;
  const auto [holder, is_new] =
      impl_->holders.emplace(report.fencing, report.holder);
  if (!is_new && holder->second != report.holder) {
    impl_->Fail(promise::one_holder, report.window,
                holder->second + " and " + report.holder +
                    " both used number " + std::to_string(report.fencing));
  }
  if (!report.accepted) {
    return;
  }
  const auto [counts, added] =
      impl_->accepted_counts.emplace(report.window, report.counts);
  if (!added && counts->second != report.counts) {
    impl_->Fail(promise::one_report, report.window,
                counts->second + " and " + report.counts);
  }
}

void judge::OnRecovery(const std::string& entry, bool serves) {
  if (!serves) {
    impl_->Fail(promise::recovery, {}, entry + " does not answer requests");
  }
}

void judge::OnFaultBegan(const std::string& scope, bool planned, mono_time at) {
  impl_->faults.push_back({scope, planned, at, std::nullopt});
}

void judge::OnFaultEnded(const std::string& scope, bool planned, mono_time at) {
  for (auto& fault : impl_->faults) {
    if (fault.scope == scope && fault.planned == planned && !fault.ended) {
      fault.ended = at;
      return;
    }
  }
}

const std::vector<violation>& judge::Violations() const {
  return impl_->violations;
}

judged_counts judge::Counts() const {
  return impl_->counts;
}

}  // namespace mimosadeck::soak
