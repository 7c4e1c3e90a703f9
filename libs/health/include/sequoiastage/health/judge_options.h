#ifndef SEQUOIASTAGE_HEALTH_JUDGE_OPTIONS_H_
#define SEQUOIASTAGE_HEALTH_JUDGE_OPTIONS_H_

#include "sequoiastage/base/time.h"

namespace sequoiastage {

/// The two numbers that an operator sets for a service.
struct EjectionPolicy {
  /// At most one false ejection in this many hours of one instance.
  double m_false_ejection_hours = 1000;
  /// 0 to 0.9: how much earlier than ejection an instance becomes suspect, as
  /// share of the evidence that ejection needs.
  double m_detection_weight = 0.45;
};

/// False ejections weigh more: one in 1,000 instance-hours.
inline constexpr EjectionPolicy kCautiousPolicy{.m_false_ejection_hours = 1000,
                                                .m_detection_weight = 0.45};

/// Detection time weighs more: one false ejection in 10 instance-hours.
inline constexpr EjectionPolicy kFastPolicy{.m_false_ejection_hours = 10,
                                            .m_detection_weight = 0.55};

/// Settings of an InstanceJudge. MakeJudgeOptions() derives them from an
/// EjectionPolicy; the defaults are those of kCautiousPolicy.
struct JudgeOptions {
  double m_false_ejection_hours = 1000;
  double m_detection_weight = 0.45;

  /// Failure share of a healthy instance when the peers have a lower one.
  double m_healthy_failure_share = 0.01;
  /// A sick instance fails at least this share of what peers answer well.
  double m_sick_failure_share = 0.3;
  /// Least rate of outcomes that the threshold is computed for.
  double m_min_outcomes_per_hour = 3600;

  /// Failures (or slow answers) closer to the one before than this are one
  /// burst; the later ones count with m_burst_weight.
  Duration m_burst_window = std::chrono::milliseconds(50);
  double m_burst_weight = 0.5;
  /// Ejection is wanted only when what speaks for it spans this time.
  Duration m_min_fault_span = std::chrono::seconds(1);
  /// Work that hangs at the same time may have one common cause: the n-th
  /// counts with this weight to the power of n - 1.
  double m_concurrent_weight = 0.7;

  /// Latency up to this is never slow.
  Duration m_min_slow_latency = std::chrono::milliseconds(20);
  /// Latency up to this multiple of the peers' median is never slow.
  double m_min_slow_ratio = 2;
  /// Latency counts as slow from here when peers have shown too few.
  Duration m_default_slow_latency = std::chrono::seconds(1);

  /// In this time after the start of an incarnation latency doesn't count,
  /// but work in flight for longer than m_warm_up_hang does.
  Duration m_warm_up = std::chrono::seconds(30);
  Duration m_warm_up_hang = std::chrono::seconds(10);

  /// An older baseline raises no wish for ejection.
  Duration m_baseline_ttl = std::chrono::seconds(3);
  /// Outcomes are weighed again with each new baseline until this old.
  Duration m_reweigh_time = std::chrono::seconds(2);

  /// Shortest time as suspect; doubles with each flap.
  Duration m_suspect_hold = std::chrono::seconds(2);
  /// Shortest time without work after ejection; doubles with each flap.
  Duration m_ejection_hold = std::chrono::seconds(20);
  Duration m_max_hold = std::chrono::minutes(10);
  /// A suspicion within this time of the last one is a flap. One flap is
  /// forgotten for each such time without suspicion.
  Duration m_flap_memory = std::chrono::minutes(5);

  /// Interval between requests that let a suspect prove itself: the first, and
  /// the bounds. Doubles with each failure.
  Duration m_probation_interval = std::chrono::milliseconds(500);
  Duration m_min_probation_interval = std::chrono::milliseconds(200);
  Duration m_max_probation_interval = std::chrono::seconds(5);
  /// Each success multiplies the interval by this.
  double m_probation_success_factor = 0.85;

  /// A suspect without any evidence for this long loses half its suspicion.
  Duration m_idle_forget = std::chrono::minutes(1);
};

JudgeOptions MakeJudgeOptions(const EjectionPolicy& policy);

/// Sets what the policy says in `options`; the rest stays.
void ApplyPolicy(const EjectionPolicy& policy, JudgeOptions& options);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_HEALTH_JUDGE_OPTIONS_H_
