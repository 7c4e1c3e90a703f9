#ifndef SEQUOIASTAGE_NODE_NODE_H_
#define SEQUOIASTAGE_NODE_NODE_H_

#include <memory>
#include <string>

#include "sequoiastage/settings/node_settings.h"

/// One node of the fleet: ingress and egress in one process.
///
/// Three threads, each the only owner of its state; data is handed over whole:
/// - control: members, instances of this host, configuration, administration;
/// - ingress: callers' requests, idempotency keys, attempts in flight;
/// - egress: the gate to this host's instances, connections from other nodes.
namespace sequoiastage {

class Node {
 public:
  explicit Node(NodeSettings settings);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Binds all addresses. False with LastReason() when one can't be had.
  bool Start();

  /// Serves until SIGTERM or SIGINT, then shuts down: refuses new requests
  /// with a final answer, finishes those in flight (at most for the drain
  /// timeout of the settings) and leaves the fleet. False with LastReason()
  /// when requests were still in flight at the end.
  bool Run();

  const std::string& LastReason() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_NODE_H_
