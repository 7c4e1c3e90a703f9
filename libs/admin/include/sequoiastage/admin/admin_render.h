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

AdminResponse RenderStatus(const NodeStatus& status);
AdminResponse RenderConfig(const ConfigState& config);

/// Accepted configuration changes of `audit`, newest first.
AdminResponse RenderConfigHistory(const AdminRoute& route,
                                  const std::vector<AuditRecord>& audit);

/// Which nodes have version `route.m_version` (else the newest) or a later one
/// in force, and which miss it.
AdminResponse RenderConfigRollout(const AdminRoute& route,
                                  const ConfigRollout& rollout);

AdminResponse RenderServices(const AdminRoute& route,
                             const std::vector<ServiceState>& services,
                             const std::vector<InstanceState>& instances);

/// 404 when there is no service `route.m_argument`.
AdminResponse RenderService(const AdminRoute& route,
                            const std::vector<ServiceState>& services,
                            const std::vector<InstanceState>& instances);

AdminResponse RenderInstances(const AdminRoute& route,
                              const std::vector<InstanceState>& instances);
AdminResponse RenderNodes(const AdminRoute& route,
                          const std::vector<NodeState>& nodes);

/// 404 when there is no node `route.m_argument`.
AdminResponse RenderNode(const AdminRoute& route,
                         const std::vector<NodeState>& nodes);

AdminResponse RenderAudit(const AdminRoute& route,
                          const std::vector<AuditRecord>& audit);
AdminResponse RenderMetricsText(const std::vector<MetricFamily>& metrics);
AdminResponse RenderKeyState(const std::string& key,
                             const std::optional<KeyState>& state);
AdminResponse RenderPublishResult(const PublishRequest& request,
                                  const PublishResult& result);
AdminResponse RenderDrainResult(const AdminRoute& route,
                                const DrainResult& result);

/// The answer to a request without the right token.
AdminResponse RenderUnauthorized();

/// "healthy", "suspect", "ejected", "draining", "warming-up".
const char* ToText(InstanceStanding standing);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_ADMIN_ADMIN_RENDER_H_
