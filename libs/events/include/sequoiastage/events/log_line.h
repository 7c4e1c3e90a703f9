#ifndef SEQUOIASTAGE_EVENTS_LOG_LINE_H_
#define SEQUOIASTAGE_EVENTS_LOG_LINE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sequoiastage {

/// One line of a node's log: key=value pairs, see logging/log_event.h.
struct LogLine {
  /// Last word before the first pair, such as the host name that a log
  /// collector adds; otherwise the source given to ParseLogLine().
  std::string m_source;
  /// Time by the clock of the host: "2026-12-04T03:12:08.123".
  std::string m_time;
  std::string m_level;
  std::string m_event;
  /// The other pairs, in the order of the line.
  std::vector<std::pair<std::string, std::string>> m_fields;

  /// The value of a field; empty when the line has no such field.
  std::string_view Get(std::string_view key) const;
  bool Has(std::string_view key) const;
  /// The value of a field as an integer; empty when the field is missing or is
  /// not an integer.
  std::optional<int64_t> Number(std::string_view key) const;
};

/// Parses a line of a log. Empty when the line is malformed. `source` is used
/// when no word precedes the first pair, or when that word is a number, such as
/// the timestamp of a log collector.
std::optional<LogLine> ParseLogLine(std::string_view text,
                                    std::string_view source = {});

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_EVENTS_LOG_LINE_H_
