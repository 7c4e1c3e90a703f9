#ifndef SEQUOIASTAGE_EVENTS_TRAIL_P_H_
#define SEQUOIASTAGE_EVENTS_TRAIL_P_H_

#include <string>
#include <string_view>
#include <vector>

namespace sequoiastage {

// One entry of the field `trail`: a node that refused a request or did not
// complete it.
struct TrailEntry {
  std::string m_node;
  std::string m_reason;
  // Age of the load report at the ingress, as logged; empty when the ingress
  // had none.
  std::string m_report_age_ms;
  // Running, queued and slots at the egress: "3+2/3".
  std::string m_load;
  std::string m_hold_ms;
};

std::vector<TrailEntry> ParseTrail(std::string_view text);

// Describes a reason code in words; an unknown code is returned unchanged.
std::string_view DescribeReason(std::string_view reason);

// "10.0.0.1:7000: <description of the reason> (<load, hold and report age>)".
std::string ToText(const TrailEntry& entry);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_EVENTS_TRAIL_P_H_
