#include "sequoiastage/admin/admin_render.h"

#include <algorithm>

#include "admin_json_p.h"

namespace sequoiastage {

namespace {

constexpr uint16_t kHttpOk = 200;
constexpr char kRetryAfterSeconds[] = "5";

HttpResponse MakeJsonResponse(const Json& json) {
  return MakeResponse(kHttpOk, kJsonContentType, Dump(json));
}

HttpResponse RenderNotFound(std::string detail) {
  return RenderProblem(
      {.m_status = 404, .m_code = "not-found", .m_detail = std::move(detail)});
}

// The first `limit` of `items`, and the total number of items.
template <class Items, class Convert>
Json ListToJson(const char* name,
                const Items& items,
                uint32_t limit,
                const Convert& convert) {
  Json list = Json::array();
  for (const auto& item : items) {
    if (list.size() == limit) {
      break;
    }
    list.push_back(convert(item));
  }
  return {{"total", items.size()}, {name, std::move(list)}};
}

// Sorts the records by descending offset.
std::vector<AuditRecord> SortNewestFirst(std::vector<AuditRecord> audit) {
  std::stable_sort(audit.begin(), audit.end(),
                   [](const AuditRecord& left, const AuditRecord& right) {
                     return left.m_offset.Get() > right.m_offset.Get();
                   });
  return audit;
}

HttpResponse RenderRecords(const char* name,
                           const std::vector<AuditRecord>& records,
                           uint32_t limit) {
  return MakeJsonResponse(
      ListToJson(name, records, limit,
                 [](const AuditRecord& record) { return ToJson(record); }));
}

bool HasVersion(const NodeConfigVersion& node,
                std::optional<LogOffset> wanted) {
  if (!wanted) {
    return true;
  }
  return node.m_version && node.m_version->Get() >= wanted->Get();
}

HttpResponse RenderConflict(const PublishResult& result) {
  Json json = ProblemToJson(
      {.m_status = 409, .m_code = "conflict", .m_detail = result.m_reason});
  if (result.m_winner) {
    json["winner"] = ToJson(*result.m_winner);
  }
  return MakeProblemResponse(409, json);
}

HttpResponse RenderRetriable(uint16_t status,
                             const char* code,
                             const std::string& reason) {
  HttpResponse response =
      RenderProblem({.m_status = status, .m_code = code, .m_detail = reason});
  response.m_fields.push_back({"Retry-After", kRetryAfterSeconds});
  return response;
}

const char* ToText(KeyOutcome outcome) {
  switch (outcome) {
    case KeyOutcome::kNotRun:
      return "not-run";
    case KeyOutcome::kRunning:
      return "running";
    case KeyOutcome::kAnswered:
      return "answered";
    case KeyOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace

HttpResponse RenderUnauthorized() {
  HttpResponse response = RenderProblem(
      {.m_status = 401,
       .m_code = "unauthorized",
       .m_detail = "the administration API needs the node's bearer token"});
  response.m_fields.push_back({"WWW-Authenticate", "Bearer"});
  return response;
}

HttpResponse RenderStatus(const NodeStatus& status) {
  return MakeJsonResponse(ToJson(status));
}

HttpResponse RenderConfig(const ConfigState& config) {
  return MakeJsonResponse(ToJson(config));
}

HttpResponse RenderConfigHistory(const AdminRoute& route,
                                 const std::vector<AuditRecord>& audit) {
  std::vector<AuditRecord> changes;
  std::copy_if(audit.begin(), audit.end(), std::back_inserter(changes),
               [](const AuditRecord& record) {
                 return record.m_kind == AuditKind::kConfigChange &&
                        record.m_is_accepted;
               });
  return RenderRecords("changes", SortNewestFirst(std::move(changes)),
                       route.m_limit);
}

HttpResponse RenderConfigRollout(const AdminRoute& route,
                                 const ConfigRollout& rollout) {
  const auto wanted = route.m_version ? route.m_version : rollout.m_version;
  std::vector<NodeConfigVersion> missing;
  std::copy_if(rollout.m_nodes.begin(), rollout.m_nodes.end(),
               std::back_inserter(missing), [&](const NodeConfigVersion& node) {
                 return !HasVersion(node, wanted);
               });
  Json json = {{"version", ToJson(wanted)},
               {"nodes", rollout.m_nodes.size()},
               {"in_force", rollout.m_nodes.size() - missing.size()}};
  const Json list = ListToJson(
      "missing", missing, route.m_limit, [](const NodeConfigVersion& node) {
        return Json{{"node", ToString(node.m_node)},
                    {"failure_domain", node.m_failure_domain},
                    {"config_version", ToJson(node.m_version)}};
      });
  json["missing"] = list["missing"];
  return MakeJsonResponse(json);
}

HttpResponse RenderServices(const AdminRoute& route,
                            const std::vector<ServiceInfo>& services,
                            const std::vector<InstanceInfo>& instances) {
  return MakeJsonResponse(ListToJson(
      "services", services, route.m_limit,
      [&](const ServiceInfo& service) { return ToJson(service, instances); }));
}

HttpResponse RenderService(const AdminRoute& route,
                           const std::vector<ServiceInfo>& services,
                           const std::vector<InstanceInfo>& instances) {
  for (const ServiceInfo& service : services) {
    if (service.m_name != route.m_argument) {
      continue;
    }
    Json json = ToJson(service, instances);
    json["members"] = Json::array();
    for (const InstanceInfo& instance : instances) {
      if (instance.m_service == service.m_name) {
        json["members"].push_back(ToJson(instance));
      }
    }
    return MakeJsonResponse(json);
  }
  return RenderNotFound("there is no service \"" + route.m_argument +
                        "\" in the configuration in force");
}

HttpResponse RenderInstances(const AdminRoute& route,
                             const std::vector<InstanceInfo>& instances) {
  std::vector<InstanceInfo> wanted;
  std::copy_if(instances.begin(), instances.end(), std::back_inserter(wanted),
               [&](const InstanceInfo& instance) {
                 return route.m_service.empty() ||
                        instance.m_service == route.m_service;
               });
  return MakeJsonResponse(
      ListToJson("instances", wanted, route.m_limit,
                 [](const InstanceInfo& item) { return ToJson(item); }));
}

HttpResponse RenderNodes(const AdminRoute& route,
                         const std::vector<NodeInfo>& nodes) {
  return MakeJsonResponse(
      ListToJson("nodes", nodes, route.m_limit,
                 [](const NodeInfo& node) { return ToJson(node); }));
}

HttpResponse RenderNode(const AdminRoute& route,
                        const std::vector<NodeInfo>& nodes) {
  for (const NodeInfo& node : nodes) {
    if (ToString(node.m_node) == route.m_argument) {
      return MakeJsonResponse(ToJson(node));
    }
  }
  return RenderNotFound("this node knows no live node \"" + route.m_argument +
                        "\"");
}

HttpResponse RenderAudit(const AdminRoute& route,
                         const std::vector<AuditRecord>& audit) {
  return RenderRecords("records", SortNewestFirst(audit), route.m_limit);
}

HttpResponse RenderMetricsText(const std::vector<MetricFamily>& metrics) {
  return MakeResponse(kHttpOk, kMetricsContentType, RenderMetrics(metrics));
}

HttpResponse RenderKeyInfo(const std::string& key,
                           const std::optional<KeyInfo>& state) {
  if (!state) {
    return RenderNotFound("no node issued the key \"" + key + "\"");
  }
  return MakeJsonResponse({{"key", key},
                           {"outcome", ToText(state->m_outcome)},
                           {"owner", ToString(state->m_owner)},
                           {"reason", state->m_reason}});
}

HttpResponse RenderPublishResult(const PublishRequest& request,
                                 const PublishResult& result) {
  switch (result.m_verdict) {
    case PublishVerdict::kAccepted:
      return MakeJsonResponse({{"result", "accepted"},
                               {"scope", request.m_scope},
                               {"version", result.m_version.Get()},
                               {"change_id", request.m_change_id}});
    case PublishVerdict::kConflict:
      return RenderConflict(result);
    case PublishVerdict::kInvalid:
      return RenderProblem({.m_status = 422,
                            .m_code = "invalid-config",
                            .m_detail = result.m_reason,
                            .m_findings = result.m_findings});
    case PublishVerdict::kLogUnavailable:
      return RenderRetriable(503, "log-unavailable", result.m_reason);
    case PublishVerdict::kUnknown:
      break;
  }
  return RenderRetriable(504, "unknown", result.m_reason);
}

HttpResponse RenderDrainResult(const AdminRoute& route,
                               const DrainResult& result) {
  switch (result.m_verdict) {
    case DrainVerdict::kDone:
      return MakeJsonResponse(
          {{"instance", route.m_argument},
           {"draining", route.m_action == AdminAction::kInstanceDrain}});
    case DrainVerdict::kNoSuchInstance:
      return RenderNotFound("this node knows no instance \"" +
                            route.m_argument + "\"");
    case DrainVerdict::kOtherNode:
      break;
  }
  const std::string node = ToString(result.m_node);
  Json json = ProblemToJson(
      {.m_status = 421,
       .m_code = "other-node",
       .m_detail = "the instance is beside node " + node + "; ask that one"});
  json["node"] = node;
  return MakeProblemResponse(421, json);
}

}  // namespace sequoiastage
