#ifndef SEQUOIASTAGE_NODE_VIEW_BUILDER_P_H_
#define SEQUOIASTAGE_NODE_VIEW_BUILDER_P_H_

#include <functional>
#include <vector>

#include "node_view_p.h"
#include "sequoiastage/membership/membership.h"

namespace sequoiastage {

// Whether an instance incarnation is out of service by a grant that holds.
using IsEjected = std::function<bool(InstanceId, Incarnation)>;

// The instances of all services as the ingress at `own` selects them.
std::unordered_map<ServiceId, std::vector<InstanceView>> BuildInstanceViews(
    const std::vector<MemberView>& members,
    const MemberEntry& own,
    const IsEjected& is_ejected);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_VIEW_BUILDER_P_H_
