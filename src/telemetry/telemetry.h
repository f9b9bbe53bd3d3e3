#ifndef TELEMETRY_TELEMETRY_H_
#define TELEMETRY_TELEMETRY_H_

#include <chrono>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include <opentracing/tracer.h>

namespace mimosadeck::telemetry {

/** @brief Level of a log line. */
enum class level { info, warning, error };

/** @brief Named values of a log line. */
using fields =
    std::initializer_list<std::pair<std::string_view, std::string_view>>;

/** @brief Where log lines go. */
enum class log_target { standard_output, standard_error };

/**
 * @brief Sends log lines to a standard stream as JSON.
 *
 * Logging never waits for a reader: a line that cannot be written at once is
 * dropped and counted, and so is a line of an event that comes too often. The
 * counts are logged as `lines_dropped`.
 *
 * @param process Name of the process, in each line.
 */
void StartLogging(const std::string& process,
                  log_target target = log_target::standard_error);

/**
 * @brief Writes one log line.
 * @param event Name of what happened; docs/LOGS.md lists them.
 * @param values Further members of the line; never a caller's key.
 */
void Log(level severity, std::string_view event, fields values);

/**
 * @brief Counters and histograms of one process.
 */
class metrics {
 public:
  metrics();
  ~metrics();
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;

  /** @brief Adds to a counter, for instance requests by class. */
  void Count(const std::string& name,
             const std::string& label,
             const std::string& value,
             double amount = 1);

  /** @brief Sets a gauge. */
  void Set(const std::string& name,
           const std::string& label,
           const std::string& value,
           double amount);

  /** @brief Takes a time into a histogram of seconds. */
  void Observe(const std::string& name,
               const std::string& label,
               const std::string& value,
               std::chrono::nanoseconds time);

  /** @brief Writes all metrics in Prometheus' text format. */
  [[nodiscard]] std::string Text() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

/**
 * @brief Makes a tracer that writes each finished span as a JSON line.
 * @param process Name of the process, in each span.
 * @param file File to append to; empty for no spans.
 */
[[nodiscard]] std::shared_ptr<opentracing::Tracer> MakeTracer(
    const std::string& process,
    const std::string& file);

/** @brief Returns a span's W3C traceparent; empty if there is none. */
[[nodiscard]] std::string TraceparentOf(const opentracing::Span& span);

/**
 * @brief Starts a span.
 * @param traceparent W3C traceparent of the parent; a bad or empty one starts
 * a trace.
 */
[[nodiscard]] std::unique_ptr<opentracing::Span> StartSpan(
    opentracing::Tracer& tracer,
    const std::string& name,
    std::string_view traceparent);

}  // namespace mimosadeck::telemetry

#endif  // TELEMETRY_TELEMETRY_H_
