#ifndef SEQUOIASTAGE_MESH_NODE_METRICS_H_
#define SEQUOIASTAGE_MESH_NODE_METRICS_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "sequoiastage/base/byte_budget.h"
#include "sequoiastage/base/time.h"
#include "sequoiastage/mesh/account_limiter.h"
#include "sequoiastage/mesh/egress.h"
#include "sequoiastage/mesh/ingress.h"
#include "sequoiastage/metrics/metric_family.h"

namespace sequoiastage {

/// Snapshot of the metrics of a mesh node.
struct NodeMetrics {
  IngressStats m_ingress;
  AccountLimiterStats m_limits;
  EgressStats m_egress;
  EgressLoadReport m_load;
  /// Rate limit that the instance states; empty when it states none.
  std::optional<RequestRate> m_stated_limit;
  std::vector<MetricSample> m_request_latencies;
  MetricSample m_instance_latency;
  size_t m_requests = 0;
  size_t m_connections = 0;
  size_t m_members = 0;
  size_t m_crash_reports = 0;
  size_t m_quarantined_requests = 0;
  uint64_t m_config_version = 0;
  Duration m_config_age{};
  Duration m_knowledge_age{};
  uint64_t m_config_rejects = 0;
  /// Faults of the configuration in force.
  size_t m_config_findings = 0;
  size_t m_accounts = 0;
  /// Latest known era of the store, and the rises noticed since the start.
  StoreEra m_store_era;
  uint64_t m_store_era_changes = 0;
  /// Statements about a start of a node, or of this node's instance, other than
  /// the known one.
  uint64_t m_ignored_statements = 0;
  ByteBudget m_budget{0};
  /// Bytes of the large requests accepted for the instance, and their learned
  /// bound; SIZE_MAX while that is unknown.
  size_t m_large_bytes = 0;
  size_t m_large_bytes_bound = SIZE_MAX;
  uint64_t m_dropped_log_lines = 0;
  bool m_is_ready = false;
};

/// Renders the metrics in the Prometheus text format, each with a HELP line.
std::string RenderNodeMetrics(const NodeMetrics& metrics);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_NODE_METRICS_H_
