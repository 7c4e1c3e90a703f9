#ifndef SEQUOIASTAGE_NODE_NODE_VIEW_P_H_
#define SEQUOIASTAGE_NODE_NODE_VIEW_P_H_

#include <algorithm>
#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/config/config.h"
#include "sequoiastage/config/route_table.h"
#include "sequoiastage/routing/selector.h"

namespace sequoiastage {

// State of an instance for target selection at the ingress.
struct InstanceView {
  InstanceId m_id;
  NodeId m_node;
  Incarnation m_node_incarnation;
  Locality m_locality = Locality::kOtherRegion;
  uint16_t m_slots = 1;
  bool m_is_suspect = false;
  bool m_is_warming_up = false;
  bool m_is_unreachable = false;
  // Draining, removed or ejected: receives no new requests.
  bool m_is_excluded = false;
  // Belongs to the subset that this ingress keeps connections to.
  bool m_is_in_subset = true;
};

// Immutable snapshot of the control thread's state for the ingress thread.
struct NodeView {
  std::shared_ptr<const Config> m_config;
  std::shared_ptr<const RouteTable> m_routes;
  std::unordered_map<ServiceId, std::vector<InstanceView>> m_instances;
};

using NodeViewPtr = std::shared_ptr<const NodeView>;

// True when at least one instance of the service is not excluded.
inline bool HasAvailableInstance(const NodeView& view, ServiceId service) {
  const auto found = view.m_instances.find(service);
  return found != view.m_instances.end() &&
         std::any_of(found->second.begin(), found->second.end(),
                     [](const InstanceView& instance) {
                       return !instance.m_is_excluded;
                     });
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_NODE_VIEW_P_H_
