#ifndef SEQUOIASTAGE_NODE_NODE_ADMIN_P_H_
#define SEQUOIASTAGE_NODE_NODE_ADMIN_P_H_

#include <asio/io_context.hpp>
#include <functional>
#include <string>
#include <vector>

#include "config_feed_p.h"
#include "ejection_keeper_p.h"
#include "instance_table_p.h"
#include "sequoiastage/admin/admin_handler.h"
#include "sequoiastage/http/http_server.h"
#include "sequoiastage/membership/membership.h"
#include "sequoiastage/settings/node_settings.h"
#include "traffic_stats_p.h"

namespace sequoiastage {

// What the administration API shows and changes. All of it belongs to the
// control thread and has to outlive the API.
struct NodeAdminParts {
  const NodeSettings* m_settings = nullptr;
  const Membership* m_membership = nullptr;
  ConfigFeed* m_config = nullptr;
  const EjectionKeeper* m_ejections = nullptr;
  InstanceTable* m_instances = nullptr;
  const TrafficStats* m_traffic = nullptr;
  // To be called after a change of m_instances.
  std::function<void()> m_on_instances;
  // Asks the owner of an idempotency key; calls back on the control thread.
  std::function<void(const std::string&, std::function<void(HttpResponse)>)>
      m_look_up_key;
};

// Source of the administration API's answers; see AdminSource.
class NodeAdminSource {
 public:
  explicit NodeAdminSource(NodeAdminParts parts);

  NodeStatus Status();
  ConfigState Config();
  ConfigRollout Rollout();
  std::vector<ServiceInfo> Services();
  std::vector<InstanceInfo> Instances();
  std::vector<NodeInfo> Nodes();
  std::vector<AuditRecord> Audit();
  std::vector<MetricFamily> Metrics();
  void Publish(const PublishRequest& request, const PublishDone& done);
  void SetDraining(InstanceId instance, bool draining, const DrainDone& done);
  void FindKey(const std::string& key, const KeyInfoDone& done);

 private:
  InstanceInfo ToInfo(const MemberView& member,
                      const InstanceEntry& instance) const;
  std::string ServiceName(ServiceId service) const;

  NodeAdminParts m_parts;
  TimePoint m_start;
};

// The administration API on the node's port for it. Control thread.
class NodeAdmin {
 public:
  NodeAdmin(asio::io_context& io, const NodeAdminParts& parts);

  bool Start() { return m_server.Start(); }
  void Stop() { m_server.Stop(); }
  const std::string& LastReason() const { return m_server.LastReason(); }

 private:
  void OnRequest(const HttpRequest& request, HttpResponder responder);

  NodeAdminSource m_source;
  AdminHandler<NodeAdminSource> m_handler;
  HttpServer m_server;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_NODE_ADMIN_P_H_
