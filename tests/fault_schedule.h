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

struct FaultScheduleOptions {
  std::vector<Fault> m_kinds;
  uint64_t m_seed = 1;
  /// Faults that overlap, each at a node of its own.
  int m_at_once = 1;
};

/// Injects faults of the given kinds, one group after the other, from a seed.
class FaultSchedule {
 public:
  FaultSchedule(Fleet& fleet, FaultScheduleOptions options);

  /// Goes on until `is_done`; afterwards all nodes run and no link is cut.
  void Run(const std::function<bool()>& is_done);

  int Faults() const { return m_faults; }

 private:
  using Condition = std::function<bool()>;

  struct Active {
    Fault m_fault;
    int m_node = 0;
    /// Where the way from the node is cut to.
    int m_to = 0;
  };

  std::chrono::milliseconds Between(int64_t low, int64_t high);
  std::chrono::milliseconds LengthOf(Fault fault);
  std::vector<int> AnyNodes(int count);
  void Begin(const Active& active);
  void End(const Active& active);

  Fleet& m_fleet;
  FaultScheduleOptions m_options;
  std::mt19937_64 m_random;
  int m_faults = 0;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_TESTS_FAULT_SCHEDULE_H_
