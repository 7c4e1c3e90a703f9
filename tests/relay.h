#ifndef SEQUOIASTAGE_TESTS_RELAY_H_
#define SEQUOIASTAGE_TESTS_RELAY_H_

#include <memory>
#include <vector>

#include "sequoiastage/base/ids.h"

namespace sequoiastage {

/// Forwards TCP and UDP traffic between nodes, from a node's advertised address
/// to the address that it binds, and TCP traffic between each node and the log.
/// Each direction between two of them can be cut separately.
class Relay {
 public:
  struct Node {
    Endpoint m_advertised;
    Endpoint m_bound;
    /// Address at which the node reaches the log.
    Endpoint m_log;
  };

  Relay(std::vector<Node> nodes, const Endpoint& log);
  ~Relay();

  /// Index of the log in Cut() and Heal().
  int Log() const;

  /// Stops all traffic from node `from` to node `to`. Datagrams are lost; bytes
  /// of connections are delayed until Heal(), as TCP would retransmit them.
  void Cut(int from, int to);
  void Heal(int from, int to);
  void CutBothDirections(int one, int other);
  void HealAll();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_TESTS_RELAY_H_
