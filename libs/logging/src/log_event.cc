#include "sequoiastage/logging/log_event.h"

#include <fmt/format.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <algorithm>

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

}  // namespace

void InitLogging(LogLevel level) {
  const auto layout = std::make_shared<log4cxx::PatternLayout>(
      "time=%d{yyyy-MM-dd}T%d{HH:mm:ss.SSS} level=%p %m%n");
  const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
      layout, log4cxx::ConsoleAppender::getSystemErr());
  RootLogger()->removeAllAppenders();
  RootLogger()->addAppender(appender);
  RootLogger()->setLevel(ToLog4cxx(level));
}

LogEvent::LogEvent(LogLevel level, std::string_view event)
    : m_level(level), m_line("event=" + QuoteLogValue(event)) {}

LogEvent::~LogEvent() {
  const auto level = ToLog4cxx(m_level);
  if (RootLogger()->isEnabledFor(level)) {
    RootLogger()->forcedLog(
        level, m_line, log4cxx::spi::LocationInfo::getLocationUnavailable());
  }
}

LogEvent& LogEvent::Add(std::string_view key, std::string_view value) {
  m_line.append(" ").append(key).append("=").append(QuoteLogValue(value));
  return *this;
}

LogEvent& LogEvent::Add(std::string_view key, int64_t value) {
  m_line.append(" ").append(key).append("=").append(std::to_string(value));
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
