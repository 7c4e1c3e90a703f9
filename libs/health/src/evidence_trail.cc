#include "sequoiastage/health/evidence_trail.h"

#include <algorithm>

namespace sequoiastage {

namespace {

constexpr size_t kMaxRecentRecords = 256;

}  // namespace

EvidenceTrail::EvidenceTrail(const JudgeOptions& options,
                             const Evidence& evidence)
    : m_options(options),
      m_evidence(evidence),
      m_cap(EjectionThreshold(options, 0)) {}

bool EvidenceTrail::Add(const RequestRecord& record) {
  WeighedRecord weighed{.m_record = record};
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
  m_recent.push_back(weighed);
  Apply(record, weighed.m_weight, m_provisional);
  Apply(record, weighed.m_ejection_weight, m_unconfirmed);
  if (m_recent.size() > kMaxRecentRecords) {
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
  while (!m_recent.empty() && m_recent.front().m_record.m_ended < keep_from) {
    Fold();
  }
  m_provisional = m_folded;
  m_unconfirmed = m_folded_confirmed;
  m_confirmed = m_folded_confirmed;
  for (const WeighedRecord& weighed : m_recent) {
    Apply(weighed.m_record, weighed.m_weight, m_provisional);
    Apply(weighed.m_record, weighed.m_ejection_weight, m_unconfirmed);
    if (weighed.m_record.m_ended <= m_as_of) {
      Apply(weighed.m_record, weighed.m_ejection_weight, m_confirmed);
    }
  }
}

// Moves the oldest request into the folded sums; it is not weighed again.
void EvidenceTrail::Fold() {
  const WeighedRecord& oldest = m_recent.front();
  Apply(oldest.m_record, oldest.m_weight, m_folded);
  Apply(oldest.m_record, oldest.m_ejection_weight, m_folded_confirmed);
  m_recent.pop_front();
}

void EvidenceTrail::Restart(const EvidenceSums& sums) {
  m_recent.clear();
  m_folded = sums;
  m_folded_confirmed = sums;
  m_provisional = sums;
  m_unconfirmed = sums;
  m_confirmed = sums;
}

bool EvidenceTrail::IsAdverse(const RequestRecord& record) const {
  if (record.m_kind == RequestRecord::Kind::kFailure) {
    return true;
  }
  return record.m_latency_counts &&
         m_evidence.LatencyEvidence(record.m_ended - record.m_started) > 0;
}

// Adds the evidence of `record` to both sums.
void EvidenceTrail::Apply(const RequestRecord& record,
                          double weight,
                          EvidenceSums& sums) const {
  const auto add = [&](double& sum, double evidence) {
    const double weighed = evidence > 0 ? weight * evidence : evidence;
    sum = std::clamp(sum + weighed, 0.0, m_cap);
  };
  const bool is_success = record.m_kind == RequestRecord::Kind::kSuccess;
  if (is_success) {
    add(sums.m_failing, m_evidence.SuccessEvidence());
  } else if (record.m_kind == RequestRecord::Kind::kFailure) {
    add(sums.m_failing, m_evidence.FailureEvidence());
  }
  if (!record.m_latency_counts) {
    return;
  }
  // A request without a successful response doesn't show how fast a response
  // would have been, so that its duration counts only against the instance.
  const Duration latency = record.m_ended - record.m_started;
  add(sums.m_slow, is_success ? m_evidence.LatencyEvidence(latency)
                              : m_evidence.InFlightEvidence(latency));
}

}  // namespace sequoiastage
