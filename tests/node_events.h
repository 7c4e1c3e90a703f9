#ifndef SEQUOIASTAGE_TESTS_NODE_EVENTS_H_
#define SEQUOIASTAGE_TESTS_NODE_EVENTS_H_

#include <map>
#include <string>
#include <vector>

namespace sequoiastage {

/// One line of a node's log.
struct NodeEvent {
  /// Timestamp whose text order is its time order.
  std::string m_time;
  std::string m_name;
  std::map<std::string, std::string> m_values;

  std::string Value(const std::string& key) const;
};

/// Returns the complete lines of the file, oldest first.
std::vector<NodeEvent> ReadNodeEvents(const std::string& file);

/// Maximum number of instances ejected at the same time, from the events of all
/// nodes. An instance counts from instance_ejected to instance_readmitted.
int MaxConcurrentEjections(const std::vector<std::vector<NodeEvent>>& nodes);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_TESTS_NODE_EVENTS_H_
