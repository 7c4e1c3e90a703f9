#ifndef SEQUOIASTAGE_TESTS_RELAY_H_
#define SEQUOIASTAGE_TESTS_RELAY_H_

#include <memory>
#include <vector>

#include "sequoiastage/base/ids.h"

namespace sequoiastage {

/// Stands between nodes: takes TCP and UDP at the address that others know of
/// a node, and passes them to where the node is bound. It can cut the way from
/// one node to another; the way back is cut by a call of its own.
class Relay {
 public:
  struct Node {
    Endpoint m_known;
    Endpoint m_bound;
  };

  explicit Relay(std::vector<Node> nodes);
  ~Relay();

  /// From now on nothing from node `from` reaches node `to`. Datagrams are
  /// lost; bytes of connections are held back, as they would be sent again.
  void Cut(int from, int to);
  void Heal(int from, int to);
  void HealAll();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_TESTS_RELAY_H_
