#include "sequoiastage/admin/admin_render.h"

#include <algorithm>

#include "admin_json_p.h"

namespace sequoiastage {

namespace {

constexpr char kRetryAfterSeconds[] = "5";

AdminResponse JsonResponse(const Json& json) {
  return {.m_status = 200,
          .m_content_type = kJsonContentType,
          .m_body = Dump(json)};
}

AdminResponse NotFound(std::string detail) {
  return RenderProblem(
      {.m_status = 404, .m_code = "not-found", .m_detail = std::move(detail)});
}

// At most `limit` of `items`, and how many there are.
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

// The records, newest first.
std::vector<AuditRecord> NewestFirst(std::vector<AuditRecord> audit) {
  std::stable_sort(audit.begin(), audit.end(),
                   [](const AuditRecord& left, const AuditRecord& right) {
                     return left.m_offset.Get() > right.m_offset.Get();
                   });
  return audit;
}

AdminResponse RenderRecords(const char* name,
                            const std::vector<AuditRecord>& records,
                            uint32_t limit) {
  return JsonResponse(
      ListToJson(name, records, limit,
                 [](const AuditRecord& record) { return ToJson(record); }));
}

AdminResponse RenderConflict(const PublishResult& result) {
  Json json = ProblemToJson(
      {.m_status = 409, .m_code = "conflict", .m_detail = result.m_reason});
  if (result.m_winner) {
    json["winner"] = ToJson(*result.m_winner);
  }
  return ProblemResponse(409, json);
}

AdminResponse RenderRetriable(int status,
                              const char* code,
                              const std::string& reason) {
  AdminResponse response =
      RenderProblem({.m_status = status, .m_code = code, .m_detail = reason});
  response.m_headers.push_back({"Retry-After", kRetryAfterSeconds});
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

AdminResponse RenderUnauthorized() {
  AdminResponse response = RenderProblem(
      {.m_status = 401,
       .m_code = "unauthorized",
       .m_detail = "the administration API needs the node's bearer token"});
  response.m_headers.push_back({"WWW-Authenticate", "Bearer"});
  return response;
}

AdminResponse RenderStatus(const NodeStatus& status) {
  return JsonResponse(ToJson(status));
}

AdminResponse RenderConfig(const ConfigState& config) {
  return JsonResponse(ToJson(config));
}

AdminResponse RenderConfigHistory(const AdminRoute& route,
                                  const std::vector<AuditRecord>& audit) {
  std::vector<AuditRecord> changes;
  std::copy_if(audit.begin(), audit.end(), std::back_inserter(changes),
               [](const AuditRecord& record) {
                 return record.m_kind == AuditKind::kConfigChange &&
                        record.m_is_accepted;
               });
  return RenderRecords("changes", NewestFirst(std::move(changes)),
                       route.m_limit);
}

AdminResponse RenderConfigRollout(const AdminRoute& route,
                                  const ConfigRollout& rollout) {
  const LogOffset version = route.m_version.value_or(rollout.m_version);
  std::vector<NodeConfigVersion> missing;
  std::copy_if(rollout.m_nodes.begin(), rollout.m_nodes.end(),
               std::back_inserter(missing), [&](const NodeConfigVersion& node) {
                 return node.m_version.Get() < version.Get();
               });
  Json json = {{"version", version.Get()},
               {"nodes", rollout.m_nodes.size()},
               {"in_force", rollout.m_nodes.size() - missing.size()}};
  const Json list = ListToJson(
      "missing", missing, route.m_limit, [](const NodeConfigVersion& node) {
        return Json{{"node", ToString(node.m_node)},
                    {"failure_domain", node.m_failure_domain},
                    {"config_version", node.m_version.Get()}};
      });
  json["missing"] = list["missing"];
  return JsonResponse(json);
}

AdminResponse RenderServices(const AdminRoute& route,
                             const std::vector<ServiceState>& services,
                             const std::vector<InstanceState>& instances) {
  return JsonResponse(ListToJson(
      "services", services, route.m_limit,
      [&](const ServiceState& service) { return ToJson(service, instances); }));
}

AdminResponse RenderService(const AdminRoute& route,
                            const std::vector<ServiceState>& services,
                            const std::vector<InstanceState>& instances) {
  for (const ServiceState& service : services) {
    if (service.m_name != route.m_argument) {
      continue;
    }
    Json json = ToJson(service, instances);
    json["members"] = Json::array();
    for (const InstanceState& instance : instances) {
      if (instance.m_service == service.m_name) {
        json["members"].push_back(ToJson(instance));
      }
    }
    return JsonResponse(json);
  }
  return NotFound("there is no service \"" + route.m_argument +
                  "\" in the configuration in force");
}

AdminResponse RenderInstances(const AdminRoute& route,
                              const std::vector<InstanceState>& instances) {
  std::vector<InstanceState> wanted;
  std::copy_if(instances.begin(), instances.end(), std::back_inserter(wanted),
               [&](const InstanceState& instance) {
                 return route.m_service.empty() ||
                        instance.m_service == route.m_service;
               });
  return JsonResponse(
      ListToJson("instances", wanted, route.m_limit,
                 [](const InstanceState& item) { return ToJson(item); }));
}

AdminResponse RenderNodes(const AdminRoute& route,
                          const std::vector<NodeState>& nodes) {
  return JsonResponse(
      ListToJson("nodes", nodes, route.m_limit,
                 [](const NodeState& node) { return ToJson(node); }));
}

AdminResponse RenderNode(const AdminRoute& route,
                         const std::vector<NodeState>& nodes) {
  for (const NodeState& node : nodes) {
    if (ToString(node.m_node) == route.m_argument) {
      return JsonResponse(ToJson(node));
    }
  }
  return NotFound("this node knows no live node \"" + route.m_argument + "\"");
}

AdminResponse RenderAudit(const AdminRoute& route,
                          const std::vector<AuditRecord>& audit) {
  return RenderRecords("records", NewestFirst(audit), route.m_limit);
}

AdminResponse RenderMetricsText(const std::vector<MetricFamily>& metrics) {
  return {.m_status = 200,
          .m_content_type = kMetricsContentType,
          .m_body = RenderMetrics(metrics)};
}

AdminResponse RenderKeyState(const std::string& key,
                             const std::optional<KeyState>& state) {
  if (!state) {
    return NotFound("no node issued the key \"" + key + "\"");
  }
  return JsonResponse({{"key", key},
                       {"outcome", ToText(state->m_outcome)},
                       {"owner", ToString(state->m_owner)},
                       {"answer_status", state->m_answer_status},
                       {"reason", state->m_reason}});
}

AdminResponse RenderPublishResult(const PublishRequest& request,
                                  const PublishResult& result) {
  switch (result.m_verdict) {
    case PublishVerdict::kAccepted:
      return JsonResponse({{"result", "accepted"},
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

AdminResponse RenderDrainResult(const AdminRoute& route,
                                const DrainResult& result) {
  switch (result.m_verdict) {
    case DrainVerdict::kDone:
      return JsonResponse(
          {{"instance", route.m_argument},
           {"draining", route.m_action == AdminAction::kInstanceDrain}});
    case DrainVerdict::kNoSuchInstance:
      return NotFound("this node knows no instance \"" + route.m_argument +
                      "\"");
    case DrainVerdict::kOtherNode:
      break;
  }
  const std::string node = ToString(result.m_node);
  Json json = ProblemToJson(
      {.m_status = 421,
       .m_code = "other-node",
       .m_detail = "the instance is beside node " + node + "; ask that one"});
  json["node"] = node;
  return ProblemResponse(421, json);
}

}  // namespace sequoiastage
