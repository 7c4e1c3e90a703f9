#ifndef SEQUOIASTAGE_NODE_VIEW_BUILDER_P_H_
#define SEQUOIASTAGE_NODE_VIEW_BUILDER_P_H_

#include <functional>
#include <vector>

#include "node_view_p.h"
#include "sequoiastage/membership/membership.h"

namespace sequoiastage {

// Returns whether an ejection of this incarnation of the instance is enforced.
using EjectionPredicate = std::function<bool(InstanceId, Incarnation)>;

// Builds the list of instances of each service for the ingress at `own`.
// Instances of departed nodes are left out.
std::unordered_map<ServiceId, std::vector<InstanceView>> BuildInstanceViews(
    const std::vector<MemberView>& members,
    const MemberEntry& own,
    const EjectionPredicate& is_ejected);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_VIEW_BUILDER_P_H_
