#include "sequoiastage/config/replay_state.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "record_json_p.h"
#include "sequoiastage/checkedjson/json_reader.h"

namespace sequoiastage {

namespace {

using Json = nlohmann::json;

constexpr std::array<std::string_view, 5> kVerdictNames = {
    "accepted", "conflict", "void", "invalid", "duplicate"};

Json ScopeToJson(const ScopeState& scope) {
  Json json = HeaderToJson(scope.m_header);
  json["version"] = scope.m_version.Get();
  json["content"] = scope.m_content.ToDocument("").Value();
  return json;
}

ScopeState ReadScope(const std::string& name, JsonObject& object) {
  ScopeState scope{
      .m_version = ReadOffset(object, "version", Presence::kRequired)
                       .value_or(LogOffset()),
      .m_header = ReadHeader(object)};
  auto content = object.ReadDocument("content", name, Presence::kRequired);
  if (content) {
    scope.m_content = ScopeContent(*content);
  }
  object.ReportUnknownKeys();
  return scope;
}

Json EjectionsToJson(const ServiceEjections& ejections) {
  Json json = {{"ejected", Json::array()},
               {"remaining", RunsToJson(ejections.m_remaining)}};
  PutOffset(json, "version", ejections.m_version);
  for (const auto& [instance, ejection] : ejections.m_ejected) {
    Json run = RunToJson(
        {.m_instance = instance, .m_incarnation = ejection.m_incarnation});
    PutOffset(run, "grant", ejection.m_grant);
    json["ejected"].push_back(std::move(run));
  }
  return json;
}

ServiceEjections ReadEjections(const std::string& service, JsonObject& object) {
  ServiceEjections ejections{
      .m_service = service,
      .m_version = ReadOffset(object, "version", Presence::kOptional)};
  for (const JsonValue& element :
       object.ReadArray("ejected", Presence::kRequired)) {
    auto item = element.AsObject();
    if (!item) {
      continue;
    }
    const InstanceRun run = ReadRun(*item);
    ejections.m_ejected[run.m_instance] = {
        .m_incarnation = run.m_incarnation,
        .m_grant = ReadOffset(*item, "grant", Presence::kRequired)
                       .value_or(LogOffset())};
    item->ReportUnknownKeys();
  }
  ejections.m_remaining = ReadRuns(object, "remaining");
  object.ReportUnknownKeys();
  return ejections;
}

Json AuditToJson(const AuditEntry& entry) {
  Json json = {{"offset", entry.m_offset.Get()},
               {"change_id", entry.m_header.m_change_id},
               {"author", entry.m_header.m_author},
               {"time_ms", entry.m_header.m_time.time_since_epoch().count()},
               {"subject", entry.m_subject},
               {"verdict", ToString(entry.m_verdict)},
               {"reason", entry.m_reason},
               {"differences", entry.m_differences}};
  PutOffset(json, "from", entry.m_from);
  return json;
}

AuditVerdict ReadVerdict(JsonObject& object) {
  std::string name;
  object.ReadString("verdict", name, Presence::kRequired);
  for (size_t i = 0; i < kVerdictNames.size(); ++i) {
    if (name == kVerdictNames[i]) {
      return static_cast<AuditVerdict>(i);
    }
  }
  object.ReportAt("verdict", "is unknown");
  return AuditVerdict::kInvalid;
}

AuditEntry ReadAudit(JsonObject& object) {
  AuditEntry entry;
  entry.m_offset =
      ReadOffset(object, "offset", Presence::kRequired).value_or(LogOffset());
  object.ReadText("change_id", entry.m_header.m_change_id, Presence::kRequired);
  object.ReadText("author", entry.m_header.m_author, Presence::kRequired);
  int64_t time_ms = 0;
  object.ReadInteger<int64_t>("time_ms", time_ms, {}, Presence::kRequired);
  entry.m_header.m_time = WallTime(std::chrono::milliseconds(time_ms));
  object.ReadText("subject", entry.m_subject, Presence::kRequired);
  entry.m_from = ReadOffset(object, "from", Presence::kOptional);
  entry.m_verdict = ReadVerdict(object);
  object.ReadText("reason", entry.m_reason, Presence::kRequired);
  entry.m_differences = object.ReadStrings("differences", Presence::kRequired);
  object.ReportUnknownKeys();
  return entry;
}

void ReadMembers(JsonObject& root, ReplayState& state) {
  if (auto scopes = root.ReadObject("scopes", Presence::kRequired)) {
    for (const auto& [name, value] : scopes->Members()) {
      if (auto object = value.AsObject()) {
        state.m_scopes.emplace(name, ReadScope(name, *object));
      }
    }
  }
  if (auto services = root.ReadObject("ejections", Presence::kRequired)) {
    for (const auto& [name, value] : services->Members()) {
      if (auto object = value.AsObject()) {
        state.m_ejections.emplace(MakeServiceId(name),
                                  ReadEjections(name, *object));
      }
    }
  }
  for (const JsonValue& element : root.ReadArray("audit")) {
    if (auto object = element.AsObject()) {
      state.m_audit.push_back(ReadAudit(*object));
    }
  }
}

}  // namespace

std::optional<LogOffset> ReplayState::FindVersion(
    std::string_view scope) const {
  const auto found = m_scopes.find(scope);
  if (found == m_scopes.end()) {
    return std::nullopt;
  }
  return found->second.m_version;
}

std::string_view ToString(AuditVerdict verdict) {
  return kVerdictNames[static_cast<size_t>(verdict)];
}

JsonDocument ToDocument(const ReplayState& state) {
  Json json = {{"next", state.m_next.Get()},
               {"scopes", Json::object()},
               {"ejections", Json::object()},
               {"audit", Json::array()}};
  for (const auto& [name, scope] : state.m_scopes) {
    json["scopes"][name] = ScopeToJson(scope);
  }
  for (const auto& [id, ejections] : state.m_ejections) {
    json["ejections"][ejections.m_service] = EjectionsToJson(ejections);
  }
  for (const AuditEntry& entry : state.m_audit) {
    json["audit"].push_back(AuditToJson(entry));
  }
  return JsonDocument::FromValue("state", json);
}

std::optional<ReplayState> ParseReplayState(const JsonDocument& document,
                                            Findings& findings) {
  Findings state_findings;
  JsonObject root = JsonObject::Root(document, state_findings);
  ReplayState state;
  state.m_next =
      ReadOffset(root, "next", Presence::kRequired).value_or(LogOffset());
  ReadMembers(root, state);
  root.ReportUnknownKeys();
  for (const Finding& item : state_findings.Items()) {
    findings.Add(item.m_source, item.m_pointer, item.m_message);
  }
  if (!state_findings.IsEmpty()) {
    return std::nullopt;
  }
  return state;
}

}  // namespace sequoiastage
