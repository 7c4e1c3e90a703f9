#ifndef SEQUOIASTAGE_ADMIN_ADMIN_RENDER_H_
#define SEQUOIASTAGE_ADMIN_ADMIN_RENDER_H_

#include <optional>
#include <string>
#include <vector>

#include "sequoiastage/admin/admin_message.h"
#include "sequoiastage/admin/admin_route.h"
#include "sequoiastage/admin/admin_state.h"
#include "sequoiastage/metrics/metric_family.h"

/// State of the node as answers of the administration API.
namespace sequoiastage {

HttpResponse RenderStatus(const NodeStatus& status);
HttpResponse RenderConfig(const ConfigState& config);

/// Accepted configuration changes of `audit`, newest first.
HttpResponse RenderConfigHistory(const AdminRoute& route,
                                 const std::vector<AuditRecord>& audit);

/// Which nodes have version `route.m_version` (else the newest) or a later one
/// in force, and which miss it.
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

/// The answer to a request without the right token.
HttpResponse RenderUnauthorized();

/// "healthy", "suspect", "ejected", "draining", "warming-up".
const char* ToText(InstanceStanding standing);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_ADMIN_ADMIN_RENDER_H_
