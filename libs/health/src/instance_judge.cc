#include "sequoiastage/health/instance_judge.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace sequoiastage {

namespace {

constexpr uint32_t kMaxFlaps = 10;
// The sums are capped at this multiple of the ejection threshold, so that the
// time to recover doesn't grow with the duration of a fault.
constexpr double kSumCapRatio = 1.2;
// A suspicion is cleared at this share of the suspect threshold.
constexpr double kClearShare = 0.25;
// Summaries include requests in flight with their age when that exceeds this
// multiple of the median latency.
constexpr int kOverdueRatio = 2;
constexpr double kProbationBackoff = 2;
// Share of requests that a healthy instance receives when its warm-up starts.
constexpr double kWarmUpShare = 0.2;

Duration Scale(Duration duration, double factor) {
  return Duration(
      static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
}

}  // namespace

InstanceJudge::InstanceJudge(const JudgeOptions& options, TimePoint now)
    : m_options(options),
      m_started(now),
      m_latest_time(now),
      m_evidence(options, m_baseline),
      m_ejection_threshold(EjectionThreshold(options, 0)),
      m_suspect_threshold(SuspectThreshold(options, 0)),
      m_trail(options, m_evidence),
      m_last_evidence(now),
      m_current_probation_interval(options.m_probation_interval) {
  m_report.m_share = ComputeShare(now);
}

RequestHandle InstanceJudge::OnStart(TimePoint now) {
  now = AdvanceClock(now);
  const RequestHandle handle(m_next_handle++);
  m_in_flight.push_back(InFlight{.m_handle = handle, .m_started = now});
  return handle;
}

bool InstanceJudge::OnFinish(RequestHandle handle,
                             TimePoint now,
                             Outcome outcome) {
  now = AdvanceClock(now);
  const auto found = std::find_if(
      m_in_flight.begin(), m_in_flight.end(),
      [handle](const InFlight& request) { return request.m_handle == handle; });
  if (found == m_in_flight.end()) {
    return false;
  }
  const InFlight request = *found;
  m_in_flight.erase(found);
  if (outcome == Outcome::kSuccess) {
    AddRecord(request, now, RequestRecord::Kind::kSuccess);
  } else if (IsFailure(outcome)) {
    AddRecord(request, now, RequestRecord::Kind::kFailure);
  } else if (m_evidence.InFlightEvidence(now - request.m_started) > 0) {
    AddRecord(request, now, RequestRecord::Kind::kUnfinished);
  }
  UpdateVerdict(now);
  return true;
}

void InstanceJudge::OnTick(TimePoint now) {
  now = AdvanceClock(now);
  DecayWhenIdle(now);
  DecayFlaps(now);
  UpdateVerdict(now);
}

void InstanceJudge::UpdateBaseline(TimePoint now,
                                   const PeerBaseline& baseline) {
  now = AdvanceClock(now);
  if (baseline.m_peer_count == 0) {
    return;
  }
  m_baseline = baseline;
  m_baseline.m_as_of = std::min(baseline.m_as_of, now);
  m_baseline_received = now;
  m_has_baseline = true;
  m_evidence = Evidence(m_options, baseline);
  UpdateThresholds();
  m_trail.Reweigh(m_evidence, m_baseline.m_as_of,
                  kSumCapRatio * m_ejection_threshold);
  UpdateVerdict(now);
}

void InstanceJudge::SetPolicy(TimePoint now, const EjectionPolicy& policy) {
  now = AdvanceClock(now);
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
  now = AdvanceClock(now);
  m_report.m_has_failed_probe = !is_good;
  UpdateVerdict(now);
}

void InstanceJudge::OnEjected(TimePoint now) {
  now = AdvanceClock(now);
  if (m_report.m_is_ejected) {
    return;
  }
  if (m_report.m_verdict == Verdict::kHealthy) {
    MarkSuspect(now);
  }
  if (m_is_recently_readmitted) {
    CountFlap();
  }
  m_sums_at_ejection = m_trail.Provisional();
  m_sums_at_ejection.m_slow += SumInFlightEvidence(now);
  m_report.m_is_ejected = true;
  m_report.m_verdict = Verdict::kEjectionDue;
  m_ejected_at = now;
  m_min_stay_until = now + ExtendByFlaps(m_options.m_ejection_hold);
  UpdateVerdict(now);
}

void InstanceJudge::OnReadmitted(TimePoint now) {
  now = AdvanceClock(now);
  if (!m_report.m_is_ejected) {
    return;
  }
  m_report.m_is_ejected = false;
  m_report.m_readmission_due = false;
  m_report.m_verdict = Verdict::kSuspect;
  // One more failure is enough to make an ejection due again.
  const double start = m_ejection_threshold - m_evidence.FailureEvidence();
  m_trail.Restart({.m_failing = std::min(m_sums_at_ejection.m_failing, start),
                   .m_slow = std::min(m_sums_at_ejection.m_slow, start)});
  m_is_recently_readmitted = true;
  m_current_probation_interval = m_options.m_probation_interval;
  m_next_probation = now;
  m_min_stay_until = now + ExtendByFlaps(m_options.m_suspect_hold);
  m_last_evidence = now;
  UpdateVerdict(now);
}

bool InstanceJudge::AllowProbationRequest(TimePoint now) {
  now = AdvanceClock(now);
  if (m_report.m_is_ejected) {
    return false;
  }
  if (m_report.m_verdict == Verdict::kHealthy) {
    return true;
  }
  if (now < m_next_probation || !m_in_flight.empty()) {
    return false;
  }
  m_next_probation = now + m_current_probation_interval;
  return true;
}

InstanceSummary InstanceJudge::Summary(TimePoint now) const {
  InstanceSummary summary = m_window.Summarize(now);
  // The limit derives only from ended requests of this instance: one derived
  // from the peers' latencies would rise with a hang of all instances and
  // exclude the hanging requests.
  const Duration usual = summary.m_latencies.Quantile(0.5);
  for (const InFlight& request : m_in_flight) {
    const Duration age = now - request.m_started;
    if (age > kOverdueRatio * usual) {
      summary.m_latencies.Add(age);
    }
  }
  return summary;
}

TimePoint InstanceJudge::AdvanceClock(TimePoint now) {
  m_latest_time = std::max(m_latest_time, now);
  return m_latest_time;
}

bool InstanceJudge::IsPastWarmUp(TimePoint time) const {
  return time >= m_started + m_options.m_warm_up;
}

void InstanceJudge::AddRecord(const InFlight& request,
                              TimePoint now,
                              RequestRecord::Kind kind) {
  const bool is_adverse =
      m_trail.Add({.m_started = request.m_started,
                   .m_ended = now,
                   .m_kind = kind,
                   .m_latency_counts = IsPastWarmUp(request.m_started)});
  if (kind != RequestRecord::Kind::kUnfinished) {
    m_window.Add(now, kind == RequestRecord::Kind::kFailure,
                 now - request.m_started);
  }
  m_last_evidence = now;
  AdaptProbation(now, is_adverse);
}

// Evidence of the requests in flight at `at`.
double InstanceJudge::SumInFlightEvidence(TimePoint at) const {
  double sum = 0;
  double weight = 1;
  // The oldest request comes first: it has the most evidence and full weight.
  for (const InFlight& request : m_in_flight) {
    const Duration age = at - request.m_started;
    if (!IsPastWarmUp(request.m_started) && age < m_options.m_warm_up_hang) {
      continue;
    }
    sum += weight * m_evidence.InFlightEvidence(age);
    weight *= m_options.m_concurrent_weight;
  }
  return sum;
}

bool InstanceJudge::MeetsMinFaultSpan() const {
  if (m_trail.AdverseSpan() >= m_options.m_min_fault_span) {
    return true;
  }
  return !m_in_flight.empty() && SumInFlightEvidence(m_baseline.m_as_of) > 0 &&
         m_baseline.m_as_of - m_in_flight.front().m_started >=
             m_options.m_min_fault_span;
}

double InstanceJudge::MaxEvidence(const EvidenceSums& sums,
                                  TimePoint at) const {
  return std::max(sums.m_failing, sums.m_slow + SumInFlightEvidence(at));
}

void InstanceJudge::DecayWhenIdle(TimePoint now) {
  if (m_report.m_verdict == Verdict::kHealthy || m_report.m_is_ejected ||
      !m_in_flight.empty() ||
      now - m_last_evidence < m_options.m_idle_decay_time) {
    return;
  }
  const EvidenceSums& sums = m_trail.Provisional();
  m_trail.Restart({.m_failing = sums.m_failing / 2, .m_slow = sums.m_slow / 2});
  m_last_evidence = now;
}

void InstanceJudge::AdaptProbation(TimePoint now, bool is_adverse) {
  if (m_report.m_verdict == Verdict::kHealthy || now < m_held_until) {
    return;
  }
  const double factor =
      is_adverse ? kProbationBackoff : m_options.m_probation_success_factor;
  m_current_probation_interval = std::clamp(
      Scale(m_current_probation_interval, factor),
      m_options.m_min_probation_interval, m_options.m_max_probation_interval);
  m_next_probation =
      is_adverse
          ? std::max(m_next_probation, now + m_current_probation_interval)
          : std::min(m_next_probation, now + m_current_probation_interval);
}

void InstanceJudge::UpdateVerdict(TimePoint now) {
  if (m_report.m_is_ejected) {
    UpdateEjected(now);
    return;
  }
  const double provisional = MaxEvidence(m_trail.Provisional(), now);
  if (provisional >= m_suspect_threshold &&
      m_report.m_verdict == Verdict::kHealthy) {
    MarkSuspect(now);
  }
  if (m_report.m_verdict != Verdict::kHealthy) {
    UpdateSuspect(now, provisional);
  }
  HoldForConfirmation(now);
  m_report.m_suspicion = provisional / m_ejection_threshold;
  m_report.m_share = ComputeShare(now);
  m_report.m_is_held = m_report.m_verdict != Verdict::kHealthy &&
                       !m_report.m_is_ejected && now < m_held_until;
}

// Stops probation requests once the evidence is sufficient: more of it is of no
// use while the ejection awaits the peers' summaries and the grant.
void InstanceJudge::HoldForConfirmation(TimePoint now) {
  const bool was_sufficient = m_is_evidence_sufficient;
  m_is_evidence_sufficient =
      MaxEvidence(m_trail.Unconfirmed(), now) >= m_ejection_threshold;
  if (m_is_evidence_sufficient && !was_sufficient) {
    m_held_until = std::max(m_held_until, now + m_options.m_confirmation_time);
    m_next_probation = std::max(m_next_probation, m_held_until);
  }
}

// Moves between kSuspect, kEjectionDue and kHealthy.
void InstanceJudge::UpdateSuspect(TimePoint now, double provisional) {
  if (IsEjectionConfirmed(now)) {
    m_report.m_verdict = Verdict::kEjectionDue;
  } else if (provisional < m_suspect_threshold) {
    m_report.m_verdict = Verdict::kSuspect;
  }
  if (provisional <= kClearShare * m_suspect_threshold &&
      now >= m_min_stay_until) {
    m_report.m_verdict = Verdict::kHealthy;
    m_is_recently_readmitted = false;
  }
}

bool InstanceJudge::IsEjectionConfirmed(TimePoint now) const {
  if (!m_has_baseline || now - m_baseline_received > m_options.m_baseline_ttl) {
    return false;
  }
  const double confirmed = MaxEvidence(m_trail.Confirmed(), m_baseline.m_as_of);
  return confirmed >= m_ejection_threshold && MeetsMinFaultSpan();
}

void InstanceJudge::UpdateEjected(TimePoint now) {
  const bool is_blocked_by_probe =
      m_report.m_has_failed_probe && now - m_ejected_at < m_options.m_max_hold;
  m_report.m_readmission_due = now >= m_min_stay_until && !is_blocked_by_probe;
  m_report.m_share = 0;
}

void InstanceJudge::MarkSuspect(TimePoint now) {
  m_report.m_verdict = Verdict::kSuspect;
  if (m_was_suspect && now - m_last_suspicion < m_options.m_flap_memory) {
    CountFlap();
  }
  m_was_suspect = true;
  m_last_suspicion = now;
  m_min_stay_until = now + ExtendByFlaps(m_options.m_suspect_hold);
  m_current_probation_interval = m_options.m_probation_interval;
  m_held_until = now + m_options.m_probation_delay;
  m_next_probation = m_held_until;
}

void InstanceJudge::CountFlap() {
  m_report.m_flaps = std::min(m_report.m_flaps + 1, kMaxFlaps);
}

void InstanceJudge::DecayFlaps(TimePoint now) {
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

Duration InstanceJudge::ExtendByFlaps(Duration base) const {
  return std::min(base * (int64_t{1} << m_report.m_flaps),
                  m_options.m_max_hold);
}

double InstanceJudge::ComputeShare(TimePoint now) const {
  if (m_report.m_verdict != Verdict::kHealthy) {
    const double rate =
        1e6 / static_cast<double>(m_current_probation_interval.count());
    const double baseline_rate = std::max(m_options.m_min_outcomes_per_hour,
                                          m_baseline.m_outcomes_per_hour) /
                                 3600;
    return std::min(1.0, rate / baseline_rate);
  }
  if (IsPastWarmUp(now)) {
    return 1;
  }
  const double warm_up_fraction =
      std::chrono::duration<double>(now - m_started) /
      std::chrono::duration<double>(m_options.m_warm_up);
  return kWarmUpShare + (1 - kWarmUpShare) * warm_up_fraction;
}

}  // namespace sequoiastage
