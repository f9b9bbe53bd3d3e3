#ifndef ANSWER_ANSWER_H_
#define ANSWER_ANSWER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace mimosadeck::answer {

/** @brief One event of a streamed answer. */
struct token_event {
  /** Number of tokens of this answer before this one. */
  std::uint64_t offset{};
  std::string text;
};

/** @brief The engine's closing words on an answer. */
struct finish_event {
  std::uint64_t prompt_tokens{};
  std::uint64_t completion_tokens{};
  std::string reason;
};

/** @brief What became of an event. */
enum class verdict {
  /** Pass it on to the caller. */
  deliver,
  /** It belongs to an abandoned attempt or was delivered before. */
  drop,
  /** Something is missing; the attempt must be abandoned. */
  gap,
};

/**
 * @brief Joins the attempts at one answer into one whole answer.
 *
 * Only the newest attempt's events count, each token is delivered once and in
 * order, and the answer is whole only if the engine finished and its count is
 * the number delivered.
 */
struct assembly {
  std::uint64_t attempt{};
  std::uint64_t delivered{};
  bool finished{};
  finish_event finish;
};

/** @brief Starts another attempt. @return Its number. */
[[nodiscard]] std::uint64_t BeginAttempt(assembly& state);

/** @brief Judges one token of an attempt. */
[[nodiscard]] verdict OnToken(assembly& state,
                              std::uint64_t attempt,
                              const token_event& token);

/** @brief Judges the end of an attempt. */
[[nodiscard]] verdict OnFinish(assembly& state,
                               std::uint64_t attempt,
                               const finish_event& finish);

/** @brief Tells whether the whole answer was delivered. */
[[nodiscard]] bool IsComplete(const assembly& state);

/** @brief One event read from a stream of server-sent events. */
struct stream_event {
  std::string data;
};

/** @brief Splits a byte stream into server-sent events. */
struct event_splitter {
  std::string rest;
};

/**
 * @brief Takes bytes and returns the data of the events completed by them.
 */
[[nodiscard]] std::vector<std::string> Split(event_splitter& state,
                                             std::string_view bytes);

/**
 * @brief Cuts a byte stream into whole server-sent events, unchanged.
 *
 * A stream that breaks off inside an event can then go on at another upstream
 * without joining halves.
 */
struct event_framer {
  /** Bytes of an event that has not ended. */
  std::string rest;
  /** Id of the last whole event; empty if none had one. */
  std::string last_id;
  /** Whole events seen. */
  std::uint64_t events{};
};

/** @brief Takes bytes and returns those that belong to whole events. */
[[nodiscard]] std::string TakeCompleteEvents(event_framer& state,
                                             std::string_view bytes);

/**
 * @brief How far a request has gone towards an upstream, which decides what a
 * refusal may say.
 */
enum class send_progress {
  /** No byte left for any upstream. */
  nothing_sent,
  /** An upstream refused before it started. */
  refused_before_start,
  /** Bytes left and no refusal came. */
  sent,
};

/** @brief Returns what may be said of a request after one attempt. */
[[nodiscard]] executed ExecutionState(send_progress progress);

/** @brief Budget of retries, as a part of first attempts. */
struct retry_budget {
  double tokens{10};
  double earned_per_request{0.1};
  double capacity{10};
};

/** @brief Takes note of a first attempt. */
void OnFirstAttempt(retry_budget& state);

/** @brief Takes one retry from the budget. @return False if it is spent. */
[[nodiscard]] bool TryRetry(retry_budget& state);

}  // namespace mimosadeck::answer

#endif  // ANSWER_ANSWER_H_
