#ifndef SEQUOIASTAGE_NODE_NODE_H_
#define SEQUOIASTAGE_NODE_NODE_H_

#include <memory>
#include <optional>
#include <string>

#include "sequoiastage/base/ids.h"
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
  /// The node's incarnation is the wall clock in milliseconds, and greater
  /// than `after`.
  explicit Node(NodeSettings settings, Incarnation after = {});
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Binds all addresses. False with LastReason() when one can't be had.
  bool Start();

  /// Serves until SIGTERM or SIGINT, then shuts down: refuses new requests
  /// with a final answer, finishes those in flight (at most for the drain
  /// timeout of the settings) and leaves the fleet. False when requests were
  /// still in flight at the end.
  ///
  /// It shuts down as well when the fleet knows a greater incarnation of this
  /// node: the host's clock is behind that of its predecessor, and the fleet
  /// heeds nothing this run says. SupersededBy() tells that incarnation; run
  /// the node anew after it.
  bool Run();

  std::optional<Incarnation> SupersededBy() const;

  const std::string& LastReason() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_NODE_H_
