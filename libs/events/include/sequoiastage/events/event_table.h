#ifndef SEQUOIASTAGE_EVENTS_EVENT_TABLE_H_
#define SEQUOIASTAGE_EVENTS_EVENT_TABLE_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "sequoiastage/events/log_line.h"

namespace sequoiastage {

struct EventField {
  std::string_view m_name;
  std::string_view m_help;
  bool m_is_optional = false;
};

/// One kind of log line.
struct EventInfo {
  std::string_view m_name;
  std::string_view m_level;
  /// When it is written, and what an operator makes of it.
  std::string_view m_help;
  std::vector<EventField> m_fields;
};

/// The events of sequoiameshd, in the order of the page.
std::span<const EventInfo> MeshEvents();

/// What breaks the table: an event, level or field that is not in it, or a
/// field that is missing. Empty when nothing does.
std::optional<std::string> CheckLogLine(const LogLine& line,
                                        std::span<const EventInfo> table);

/// The table as a Markdown page.
std::string RenderEventPage(std::span<const EventInfo> table);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_EVENTS_EVENT_TABLE_H_
