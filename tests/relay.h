#ifndef SEQUOIASTAGE_TESTS_RELAY_H_
#define SEQUOIASTAGE_TESTS_RELAY_H_

#include <memory>
#include <vector>

#include "sequoiastage/base/ids.h"

namespace sequoiastage {

/// Stands between nodes: takes TCP and UDP at the address that others know of
/// a node, and passes them to where the node is bound; and between each node
/// and the log. It can cut the way from one to another; the way back is cut by
/// a call of its own.
class Relay {
 public:
  struct Node {
    Endpoint m_known;
    Endpoint m_bound;
    /// Where the node reaches the log.
    Endpoint m_log;
  };

  Relay(std::vector<Node> nodes, const Endpoint& log);
  ~Relay();

  /// Stands for the log in Cut() and Heal().
  int Log() const;

  /// From now on nothing from node `from` reaches node `to`. Datagrams are
  /// lost; bytes of connections are held back, as they would be sent again.
  void Cut(int from, int to);
  void Heal(int from, int to);
  void CutBothWays(int one, int other);
  void HealAll();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_TESTS_RELAY_H_
