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

// The instance that an attempt is sent to.
struct Target {
  const InstanceView* m_instance = nullptr;
  // No better instance has room: the egress accepts the attempt even if the
  // instance is suspect.
  bool m_accept_suspect = false;
};

// Picks the instance for each attempt from the view, the load reports in
// results, and this node's own evidence about its paths. Owned by the ingress
// thread.
class TargetPicker {
 public:
  TargetPicker(NodeId own_node, uint64_t seed)
      : m_own_node(own_node), m_random(seed) {}

  void SetView(NodeViewPtr view) { m_view = std::move(view); }
  const NodeViewPtr& View() const { return m_view; }

  // Next instance to try; m_instance is null when none is left. Valid until the
  // next SetView(). The first attempt prefers the subset while a healthy
  // instance of it has room; one in another region only if no instance of this
  // region ranks higher.
  Target Pick(ServiceId service,
              const SelectionRequest& request,
              TimePoint now);

  // As Pick() for a hedge: only a healthy instance of this region that has a
  // free slot and no attempt of the request.
  Target PickHedge(ServiceId service,
                   const SelectionRequest& request,
                   TimePoint now);

  void OnSent(InstanceId instance, NodeId node, TimePoint now);
  void OnEnded(InstanceId instance, NodeId node, TimePoint now);
  void OnLoads(const std::vector<InstanceLoad>& loads, TimePoint now);
  void OnFrame(NodeId node, TimePoint now) { m_paths.OnFrame(node, now); }
  void OnConnectionFailed(NodeId node, TimePoint now) {
    m_paths.OnConnectionFailed(node, now);
  }

  // `incarnation` of `node` has ended. Its instances are ranked last until the
  // view contains the next incarnation.
  void OnNodeReplaced(NodeId node, Incarnation incarnation) {
    m_replaced_incarnations[node] = incarnation;
  }

  // Runs periodic work; call every 50 ms. Returns the nodes to probe now.
  std::vector<NodeId> OnTick(TimePoint now);

  bool HasSuspectPaths() const { return m_paths.SuspectCount() > 0; }
  bool IsPathSuspect(NodeId node) const { return m_paths.IsSuspect(node); }

 private:
  // Null when the service has no instances.
  const std::vector<InstanceView>* FindInstances(ServiceId service) const;

  enum class CandidateSet : uint8_t { kSubset, kAll };

  // Highest-ranked instance; m_instance is null when none is left to try.
  struct TopChoice {
    const InstanceView* m_instance = nullptr;
    ChoiceReason m_reason = ChoiceReason::kTried;
    // All instances of the service were ranked.
    bool m_is_from_all = false;

    bool HasRoom() const {
      return m_reason == ChoiceReason::kHealthy ||
             m_reason == ChoiceReason::kProbation;
    }
    bool IsInOwnRegion() const {
      return m_instance != nullptr &&
             m_instance->m_locality != Locality::kOtherRegion;
    }
  };

  // Choices, and the instances that their indexes refer to.
  struct RankedInstances {
    std::vector<Choice> m_choices;
    std::vector<const InstanceView*> m_instances;
  };

  RankedInstances RankInstances(const std::vector<InstanceView>& instances,
                                CandidateSet candidate_set,
                                const SelectionRequest& request,
                                TimePoint now);
  TopChoice GetTopChoice(const std::vector<InstanceView>& instances,
                         CandidateSet candidate_set,
                         const SelectionRequest& request,
                         TimePoint now);
  static Target ToTarget(const TopChoice& best);
  bool IsReplaced(const InstanceView& instance) const;
  Candidate ToCandidate(const InstanceView& instance, TimePoint now) const;

  // The own egress is reached without a path, so no path evidence is kept for
  // it.
  NodeId m_own_node;
  NodeViewPtr m_view;
  Selector m_selector;
  LoadTable m_loads;
  PathMonitor m_paths;
  // Last incarnation of each node that was found to have ended.
  std::unordered_map<NodeId, Incarnation> m_replaced_incarnations;
  std::mt19937_64 m_random;
  TimePoint m_next_sweep;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_TARGET_PICKER_P_H_
