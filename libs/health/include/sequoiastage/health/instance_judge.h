#ifndef SEQUOIASTAGE_HEALTH_INSTANCE_JUDGE_H_
#define SEQUOIASTAGE_HEALTH_INSTANCE_JUDGE_H_

#include <cstdint>
#include <vector>

#include "sequoiastage/base/strong.h"
#include "sequoiastage/base/time.h"
#include "sequoiastage/health/evidence.h"
#include "sequoiastage/health/evidence_trail.h"
#include "sequoiastage/health/instance_summary.h"
#include "sequoiastage/health/judge_options.h"
#include "sequoiastage/health/outcome.h"
#include "sequoiastage/health/outcome_window.h"

namespace sequoiastage {

/// Identifies a request in flight; assigned by InstanceJudge::OnStart().
using RequestHandle = Strong<struct RequestHandleTag, uint64_t>;

/// Verdict on an instance, with details.
struct JudgeReport {
  Verdict m_verdict = Verdict::kHealthy;
  /// Fraction (0 to 1) of an equal share of the service's requests that the
  /// instance should receive while healthy instances have free capacity.
  double m_share = 1;
  /// A suspect that receives no probation requests yet: its suspicion, or
  /// enough evidence for ejection, is too recent.
  bool m_is_held = false;
  /// The instance is ejected and its ejection hold is over.
  bool m_readmission_due = false;
  bool m_is_ejected = false;
  /// The last health probe failed.
  bool m_has_failed_probe = false;
  /// Evidence as a multiple of the ejection threshold; from 1 on, an ejection
  /// is due once the peers' summaries confirm the evidence.
  double m_suspicion = 0;
  /// Number of recent suspicions after the first, at most 10.
  uint32_t m_flaps = 0;
};

/// Outlier detection for one incarnation of an instance, from real traffic.
///
/// Owned by the egress that all requests to the instance pass through. Health
/// probes neither raise nor clear a suspicion; a failed one only delays the
/// readmission of an ejected instance. Call OnStart() and OnFinish() around
/// each request, OnTick() at least every 100 ms, and UpdateBaseline() each time
/// the peers' summaries are pooled. A time before the latest one passed in
/// counts as that latest time.
///
/// Outcomes newer than the baseline can make an instance suspect, but only
/// requests that the baseline covers make an ejection due: when all instances
/// fail at once, the baseline reflects it before any of them is due.
class InstanceJudge {
 public:
  /// `now` is the start of the incarnation (its warm-up starts here).
  InstanceJudge(const JudgeOptions& options, TimePoint now);

  /// A request is handed to the instance.
  RequestHandle OnStart(TimePoint now);

  /// The request ended. False, and no effect, when `handle` is not in flight.
  bool OnFinish(RequestHandle handle, TimePoint now, Outcome outcome);

  /// Takes the age of the requests in flight into account.
  void OnTick(TimePoint now);

  /// Sets the baseline of the service's other instances. One without peers is
  /// ignored.
  void UpdateBaseline(TimePoint now, const PeerBaseline& baseline);

  /// A health probe of the instance ended.
  void OnProbe(TimePoint now, bool is_good);

  /// A grant took the instance out of service.
  void OnEjected(TimePoint now);
  /// A record put the instance back into service.
  void OnReadmitted(TimePoint now);

  /// Applies a changed policy. The evidence about the instance stays.
  void SetPolicy(TimePoint now, const EjectionPolicy& policy);

  /// Whether one idempotent request may be sent to a suspect now as a test.
  /// True at most once in each probation interval and never while a request is
  /// in flight; always true for a healthy instance and never for an ejected
  /// one.
  bool AllowProbationRequest(TimePoint now);

  const JudgeReport& Report() const { return m_report; }

  /// Summary for the judges of the service's other instances.
  InstanceSummary Summary(TimePoint now) const;

 private:
  struct InFlight {
    RequestHandle m_handle;
    TimePoint m_started;
  };

  TimePoint AdvanceClock(TimePoint now);
  void UpdateThresholds();
  void AddRecord(const InFlight& request,
                 TimePoint now,
                 RequestRecord::Kind kind);
  double SumInFlightEvidence(TimePoint at) const;
  bool MeetsMinFaultSpan() const;
  double MaxEvidence(const EvidenceSums& sums, TimePoint at) const;
  bool IsPastWarmUp(TimePoint time) const;
  void DecayWhenIdle(TimePoint now);
  void AdaptProbation(TimePoint now, bool is_adverse);
  void UpdateVerdict(TimePoint now);
  void HoldForConfirmation(TimePoint now);
  void UpdateSuspect(TimePoint now, double provisional);
  bool IsEjectionConfirmed(TimePoint now) const;
  void UpdateEjected(TimePoint now);
  void MarkSuspect(TimePoint now);
  void CountFlap();
  void DecayFlaps(TimePoint now);
  Duration ExtendByFlaps(Duration base) const;
  double ComputeShare(TimePoint now) const;

  JudgeOptions m_options;
  TimePoint m_started;
  TimePoint m_latest_time;
  PeerBaseline m_baseline;
  bool m_has_baseline = false;
  TimePoint m_baseline_received;
  Evidence m_evidence;
  double m_ejection_threshold;
  double m_suspect_threshold;

  uint64_t m_next_handle = 1;
  std::vector<InFlight> m_in_flight;
  EvidenceTrail m_trail;
  OutcomeWindow m_window;

  TimePoint m_last_evidence;
  TimePoint m_min_stay_until;
  TimePoint m_last_suspicion;
  bool m_was_suspect = false;
  TimePoint m_ejected_at;
  EvidenceSums m_sums_at_ejection;
  // Readmitted, and not healthy since then.
  bool m_is_recently_readmitted = false;
  bool m_is_evidence_sufficient = false;
  TimePoint m_held_until;
  TimePoint m_next_probation;
  Duration m_current_probation_interval;
  JudgeReport m_report;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_HEALTH_INSTANCE_JUDGE_H_
