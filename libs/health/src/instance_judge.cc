#include "sequoiastage/health/instance_judge.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace sequoiastage {

namespace {

constexpr uint32_t kMaxFlaps = 10;
// Evidence beyond this multiple of the ejection threshold is not kept, so that
// recovery does not take longer the longer a fault lasted.
constexpr double kSumCap = 1.2;
// A suspicion is cleared below this share of the suspect threshold.
constexpr double kClearShare = 0.25;
// Work in flight for longer than this multiple of the usual latency is shown to
// the siblings with its age.
constexpr int kOverdueRatio = 2;
constexpr double kProbationBackoff = 2;
// Work a healthy instance gets at the start of its warm-up.
constexpr double kWarmUpShare = 0.2;

Duration Scaled(Duration duration, double factor) {
  return Duration(
      static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
}

}  // namespace

InstanceJudge::InstanceJudge(const JudgeOptions& options, TimePoint now)
    : m_options(options),
      m_started(now),
      m_latest(now),
      m_evidence(options, m_baseline),
      m_ejection_threshold(EjectionThreshold(options, 0)),
      m_suspect_threshold(SuspectThreshold(options, 0)),
      m_trail(options, m_evidence),
      m_last_evidence(now),
      m_turn_interval(options.m_probation_interval) {
  m_report.m_share = ShareNow(now);
}

WorkHandle InstanceJudge::OnStart(TimePoint now) {
  now = Advance(now);
  const WorkHandle handle(m_next_handle++);
  m_in_flight.push_back(InFlight{.m_handle = handle, .m_started = now});
  return handle;
}

bool InstanceJudge::OnFinish(WorkHandle handle,
                             TimePoint now,
                             Outcome outcome) {
  now = Advance(now);
  const auto found = std::find_if(
      m_in_flight.begin(), m_in_flight.end(),
      [handle](const InFlight& work) { return work.m_handle == handle; });
  if (found == m_in_flight.end()) {
    return false;
  }
  const InFlight work = *found;
  m_in_flight.erase(found);
  if (outcome == Outcome::kSuccess) {
    AddRecord(work, now, WorkRecord::Kind::kSuccess);
  } else if (IsFailure(outcome)) {
    AddRecord(work, now, WorkRecord::Kind::kFailure);
  } else if (m_evidence.OfAge(now - work.m_started) > 0) {
    AddRecord(work, now, WorkRecord::Kind::kUnfinished);
  }
  UpdateVerdict(now);
  return true;
}

void InstanceJudge::OnTick(TimePoint now) {
  now = Advance(now);
  ForgetWhenIdle(now);
  ForgetFlaps(now);
  UpdateVerdict(now);
}

void InstanceJudge::OnBaseline(TimePoint now, const PeerBaseline& baseline) {
  now = Advance(now);
  if (baseline.m_peers == 0) {
    return;
  }
  m_baseline = baseline;
  m_baseline.m_as_of = std::min(baseline.m_as_of, now);
  m_baseline_at = now;
  m_has_baseline = true;
  m_evidence = Evidence(m_options, baseline);
  UpdateThresholds();
  m_trail.Reweigh(m_evidence, m_baseline.m_as_of,
                  kSumCap * m_ejection_threshold);
  UpdateVerdict(now);
}

void InstanceJudge::SetPolicy(TimePoint now, const EjectionPolicy& policy) {
  now = Advance(now);
  ApplyPolicy(policy, m_options);
  UpdateThresholds();
  UpdateVerdict(now);
}

void InstanceJudge::UpdateThresholds() {
  const double rate = m_baseline.m_outcomes_per_hour;
  m_ejection_threshold = EjectionThreshold(m_options, rate);
  m_suspect_threshold = SuspectThreshold(m_options, rate);
}

void InstanceJudge::OnProbe(TimePoint now, bool is_good) {
  now = Advance(now);
  m_last_probe_failed = !is_good;
  UpdateVerdict(now);
}

void InstanceJudge::OnEjected(TimePoint now) {
  now = Advance(now);
  if (m_report.m_is_ejected) {
    return;
  }
  if (m_report.m_verdict == Verdict::kHealthy) {
    BecomeSuspect(now);
  }
  if (m_is_on_trial) {
    CountFlap();
  }
  m_at_ejection = m_trail.Provisional();
  m_at_ejection.m_slow += AgeEvidence(now);
  m_report.m_is_ejected = true;
  m_report.m_verdict = Verdict::kEjectionWanted;
  m_ejected_at = now;
  m_hold_until = now + HoldFor(m_options.m_ejection_hold);
  UpdateVerdict(now);
}

void InstanceJudge::OnReadmitted(TimePoint now) {
  now = Advance(now);
  if (!m_report.m_is_ejected) {
    return;
  }
  m_report.m_is_ejected = false;
  m_report.m_wants_readmission = false;
  m_report.m_verdict = Verdict::kSuspect;
  // One more failure is enough to want ejection again.
  const double start = m_ejection_threshold - m_evidence.OfFailure();
  m_trail.Restart({.m_failing = std::min(m_at_ejection.m_failing, start),
                   .m_slow = std::min(m_at_ejection.m_slow, start)});
  m_is_on_trial = true;
  m_turn_interval = m_options.m_probation_interval;
  m_next_turn = now;
  m_hold_until = now + HoldFor(m_options.m_suspect_hold);
  m_last_evidence = now;
  UpdateVerdict(now);
}

bool InstanceJudge::TakeProbationTurn(TimePoint now) {
  now = Advance(now);
  if (m_report.m_is_ejected) {
    return false;
  }
  if (m_report.m_verdict == Verdict::kHealthy) {
    return true;
  }
  if (now < m_next_turn || AgeEvidence(now) > 0) {
    return false;
  }
  m_next_turn = now + m_turn_interval;
  return true;
}

InstanceSummary InstanceJudge::Summary(TimePoint now) const {
  InstanceSummary summary = m_window.Summarize(now);
  // Compared with ended work alone: a limit that follows the peers' latencies
  // would rise with a hang of all instances and leave the hanging work out.
  const Duration usual = summary.m_latencies.Quantile(0.5);
  for (const InFlight& work : m_in_flight) {
    const Duration age = now - work.m_started;
    if (age > kOverdueRatio * usual) {
      summary.m_latencies.Add(age);
    }
  }
  return summary;
}

TimePoint InstanceJudge::Advance(TimePoint now) {
  m_latest = std::max(m_latest, now);
  return m_latest;
}

bool InstanceJudge::LatencyCounts(TimePoint started) const {
  return started >= m_started + m_options.m_warm_up;
}

void InstanceJudge::AddRecord(const InFlight& work,
                              TimePoint now,
                              WorkRecord::Kind kind) {
  const bool is_adverse =
      m_trail.Add({.m_started = work.m_started,
                   .m_ended = now,
                   .m_kind = kind,
                   .m_latency_counts = LatencyCounts(work.m_started)});
  if (kind != WorkRecord::Kind::kUnfinished) {
    m_window.Add(now, kind == WorkRecord::Kind::kFailure, now - work.m_started);
  }
  m_last_evidence = now;
  AdaptProbation(now, is_adverse);
}

// Evidence of the work in flight at `at`.
double InstanceJudge::AgeEvidence(TimePoint at) const {
  double sum = 0;
  double weight = 1;
  // Older work comes first, so it has the greater evidence.
  for (const InFlight& work : m_in_flight) {
    const Duration age = at - work.m_started;
    if (!LatencyCounts(work.m_started) && age < m_options.m_warm_up_hang) {
      continue;
    }
    sum += weight * m_evidence.OfAge(age);
    weight *= m_options.m_concurrent_weight;
  }
  return sum;
}

bool InstanceJudge::SpansLongEnough() const {
  if (m_trail.AdverseSpan() >= m_options.m_min_fault_span) {
    return true;
  }
  return !m_in_flight.empty() && AgeEvidence(m_baseline.m_as_of) > 0 &&
         m_baseline.m_as_of - m_in_flight.front().m_started >=
             m_options.m_min_fault_span;
}

double InstanceJudge::Worst(const EvidenceSums& sums, TimePoint at) const {
  return std::max(sums.m_failing, sums.m_slow + AgeEvidence(at));
}

void InstanceJudge::ForgetWhenIdle(TimePoint now) {
  if (m_report.m_verdict == Verdict::kHealthy || m_report.m_is_ejected ||
      !m_in_flight.empty() || now - m_last_evidence < m_options.m_idle_forget) {
    return;
  }
  const EvidenceSums& sums = m_trail.Provisional();
  m_trail.Restart({.m_failing = sums.m_failing / 2, .m_slow = sums.m_slow / 2});
  m_last_evidence = now;
}

void InstanceJudge::AdaptProbation(TimePoint now, bool is_adverse) {
  if (m_report.m_verdict == Verdict::kHealthy) {
    return;
  }
  const double factor =
      is_adverse ? kProbationBackoff : m_options.m_probation_success_factor;
  m_turn_interval = std::clamp(Scaled(m_turn_interval, factor),
                               m_options.m_min_probation_interval,
                               m_options.m_max_probation_interval);
  m_next_turn = is_adverse ? std::max(m_next_turn, now + m_turn_interval)
                           : std::min(m_next_turn, now + m_turn_interval);
}

void InstanceJudge::UpdateVerdict(TimePoint now) {
  if (m_report.m_is_ejected) {
    UpdateEjected(now);
    return;
  }
  const double provisional = Worst(m_trail.Provisional(), now);
  if (provisional >= m_suspect_threshold &&
      m_report.m_verdict == Verdict::kHealthy) {
    BecomeSuspect(now);
  }
  if (m_report.m_verdict != Verdict::kHealthy) {
    UpdateSuspect(now, provisional);
  }
  m_report.m_suspicion = provisional / m_ejection_threshold;
  m_report.m_share = ShareNow(now);
}

// Moves between suspect, ejection wanted and healthy again.
void InstanceJudge::UpdateSuspect(TimePoint now, double provisional) {
  if (IsEjectionConfirmed(now)) {
    m_report.m_verdict = Verdict::kEjectionWanted;
  } else if (provisional < m_suspect_threshold) {
    m_report.m_verdict = Verdict::kSuspect;
  }
  if (provisional <= kClearShare * m_suspect_threshold && now >= m_hold_until) {
    m_report.m_verdict = Verdict::kHealthy;
    m_is_on_trial = false;
  }
}

bool InstanceJudge::IsEjectionConfirmed(TimePoint now) const {
  if (!m_has_baseline || now - m_baseline_at > m_options.m_baseline_ttl) {
    return false;
  }
  const double confirmed = Worst(m_trail.Confirmed(), m_baseline.m_as_of);
  return confirmed >= m_ejection_threshold && SpansLongEnough();
}

void InstanceJudge::UpdateEjected(TimePoint now) {
  const bool probe_forbids =
      m_last_probe_failed && now - m_ejected_at < m_options.m_max_hold;
  m_report.m_wants_readmission = now >= m_hold_until && !probe_forbids;
  m_report.m_share = 0;
}

void InstanceJudge::BecomeSuspect(TimePoint now) {
  m_report.m_verdict = Verdict::kSuspect;
  if (m_was_suspect && now - m_last_suspicion < m_options.m_flap_memory) {
    CountFlap();
  }
  m_was_suspect = true;
  m_last_suspicion = now;
  m_hold_until = now + HoldFor(m_options.m_suspect_hold);
  m_turn_interval = m_options.m_probation_interval;
  m_next_turn = now + m_turn_interval;
}

void InstanceJudge::CountFlap() {
  m_report.m_flaps = std::min(m_report.m_flaps + 1, kMaxFlaps);
}

void InstanceJudge::ForgetFlaps(TimePoint now) {
  if (m_report.m_verdict != Verdict::kHealthy) {
    m_last_suspicion = now;
    return;
  }
  if (m_report.m_flaps > 0 &&
      now - m_last_suspicion >= m_options.m_flap_memory) {
    --m_report.m_flaps;
    m_last_suspicion = now;
  }
}

Duration InstanceJudge::HoldFor(Duration base) const {
  return std::min(base * (int64_t{1} << m_report.m_flaps),
                  m_options.m_max_hold);
}

double InstanceJudge::ShareNow(TimePoint now) const {
  if (m_report.m_verdict != Verdict::kHealthy) {
    const double rate = 1e6 / static_cast<double>(m_turn_interval.count());
    const double normal = std::max(m_options.m_min_outcomes_per_hour,
                                   m_baseline.m_outcomes_per_hour) /
                          3600;
    return std::min(1.0, rate / normal);
  }
  if (LatencyCounts(now)) {
    return 1;
  }
  const double warmed = std::chrono::duration<double>(now - m_started) /
                        std::chrono::duration<double>(m_options.m_warm_up);
  return kWarmUpShare + (1 - kWarmUpShare) * warmed;
}

}  // namespace sequoiastage
