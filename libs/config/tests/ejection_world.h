#ifndef SEQUOIASTAGE_CONFIG_TESTS_EJECTION_WORLD_H_
#define SEQUOIASTAGE_CONFIG_TESTS_EJECTION_WORLD_H_

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "replay_harness.h"

// Nodes that eject, readmit, lag and restart, in a namespace of its own since
// other tests have steps too.
namespace sequoiastage::ejection_world {

inline constexpr size_t kNodes = 8;
inline const std::string kServiceName = "s";
inline const ServiceId kService = ServiceIdOf(kServiceName);

// How instances are taken out of service.
enum class Rule : uint8_t {
  kGrants,
  // Naive: a grant holds when it names enough instances.
  kCountOnly,
  // Naive: authors name instances whose nodes may lag.
  kLaggingRemaining,
  // Naive: each node takes its own instance out when enough others seemed in
  // service at its last look.
  kLocal,
};

enum class StepKind : uint8_t {
  kEject,
  kReadmit,
  kDeliver,
  kRead,
  kRestartNode,
  kRestartInstance,
  kSetFloor,
};

struct Step {
  StepKind m_kind;
  uint8_t m_node;
  uint8_t m_target;
  uint8_t m_amount;
  // Instances that work, as bits.
  uint8_t m_working;
};

inline std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << "{" << int(step.m_kind) << " " << int(step.m_node) << " "
             << int(step.m_target) << " " << int(step.m_amount) << " "
             << int(step.m_working) << "}";
}

inline rc::Gen<std::vector<Step>> Steps() {
  const auto bits = rc::gen::map(
      rc::gen::container<std::vector<uint8_t>>(
          rc::gen::inRange<uint8_t>(0, kNodes)),
      [](const std::vector<uint8_t>& sick) {
        uint8_t working = 0xff;
        for (size_t i = 0; i < std::min<size_t>(sick.size(), 3); ++i) {
          working = static_cast<uint8_t>(working & ~(1U << sick[i]));
        }
        return working;
      });
  return rc::gen::container<std::vector<Step>>(rc::gen::build<Step>(
      rc::gen::set(&Step::m_kind,
                   rc::gen::element(
                       StepKind::kEject, StepKind::kEject, StepKind::kEject,
                       StepKind::kReadmit, StepKind::kDeliver, StepKind::kRead,
                       StepKind::kRead, StepKind::kRead, StepKind::kRestartNode,
                       StepKind::kRestartInstance, StepKind::kSetFloor)),
      rc::gen::set(&Step::m_node, rc::gen::inRange<uint8_t>(0, kNodes)),
      rc::gen::set(&Step::m_target, rc::gen::inRange<uint8_t>(0, kNodes)),
      rc::gen::set(&Step::m_amount), rc::gen::set(&Step::m_working, bits)));
}

// A node with one instance beside it.
struct Node {
  LogReplay m_replay;
  // It has read the log to its end since it started.
  bool m_enforces = false;
  Incarnation m_incarnation{1};
  // For Rule::kCountOnly.
  std::map<InstanceId, Incarnation> m_counted;
  // For Rule::kLocal.
  bool m_is_out = false;
  size_t m_others_in_service = kNodes - 1;
};

inline InstanceId InstanceOf(size_t node) {
  return InstanceId(
      {.m_ip = 0x0a000001 + static_cast<uint32_t>(node), .m_port = 80});
}

class World {
 public:
  explicit World(Rule rule) : m_rule(rule), m_nodes(kNodes) {
    Append(ChangeText("start", std::string(kBaseScope), std::nullopt,
                      BaseWithFloor(5)));
    for (size_t i = 0; i < kNodes; ++i) {
      Read(i, 1);
    }
  }

  // Returns false as soon as fewer instances than the floor are in service.
  bool Run(const std::vector<Step>& steps) {
    for (const Step& step : steps) {
      Do(step);
      if (!IsFloorKept()) {
        return false;
      }
    }
    return true;
  }

  size_t HeldGrants() const { return m_held; }

 private:
  void Do(const Step& step) {
    Node& node = m_nodes[step.m_node];
    switch (step.m_kind) {
      case StepKind::kEject:
        Eject(step);
        break;
      case StepKind::kReadmit:
        Readmit(step);
        break;
      case StepKind::kDeliver:
        if (!m_delayed.empty()) {
          Append(m_delayed[step.m_amount % m_delayed.size()]);
        }
        break;
      case StepKind::kRead:
        Read(step.m_node, step.m_amount % 6);
        break;
      case StepKind::kRestartNode:
        RestartNode(node, m_nodes[step.m_target], step.m_amount);
        break;
      case StepKind::kRestartInstance:
        node.m_incarnation = Incarnation(node.m_incarnation.Get() + 1);
        node.m_is_out = false;
        break;
      case StepKind::kSetFloor:
        Append(ChangeText("c" + std::to_string(m_log.End()),
                          std::string(kBaseScope),
                          m_observer.State().VersionOf(kBaseScope),
                          BaseWithFloor(2 + step.m_amount % 6)));
        break;
    }
  }

  void Eject(const Step& step) {
    Node& node = m_nodes[step.m_node];
    const uint32_t floor = node.m_replay.FloorOf(kService);
    if (m_rule == Rule::kLocal) {
      node.m_is_out = node.m_others_in_service >= floor;
      return;
    }
    std::string reason;
    const auto grant = ProposeEjection(
        MakeHeader("g" + std::to_string(m_log.End())), kServiceName,
        RunOf(step.m_target), Look(step.m_working), floor,
        node.m_replay.EjectionsOf(kService), &reason);
    if (grant) {
      Send(ToRecordText(*grant), step.m_amount);
    }
  }

  // What all authors see of the instances.
  std::vector<InstanceStatus> Look(uint8_t working) const {
    std::vector<InstanceStatus> statuses;
    for (size_t i = 0; i < kNodes; ++i) {
      const bool is_working = ((working >> i) & 1U) != 0 && IsInService(i);
      const LogOffset replayed = m_rule == Rule::kLaggingRemaining
                                     ? LogOffset(m_log.End())
                                     : m_nodes[i].m_replay.NextOffset();
      statuses.push_back({.m_run = RunOf(i),
                          .m_replayed = replayed,
                          .m_is_working = is_working});
    }
    return statuses;
  }

  void Readmit(const Step& step) {
    const auto& ejected =
        m_nodes[step.m_node].m_replay.EjectionsOf(kService).m_ejected;
    const auto found = ejected.find(InstanceOf(step.m_target));
    if (found != ejected.end()) {
      Send(ToRecordText(Readmission{
               .m_header = MakeHeader("r"),
               .m_service = kServiceName,
               .m_target = {.m_instance = found->first,
                            .m_incarnation = found->second.m_incarnation},
               .m_grant = found->second.m_grant}),
           step.m_amount);
    }
  }

  // The record arrives, is lost, arrives late (also more than once) or twice.
  void Send(const std::string& text, uint8_t fate) {
    const bool is_delayed = fate % 8 == 0;
    const bool is_lost = fate % 8 == 1;
    const bool is_doubled = fate % 8 == 2;
    if (is_delayed) {
      m_delayed.push_back(text);
    } else if (!is_lost) {
      Append(text);
    }
    if (is_doubled) {
      m_delayed.push_back(text);
    }
  }

  void Append(const std::string& text) {
    m_log.Append(text);
    CatchUp(m_log, m_observer);
    m_floors.push_back(m_observer.FloorOf(kService));
    const AuditEntry& entry = m_observer.State().m_audit.back();
    const bool is_grant =
        entry.m_subject == kServiceName && entry.m_header.m_change_id != "r";
    m_held += is_grant && entry.m_verdict == AuditVerdict::kAccepted ? 1 : 0;
  }

  void Read(size_t index, uint64_t max) {
    Node& node = m_nodes[index];
    for (uint64_t i = 0;
         i < max && node.m_replay.NextOffset().Get() < m_log.End(); ++i) {
      const LogOffset offset = node.m_replay.NextOffset();
      Count(m_log.m_records[offset.Get()], node);
      node.m_replay.Apply(offset, m_log.m_records[offset.Get()]);
    }
    if (node.m_replay.NextOffset().Get() == m_log.End()) {
      node.m_enforces = true;
    }
    node.m_others_in_service = CountInService() - (IsInService(index) ? 1 : 0);
  }

  // Rule::kCountOnly.
  static void Count(const std::string& text, Node& node) {
    Findings findings;
    const auto record = ParseRecord(text, findings);
    if (const auto* grant = std::get_if<EjectionGrant>(&*record)) {
      if (grant->m_remaining.size() >= node.m_replay.FloorOf(kService)) {
        node.m_counted[grant->m_target.m_instance] =
            grant->m_target.m_incarnation;
      }
    } else if (const auto* back = std::get_if<Readmission>(&*record)) {
      node.m_counted.erase(back->m_target.m_instance);
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

  InstanceRun RunOf(size_t node) const {
    return {.m_instance = InstanceOf(node),
            .m_incarnation = m_nodes[node].m_incarnation};
  }

  bool IsInService(size_t index) const {
    const Node& node = m_nodes[index];
    if (m_rule == Rule::kLocal) {
      return !node.m_is_out;
    }
    if (m_rule == Rule::kCountOnly) {
      const auto found = node.m_counted.find(InstanceOf(index));
      return found == node.m_counted.end() ||
             found->second < node.m_incarnation;
    }
    return !node.m_enforces ||
           !node.m_replay.EjectionsOf(kService).IsEjected(RunOf(index));
  }

  size_t CountInService() const {
    size_t count = 0;
    for (size_t i = 0; i < kNodes; ++i) {
      count += IsInService(i) ? 1 : 0;
    }
    return count;
  }

  // The lowest floor that a node may still hold for the one in force.
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
          const auto& ejections = node.m_replay.EjectionsOf(kService);
          size_t count = 0;
          for (size_t i = 0; i < kNodes; ++i) {
            count += ejections.IsEjected(RunOf(i)) ? 0 : 1;
          }
          return count >= node.m_replay.FloorOf(kService);
        });
  }

  Rule m_rule;
  FakeLog m_log;
  LogReplay m_observer;
  std::vector<Node> m_nodes;
  std::vector<std::string> m_delayed;
  // Floor in force after each record.
  std::vector<uint32_t> m_floors;
  size_t m_held = 0;
};

}  // namespace sequoiastage::ejection_world

#endif  // SEQUOIASTAGE_CONFIG_TESTS_EJECTION_WORLD_H_
