#ifndef SEQUOIASTAGE_ADMIN_TESTS_FAKE_ADMIN_SOURCE_H_
#define SEQUOIASTAGE_ADMIN_TESTS_FAKE_ADMIN_SOURCE_H_

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sequoiastage/admin/admin_handler.h"

namespace sequoiastage {

// Returns the values of its members. Stores the callbacks of Publish(), so that
// a test decides when a publish completes.
struct FakeAdminSource {
  NodeStatus m_status;
  ConfigState m_config;
  ConfigRollout m_rollout;
  std::vector<ServiceInfo> m_services;
  std::vector<InstanceInfo> m_instances;
  std::vector<NodeInfo> m_nodes;
  std::vector<AuditRecord> m_audit;
  std::vector<MetricFamily> m_metrics;
  std::map<std::string, KeyInfo> m_keys;
  DrainResult m_drain_result;

  std::vector<std::pair<PublishRequest, PublishDone>> m_publishes;
  std::vector<std::pair<InstanceId, bool>> m_drains;

  NodeStatus Status() { return m_status; }
  ConfigState Config() { return m_config; }
  ConfigRollout Rollout() { return m_rollout; }
  std::vector<ServiceInfo> Services() { return m_services; }
  std::vector<InstanceInfo> Instances() { return m_instances; }
  std::vector<NodeInfo> Nodes() { return m_nodes; }
  std::vector<AuditRecord> Audit() { return m_audit; }
  std::vector<MetricFamily> Metrics() { return m_metrics; }

  void Publish(const PublishRequest& request, PublishDone done) {
    m_publishes.emplace_back(request, std::move(done));
  }

  void SetDraining(InstanceId instance, bool draining, const DrainDone& done) {
    m_drains.emplace_back(instance, draining);
    done(m_drain_result);
  }

  void FindKey(const std::string& key, const KeyInfoDone& done) {
    const auto found = m_keys.find(key);
    done(found == m_keys.end() ? std::nullopt
                               : std::optional<KeyInfo>(found->second));
  }
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_ADMIN_TESTS_FAKE_ADMIN_SOURCE_H_
