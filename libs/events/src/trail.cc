#include <array>
#include <utility>

#include "trail_p.h"

namespace sequoiastage {

namespace {

// Takes the text up to `separator`, and the separator, off `text`.
std::string_view TakeUntil(std::string_view& text, char separator) {
  const size_t end = text.find(separator);
  const std::string_view part = text.substr(0, end);
  text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
  return part;
}

TrailEntry ParseEntry(std::string_view text) {
  std::string_view node_and_reason = TakeUntil(text, ';');
  TrailEntry entry;
  entry.m_node = TakeUntil(node_and_reason, '=');
  entry.m_reason = node_and_reason;
  while (!text.empty()) {
    std::string_view value = TakeUntil(text, ';');
    const std::string_view key = TakeUntil(value, '=');
    if (key == "told") {
      entry.m_told_ms = value;
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
    const std::string_view entry = TakeUntil(text, ' ');
    if (!entry.empty()) {
      entries.push_back(ParseEntry(entry));
    }
  }
  return entries;
}

std::string_view MeaningOf(std::string_view reason) {
  constexpr std::array<std::pair<std::string_view, std::string_view>, 16>
      kMeanings = {{
          {"busy", "its instance was full and its queue too long"},
          {"suspect", "its instance was held back after failures"},
          {"draining", "its instance or the node was leaving"},
          {"unknown-instance", "another instance, or none, was there"},
          {"retry-budget", "the budget for repeats was used up"},
          {"past-deadline", "too little of the caller's time was left"},
          {"shed", "its instance refused to run it"},
          {"connect-failed", "its instance took no connection"},
          {"incomplete-answer",
           "its instance broke the answer off or spoiled "
           "it"},
          {"timeout", "its instance did not answer in time"},
          {"slow",
           "its instance had not answered after half of the latency "
           "objective"},
          {"server-error", "its instance answered an error"},
          {"wrong-incarnation",
           "the node was restarted and can't tell what "
           "became of it"},
          {"silent", "the node did not reply to the offer"},
          {"link-lost", "the link to the node was lost"},
          {"cancelled", "it was withdrawn"},
      }};
  for (const auto& [name, meaning] : kMeanings) {
    if (name == reason) {
      return meaning;
    }
  }
  return reason;
}

std::string ToText(const TrailEntry& entry) {
  std::string text = entry.m_node + ": ";
  text += MeaningOf(entry.m_reason);
  std::string known;
  if (!entry.m_load.empty()) {
    known += "running+queued/slots " + entry.m_load;
  }
  if (!entry.m_hold_ms.empty()) {
    known += (known.empty() ? "" : ", ") + std::string("held for another ") +
             entry.m_hold_ms + " ms";
  }
  known += known.empty() ? "" : "; ";
  known += entry.m_told_ms.empty() ? "the ingress knew nothing of its load"
                                   : "the ingress had last heard of it " +
                                         entry.m_told_ms + " ms before";
  return text + " (" + known + ")";
}

}  // namespace sequoiastage
