#ifndef SEQUOIASTAGE_CONFIG_TESTS_EJECTION_SIMULATION_H_
#define SEQUOIASTAGE_CONFIG_TESTS_EJECTION_SIMULATION_H_

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "replay_harness.h"

// Simulates nodes that eject, readmit, lag and restart. Has its own namespace
// because other tests define Operation too.
namespace sequoiastage::ejection_simulation {

inline constexpr size_t kNodes = 8;
inline const std::string kServiceName = "s";
inline const ServiceId kService = MakeServiceId(kServiceName);

// Rule by which instances are taken out of service.
enum class Rule : uint8_t {
  kGrants,
  // Naive: a grant is accepted when it lists enough instances.
  kCountOnly,
  // Naive: authors list instances whose nodes may lag.
  kLaggingRemaining,
  // Naive: each node takes its own instance out of service when enough others
  // were in service at its last read.
  kLocal,
};

enum class OperationKind : uint8_t {
  kEject,
  kReadmit,
  kDeliver,
  kRead,
  kRestartNode,
  kRestartInstance,
  kSetFloor,
};

struct Operation {
  OperationKind m_kind;
  uint8_t m_node;
  uint8_t m_target;
  uint8_t m_argument;
  // Working instances, as a bit mask.
  uint8_t m_working;
};

inline std::ostream& operator<<(std::ostream& out, const Operation& operation) {
  return out << "{" << int(operation.m_kind) << " " << int(operation.m_node)
             << " " << int(operation.m_target) << " "
             << int(operation.m_argument) << " " << int(operation.m_working)
             << "}";
}

inline rc::Gen<std::vector<Operation>> OperationGenerator() {
  const auto bits = rc::gen::map(
      rc::gen::container<std::vector<uint8_t>>(
          rc::gen::inRange<uint8_t>(0, kNodes)),
      [](const std::vector<uint8_t>& failed) {
        uint8_t working = 0xff;
        for (size_t i = 0; i < std::min<size_t>(failed.size(), 3); ++i) {
          working = static_cast<uint8_t>(working & ~(1U << failed[i]));
        }
        return working;
      });
  return rc::gen::container<std::vector<Operation>>(rc::gen::build<Operation>(
      rc::gen::set(
          &Operation::m_kind,
          rc::gen::element(OperationKind::kEject, OperationKind::kEject,
                           OperationKind::kEject, OperationKind::kReadmit,
                           OperationKind::kDeliver, OperationKind::kRead,
                           OperationKind::kRead, OperationKind::kRead,
                           OperationKind::kRestartNode,
                           OperationKind::kRestartInstance,
                           OperationKind::kSetFloor)),
      rc::gen::set(&Operation::m_node, rc::gen::inRange<uint8_t>(0, kNodes)),
      rc::gen::set(&Operation::m_target, rc::gen::inRange<uint8_t>(0, kNodes)),
      rc::gen::set(&Operation::m_argument),
      rc::gen::set(&Operation::m_working, bits)));
}

// A node with one instance on its host.
struct Node {
  LogReplay m_replay;
  // Whether the node has read the log to its end since it started.
  bool m_enforces = false;
  Incarnation m_incarnation{1};
  // For Rule::kCountOnly.
  std::map<InstanceId, Incarnation> m_counted;
  // For Rule::kLocal.
  bool m_is_ejected_locally = false;
  size_t m_others_in_service = kNodes - 1;
};

inline InstanceId MakeInstanceId(size_t node) {
  return InstanceId(
      {.m_ip = 0x0a000001 + static_cast<uint32_t>(node), .m_port = 80});
}

class EjectionSimulation {
 public:
  explicit EjectionSimulation(Rule rule) : m_rule(rule), m_nodes(kNodes) {
    Append(ChangeText("start", std::string(kBaseScope), std::nullopt,
                      BaseWithFloor(5)));
    for (size_t i = 0; i < kNodes; ++i) {
      Read(i, 1);
    }
  }

  // Stops and returns false when fewer instances than the floor are in service.
  bool Run(const std::vector<Operation>& operations) {
    for (const Operation& operation : operations) {
      Execute(operation);
      if (!IsFloorKept()) {
        return false;
      }
    }
    return true;
  }

  size_t AcceptedGrants() const { return m_accepted_grants; }

 private:
  void Execute(const Operation& operation) {
    Node& node = m_nodes[operation.m_node];
    switch (operation.m_kind) {
      case OperationKind::kEject:
        Eject(operation);
        break;
      case OperationKind::kReadmit:
        Readmit(operation);
        break;
      case OperationKind::kDeliver:
        if (!m_delayed.empty()) {
          Append(m_delayed[operation.m_argument % m_delayed.size()]);
        }
        break;
      case OperationKind::kRead:
        Read(operation.m_node, operation.m_argument % 6);
        break;
      case OperationKind::kRestartNode:
        RestartNode(node, m_nodes[operation.m_target], operation.m_argument);
        break;
      case OperationKind::kRestartInstance:
        node.m_incarnation = Incarnation(node.m_incarnation.Get() + 1);
        node.m_is_ejected_locally = false;
        break;
      case OperationKind::kSetFloor:
        Append(ChangeText("c" + std::to_string(m_log.End()),
                          std::string(kBaseScope),
                          m_observer.State().FindVersion(kBaseScope),
                          BaseWithFloor(2 + operation.m_argument % 6)));
        break;
    }
  }

  void Eject(const Operation& operation) {
    Node& node = m_nodes[operation.m_node];
    const uint32_t floor = node.m_replay.FindFloor(kService);
    if (m_rule == Rule::kLocal) {
      node.m_is_ejected_locally = node.m_others_in_service >= floor;
      return;
    }
    std::string reason;
    const auto grant = ProposeEjection(
        MakeHeader("g" + std::to_string(m_log.End())), kServiceName,
        MakeRun(operation.m_target), CollectStatuses(operation.m_working),
        floor, node.m_replay.FindEjections(kService), &reason);
    if (grant) {
      Send(ToRecordText(*grant), operation.m_argument);
    }
  }

  // Returns the instance statuses, which are the same for all authors.
  std::vector<InstanceStatus> CollectStatuses(uint8_t working) const {
    std::vector<InstanceStatus> statuses;
    for (size_t i = 0; i < kNodes; ++i) {
      const bool is_working = ((working >> i) & 1U) != 0 && IsInService(i);
      const LogOffset next_offset = m_rule == Rule::kLaggingRemaining
                                        ? LogOffset(m_log.End())
                                        : m_nodes[i].m_replay.NextOffset();
      statuses.push_back({.m_run = MakeRun(i),
                          .m_next_offset = next_offset,
                          .m_is_working = is_working});
    }
    return statuses;
  }

  void Readmit(const Operation& operation) {
    const auto& ejected =
        m_nodes[operation.m_node].m_replay.FindEjections(kService).m_ejected;
    const auto found = ejected.find(MakeInstanceId(operation.m_target));
    if (found != ejected.end()) {
      Send(ToRecordText(Readmission{
               .m_header = MakeHeader("r"),
               .m_service = kServiceName,
               .m_target = {.m_instance = found->first,
                            .m_incarnation = found->second.m_incarnation},
               .m_grant = found->second.m_grant}),
           operation.m_argument);
    }
  }

  // The record is delivered once, twice or late (possibly more than once), or
  // is lost.
  void Send(const std::string& text, uint8_t delivery) {
    const bool is_delayed = delivery % 8 == 0;
    const bool is_lost = delivery % 8 == 1;
    const bool is_duplicated = delivery % 8 == 2;
    if (is_delayed) {
      m_delayed.push_back(text);
    } else if (!is_lost) {
      Append(text);
    }
    if (is_duplicated) {
      m_delayed.push_back(text);
    }
  }

  void Append(const std::string& text) {
    m_log.Append(text);
    CatchUp(m_log, m_observer);
    m_floors.push_back(m_observer.FindFloor(kService));
    const AuditEntry& entry = m_observer.State().m_audit.back();
    const bool is_grant =
        entry.m_subject == kServiceName && entry.m_header.m_change_id != "r";
    m_accepted_grants +=
        is_grant && entry.m_verdict == AuditVerdict::kAccepted ? 1 : 0;
  }

  void Read(size_t index, uint64_t max) {
    Node& node = m_nodes[index];
    for (uint64_t i = 0;
         i < max && node.m_replay.NextOffset().Get() < m_log.End(); ++i) {
      const LogOffset offset = node.m_replay.NextOffset();
      CountGrant(m_log.m_records[offset.Get()], node);
      node.m_replay.Apply(offset, m_log.m_records[offset.Get()]);
    }
    if (node.m_replay.NextOffset().Get() == m_log.End()) {
      node.m_enforces = true;
    }
    node.m_others_in_service = CountInService() - (IsInService(index) ? 1 : 0);
  }

  // Rule::kCountOnly.
  static void CountGrant(const std::string& text, Node& node) {
    Findings findings;
    const auto record = ParseRecord(text, findings);
    if (const auto* grant = std::get_if<EjectionGrant>(&*record)) {
      if (grant->m_remaining.size() >= node.m_replay.FindFloor(kService)) {
        node.m_counted[grant->m_target.m_instance] =
            grant->m_target.m_incarnation;
      }
    } else if (const auto* readmission = std::get_if<Readmission>(&*record)) {
      node.m_counted.erase(readmission->m_target.m_instance);
    }
  }

  static void RestartNode(Node& node, const Node& peer, uint8_t choice) {
    const ReplayState state = peer.m_replay.State();
    node.m_replay = LogReplay();
    node.m_enforces = false;
    node.m_counted.clear();
    if (choice % 2 == 0) {
      node.m_replay.Merge(state);
    }
  }

  InstanceRun MakeRun(size_t node) const {
    return {.m_instance = MakeInstanceId(node),
            .m_incarnation = m_nodes[node].m_incarnation};
  }

  bool IsInService(size_t index) const {
    const Node& node = m_nodes[index];
    if (m_rule == Rule::kLocal) {
      return !node.m_is_ejected_locally;
    }
    if (m_rule == Rule::kCountOnly) {
      const auto found = node.m_counted.find(MakeInstanceId(index));
      return found == node.m_counted.end() ||
             found->second < node.m_incarnation;
    }
    return !node.m_enforces ||
           !node.m_replay.FindEjections(kService).IsEjected(MakeRun(index));
  }

  size_t CountInService() const {
    size_t count = 0;
    for (size_t i = 0; i < kNodes; ++i) {
      count += IsInService(i) ? 1 : 0;
    }
    return count;
  }

  // The lowest floor that a node can still assume to be in force.
  uint32_t LowestFloor() const {
    uint64_t oldest = m_log.End();
    for (const Node& node : m_nodes) {
      if (node.m_enforces) {
        oldest = std::min(oldest, node.m_replay.NextOffset().Get());
      }
    }
    return *std::min_element(
        m_floors.begin() + static_cast<ptrdiff_t>(oldest) - 1, m_floors.end());
  }

  bool IsFloorKept() const {
    if (CountInService() < LowestFloor()) {
      return false;
    }
    if (m_rule == Rule::kLocal || m_rule == Rule::kCountOnly) {
      return true;
    }
    return std::all_of(
        m_nodes.begin(), m_nodes.end(), [this](const Node& node) {
          const auto& ejections = node.m_replay.FindEjections(kService);
          size_t count = 0;
          for (size_t i = 0; i < kNodes; ++i) {
            count += ejections.IsEjected(MakeRun(i)) ? 0 : 1;
          }
          return count >= node.m_replay.FindFloor(kService);
        });
  }

  Rule m_rule;
  FakeLog m_log;
  LogReplay m_observer;
  std::vector<Node> m_nodes;
  std::vector<std::string> m_delayed;
  // Floor in force after each log record.
  std::vector<uint32_t> m_floors;
  size_t m_accepted_grants = 0;
};

}  // namespace sequoiastage::ejection_simulation

#endif  // SEQUOIASTAGE_CONFIG_TESTS_EJECTION_SIMULATION_H_
