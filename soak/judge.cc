#include "soak/judge.h"

#include <algorithm>

#include "platform/upstream_stand_in.h"

namespace mimosadeck::soak {
namespace internal {
namespace {

constexpr std::string_view kEverything = "everything";
constexpr int kRefusedRight = 401;
constexpr int kUnknownRoute = 404;
constexpr int kFirstFailure = 400;

struct record {
  sent_request sent;
  std::vector<seen_run> runs;
  std::optional<got_answer> answer;
};

struct fault_interval {
  std::string scope;
  bool planned{};
  mono_time began;
  std::optional<mono_time> ended;
};

/** The oldest manifest that a process can have, as its effects show. */
struct shown_manifest {
  mono_time at;
  std::uint64_t version{};
};

bool IsPromise(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

bool MayRunTwice(request_kind kind) {
  return kind == request_kind::idempotent ||
         kind == request_kind::resumable_stream;
}

}  // namespace
}  // namespace internal

std::string_view NameOf(promise of) {
  switch (of) {
    case promise::at_most_once:
      return "at_most_once";
    case promise::truthful_refusal:
      return "truthful_refusal";
    case promise::whole_answer:
      return "whole_answer";
    case promise::right_account:
      return "right_account";
    case promise::withdrawn_right:
      return "withdrawn_right";
    case promise::leaving_upstream:
      return "leaving_upstream";
    case promise::manifest_order:
      return "manifest_order";
    case promise::allowed_request:
      return "allowed_request";
    case promise::one_report:
      return "one_report";
    case promise::one_holder:
      return "one_holder";
    case promise::answered:
      return "answered";
    case promise::recovery:
      return "recovery";
  }
  return "unlisted";
}

bool IsStream(request_kind kind) {
  return kind == request_kind::resumable_stream ||
         kind == request_kind::single_stream;
}

struct judge::impl {
  explicit impl(const judge_options& options) : options(options) {}

  void Break(promise broken, const std::string& request, std::string detail) {
    violations.push_back({broken, request, std::move(detail)});
  }

  /** Tells whether no fault of the given kinds touched a scope from `contact`
   * before a time on. */
  [[nodiscard]] bool IsCalm(const std::string& scope,
                            mono_time from,
                            mono_time to,
                            bool planned_too) const {
    return std::none_of(faults.begin(), faults.end(), [&](const auto& each) {
      const bool concerns =
          each.scope == scope || each.scope == internal::kEverything;
      return concerns && (planned_too || !each.planned) && each.began <= to &&
             (!each.ended || *each.ended + options.contact >= from);
    });
  }

  [[nodiscard]] bool IsInTouch(const sent_request& sent, mono_time to) const {
    return IsCalm(sent.entry, sent.at, to, true);
  }

  /** The oldest manifest that the process may have used for this request. */
  [[nodiscard]] std::uint64_t FloorFor(const sent_request& sent) const {
    const auto found = shown.find(sent.process);
    if (found == shown.end()) {
      return 0;
    }
    const auto slack = IsInTouch(sent, sent.at)
                           ? options.order_slack
                           : options.order_slack_after_fault;
    std::uint64_t floor = 0;
    for (const auto& each : found->second) {
      if (each.at + slack <= sent.at) {
        floor = each.version;
      }
    }
    return floor;
  }

  void NoteManifestShown(const sent_request& sent, mono_time at) {
    auto& known = shown[sent.process];
    if (known.empty() || known.back().version < sent.first_manifest) {
      known.push_back({at, sent.first_manifest});
    }
  }

  void CheckRights(const sent_request& sent, const seen_run& run) {
    if (sent.account.empty() || run.account != sent.account || run.shows_key) {
      Break(promise::right_account, sent.id,
            run.upstream + " was told account '" + run.account + "' for '" +
                sent.account + "'" + (run.shows_key ? " and the key" : ""));
    }
    if (sent.last_manifest < FloorFor(sent)) {
      Break(promise::manifest_order, sent.id,
            sent.process + " ran what manifest " +
                std::to_string(FloorFor(sent)) + " no longer allows");
    }
    if (!options.timed) {
      return;
    }
    const auto replaced = manifests.upper_bound(sent.last_manifest);
    if (replaced != manifests.end() &&
        sent.at > replaced->second + options.manifest_bound &&
        IsInTouch(sent, run.at)) {
      Break(promise::withdrawn_right, sent.id,
            sent.process + " ran what manifest " +
                std::to_string(replaced->first) + " had withdrawn");
    }
    const auto left = leaving.find(run.upstream);
    if (left != leaving.end() && sent.at > left->second &&
        run.at > left->second + options.leaving_bound &&
        IsInTouch(sent, run.at)) {
      Break(promise::leaving_upstream, sent.id,
            sent.process + " sent it to " + run.upstream);
    }
  }

  void CheckSuccess(const internal::record& found, const got_answer& answer) {
    const auto by_stamp = [&answer](const auto& run) {
      return run.stamp == answer.stamp;
    };
    const auto run =
        std::find_if(found.runs.begin(), found.runs.end(), by_stamp);
    if (run == found.runs.end()) {
      Break(promise::whole_answer, answer.request,
            "the answer bears the stamp '" + answer.stamp + "' of no run");
      return;
    }
    if (run->status != answer.status) {
      Break(promise::whole_answer, answer.request,
            "the upstream answered " + std::to_string(run->status));
    }
    const auto whole =
        IsStream(found.sent.kind)
            ? platform_test::WholeStream(answer.request)
            : platform_test::WholeBody(answer.request, answer.stamp);
    const bool fits =
        answer.is_whole ? answer.body == whole : whole.starts_with(answer.body);
    if (!fits) {
      Break(promise::whole_answer, answer.request,
            std::string(answer.is_whole ? "whole" : "partial") +
                " body differs: " + answer.body);
    }
  }

  void CheckFailure(const internal::record& found, const got_answer& answer) {
    if (internal::IsPromise(answer.status) && !found.runs.empty()) {
      Break(promise::truthful_refusal, answer.request,
            "answered " + std::to_string(answer.status) + ", ran at " +
                found.runs.front().upstream);
    }
    if (!answer.stamp.empty()) {
      const bool known = std::any_of(
          found.runs.begin(), found.runs.end(), [&answer](const auto& run) {
            return run.stamp == answer.stamp && run.status == answer.status;
          });
      if (!known) {
        Break(promise::whole_answer, answer.request,
              "no run with stamp " + answer.stamp + " ended with " +
                  std::to_string(answer.status));
      }
    }
    const bool forbidden = answer.status == internal::kRefusedRight ||
                           answer.status == internal::kUnknownRoute;
    if (forbidden && !found.sent.account.empty()) {
      CheckForbidden(found.sent, answer);
    }
  }

  void CheckForbidden(const sent_request& sent, const got_answer& answer) {
    const auto newest = manifests.empty() ? 0 : manifests.rbegin()->first;
    const bool always = sent.first_manifest == 0 &&
                        sent.last_manifest >= newest && !manifests.empty();
    const bool is_behind = sent.first_manifest > 0 &&
                           FloorFor(sent) >= sent.first_manifest &&
                           newest <= sent.last_manifest;
    if (always || is_behind) {
      Break(always ? promise::allowed_request : promise::manifest_order,
            sent.id,
            sent.process + " answered " + std::to_string(answer.status) +
                " with manifest " + std::to_string(newest));
    }
  }

  void CheckBroken(const internal::record& found, const got_answer& answer) {
    const bool by_upstream =
        std::any_of(found.runs.begin(), found.runs.end(), [&](const auto& run) {
          return run.breaks_off ||
                 !IsCalm(run.upstream, found.sent.at, answer.at, false);
        });
    if (found.runs.empty() || by_upstream ||
        !IsCalm(found.sent.entry, found.sent.at, answer.at, false)) {
      return;
    }
    Break(promise::answered, answer.request,
          found.sent.process + " closed the connection while " +
              found.runs.back().upstream + " was at work");
  }

  judge_options options;
  std::map<std::string, internal::record> records;
  std::map<std::uint64_t, mono_time> manifests;
  std::map<std::string, mono_time> leaving;
  std::map<std::string, std::vector<internal::shown_manifest>> shown;
  std::vector<internal::fault_interval> faults;
  /** Counts accepted, by window; holders, by fencing number. */
  std::map<std::string, std::string> windows;
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

void judge::OnRun(const seen_run& run) {
  ++impl_->counts.runs;
  const auto found = impl_->records.find(run.request);
  if (found == impl_->records.end()) {
    impl_->Break(promise::right_account, run.request, "no caller sent it");
    return;
  }
  auto& known = found->second;
  if (!known.runs.empty() && !internal::MayRunTwice(known.sent.kind)) {
    impl_->Break(
        promise::at_most_once, run.request,
        "ran at " + known.runs.front().upstream + " and at " + run.upstream);
  }
  if (known.answer && internal::IsPromise(known.answer->status)) {
    impl_->Break(promise::truthful_refusal, run.request,
                 "ran at " + run.upstream + " after the answer " +
                     std::to_string(known.answer->status));
  }
  impl_->CheckRights(known.sent, run);
  impl_->NoteManifestShown(known.sent, run.at);
  known.runs.push_back(run);
}

void judge::OnAnswer(const got_answer& answer) {
  const auto found = impl_->records.find(answer.request);
  if (found == impl_->records.end()) {
    impl_->Break(promise::whole_answer, answer.request, "no caller sent it");
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
  } else if (answer.status >= internal::kFirstFailure) {
    impl_->CheckFailure(known, answer);
  }
  if (!answer.is_whole || answer.status == 0) {
    impl_->CheckBroken(known, answer);
    ++impl_->counts.answers["broken"];
  } else if (success) {
    ++impl_->counts.answers["served"];
  } else {
    ++impl_->counts
          .answers[internal::IsPromise(answer.status) ? "refused" : "failed"];
  }
}

void judge::OnManifest(std::uint64_t version, mono_time at) {
  impl_->manifests.emplace(version, at);
}

void judge::OnLeaving(const std::string& upstream, mono_time at) {
  impl_->leaving[upstream] = at;
}

void judge::OnReport(const seen_report& report) {
  ++impl_->counts.reports;
  const auto [holder, is_new] =
      impl_->holders.emplace(report.fencing, report.holder);
  if (!is_new && holder->second != report.holder) {
    impl_->Break(promise::one_holder, report.window,
                 holder->second + " and " + report.holder + " both used " +
                     std::to_string(report.fencing));
  }
  if (!report.accepted) {
    return;
  }
  const auto [counts, added] =
      impl_->windows.emplace(report.window, report.counts);
  if (!added && counts->second != report.counts) {
    impl_->Break(promise::one_report, report.window,
                 counts->second + " and " + report.counts);
  }
}

void judge::OnRecovery(const std::string& entry, bool serves) {
  if (!serves) {
    impl_->Break(promise::recovery, {}, entry + " does not serve");
  }
}

void judge::OnFaultBegan(const std::string& scope, bool planned, mono_time at) {
  impl_->faults.push_back({scope, planned, at, std::nullopt});
}

void judge::OnFaultEnded(const std::string& scope, bool planned, mono_time at) {
  for (auto& each : impl_->faults) {
    if (each.scope == scope && each.planned == planned && !each.ended) {
      each.ended = at;
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
