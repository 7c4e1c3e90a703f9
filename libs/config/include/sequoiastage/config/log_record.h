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

/// Records of the system on the platform's log. Each is a JSON object:
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
/// "from" is absent where there was no version before. A patch has to have one.
namespace sequoiastage {

/// What every record carries.
struct RecordHeader {
  /// Chosen by the author, unique; at most 128 bytes. A record that is
  /// appended again after a lost answer keeps it.
  std::string m_change_id;
  /// Operator or node, at most 128 bytes.
  std::string m_author;
  /// Author's clock, for people only.
  WallTime m_time;

  friend bool operator==(const RecordHeader&, const RecordHeader&) = default;
};

/// How a change gives the new content.
enum class ChangeForm : uint8_t {
  kWhole,
  /// A JSON Merge Patch (RFC 7396) against the version it was made from.
  kPatch,
};

/// New content of one scope.
struct ConfigChange {
  RecordHeader m_header;
  /// kBaseScope or a site.
  std::string m_scope;
  /// Version of the scope that the change was made from.
  std::optional<LogOffset> m_from;
  /// The base document, the site's overlay, or a patch of it. An empty overlay
  /// changes nothing.
  JsonDocument m_content{};
  ChangeForm m_form = ChangeForm::kWhole;
};

/// The shorter form of `change`, which has whole content and was made from the
/// version with content `before`: the same change as a patch where there is one
/// and it is shorter.
ConfigChange ShortestForm(ConfigChange change, const JsonDocument& before);

/// One run of an instance.
struct InstanceRun {
  InstanceId m_instance;
  Incarnation m_incarnation;

  friend auto operator<=>(const InstanceRun&, const InstanceRun&) = default;
};

/// Asks for an instance to be taken out of service.
struct EjectionGrant {
  RecordHeader m_header;
  std::string m_service;
  /// Version of the service's ejections that the author saw.
  std::optional<LogOffset> m_from;
  InstanceRun m_target;
  /// Instances that did real work well just now. Name all of them: a floor
  /// that is raised above their number undoes the service's ejections.
  std::vector<InstanceRun> m_remaining;
};

/// Ends the ejection that the grant at offset `m_grant` began.
struct Readmission {
  RecordHeader m_header;
  std::string m_service;
  InstanceRun m_target;
  LogOffset m_grant;
};

/// State before offset "next" inside, see replay_state.h.
struct SnapshotRecord {
  RecordHeader m_header;
  JsonDocument m_state;
};

using RecordContent =
    std::variant<ConfigChange, EjectionGrant, Readmission, SnapshotRecord>;

/// Text to append to the log.
std::string ToRecordText(const RecordContent& content);

/// Empty with findings when `text` is no valid record.
std::optional<RecordContent> ParseRecord(std::string_view text,
                                         Findings& findings);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_CONFIG_LOG_RECORD_H_
