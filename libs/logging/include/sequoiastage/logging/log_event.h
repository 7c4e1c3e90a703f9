#ifndef SEQUOIASTAGE_LOGGING_LOG_EVENT_H_
#define SEQUOIASTAGE_LOGGING_LOG_EVENT_H_

#include <cstdint>
#include <string>
#include <string_view>

/// Structured logging: one line of key=value pairs per event. Thread-safe.
/// Values with spaces, quotes or control characters are quoted.
namespace sequoiastage {

enum class LogLevel { kDebug, kInfo, kWarn, kError };

/// Sets up logging to standard error. Events below `level` are dropped.
void InitLogging(LogLevel level);

/// Sets up logging to standard output that never blocks on its reader: up to
/// 512 KiB of lines are buffered, further lines are dropped. Lines below kWarn
/// can use only half of the buffer. Events below `level` are dropped.
void InitBoundedLogging(LogLevel level);

/// Writes the lines that InitBoundedLogging() has buffered, as far as the
/// reader accepts them. Call it periodically.
void FlushLogs();

/// Number of lines dropped because the buffer was full.
uint64_t DroppedLogLines();

/// One log line, written when the object is destroyed:
///
///   LogEvent(LogLevel::kInfo, "node_ready").Add("port", port);
class LogEvent {
 public:
  LogEvent(LogLevel level, std::string_view event);
  ~LogEvent();
  LogEvent(const LogEvent&) = delete;
  LogEvent& operator=(const LogEvent&) = delete;

  LogEvent& Add(std::string_view key, std::string_view value);
  LogEvent& Add(std::string_view key, int64_t value);

 private:
  LogLevel m_level;
  std::string m_line;
};

/// `value` as written after "key=": quoted and escaped where necessary.
std::string QuoteLogValue(std::string_view value);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_LOGGING_LOG_EVENT_H_
