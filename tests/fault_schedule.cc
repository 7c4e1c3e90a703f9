#include "fault_schedule.h"

#include <signal.h>

#include <utility>

namespace sequoiastage {

FaultSchedule::FaultSchedule(Fleet& fleet,
                             std::vector<Fault> kinds,
                             uint64_t seed)
    : m_fleet(fleet), m_kinds(std::move(kinds)), m_random(seed) {}

void FaultSchedule::Run(const Condition& is_done) {
  while (!WaitUntil(Between(100, 400), is_done)) {
    ++m_faults;
    Inject(m_kinds[m_random() % m_kinds.size()], is_done);
  }
}

std::chrono::milliseconds FaultSchedule::Between(int64_t low, int64_t high) {
  return std::chrono::milliseconds(
      std::uniform_int_distribution<int64_t>(low, high)(m_random));
}

int FaultSchedule::AnyNode() {
  return std::uniform_int_distribution<int>(0,
                                            m_fleet.NodeCount() - 1)(m_random);
}

void FaultSchedule::Inject(Fault fault, const Condition& is_done) {
  switch (fault) {
    case Fault::kKill:
      return KillAndRestart(AnyNode(), is_done);
    case Fault::kFreeze:
      return FreezeAndThaw(AnyNode(), is_done);
    case Fault::kCutOneWay:
      return CutAndHeal(AnyNode(), is_done);
  }
}

void FaultSchedule::KillAndRestart(int node, const Condition& is_done) {
  m_fleet.Node(node).Kill();
  WaitUntil(Between(0, 600), is_done);
  m_fleet.StartNode(node);
}

void FaultSchedule::FreezeAndThaw(int node, const Condition& is_done) {
  m_fleet.Node(node).Signal(SIGSTOP);
  WaitUntil(Between(50, 2500), is_done);
  m_fleet.Node(node).Signal(SIGCONT);
}

void FaultSchedule::CutAndHeal(int from, const Condition& is_done) {
  const int to =
      (from + 1 + AnyNode() % (m_fleet.NodeCount() - 1)) % m_fleet.NodeCount();
  m_fleet.Links().Cut(from, to);
  WaitUntil(Between(200, 3000), is_done);
  m_fleet.Links().Heal(from, to);
}

}  // namespace sequoiastage
