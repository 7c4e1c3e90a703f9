#ifndef SEQUOIASTAGE_NODE_TARGET_PICKER_P_H_
#define SEQUOIASTAGE_NODE_TARGET_PICKER_P_H_

#include <random>
#include <span>
#include <unordered_map>
#include <vector>

#include "node_view_p.h"
#include "sequoiastage/routing/load_table.h"
#include "sequoiastage/routing/path_monitor.h"
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
  // the next SetView(). The first try prefers the subset while a healthy
  // instance of it has room; in other regions, while none nearer has.
  Target Pick(ServiceId service,
              const SelectionRequest& request,
              TimePoint now);

  // As Pick() for a copy of a request that runs long: only a healthy instance
  // of this region that has a free slot and no attempt of the request.
  Target PickCopy(ServiceId service,
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
  // Null when the service has none.
  const std::vector<InstanceView>* InstancesOf(ServiceId service) const;

  enum class Among : uint8_t { kSubset, kAll };

  // First of an order; m_instance is null when there is none to try.
  struct Best {
    const InstanceView* m_instance = nullptr;
    ChoiceReason m_reason = ChoiceReason::kTried;
    // No instance of the service was left out of the order.
    bool m_is_of_all = false;

    bool HasRoom() const {
      return m_reason == ChoiceReason::kHealthy ||
             m_reason == ChoiceReason::kProbation;
    }
    bool IsNear() const {
      return m_instance != nullptr &&
             m_instance->m_locality != Locality::kOtherRegion;
    }
  };

  // Choices with the instances that their indexes mean.
  struct Ordered {
    std::vector<Choice> m_choices;
    std::vector<const InstanceView*> m_instances;
  };

  Ordered Order(const std::vector<InstanceView>& instances,
                Among among,
                const SelectionRequest& request,
                TimePoint now);
  Best First(const std::vector<InstanceView>& instances,
             Among among,
             const SelectionRequest& request,
             TimePoint now);
  static Target ToTarget(const Best& best);
  bool IsReplaced(const InstanceView& instance) const;
  Candidate ToCandidate(const InstanceView& instance, TimePoint now) const;

  // There is no path to the own egress to judge.
  NodeId m_own;
  NodeViewPtr m_view;
  Selector m_selector;
  LoadTable m_loads;
  PathMonitor m_paths;
  // The last run of each node that was found to be over.
  std::unordered_map<NodeId, Incarnation> m_replaced;
  std::mt19937_64 m_random;
  TimePoint m_next_sweep;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_TARGET_PICKER_P_H_
