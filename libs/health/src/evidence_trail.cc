#include "sequoiastage/health/evidence_trail.h"

#include <algorithm>

namespace sequoiastage {

namespace {

constexpr size_t kMaxKept = 256;

}  // namespace

EvidenceTrail::EvidenceTrail(const JudgeOptions& options,
                             const Evidence& evidence)
    : m_options(options),
      m_evidence(evidence),
      m_cap(EjectionThreshold(options, 0)) {}

bool EvidenceTrail::Add(const WorkRecord& record) {
  Weighed weighed{.m_record = record};
  const bool is_adverse = IsAdverse(record);
  if (is_adverse) {
    const Duration gap = record.m_ended - m_last_adverse;
    if (gap < m_options.m_burst_window) {
      weighed.m_weight = m_options.m_burst_weight;
    }
    if (gap < m_options.m_ejection_burst_window) {
      weighed.m_ejection_weight = m_options.m_burst_weight;
    }
    if (m_provisional.m_failing == 0 && m_provisional.m_slow == 0) {
      const TimePoint slow_from = record.m_started + m_evidence.SlowLatency();
      m_first_adverse = std::min(record.m_ended, slow_from);
    }
    m_last_adverse = record.m_ended;
  }
  m_kept.push_back(weighed);
  Apply(record, weighed.m_weight, m_provisional);
  Apply(record, weighed.m_ejection_weight, m_unconfirmed);
  if (m_kept.size() > kMaxKept) {
    Fold();
  }
  return is_adverse;
}

void EvidenceTrail::Reweigh(const Evidence& evidence,
                            TimePoint as_of,
                            double cap) {
  m_evidence = evidence;
  m_as_of = as_of;
  m_cap = cap;
  const TimePoint keep_from = as_of - m_options.m_reweigh_time;
  while (!m_kept.empty() && m_kept.front().m_record.m_ended < keep_from) {
    Fold();
  }
  m_provisional = m_folded;
  m_unconfirmed = m_folded_confirmed;
  m_confirmed = m_folded_confirmed;
  for (const Weighed& weighed : m_kept) {
    Apply(weighed.m_record, weighed.m_weight, m_provisional);
    Apply(weighed.m_record, weighed.m_ejection_weight, m_unconfirmed);
    if (weighed.m_record.m_ended <= m_as_of) {
      Apply(weighed.m_record, weighed.m_ejection_weight, m_confirmed);
    }
  }
}

// The oldest kept work won't be weighed again.
void EvidenceTrail::Fold() {
  const Weighed& oldest = m_kept.front();
  Apply(oldest.m_record, oldest.m_weight, m_folded);
  Apply(oldest.m_record, oldest.m_ejection_weight, m_folded_confirmed);
  m_kept.pop_front();
}

void EvidenceTrail::Restart(const EvidenceSums& sums) {
  m_kept.clear();
  m_folded = sums;
  m_folded_confirmed = sums;
  m_provisional = sums;
  m_unconfirmed = sums;
  m_confirmed = sums;
}

bool EvidenceTrail::IsAdverse(const WorkRecord& record) const {
  if (record.m_kind == WorkRecord::Kind::kFailure) {
    return true;
  }
  return record.m_latency_counts &&
         m_evidence.OfLatency(record.m_ended - record.m_started) > 0;
}

// Adds the evidence to both sums.
void EvidenceTrail::Apply(const WorkRecord& record,
                          double weight,
                          EvidenceSums& sums) const {
  const auto add = [&](double& sum, double evidence) {
    const double weighed = evidence > 0 ? weight * evidence : evidence;
    sum = std::clamp(sum + weighed, 0.0, m_cap);
  };
  const bool is_success = record.m_kind == WorkRecord::Kind::kSuccess;
  if (is_success) {
    add(sums.m_failing, m_evidence.OfSuccess());
  } else if (record.m_kind == WorkRecord::Kind::kFailure) {
    add(sums.m_failing, m_evidence.OfFailure());
  }
  if (!record.m_latency_counts) {
    return;
  }
  // A failure says nothing about how fast an answer would have been, but how
  // long it took can be too long.
  const Duration latency = record.m_ended - record.m_started;
  add(sums.m_slow,
      is_success ? m_evidence.OfLatency(latency) : m_evidence.OfAge(latency));
}

}  // namespace sequoiastage
