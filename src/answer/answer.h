#ifndef ANSWER_ANSWER_H_
#define ANSWER_ANSWER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "answer/event_order.h"
#include "base/result.h"

namespace mimosadeck::answer {

/** @brief One token of a streamed answer. */
struct token_event {
  /** Number of tokens of the answer before this one. */
  std::uint64_t offset{};
  std::string text;
};

/** @brief End of an answer, as reported by the engine. */
struct finish_event {
  std::uint64_t prompt_tokens{};
  std::uint64_t completion_tokens{};
  /** Finish reason, such as `stop`. */
  std::string reason;
};

/** @brief What to do with an event of an attempt. */
enum class verdict {
  /** Pass it on to the caller. */
  deliver,
  /** Ignore it: it belongs to an abandoned attempt or was delivered before. */
  drop,
  /** Abandon the attempt: tokens are missing. */
  gap,
};

/**
 * @brief Joins the attempts at one answer into one complete answer.
 *
 * Only events of the newest attempt count, and each token is delivered once and
 * in order. The answer is complete only if the engine finished it and reported
 * as many tokens as were delivered.
 */
struct assembly {
  /** Number of the newest attempt; 0 before the first one. */
  std::uint64_t attempt{};
  /** Tokens delivered to the caller. */
  std::uint64_t delivered{};
  bool finished{};
  finish_event finish;
};

/** @brief Starts another attempt and returns its number. */
[[nodiscard]] std::uint64_t BeginAttempt(assembly& state);

/** @brief Processes one token of an attempt. */
[[nodiscard]] verdict OnToken(assembly& state,
                              std::uint64_t attempt,
                              const token_event& token);

/** @brief Processes the end of an attempt. */
[[nodiscard]] verdict OnFinish(assembly& state,
                               std::uint64_t attempt,
                               const finish_event& finish);

/** @brief Returns true if the complete answer was delivered. */
[[nodiscard]] bool IsComplete(const assembly& state);

/** @brief Data of one server-sent event. */
struct stream_event {
  std::string data;
};

/** Greatest event of a stream. An event holds a few tokens; a larger one is
 * treated as one without end. */
inline constexpr std::size_t kMaxEventBytes = std::size_t{1} << 20U;

/** @brief Splits a byte stream into server-sent events. */
struct event_splitter {
  /** Bytes of the incomplete last event. */
  std::string rest;
};

/**
 * @brief Appends bytes and returns the data of the events that they complete.
 */
[[nodiscard]] std::vector<std::string> Split(event_splitter& state,
                                             std::string_view bytes);

/** @brief Returns true if the incomplete event exceeds kMaxEventBytes. */
[[nodiscard]] bool IsOversized(const event_splitter& state);

/**
 * @brief Divides a byte stream at the ends of server-sent events, unchanged.
 *
 * A stream that breaks off within an event can then be resumed at another
 * upstream without joining parts of two events. A resumed run must continue
 * after the last event: its first event must be the next one, and no later
 * event may be a repeat or follow a gap. The order of the first run is not
 * checked; it is that upstream's own answer.
 */
struct event_framer {
  /** Bytes of the incomplete last event. */
  std::string rest;
  /** Id of the last complete event with an id; empty if there was none. */
  std::string last_id;
  /** Number of complete events; comments are not counted. */
  std::uint64_t events{};
  /** Number of complete events of the current run. */
  std::uint64_t run_events{};
  event_order order;
  /** Why the current run does not continue the stream; unset while it does.
   * Its bytes from there on are discarded. */
  std::optional<event_position> misplaced;
};

/** @brief Discards the incomplete event of the run before and begins another
 * run, which resumes the stream if there were events. */
void BeginRun(event_framer& state);

/** @brief Appends bytes and returns the complete events so far, up to the first
 * one that does not continue the stream, and the comments between them. */
[[nodiscard]] std::string TakeCompleteEvents(event_framer& state,
                                             std::string_view bytes);

/** @brief Returns true if the incomplete event exceeds kMaxEventBytes. */
[[nodiscard]] bool IsOversized(const event_framer& state);

/** @brief Returns true if the current run may end here: not inside an event,
 * and not without an event if it was to resume a stream. */
[[nodiscard]] bool CanEnd(const event_framer& state);

/** @brief Returns true if another run can deliver the rest of the stream. */
[[nodiscard]] bool CanResume(const event_framer& state);

/**
 * @brief How far a request was sent to an upstream, which decides what a
 * refusal states about its execution.
 */
enum class send_progress {
  /** No byte was sent to any upstream. */
  nothing_sent,
  /** An upstream refused the request before running it. */
  refused_before_start,
  /** Bytes were sent and no upstream refused. */
  sent,
};

/** @brief Returns whether a request may have run, given how far it was sent. */
[[nodiscard]] executed ExecutionState(send_progress progress);

/** @brief Token bucket of retries, filled by first attempts. */
struct retry_budget {
  double tokens{10};
  double earned_per_request{0.1};
  double capacity{10};
};

/** @brief Adds the tokens earned by a first attempt. */
void OnFirstAttempt(retry_budget& state);

/** @brief Takes one retry from the budget. @return False if it is spent. */
[[nodiscard]] bool TryRetry(retry_budget& state);

}  // namespace mimosadeck::answer

#endif  // ANSWER_ANSWER_H_
