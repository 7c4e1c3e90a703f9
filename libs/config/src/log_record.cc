#include "sequoiastage/config/log_record.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "record_json_p.h"
#include "sequoiastage/checkedjson/json_reader.h"

namespace sequoiastage {

namespace {

using Json = nlohmann::json;

constexpr size_t kMaxHeaderTextBytes = 128;
constexpr char kRecordSource[] = "record";

const char* ContentKey(ChangeForm form) {
  return form == ChangeForm::kPatch ? "patch" : "content";
}

Json ToJson(const RecordContent& content) {
  Json json;
  if (const auto* change = std::get_if<ConfigChange>(&content)) {
    json = HeaderToJson(change->m_header);
    json["type"] = "config_change";
    json["scope"] = change->m_scope;
    PutOffset(json, "from", change->m_from);
    json[ContentKey(change->m_form)] = change->m_content.Value();
  } else if (const auto* grant = std::get_if<EjectionGrant>(&content)) {
    json = HeaderToJson(grant->m_header);
    json["type"] = "ejection_grant";
    json["service"] = grant->m_service;
    PutOffset(json, "from", grant->m_from);
    json.update(RunToJson(grant->m_target));
    json["remaining"] = RunsToJson(grant->m_remaining);
  } else if (const auto* readmission = std::get_if<Readmission>(&content)) {
    json = HeaderToJson(readmission->m_header);
    json["type"] = "readmission";
    json["service"] = readmission->m_service;
    json.update(RunToJson(readmission->m_target));
    PutOffset(json, "grant", readmission->m_grant);
  } else if (const auto* snapshot = std::get_if<SnapshotRecord>(&content)) {
    json = HeaderToJson(snapshot->m_header);
    json["type"] = "snapshot";
    json["state"] = snapshot->m_state.Value();
  }
  return json;
}

void ReadHeaderText(JsonObject& object,
                    std::string_view key,
                    std::string& text) {
  if (object.ReadString(key, text, Presence::kRequired) &&
      text.size() > kMaxHeaderTextBytes) {
    object.ReportAt(key, "is longer than 128 bytes");
  }
}

ConfigChange ReadConfigChange(JsonObject& object) {
  ConfigChange change{.m_header = ReadHeader(object)};
  ReadHeaderText(object, "scope", change.m_scope);
  change.m_from = ReadOffset(object, "from", Presence::kOptional);
  const bool is_patch = object.Has(ContentKey(ChangeForm::kPatch));
  change.m_form = is_patch ? ChangeForm::kPatch : ChangeForm::kFull;
  auto content = object.ReadDocument(ContentKey(change.m_form), change.m_scope,
                                     Presence::kRequired);
  if (content) {
    change.m_content = std::move(*content);
  }
  if (is_patch && !change.m_from) {
    object.ReportAt("from", "is missing, but a patch needs it");
  }
  return change;
}

EjectionGrant ReadEjectionGrant(JsonObject& object) {
  EjectionGrant grant{.m_header = ReadHeader(object)};
  ReadHeaderText(object, "service", grant.m_service);
  grant.m_from = ReadOffset(object, "from", Presence::kOptional);
  grant.m_target = ReadRun(object);
  grant.m_remaining = ReadRuns(object, "remaining");
  return grant;
}

Readmission ReadReadmission(JsonObject& object) {
  Readmission readmission{.m_header = ReadHeader(object)};
  ReadHeaderText(object, "service", readmission.m_service);
  readmission.m_target = ReadRun(object);
  readmission.m_grant =
      ReadOffset(object, "grant", Presence::kRequired).value_or(LogOffset());
  return readmission;
}

SnapshotRecord ReadSnapshot(JsonObject& object) {
  SnapshotRecord snapshot{.m_header = ReadHeader(object)};
  auto state = object.ReadDocument("state", "snapshot", Presence::kRequired);
  if (state) {
    snapshot.m_state = std::move(*state);
  }
  return snapshot;
}

}  // namespace

ConfigChange ToShortestForm(ConfigChange change, const JsonDocument& before) {
  if (!change.m_from || change.m_form == ChangeForm::kPatch) {
    return change;
  }
  auto patch = MakeMergePatch(before, change.m_content);
  if (patch && patch->ToText().size() < change.m_content.ToText().size()) {
    change.m_content = std::move(*patch);
    change.m_form = ChangeForm::kPatch;
  }
  return change;
}

std::string ToRecordText(const RecordContent& content) {
  return ToJson(content).dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<RecordContent> ParseRecord(std::string_view text,
                                         Findings& findings) {
  Findings record_findings;
  const auto document =
      JsonDocument::Parse(kRecordSource, text, record_findings);
  std::optional<RecordContent> content;
  if (document) {
    JsonObject object = JsonObject::Root(*document, record_findings);
    std::string type;
    object.ReadString("type", type, Presence::kRequired);
    if (type == "config_change") {
      content = ReadConfigChange(object);
    } else if (type == "ejection_grant") {
      content = ReadEjectionGrant(object);
    } else if (type == "readmission") {
      content = ReadReadmission(object);
    } else if (type == "snapshot") {
      content = ReadSnapshot(object);
    } else if (!type.empty()) {
      object.ReportAt("type", "is an unknown type");
    }
    if (content) {
      object.ReportUnknownKeys();
    }
  }
  for (const Finding& item : record_findings.Items()) {
    findings.Add(item.m_source, item.m_pointer, item.m_message);
  }
  return record_findings.IsEmpty() ? content : std::nullopt;
}

nlohmann::json HeaderToJson(const RecordHeader& header) {
  return {{"change_id", header.m_change_id},
          {"author", header.m_author},
          {"time_ms", header.m_time.time_since_epoch().count()}};
}

RecordHeader ReadHeader(JsonObject& object) {
  RecordHeader header;
  ReadHeaderText(object, "change_id", header.m_change_id);
  ReadHeaderText(object, "author", header.m_author);
  int64_t time_ms = 0;
  object.ReadInteger<int64_t>("time_ms", time_ms, {.m_min = 0},
                              Presence::kRequired);
  header.m_time = WallTime(std::chrono::milliseconds(time_ms));
  return header;
}

void PutOffset(nlohmann::json& json,
               const char* key,
               std::optional<LogOffset> offset) {
  if (offset) {
    json[key] = offset->Get();
  }
}

std::optional<LogOffset> ReadOffset(JsonObject& object,
                                    std::string_view key,
                                    Presence presence) {
  uint64_t offset = 0;
  if (!object.ReadInteger<uint64_t>(key, offset, {.m_min = 0}, presence)) {
    return std::nullopt;
  }
  return LogOffset(offset);
}

nlohmann::json RunToJson(const InstanceRun& run) {
  return {{"instance", ToString(run.m_instance)},
          {"incarnation", run.m_incarnation.Get()}};
}

InstanceRun ReadRun(JsonObject& object) {
  Endpoint endpoint;
  uint64_t incarnation = 0;
  object.ReadEndpoint("instance", endpoint, Presence::kRequired);
  object.ReadInteger<uint64_t>("incarnation", incarnation, {.m_min = 0},
                               Presence::kRequired);
  return {.m_instance = InstanceId(endpoint),
          .m_incarnation = Incarnation(incarnation)};
}

nlohmann::json RunsToJson(const std::vector<InstanceRun>& runs) {
  Json json = Json::array();
  for (const InstanceRun& run : runs) {
    json.push_back(RunToJson(run));
  }
  return json;
}

std::vector<InstanceRun> ReadRuns(JsonObject& object, std::string_view key) {
  std::vector<InstanceRun> runs;
  for (const JsonValue& element : object.ReadArray(key, Presence::kRequired)) {
    auto run = element.AsObject();
    if (run) {
      runs.push_back(ReadRun(*run));
      run->ReportUnknownKeys();
    }
  }
  return runs;
}

}  // namespace sequoiastage
