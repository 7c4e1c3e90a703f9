#ifndef SEQUOIASTAGE_HEALTH_EVIDENCE_H_
#define SEQUOIASTAGE_HEALTH_EVIDENCE_H_

#include <array>

#include "sequoiastage/base/time.h"
#include "sequoiastage/health/instance_summary.h"
#include "sequoiastage/health/judge_options.h"

namespace sequoiastage {

/// Log likelihood ratios (natural logarithm) of "this instance is faulty"
/// against "it behaves like its peers", for one request of real traffic.
///
/// Two kinds of fault are weighed separately: failing (responses are errors or
/// incomplete) and slow (latency beyond the peers' quantiles).
class Evidence {
 public:
  /// Compares with `baseline`, or with the defaults of `options` where it holds
  /// too few samples.
  Evidence(const JudgeOptions& options, const PeerBaseline& baseline);

  double FailureEvidence() const { return m_failure_evidence; }
  double SuccessEvidence() const { return m_success_evidence; }

  /// Evidence of a response that took `latency`.
  double LatencyEvidence(Duration latency) const;

  /// Evidence of a request that has been in flight for `age`: at least 0.
  double InFlightEvidence(Duration age) const;

  /// Latency above which a response is slow.
  Duration SlowLatency() const { return m_levels.front(); }

 private:
  static constexpr size_t kLevels = 4;

  size_t LevelsCrossed(Duration latency) const;

  double m_failure_evidence;
  double m_success_evidence;
  std::array<Duration, kLevels> m_levels;
};

/// Evidence against an instance for each kind of fault: cumulative sums
/// (Page, 1954) that never fall below 0.
struct EvidenceSums {
  double m_failing = 0;
  double m_slow = 0;
};

/// Sum at which an ejection is due: a cumulative sum of log likelihood ratios
/// stays below h for e^h outcomes on average (Lorden, 1971), so h is the
/// logarithm of the number of outcomes in the configured time between false
/// ejections. Each of the two sums is allotted half of the false alarms.
double EjectionThreshold(const JudgeOptions& options, double outcomes_per_hour);

/// Sum at which an instance becomes suspect.
double SuspectThreshold(const JudgeOptions& options, double outcomes_per_hour);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_HEALTH_EVIDENCE_H_
