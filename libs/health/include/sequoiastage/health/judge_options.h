#ifndef SEQUOIASTAGE_HEALTH_JUDGE_OPTIONS_H_
#define SEQUOIASTAGE_HEALTH_JUDGE_OPTIONS_H_

#include "sequoiastage/base/time.h"

namespace sequoiastage {

/// Ejection policy of a service, set by its operator.
struct EjectionPolicy {
  /// At most one false ejection in this many instance-hours.
  double m_false_ejection_hours = 1000;
  /// How much earlier than its ejection an instance becomes suspect: a share (0
  /// to 0.9) of the ejection threshold.
  double m_detection_weight = 0.45;
};

/// Favours few false ejections: one in 1,000 instance-hours.
inline constexpr EjectionPolicy kCautiousPolicy{.m_false_ejection_hours = 1000,
                                                .m_detection_weight = 0.45};

/// Favours fast detection: one false ejection in 10 instance-hours.
inline constexpr EjectionPolicy kFastPolicy{.m_false_ejection_hours = 10,
                                            .m_detection_weight = 0.55};

/// Options of an InstanceJudge. MakeJudgeOptions() derives them from an
/// EjectionPolicy; the defaults correspond to kCautiousPolicy.
struct JudgeOptions {
  double m_false_ejection_hours = 1000;
  double m_detection_weight = 0.45;

  /// Least failure share (0 to 1) that is assumed for a healthy instance, also
  /// when the peers have a lower one.
  double m_healthy_failure_share = 0.01;
  /// A faulty instance fails at least this share of the requests that its peers
  /// would complete.
  double m_faulty_failure_share = 0.3;
  /// Least outcome rate for which the thresholds are computed.
  double m_min_outcomes_per_hour = 3600;

  /// A failure (or slow response) within this time of the previous one belongs
  /// to the same burst; all but the first of a burst have m_burst_weight.
  Duration m_burst_window = std::chrono::milliseconds(50);
  double m_burst_weight = 0.5;
  /// The same window for evidence that counts towards ejection.
  Duration m_ejection_burst_window = std::chrono::milliseconds(300);
  /// An ejection is due only when the evidence for it spans this time.
  Duration m_min_fault_span = std::chrono::seconds(1);
  /// Requests that hang at the same time may have a common cause: the n-th one
  /// counts with this weight to the power of n - 1.
  double m_concurrent_weight = 0.7;

  /// A latency up to this is never slow.
  Duration m_min_slow_latency = std::chrono::milliseconds(20);
  /// A latency up to this multiple of the peers' median is never slow.
  double m_min_slow_ratio = 2;
  /// Latency above which a response is slow when the peers' summaries hold too
  /// few samples.
  Duration m_default_slow_latency = std::chrono::seconds(1);

  /// For this time after the start of an incarnation latency is no evidence,
  /// except for requests in flight for longer than m_warm_up_hang.
  Duration m_warm_up = std::chrono::seconds(30);
  Duration m_warm_up_hang = std::chrono::seconds(10);

  /// No ejection becomes due on a baseline older than this.
  Duration m_baseline_ttl = std::chrono::seconds(3);
  /// Outcomes are weighed again with each new baseline up to this age.
  Duration m_reweigh_time = std::chrono::seconds(2);

  /// Minimum time as a suspect; doubles with each flap.
  Duration m_suspect_hold = std::chrono::seconds(2);
  /// Minimum time without traffic after an ejection; doubles with each flap.
  Duration m_ejection_hold = std::chrono::seconds(20);
  /// Upper bound of the two times above, and of the time for which failed
  /// probes delay a readmission.
  Duration m_max_hold = std::chrono::minutes(10);
  /// A suspicion within this time of the previous one is a flap. Each period of
  /// this length without suspicion takes one flap off the count.
  Duration m_flap_memory = std::chrono::minutes(5);

  /// A new suspect receives no probation request for this time.
  Duration m_probation_delay = std::chrono::seconds(1);
  /// Nor does an instance for this time after its evidence reaches the ejection
  /// threshold.
  Duration m_confirmation_time = std::chrono::seconds(2);
  /// Interval between probation requests to a suspect: initial value and
  /// bounds. Doubles with each failure.
  Duration m_probation_interval = std::chrono::milliseconds(200);
  Duration m_min_probation_interval = std::chrono::milliseconds(200);
  Duration m_max_probation_interval = std::chrono::seconds(5);
  /// Each success multiplies the interval by this.
  double m_probation_success_factor = 0.85;

  /// The evidence against a suspect is halved each time it has received no new
  /// evidence for this time.
  Duration m_idle_decay_time = std::chrono::minutes(1);
};

/// Default options with `policy` applied.
JudgeOptions MakeJudgeOptions(const EjectionPolicy& policy);

/// Copies `policy` into `options`, clamped to the valid ranges: at least 0.1
/// hours, a weight of 0 to 0.9. The other options stay.
void ApplyPolicy(const EjectionPolicy& policy, JudgeOptions& options);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_HEALTH_JUDGE_OPTIONS_H_
