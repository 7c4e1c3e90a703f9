#include "sequoiastage/events/event_table.h"

#include <fmt/format.h>

#include <algorithm>

namespace sequoiastage {

std::optional<std::string> CheckLogLine(const LogLine& line,
                                        std::span<const EventInfo> table) {
  const auto event = std::find_if(
      table.begin(), table.end(),
      [&line](const EventInfo& info) { return info.m_name == line.m_event; });
  if (event == table.end()) {
    return "unknown event " + line.m_event;
  }
  if (event->m_level != line.m_level) {
    return fmt::format("{} at level {} instead of {}", line.m_event,
                       line.m_level, event->m_level);
  }
  for (const auto& [name, value] : line.m_fields) {
    const bool is_known = std::any_of(
        event->m_fields.begin(), event->m_fields.end(),
        [&name = name](const EventField& f) { return f.m_name == name; });
    if (!is_known) {
      return fmt::format("{} has no field {}", line.m_event, name);
    }
  }
  for (const EventField& field : event->m_fields) {
    if (!field.m_is_optional && !line.Has(field.m_name)) {
      return fmt::format("{} lacks {}", line.m_event, field.m_name);
    }
  }
  return std::nullopt;
}

std::string RenderEventPage(std::span<const EventInfo> table) {
  std::string page =
      "# Events in the log of sequoiameshd\n\n"
      "Written by `sequoiactl logs events` from the table in `libs/events`.\n"
      "Each line begins with `time`, `level` and `event`; `logs check` reads "
      "files\nagainst this table.\n";
  for (const EventInfo& event : table) {
    page += fmt::format("\n## {}\n\n{}: {}\n", event.m_name, event.m_level,
                        event.m_help);
    if (event.m_fields.empty()) {
      continue;
    }
    page += "\n| Field | Says |\n|---|---|\n";
    for (const EventField& field : event.m_fields) {
      page +=
          fmt::format("| `{}`{} | {} |\n", field.m_name,
                      field.m_is_optional ? " (not always)" : "", field.m_help);
    }
  }
  return page;
}

}  // namespace sequoiastage
