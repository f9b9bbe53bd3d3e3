#include <poll.h>
#include <unistd.h>

#include <chrono>
#include <map>
#include <mutex>
#include <sstream>

#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>
#include <boost/json.hpp>

#include "telemetry/telemetry.h"

namespace mimosadeck::telemetry {
namespace internal {
namespace {

constexpr std::string_view kLoggerName = "mimosadeck";

/** Maximum number of lines of one event in a second. */
constexpr std::uint32_t kMaxLinesPerSecond = 100;
/** Longest line. A pipe that is writable accepts this many bytes at once. */
constexpr std::size_t kMaxLineBytes = 4000;

/** @brief Formats an event, whose message is a JSON object, as one line. */
class json_layout final : public log4cplus::Layout {
 public:
  explicit json_layout(const std::string& process) : process_(process) {}

  void formatAndAppend(
      log4cplus::tostream& out,
      const log4cplus::spi::InternalLoggingEvent& event) override {
    const auto& message = event.getMessage();
    out << R"({"time":")"
        << log4cplus::helpers::getFormattedTime("%Y-%m-%dT%H:%M:%S.%qZ",
                                                event.getTimestamp(), true)
        << R"(","level":")"
        << log4cplus::getLogLevelManager().toString(event.getLogLevel())
        << R"(","process":)" << boost::json::serialize(process_) << ','
        << std::string_view(message).substr(1) << '\n';
  }

 private:
  boost::json::string process_;
};

/** @brief Writes lines to a file descriptor without blocking on its reader. */
class line_appender final : public log4cplus::Appender {
 public:
  explicit line_appender(int descriptor) : descriptor_(descriptor) {}
  ~line_appender() override { destructorImpl(); }
  line_appender(const line_appender&) = delete;
  line_appender& operator=(const line_appender&) = delete;

  void close() override { closed = true; }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    std::ostringstream out;
    if (dropped_ > 0) {
      out << R"({"event":"lines_dropped","reason":"reader is slow","count":)"
          << dropped_ << "}\n";
    }
    layout->formatAndAppend(out, event);
    const auto text = out.str();
    pollfd state{descriptor_, POLLOUT, 0};
    const bool writable =
        ::poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
    if (text.size() > kMaxLineBytes || !writable ||
        ::write(descriptor_, text.data(), text.size()) < 0) {
      ++dropped_;
      return;
    }
    dropped_ = 0;
  }

 private:
  int descriptor_;
  std::uint64_t dropped_{};
};

/** @brief Limits the number of lines of each event in a second. */
class line_rate_limiter {
 public:
  /** @brief Counts a line. @return Nothing if the line is over the limit, else
   * the number of lines of the event that were dropped in the previous window,
   * reported once. */
  std::optional<std::uint64_t> Admit(std::string_view event) {
    const std::lock_guard lock(mutex_);
    const auto now = std::chrono::steady_clock::now();
    auto found = events_.find(event);
    if (found == events_.end()) {
      found = events_.emplace(std::string(event), window{}).first;
    }
    auto& current = found->second;
    std::uint64_t dropped_before = 0;
    if (now - current.started_at >= std::chrono::seconds(1)) {
      dropped_before = current.dropped;
      current = window{now, 0, 0};
    }
    if (++current.written > kMaxLinesPerSecond) {
      ++current.dropped;
      return std::nullopt;
    }
    return dropped_before;
  }

 private:
  struct window {
    std::chrono::steady_clock::time_point started_at;
    std::uint32_t written{};
    std::uint64_t dropped{};
  };
  std::mutex mutex_;
  std::map<std::string, window, std::less<>> events_;
};

log4cplus::LogLevel LevelOf(level severity) {
  switch (severity) {
    case level::info:
      return log4cplus::INFO_LOG_LEVEL;
    case level::warning:
      return log4cplus::WARN_LOG_LEVEL;
    case level::error:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

log4cplus::Logger LoggerInstance() {
  return log4cplus::Logger::getInstance(log4cplus::tstring(kLoggerName));
}

}  // namespace
}  // namespace internal

void StartLogging(const std::string& process, log_target target) {
  static const log4cplus::Initializer initializer;
  log4cplus::SharedAppenderPtr appender(new internal::line_appender(
      target == log_target::standard_output ? STDOUT_FILENO : STDERR_FILENO));
  appender->setLayout(std::make_unique<internal::json_layout>(process));
  auto logger = internal::LoggerInstance();
  logger.removeAllAppenders();
  logger.setAdditivity(false);
  logger.setLogLevel(log4cplus::INFO_LOG_LEVEL);
  logger.addAppender(appender);
}

void Log(level severity, std::string_view event, fields values) {
  static internal::line_rate_limiter limit;
  const auto dropped_before = limit.Admit(event);
  if (!dropped_before) {
    return;
  }
  boost::json::object line;
  line["event"] = event;
  for (const auto& [name, value] : values) {
    line[name] = value;
  }
  if (*dropped_before > 0) {
    line["lines_dropped"] = *dropped_before;
  }
  internal::LoggerInstance().log(internal::LevelOf(severity),
                                 boost::json::serialize(line));
}

}  // namespace mimosadeck::telemetry
