#include "sequoiastage/config/log_replay.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "audit_p.h"
#include "config_update_p.h"
#include "sequoiastage/checkedjson/json_reader.h"

namespace sequoiastage {

namespace {

constexpr size_t kMaxScopeBytes = 128;

// Content that results from patches must fit in a record, as full content does.
constexpr size_t kMaxRecordHeaderBytes = 4096;
constexpr size_t kMaxContentBytes =
    JsonDocument::kMaxTextBytes - kMaxRecordHeaderBytes;

// Base and overlays in force, used to validate a change.
struct Documents {
  std::optional<JsonDocument> m_base;
  std::map<std::string, JsonDocument> m_overlays;

  void Put(const std::string& scope, const JsonDocument& content) {
    if (scope == kBaseScope) {
      m_base = content;
    } else if (content.IsEmptyObject()) {
      m_overlays.erase(scope);
    } else {
      m_overlays.insert_or_assign(scope, content);
    }
  }
};

Documents BuildDocuments(const ReplayState& state) {
  Documents documents;
  for (const auto& [name, scope] : state.m_scopes) {
    documents.Put(name, scope.m_content.ToDocument(name));
  }
  return documents;
}

std::optional<FleetConfig> CheckDocuments(const Documents& documents,
                                          Findings& findings) {
  if (!documents.m_base) {
    findings.Add(std::string(kBaseScope), "", "is not there yet");
    return std::nullopt;
  }
  return CheckFleetConfig(*documents.m_base, documents.m_overlays, findings);
}

// Reads the first offset that `snapshot` does not cover.
std::optional<LogOffset> ReadSnapshotEnd(const SnapshotRecord& snapshot) {
  Findings findings;
  JsonObject root = JsonObject::Root(snapshot.m_state, findings);
  uint64_t next = 0;
  if (!root.ReadInteger<uint64_t>("next", next, {.m_min = 0},
                                  Presence::kRequired)) {
    return std::nullopt;
  }
  return LogOffset(next);
}

}  // namespace

void LogReplay::SetFirstRetained(LogOffset first) {
  m_first_retained = first;
  if (first > m_read_next) {
    m_read_next = first;
    m_needs_snapshot = true;
  }
}

ApplyOutcome LogReplay::Apply(LogOffset offset, std::string_view text) {
  if (offset != m_read_next) {
    return ApplyOutcome::kOutOfOrder;
  }
  m_read_next = LogOffset(offset.Get() + 1);
  Findings findings;
  const auto record = ParseRecord(text, findings);
  const auto* snapshot =
      record ? std::get_if<SnapshotRecord>(&*record) : nullptr;
  const auto snapshot_end =
      snapshot != nullptr ? ReadSnapshotEnd(*snapshot) : std::nullopt;
  if (snapshot_end && *snapshot_end <= offset) {
    m_snapshot_end =
        std::max(m_snapshot_end.value_or(*snapshot_end), *snapshot_end);
  }
  if (m_needs_snapshot) {
    return TryRestoreSnapshot(offset, snapshot);
  }
  m_state.m_next = m_read_next;
  if (snapshot != nullptr) {
    return ApplyOutcome::kSkipped;
  }
  if (!record) {
    AddAuditEntry({.m_offset = offset,
                   .m_verdict = AuditVerdict::kInvalid,
                   .m_reason = SummarizeFindings(findings)});
    return ApplyOutcome::kEvaluated;
  }
  if (const auto* change = std::get_if<ConfigChange>(&*record)) {
    Evaluate(offset, *change);
  } else if (const auto* grant = std::get_if<EjectionGrant>(&*record)) {
    Evaluate(offset, *grant);
  } else if (const auto* readmission = std::get_if<Readmission>(&*record)) {
    Evaluate(offset, *readmission);
  }
  return ApplyOutcome::kEvaluated;
}

ApplyOutcome LogReplay::TryRestoreSnapshot(LogOffset offset,
                                           const SnapshotRecord* snapshot) {
  if (snapshot == nullptr) {
    return ApplyOutcome::kSkipped;
  }
  Findings findings;
  auto state = ParseReplayState(snapshot->m_state, findings);
  // A gap between the snapshot and the first retained record cannot be
  // replayed.
  if (!state || state->m_next < m_first_retained || state->m_next > offset ||
      !Restore(std::move(*state))) {
    return ApplyOutcome::kSkipped;
  }
  return ApplyOutcome::kRestored;
}

bool LogReplay::Merge(const ReplayState& state) {
  return Restore(state);
}

bool LogReplay::Restore(ReplayState state) {
  if (state.m_next <= m_state.m_next) {
    return false;
  }
  std::optional<FleetConfig> fleet;
  if (!state.m_scopes.empty()) {
    Findings findings;
    fleet = CheckDocuments(BuildDocuments(state), findings);
    if (!fleet) {
      return false;
    }
  }
  m_state = std::move(state);
  m_read_next = m_state.m_next;
  m_needs_snapshot = m_read_next < m_first_retained;
  if (fleet) {
    SetInForce(std::move(*fleet));
  }
  return true;
}

void LogReplay::Evaluate(LogOffset offset, const ConfigChange& change) {
  AuditEntry entry{.m_offset = offset,
                   .m_header = change.m_header,
                   .m_subject = change.m_scope,
                   .m_from = change.m_from};
  if (auto conflict = FindConflict(change)) {
    entry.m_verdict = AuditVerdict::kConflict;
    entry.m_reason = std::move(*conflict);
    AddAuditEntry(std::move(entry));
    return;
  }
  Findings findings;
  auto checked = CheckContent(change, findings);
  if (!checked) {
    entry.m_verdict = AuditVerdict::kInvalid;
    entry.m_reason = SummarizeFindings(findings);
    AddAuditEntry(std::move(entry));
    return;
  }
  ScopeState& scope = m_state.m_scopes[change.m_scope];
  entry.m_differences = std::move(checked->m_differences);
  scope.m_version = offset;
  scope.m_header = change.m_header;
  if (change.m_form == ChangeForm::kPatch) {
    scope.m_content.Merge(change.m_content);
  } else {
    scope.m_content = ScopeContent(change.m_content);
  }
  SetInForce(std::move(checked->m_fleet));
  EnforceFloors(offset, entry);
  AddAuditEntry(std::move(entry));
}

void LogReplay::Evaluate(LogOffset offset, const EjectionGrant& grant) {
  AuditEntry entry{.m_offset = offset,
                   .m_header = grant.m_header,
                   .m_subject = grant.m_service,
                   .m_from = grant.m_from};
  const ServiceId service = MakeServiceId(grant.m_service);
  const uint32_t floor = FindFloor(service);
  std::optional<std::string> fault = "the service is unknown";
  if (floor > 0) {
    ServiceEjections ejections = FindEjections(service);
    fault = ApplyGrant(grant, offset, floor, ejections);
    if (!fault) {
      m_state.m_ejections.insert_or_assign(service, std::move(ejections));
      entry.m_differences = {"eject " + ToString(grant.m_target.m_instance)};
    }
  }
  if (fault) {
    entry.m_verdict = AuditVerdict::kVoid;
    entry.m_reason = std::move(*fault);
  }
  AddAuditEntry(std::move(entry));
}

void LogReplay::Evaluate(LogOffset offset, const Readmission& readmission) {
  AuditEntry entry{.m_offset = offset,
                   .m_header = readmission.m_header,
                   .m_subject = readmission.m_service,
                   .m_from = readmission.m_grant};
  std::optional<std::string> fault = "the service has no ejections";
  const auto found =
      m_state.m_ejections.find(MakeServiceId(readmission.m_service));
  if (found != m_state.m_ejections.end()) {
    fault = ApplyReadmission(readmission, offset, found->second);
  }
  if (fault) {
    entry.m_verdict = AuditVerdict::kVoid;
    entry.m_reason = std::move(*fault);
  } else {
    entry.m_differences = {"readmit " +
                           ToString(readmission.m_target.m_instance)};
  }
  AddAuditEntry(std::move(entry));
}

std::optional<std::string> LogReplay::FindConflict(
    const ConfigChange& change) const {
  const auto found = m_state.m_scopes.find(change.m_scope);
  if (found == m_state.m_scopes.end()) {
    return change.m_from
               ? std::optional<std::string>("the scope has no version yet")
               : std::nullopt;
  }
  const ScopeState& scope = found->second;
  if (change.m_from == scope.m_version) {
    return std::nullopt;
  }
  return "version " + std::to_string(scope.m_version.Get()) + " by " +
         scope.m_header.m_author + " is in force";
}

const ScopeContent& LogReplay::FindContent(std::string_view scope) const {
  static const ScopeContent kEmpty;
  const auto found = m_state.m_scopes.find(scope);
  return found == m_state.m_scopes.end() ? kEmpty : found->second.m_content;
}

std::optional<LogReplay::CheckedChange> LogReplay::CheckContent(
    const ConfigChange& change,
    Findings& findings) const {
  const bool is_site =
      m_in_force != nullptr && m_in_force->FindSite(change.m_scope) != nullptr;
  if (change.m_scope != kBaseScope && !is_site) {
    findings.Add(TruncateText(change.m_scope, kMaxScopeBytes), "",
                 "is no site");
    return std::nullopt;
  }
  if (!FitsInRecord(change)) {
    findings.Add(change.m_scope, "", "is larger than a record can carry");
    return std::nullopt;
  }
  auto checked = CheckAffectedEntries(change);
  return checked ? std::move(checked) : CheckAllDocuments(change, findings);
}

std::optional<LogReplay::CheckedChange> LogReplay::CheckAffectedEntries(
    const ConfigChange& change) const {
  const bool is_patch = change.m_form == ChangeForm::kPatch;
  const bool is_base = change.m_scope == kBaseScope;
  if (m_in_force == nullptr || (is_base && !is_patch)) {
    return std::nullopt;
  }
  const ScopeContent& content = FindContent(change.m_scope);
  std::optional<AffectedEntries> affected;
  if (is_patch) {
    affected = CollectAffectedEntries({&change.m_content});
  } else {
    const JsonDocument before = content.ToDocument(change.m_scope);
    affected = CollectAffectedEntries({&before, &change.m_content});
  }
  if (!affected) {
    return std::nullopt;
  }
  const MemberNames names = ToMemberNames(*affected);
  // A patch restores a section that is null, which affects all its members.
  if (!content.AreObjects(names)) {
    return std::nullopt;
  }
  const JsonDocument old_entries = content.Select(change.m_scope, names);
  const JsonDocument new_entries =
      is_patch ? old_entries.MergedWith(change.m_content) : change.m_content;
  FleetUpdate update{.m_before = *m_in_force, .m_scope = change.m_scope};
  for (const auto& [name, scope] : m_state.m_scopes) {
    if (name != kBaseScope && !scope.m_content.IsEmptyObject()) {
      update.m_overlays[name] = scope.m_content.Select(name, names);
    }
  }
  update.m_base =
      is_base ? new_entries
              : FindContent(kBaseScope).Select(std::string(kBaseScope), names);
  if (!is_base) {
    update.m_overlays.insert_or_assign(change.m_scope, new_entries);
  }
  update.m_affected = std::move(*affected);
  auto fleet = UpdateFleetConfig(update);
  if (!fleet) {
    return std::nullopt;
  }
  return CheckedChange{
      .m_fleet = std::move(*fleet),
      .m_differences = DescribeDifferences(old_entries, new_entries)};
}

std::optional<LogReplay::CheckedChange> LogReplay::CheckAllDocuments(
    const ConfigChange& change,
    Findings& findings) const {
  const JsonDocument before =
      FindContent(change.m_scope).ToDocument(change.m_scope);
  JsonDocument content = before;
  if (change.m_form == ChangeForm::kPatch) {
    content.Merge(change.m_content);
  } else {
    content = change.m_content;
  }
  Documents documents = BuildDocuments(m_state);
  documents.Put(change.m_scope, content);
  auto fleet = CheckDocuments(documents, findings);
  if (!fleet) {
    return std::nullopt;
  }
  return CheckedChange{.m_fleet = std::move(*fleet),
                       .m_differences = DescribeDifferences(before, content)};
}

bool LogReplay::FitsInRecord(const ConfigChange& change) const {
  if (change.m_form == ChangeForm::kFull) {
    return true;
  }
  // A patch adds at most its own text.
  const ScopeContent& before = FindContent(change.m_scope);
  const size_t added = change.m_content.ToText().size();
  if (before.TextBytes() + added <= kMaxContentBytes) {
    return true;
  }
  ScopeContent content = before;
  content.Merge(change.m_content);
  return content.TextBytes() <= kMaxContentBytes;
}

void LogReplay::CheckChange(const ConfigChange& change,
                            Findings& findings) const {
  auto conflict = FindConflict(change);
  if (conflict) {
    findings.Add(change.m_scope, "", std::move(*conflict));
  }
  if (!conflict || change.m_form == ChangeForm::kFull) {
    CheckContent(change, findings);
  }
}

ConfigChange LogReplay::Shorten(ConfigChange change) const {
  if (change.m_from != m_state.FindVersion(change.m_scope)) {
    return change;
  }
  const JsonDocument before =
      FindContent(change.m_scope).ToDocument(change.m_scope);
  return ToShortestForm(std::move(change), before);
}

void LogReplay::SetInForce(FleetConfig fleet) {
  m_floors.clear();
  const SharedList<Service>& shared = fleet.m_base.m_services;
  bool has_shared = false;
  for (const auto& [site, config] : fleet.m_sites) {
    if (config.m_services.IsSharedWith(shared) && has_shared) {
      continue;
    }
    has_shared = has_shared || config.m_services.IsSharedWith(shared);
    for (const Service& service : config.m_services) {
      uint32_t& floor = m_floors[service.m_id];
      floor = std::max(floor, service.m_floor);
    }
  }
  m_in_force = std::make_shared<const FleetConfig>(std::move(fleet));
}

void LogReplay::EnforceFloors(LogOffset offset, AuditEntry& entry) {
  for (auto& [service, ejections] : m_state.m_ejections) {
    const bool is_known = m_floors.contains(service);
    const uint32_t floor =
        is_known ? FindFloor(service) : std::numeric_limits<uint32_t>::max();
    if (EnforceFloor(floor, offset, ejections)) {
      entry.m_differences.push_back("readmit all of service " +
                                    ejections.m_service);
    }
  }
}

void LogReplay::AddAuditEntry(AuditEntry entry) {
  const std::string& change_id = entry.m_header.m_change_id;
  if (entry.m_verdict != AuditVerdict::kAccepted && !change_id.empty() &&
      FindChange(change_id) != nullptr) {
    entry.m_verdict = AuditVerdict::kDuplicate;
  }
  m_state.m_audit.push_back(std::move(entry));
  if (m_state.m_audit.size() > kMaxAuditEntries) {
    m_state.m_audit.pop_front();
  }
}

const AuditEntry* LogReplay::FindChange(std::string_view change_id) const {
  const auto& audit = m_state.m_audit;
  const auto found =
      std::find_if(audit.rbegin(), audit.rend(), [&](const AuditEntry& entry) {
        return entry.m_header.m_change_id == change_id &&
               entry.m_verdict != AuditVerdict::kDuplicate;
      });
  return found == audit.rend() ? nullptr : &*found;
}

uint32_t LogReplay::FindFloor(ServiceId service) const {
  const auto found = m_floors.find(service);
  return found == m_floors.end() ? 0 : found->second;
}

const ServiceEjections& LogReplay::FindEjections(ServiceId service) const {
  static const ServiceEjections kNone;
  const auto found = m_state.m_ejections.find(service);
  return found == m_state.m_ejections.end() ? kNone : found->second;
}

std::string LogReplay::MakeSnapshot(const RecordHeader& header) const {
  return ToRecordText(
      SnapshotRecord{.m_header = header, .m_state = ToDocument(m_state)});
}

}  // namespace sequoiastage
