#ifndef SEQUOIASTAGE_CONFIG_REPLAY_STATE_H_
#define SEQUOIASTAGE_CONFIG_REPLAY_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sequoiastage/base/findings.h"
#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"
#include "sequoiastage/checkedjson/json_document.h"
#include "sequoiastage/config/ejections.h"
#include "sequoiastage/config/scope_content.h"

/// What all log records before an offset amount to, as plain data. The same
/// records give the same state at every node.
namespace sequoiastage {

/// One scope (the base or a site) in force.
struct ScopeState {
  /// Offset of the change in force; only grows.
  LogOffset m_version;
  RecordHeader m_header;
  ScopeContent m_content;

  friend bool operator==(const ScopeState&, const ScopeState&) = default;
};

enum class AuditVerdict : uint8_t {
  kAccepted,
  /// Another change of the scope was first.
  kConflict,
  /// A grant or readmission that does not hold.
  kVoid,
  /// Faulty content.
  kInvalid,
  /// A record with this change id was judged before.
  kDuplicate,
};

/// One judged record.
struct AuditEntry {
  LogOffset m_offset{};
  RecordHeader m_header{};
  /// What the record is about: a scope or a service.
  std::string m_subject{};
  /// Version it was made from.
  std::optional<LogOffset> m_from{};
  AuditVerdict m_verdict = AuditVerdict::kAccepted;
  /// Why it was refused.
  std::string m_reason{};
  /// What it changed: "replace /services/approvals/floor", for instance.
  std::vector<std::string> m_differences{};

  friend bool operator==(const AuditEntry&, const AuditEntry&) = default;
};

/// Entries that the audit keeps; older ones are dropped.
inline constexpr size_t kMaxAuditEntries = 256;

struct ReplayState {
  /// Offset of the first record that is not in this state.
  LogOffset m_next;
  /// By kBaseScope or site.
  std::map<std::string, ScopeState, std::less<>> m_scopes;
  std::map<ServiceId, ServiceEjections> m_ejections;
  /// Oldest first.
  std::deque<AuditEntry> m_audit;

  /// Version in force of `scope`.
  std::optional<LogOffset> VersionOf(std::string_view scope) const;

  friend bool operator==(const ReplayState&, const ReplayState&) = default;
};

/// Name of `verdict` in the audit ("accepted").
std::string_view ToString(AuditVerdict verdict);

JsonDocument ToDocument(const ReplayState& state);

/// Empty with findings when `document` is no state.
std::optional<ReplayState> ParseReplayState(const JsonDocument& document,
                                            Findings& findings);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_CONFIG_REPLAY_STATE_H_
