#ifndef SEQUOIASTAGE_EVENTS_EVENT_TABLE_H_
#define SEQUOIASTAGE_EVENTS_EVENT_TABLE_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "sequoiastage/events/log_line.h"

namespace sequoiastage {

/// A field that the lines of an event carry.
struct EventField {
  std::string_view m_name;
  std::string_view m_help;
  bool m_is_optional = false;
};

/// One kind of log line.
struct EventInfo {
  std::string_view m_name;
  std::string_view m_level;
  /// When the event is logged and what it means for an operator.
  std::string_view m_help;
  std::vector<EventField> m_fields;
};

/// The events of sequoiameshd, in the order of the generated page.
std::span<const EventInfo> MeshEvents();

/// Returns the first mismatch between `line` and `table`: an unknown event,
/// level or field, or a missing required field. Empty for a valid line.
std::optional<std::string> CheckLogLine(const LogLine& line,
                                        std::span<const EventInfo> table);

/// Renders the table as a Markdown page.
std::string RenderEventPage(std::span<const EventInfo> table);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_EVENTS_EVENT_TABLE_H_
