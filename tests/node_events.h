#ifndef SEQUOIASTAGE_TESTS_NODE_EVENTS_H_
#define SEQUOIASTAGE_TESTS_NODE_EVENTS_H_

#include <map>
#include <string>
#include <vector>

namespace sequoiastage {

/// One line of a node's log.
struct NodeEvent {
  /// Later times are greater as text.
  std::string m_time;
  std::string m_name;
  std::map<std::string, std::string> m_values;

  std::string Value(const std::string& key) const;
};

/// The whole lines of the file, oldest first.
std::vector<NodeEvent> ReadNodeEvents(const std::string& file);

/// Instances that the nodes beside them took out of service at the same time,
/// at the most, in the events of all nodes. An instance counts from
/// instance_ejected to instance_readmitted.
int MostEjectedAtOnce(const std::vector<std::vector<NodeEvent>>& nodes);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_TESTS_NODE_EVENTS_H_
