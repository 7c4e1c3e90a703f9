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

/// Piece of work in flight, as numbered by InstanceJudge::OnStart().
using WorkHandle = Strong<struct WorkHandleTag, uint64_t>;

/// Verdict on an instance and what goes with it.
struct JudgeReport {
  Verdict m_verdict = Verdict::kHealthy;
  /// Share (0 to 1) of an equal part of the service's work that the instance
  /// should get while healthy instances have room.
  double m_share = 1;
  /// Set while ejected, once the hold time is over.
  bool m_wants_readmission = false;
  bool m_is_ejected = false;
  /// Evidence as share of what ejection needs; 1 or more wants ejection once
  /// the peers' summaries confirm it.
  double m_suspicion = 0;
  /// Number of recent suspicions after the first.
  uint32_t m_flaps = 0;
};

/// Judges one incarnation of an instance from its real work.
///
/// Owned by the egress that all work of the instance passes. Health probes
/// neither raise nor clear a suspicion; a failed one only puts off the
/// readmission of an ejected instance. Call OnStart() and
/// OnFinish() around each piece of work, OnTick() at least every 100 ms,
/// and OnBaseline() each time the siblings' summaries are pooled. Times must
/// not run backwards; one that does counts as the latest time seen.
///
/// Outcomes newer than the baseline make an instance suspect, but ejection is
/// wanted only on work that the baseline covers: when all instances fail at
/// once, the baseline shows that before any of them is wanted ejected.
class InstanceJudge {
 public:
  /// `now` is the start of the incarnation (its warm-up starts here).
  InstanceJudge(const JudgeOptions& options, TimePoint now);

  /// A piece of work is handed to the instance.
  WorkHandle OnStart(TimePoint now);

  /// It ended. False, without any effect, when `handle` is not in flight.
  bool OnFinish(WorkHandle handle, TimePoint now, Outcome outcome);

  /// Time passed; work in flight may have become overdue.
  void OnTick(TimePoint now);

  /// News of the service's other instances.
  void OnBaseline(TimePoint now, const PeerBaseline& baseline);

  /// A health probe of the instance ended.
  void OnProbe(TimePoint now, bool is_good);

  /// A grant took the instance out of service, or a record put it back.
  void OnEjected(TimePoint now);
  void OnReadmitted(TimePoint now);

  /// The operators changed the policy. What is known of the instance stays.
  void SetPolicy(TimePoint now, const EjectionPolicy& policy);

  /// Whether a suspect may be given one idempotent request now to prove
  /// itself. True at most once for each probation interval and never while
  /// slow work is in flight; always true for a healthy instance and never for
  /// an ejected one.
  bool TakeProbationTurn(TimePoint now);

  const JudgeReport& Report() const { return m_report; }

  /// Counts for the siblings.
  InstanceSummary Summary(TimePoint now) const;

 private:
  struct InFlight {
    WorkHandle m_handle;
    TimePoint m_started;
  };

  TimePoint Advance(TimePoint now);
  void UpdateThresholds();
  void AddRecord(const InFlight& work, TimePoint now, WorkRecord::Kind kind);
  double AgeEvidence(TimePoint at) const;
  bool SpansLongEnough() const;
  double Worst(const EvidenceSums& sums, TimePoint at) const;
  bool LatencyCounts(TimePoint started) const;
  void ForgetWhenIdle(TimePoint now);
  void AdaptProbation(TimePoint now, bool is_adverse);
  void UpdateVerdict(TimePoint now);
  void UpdateSuspect(TimePoint now, double provisional);
  bool IsEjectionConfirmed(TimePoint now) const;
  void UpdateEjected(TimePoint now);
  void BecomeSuspect(TimePoint now);
  void CountFlap();
  void ForgetFlaps(TimePoint now);
  Duration HoldFor(Duration base) const;
  double ShareNow(TimePoint now) const;

  JudgeOptions m_options;
  TimePoint m_started;
  TimePoint m_latest;
  PeerBaseline m_baseline;
  bool m_has_baseline = false;
  TimePoint m_baseline_at;
  Evidence m_evidence;
  double m_ejection_threshold;
  double m_suspect_threshold;

  uint64_t m_next_handle = 1;
  std::vector<InFlight> m_in_flight;
  EvidenceTrail m_trail;
  OutcomeWindow m_window;

  TimePoint m_last_evidence;
  TimePoint m_hold_until;
  TimePoint m_last_suspicion;
  bool m_was_suspect = false;
  bool m_last_probe_failed = false;
  TimePoint m_ejected_at;
  EvidenceSums m_at_ejection;
  // Readmitted and not healthy since.
  bool m_is_on_trial = false;
  TimePoint m_next_turn;
  Duration m_turn_interval;
  JudgeReport m_report;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_HEALTH_INSTANCE_JUDGE_H_
