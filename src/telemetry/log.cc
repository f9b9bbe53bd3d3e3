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

/** Lines of one event that are written in a second. */
constexpr std::uint32_t kMostLinesPerSecond = 100;
/** A pipe takes a line of this size at once, or reports that it is full. */
constexpr std::size_t kMostLineBytes = 4000;

/** @brief Writes an event, whose message is a JSON object, as one line. */
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

/** @brief Writes lines to a descriptor without ever waiting for its reader. */
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
    if (text.size() > kMostLineBytes || !writable ||
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

/** @brief Bounds the lines of each event in each second. */
class rate_limit {
 public:
  /** @brief Counts a line. @return Nothing if it is dropped, else the number
   * of lines dropped before it in the event's last second. */
  std::optional<std::uint64_t> Take(std::string_view event) {
    const std::lock_guard lock(mutex_);
    const auto now = std::chrono::steady_clock::now();
    auto found = events_.find(event);
    if (found == events_.end()) {
      found = events_.emplace(std::string(event), second{}).first;
    }
    auto& present = found->second;
    std::uint64_t missed = 0;
    if (now - present.began >= std::chrono::seconds(1)) {
      missed = present.dropped;
      present = second{now, 0, 0};
    }
    if (++present.written > kMostLinesPerSecond) {
      ++present.dropped;
      return std::nullopt;
    }
    return missed;
  }

 private:
  struct second {
    std::chrono::steady_clock::time_point began;
    std::uint32_t written{};
    std::uint64_t dropped{};
  };
  std::mutex mutex_;
  std::map<std::string, second, std::less<>> events_;
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
  static internal::rate_limit limit;
  const auto missed = limit.Take(event);
  if (!missed) {
    return;
  }
  boost::json::object line;
  line["event"] = event;
  for (const auto& [name, value] : values) {
    line[name] = value;
  }
  if (*missed > 0) {
    line["lines_dropped"] = *missed;
  }
  internal::LoggerInstance().log(internal::LevelOf(severity),
                                 boost::json::serialize(line));
}

}  // namespace mimosadeck::telemetry
