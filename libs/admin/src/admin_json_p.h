#ifndef SEQUOIASTAGE_ADMIN_ADMIN_JSON_P_H_
#define SEQUOIASTAGE_ADMIN_ADMIN_JSON_P_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "sequoiastage/admin/admin_message.h"
#include "sequoiastage/admin/admin_state.h"

namespace sequoiastage {

/// Keeps the order of members, which makes responses easier to read.
using Json = nlohmann::ordered_json;

Json ProblemToJson(const AdminProblem& problem);
HttpResponse MakeResponse(uint16_t status,
                          const char* content_type,
                          std::string body);
HttpResponse MakeProblemResponse(uint16_t status, const Json& json);

/// Serializes `json` as indented text; invalid UTF-8 is replaced.
std::string Dump(const Json& json);

/// Null when there is no version.
Json ToJson(std::optional<LogOffset> version);

Json ToJson(const NodeStatus& status);
Json ToJson(const ConfigState& config);
Json ToJson(const AuditRecord& record);
Json ToJson(const InstanceInfo& instance);
Json ToJson(const NodeInfo& node);

/// The service with the counts of its `instances` by condition.
Json ToJson(const ServiceInfo& service,
            const std::vector<InstanceInfo>& instances);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_ADMIN_ADMIN_JSON_P_H_
