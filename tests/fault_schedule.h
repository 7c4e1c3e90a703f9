#ifndef SEQUOIASTAGE_TESTS_FAULT_SCHEDULE_H_
#define SEQUOIASTAGE_TESTS_FAULT_SCHEDULE_H_

#include <cstdint>
#include <functional>
#include <random>
#include <vector>

#include "fleet.h"

namespace sequoiastage {

enum class Fault {
  /// SIGKILL; the node is restarted at the end of the fault.
  kKill,
  /// SIGSTOP; SIGCONT at the end of the fault.
  kFreeze,
  /// Traffic from one node to another is cut until the end of the fault.
  kCutOneWay,
};

struct FaultScheduleOptions {
  std::vector<Fault> m_kinds;
  uint64_t m_seed = 1;
  /// Number of overlapping faults, each at a different node.
  int m_concurrent_faults = 1;
};

/// Injects random faults of the given kinds, one group after the other. The
/// seed determines the sequence.
class FaultSchedule {
 public:
  FaultSchedule(Fleet& fleet, FaultScheduleOptions options);

  /// Injects faults until `is_done` returns true; afterwards all nodes run and
  /// no link is cut.
  void Run(const std::function<bool()>& is_done);

  int Faults() const { return m_faults; }

 private:
  using Condition = std::function<bool()>;

  struct ActiveFault {
    Fault m_fault;
    int m_node = 0;
    /// Receiving node of a one-way cut.
    int m_to_node = 0;
  };

  std::chrono::milliseconds RandomDuration(int64_t low, int64_t high);
  std::chrono::milliseconds PickDuration(Fault fault);
  std::vector<int> PickNodes(int count);
  void Inject(const ActiveFault& active);
  void Recover(const ActiveFault& active);

  Fleet& m_fleet;
  FaultScheduleOptions m_options;
  std::mt19937_64 m_random;
  int m_faults = 0;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_TESTS_FAULT_SCHEDULE_H_
