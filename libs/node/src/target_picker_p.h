#ifndef SEQUOIASTAGE_NODE_TARGET_PICKER_P_H_
#define SEQUOIASTAGE_NODE_TARGET_PICKER_P_H_

#include <random>
#include <span>
#include <unordered_map>
#include <vector>

#include "node_view_p.h"
#include "sequoiastage/routing/load_table.h"
#include "sequoiastage/routing/path_judge.h"
#include "sequoiastage/routing/selector.h"
#include "sequoiastage/wire/messages.h"

namespace sequoiastage {

// Where an attempt goes.
struct Target {
  const InstanceView* m_instance = nullptr;
  // Nothing better has room: the egress runs it though it is suspect.
  bool m_accept_suspect = false;
};

// Picks the instance for each attempt from the view, the load that rides on
// answers, and this node's own evidence about its paths. Owned by the ingress
// thread.
class TargetPicker {
 public:
  TargetPicker(NodeId own, uint64_t seed) : m_own(own), m_random(seed) {}

  void SetView(NodeViewPtr view) { m_view = std::move(view); }
  const NodeViewPtr& View() const { return m_view; }

  // Next instance to try; m_instance is null when none is left. Valid until
  // the next SetView().
  Target Pick(ServiceId service,
              const SelectionRequest& request,
              TimePoint now);

  void OnSent(InstanceId instance, NodeId node, TimePoint now);
  void OnEnded(InstanceId instance, NodeId node, TimePoint now);
  void OnLoads(const std::vector<InstanceLoad>& loads, TimePoint now);
  void OnFrame(NodeId node, TimePoint now) { m_paths.OnFrame(node, now); }
  void OnConnectionFailed(NodeId node, TimePoint now) {
    m_paths.OnConnectionFailed(node, now);
  }

  // The run of `node` with `incarnation` is over. Its instances come last
  // until the view shows the next run.
  void OnNodeReplaced(NodeId node, Incarnation incarnation) {
    m_replaced[node] = incarnation;
  }

  // To be called every 50 ms; returns the nodes to probe now.
  std::vector<NodeId> OnTick(TimePoint now);

  bool HasSuspectPaths() const { return m_paths.SuspectCount() > 0; }
  bool IsPathSuspect(NodeId node) const { return m_paths.IsSuspect(node); }

 private:
  bool IsReplaced(const InstanceView& instance) const;
  Candidate ToCandidate(const InstanceView& instance, TimePoint now) const;

  // There is no path to the own egress to judge.
  NodeId m_own;
  NodeViewPtr m_view;
  Selector m_selector;
  LoadTable m_loads;
  PathJudge m_paths;
  // The last run of each node that was found to be over.
  std::unordered_map<NodeId, Incarnation> m_replaced;
  std::mt19937_64 m_random;
  TimePoint m_next_sweep;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_TARGET_PICKER_P_H_
