#include <array>
#include <charconv>
#include <fstream>
#include <mutex>
#include <random>

#include <opentracing/span.h>
#include <opentracing/tracer.h>
#include <boost/json.hpp>

#include "base/digest.h"
#include "telemetry/telemetry.h"

namespace mimosadeck::telemetry {
namespace internal {
namespace {

constexpr std::string_view kTraceparent = "traceparent";
constexpr std::size_t kTraceDigits = 32;
constexpr std::size_t kSpanDigits = 16;
constexpr std::size_t kTraceparentSize = 55;
constexpr std::size_t kTraceStart = 3;
constexpr std::size_t kSpanStart = 36;

/** @brief Trace and span ids in the format of W3C Trace Context. */
class span_context final : public opentracing::SpanContext {
 public:
  span_context(std::string trace, std::string span)
      : trace_(std::move(trace)), span_(std::move(span)) {}

  void ForeachBaggageItem(
      std::function<bool(const std::string&, const std::string&)>)
      const override {}

  std::unique_ptr<opentracing::SpanContext> Clone() const noexcept override {
    return std::make_unique<span_context>(trace_, span_);
  }

  std::string ToTraceID() const noexcept override { return trace_; }
  std::string ToSpanID() const noexcept override { return span_; }

  [[nodiscard]] std::string Traceparent() const {
    return "00-" + trace_ + "-" + span_ + "-01";
  }

 private:
  std::string trace_;
  std::string span_;
};

bool IsHex(std::string_view text) {
  return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool IsZero(std::string_view text) {
  return text.find_first_not_of('0') == std::string_view::npos;
}

std::unique_ptr<span_context> ParseTraceparent(std::string_view text) {
  if (text.size() != kTraceparentSize || !text.starts_with("00-") ||
      text[kSpanStart - 1] != '-' || text[kSpanStart + kSpanDigits] != '-') {
    return nullptr;
  }
  const auto trace = text.substr(kTraceStart, kTraceDigits);
  const auto span = text.substr(kSpanStart, kSpanDigits);
  if (!IsHex(trace) || !IsHex(span) || IsZero(trace) || IsZero(span)) {
    return nullptr;
  }
  return std::make_unique<span_context>(std::string(trace), std::string(span));
}

class json_tracer;

/** @brief A span that is written as a JSON line when it finishes. */
class json_span final : public opentracing::Span {
 public:
  json_span(std::shared_ptr<const json_tracer> tracer,
            std::string name,
            span_context context,
            std::string parent)
      : tracer_(std::move(tracer)),
        name_(std::move(name)),
        context_(std::move(context)),
        parent_(std::move(parent)),
        started_(std::chrono::system_clock::now()),
        started_steady_(std::chrono::steady_clock::now()) {}

  ~json_span() override { FinishWithOptions({}); }

  void FinishWithOptions(
      const opentracing::FinishSpanOptions& options) noexcept override;

  void SetOperationName(opentracing::string_view name) noexcept override {
    name_ = name;
  }

  void SetTag(opentracing::string_view key,
              const opentracing::Value& value) noexcept override {
    if (value.is<std::string>()) {
      tags_[std::string(key)] = value.get<std::string>();
    } else if (value.is<const char*>()) {
      tags_[std::string(key)] = value.get<const char*>();
    } else if (value.is<std::int64_t>()) {
      tags_[std::string(key)] = value.get<std::int64_t>();
    } else if (value.is<std::uint64_t>()) {
      tags_[std::string(key)] = value.get<std::uint64_t>();
    } else if (value.is<bool>()) {
      tags_[std::string(key)] = value.get<bool>();
    }
  }

  void SetBaggageItem(opentracing::string_view,
                      opentracing::string_view) noexcept override {}

  std::string BaggageItem(opentracing::string_view) const noexcept override {
    return {};
  }

  void Log(std::initializer_list<
           std::pair<opentracing::string_view, opentracing::Value>>) noexcept
      override {}

  void Log(
      opentracing::SystemTime,
      std::initializer_list<std::pair<opentracing::string_view,
                                      opentracing::Value>>) noexcept override {}

  void Log(
      opentracing::SystemTime,
      const std::vector<std::pair<opentracing::string_view,
                                  opentracing::Value>>&) noexcept override {}

  const opentracing::SpanContext& context() const noexcept override {
    return context_;
  }

  const opentracing::Tracer& tracer() const noexcept override;

 private:
  std::shared_ptr<const json_tracer> tracer_;
  std::string name_;
  span_context context_;
  std::string parent_;
  std::chrono::system_clock::time_point started_;
  std::chrono::steady_clock::time_point started_steady_;
  boost::json::object tags_;
  bool finished_{false};
};

/** @brief A tracer that appends finished spans to a file, one JSON object per
 * line. */
class json_tracer final : public opentracing::Tracer,
                          public std::enable_shared_from_this<json_tracer> {
 public:
  json_tracer(std::string process, const std::string& file)
      : process_(std::move(process)) {
    if (!file.empty()) {
      out_.open(file, std::ios::app);
    }
  }

  std::unique_ptr<opentracing::Span> StartSpanWithOptions(
      opentracing::string_view name,
      const opentracing::StartSpanOptions& options) const noexcept override {
    std::string trace;
    std::string parent;
    for (const auto& [unused, context] : options.references) {
      if (context) {
        trace = context->ToTraceID();
        parent = context->ToSpanID();
      }
    }
    if (trace.empty()) {
      trace = NewId() + NewId();
    }
    return std::make_unique<json_span>(shared_from_this(), std::string(name),
                                       span_context(trace, NewId()), parent);
  }

  opentracing::expected<void> Inject(
      const opentracing::SpanContext& context,
      const opentracing::TextMapWriter& writer) const override {
    return writer.Set(std::string(kTraceparent), Traceparent(context));
  }

  opentracing::expected<void> Inject(
      const opentracing::SpanContext& context,
      const opentracing::HTTPHeadersWriter& writer) const override {
    return writer.Set(std::string(kTraceparent), Traceparent(context));
  }

  opentracing::expected<void> Inject(const opentracing::SpanContext&,
                                     std::ostream&) const override {
    return opentracing::make_unexpected(opentracing::invalid_carrier_error);
  }

  opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(
      std::istream&) const override {
    return opentracing::make_unexpected(opentracing::invalid_carrier_error);
  }

  opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(
      const opentracing::TextMapReader& reader) const override {
    std::unique_ptr<opentracing::SpanContext> found;
    const auto read = reader.ForeachKey(
        [&found](
            opentracing::string_view key,
            opentracing::string_view value) -> opentracing::expected<void> {
          if (std::string_view(key.data(), key.size()) == kTraceparent) {
            found = ParseTraceparent({value.data(), value.size()});
          }
          return {};
        });
    if (!read) {
      return opentracing::make_unexpected(read.error());
    }
    return found;
  }

  opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(
      const opentracing::HTTPHeadersReader& reader) const override {
    const opentracing::TextMapReader& text_map_reader = reader;
    return Extract(text_map_reader);
  }

  void Write(boost::json::object line) const {
    if (!out_.is_open()) {
      return;
    }
    line["process"] = process_;
    const std::string text = boost::json::serialize(line) + "\n";
    const std::lock_guard lock(mutex_);
    out_ << text << std::flush;
  }

 private:
  static std::string Traceparent(const opentracing::SpanContext& context) {
    return span_context(context.ToTraceID(), context.ToSpanID()).Traceparent();
  }

  static std::string NewId() {
    thread_local std::mt19937_64 random{std::random_device{}()};
    constexpr int kBase = 16;
    std::array<char, kSpanDigits> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                   random() | 1U, kBase)
                         .ptr;
    std::string text(digits.data(), end);
    return std::string(kSpanDigits - text.size(), '0') + text;
  }

  std::string process_;
  mutable std::mutex mutex_;
  mutable std::ofstream out_;
};

const opentracing::Tracer& json_span::tracer() const noexcept {
  return *tracer_;
}

void json_span::FinishWithOptions(
    const opentracing::FinishSpanOptions&) noexcept {
  if (finished_) {
    return;
  }
  finished_ = true;
  const auto duration = std::chrono::steady_clock::now() - started_steady_;
  boost::json::object line;
  line["trace"] = context_.ToTraceID();
  line["span"] = context_.ToSpanID();
  line["parent"] = parent_;
  line["name"] = name_;
  line["start_us"] = std::chrono::duration_cast<std::chrono::microseconds>(
                         started_.time_since_epoch())
                         .count();
  line["duration_us"] =
      std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
  line["tags"] = tags_;
  tracer_->Write(std::move(line));
}

/** @brief Carrier that holds a single traceparent for a tracer to extract. */
class traceparent_reader final : public opentracing::TextMapReader {
 public:
  explicit traceparent_reader(std::string_view value) : value_(value) {}

  opentracing::expected<void> ForeachKey(
      std::function<opentracing::expected<void>(opentracing::string_view,
                                                opentracing::string_view)>
          visit) const override {
    return visit({kTraceparent.data(), kTraceparent.size()},
                 {value_.data(), value_.size()});
  }

 private:
  std::string_view value_;
};

}  // namespace
}  // namespace internal

std::shared_ptr<opentracing::Tracer> MakeTracer(const std::string& process,
                                                const std::string& file) {
  return std::make_shared<internal::json_tracer>(process, file);
}

std::string TraceparentOf(const opentracing::Span& span) {
  const auto& context = span.context();
  return internal::span_context(context.ToTraceID(), context.ToSpanID())
      .Traceparent();
}

std::unique_ptr<opentracing::Span> StartSpan(opentracing::Tracer& tracer,
                                             const std::string& name,
                                             std::string_view traceparent) {
  const auto parent = tracer.Extract(internal::traceparent_reader(traceparent));
  if (parent && *parent) {
    return tracer.StartSpan(name, {opentracing::ChildOf(parent->get())});
  }
  return tracer.StartSpan(name);
}

}  // namespace mimosadeck::telemetry
