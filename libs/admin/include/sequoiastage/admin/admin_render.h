#ifndef SEQUOIASTAGE_ADMIN_ADMIN_RENDER_H_
#define SEQUOIASTAGE_ADMIN_ADMIN_RENDER_H_

#include <optional>
#include <string>
#include <vector>

#include "sequoiastage/admin/admin_message.h"
#include "sequoiastage/admin/admin_route.h"
#include "sequoiastage/admin/admin_state.h"
#include "sequoiastage/metrics/metric_family.h"

/// Renders the state of the node as responses of the administration API.
namespace sequoiastage {

HttpAnswer RenderStatus(const NodeStatus& status);
HttpAnswer RenderConfig(const ConfigState& config);

/// Renders the accepted configuration changes of `audit`, newest first.
HttpAnswer RenderConfigHistory(const AdminRoute& route,
                               const std::vector<AuditRecord>& audit);

/// Renders how many nodes have `route.m_version` (the newest version if absent)
/// or a later one in force, and lists the others.
HttpAnswer RenderConfigRollout(const AdminRoute& route,
                               const ConfigRollout& rollout);

HttpAnswer RenderServices(const AdminRoute& route,
                          const std::vector<ServiceInfo>& services,
                          const std::vector<InstanceInfo>& instances);

/// 404 when there is no service `route.m_argument`.
HttpAnswer RenderService(const AdminRoute& route,
                         const std::vector<ServiceInfo>& services,
                         const std::vector<InstanceInfo>& instances);

HttpAnswer RenderInstances(const AdminRoute& route,
                           const std::vector<InstanceInfo>& instances);
HttpAnswer RenderNodes(const AdminRoute& route,
                       const std::vector<NodeInfo>& nodes);

/// 404 when there is no node `route.m_argument`.
HttpAnswer RenderNode(const AdminRoute& route,
                      const std::vector<NodeInfo>& nodes);

HttpAnswer RenderAudit(const AdminRoute& route,
                       const std::vector<AuditRecord>& audit);
HttpAnswer RenderMetricsText(const std::vector<MetricFamily>& metrics);
HttpAnswer RenderKeyInfo(const std::string& key,
                         const std::optional<KeyInfo>& state);
HttpAnswer RenderPublishResult(const PublishRequest& request,
                               const PublishResult& result);
HttpAnswer RenderDrainResult(const AdminRoute& route,
                             const DrainResult& result);

/// The response to a request without a valid token.
HttpAnswer RenderUnauthorized();

/// "healthy", "suspect", "ejected", "draining", "warming-up".
const char* ToText(InstanceCondition condition);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_ADMIN_ADMIN_RENDER_H_
