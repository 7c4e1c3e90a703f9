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

HttpResponse RenderStatus(const NodeStatus& status);
HttpResponse RenderConfig(const ConfigState& config);

/// Renders the accepted configuration changes of `audit`, newest first.
HttpResponse RenderConfigHistory(const AdminRoute& route,
                                 const std::vector<AuditRecord>& audit);

/// Renders how many nodes have `route.m_version` (the newest version if absent)
/// or a later one in force, and lists the others.
HttpResponse RenderConfigRollout(const AdminRoute& route,
                                 const ConfigRollout& rollout);

HttpResponse RenderServices(const AdminRoute& route,
                            const std::vector<ServiceInfo>& services,
                            const std::vector<InstanceInfo>& instances);

/// 404 when there is no service `route.m_argument`.
HttpResponse RenderService(const AdminRoute& route,
                           const std::vector<ServiceInfo>& services,
                           const std::vector<InstanceInfo>& instances);

HttpResponse RenderInstances(const AdminRoute& route,
                             const std::vector<InstanceInfo>& instances);
HttpResponse RenderNodes(const AdminRoute& route,
                         const std::vector<NodeInfo>& nodes);

/// 404 when there is no node `route.m_argument`.
HttpResponse RenderNode(const AdminRoute& route,
                        const std::vector<NodeInfo>& nodes);

HttpResponse RenderAudit(const AdminRoute& route,
                         const std::vector<AuditRecord>& audit);
HttpResponse RenderMetricsText(const std::vector<MetricFamily>& metrics);
HttpResponse RenderKeyInfo(const std::string& key,
                           const std::optional<KeyInfo>& state);
HttpResponse RenderPublishResult(const PublishRequest& request,
                                 const PublishResult& result);
HttpResponse RenderDrainResult(const AdminRoute& route,
                               const DrainResult& result);

/// The response to a request without a valid token.
HttpResponse RenderUnauthorized();

/// "healthy", "suspect", "ejected", "draining", "warming-up".
const char* ToText(InstanceCondition condition);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_ADMIN_ADMIN_RENDER_H_
