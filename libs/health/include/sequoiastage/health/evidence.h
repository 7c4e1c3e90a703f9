#ifndef SEQUOIASTAGE_HEALTH_EVIDENCE_H_
#define SEQUOIASTAGE_HEALTH_EVIDENCE_H_

#include <array>

#include "sequoiastage/base/time.h"
#include "sequoiastage/health/instance_summary.h"
#include "sequoiastage/health/judge_options.h"

namespace sequoiastage {

/// Log likelihood ratios (natural logarithm) of "this instance is sick"
/// against "it does as its peers do", for one piece of real work.
///
/// Two ways to be sick are weighed apart: failing (answers are errors or
/// incomplete) and slow (latency beyond the peers' quantiles).
class Evidence {
 public:
  /// Weighs against `baseline`; without peers, against the option's defaults.
  Evidence(const JudgeOptions& options, const PeerBaseline& baseline);

  double OfFailure() const { return m_of_failure; }
  double OfSuccess() const { return m_of_success; }

  /// Of an answer after `latency`.
  double OfLatency(Duration latency) const;

  /// Of work that has been in flight for `age` and has not ended: at least 0.
  double OfAge(Duration age) const;

  /// Latency from which an answer is slow.
  Duration SlowLatency() const { return m_levels.front(); }

 private:
  static constexpr size_t kLevels = 4;

  size_t LevelsCrossed(Duration latency) const;

  double m_of_failure;
  double m_of_success;
  std::array<Duration, kLevels> m_levels;
};

/// Evidence against an instance for each way to be sick: cumulative sums
/// (Page, 1954) that never fall below 0.
struct EvidenceSums {
  double m_failing = 0;
  double m_slow = 0;
};

/// Sum at which ejection is wanted: a cumulative sum of log likelihood ratios
/// stays below h for e^h outcomes on average (Lorden, 1971), so h is the
/// logarithm of the outcomes in the wanted time between false ejections. Half
/// of the false alarms are left to each of the two sums.
double EjectionThreshold(const JudgeOptions& options, double outcomes_per_hour);

/// Sum at which an instance becomes suspect.
double SuspectThreshold(const JudgeOptions& options, double outcomes_per_hour);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_HEALTH_EVIDENCE_H_
