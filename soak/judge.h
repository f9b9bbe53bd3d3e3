#ifndef SOAK_JUDGE_H_
#define SOAK_JUDGE_H_

#include <chrono>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace mimosadeck::soak {

/** @brief What the system promises to callers, upstreams and operators. */
enum class promise {
  /** A non-idempotent request runs at most once. */
  at_most_once,
  /** A request answered 408, 421, 429 or 503 has not run and never will. */
  truthful_refusal,
  /** A success is an upstream's complete answer to this request. */
  whole_answer,
  /** Upstreams receive the key's account, and never the key. */
  right_account,
  /** No request runs after the bound if the manifest withdrew its right. */
  withdrawn_right,
  /** A draining upstream gets no new request once the bound has passed. */
  leaving_upstream,
  /** A process never returns to an older manifest. */
  manifest_order,
  /** A request that every manifest allows is never answered 401 or 404. */
  allowed_request,
  /** A billing window is accepted with one set of counts only. */
  one_report,
  /** A fencing number belongs to one lease holder. */
  one_holder,
  /** A request that runs is answered, even by an entry that shuts down. */
  answered,
  /** Every entry serves requests again after the last fault. */
  recovery,
};

/** @brief Returns a promise's name as printed in violations. */
[[nodiscard]] std::string_view NameOf(promise kind);

/** @brief Time bounds of the promises, and whether they are checked. */
struct judge_options {
  /** Time bounds are not checked until this long after a fault. */
  std::chrono::milliseconds fault_margin{3000};
  std::chrono::milliseconds manifest_bound{2000};
  std::chrono::milliseconds leaving_bound{2000};
  /** A request sent within this time after the first use of a manifest may
   * still have been routed by an older one. */
  std::chrono::milliseconds order_slack{250};
  /** The same for an entry within `fault_margin` of a fault. */
  std::chrono::milliseconds order_slack_after_fault{2000};
  /** Off on slow machines: then no promise with a time bound is checked. */
  bool timed{true};
};

/** @brief Whether and how a request may be repeated. */
enum class request_kind {
  idempotent,
  booking,
  resumable_stream,
  single_stream
};

[[nodiscard]] bool IsStream(request_kind kind);

/** @brief A request as sent by a caller. */
struct sent_request {
  std::string id;
  request_kind kind{};
  /** Account of its key; empty if the key was never valid. */
  std::string account;
  /** Entry that it is sent to, and that entry's current process. */
  std::string entry;
  std::string process;
  mono_time at;
  /** First and last manifest version that allow the request. */
  std::uint64_t first_manifest{};
  std::uint64_t last_manifest{std::numeric_limits<std::uint64_t>::max()};
  /** Route, and the lower one of its timeout and the caller's time limit. */
  std::string route;
  std::chrono::milliseconds limit{};
  /** Sent since another request was refused or not read. */
  bool is_repeat{};
};

/** @brief The start of a request at an upstream. */
struct observed_run {
  std::string request;
  std::string upstream;
  std::string stamp;
  std::string account;
  bool has_key{};
  /** The upstream closes the connection before its answer is complete. */
  bool aborts{};
  int status{200};
  mono_time at;
  std::optional<mono_time> ended;
  /** The upstream sent its whole answer. */
  bool is_finished{};
};

/** @brief An answer as received by a caller. */
struct response {
  std::string request;
  /** Zero if the connection closed before a status line. */
  int status{};
  std::string stamp;
  std::string body;
  /** The body is complete according to the HTTP framing. */
  bool is_complete{};
  /** The caller closed the connection or timed out. */
  bool caller_left{};
  mono_time at;
  /** Why it is not complete. */
  std::string failure;
  /** The entry said that it closes the connection. */
  bool closes{};
};

/** @brief A request, its runs and its answer. */
struct judged_request {
  sent_request sent;
  std::vector<observed_run> runs;
  std::optional<response> answer;
};

/** @brief A usage report as received by the platform. */
struct observed_report {
  std::string window;
  std::string counts;
  std::string holder;
  std::uint64_t fencing{};
  bool accepted{};
};

/** @brief A promise that was broken. */
struct violation {
  promise broken{};
  std::string request;
  std::string detail;
};

/** @brief Numbers of checked events. */
struct judged_counts {
  std::uint64_t requests{};
  std::uint64_t runs{};
  std::uint64_t reports{};
  /** Answers by outcome: `served`, `refused`, `failed`, `broken`, `left`. */
  std::map<std::string, std::uint64_t> answers;
};

/**
 * @brief Checks the promises against events observed by callers, upstreams and
 * the platform. Events must be passed in the order in which they happen.
 */
class judge {
 public:
  explicit judge(const judge_options& options);
  ~judge();
  judge(const judge&) = delete;
  judge& operator=(const judge&) = delete;

  void OnSent(sent_request request);
  void OnRun(const observed_run& run);
  /** @param broke_off The upstream or its link closed the connection. */
  void OnRunEnded(const std::string& request,
                  const std::string& stamp,
                  bool is_finished,
                  bool broke_off);
  void OnAnswer(const response& answer);
  void OnManifest(std::uint64_t version, mono_time at);
  void OnLeaving(const std::string& upstream, mono_time at);
  void OnReport(const observed_report& report);
  void OnRecovery(const std::string& entry, bool serves);

  /**
   * @brief Records a fault of an entry, an upstream, or `everything`.
   * @param planned Operator action, such as a restart; requests survive it.
   */
  void OnFaultBegan(const std::string& scope, bool planned, mono_time at);
  void OnFaultEnded(const std::string& scope, bool planned, mono_time at);

  [[nodiscard]] const std::vector<violation>& Violations() const;
  [[nodiscard]] judged_counts Counts() const;
  [[nodiscard]] const std::map<std::string, judged_request>& Requests() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace mimosadeck::soak

#endif  // SOAK_JUDGE_H_
