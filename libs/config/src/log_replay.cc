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

// A scope that patches built up has to fit a record, as whole content does.
constexpr size_t kMaxRecordHeaderBytes = 4096;
constexpr size_t kMaxContentBytes =
    JsonDocument::kMaxTextBytes - kMaxRecordHeaderBytes;

// Base and overlays in force, for the check of a change.
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

Documents DocumentsOf(const ReplayState& state) {
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

// Offset up to which `snapshot` reaches.
std::optional<LogOffset> ReachOf(const SnapshotRecord& snapshot) {
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

void LogReplay::OnFirstRetained(LogOffset first) {
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
  const auto reach = snapshot != nullptr ? ReachOf(*snapshot) : std::nullopt;
  if (reach && *reach <= offset) {
    m_snapshot_reach = std::max(m_snapshot_reach.value_or(*reach), *reach);
  }
  if (m_needs_snapshot) {
    return LookForSnapshot(offset, snapshot);
  }
  m_state.m_next = m_read_next;
  if (snapshot != nullptr) {
    return ApplyOutcome::kSkipped;
  }
  if (!record) {
    AddAudit({.m_offset = offset,
              .m_verdict = AuditVerdict::kInvalid,
              .m_reason = SummarizeFindings(findings)});
    return ApplyOutcome::kJudged;
  }
  if (const auto* change = std::get_if<ConfigChange>(&*record)) {
    Judge(offset, *change);
  } else if (const auto* grant = std::get_if<EjectionGrant>(&*record)) {
    Judge(offset, *grant);
  } else if (const auto* readmission = std::get_if<Readmission>(&*record)) {
    Judge(offset, *readmission);
  }
  return ApplyOutcome::kJudged;
}

ApplyOutcome LogReplay::LookForSnapshot(LogOffset offset,
                                        const SnapshotRecord* snapshot) {
  if (snapshot == nullptr) {
    return ApplyOutcome::kSkipped;
  }
  Findings findings;
  auto state = ParseReplayState(snapshot->m_state, findings);
  // Records between the snapshot's reach and the first retained are gone.
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
    fleet = CheckDocuments(DocumentsOf(state), findings);
    if (!fleet) {
      return false;
    }
  }
  m_state = std::move(state);
  m_read_next = m_state.m_next;
  m_needs_snapshot = m_read_next < m_first_retained;
  if (fleet) {
    TakeInForce(std::move(*fleet));
  }
  return true;
}

void LogReplay::Judge(LogOffset offset, const ConfigChange& change) {
  AuditEntry entry{.m_offset = offset,
                   .m_header = change.m_header,
                   .m_subject = change.m_scope,
                   .m_from = change.m_from};
  if (auto conflict = FindConflict(change)) {
    entry.m_verdict = AuditVerdict::kConflict;
    entry.m_reason = std::move(*conflict);
    AddAudit(std::move(entry));
    return;
  }
  Findings findings;
  auto checked = CheckContent(change, findings);
  if (!checked) {
    entry.m_verdict = AuditVerdict::kInvalid;
    entry.m_reason = SummarizeFindings(findings);
    AddAudit(std::move(entry));
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
  TakeInForce(std::move(checked->m_fleet));
  EnforceFloors(offset, entry);
  AddAudit(std::move(entry));
}

void LogReplay::Judge(LogOffset offset, const EjectionGrant& grant) {
  AuditEntry entry{.m_offset = offset,
                   .m_header = grant.m_header,
                   .m_subject = grant.m_service,
                   .m_from = grant.m_from};
  const ServiceId service = ServiceIdOf(grant.m_service);
  const uint32_t floor = FloorOf(service);
  std::optional<std::string> fault = "the service is unknown";
  if (floor > 0) {
    ServiceEjections ejections = EjectionsOf(service);
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
  AddAudit(std::move(entry));
}

void LogReplay::Judge(LogOffset offset, const Readmission& readmission) {
  AuditEntry entry{.m_offset = offset,
                   .m_header = readmission.m_header,
                   .m_subject = readmission.m_service,
                   .m_from = readmission.m_grant};
  std::optional<std::string> fault = "the service has no ejections";
  const auto found =
      m_state.m_ejections.find(ServiceIdOf(readmission.m_service));
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
  AddAudit(std::move(entry));
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

const ScopeContent& LogReplay::ContentOf(std::string_view scope) const {
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
    findings.Add(CutText(change.m_scope, kMaxScopeBytes), "", "is no site");
    return std::nullopt;
  }
  if (!FitsARecord(change)) {
    findings.Add(change.m_scope, "", "is larger than a record can carry");
    return std::nullopt;
  }
  auto checked = CheckTouchedParts(change);
  return checked ? std::move(checked) : CheckWhole(change, findings);
}

std::optional<LogReplay::CheckedChange> LogReplay::CheckTouchedParts(
    const ConfigChange& change) const {
  const bool is_patch = change.m_form == ChangeForm::kPatch;
  const bool is_base = change.m_scope == kBaseScope;
  if (m_in_force == nullptr || (is_base && !is_patch)) {
    return std::nullopt;
  }
  const ScopeContent& content = ContentOf(change.m_scope);
  std::optional<TouchedParts> parts;
  if (is_patch) {
    parts = PartsNamedBy({&change.m_content});
  } else {
    const JsonDocument before = content.ToDocument(change.m_scope);
    parts = PartsNamedBy({&before, &change.m_content});
  }
  if (!parts) {
    return std::nullopt;
  }
  const MemberNames names = ToMemberNames(*parts);
  // A patch brings back a section that is null, which touches all its members.
  if (!content.AreObjects(names)) {
    return std::nullopt;
  }
  const JsonDocument old_parts = content.Select(change.m_scope, names);
  const JsonDocument new_parts =
      is_patch ? old_parts.MergedWith(change.m_content) : change.m_content;
  FleetUpdate update{.m_before = *m_in_force, .m_scope = change.m_scope};
  for (const auto& [name, scope] : m_state.m_scopes) {
    if (name != kBaseScope && !scope.m_content.IsEmptyObject()) {
      update.m_overlays[name] = scope.m_content.Select(name, names);
    }
  }
  update.m_base =
      is_base ? new_parts
              : ContentOf(kBaseScope).Select(std::string(kBaseScope), names);
  if (!is_base) {
    update.m_overlays.insert_or_assign(change.m_scope, new_parts);
  }
  update.m_parts = std::move(*parts);
  auto fleet = UpdateFleetConfig(update);
  if (!fleet) {
    return std::nullopt;
  }
  return CheckedChange{
      .m_fleet = std::move(*fleet),
      .m_differences = DescribeDifferences(old_parts, new_parts)};
}

std::optional<LogReplay::CheckedChange> LogReplay::CheckWhole(
    const ConfigChange& change,
    Findings& findings) const {
  const JsonDocument before =
      ContentOf(change.m_scope).ToDocument(change.m_scope);
  JsonDocument content = before;
  if (change.m_form == ChangeForm::kPatch) {
    content.Merge(change.m_content);
  } else {
    content = change.m_content;
  }
  Documents documents = DocumentsOf(m_state);
  documents.Put(change.m_scope, content);
  auto fleet = CheckDocuments(documents, findings);
  if (!fleet) {
    return std::nullopt;
  }
  return CheckedChange{.m_fleet = std::move(*fleet),
                       .m_differences = DescribeDifferences(before, content)};
}

bool LogReplay::FitsARecord(const ConfigChange& change) const {
  if (change.m_form == ChangeForm::kWhole) {
    return true;
  }
  // A patch adds at most its own text.
  const ScopeContent& before = ContentOf(change.m_scope);
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
  if (!conflict || change.m_form == ChangeForm::kWhole) {
    CheckContent(change, findings);
  }
}

ConfigChange LogReplay::Shorten(ConfigChange change) const {
  if (change.m_from != m_state.VersionOf(change.m_scope)) {
    return change;
  }
  const JsonDocument before =
      ContentOf(change.m_scope).ToDocument(change.m_scope);
  return ShortestForm(std::move(change), before);
}

void LogReplay::TakeInForce(FleetConfig fleet) {
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
        is_known ? FloorOf(service) : std::numeric_limits<uint32_t>::max();
    if (EnforceFloor(floor, offset, ejections)) {
      entry.m_differences.push_back("readmit all of service " +
                                    ejections.m_service);
    }
  }
}

void LogReplay::AddAudit(AuditEntry entry) {
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

uint32_t LogReplay::FloorOf(ServiceId service) const {
  const auto found = m_floors.find(service);
  return found == m_floors.end() ? 0 : found->second;
}

const ServiceEjections& LogReplay::EjectionsOf(ServiceId service) const {
  static const ServiceEjections kNone;
  const auto found = m_state.m_ejections.find(service);
  return found == m_state.m_ejections.end() ? kNone : found->second;
}

std::string LogReplay::MakeSnapshot(const RecordHeader& header) const {
  return ToRecordText(
      SnapshotRecord{.m_header = header, .m_state = ToDocument(m_state)});
}

}  // namespace sequoiastage
