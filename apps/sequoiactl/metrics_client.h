#ifndef SEQUOIASTAGE_SEQUOIACTL_METRICS_CLIENT_H_
#define SEQUOIASTAGE_SEQUOIACTL_METRICS_CLIENT_H_

#include <string>
#include <vector>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"

namespace sequoiastage {

/// Response of one node to GET /metrics.
struct MetricsResponse {
  Endpoint m_node;
  /// HTTP status code, 0 when no complete response was received.
  int m_status = 0;
  std::string m_body{};
  /// Reason why no response was received; empty otherwise.
  std::string m_reason{};
};

struct MetricsFetchOptions {
  /// Timeout of each call, connect included.
  Duration m_timeout = std::chrono::seconds(2);
  /// Number of calls that run at a time. Bounds the open sockets.
  size_t m_max_calls = 64;
};

/// Requests the metrics of all nodes, and blocks until each has responded or
/// its timeout has passed. Returns the responses in the order of `nodes`.
std::vector<MetricsResponse> FetchMetrics(
    const std::vector<Endpoint>& nodes,
    const MetricsFetchOptions& options = {});

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_SEQUOIACTL_METRICS_CLIENT_H_
