#ifndef SEQUOIASTAGE_NODE_NODE_H_
#define SEQUOIASTAGE_NODE_NODE_H_

#include <memory>
#include <optional>
#include <string>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/settings/node_settings.h"

/// One node of the fleet: ingress and egress in one process.
///
/// It runs three threads. Each one owns its state exclusively and passes copies
/// or immutable snapshots to the others:
/// - control: membership, instances on this host, configuration,
///   administration;
/// - ingress: callers' requests, idempotency keys, attempts in flight;
/// - egress: admission to the instances on this host, connections from other
///   nodes.
namespace sequoiastage {

class Node {
 public:
  /// The node's incarnation is the wall-clock time in milliseconds, or
  /// `after` + 1 if that is greater.
  explicit Node(NodeSettings settings, Incarnation after = {});
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Binds all addresses. Returns false and sets LastReason() when one can't be
  /// bound.
  bool Start();

  /// Serves until SIGTERM or SIGINT, then drains: refuses new requests with a
  /// final response, waits for those in flight (at most for the drain timeout
  /// of the settings) and leaves the fleet. Returns false when requests were
  /// still in flight at the end.
  ///
  /// Also drains when the fleet has a greater incarnation of this node. This
  /// happens when the host's clock is behind that of the previous run; the
  /// fleet then ignores all state of this incarnation. Restart the node with
  /// SupersededBy() as `after`.
  bool Run();

  /// The greater incarnation of this node if it made Run() drain, else empty.
  std::optional<Incarnation> SupersededBy() const;

  /// Why Start() failed; empty before a failure.
  const std::string& LastReason() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_NODE_H_
