#ifndef SEQUOIASTAGE_HEALTH_LATENCY_PROFILE_H_
#define SEQUOIASTAGE_HEALTH_LATENCY_PROFILE_H_

#include <cstdint>

#include "sequoiastage/base/time.h"
#include "sequoiastage/health/latency_histogram.h"

namespace sequoiastage {

/// Distribution of the service times of one kind of request, from its recent
/// successes. Before the first ones it follows from the latency objective
/// alone: a log-normal distribution with a median of about a fifth of it.
class LatencyProfile {
 public:
  /// `objective`: latency objective of the requests, above 0.
  explicit LatencyProfile(Duration objective) : m_objective(objective) {}

  void Add(Duration latency);

  /// Estimated probability (0 to 1) that a request takes longer than `elapsed`.
  double ShareAbove(Duration elapsed) const;

 private:
  Duration m_objective;
  // Two generations, so that old samples are forgotten in bounded memory.
  LatencyHistogram m_current;
  LatencyHistogram m_previous;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_HEALTH_LATENCY_PROFILE_H_
