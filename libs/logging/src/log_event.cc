#include "sequoiastage/logging/log_event.h"

#include <fmt/format.h>
#include <log4cxx/appenderskeleton.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <unistd.h>

#include <algorithm>
#include <mutex>

#include "sequoiastage/logging/line_writer.h"

namespace sequoiastage {

namespace {

const log4cxx::LoggerPtr& RootLogger() {
  static log4cxx::LoggerPtr logger = log4cxx::Logger::getRootLogger();
  return logger;
}

log4cxx::LevelPtr ToLog4cxx(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cxx::Level::getDebug();
    case LogLevel::kInfo:
      return log4cxx::Level::getInfo();
    case LogLevel::kWarn:
      return log4cxx::Level::getWarn();
    case LogLevel::kError:
      break;
  }
  return log4cxx::Level::getError();
}

bool NeedsQuotes(std::string_view value) {
  return value.empty() || std::any_of(value.begin(), value.end(), [](char c) {
           return c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f;
         });
}

constexpr char kPattern[] =
    "time=%d{yyyy-MM-dd}T%d{HH:mm:ss.SSS} level=%p %m%n";
// Several thousand lines: the output of a busy node over a few seconds.
constexpr size_t kMaxBufferedBytes = size_t{512} * 1024;

struct BoundedOutput {
  std::mutex m_mutex;
  LineWriter m_writer{STDOUT_FILENO, kMaxBufferedBytes};
};

BoundedOutput& Output() {
  static BoundedOutput output;
  return output;
}

class BoundedAppender : public log4cxx::AppenderSkeleton {
 public:
  void close() override {}
  bool requiresLayout() const override { return true; }

 protected:
  void append(const log4cxx::spi::LoggingEventPtr& event,
              log4cxx::helpers::Pool& pool) override {
    log4cxx::LogString line;
    getLayout()->format(line, event, pool);
    const bool is_routine =
        !event->getLevel()->isGreaterOrEqual(log4cxx::Level::getWarn());
    BoundedOutput& output = Output();
    const std::scoped_lock lock(output.m_mutex);
    output.m_writer.Write(line, is_routine);
  }
};

void SetAppender(const log4cxx::AppenderPtr& appender, LogLevel level) {
  RootLogger()->removeAllAppenders();
  RootLogger()->addAppender(appender);
  RootLogger()->setLevel(ToLog4cxx(level));
}

}  // namespace

void InitBoundedLogging(LogLevel level) {
  const auto appender = std::make_shared<BoundedAppender>();
  appender->setLayout(std::make_shared<log4cxx::PatternLayout>(kPattern));
  SetAppender(appender, level);
}

void FlushLogs() {
  BoundedOutput& output = Output();
  const std::scoped_lock lock(output.m_mutex);
  output.m_writer.Flush();
}

uint64_t DroppedLogLines() {
  BoundedOutput& output = Output();
  const std::scoped_lock lock(output.m_mutex);
  return output.m_writer.DroppedLines();
}

void InitLogging(LogLevel level) {
  const auto layout = std::make_shared<log4cxx::PatternLayout>(kPattern);
  const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
      layout, log4cxx::ConsoleAppender::getSystemErr());
  SetAppender(appender, level);
}

// The line stays empty below the current log level, so that disabled events on
// the request path cost nothing.
LogEvent::LogEvent(LogLevel level, std::string_view event) : m_level(level) {
  if (RootLogger()->isEnabledFor(ToLog4cxx(level))) {
    m_line = "event=" + QuoteLogValue(event);
  }
}

LogEvent::~LogEvent() {
  if (!m_line.empty()) {
    RootLogger()->forcedLog(
        ToLog4cxx(m_level), m_line,
        log4cxx::spi::LocationInfo::getLocationUnavailable());
  }
}

LogEvent& LogEvent::Add(std::string_view key, std::string_view value) {
  if (!m_line.empty()) {
    m_line.append(" ").append(key).append("=").append(QuoteLogValue(value));
  }
  return *this;
}

LogEvent& LogEvent::Add(std::string_view key, int64_t value) {
  if (!m_line.empty()) {
    m_line.append(" ").append(key).append("=").append(std::to_string(value));
  }
  return *this;
}

std::string QuoteLogValue(std::string_view value) {
  if (!NeedsQuotes(value)) {
    return std::string(value);
  }
  std::string quoted = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      quoted += '\\';
      quoted += c;
    } else if (static_cast<unsigned char>(c) < ' ' || c == 0x7f) {
      quoted += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
    } else {
      quoted += c;
    }
  }
  return quoted + "\"";
}

}  // namespace sequoiastage
