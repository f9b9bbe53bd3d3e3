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
  /** A request that must not be repeated runs once at most. */
  at_most_once,
  /** A status that says "not run" is true, also later. */
  truthful_refusal,
  /** A success is an upstream's whole answer to this request. */
  whole_answer,
  /** Upstreams are told the key's account, and never the key. */
  right_account,
  /** What the manifest no longer allows is not run after the bound. */
  withdrawn_right,
  /** An upstream that leaves gets no new request after the bound. */
  leaving_upstream,
  /** A process never goes back to an older manifest. */
  manifest_order,
  /** What every manifest allows is not refused as forbidden or unknown. */
  allowed_request,
  /** A billing window is reported with one set of counts. */
  one_report,
  /** A fencing number belongs to one holder. */
  one_holder,
  /** A request that an upstream serves is answered, also by a process that
   * stops as planned. */
  answered,
  /** Every entry serves again after the last fault. */
  recovery,
};

/** @brief Returns a promise's name, for reports. */
[[nodiscard]] std::string_view NameOf(promise of);

/** @brief The agreed bounds, and whether they are judged. */
struct judge_options {
  /** Time after a fault in which time bounds do not hold. */
  std::chrono::milliseconds contact{3000};
  std::chrono::milliseconds manifest_bound{2000};
  std::chrono::milliseconds leaving_bound{2000};
  /** Requests sent so shortly after an effect of a manifest may have been read
   * before it. */
  std::chrono::milliseconds order_slack{250};
  /** The same for an entry that had a fault lately. */
  std::chrono::milliseconds order_slack_after_fault{2000};
  /** Without it nothing is judged by the wall clock's pace, for machines that
   * may be slow. */
  bool timed{true};
};

/** @brief What may be done with a request. */
enum class request_kind {
  idempotent,
  booking,
  resumable_stream,
  single_stream
};

[[nodiscard]] bool IsStream(request_kind kind);

/** @brief A request as a caller sends it. */
struct sent_request {
  std::string id;
  request_kind kind{};
  /** Account of its key; empty if no manifest ever held the key. */
  std::string account;
  /** The entry, and its process. */
  std::string entry;
  std::string process;
  mono_time at;
  /** Manifests that allow it. */
  std::uint64_t first_manifest{};
  std::uint64_t last_manifest{std::numeric_limits<std::uint64_t>::max()};
};

/** @brief A request as an upstream begins to run it. */
struct seen_run {
  std::string request;
  std::string upstream;
  std::string stamp;
  std::string account;
  bool shows_key{};
  /** The upstream will not answer to the end. */
  bool breaks_off{};
  int status{200};
  mono_time at;
};

/** @brief An answer as a caller gets it. */
struct got_answer {
  std::string request;
  /** Zero if the connection ended without one. */
  int status{};
  std::string stamp;
  std::string body;
  /** Framing says that the body is complete. */
  bool is_whole{};
  /** The caller itself gave up. */
  bool caller_left{};
  mono_time at;
};

/** @brief A usage report as the platform gets it. */
struct seen_report {
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

/** @brief What was judged. */
struct judged_counts {
  std::uint64_t requests{};
  std::uint64_t runs{};
  std::uint64_t reports{};
  /** Answers by outcome: `served`, `refused`, `failed`, `broken`, `left`. */
  std::map<std::string, std::uint64_t> answers;
};

/**
 * @brief Checks the promises from what callers, upstreams and the platform
 * see. Events come in the order in which they happen.
 */
class judge {
 public:
  explicit judge(const judge_options& options);
  ~judge();
  judge(const judge&) = delete;
  judge& operator=(const judge&) = delete;

  void OnSent(sent_request request);
  void OnRun(const seen_run& run);
  void OnAnswer(const got_answer& answer);
  void OnManifest(std::uint64_t version, mono_time at);
  void OnLeaving(const std::string& upstream, mono_time at);
  void OnReport(const seen_report& report);
  void OnRecovery(const std::string& entry, bool serves);

  /**
   * @brief Notes a fault of an entry, an upstream, or `everything`.
   * @param planned A stop or start that operators do; requests survive it.
   */
  void OnFaultBegan(const std::string& scope, bool planned, mono_time at);
  void OnFaultEnded(const std::string& scope, bool planned, mono_time at);

  [[nodiscard]] const std::vector<violation>& Violations() const;
  [[nodiscard]] judged_counts Counts() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace mimosadeck::soak

#endif  // SOAK_JUDGE_H_
