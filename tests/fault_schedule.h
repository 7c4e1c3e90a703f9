#ifndef SEQUOIASTAGE_TESTS_FAULT_SCHEDULE_H_
#define SEQUOIASTAGE_TESTS_FAULT_SCHEDULE_H_

#include <cstdint>
#include <functional>
#include <random>
#include <vector>

#include "fleet.h"

namespace sequoiastage {

enum class Fault {
  /// SIGKILL, and a new run of the node after a while.
  kKill,
  /// SIGSTOP, and SIGCONT after a while.
  kFreeze,
  /// The way from one node to another is cut for a while.
  kCutOneWay,
};

/// Injects faults of the given kinds, one after the other, from a seed.
class FaultSchedule {
 public:
  FaultSchedule(Fleet& fleet, std::vector<Fault> kinds, uint64_t seed);

  /// Goes on until `is_done`; afterwards all nodes run and no link is cut.
  void Run(const std::function<bool()>& is_done);

  int Faults() const { return m_faults; }

 private:
  using Condition = std::function<bool()>;

  std::chrono::milliseconds Between(int64_t low, int64_t high);
  int AnyNode();
  void Inject(Fault fault, const Condition& is_done);
  void KillAndRestart(int node, const Condition& is_done);
  void FreezeAndThaw(int node, const Condition& is_done);
  void CutAndHeal(int from, const Condition& is_done);

  Fleet& m_fleet;
  std::vector<Fault> m_kinds;
  std::mt19937_64 m_random;
  int m_faults = 0;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_TESTS_FAULT_SCHEDULE_H_
