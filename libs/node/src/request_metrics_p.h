#ifndef SEQUOIASTAGE_NODE_REQUEST_METRICS_P_H_
#define SEQUOIASTAGE_NODE_REQUEST_METRICS_P_H_

#include <array>
#include <vector>

#include "sequoiastage/base/time.h"
#include "sequoiastage/metrics/metric_registry.h"
#include "sequoiastage/wire/messages.h"

namespace sequoiastage {

// Latency of callers' requests by outcome. Owned by the ingress thread.
class RequestMetrics {
 public:
  RequestMetrics();

  void Observe(RequestOutcome outcome, Duration latency, TimePoint now);
  std::vector<MetricFamily> Collect() const { return m_registry.Collect(); }

 private:
  MetricRegistry m_registry;
  // Indexed by RequestOutcome.
  std::array<SummaryHandle, 3> m_latency;
  TimePoint m_window_end{};
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_REQUEST_METRICS_P_H_
