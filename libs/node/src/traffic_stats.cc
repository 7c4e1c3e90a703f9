#include "traffic_stats_p.h"

#include <string>

namespace sequoiastage {

namespace {

struct Series {
  std::vector<MetricLabel> m_labels;
  double m_value = 0;
};

MetricFamily MakeFamily(MetricType type,
                        const std::string& name,
                        const std::string& help,
                        const std::vector<Series>& series) {
  MetricFamily family{
      .m_name = "sequoiastage_" + name, .m_help = help, .m_type = type};
  for (const Series& one : series) {
    family.m_samples.push_back(
        {.m_labels = one.m_labels, .m_value = one.m_value});
  }
  return family;
}

MetricFamily Counter(const std::string& name,
                     const std::string& help,
                     uint64_t value) {
  return MakeFamily(MetricType::kCounter, name, help,
                    {{.m_labels = {}, .m_value = static_cast<double>(value)}});
}

MetricFamily Gauge(const std::string& name,
                   const std::string& help,
                   uint64_t value) {
  return MakeFamily(MetricType::kGauge, name, help,
                    {{.m_labels = {}, .m_value = static_cast<double>(value)}});
}

Series Labelled(const char* label, const char* value, uint64_t count) {
  return {.m_labels = {{label, value}}, .m_value = static_cast<double>(count)};
}

void AddIngress(const TrafficStats& traffic,
                std::vector<MetricFamily>* families) {
  const IngressStats& stats = traffic.m_ingress;
  families->push_back(
      MakeFamily(MetricType::kCounter, "requests_total",
                 "Callers' requests by the outcome told to the caller.",
                 {Labelled("outcome", "answered", stats.m_answered),
                  Labelled("outcome", "not-run", stats.m_not_run),
                  Labelled("outcome", "unknown", stats.m_unknown)}));
  families->push_back(Counter("requests_refused_total",
                              "Requests refused before an instance was chosen.",
                              stats.m_refused));
  families->push_back(Gauge("requests_in_flight",
                            "Callers' requests without an answer yet.",
                            traffic.m_ingress_in_flight));
  families->push_back(Counter("attempts_total",
                              "Attempts sent to an egress, retries included.",
                              stats.m_runner.m_attempts));
  families->push_back(Counter("retries_total",
                              "Attempts after the first one of a request.",
                              stats.m_runner.m_retries));
  families->push_back(Gauge("idempotency_keys",
                            "Idempotency keys this node holds a state for.",
                            stats.m_keys.m_keys));
  families->push_back(Counter("idempotency_keys_replayed_total",
                              "Stored answers given again for a key.",
                              stats.m_keys.m_replayed));
}

void AddEgress(const TrafficStats& traffic,
               std::vector<MetricFamily>* families) {
  const EgressStats& stats = traffic.m_egress;
  families->push_back(
      MakeFamily(MetricType::kCounter, "egress_attempts_total",
                 "Attempts at this host's instances by what became of them.",
                 {Labelled("result", "answered", stats.m_answered),
                  Labelled("result", "failed", stats.m_failed),
                  Labelled("result", "refused", stats.m_refused),
                  Labelled("result", "cancelled", stats.m_cancelled)}));
  families->push_back(Counter("egress_started_total",
                              "Attempts started at an instance.",
                              stats.m_started));
  families->push_back(Gauge("egress_in_flight",
                            "Attempts queued or running on this host.",
                            traffic.m_egress_in_flight));
}

void AddControl(const ControlStats& control,
                std::vector<MetricFamily>* families) {
  families->push_back(
      Gauge("members", "Nodes this node knows.", control.m_members));
  families->push_back(Gauge("instances", "Instances announced on this host.",
                            control.m_own_instances));
  families->push_back(Gauge("config_offset",
                            "Log offset up to which the configuration is in "
                            "force.",
                            control.m_config_version));
  families->push_back(Gauge("log_reachable",
                            "1 when the last read of the log succeeded.",
                            control.m_is_log_reachable ? 1 : 0));
  const MembershipStats& stats = control.m_membership;
  families->push_back(MakeFamily(
      MetricType::kCounter, "gossip_bytes_total", "Bytes of gossip datagrams.",
      {Labelled("direction", "in", stats.m_bytes_in),
       Labelled("direction", "out", stats.m_bytes_out)}));
  families->push_back(Counter("gossip_probes_failed_total",
                              "Probes of members without an answer.",
                              stats.m_probes_failed));
}

}  // namespace

std::vector<MetricFamily> ToMetrics(const TrafficStats& traffic,
                                    const ControlStats& control) {
  std::vector<MetricFamily> families;
  AddIngress(traffic, &families);
  AddEgress(traffic, &families);
  AddControl(control, &families);
  return families;
}

}  // namespace sequoiastage
