#ifndef SEQUOIASTAGE_ADMIN_ADMIN_STATE_H_
#define SEQUOIASTAGE_ADMIN_ADMIN_STATE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "sequoiastage/base/findings.h"
#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"

/// State of a node, and of the fleet as seen by that node, in the form that the
/// administration API reports.
namespace sequoiastage {

/// State of the node that serves the request.
struct NodeStatus {
  NodeId m_node = {};
  Incarnation m_incarnation = {};
  std::string m_software_version = {};
  std::string m_region = {};
  std::string m_failure_domain = {};
  std::string m_site = {};
  Duration m_uptime = Duration::zero();
  /// True after a shutdown has begun.
  bool m_is_draining = false;
  /// Whether the last read of the platform's log succeeded.
  bool m_is_log_reachable = false;
  /// Version of the configuration in force, if any.
  std::optional<LogOffset> m_config_version = {};
  uint32_t m_requests_in_flight = 0;
};

/// One published document of the configuration.
struct ConfigDocument {
  /// "base", or the site to which this overlay applies.
  std::string m_scope = {};
  /// Offset of the change that published it.
  LogOffset m_version = {};
  /// JSON.
  std::string m_text = {};
};

struct ConfigState {
  /// Newest offset in force on this node, if any.
  std::optional<LogOffset> m_version = {};
  std::vector<ConfigDocument> m_documents = {};
};

/// Configuration version in force on one node.
struct NodeConfigVersion {
  NodeId m_node = {};
  std::string m_failure_domain = {};
  std::optional<LogOffset> m_version = {};
};

/// Rollout of the configuration as seen by this node.
struct ConfigRollout {
  /// Newest version known to this node, if any.
  std::optional<LogOffset> m_version = {};
  /// All live members.
  std::vector<NodeConfigVersion> m_nodes = {};
};

enum class AuditKind {
  kConfigChange,
  /// An ejection or a readmission.
  kEjectionChange
};

/// One log record that requests a change.
struct AuditRecord {
  LogOffset m_offset = {};
  AuditKind m_kind = AuditKind::kConfigChange;
  /// Time of the request by the clock of its author.
  WallTime m_time{};
  /// Operator, or the node that requested an ejection change.
  std::string m_author = {};
  /// Scope of the configuration, or the service.
  std::string m_subject = {};
  /// Version on which the change is based.
  std::optional<LogOffset> m_from_version = {};
  std::string m_change_id = {};
  bool m_is_accepted = false;
  /// Why the change was refused; empty when it was accepted.
  std::string m_reason = {};
  /// Descriptions of what the change modified.
  std::vector<std::string> m_differences = {};
};

struct ServiceInfo {
  std::string m_name = {};
  /// Minimum number of instances that ejections leave in service.
  uint32_t m_floor = 0;
};

enum class InstanceCondition {
  kHealthy,
  kSuspect,
  kEjected,
  kDraining,
  kWarmingUp
};

struct InstanceInfo {
  InstanceId m_instance = {};
  std::string m_service = {};
  /// The node on the host of the instance.
  NodeId m_node = {};
  std::string m_region = {};
  std::string m_failure_domain = {};
  Incarnation m_incarnation = {};
  InstanceCondition m_condition = InstanceCondition::kHealthy;
  uint32_t m_slots = 0;
};

struct NodeInfo {
  NodeId m_node = {};
  Incarnation m_incarnation = {};
  std::string m_region = {};
  std::string m_failure_domain = {};
  std::string m_site = {};
  bool m_is_draining = false;
  /// Whether the node is currently unreachable by probes.
  bool m_is_unreachable = false;
  std::optional<LogOffset> m_config_version = {};
  uint32_t m_instances = 0;
};

/// A configuration document to be put in force.
struct PublishRequest {
  /// "base", or a site.
  std::string m_scope = {};
  /// Version of the scope on which the document is based; absent for the first
  /// document of a scope.
  std::optional<LogOffset> m_from_version = {};
  std::string m_author = {};
  /// Identifies the change: a publish that is retried with the same id takes
  /// effect once.
  std::string m_change_id = {};
  /// JSON.
  std::string m_document = {};
};

enum class PublishVerdict {
  /// Accepted as version m_version.
  kAccepted,
  /// Another change of the scope was accepted first: m_winner.
  kConflict,
  /// Refused before it was written to the log: m_findings.
  kInvalid,
  /// Nothing was written.
  kLogUnavailable,
  /// The log may or may not contain the change; retry with the same id.
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
  /// The instance belongs to another node, m_node, which must handle the
  /// request.
  kOtherNode
};

struct DrainResult {
  DrainVerdict m_verdict = DrainVerdict::kDone;
  NodeId m_node = {};
};

enum class KeyOutcome { kNotRun, kRunning, kAnswered, kUnknown };

/// Outcome of the request sent with an idempotency key.
struct KeyInfo {
  KeyOutcome m_outcome = KeyOutcome::kUnknown;
  /// The node that issued the key and holds its ledger.
  NodeId m_owner = {};
  /// Human-readable explanation.
  std::string m_reason = {};
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_ADMIN_ADMIN_STATE_H_
