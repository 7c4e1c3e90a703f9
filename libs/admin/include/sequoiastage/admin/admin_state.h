#ifndef SEQUOIASTAGE_ADMIN_ADMIN_STATE_H_
#define SEQUOIASTAGE_ADMIN_ADMIN_STATE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "sequoiastage/base/findings.h"
#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"

/// What the administration API shows of a node and of what that node knows.
namespace sequoiastage {

/// The node that answers.
struct NodeStatus {
  NodeId m_node = {};
  Incarnation m_incarnation = {};
  std::string m_software_version = {};
  std::string m_region = {};
  std::string m_failure_domain = {};
  std::string m_site = {};
  Duration m_uptime = Duration::zero();
  /// True once a shutdown has begun.
  bool m_is_draining = false;
  /// Whether the last read of the platform's log succeeded.
  bool m_is_log_reachable = false;
  /// Version of the configuration in force, if any.
  std::optional<LogOffset> m_config_version = {};
  uint32_t m_requests_in_flight = 0;
};

/// One published document of the configuration.
struct ConfigDocument {
  /// "base", or the site whose overlay it is.
  std::string m_scope = {};
  /// Offset of the change that set it.
  LogOffset m_version = {};
  /// JSON.
  std::string m_text = {};
};

struct ConfigState {
  /// Newest offset that is in force here, if any.
  std::optional<LogOffset> m_version = {};
  std::vector<ConfigDocument> m_documents = {};
};

/// Configuration one node has in force.
struct NodeConfigVersion {
  NodeId m_node = {};
  std::string m_failure_domain = {};
  std::optional<LogOffset> m_version = {};
};

/// How far the configuration has spread, as this node knows.
struct ConfigRollout {
  /// Newest version this node knows of.
  std::optional<LogOffset> m_version = {};
  /// All live members.
  std::vector<NodeConfigVersion> m_nodes = {};
};

enum class AuditKind {
  kConfigChange,
  /// An ejection or a readmission.
  kEjectionChange
};

/// One record of the log that asked for a change.
struct AuditRecord {
  LogOffset m_offset = {};
  AuditKind m_kind = AuditKind::kConfigChange;
  /// When it was asked for, by the clock of who asked.
  WallTime m_time{};
  /// Operator, or the node that asked for an ejection change.
  std::string m_author = {};
  /// Scope of the configuration, or the service.
  std::string m_subject = {};
  /// Version the change was made from.
  std::optional<LogOffset> m_from_version = {};
  std::string m_change_id = {};
  bool m_is_accepted = false;
  /// Why it was refused; empty when it was accepted.
  std::string m_reason = {};
  /// What it changed.
  std::vector<std::string> m_differences = {};
};

struct ServiceInfo {
  std::string m_name = {};
  /// Instances that ejections leave in service at least.
  uint32_t m_floor = 0;
};

enum class InstanceStanding {
  kHealthy,
  kSuspect,
  kEjected,
  kDraining,
  kWarmingUp
};

struct InstanceInfo {
  InstanceId m_instance = {};
  std::string m_service = {};
  /// The node beside it.
  NodeId m_node = {};
  std::string m_region = {};
  std::string m_failure_domain = {};
  Incarnation m_incarnation = {};
  InstanceStanding m_standing = InstanceStanding::kHealthy;
  uint32_t m_slots = 0;
};

struct NodeInfo {
  NodeId m_node = {};
  Incarnation m_incarnation = {};
  std::string m_region = {};
  std::string m_failure_domain = {};
  std::string m_site = {};
  bool m_is_draining = false;
  /// Probes found no way to it just now.
  bool m_is_unreachable = false;
  std::optional<LogOffset> m_config_version = {};
  uint32_t m_instances = 0;
};

/// A configuration document an operator wants in force.
struct PublishRequest {
  /// "base", or a site.
  std::string m_scope = {};
  /// Version of that scope the document was made from; none for the first.
  std::optional<LogOffset> m_from_version = {};
  std::string m_author = {};
  /// Names the change: a publish that is sent again under the same id takes
  /// effect once.
  std::string m_change_id = {};
  /// JSON.
  std::string m_document = {};
};

enum class PublishVerdict {
  /// Holds at m_version.
  kAccepted,
  /// Another change of the scope came first: m_winner.
  kConflict,
  /// Refused before it reached the log: m_findings.
  kInvalid,
  /// Nothing was written.
  kLogUnavailable,
  /// The log may or may not have taken it; publish again with the same id.
  kUnknown
};

struct PublishResult {
  PublishVerdict m_verdict = PublishVerdict::kUnknown;
  LogOffset m_version = {};
  std::optional<AuditRecord> m_winner = {};
  std::vector<Finding> m_findings = {};
  std::string m_reason = {};
};

enum class DrainVerdict {
  kDone,
  kNoSuchInstance,
  /// The instance is beside another node, m_node, which has to be asked.
  kOtherNode
};

struct DrainResult {
  DrainVerdict m_verdict = DrainVerdict::kDone;
  NodeId m_node = {};
};

enum class KeyOutcome { kNotRun, kRunning, kAnswered, kUnknown };

/// What became of the request sent under an idempotency key.
struct KeyInfo {
  KeyOutcome m_outcome = KeyOutcome::kUnknown;
  /// The node that issued the key and holds its ledger.
  NodeId m_owner = {};
  /// Why, for a person.
  std::string m_reason = {};
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_ADMIN_ADMIN_STATE_H_
