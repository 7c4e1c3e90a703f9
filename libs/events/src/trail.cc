#include <array>
#include <utility>

#include "trail_p.h"

namespace sequoiastage {

namespace {

// Returns the text before `separator` and removes it from `text` together with
// the separator.
std::string_view ConsumeUntil(std::string_view& text, char separator) {
  const size_t end = text.find(separator);
  const std::string_view part = text.substr(0, end);
  text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
  return part;
}

TrailEntry ParseEntry(std::string_view text) {
  std::string_view node_and_reason = ConsumeUntil(text, ';');
  TrailEntry entry;
  entry.m_node = ConsumeUntil(node_and_reason, '=');
  entry.m_reason = node_and_reason;
  while (!text.empty()) {
    std::string_view value = ConsumeUntil(text, ';');
    const std::string_view key = ConsumeUntil(value, '=');
    if (key == "told") {
      entry.m_report_age_ms = value;
    } else if (key == "load") {
      entry.m_load = value;
    } else if (key == "hold") {
      entry.m_hold_ms = value;
    }
  }
  return entry;
}

}  // namespace

std::vector<TrailEntry> ParseTrail(std::string_view text) {
  std::vector<TrailEntry> entries;
  while (!text.empty()) {
    const std::string_view entry = ConsumeUntil(text, ' ');
    if (!entry.empty()) {
      entries.push_back(ParseEntry(entry));
    }
  }
  return entries;
}

std::string_view DescribeReason(std::string_view reason) {
  constexpr std::array<std::pair<std::string_view, std::string_view>, 18>
      kDescriptions = {{
          {"busy", "the instance was full and its queue too long"},
          {"suspect", "the instance was held after failures"},
          {"draining", "the instance or its node was draining"},
          {"instance-left", "the instance was leaving or had left"},
          {"unknown-instance", "the node had another instance, or none"},
          {"retry-budget", "the retry budget was used up"},
          {"downstream-busy",
           "a service that the request would call was short of capacity"},
          {"past-deadline",
           "too little time was left until the caller's deadline"},
          {"shed", "the instance refused to run the request"},
          {"connect-failed", "the instance accepted no connection"},
          {"incomplete-answer",
           "the instance sent an incomplete or malformed "
           "response"},
          {"timeout", "the instance did not respond in time"},
          {"slow",
           "the instance had not responded after half of the latency "
           "objective"},
          {"server-error", "the instance responded with an error"},
          {"wrong-incarnation",
           "the node was restarted and the outcome of the attempt "
           "is lost"},
          {"silent", "the node did not reply to the offer"},
          {"link-lost", "the link to the node was lost"},
          {"cancelled", "the ingress cancelled the attempt"},
      }};
  for (const auto& [name, description] : kDescriptions) {
    if (name == reason) {
      return description;
    }
  }
  return reason;
}

std::string ToText(const TrailEntry& entry) {
  std::string text = entry.m_node + ": ";
  text += DescribeReason(entry.m_reason);
  std::string details;
  if (!entry.m_load.empty()) {
    details += "running+queued/slots " + entry.m_load;
  }
  if (!entry.m_hold_ms.empty()) {
    details += (details.empty() ? "" : ", ") +
               std::string("held for another ") + entry.m_hold_ms + " ms";
  }
  details += details.empty() ? "" : "; ";
  details +=
      entry.m_report_age_ms.empty()
          ? "the ingress had no load report"
          : "the last load report was " + entry.m_report_age_ms + " ms old";
  return text + " (" + details + ")";
}

}  // namespace sequoiastage
