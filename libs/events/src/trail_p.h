#ifndef SEQUOIASTAGE_EVENTS_TRAIL_P_H_
#define SEQUOIASTAGE_EVENTS_TRAIL_P_H_

#include <string>
#include <string_view>
#include <vector>

namespace sequoiastage {

// One entry of the field `trail`: a node that did not take or answer a request.
struct TrailEntry {
  std::string m_node;
  std::string m_reason;
  // As written; empty when the entry does not say.
  std::string m_told_ms;
  // Running, queued and slots at the egress: "3+2/3".
  std::string m_load;
  std::string m_hold_ms;
};

std::vector<TrailEntry> ParseTrail(std::string_view text);

// What the reason means, for a person.
std::string_view MeaningOf(std::string_view reason);

// "10.0.0.1:7000 refused: ..., (what was known, and its age)".
std::string ToText(const TrailEntry& entry);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_EVENTS_TRAIL_P_H_
