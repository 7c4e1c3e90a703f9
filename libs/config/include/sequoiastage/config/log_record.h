#ifndef SEQUOIASTAGE_CONFIG_LOG_RECORD_H_
#define SEQUOIASTAGE_CONFIG_LOG_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "sequoiastage/base/findings.h"
#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"
#include "sequoiastage/checkedjson/json_document.h"

/// Records that the nodes append to the platform's log. Each is a JSON object:
///
///   {"type": "config_change", "change_id": "c1", "author": "jana",
///    "time_ms": 1700000000000, "scope": "base", "from": 41, "content": {}}
///   {"type": "config_change", ..., "scope": "base", "from": 41, "patch": {}}
///   {"type": "ejection_grant", ..., "service": "approvals", "from": 17,
///    "instance": "10.0.0.1:80", "incarnation": 3,
///    "remaining": [{"instance": "10.0.0.2:80", "incarnation": 1}]}
///   {"type": "readmission", ..., "service": "approvals",
///    "instance": "10.0.0.1:80", "incarnation": 3, "grant": 18}
///   {"type": "snapshot", ..., "state": {...}}
///
/// "from" is absent when there is no previous version. A patch requires it.
namespace sequoiastage {

/// Fields common to all records.
struct RecordHeader {
  /// Unique, chosen by the author; at most 128 bytes. A record that is appended
  /// again after a lost response keeps it.
  std::string m_change_id;
  /// Name of an operator or node; at most 128 bytes.
  std::string m_author;
  /// By the author's clock; informational only.
  WallTime m_time;

  friend bool operator==(const RecordHeader&, const RecordHeader&) = default;
};

/// Representation of the new content in a change.
enum class ChangeForm : uint8_t {
  kFull,
  /// A JSON Merge Patch (RFC 7396) against the version it is based on.
  kPatch,
};

/// New content of one scope.
struct ConfigChange {
  RecordHeader m_header;
  /// kBaseScope or a site.
  std::string m_scope;
  /// Version of the scope that the change is based on; empty when the scope
  /// had none.
  std::optional<LogOffset> m_from;
  /// The base document, the site's overlay, or a patch to either. An empty
  /// overlay has no effect.
  JsonDocument m_content{};
  ChangeForm m_form = ChangeForm::kFull;
};

/// Returns `change`, which carries its full content and is based on the version
/// with content `before`, as a patch where one exists and is shorter.
ConfigChange ToShortestForm(ConfigChange change, const JsonDocument& before);

/// One incarnation (run) of an instance.
struct InstanceRun {
  InstanceId m_instance;
  Incarnation m_incarnation;

  friend auto operator<=>(const InstanceRun&, const InstanceRun&) = default;
};

/// Takes an instance out of service, if accepted by replay (see ejections.h).
struct EjectionGrant {
  RecordHeader m_header;
  std::string m_service;
  /// Version of the service's ejections that the grant is based on.
  std::optional<LogOffset> m_from;
  InstanceRun m_target;
  /// All instances that recently served real requests successfully. The list
  /// should be complete: a floor raised above its size undoes the service's
  /// ejections.
  std::vector<InstanceRun> m_remaining;
};

/// Ends the ejection that the grant at offset `m_grant` caused.
struct Readmission {
  RecordHeader m_header;
  std::string m_service;
  InstanceRun m_target;
  LogOffset m_grant;
};

/// Replay state before the offset in its "next" member, see replay_state.h.
struct SnapshotRecord {
  RecordHeader m_header;
  JsonDocument m_state;
};

using RecordContent =
    std::variant<ConfigChange, EjectionGrant, Readmission, SnapshotRecord>;

/// Serializes `content` to the JSON text of a log record.
std::string ToRecordText(const RecordContent& content);

/// Empty, with findings, when `text` is not a valid record.
std::optional<RecordContent> ParseRecord(std::string_view text,
                                         Findings& findings);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_CONFIG_LOG_RECORD_H_
