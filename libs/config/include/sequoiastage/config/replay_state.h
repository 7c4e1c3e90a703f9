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

/// Result of replaying all log records before an offset, as plain data. The
/// same records produce the same state at every node.
namespace sequoiastage {

/// Content in force of one scope (the base or a site).
struct ScopeState {
  /// Offset of the change in force; never decreases.
  LogOffset m_version;
  RecordHeader m_header;
  ScopeContent m_content;

  friend bool operator==(const ScopeState&, const ScopeState&) = default;
};

enum class AuditVerdict : uint8_t {
  kAccepted,
  /// Not based on the version of the scope in force.
  kConflict,
  /// A grant or readmission that has no effect.
  kVoid,
  /// Invalid content.
  kInvalid,
  /// A record with this change id was evaluated before.
  kDuplicate,
};

/// Result of evaluating one record.
struct AuditEntry {
  LogOffset m_offset{};
  RecordHeader m_header{};
  /// Scope or service that the record refers to.
  std::string m_subject{};
  /// Version that the record is based on; the offset of the grant for a
  /// readmission. Empty when there is none.
  std::optional<LogOffset> m_from{};
  AuditVerdict m_verdict = AuditVerdict::kAccepted;
  /// Reason of a refusal; empty when accepted.
  std::string m_reason{};
  /// Changes made, such as "replace /services/approvals/floor".
  std::vector<std::string> m_differences{};

  friend bool operator==(const AuditEntry&, const AuditEntry&) = default;
};

/// Maximum number of audit entries; the oldest are dropped.
inline constexpr size_t kMaxAuditEntries = 256;

struct ReplayState {
  /// Offset of the first record that is not part of this state.
  LogOffset m_next;
  /// Keyed by kBaseScope or site.
  std::map<std::string, ScopeState, std::less<>> m_scopes;
  std::map<ServiceId, ServiceEjections> m_ejections;
  /// Oldest first.
  std::deque<AuditEntry> m_audit;

  /// Version of `scope` in force; empty when it has none.
  std::optional<LogOffset> FindVersion(std::string_view scope) const;

  friend bool operator==(const ReplayState&, const ReplayState&) = default;
};

/// Name of `verdict` in the audit ("accepted").
std::string_view ToString(AuditVerdict verdict);

JsonDocument ToDocument(const ReplayState& state);

/// Empty, with findings, when `document` is not a valid state.
std::optional<ReplayState> ParseReplayState(const JsonDocument& document,
                                            Findings& findings);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_CONFIG_REPLAY_STATE_H_
