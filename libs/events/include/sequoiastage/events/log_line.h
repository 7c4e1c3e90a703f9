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
  /// What stands before the first pair, for instance the host's name that a
  /// collector has put there; else the file.
  std::string m_source;
  /// "2026-12-04T03:12:08.123", by the clock of its host.
  std::string m_time;
  std::string m_level;
  std::string m_event;
  /// The other pairs, in their order.
  std::vector<std::pair<std::string, std::string>> m_fields;

  /// Empty when there is no such field.
  std::string_view Get(std::string_view key) const;
  bool Has(std::string_view key) const;
  /// Empty when there is none or it is no whole number.
  std::optional<int64_t> Number(std::string_view key) const;
};

/// Empty for a line that is not of this form. `source` stands for the text
/// before the first pair where there is none. A first word that is a number
/// (the time of a collector) does not count as part of the source.
std::optional<LogLine> ParseLogLine(std::string_view text,
                                    std::string_view source = {});

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_EVENTS_LOG_LINE_H_
