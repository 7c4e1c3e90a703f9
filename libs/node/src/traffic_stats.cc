#include "traffic_stats_p.h"

#include <string>

#include "sequoiastage/metrics/metric_registry.h"

namespace sequoiastage {

namespace {

struct Label {
  std::string m_name{};
  std::string m_value{};
};

MetricOptions MakeOptions(const std::string& name,
                          const std::string& help,
                          const Label& label) {
  MetricOptions options{.m_name = "sequoiastage_" + name, .m_help = help};
  if (!label.m_name.empty()) {
    options.m_labels = {{label.m_name, label.m_value}};
  }
  return options;
}

void AddCounter(MetricRegistry& metrics,
                const std::string& name,
                const std::string& help,
                uint64_t value,
                const Label& label = {}) {
  metrics.Increment(metrics.AddCounter(MakeOptions(name, help, label)), value);
}

void AddGauge(MetricRegistry& metrics,
              const std::string& name,
              const std::string& help,
              uint64_t value) {
  metrics.Set(metrics.AddGauge(MakeOptions(name, help, {})),
              static_cast<double>(value));
}

void AddIngressMetrics(const TrafficStats& traffic, MetricRegistry& metrics) {
  const IngressStats& stats = traffic.m_ingress;
  const std::string requests =
      "Callers' requests by the outcome told to the caller.";
  AddCounter(metrics, "requests_total", requests, stats.m_answered,
             {"outcome", "answered"});
  AddCounter(metrics, "requests_total", requests, stats.m_not_run,
             {"outcome", "not-run"});
  AddCounter(metrics, "requests_total", requests, stats.m_unknown,
             {"outcome", "unknown"});
  AddCounter(metrics, "requests_refused_total",
             "Requests refused before an instance was chosen.",
             stats.m_refused);
  AddGauge(metrics, "requests_in_flight",
           "Callers' requests without an answer yet.",
           traffic.m_ingress_in_flight);
  AddCounter(metrics, "attempts_total",
             "Attempts sent to an egress, retries included.",
             stats.m_runner.m_attempts);
  AddCounter(metrics, "retries_total",
             "Attempts after the first one of a request.",
             stats.m_runner.m_retries);
  AddCounter(metrics, "hedges_total",
             "Copies of idempotent requests that ran long.",
             stats.m_runner.m_hedges);
  AddCounter(metrics, "hedges_won_total", "Copies that brought the answer.",
             stats.m_runner.m_hedges_won);
  AddCounter(metrics, "other_region_attempts_total",
             "Attempts sent to instances in other regions.",
             stats.m_runner.m_other_region_attempts);
  AddCounter(metrics, "other_region_bytes_total",
             "Bytes of requests and answers over links to other regions.",
             stats.m_runner.m_other_region_bytes);
  AddGauge(metrics, "idempotency_keys",
           "Idempotency keys this node holds a state for.",
           stats.m_keys.m_keys);
  AddCounter(metrics, "idempotency_keys_replayed_total",
             "Stored answers given again for a key.", stats.m_keys.m_replayed);
}

void AddEgressMetrics(const TrafficStats& traffic, MetricRegistry& metrics) {
  const EgressStats& stats = traffic.m_egress;
  const std::string attempts =
      "Attempts at this host's instances by what became of them.";
  AddCounter(metrics, "egress_attempts_total", attempts, stats.m_answered,
             {"result", "answered"});
  AddCounter(metrics, "egress_attempts_total", attempts, stats.m_failed,
             {"result", "failed"});
  AddCounter(metrics, "egress_attempts_total", attempts, stats.m_refused,
             {"result", "refused"});
  AddCounter(metrics, "egress_attempts_total", attempts, stats.m_cancelled,
             {"result", "cancelled"});
  AddCounter(metrics, "egress_started_total",
             "Attempts started at an instance.", stats.m_started);
  AddGauge(metrics, "egress_in_flight",
           "Attempts queued or running on this host.",
           traffic.m_egress_in_flight);
}

void AddControlMetrics(const ControlStats& control, MetricRegistry& metrics) {
  AddGauge(metrics, "members", "Nodes this node knows.", control.m_members);
  AddGauge(metrics, "instances", "Instances announced on this host.",
           control.m_local_instances);
  AddGauge(metrics, "config_offset",
           "Log offset up to which the configuration is in force.",
           control.m_config_version);
  AddGauge(metrics, "log_reachable",
           "1 when the last read of the log succeeded.",
           control.m_is_log_reachable ? 1 : 0);
  const MembershipStats& stats = control.m_membership;
  const std::string bytes = "Bytes of gossip datagrams.";
  AddCounter(metrics, "gossip_bytes_total", bytes, stats.m_bytes_in,
             {"direction", "in"});
  AddCounter(metrics, "gossip_bytes_total", bytes, stats.m_bytes_out,
             {"direction", "out"});
  AddCounter(metrics, "gossip_probes_failed_total",
             "Probes of members without an answer.", stats.m_probes_failed);
}

}  // namespace

std::vector<MetricFamily> ToMetrics(const TrafficStats& traffic,
                                    const ControlStats& control) {
  MetricRegistry metrics;
  AddIngressMetrics(traffic, metrics);
  AddEgressMetrics(traffic, metrics);
  AddControlMetrics(control, metrics);
  std::vector<MetricFamily> families = metrics.Collect();
  MergeMetrics(&families, traffic.m_ingress_metrics);
  return families;
}

}  // namespace sequoiastage
