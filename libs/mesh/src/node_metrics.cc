#include "sequoiastage/mesh/node_metrics.h"

#include <concepts>
#include <utility>
#include <vector>

namespace sequoiastage {

namespace {

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

const std::string kPrefix = "sequoiastage_mesh_";

class MetricFamilyList {
 public:
  void AddCounter(const std::string& name,
                  const std::string& help,
                  uint64_t value) {
    AddSample(name, help, MetricType::kCounter, static_cast<double>(value), {});
  }

  void AddGauge(const std::string& name,
                const std::string& help,
                double value) {
    AddSample(name, help, MetricType::kGauge, value, {});
  }

  void AddLabelledGauge(const std::string& name,
                        const std::string& help,
                        const std::string& label,
                        const std::string& label_value,
                        double value) {
    AddSample(name, help, MetricType::kGauge, value,
              {{.m_name = label, .m_value = label_value}});
  }

  // Adds one sample for each label value.
  void AddLabelled(
      const std::string& name,
      const std::string& help,
      MetricType type,
      const std::string& label,
      const std::vector<std::pair<std::string, uint64_t>>& values) {
    for (const auto& [label_value, value] : values) {
      AddSample(name, help, type, static_cast<double>(value),
                {{.m_name = label, .m_value = label_value}});
    }
  }

  // Adds one sample for each account; `value_of` returns its value.
  template <std::invocable<const AccountReport&> ValueOf>
  void AddByAccount(const std::string& name,
                    const std::string& help,
                    MetricType type,
                    const std::vector<AccountReport>& accounts,
                    const ValueOf& value_of) {
    for (const AccountReport& account : accounts) {
      AddSample(name, help, type, static_cast<double>(value_of(account)),
                {{.m_name = "account", .m_value = account.m_usage.m_account}});
    }
  }

  void AddHistogram(const std::string& name,
                    const std::string& help,
                    std::vector<MetricSample> samples) {
    m_families.push_back({.m_name = kPrefix + name,
                          .m_help = help,
                          .m_type = MetricType::kHistogram,
                          .m_samples = std::move(samples)});
  }

  std::string Render() const { return RenderMetrics(m_families); }

 private:
  void AddSample(std::string name,
                 std::string help,
                 MetricType type,
                 double value,
                 std::vector<MetricLabel> labels) {
    name.insert(0, kPrefix);
    if (m_families.empty() || m_families.back().m_name != name) {
      m_families.push_back({.m_name = std::move(name),
                            .m_help = std::move(help),
                            .m_type = type,
                            .m_samples = {}});
    }
    m_families.back().m_samples.push_back(
        {.m_labels = std::move(labels), .m_value = value});
  }

  std::vector<MetricFamily> m_families;
};

void AddLimits(MetricFamilyList& families, const AccountLimiterStats& limits) {
  families.AddCounter("limited_requests_total",
                      "Requests of accounts with a limit.", limits.m_requests);
  families.AddCounter("limited_requests_refused_total",
                      "Of these, rejected over the limit.", limits.m_refused);
  families.AddLabelled(
      "limit_tokens_total", "Tokens of account limits by their use.",
      MetricType::kCounter, "use",
      {{"spent", limits.m_spent},
       {"returned", limits.m_returned},
       {"granted", limits.m_granted},
       {"lent", static_cast<uint64_t>(limits.m_lent)},
       {"borrowed", static_cast<uint64_t>(limits.m_borrowed)}});
  families.AddCounter("limit_coordinator_changes_total",
                      "Changes of the coordinator of a shard of accounts.",
                      limits.m_coordinator_changes);
  families.AddGauge("limit_buckets", "Accounts that this node coordinates.",
                    static_cast<double>(limits.m_buckets));
  const std::vector<AccountReport>& accounts = limits.m_accounts;
  families.AddByAccount(
      "account_requests_total",
      "Requests of the accounts that were refused or sent "
      "most; starts again when an account is dropped.",
      MetricType::kCounter, accounts,
      [](const AccountReport& account) { return account.m_usage.m_requests; });
  families.AddByAccount(
      "account_refused_total", "Requests of these accounts over their limit.",
      MetricType::kCounter, accounts,
      [](const AccountReport& account) { return account.m_usage.m_refused; });
  families.AddByAccount(
      "account_tokens_spent_total", "Tokens that these accounts used.",
      MetricType::kCounter, accounts,
      [](const AccountReport& account) { return account.m_usage.m_spent; });
  families.AddByAccount(
      "account_tokens_lent_total",
      "Tokens of these accounts that this node lent to other coordinators.",
      MetricType::kCounter, accounts,
      [](const AccountReport& account) { return account.m_loans.m_lent; });
  families.AddByAccount(
      "account_tokens_borrowed_total",
      "Tokens of these accounts that this node borrowed from others.",
      MetricType::kCounter, accounts,
      [](const AccountReport& account) { return account.m_loans.m_borrowed; });
  families.AddByAccount(
      "account_limit_per_second",
      "Limit of these accounts over all nodes, in requests per second.",
      MetricType::kGauge, accounts,
      [](const AccountReport& account) { return account.m_limit.Get(); });
}

}  // namespace

std::string RenderNodeMetrics(const NodeMetrics& metrics) {
  const IngressStats& ingress = metrics.m_ingress;
  const EgressStats& egress = metrics.m_egress;
  MetricFamilyList families;
  families.AddLabelled("requests_total", "Requests of callers by their end.",
                       MetricType::kCounter, "outcome",
                       {{"answered", ingress.m_answered},
                        {"not-run", ingress.m_not_run},
                        {"unknown", ingress.m_unknown},
                        {"cancelled", ingress.m_cancelled},
                        {"unrouted", ingress.m_unrouted},
                        {"unauthorized", ingress.m_unauthorized},
                        {"misconfigured", ingress.m_misconfigured},
                        {"over-limit", ingress.m_over_limit}});
  families.AddHistogram("request_duration_seconds",
                        "Requests of callers from arrival to end.",
                        metrics.m_request_latencies);
  families.AddHistogram("instance_duration_seconds",
                        "Attempts at this node's instance.",
                        {metrics.m_instance_latency});
  families.AddCounter("repeats_total",
                      "Attempts beyond the first of their request.",
                      ingress.m_extra_attempts);
  families.AddLabelled(
      "offers_total", "Offers to this node's instance.", MetricType::kCounter,
      "verdict",
      {{"started", egress.m_started}, {"refused", egress.m_refused}});
  families.AddCounter("broken_answers_total",
                      "Attempts that ended without a whole answer.",
                      egress.m_broken);
  families.AddCounter("instance_holds_total", "Holds of this node's instance.",
                      egress.m_holds);
  families.AddCounter("instance_connections_total",
                      "Connections opened to this node's instance.",
                      egress.m_connections);
  families.AddCounter("config_rejects_total",
                      "Configurations that were not valid.",
                      metrics.m_config_rejects);
  families.AddCounter("store_era_changes_total",
                      "Restarts of the store from an older copy.",
                      metrics.m_store_era_changes);
  families.AddCounter(
      "statements_ignored_total",
      "Statements about a start of a node or instance other than the known "
      "one.",
      metrics.m_ignored_statements);
  families.AddGauge("store_era", "Latest known era of the store.",
                    static_cast<double>(metrics.m_store_era.Get()));
  families.AddCounter("log_lines_dropped_total",
                      "Log lines for which there was no room.",
                      metrics.m_dropped_log_lines);
  families.AddGauge("requests", "Requests of callers in flight.",
                    static_cast<double>(metrics.m_requests));
  families.AddGauge("connections", "Open connections of callers.",
                    static_cast<double>(metrics.m_connections));
  families.AddGauge("slots", "Slots of this node's instance.",
                    metrics.m_load.m_slots);
  families.AddGauge("running", "Slots in use.", metrics.m_load.m_running);
  families.AddGauge("queued", "Offers waiting for a slot.",
                    metrics.m_load.m_queued);
  families.AddGauge(
      "hold_seconds", "Time until the instance is tried again.",
      ToSeconds(std::chrono::milliseconds(metrics.m_load.m_hold_ms)));
  families.AddGauge(
      "stated_limit_per_second",
      "Requests per second that the instance accepts; -1 when not limited.",
      metrics.m_stated_limit ? metrics.m_stated_limit->Get() : -1);
  families.AddCounter("calls_refused_total",
                      "Calls of the instance that ended for lack of capacity.",
                      ingress.m_calls_refused);
  families.AddGauge("calls_paused",
                    "Calls of the instance that wait to be offered again.",
                    static_cast<double>(ingress.m_calls_paused));
  families.AddGauge("queued_calls",
                    "Calls of running requests that wait for a slot.",
                    static_cast<double>(egress.m_queued_calls));
  families.AddGauge("starved_accounts",
                    "Accounts with precedence because they were served rarely.",
                    static_cast<double>(egress.m_starved_accounts));
  families.AddCounter("boosted_total", "Requests started early for that.",
                      egress.m_boosted);
  families.AddCounter(
      "downstream_refused_total",
      "Offers refused because a service that they call is short of capacity.",
      egress.m_downstream_refused);
  for (const LimitedRoute& limited : egress.m_limited_routes) {
    families.AddLabelledGauge(
        "route_limit",
        "Requests of a route that may run; absent when it is not limited.",
        "route", limited.m_route, limited.m_limit);
  }
  families.AddGauge("members", "Nodes known.",
                    static_cast<double>(metrics.m_members));
  families.AddGauge("crash_reports",
                    "Recent crashes of instances with the requests that ran.",
                    static_cast<double>(metrics.m_crash_reports));
  families.AddGauge("quarantined_requests",
                    "Requests that are rejected because they crash instances.",
                    static_cast<double>(metrics.m_quarantined_requests));
  families.AddCounter("requests_quarantined_total",
                      "Requests of callers rejected for that.",
                      ingress.m_quarantined);
  families.AddCounter("attempts_quarantined_total",
                      "Attempts at this node's instance rejected for that.",
                      egress.m_quarantined);
  const ByteBudget& budget = metrics.m_budget;
  families.AddLabelled(
      "held_bytes", "Message bytes held, by what holds them.",
      MetricType::kGauge, "kind",
      {{"caller-requests", budget.Held(HeldKind::kCallerRequests)},
       {"caller-responses", budget.Held(HeldKind::kCallerResponses)},
       {"links", budget.Held(HeldKind::kLinks)},
       {"instance-requests", budget.Held(HeldKind::kInstanceRequests)},
       {"instance-responses", budget.Held(HeldKind::kInstanceResponses)}});
  families.AddGauge("held_bytes_limit",
                    "Byte budget; applies while the configuration manages "
                    "load.",
                    static_cast<double>(budget.Limit()));
  families.AddGauge("held_bytes_peak", "Most message bytes held at a time.",
                    static_cast<double>(budget.Peak()));
  families.AddCounter("byte_refusals_total",
                      "Requests refused because the byte budget was short.",
                      budget.Refusals());
  families.AddGauge("instance_large_bytes",
                    "Bytes of large requests accepted for the instance.",
                    static_cast<double>(metrics.m_large_bytes));
  families.AddGauge("instance_large_bytes_bound",
                    "Learned bound of these bytes; -1 while unknown.",
                    metrics.m_large_bytes_bound == SIZE_MAX
                        ? -1
                        : static_cast<double>(metrics.m_large_bytes_bound));
  families.AddCounter("instance_byte_refusals_total",
                      "Large offers refused because of held bytes.",
                      egress.m_byte_refusals);
  families.AddGauge("config_version", "Configuration in force; 0 when none is.",
                    static_cast<double>(metrics.m_config_version));
  families.AddGauge("config_findings", "Its faults; what has them is left out.",
                    static_cast<double>(metrics.m_config_findings));
  families.AddGauge("accounts", "Its client accounts.",
                    static_cast<double>(metrics.m_accounts));
  families.AddGauge("config_age_seconds", "Since it came into force here.",
                    ToSeconds(metrics.m_config_age));
  families.AddGauge("knowledge_age_seconds",
                    "Since this node, or its relay, heard from the store.",
                    ToSeconds(metrics.m_knowledge_age));
  AddLimits(families, metrics.m_limits);
  families.AddGauge("ready", "1 when the node takes new callers.",
                    metrics.m_is_ready ? 1 : 0);
  return families.Render();
}

}  // namespace sequoiastage
