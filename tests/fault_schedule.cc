#include "fault_schedule.h"

#include <signal.h>

#include <algorithm>
#include <numeric>
#include <utility>

namespace sequoiastage {

FaultSchedule::FaultSchedule(Fleet& fleet, FaultScheduleOptions options)
    : m_fleet(fleet),
      m_options(std::move(options)),
      m_random(m_options.m_seed) {}

void FaultSchedule::Run(const Condition& is_done) {
  while (!WaitUntil(RandomDuration(100, 400), is_done)) {
    std::vector<ActiveFault> group;
    for (const int node : PickNodes(m_options.m_concurrent_faults)) {
      const Fault fault =
          m_options.m_kinds[m_random() % m_options.m_kinds.size()];
      const int step =
          1 + static_cast<int>(m_random() % (m_fleet.NodeCount() - 1));
      group.push_back({.m_fault = fault,
                       .m_node = node,
                       .m_to_node = (node + step) % m_fleet.NodeCount()});
    }
    for (const ActiveFault& active : group) {
      ++m_faults;
      Inject(active);
      if (group.size() > 1) {
        WaitUntil(RandomDuration(0, 200), is_done);
      }
    }
    for (const ActiveFault& active : group) {
      WaitUntil(PickDuration(active.m_fault), is_done);
      Recover(active);
    }
  }
}

std::chrono::milliseconds FaultSchedule::RandomDuration(int64_t low,
                                                        int64_t high) {
  return std::chrono::milliseconds(
      std::uniform_int_distribution<int64_t>(low, high)(m_random));
}

std::chrono::milliseconds FaultSchedule::PickDuration(Fault fault) {
  switch (fault) {
    case Fault::kKill:
      return RandomDuration(0, 600);
    case Fault::kFreeze:
      return RandomDuration(50, 2500);
    case Fault::kCutOneWay:
      break;
  }
  return RandomDuration(200, 3000);
}

std::vector<int> FaultSchedule::PickNodes(int count) {
  std::vector<int> nodes(m_fleet.NodeCount());
  std::iota(nodes.begin(), nodes.end(), 0);
  std::shuffle(nodes.begin(), nodes.end(), m_random);
  nodes.resize(std::min<size_t>(nodes.size(), count));
  return nodes;
}

void FaultSchedule::Inject(const ActiveFault& active) {
  switch (active.m_fault) {
    case Fault::kKill:
      return m_fleet.Node(active.m_node).Kill();
    case Fault::kFreeze:
      return m_fleet.Node(active.m_node).Signal(SIGSTOP);
    case Fault::kCutOneWay:
      return m_fleet.Links().Cut(active.m_node, active.m_to_node);
  }
}

void FaultSchedule::Recover(const ActiveFault& active) {
  switch (active.m_fault) {
    case Fault::kKill:
      return m_fleet.StartNode(active.m_node);
    case Fault::kFreeze:
      return m_fleet.Node(active.m_node).Signal(SIGCONT);
    case Fault::kCutOneWay:
      return m_fleet.Links().Heal(active.m_node, active.m_to_node);
  }
}

}  // namespace sequoiastage
