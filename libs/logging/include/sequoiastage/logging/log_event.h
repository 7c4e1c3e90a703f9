#ifndef SEQUOIASTAGE_LOGGING_LOG_EVENT_H_
#define SEQUOIASTAGE_LOGGING_LOG_EVENT_H_

#include <cstdint>
#include <string>
#include <string_view>

/// Structured logs: one line of key=value pairs an event. Thread-safe. Values
/// with spaces, quotes or control characters are quoted.
namespace sequoiastage {

enum class LogLevel { kDebug, kInfo, kWarn, kError };

/// Sets up logging to standard error. Events below `level` are dropped.
void InitLogging(LogLevel level);

/// Sets up logging to standard output that never waits for its reader: lines
/// are kept up to a bound, then dropped, those below kWarn first.
void InitBoundedLogging(LogLevel level);

/// Writes more of what InitBoundedLogging() keeps; call now and then.
void FlushLogs();

/// Lines that were dropped for want of room.
uint64_t DroppedLogLines();

/// One log line, written when the object ends:
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

/// `value` as it stands after "key=": quoted and escaped where needed.
std::string QuoteLogValue(std::string_view value);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_LOGGING_LOG_EVENT_H_
