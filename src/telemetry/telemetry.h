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

/** @brief Severity of a log line. */
enum class level { info, warning, error };

/** @brief Names and values of the fields of a log line. */
using fields =
    std::initializer_list<std::pair<std::string_view, std::string_view>>;

/** @brief Stream to which log lines are written. */
enum class log_target { standard_output, standard_error };

/**
 * @brief Starts writing log lines to a standard stream as JSON.
 *
 * Logging never blocks. A line is dropped if it cannot be written at once or
 * its event exceeds the rate limit; the number of dropped lines is logged as
 * `lines_dropped`.
 *
 * @param process Name of the process, which is added to each line.
 */
void StartLogging(const std::string& process,
                  log_target target = log_target::standard_error);

/**
 * @brief Writes one log line.
 * @param event Name of the event, as docs/LOGS.md lists it.
 * @param values Further fields of the line. A caller's key must not be logged.
 */
void Log(level severity, std::string_view event, fields values);

/**
 * @brief Counters, gauges and histograms of one process.
 */
class metrics {
 public:
  metrics();
  ~metrics();
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;

  /** @brief Adds an amount to a counter. */
  void Count(const std::string& name,
             const std::string& label,
             const std::string& value,
             double amount = 1);

  /** @brief Sets a gauge. */
  void Set(const std::string& name,
           const std::string& label,
           const std::string& value,
           double amount);

  /** @brief Adds a duration to a histogram in seconds. */
  void Observe(const std::string& name,
               const std::string& label,
               const std::string& value,
               std::chrono::nanoseconds time);

  /** @brief Returns all metrics in the Prometheus text format. */
  [[nodiscard]] std::string Text() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

/**
 * @brief Creates a tracer that writes each finished span as a JSON line.
 * @param process Name of the process, which is added to each span.
 * @param file File to append to; if empty, no spans are written.
 */
[[nodiscard]] std::shared_ptr<opentracing::Tracer> MakeTracer(
    const std::string& process,
    const std::string& file);

/** @brief Returns the W3C traceparent of a span. */
[[nodiscard]] std::string TraceparentOf(const opentracing::Span& span);

/**
 * @brief Starts a span.
 * @param traceparent W3C traceparent of the parent. If it is empty or invalid,
 * the span starts a new trace.
 */
[[nodiscard]] std::unique_ptr<opentracing::Span> StartSpan(
    opentracing::Tracer& tracer,
    const std::string& name,
    std::string_view traceparent);

}  // namespace mimosadeck::telemetry

#endif  // TELEMETRY_TELEMETRY_H_
