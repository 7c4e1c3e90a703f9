#ifndef SEQUOIASTAGE_NODE_TRAFFIC_STATS_P_H_
#define SEQUOIASTAGE_NODE_TRAFFIC_STATS_P_H_

#include <cstddef>
#include <vector>

#include "egress_p.h"
#include "ingress_p.h"
#include "sequoiastage/membership/membership.h"
#include "sequoiastage/metrics/metric_family.h"

namespace sequoiastage {

// Latest snapshot of the counters of the traffic threads.
struct TrafficStats {
  IngressStats m_ingress;
  std::vector<MetricFamily> m_ingress_metrics;
  size_t m_ingress_in_flight = 0;
  EgressStats m_egress;
  size_t m_egress_in_flight = 0;
};

// Counters of the control thread.
struct ControlStats {
  MembershipStats m_membership;
  size_t m_members = 0;
  size_t m_local_instances = 0;
  uint64_t m_config_version = 0;
  bool m_is_log_reachable = false;
};

// Converts the counters to metric families for export.
std::vector<MetricFamily> ToMetrics(const TrafficStats& traffic,
                                    const ControlStats& control);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_TRAFFIC_STATS_P_H_
