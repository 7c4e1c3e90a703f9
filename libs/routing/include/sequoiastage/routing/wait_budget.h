#ifndef SEQUOIASTAGE_ROUTING_WAIT_BUDGET_H_
#define SEQUOIASTAGE_ROUTING_WAIT_BUDGET_H_

#include <chrono>
#include <optional>

#include "sequoiastage/base/time.h"

namespace sequoiastage {

struct WaitBudgetOptions {
  /// Maximum wait as a fraction of the request's latency objective.
  double m_fraction = 0.25;
  /// Minimum of the bound, for short objectives.
  Duration m_min = std::chrono::milliseconds(60);
};

/// Bounds the time that a new request waits for capacity, in total over all its
/// offers. The time in which it runs is not counted.
///
/// Load pattern: a service is offered more than its capacity. A caller that is
/// rejected after several queues in sequence has lost the time to try again or
/// elsewhere, while a wave of demand shorter than the bound is absorbed.
class WaitBudget {
 public:
  WaitBudget(const WaitBudgetOptions& options, Duration objective);

  /// The request waits from now on. No effect while it already waits.
  void StartWaiting(TimePoint now);
  /// The request runs. No effect while it does not wait.
  void StopWaiting(TimePoint now);

  /// Remaining wait; zero when it is used up.
  Duration Left(TimePoint now) const;

 private:
  // At the start of the current wait.
  Duration m_left;
  std::optional<TimePoint> m_waits_since;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_ROUTING_WAIT_BUDGET_H_
